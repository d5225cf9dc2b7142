"""Limits and log events of routing."""

from typing import Final

from burdockrun_base import Level, define_event

RETRY_RATIO: Final = 0.1
RETRY_BURST: Final = 20
DEFAULT_ROUND_TRIP_MS: Final = 10
VIEW_LIFE_MS: Final = 10_000

EVENT_NO_MEMBER_CURRENT: Final = define_event(
    301, "no_member_current", Level.WARNING, "No reachable member satisfies a read"
)
EVENT_RETRY_BUDGET_SPENT: Final = define_event(
    302, "retry_budget_spent", Level.WARNING, "A retry was refused because the budget is spent"
)
