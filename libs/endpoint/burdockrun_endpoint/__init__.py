"""Model of a database member and the stand-in programs of the endpoint and the platform."""

from burdockrun_endpoint.const import PULL_WAIT_MS
from burdockrun_endpoint.log import EntryLog
from burdockrun_endpoint.member import DatabaseMember
from burdockrun_endpoint.models import (
    Change,
    Completed,
    EntryBatch,
    LogEntry,
    PullEntries,
    TermEnd,
)

__all__ = [
    "PULL_WAIT_MS",
    "Change",
    "Completed",
    "DatabaseMember",
    "EntryBatch",
    "EntryLog",
    "LogEntry",
    "PullEntries",
    "TermEnd",
]
