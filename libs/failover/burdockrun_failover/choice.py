"""Choice of the member that is promoted, from the positions of the fenced members."""

from collections.abc import Mapping

from burdockrun_messages import AckRule, LogPosition

from burdockrun_failover.models import PromotionPlan
from burdockrun_failover.records import count_majority, covers_acknowledged, find_start


def choose_member(
    plan: PromotionPlan, fenced: Mapping[str, LogPosition], *, accept_avoided: bool
) -> str | None:
    """Return the member to promote, or None while the fenced set is too small.

    Any subset that intersects every acknowledging set of the previous active term will do, so the
    members to avoid are left out first. Only a
    member of the new term is promoted.
    """
    others = {name: at for name, at in fenced.items() if name not in plan.avoid}
    chosen = _choose_greatest(plan, others)
    if chosen is None and accept_avoided:
        return _choose_greatest(plan, fenced)
    return chosen


def needs_confirmation(plan: PromotionPlan) -> bool:
    """Return whether the acknowledging sets change, so that the new ones must hold the log first.

    Otherwise a write that an old set acknowledged might be missing in a fenced set of the new term.
    """
    previous = plan.known.active if plan.known is not None else None
    if previous is None or plan.ack_rule is AckRule.PRIMARY:
        return False
    same_members = set(previous.members) == set(plan.members)
    return previous.ack_rule is AckRule.PRIMARY or not same_members


def _choose_greatest(plan: PromotionPlan, fenced: Mapping[str, LogPosition]) -> str | None:
    if not fenced or not _covers(plan, fenced):
        return None
    greatest = max(fenced.values())
    equal = [name for name in plan.members if fenced.get(name) == greatest]
    return min(equal, key=lambda name: _rate(plan, name), default=None)


def _rate(plan: PromotionPlan, name: str) -> tuple[bool, bool, bool]:
    """Return the order of preference among members with equal positions; least is best."""
    member = plan.addresses.get(name)
    leaving = member is not None and member.leaving
    return (name in plan.avoid, leaving, name != plan.target)


def _covers(plan: PromotionPlan, fenced: Mapping[str, LogPosition]) -> bool:
    if plan.known is None or plan.known.active is None:
        held = sum(1 for name in plan.members if name in fenced)
        return held >= count_majority(len(plan.members))
    active = plan.known.active
    return covers_acknowledged(active, find_start(plan.known, active.term), fenced)
