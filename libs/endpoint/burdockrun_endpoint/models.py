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

    `fingerprint` identifies the statement, so that a request id reused for another one is detected.
    A tombstone has no changes and makes later writes with its request id fail. The entry that
    starts a term has no request id.
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
    """Asks the primary of `term` for the entries that the replica's log lacks.

    `last` is the position of the replica's last entry, `ends` the last index of each term in its
    log. Entries younger than `lag_ms` are withheld, which models slow replication. `round` echoes
    the round of the last batch received in this term.
    """

    replica: str
    term: int
    last: LogPosition
    ends: tuple[TermEnd, ...]
    lag_ms: int = 0
    round: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryBatch:
    """Answer to a pull: entries after `common_index`, where the two logs' common prefix ends.

    `last` repeats the `last` of the pull; the replica discards the batch when its log has changed
    since. `complete` says that the batch reaches the end of the primary's log, apart from withheld
    entries, `waited_ms` how long the primary held the pull back. `round` is the number of the last
    leadership check; a pull that echoes it was sent after that check began.
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
    """Answer of a member that is to be sent on one of its data connections."""

    connection_id: int
    answer: ExecuteAnswer


def has_updates(pull: PullEntries, batch: EntryBatch) -> bool:
    """Return whether a batch has entries or a newer round and so ends the long poll."""
    return bool(batch.entries) or batch.round > pull.round
