"""Times and limits of group decisions."""

from typing import Final

# Duration of a primary lease; it starts when the node asks for the record that names the primary.
PRIMARY_LEASE_MS: Final = 1_500
# Allows for the drift between the boot clocks of two machines during one lease.
PRIMARY_LEASE_MARGIN_MS: Final = 100
# Reports of a majority are enough for a node whose members were confirmed less than this ago. While
# a node may be without the store, a promotion counts a member whose entry has lapsed for as long.
KNOWN_MEMBERS_MS: Final = 10_000
# A promotion keeps the replicas paused at least this long while a node may not know of it. A node
# that hears of a replica at shorter intervals, `MAX_REPORT_GAP_MS`, cannot miss the pause.
MIN_PAUSE_MS: Final = 2_500
MAX_REPORT_GAP_MS: Final = MIN_PAUSE_MS - PRIMARY_LEASE_MARGIN_MS
# Allowance for the travel time of statements and answers; subtracted from the maximum staleness.
STALENESS_MARGIN_MS: Final = 100
MAX_SAMPLES: Final = 64
SAMPLE_SPACING_MS: Final = 50
# A replica has probably applied what the primary had this long ago; several times the usual lag.
LIKELY_APPLIED_MS: Final = 200
# Added to the expected time of the primary, to keep it free for writes. It is less than the network
# delay between failure domains, so no read goes to another domain because of it.
PRIMARY_PENALTY_MS: Final = 4.0
# Weights of a new sample in the mean lag of a replica and in its deviation, and how many deviations
# are added for a lag that is seldom exceeded; as for the retransmission time of TCP (RFC 6298),
# with 2 in place of 4 deviations, since a replica that lags only costs a round trip.
LAG_WEIGHT: Final = 0.125
LAG_DEVIATION_WEIGHT: Final = 0.25
LAG_DEVIATIONS: Final = 2.0
# Members that are compared for a read; 0 compares all of them. See docs/decisions/home-callers.md.
READ_SAMPLES: Final = 0
# A read of the same session stays at its member unless another one is faster by this factor.
KEEP_MEMBER_FACTOR: Final = 1.25
# A member is avoided when its expected time without network delay exceeds that of the chosen one
# by this factor. A share of the repeatable reads goes there once its last answer has this age.
AVOIDED_FACTOR: Final = 2.0
PROBE_READ_SHARE: Final = 0.05
PROBE_READ_AGE_MS: Final = 1_000
MIN_SERVICE_MS: Final = 5.0
# If the share of each node in the connections to a member is below this, a few homes own them all.
MIN_OWN_CONNECTIONS: Final = 2
# Connections of each home to a member; with fewer, requests wait for each other.
HOME_CONNECTIONS: Final = 5
# A member with more homes than this for each of its slots gets a single one: even if each home
# sends one statement at a time, one then waits at the member as long as it runs. The best value is
# not known: in virtual time (docs/decisions/concurrency.md) 8 homes of a member with 4 slots
# answer 0.29 of an overload in time, 3 homes 0.69 and one home 0.71.
MAX_HOMES_PER_SLOT: Final = 2
# With a single home, nodes of the member's own failure domain that are candidates for it.
LOCAL_CANDIDATES: Final = 2
# A node that has become the first candidate for a home uses half of its quota for this long:
# members keep the connections of a lost home for 3 s, and a home that steps back lets its open
# transactions end.
FIRST_HOME_RAMP_MS: Final = 3_000
# A later candidate that has stepped in serves until no node has asked it for this long and an
# earlier candidate answers again.
STEP_BACK_MS: Final = 2_000
# Members are hashed into this many buckets, whose members share their homes.
HOME_BUCKETS: Final = 512
# Ranks of a failure domain that are kept for each bucket besides those that plans use. Each saves
# ranking the whole domain anew once, when a home leaves.
SPARE_RANKS: Final = 4
# In a failure domain with at most this many nodes, each polls the shared store itself.
SMALL_DOMAIN_NODES: Final = 3
FOLLOWERS_PER_SOURCE: Final = 25
# Nodes that a copy source asks in turn for their copies while the store refuses it.
SUBSTITUTES: Final = 4
