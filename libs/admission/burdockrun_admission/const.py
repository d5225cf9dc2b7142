"""Limits and log events of admission."""

from typing import Final

from burdockrun_base import Level, define_event

# The first deviation is wide, so that little is admitted on a guess.
FIRST_SERVICE_MS: Final = 4.0
FIRST_DEVIATION_MS: Final = 4.0
FIRST_SAMPLES: Final = 30
MIN_SERVICE_MS: Final = 0.1
SERVICE_EWMA_WEIGHT: Final = 0.03
# A sample this many deviations above the mean counts as an outlier and is cut off there.
OUTLIER_DEVIATIONS: Final = 5.0
# Mean absolute deviations above the mean that 99.9% of ordinary service times stay below.
TAIL_DEVIATIONS: Final = 5.0
# The same for the sum of the service times of the work ahead, which is closer to normal.
QUEUE_DEVIATIONS: Final = 4.0
# The same for the end of the statement that holds a slot, most of which end earlier.
BUSY_DEVIATIONS: Final = 1.0
# Share of the urgent work that slow statements in all slots make late, as simulated.
BLOCKED_SHARE: Final = 0.25

USAGE_WINDOW_MS: Final = 500.0
ADMITTED_EWMA_WEIGHT: Final = 0.02
SHARE_LIFE_MS: Final = 20
MIN_SHARE: Final = 0.01
# Floor credit is kept within this many service times.
MAX_FLOOR_CREDIT: Final = 8.0
# A free slot is given to waiting work within the same event; a longer gap means that the member
# takes nothing. Gaps last from 12 ms (opening a connection) to seconds (a new primary), so the
# expected rest of a gap is a multiple of its age.
READY_GRACE_MS: Final = 2
READY_STALL_FACTOR: Final = 3.0
MIN_PROBE_MS: Final = 20

MIN_ACCOUNT_WEIGHT: Final = 0.05
MAX_ACCOUNT_CHARGE: Final = 4.0
MIN_STALE_ENTRIES: Final = 64

MIN_RETRY_AFTER_MS: Final = 20
MAX_RETRY_AFTER_MS: Final = 5_000
ACCOUNT_SPARE_FACTOR: Final = 4

METRIC_REFUSED: Final = "admission.refused"
METRIC_EXPIRED: Final = "admission.expired"
METRIC_ACCOUNT_LIMITED: Final = "admission.account_limited"
METRIC_WAIT_MS: Final = "admission.wait_ms"
METRIC_SERVICE_MS: Final = "admission.service_ms"

EVENT_WORK_REFUSED: Final = define_event(
    401, "work_refused", Level.DEBUG, "A request was refused because its expected wait is too long"
)
EVENT_WORK_EXPIRED: Final = define_event(
    402, "work_expired", Level.DEBUG, "A waiting request was dropped because its deadline passed"
)
EVENT_ACCOUNT_LIMITED: Final = define_event(
    403, "account_limited", Level.WARNING, "A client account has too many requests in flight"
)
