"""Choice of the member that takes over from a primary, or of whom to wait for before it."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from burdockrun_base import LogPosition
from burdockrun_statements import MemberStatus

from burdockrun_groups.models import MemberEntry
from burdockrun_groups.promotion import choose_successor


@dataclass(frozen=True, kw_only=True, slots=True)
class SuccessionEvidence:
    """What is known of the logs of a group that has no primary.

    `members` are listed by discovery, `counted` also has those whose entries have lapsed and that
    may have the only copy of a commit.
    `statuses` were asked for after the last commit was acknowledged, `paused` before that.
    `ending` are draining members that will end before another one could take over from them.
    `floor` is what the previous primary had received when it was chosen, `final` its whole log if
    it has answered that it does not lead. `has_lost_log` says that a replica has started again
    lately and may have lost commits that it had received.

    In a `synchronous` group at least one replica had received each commit when it was acknowledged.
    `is_catching_up` says that replicas may still receive the log of the previous primary, and
    `is_overdue` that the time to wait for members has run out, after which only a synchronous group
    waits on.
    """

    members: Mapping[str, MemberEntry]
    counted: Collection[str]
    previous: str
    statuses: Mapping[str, MemberStatus]
    paused: Mapping[str, MemberStatus]
    ending: Collection[str] = ()
    floor: LogPosition | None = None
    final: LogPosition | None = None
    has_lost_log: bool = False
    synchronous: bool
    is_catching_up: bool = False
    is_overdue: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Succession:
    """Next primary with the position that it has received, or no member yet.

    `awaited` are the members that may have acknowledged commits which no candidate has. If there is
    a `successor` all the same, in a group that is not synchronous, those commits may be lost.
    `complete` says that the successor is certain to have every acknowledged commit.
    """

    successor: str = ""
    received: LogPosition | None = None
    complete: bool = False
    awaited: frozenset[str] = frozenset()


def find_successor(evidence: SuccessionEvidence) -> Succession:
    """Return the member that takes over, or whom to wait for.

    The previous primary takes over again if it has answered and no other member is certain to have
    all commits in time.
    """
    may_use_paused = evidence.is_overdue and not evidence.synchronous
    statuses = evidence.statuses or (evidence.paused if may_use_paused else {})
    final = None if _has_previous_lost_log(evidence) else evidence.final
    # Where replicas acknowledge commits, one that is ending may have the only copy.
    ending = () if evidence.synchronous else evidence.ending
    best = choose_successor(statuses, evidence.members, evidence.previous, ending)
    received = statuses[best].received if best else None
    if received is not None and final is not None and received.has_reached(final):
        return Succession(successor=best, received=received, complete=True)
    awaited = _find_awaited(evidence, best, received)
    if evidence.is_catching_up or (awaited and not evidence.is_overdue):
        return Succession(awaited=awaited)
    if awaited and final is not None and (evidence.synchronous or not best):
        return Succession(successor=evidence.previous, received=final, complete=True)
    if awaited and evidence.synchronous:
        return Succession(awaited=awaited)
    return Succession(
        successor=best, received=received, complete=evidence.synchronous, awaited=awaited
    )


def _find_awaited(
    evidence: SuccessionEvidence, best: str, received: LogPosition | None
) -> frozenset[str]:
    """Return the members that may have acknowledged commits which `best` has not received."""
    unknown = {evidence.previous} if not _has_previous_lost_log(evidence) else set()
    if received is None:
        return frozenset(evidence.counted) | unknown
    known = {**evidence.paused, **evidence.statuses}
    awaited = {member_id for member_id, status in known.items() if status.received > received}
    if evidence.synchronous:
        awaited.update(set(evidence.counted) - {evidence.previous, *evidence.statuses})
        if _may_be_unknown_to_replicas(evidence, received):
            awaited.update(unknown)
    return frozenset(awaited - {best})


def _has_previous_lost_log(evidence: SuccessionEvidence) -> bool:
    """Return whether the previous primary answers without the log that it had when chosen."""
    return evidence.final is not None and not evidence.final.has_reached(evidence.floor)


def _may_be_unknown_to_replicas(evidence: SuccessionEvidence, received: LogPosition) -> bool:
    """Return whether the previous primary may be the only member with an acknowledged commit.

    It has commits of earlier terms that the replicas receive only after it has been promoted, and
    those that a replica has lost with its log.
    """
    lost_between = any(
        member_id in evidence.paused and status.received < evidence.paused[member_id].received
        for member_id, status in evidence.statuses.items()
    )
    return lost_between or evidence.has_lost_log or not received.has_reached(evidence.floor)
