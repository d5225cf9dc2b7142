"""Limits and log events of routing."""

from typing import Final

from burdockrun_base import Level, define_event

RETRY_RATIO: Final = 0.1
RETRY_BURST: Final = 20
# A replica with at most this lag keeps up with its primary; one with more may have stopped.
HEALTHY_LAG_MS: Final = 250
# A replica that was behind, or whose lag was unknown, is tried again after this time.
RETRY_BEHIND_MS: Final = 100
# Rates are measured over at least the first and at most the second of these times.
MIN_RATE_WINDOW_MS: Final = 50
MAX_RATE_WINDOW_MS: Final = 2_000
# An answer that was overtaken by a later one arrives within this time.
REORDER_MS: Final = 250

METRIC_READ_AT_REPLICA: Final = "read.replica"
METRIC_READ_AT_PRIMARY: Final = "read.primary"
METRIC_READ_BEHIND: Final = "read.behind"
METRIC_RETRY_REFUSED: Final = "retry.refused"

EVENT_NO_MEMBER_CURRENT: Final = define_event(
    301, "no_member_current", Level.WARNING, "No reachable member satisfies a read"
)
EVENT_RETRY_BUDGET_SPENT: Final = define_event(
    302, "retry_budget_spent", Level.WARNING, "A retry was refused because the budget is spent"
)
