"""Planned changes: which one is due, its target, its members, and whether it can succeed."""

from dataclasses import dataclass

from burdockrun_messages import (
    AckRule,
    ActiveTerm,
    Database,
    LogPosition,
    MemberRole,
    MemberStatus,
)

from burdockrun_failover.const import CHANGE_MAX_BEHIND_ENTRIES
from burdockrun_failover.records import count_majority


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedChange:
    """Members, acknowledgement rule and primary of the next term, and why it is started."""

    reason: str
    members: tuple[str, ...]
    ack_rule: AckRule
    move_primary: bool = False


def plan_next_members(active: ActiveTerm, database: Database) -> tuple[str, ...]:
    """Return the members of the next term.

    At most one member leaves and one joins per term, so that a majority of the new members can be
    up to date when the term starts. A primary leaves only after another member has taken its role.
    """
    wanted = [member.name for member in database.members]
    members = list(active.members)
    leaving = [name for name in members if name not in wanted and name != active.primary]
    joining = [name for name in wanted if name not in members]
    if leaving:
        members.remove(leaving[0])
    if joining:
        members.append(joining[0])
    return tuple(members)


def find_change(
    active: ActiveTerm, database: Database, *, requested: str | None, advised: AckRule
) -> PlannedChange | None:
    """Return the most urgent change that is due, or None."""
    primary = database.find_member(active.primary)
    move_reason = requested
    if primary is None:
        move_reason = "primary removed by ticket"
    elif primary.leaving:
        move_reason = "primary is leaving"
    if move_reason is not None and len(active.members) > 1:
        return PlannedChange(
            reason=move_reason,
            members=active.members,
            ack_rule=active.ack_rule,
            move_primary=True,
        )
    members = plan_next_members(active, database)
    if members != active.members:
        return PlannedChange(reason="members changed", members=members, ack_rule=active.ack_rule)
    if advised is not active.ack_rule:
        return PlannedChange(reason=f"rule {advised.value}", members=members, ack_rule=advised)
    return None


def choose_target(
    active: ActiveTerm, database: Database, statuses: dict[str, MemberStatus]
) -> str | None:
    """Return the most advanced replica that can take over at once, or None."""
    primary = statuses.get(active.primary)
    best: tuple[LogPosition, str] | None = None
    for name in active.members:
        status = statuses.get(name)
        member = database.find_member(name)
        if name == active.primary or status is None or member is None or member.leaving:
            continue
        if status.term != active.term or status.role is not MemberRole.REPLICA:
            continue
        behind = primary.position.index - status.position.index if primary is not None else 0
        if behind > CHANGE_MAX_BEHIND_ENTRIES:
            continue
        if best is None or status.position > best[0]:
            best = (status.position, name)
    return best[1] if best is not None else None


def is_feasible(
    change: PlannedChange, active: ActiveTerm, statuses: dict[str, MemberStatus]
) -> bool:
    """Return whether the members are in a state in which a change is safe and can succeed.

    A change of the primary needs only the target that `choose_target` found. Otherwise, a term with
    rule `primary` needs a majority that follows: a primary without followers may be partitioned
    from the others, and must not be allowed to acknowledge alone while they replace it. A term with
    rule `majority` needs a majority that is nearly up to date, since a majority must hold the whole
    log before the term is in force.
    """
    if change.move_primary:
        return True
    followers = [
        status
        for name, status in statuses.items()
        if name != active.primary
        and name in change.members
        and status.term == active.term
        and status.role is MemberRole.REPLICA
    ]
    if change.ack_rule is AckRule.MAJORITY:
        primary_index = statuses[active.primary].position.index
        followers = [
            status
            for status in followers
            if primary_index - status.position.index <= CHANGE_MAX_BEHIND_ENTRIES
        ]
    return len(followers) + 1 >= count_majority(len(change.members))
