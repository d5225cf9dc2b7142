"""Times, limits and log events of the proxy."""

from typing import Final

from burdockrun_base import Level, define_event

VERSION: Final = "0.1.0"

TICK_INTERVAL_MS: Final = 50
PAUSE_THRESHOLD_MS: Final = 500
FAILURE_LOG_INTERVAL_MS: Final = 10_000
SETTLE_TIMEOUT_MS: Final = 300
FRESHNESS_WAIT_MS: Final = 200
FRESHNESS_REPLY_MARGIN_MS: Final = 200
# Time for which an endpoint may still count a connection that was lost.
CONNECTION_LINGER_MS: Final = 2_500
RECONNECT_DELAY_MS: Final = 50
RECONNECT_MAX_DELAY_MS: Final = 1_000
# Limit on the confirmation time that is charged against the target of a write.
MAX_CONFIRMATION_MS: Final = 40
ROUND_TRIP_WITHIN_DOMAIN_MS: Final = 2
ROUND_TRIP_BETWEEN_DOMAINS_MS: Final = 12
# A busy member that has answered nothing for this long counts as stalled.
STALL_THRESHOLD_MS: Final = 100
TRANSACTION_IDLE_TIMEOUT_MS: Final = 10_000
REROUTE_DELAY_MS: Final = 20
RETRY_INTERVAL_MS: Final = 100
LOST_NODE_BACKOFF_MS: Final = 1_000
MAX_ACCOUNT_IN_FLIGHT: Final = 4_000
MAX_ATTEMPTS: Final = 1_000
HANDOVER_TIMEOUT_MS: Final = 5_000
MAX_REPLICA_WAIT_MS: Final = 10

PROXY_STARTED = define_event(901, "proxy_started", Level.INFO, "The proxy accepts connections.")
PROXY_DRAINING = define_event(
    902,
    "proxy_draining",
    Level.INFO,
    "The proxy accepts no new work and finishes what is in flight.",
)
PROXY_STOPPED = define_event(903, "proxy_stopped", Level.INFO, "The proxy has stopped.")
PROCESS_PAUSED = define_event(
    904, "process_paused", Level.WARNING, "The process could not run for a while."
)
CONNECTION_FAILED = define_event(
    905, "connection_failed", Level.WARNING, "A data connection to an endpoint was lost."
)
CONFIGURATION_IN_FORCE = define_event(
    906, "configuration_in_force", Level.INFO, "A change ticket is in force at this proxy."
)
TERM_LEARNED = define_event(
    907, "term_learned", Level.INFO, "The proxy learned a new term of a database group."
)
INVARIANT_VIOLATED = define_event(
    908, "invariant_violated", Level.ERROR, "An internal invariant of the program did not hold."
)
TRANSACTION_EXPIRED = define_event(
    909, "transaction_expired", Level.INFO, "An idle transaction was rolled back."
)
EVENT_FAILED = define_event(
    910,
    "proxy_event_failed",
    Level.ERROR,
    "The proxy has raised an unexpected error as it handled an event; it goes on with the next.",
)
HTTP_REQUEST_REFUSED = define_event(
    911, "http_request_refused", Level.WARNING, "What a client sent is not HTTP."
)
