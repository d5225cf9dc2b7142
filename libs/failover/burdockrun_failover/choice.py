"""Choice of the member that is promoted, from the positions of the fenced members."""

from collections.abc import Mapping

from burdockrun_messages import AckRule, LogPosition

from burdockrun_failover.models import PromotionPlan
from burdockrun_failover.records import count_majority, covers_acknowledged, find_term_start


def choose_member(
    plan: PromotionPlan, fenced: Mapping[str, LogPosition], *, accept_avoided: bool
) -> str | None:
    """Return the member to promote, or None while too few members are fenced.

    Any fenced subset that intersects every acknowledging set of the previous active term is safe,
    so the members to avoid are left out first. Only a member of the new term is promoted.
    """
    others = {name: position for name, position in fenced.items() if name not in plan.avoid}
    chosen = _choose_most_advanced(plan, others)
    if chosen is None and accept_avoided:
        return _choose_most_advanced(plan, fenced)
    return chosen


def needs_confirmation(plan: PromotionPlan) -> bool:
    """Return whether a majority must confirm the whole log before the new term becomes active.

    This is the case when the new term has rule `majority` and other acknowledging sets than the
    previous one: a fenced set of the new term could otherwise miss a write that a set of the
    previous term acknowledged.
    """
    previous = plan.known.active if plan.known is not None else None
    if previous is None or plan.ack_rule is AckRule.PRIMARY:
        return False
    same_members = set(previous.members) == set(plan.members)
    return previous.ack_rule is AckRule.PRIMARY or not same_members


def _choose_most_advanced(plan: PromotionPlan, fenced: Mapping[str, LogPosition]) -> str | None:
    if not fenced or not _is_fenced_set_sufficient(plan, fenced):
        return None
    best_position = max(fenced.values())
    candidates = [name for name in plan.members if fenced.get(name) == best_position]
    return min(candidates, key=lambda name: _make_preference_key(plan, name), default=None)


def _make_preference_key(plan: PromotionPlan, name: str) -> tuple[bool, bool, bool]:
    """Return the sort key of a member among members with equal positions; the least is chosen."""
    member = plan.addresses.get(name)
    leaving = member is not None and member.leaving
    return (name in plan.avoid, leaving, name != plan.target)


def _is_fenced_set_sufficient(plan: PromotionPlan, fenced: Mapping[str, LogPosition]) -> bool:
    if plan.known is None or plan.known.active is None:
        fenced_members = sum(1 for name in plan.members if name in fenced)
        return fenced_members >= count_majority(len(plan.members))
    active = plan.known.active
    return covers_acknowledged(active, find_term_start(plan.known, active.term), fenced)
