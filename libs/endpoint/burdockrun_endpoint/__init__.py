"""Model of a database member, and the stand-in programs for a member and for the platform."""

from burdockrun_endpoint.const import GROUP_PATH, OPERATIONS, PULL_WAIT_MS, SESSION_PATH
from burdockrun_endpoint.faults import Faults
from burdockrun_endpoint.log import EntryLog
from burdockrun_endpoint.member import DatabaseMember
from burdockrun_endpoint.models import (
    Change,
    Completed,
    EntryBatch,
    LogEntry,
    PullEntries,
    TermEnd,
    has_updates,
)

__all__ = [
    "GROUP_PATH",
    "OPERATIONS",
    "PULL_WAIT_MS",
    "SESSION_PATH",
    "Change",
    "Completed",
    "DatabaseMember",
    "EntryBatch",
    "EntryLog",
    "Faults",
    "LogEntry",
    "PullEntries",
    "TermEnd",
    "has_updates",
]
