"""Limits of client accounts on operations per second over all nodes, without I/O or clocks."""

from burdockrun_limits.const import (
    ASK_INTERVAL_MS,
    MAX_WAIT_MS,
    PAUSE_MS,
    QUERY_INTERVAL_MS,
    REPEAT_MS,
)
from burdockrun_limits.enforcer import LimitEnforcer
from burdockrun_limits.models import (
    AccountAsk,
    AccountGrant,
    AccountLimit,
    Ask,
    Decision,
    Grant,
    Held,
    HeldShare,
    Limited,
    Message,
    MustAsk,
    Query,
    Taken,
    Tolerance,
)
from burdockrun_limits.owner import LimitOwner, TakeoverEnd
from burdockrun_limits.ownership import Limiters

__all__ = [
    "ASK_INTERVAL_MS",
    "MAX_WAIT_MS",
    "PAUSE_MS",
    "QUERY_INTERVAL_MS",
    "REPEAT_MS",
    "AccountAsk",
    "AccountGrant",
    "AccountLimit",
    "Ask",
    "Decision",
    "Grant",
    "Held",
    "HeldShare",
    "LimitEnforcer",
    "LimitOwner",
    "Limited",
    "Limiters",
    "Message",
    "MustAsk",
    "Query",
    "Taken",
    "TakeoverEnd",
    "Tolerance",
]
