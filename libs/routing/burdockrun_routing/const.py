"""Limits and log events of routing."""

from typing import Final

from burdockrun_base import Level, define_event

RETRY_RATIO: Final = 0.1
RETRY_BURST: Final = 20
# A replica with at most this lag keeps up with its primary; one with more may have stopped.
HEALTHY_LAG_MS: Final = 250
# A replica that was behind, failed, or had an unknown lag is tried again after this time.
RETRY_BEHIND_MS: Final = 100
# Limits of the time between two observations from which rates are computed.
MIN_RATE_WINDOW_MS: Final = 50
MAX_RATE_WINDOW_MS: Final = 2_000
# A lower position within this time of a higher one comes from an answer that arrived out of order.
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
