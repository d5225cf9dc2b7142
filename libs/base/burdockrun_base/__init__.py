"""Clock, findings, registries, log events, metrics and the application object."""

from burdockrun_base.application import Application
from burdockrun_base.clock import Clock, ManualClock, SystemClock
from burdockrun_base.descriptors import raise_descriptor_limit
from burdockrun_base.errors import locate_error, name_error, shorten_reason
from burdockrun_base.findings import Finding, Findings
from burdockrun_base.log_events import (
    FORMAT_JSON,
    FORMAT_TEXT,
    EventLog,
    Level,
    LogEvent,
    define_event,
    list_events,
)
from burdockrun_base.log_limits import LogRateLimiter
from burdockrun_base.logs import set_up_logs, set_up_rate_limited_logs
from burdockrun_base.measurements import BUCKETS_MS, Labels, Measurements
from burdockrun_base.metrics import Metrics
from burdockrun_base.positions import LogPosition
from burdockrun_base.ranks import Code, Rank
from burdockrun_base.registry import Registry
from burdockrun_base.standard_streams import (
    NonBlockingStream,
    open_write,
    set_up_standard_streams,
)

__all__ = [
    "BUCKETS_MS",
    "FORMAT_JSON",
    "FORMAT_TEXT",
    "Application",
    "Clock",
    "Code",
    "EventLog",
    "Finding",
    "Findings",
    "Labels",
    "Level",
    "LogEvent",
    "LogPosition",
    "LogRateLimiter",
    "ManualClock",
    "Measurements",
    "Metrics",
    "NonBlockingStream",
    "Rank",
    "Registry",
    "SystemClock",
    "define_event",
    "list_events",
    "locate_error",
    "name_error",
    "open_write",
    "raise_descriptor_limit",
    "set_up_logs",
    "set_up_rate_limited_logs",
    "set_up_standard_streams",
    "shorten_reason",
]
