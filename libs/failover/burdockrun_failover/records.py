"""Group records: their JSON, their order, and which fenced sets make a promotion safe."""

from collections.abc import Mapping
from dataclasses import replace

from burdockrun_messages import (
    AckRule,
    ActiveTerm,
    GroupRecord,
    GroupState,
    KeyEntry,
    LogPosition,
    TermStart,
    decode_message,
    encode_message,
)
from result import Err, Ok, Result

from burdockrun_failover.const import (
    MAX_STALL_MS,
    MAX_TERM_STARTS,
    RECORD_KEY_PREFIX,
    STALL_AFTER_MS,
)


def format_record_key(database: str) -> str:
    """Return the key of a database's group record.

    >>> format_record_key("orders")
    'groups/orders'
    """
    return f"{RECORD_KEY_PREFIX}{database}"


def encode_record(record: GroupRecord) -> str:
    """Return the JSON value of a record; the revision is the store's and is left at 0."""
    return encode_message(replace(record, revision=0)).decode()


def decode_record(entry: KeyEntry) -> Result[GroupRecord | None, str]:
    """Return the record in a store entry, or None when the key does not exist."""
    if entry.revision == 0:
        return Ok(None)
    decoded = decode_message(GroupRecord, entry.value)
    if isinstance(decoded, Err):
        return decoded
    return Ok(replace(decoded.ok_value, revision=entry.revision))


def is_newer(record: GroupRecord, known: GroupRecord | None) -> bool:
    """Return whether a record replaces the known one; revisions of a key only increase."""
    return known is None or record.revision > known.revision


def is_effect_of_put(record: GroupRecord | None, wanted: GroupRecord) -> bool:
    """Return whether a stored record is the one that the put of `wanted` has written."""
    return (
        record is not None
        and record.promoter == wanted.promoter
        and record.term == wanted.term
        and record.state is wanted.state
    )


def count_majority(members: int) -> int:
    """Return the size of a majority.

    >>> [count_majority(size) for size in (1, 2, 3, 5)]
    [1, 2, 2, 3]
    """
    return members // 2 + 1


def make_fencing_record(
    known: GroupRecord | None, *, database: str, term: int, promoter: str
) -> GroupRecord:
    """Return the record that claims `term` for one attempt and keeps the last active term."""
    return GroupRecord(
        database=database,
        term=term,
        state=GroupState.FENCING,
        active=known.active if known is not None else None,
        promoter=promoter,
        starts=known.starts if known is not None else (),
    )


def make_active_record(
    claimed: GroupRecord, *, active: ActiveTerm, start_index: int
) -> GroupRecord:
    """Return the record that puts a claimed term in force."""
    starts = (*claimed.starts, TermStart(term=active.term, index=start_index))
    return replace(
        claimed, state=GroupState.ACTIVE, active=active, starts=starts[-MAX_TERM_STARTS:]
    )


def find_term_start(record: GroupRecord, term: int) -> LogPosition:
    """Return the position at which a term started, or index 0 of the term if not recorded."""
    for start in record.starts:
        if start.term == term:
            return LogPosition(term=term, index=start.index)
    return LogPosition(term=term, index=0)


def find_stall_timeout_ms(record: GroupRecord) -> int:
    """Return the time in ms after which an attempt is replaced; it doubles with each attempt."""
    base_term = record.active.term if record.active is not None else 0
    doublings = min(max(record.term - base_term - 1, 0), 5)
    return min(STALL_AFTER_MS << doublings, MAX_STALL_MS)


def covers_acknowledged(
    previous: ActiveTerm, start: LogPosition, fenced: Mapping[str, LogPosition]
) -> bool:
    """Return whether the fenced members intersect every acknowledging set of a term.

    An acknowledging set is a set of members that suffices to acknowledge a write. The primary of
    the term belongs to each of them, under either rule. It counts only if its log still reaches
    the start of its term; a primary that restarted with an empty log does not.
    """
    primary = fenced.get(previous.primary)
    if primary is not None and primary >= start:
        return True
    if previous.ack_rule is AckRule.PRIMARY:
        return False
    fenced_members = sum(1 for member in previous.members if member in fenced)
    if previous.primary in fenced:
        fenced_members -= 1
    return fenced_members >= count_majority(len(previous.members))
