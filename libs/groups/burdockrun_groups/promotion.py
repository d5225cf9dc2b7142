"""Decision whether a group needs another primary, and choice of its successor."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from burdockrun_base import LogPosition
from burdockrun_statements import MemberStatus

from burdockrun_groups.models import GroupRecord, MemberEntry
from burdockrun_groups.primary_lease import find_reported_primary


class Reason(Enum):
    """Why the primary of a group is replaced."""

    NONE = "none"
    FIRST = "first"
    DRAINING = "draining"
    UNREADABLE = "unreadable"
    GONE = "gone"
    UNREACHABLE = "unreachable"
    UNFINISHED = "unfinished"
    RESTORED = "restored"
    DEMOTED = "demoted"


@dataclass(frozen=True, kw_only=True, slots=True)
class Evidence:
    """State of a group as known to the holder of the promotion lease.

    `era` is that of the store. `watching_nodes` counts the nodes that have their own connections to
    the primary, and `suspecting_nodes` those of them that cannot reach it. `discovery_settled` is
    false for some time after an outage of the store, when entries of live members may be missing.
    `primary_unreadable` says that the entry of the primary has been unreadable for too long.
    """

    era: int
    members: Mapping[str, MemberEntry]
    suspecting_nodes: int
    watching_nodes: int
    discovery_settled: bool
    primary_unreadable: bool = False


def find_change_reason(record: GroupRecord | None, evidence: Evidence) -> Reason:
    """Return why the primary of a group must be replaced, or `Reason.NONE`."""
    if record is None:
        return Reason.FIRST if evidence.discovery_settled else Reason.NONE
    if record.era < evidence.era:
        return Reason.RESTORED
    if not record.primary or not record.promoted:
        return Reason.UNFINISHED
    entry = evidence.members.get(record.primary)
    if entry is None:
        return Reason.GONE if evidence.discovery_settled else Reason.NONE
    if entry.draining:
        return Reason.DRAINING if _has_successor(record, evidence) else Reason.NONE
    if 2 * evidence.suspecting_nodes > evidence.watching_nodes:
        return Reason.UNREACHABLE
    if evidence.primary_unreadable and _has_successor(record, evidence):
        return Reason.UNREADABLE
    return Reason.NONE


def is_leadership_denied(record: GroupRecord | None, members: Mapping[str, MemberEntry]) -> bool:
    """Return whether discovery says that the primary of a settled record is a replica.

    The entry may be older than the record; only the member itself can tell.
    """
    if record is None or not record.promoted or record.ending:
        return False
    entry = members.get(record.primary)
    return entry is not None and not entry.claims_primary


def _has_successor(record: GroupRecord, evidence: Evidence) -> bool:
    return any(
        not (entry.draining or entry.unreadable)
        for entry in evidence.members.values()
        if entry.id != record.primary
    )


def renew_record(
    record: GroupRecord, era: int, statuses: Mapping[str, MemberStatus], members: int
) -> GroupRecord | None:
    """Return the record for a later era of the store, with the primary that the members report.

    `record` may lack the last changes before the store came back from a copy. A change pauses a
    majority of the members, so a majority that reports a primary excludes all others. Returns None
    when it reports none, or one that was being replaced.
    """
    primary = find_reported_primary(statuses, members // 2 + 1)
    if not primary or statuses[primary].term < record.held_term:
        return None
    status = statuses[primary]
    goes_on = record.promoted and (primary, status.term) == (record.primary, record.held_term)
    return GroupRecord(
        service=record.service,
        primary=primary,
        epoch=record.epoch + 1,
        era=era,
        previous=record.previous if primary == record.primary else record.primary,
        held_term=status.term,
        floor=status.received,
        continues=record.leadership() if goes_on else "",
        acknowledging=record.acknowledging,
    )


def find_first_primary(members: Iterable[MemberEntry]) -> str:
    """Return the only member that says it is the primary, or an empty string."""
    primaries = [entry.id for entry in members if entry.claims_primary]
    return primaries[0] if len(primaries) == 1 else ""


def is_majority_paused(paused: Collection[str], members: Collection[str], previous: str) -> bool:
    """Return whether each majority of `members` that may report `previous` has a paused member.

    Such a majority has `previous` itself, so half of the members suffice without it.
    """
    if previous in members:
        return 2 * len(paused) >= len(members)
    return 2 * len(paused) > len(members)


def choose_successor(
    statuses: Mapping[str, MemberStatus],
    members: Mapping[str, MemberEntry],
    avoid: str,
    ending: Collection[str] = (),
) -> str:
    """Return the member with the newest received position; among equals, one that will stay.

    `statuses` has the members that answered; `avoid` is never chosen, nor a member that still leads
    an earlier term: it would take writes in that term until it is promoted. Returns an empty string
    when no other member answered. A draining member that has received more is chosen although it is
    replaced soon, with its whole log: another one would lose the writes that only it has. Members
    that are `ending` have too little time left for that, and are chosen only if there is no other.
    """
    candidates = [
        member_id
        for member_id, status in statuses.items()
        if member_id != avoid and not status.is_primary
    ]
    candidates = [one for one in candidates if one not in ending] or candidates
    if not candidates:
        return ""

    def preference(member_id: str) -> tuple[LogPosition, bool, str]:
        entry = members.get(member_id)
        staying = entry is not None and not (entry.draining or entry.unreadable)
        return (statuses[member_id].received, staying, member_id)

    return max(candidates, key=preference)
