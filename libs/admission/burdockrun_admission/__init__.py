"""Admission control: scheduling by work rank and fairness among client accounts."""

from burdockrun_admission.account_connections import AccountConnections
from burdockrun_admission.accounts import AccountLimiter
from burdockrun_admission.concurrency import ConcurrencyLimit
from burdockrun_admission.const import (
    CONTROL_RANK,
    EVENT_ACCOUNT_LIMITED,
    EVENT_WORK_EXPIRED,
    EVENT_WORK_REFUSED,
    METRIC_ACCOUNT_LIMITED,
    METRIC_EXPIRED,
    METRIC_REFUSED,
    METRIC_SERVICE_MS,
    METRIC_WAIT_MS,
)
from burdockrun_admission.first_come import FirstComeQueue
from burdockrun_admission.member_queue import MemberQueue
from burdockrun_admission.models import (
    CloseConnection,
    DropWork,
    FixedLimit,
    LimitChange,
    OpenConnection,
    Outcome,
    QueueAction,
    QueueLoad,
    QueueRequest,
    Refusal,
    StartWork,
    TakeResult,
    Work,
    WorkKind,
    WorkLimit,
)
from burdockrun_admission.scheduler import RankScheduler

__all__ = [
    "CONTROL_RANK",
    "EVENT_ACCOUNT_LIMITED",
    "EVENT_WORK_EXPIRED",
    "EVENT_WORK_REFUSED",
    "METRIC_ACCOUNT_LIMITED",
    "METRIC_EXPIRED",
    "METRIC_REFUSED",
    "METRIC_SERVICE_MS",
    "METRIC_WAIT_MS",
    "AccountConnections",
    "AccountLimiter",
    "CloseConnection",
    "ConcurrencyLimit",
    "DropWork",
    "FirstComeQueue",
    "FixedLimit",
    "LimitChange",
    "MemberQueue",
    "OpenConnection",
    "Outcome",
    "QueueAction",
    "QueueLoad",
    "QueueRequest",
    "RankScheduler",
    "Refusal",
    "StartWork",
    "TakeResult",
    "Work",
    "WorkKind",
    "WorkLimit",
]
