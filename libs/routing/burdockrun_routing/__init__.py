"""Routing of reads by position, and the retry budget."""

from burdockrun_routing.const import (
    EVENT_NO_MEMBER_CURRENT,
    EVENT_RETRY_BUDGET_SPENT,
    METRIC_READ_AT_PRIMARY,
    METRIC_READ_AT_REPLICA,
    METRIC_READ_BEHIND,
    METRIC_RETRY_REFUSED,
)
from burdockrun_routing.models import MemberView, ReadChoice, ReadQuery
from burdockrun_routing.positions import PositionTable
from burdockrun_routing.reads import choose_read_member, estimate_catch_up_ms
from burdockrun_routing.retries import RetryBudget

__all__ = [
    "EVENT_NO_MEMBER_CURRENT",
    "EVENT_RETRY_BUDGET_SPENT",
    "METRIC_READ_AT_PRIMARY",
    "METRIC_READ_AT_REPLICA",
    "METRIC_READ_BEHIND",
    "METRIC_RETRY_REFUSED",
    "MemberView",
    "PositionTable",
    "ReadChoice",
    "ReadQuery",
    "RetryBudget",
    "choose_read_member",
    "estimate_catch_up_ms",
]
