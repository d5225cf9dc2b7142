"""Paths, defaults and log events of the endpoint library."""

from typing import Final

from burdockrun_base import Level, define_event

SESSION_PATH: Final = "/v1/session"
GROUP_PATH: Final = "/v1/group"
ENTRIES_PATH: Final = "/v1/entries"
FAULTS_PATH: Final = "/v1/faults"

DEFAULT_SLOTS: Final = 2
DEFAULT_SERVICE_MS: Final = 5
DEFAULT_OPEN_MS: Final = 12
DEFAULT_CONNECTIONS: Final = 16
SERVICE_SPREAD: Final = 0.25
PULL_WAIT_MS: Final = 100
PULL_TIMEOUT_MS: Final = 1_000
PULL_RETRY_MS: Final = 20
MAX_BATCH_ENTRIES: Final = 500

STATEMENT_COMMIT: Final = "COMMIT"

EVENT_LISTENING: Final = define_event(
    801, "endpoint_listening", Level.INFO, "A stand-in accepts connections."
)
EVENT_STOPPED: Final = define_event(802, "endpoint_stopped", Level.INFO, "A stand-in has stopped.")
EVENT_FAULTS_SET: Final = define_event(
    803, "endpoint_faults_set", Level.WARNING, "A test has changed the faults of a stand-in."
)
