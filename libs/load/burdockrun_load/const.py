"""Exit statuses, limits and log events of `burdockrun-load`."""

from typing import Final

from burdockrun_base import Level, define_event

VERSION: Final = "0.1.0"

EXIT_DONE: Final = 0
EXIT_VIOLATION: Final = 1
EXIT_BAD_INPUT: Final = 2
EXIT_UNREACHABLE: Final = 3

FORMAT_JSON: Final = "json"
FORMAT_TEXT: Final = "text"

MICROSECONDS_PER_MS: Final = 1_000
MICROSECONDS_PER_S: Final = 1_000_000
LOWEST_LATENCY_US: Final = 1
HIGHEST_LATENCY_US: Final = 600 * MICROSECONDS_PER_S
SIGNIFICANT_DIGITS: Final = 3
PERCENTILES: Final = (50.0, 90.0, 99.0, 99.9)

MAX_PHASE_MS: Final = 3_600_000
MAX_RATE_PER_S: Final = 50_000
MAX_SESSIONS: Final = 100_000
MAX_PORT: Final = 65_535
DEFAULT_SESSIONS: Final = 200
DEFAULT_MAX_IN_FLIGHT: Final = 20_000
DEFAULT_DEADLINE_MS: Final = 5_000
DEFAULT_DIRECT_CONNECTIONS: Final = 4
TIME_BUCKET_MS: Final = 1_000
# Proxies answer by the deadline of a request; this allows for the network and a busy load program.
ANSWER_GRACE_MS: Final = 1_000
CONNECT_TIMEOUT_MS: Final = 5_000
CONNECT_BATCH: Final = 100
RECONNECT_INTERVAL_MS: Final = 200
STATUS_INTERVAL_MS: Final = 500
STATUS_TIMEOUT_MS: Final = 2_000
MAX_MESSAGE_BYTES: Final = 4 * 1024 * 1024

PATH_STREAM: Final = "/v1/stream"
PATH_SESSION: Final = "/v1/session"
PATH_STATUS: Final = "/v1/status"

CODE_UNREACHABLE: Final = "unreachable"
CODE_NO_ANSWER: Final = "no_answer"
CODE_NOT_SENT: Final = "load_limit"

EVENT_LOAD_STARTED: Final = define_event(
    1100, "load_started", Level.INFO, "The load program started a run."
)
EVENT_LOAD_FINISHED: Final = define_event(
    1101, "load_finished", Level.INFO, "The load program finished a run."
)
EVENT_STREAM_LOST: Final = define_event(
    1102,
    "load_stream_lost",
    Level.WARNING,
    "A stream to a proxy or member ended; its requests in flight count as unknown.",
)
EVENT_TARGET_UNREACHABLE: Final = define_event(
    1103,
    "load_target_unreachable",
    Level.ERROR,
    "A target, the proxies or the member, could not be reached at the start.",
)
EVENT_VIOLATION: Final = define_event(
    1104,
    "load_violation",
    Level.ERROR,
    "A session did not read its own write, or a request ran twice.",
)
EVENT_INTERNAL_FAULT: Final = define_event(
    1105, "load_internal_fault", Level.ERROR, "The load program failed with an internal error."
)
