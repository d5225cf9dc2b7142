"""Times, sizes and exit statuses of the bench."""

from typing import Final

STEP_MS: Final = 10
TICK_MS: Final = 50
START_MS: Final = 100_000
SETTLE_MS: Final = 20_000
TRACE_LENGTH: Final = 400
MAX_PRINTED_VIOLATIONS: Final = 5

SAME_DOMAIN_DELAY_MS: Final = 1
PLATFORM_DELAY_MS: Final = 2
JITTER_SHARE: Final = 0.1
RETRANSMISSION_MS: Final = (200, 2_000)
CONNECTION_SETUP_MS: Final = 12
# Both ends detect a broken connection by keep-alive or by the connect timeout.
BREAK_DETECTION_MS: Final = 2_000
PULL_TIMEOUT_MS: Final = 1_000
LEASE_CHECK_MS: Final = 50

LEAVING_LIMIT_MS: Final = 2_000
TICKET_LIMIT_MS: Final = 4_000
DRAIN_LIMIT_MS: Final = 30_000
ANSWER_MARGIN_MS: Final = 5_000

EXIT_CLEAN: Final = 0
EXIT_VIOLATIONS: Final = 1
EXIT_USAGE: Final = 2
