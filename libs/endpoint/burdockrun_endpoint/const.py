"""Paths, defaults and log events of the endpoint library."""

from typing import Final

from burdockrun_base import Level, define_event
from burdockrun_messages import (
    AskStatus,
    AwaitConfirmed,
    ControlOperation,
    Fence,
    Follow,
    Promote,
    Settle,
)

SESSION_PATH: Final = "/v1/session"
GROUP_PATH: Final = "/v1/group"
ENTRIES_PATH: Final = "/v1/entries"
FAULTS_PATH: Final = "/v1/faults"

DEFAULT_SLOTS: Final = 2
DEFAULT_SERVICE_MS: Final = 5
DEFAULT_OPEN_MS: Final = 12
DEFAULT_CONNECTIONS: Final = 16
SERVICE_TIME_JITTER: Final = 0.25
PULL_WAIT_MS: Final = 100
PULL_TIMEOUT_MS: Final = 1_000
PULL_RETRY_MS: Final = 20
MAX_BATCH_ENTRIES: Final = 500

EXPIRY_INTERVAL_MS: Final = 50

EXIT_STOPPED: Final = 0
EXIT_CANNOT_LISTEN: Final = 1
EXIT_USAGE: Final = 2

OPERATION_LEAVE: Final = "leave"
OPERATIONS: Final[dict[str, type[ControlOperation]]] = {
    "status": AskStatus,
    "fence": Fence,
    "promote": Promote,
    "follow": Follow,
    "await_confirmed": AwaitConfirmed,
    "settle": Settle,
}

EVENT_LISTENING: Final = define_event(
    801, "endpoint_listening", Level.INFO, "A stand-in accepts connections."
)
EVENT_STOPPED: Final = define_event(802, "endpoint_stopped", Level.INFO, "A stand-in has stopped.")
EVENT_FAULTS_SET: Final = define_event(
    803, "endpoint_faults_set", Level.WARNING, "A test has changed the faults of a stand-in."
)
