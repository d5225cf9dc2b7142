"""Constants, metric names and log events of admission."""

from typing import Final

from burdockrun_base import Level, define_event

# Estimate before any sample. The wide deviation keeps admission low until there are measurements.
INITIAL_SERVICE_MS: Final = 4.0
INITIAL_DEVIATION_MS: Final = 4.0
# The first samples weigh more, so that the estimate soon reflects the real service time.
WARM_UP_SAMPLES: Final = 30
# The weight of a sample is 1/5 at first; after this many, three quarters of the initial estimate
# have been replaced.
COLD_SAMPLES: Final = 8
MIN_SERVICE_MS: Final = 0.1
SERVICE_EWMA_WEIGHT: Final = 0.03
# Samples are clipped at this many deviations above the mean.
OUTLIER_DEVIATIONS: Final = 5.0
# 99.9% of ordinary service times are below the mean plus this many mean absolute deviations.
TAIL_DEVIATIONS: Final = 5.0
# Deviations for the summed service time of the queue, which is closer to a normal distribution.
QUEUE_DEVIATIONS: Final = 4.0
# Deviations above the mean for the expected end of a running statement; most end earlier.
BUSY_DEVIATIONS: Final = 1.0
# Share of the urgent work that misses its target while slow statements occupy all slots.
BLOCKED_SHARE: Final = 0.25

USAGE_WINDOW_MS: Final = 500.0
ADMITTED_EWMA_WEIGHT: Final = 0.02
SHARE_TTL_MS: Final = 20
MIN_SHARE: Final = 0.01
# Floor credit is capped at this many service times.
MAX_FLOOR_CREDIT: Final = 8.0
# A free slot is normally given to waiting work within the same event. If that takes longer, the
# member accepts no work. Such a stall lasts from 12 ms (opening a connection) to seconds (a new
# primary), so its expected remaining time is a multiple of the time that it has lasted.
STALL_GRACE_MS: Final = 2
STALL_FACTOR: Final = 3.0
MIN_PROBE_INTERVAL_MS: Final = 20

MIN_ACCOUNT_WEIGHT: Final = 0.05
MAX_ACCOUNT_CHARGE: Final = 4.0
MIN_STALE_ENTRIES: Final = 64

# Opening a connection occupies a slot of the member for this long.
OPENING_MS: Final = 12.0
# A connection is not closed for another account within this time after it was opened if an older
# one is idle: with 86 accounts it would otherwise be opened again for the next statement.
YOUNG_CONNECTION_MS: Final = 250
# Slots for which connections are kept free of open transactions: one set runs while the next one
# is being opened.
TRANSACTION_RESERVE_SLOTS: Final = 2
# Rank of statements of the gateway itself, which go before all work.
CONTROL_RANK: Final = "control"

MIN_RETRY_AFTER_MS: Final = 20
# Retry times are lengthened by up to this share, so that refused clients do not return at once.
RETRY_JITTER: Final = 0.5
MAX_RETRY_AFTER_MS: Final = 5_000
# An account may have at most this many times as many requests in flight as the limit leaves free.
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
    402,
    "work_expired",
    Level.DEBUG,
    "A waiting request was dropped because it cannot finish before its deadline",
)
EVENT_ACCOUNT_LIMITED: Final = define_event(
    403, "account_limited", Level.WARNING, "A client account has too many requests in flight"
)
