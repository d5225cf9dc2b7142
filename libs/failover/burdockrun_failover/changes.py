"""Planned changes: why one is due, who becomes primary, and the members of the new term."""

from dataclasses import dataclass

from burdockrun_messages import (
    AckRule,
    ActiveTerm,
    Database,
    LogPosition,
    MemberRole,
    MemberStatus,
)

from burdockrun_failover.const import CHANGE_MAX_BEHIND
from burdockrun_failover.records import count_majority


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """Wanted difference between the active term and the next one."""

    reason: str
    members: tuple[str, ...]
    ack_rule: AckRule
    move_primary: bool = False


def plan_members(active: ActiveTerm, database: Database) -> tuple[str, ...]:
    """Return the members of the next term.

    At most one member leaves and one joins in a term, so a majority of the new members can be
    current when the term starts. A primary leaves only after its role has moved.
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
) -> Change | None:
    """Return the change that is due, the most pressing first, or None."""
    primary = database.find_member(active.primary)
    move_reason = requested
    if primary is None:
        move_reason = "primary removed by ticket"
    elif primary.leaving:
        move_reason = "primary is leaving"
    if move_reason is not None and len(active.members) > 1:
        return Change(
            reason=move_reason,
            members=active.members,
            ack_rule=active.ack_rule,
            move_primary=True,
        )
    members = plan_members(active, database)
    if members != active.members:
        return Change(reason="members changed", members=members, ack_rule=active.ack_rule)
    if advised is not active.ack_rule:
        return Change(reason=f"rule {advised.value}", members=members, ack_rule=advised)
    return None


def choose_target(
    active: ActiveTerm, database: Database, statuses: dict[str, MemberStatus]
) -> str | None:
    """Return the replica that can take over at once, or None."""
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
        if behind > CHANGE_MAX_BEHIND:
            continue
        if best is None or status.position > best[0]:
            best = (status.position, name)
    return best[1] if best is not None else None


def is_justified(change: Change, active: ActiveTerm, statuses: dict[str, MemberStatus]) -> bool:
    """Return whether the members are in a state in which a change is safe and can succeed.

    Rule `primary` is entered only while a majority follows: a primary that no replica follows may
    be cut off and must not gain the power to acknowledge alone while the others replace it. Other
    members or rule `majority` need a majority that is nearly current, since it must hold the
    whole log before the new term is in force.
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
            if primary_index - status.position.index <= CHANGE_MAX_BEHIND
        ]
    return len(followers) + 1 >= count_majority(len(change.members))
