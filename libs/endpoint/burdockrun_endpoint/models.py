"""Log entries and replication messages of the database members."""

from dataclasses import dataclass

from burdockrun_messages import ExecuteAnswer, JsonValue, LogPosition


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """New value of one key."""

    key: str
    value: JsonValue


@dataclass(frozen=True, kw_only=True, slots=True)
class LogEntry:
    """One entry of a member's log; its index is its place in the log, starting at 1.

    `fingerprint` identifies the statement, so that a request id used for another one is noticed.
    A tombstone has no changes and makes later writes with its request id fail. An entry without
    request id starts a term.
    """

    term: int
    request_id: str | None = None
    changes: tuple[Change, ...] = ()
    result: JsonValue = None
    fingerprint: str = ""
    tombstone: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class TermEnd:
    """Index of the last entry of a term in a log."""

    term: int
    index: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PullEntries:
    """Asks the primary of `term` for entries after the replica's log, described by `ends`.

    Entries younger than `lag_ms` are withheld, which models slow replication. `round` echoes the
    last batch of this term.
    """

    replica: str
    term: int
    last: LogPosition
    ends: tuple[TermEnd, ...]
    lag_ms: int = 0
    round: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryBatch:
    """Entries after the common prefix `common_index` of the two logs.

    `last` repeats the replica's position in the pull, so that it drops a batch that no longer fits.
    `complete` says that the batch reaches the end of the primary's log, `waited_ms` how long the
    primary held the pull back, `round` which proof of leadership runs: a pull that echoes it began
    after the proof did.
    """

    term: int
    last: LogPosition
    common_index: int
    entries: tuple[LogEntry, ...]
    confirmed_index: int
    complete: bool
    waited_ms: int = 0
    round: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Completed:
    """Answer of a member, due on one of its data connections."""

    connection_id: int
    answer: ExecuteAnswer


def has_new_entries(pull: PullEntries, batch: EntryBatch) -> bool:
    """Return whether a batch should be sent at once and not after a wait."""
    return bool(batch.entries) or batch.round > pull.round
