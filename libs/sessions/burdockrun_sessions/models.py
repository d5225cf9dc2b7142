"""Session token: the log position that a session has seen in each database."""

from dataclasses import dataclass, field, replace

from burdockrun_messages import LogPosition

from burdockrun_sessions.const import MAX_TOKEN_DATABASES, TokenErrorKind


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenError:
    """Refusal of a token; `message` may be shown to the caller."""

    kind: TokenErrorKind
    message: str


def join_positions(left: LogPosition | None, right: LogPosition | None) -> LogPosition | None:
    """Return the smallest position that covers both; a log that has reached it has reached both.

    >>> join_positions(LogPosition(term=1, index=9), LogPosition(term=2, index=7))
    LogPosition(term=2, index=9)
    """
    if left is None or right is None:
        return left or right
    return LogPosition(term=max(left.term, right.term), index=max(left.index, right.index))


@dataclass(frozen=True, kw_only=True, slots=True)
class SessionToken:
    """Log positions that reads of a session must see.

    At most `MAX_TOKEN_DATABASES` databases are listed. Once one has been left out,
    `unlisted_at_primary` stays set: every database that is not listed is read at its primary and
    is never listed again, because its dropped position may exceed any later one.
    """

    positions: dict[str, LogPosition] = field(default_factory=dict)
    unlisted_at_primary: bool = False

    def find(self, database: str) -> LogPosition | None:
        """Return the position that reads of `database` must see, or None when it is not listed."""
        return self.positions.get(database)

    def needs_primary(self, database: str) -> bool:
        """Return whether reads of `database` must go to the primary because it is not listed."""
        return self.unlisted_at_primary and database not in self.positions

    def advance(self, database: str, position: LogPosition) -> "SessionToken":
        """Return a token that also covers `position` of `database`."""
        known = self.positions.get(database)
        if known is not None:
            if known.has_reached(position):
                return self
        elif self.unlisted_at_primary:
            return self
        elif len(self.positions) >= MAX_TOKEN_DATABASES:
            return replace(self, unlisted_at_primary=True)
        joined = join_positions(known, position) or position
        return replace(self, positions={**self.positions, database: joined})

    def merge(self, other: "SessionToken") -> "SessionToken":
        """Return the token that covers both sessions.

        A database that one side may have dropped stays unlisted. On overflow, the databases that
        come first by name are kept, so that the order of the two tokens does not matter.
        """
        names = {
            name
            for name in self.positions.keys() | other.positions.keys()
            if not self.needs_primary(name) and not other.needs_primary(name)
        }
        kept = sorted(names)[:MAX_TOKEN_DATABASES]
        positions: dict[str, LogPosition] = {}
        for name in kept:
            joined = join_positions(self.positions.get(name), other.positions.get(name))
            if joined is not None:
                positions[name] = joined
        dropped = len(kept) < len(names)
        return SessionToken(
            positions=positions,
            unlisted_at_primary=dropped or self.unlisted_at_primary or other.unlisted_at_primary,
        )
