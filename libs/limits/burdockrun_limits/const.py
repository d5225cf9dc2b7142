"""Times and shares of the limits of accounts."""

from typing import Final

# Failure domains are cut off from each other for up to 6.5 s; enforcers go on with their leases for
# most of that time. Counted from when the enforcer sent its ask.
LEASE_MS: Final = 6_000
# The owner counts the same times longer, for clocks that differ in rate and for rounding.
CLOCK_RATE_ERROR: Final = 0.05
LEASE_MARGIN_MS: Final = 100
# A new owner waits at most as long as a lease of its predecessor may run.
TAKEOVER_MS: Final = 6_400
# After the start of all nodes the first queries find some that do not answer yet, and nothing is
# leased until they have.
QUERY_INTERVAL_MS: Final = 150
# The number of Poisson arrivals differs from its mean by more than four standard deviations in one
# of 30,000 cases.
BURST_DEVIATIONS: Final = 4.0
ASK_INTERVAL_MS: Final = 250
# An account without demand for this long is not asked for any more.
DEMAND_KEPT_MS: Final = 2_000
# Demand is an exponentially weighted mean over this time.
DEMAND_MEAN_MS: Final = 1_000.0
# Longest wait of an operation for the answer of the owner, which usually takes 10 ms.
MAX_WAIT_MS: Final = 60
# Single tokens serve the operations that wait for them. They can be used for a little longer than
# such an operation waits, counted from when the ask was sent.
TOKEN_MS: Final = 70
# The same for the owner: 5% and the rounding of times later.
TOKEN_HOLD_MS: Final = 80
# Window in which a limit is kept where the settings name none.
DEFAULT_WINDOW_S: Final = 5.0
# An ask for waiting operations is repeated after this time; the usual answer takes a third of it.
REPEAT_MS: Final = 30
# A grant that said that the limit is used up counts for at most this long.
USED_UP_MS: Final = 500
# An owner that has not answered for this long is not waited for.
SILENT_MS: Final = 500
# A clock that has jumped by more than this shows that the process was paused.
PAUSE_MS: Final = 1_000
# Retry times get up to this share added, so that refused clients do not return together.
RETRY_JITTER: Final = 0.5
MAX_RETRY_MS: Final = 5_000
# Only enforcers with this much demand get a lease. Below it one ask for each operation costs no
# more messages than the upkeep of a lease, and tokens that lie unused in a lease are missed by the
# other enforcers. A lease is kept down to half of it.
MIN_LEASE_DEMAND_PER_S: Final = 3.0
# Share of the burst that may be leased; the rest absorbs bursts at the owner, wherever they come.
LEASED_BURST_SHARE: Final = 0.5
# Share of the unused rate that enforcers get beyond their demand.
LEASED_SPARE_SHARE: Final = 0.5
# A bucket of burst b gets b / (b + OVERFLOW_BURST) of the fair rate. The remainder comes from the
# owner token by token. With Poisson arrivals a bucket then overflows 2 to 6% of the time, whatever
# its burst, and all other tokens of a limit that is used up are used.
OVERFLOW_BURST: Final = 4.0
# A lease stays as it is while its shares change by less: demand is measured over a second, and a
# few operations more or less are chance. Each change of a lease counts twice until it is reported.
KEPT_CHANGE: Final = 0.3
# Shares of all enforcers of an account are computed anew after this time at the latest.
REVIEW_MS: Final = 500
# An enforcer is asked about a renewal when its demand has changed by this share.
DEMAND_CHANGE: Final = 0.25
RENEWAL_MS: Final = 1_000
# After a node has told a new owner what it holds, it ignores other nodes that it takes for the
# owner for this long. A former owner has stopped by then: it grants nothing when its copy of the
# store is older than 2.4 s.
FORMER_OWNER_MS: Final = 3_000
# Tokens and rates in messages are rounded down to this fraction.
PRECISION: Final = 1_000
MIN_LIMITERS: Final = 3
NODES_PER_LIMITER: Final = 50
# Names of accounts in one query, which must fit into a datagram of 1,200 bytes.
QUERY_NAME_BYTES: Final = 900
