"""Limits and log events of admission."""

from typing import Final

from burdockrun_base import Level, define_event

FIRST_SERVICE_MS: Final = 4.0
SERVICE_EWMA_WEIGHT: Final = 0.05
MIN_RETRY_AFTER_MS: Final = 20
MAX_RETRY_AFTER_MS: Final = 5_000
ACCOUNT_SPARE_FACTOR: Final = 4

EVENT_WORK_REFUSED: Final = define_event(
    401, "work_refused", Level.DEBUG, "A request was refused because its expected wait is too long"
)
EVENT_WORK_EXPIRED: Final = define_event(
    402, "work_expired", Level.DEBUG, "A waiting request was dropped because its deadline passed"
)
EVENT_ACCOUNT_LIMITED: Final = define_event(
    403, "account_limited", Level.WARNING, "A client account has too many requests in flight"
)
