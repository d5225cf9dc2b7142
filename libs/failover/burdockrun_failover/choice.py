"""Choice of the member that is promoted, from the positions of the fenced members."""

from collections.abc import Mapping

from burdockrun_messages import LogPosition

from burdockrun_failover.models import PromotionPlan
from burdockrun_failover.records import count_majority, covers_acknowledged, find_start


def choose_member(
    plan: PromotionPlan, fenced: Mapping[str, LogPosition], *, accept_avoided: bool
) -> str | None:
    """Return the member to promote, or None while the fenced set is too small.

    Any subset that intersects every acknowledging set of the previous active term will do, so the
    members to avoid are left out first. Among equal positions the order of the new members decides.
    """
    others = {name: at for name, at in fenced.items() if name not in plan.avoid}
    chosen = _choose_greatest(plan, others)
    if chosen is None and accept_avoided:
        return _choose_greatest(plan, fenced)
    return chosen


def _choose_greatest(plan: PromotionPlan, fenced: Mapping[str, LogPosition]) -> str | None:
    if not fenced or not _covers(plan, fenced):
        return None
    greatest = max(fenced.values())
    equal = [name for name, at in fenced.items() if at == greatest]
    preferred = [name for name in (plan.target, *plan.members) if name in equal]
    return next((name for name in preferred if name is not None), equal[0])


def _covers(plan: PromotionPlan, fenced: Mapping[str, LogPosition]) -> bool:
    if plan.known is None or plan.known.active is None:
        held = sum(1 for name in plan.members if name in fenced)
        return held >= count_majority(len(plan.members))
    active = plan.known.active
    return covers_acknowledged(active, find_start(plan.known, active.term), fenced)
