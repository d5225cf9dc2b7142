"""Times, limits and log events of the gateway."""

from typing import Final

from burdockrun_base import Level, define_event
from burdockrun_groups import PRIMARY_LEASE_MARGIN_MS, PRIMARY_LEASE_MS
from burdockrun_statements import HOME_REFUSAL_CODES, ErrorCode

# Keys that the gateways write to the shared store.
GROUPS_PREFIX: Final = "burdockrun/groups/"
NODES_PREFIX: Final = "burdockrun/nodes/"
ACKS_PREFIX: Final = "burdockrun/acks/"
SUSPECTS_PREFIX: Final = "burdockrun/suspects/"
PROMOTION_LEASE_KEY: Final = "burdockrun/duty"
# Nodes that have started and not ended; such a key stays when the registration lapses.
PRESENCE_PREFIX: Final = "burdockrun/present/"

# Interval between polls of the store; at least one of them is answered within each primary lease.
STORE_POLL_INTERVAL_MS: Final = 1_000
STORE_MIN_POLL_INTERVAL_MS: Final = 20
# Interval while a primary is lost or being replaced: any node may write the report or record that
# the next step of the replacement needs.
STORE_ALERT_POLL_INTERVAL_MS: Final = 150
# Longest time for which the store may wait for a change before it answers a poll.
STORE_WATCH_MS: Final = 100
STORE_RETRY_MS: Final = 100
STORE_RETRY_MAX_MS: Final = 400
# Time-outs of polls while the store is lost, used in turn: the short one notices its return soon,
# the long one also lets a slow store answer.
STORE_LOST_POLL_TIMEOUTS_MS: Final = (400, 1_000)

# A copy that is further behind after a failed poll is listed again: the history of a storm of
# configurations is many times larger than the newest one.
RELIST_AFTER_MS: Final = 3_000

NODE_LEASE_MS: Final = 2_500
NODE_RENEWAL_MS: Final = 800
# A node that ends waits this long for the answer to a registration under way before it removes it.
REGISTRATION_WAIT_MS: Final = 400
# How often a node that ends tries to remove its keys.
RELEASE_TRIES: Final = 3
PROMOTION_LEASE_DURATION_MS: Final = 1_000
PROMOTION_LEASE_RENEWAL_MS: Final = 300
# A lease that a renewal without an answer has renewed has ended this long after it was sent.
PROMOTION_LEASE_DOUBT_MS: Final = PROMOTION_LEASE_DURATION_MS + PROMOTION_LEASE_RENEWAL_MS
# A node without the promotion lease checks at this interval, and at each change of the store,
# whether the lease is free.
PROMOTION_LEASE_CHECK_MS: Final = 500
# A key of the promotion lease that names no possible holder is removed after this time. By then a
# lease would have ended, and the registration of a holder that has just started would be listed.
STRAY_LEASE_KEY_MS: Final = 3_000
# A holder orders promotions only within this time after a poll that showed it as the holder. A new
# holder waits this long before its first order, so the orders of two holders do not overlap.
PROMOTION_LEASE_CONFIRMATION_MS: Final = 1_400
# Low bits of a fencing number, for the revision; the era of the store is above them. The number
# stays below 2 ** 53, which JSON readers can represent.
FENCE_REVISION_BITS: Final = 40
# Members whose entries lapsed during an outage of the store register again within two seconds.
DISCOVERY_SETTLE_MS: Final = 2_500
# A member writes its entry again at each heartbeat. A primary whose entry is unreadable for longer
# than it may take to come back after an outage is replaced.
UNREADABLE_MEMBER_MS: Final = DISCOVERY_SETTLE_MS
# Such a primary gets new statements until its replacement has been announced, at most for this
# share of the time for which a member goes on after it has announced its end.
UNREADABLE_PRIMARY_SHARE: Final = 0.85

CONNECT_TIMEOUT_MS: Final = 600
RECONNECT_DELAY_MS: Final = 100
CONNECTION_LIMIT_DELAY_MS: Final = 250
SILENCE_MS: Final = 600
PROBE_INTERVAL_MS: Final = 1_000
REPORT_INTERVAL_MS: Final = 500
# Members are asked for reports when the store has not confirmed the group record for this long.
CONFIRMATION_OVERDUE_MS: Final = STORE_POLL_INTERVAL_MS + STORE_WATCH_MS + 150
# A node that others follow asks a primary for its position before it tells them of a poll of the
# store, unless it knows one of this age. With the interval of the polls, a position is then younger
# than the shortest staleness that reads usually accept, 1.5 s.
SHARED_POSITION_REFRESH_MS: Final = 250
# Followers hear of the poll after this time, in which the primaries answer.
SHARED_POSITION_WAIT_MS: Final = 30
MAX_SHARED_POSITION_AGE_MS: Final = 1_500
STATUS_TIMEOUT_MS: Final = 500
# A statement that was unanswered when its connection was closed counts as silence of the member for
# this long.
UNANSWERED_MEMORY_MS: Final = 1_500
# After another node has reported a primary as unreachable, it is probed more often and suspected
# after a shorter silence, for this long.
PEER_SUSPICION_MS: Final = 2_000
PEER_SUSPICION_PROBE_MS: Final = 100
PEER_SUSPICION_SILENCE_MS: Final = 300
# A client whose key was revoked may finish its open transaction within this time. The store is
# polled every second, so the key has then stopped working within 2 s for new statements.
REVOKED_TRANSACTION_MS: Final = 1_500
# Idle connections beyond the minimum are closed soon: if this machine is lost, its connections use
# up the limit of the member for seconds.
IDLE_LINK_MS: Final = 100
# Members keep the connections of lost machines for three seconds. After a start or a refusal a node
# opens only one connection to a member for this long, so that each node gets one after a restart of
# all nodes.
SINGLE_CONNECTION_MS: Final = 1_200
# An observer has only its own probes to notice a silent primary. When the statements of its clients
# have had no answer for this long, it probes every `PEER_SUSPICION_PROBE_MS`; it then has its own
# evidence by the time at which these statements count as silence of the member, `SILENCE_MS`.
OBSERVER_ALERT_MS: Final = 150
TICK_MS: Final = 50
# A background task that has failed runs again after this time, at first. Its cause often remains,
# so the time doubles up to the limit, within which a node must follow a configuration.
TASK_RETRY_MS: Final = 100
TASK_RETRY_MAX_MS: Final = 2_000
# An item of the store whose handling has failed is handled again after this time, then after twice
# the time, and so on. Its cause often remains, so it then waits for the next complete listing.
ITEM_RETRY_MS: Final = 250
ITEM_RETRIES: Final = 5
# Failures of one kind are logged at most this often for each task.
TASK_LOG_INTERVAL_MS: Final = 5_000
# A node that failed to answer is passed over for this long. Homes are tried again soon, because
# after a restart of all nodes they may only need a moment longer to start.
HOME_RETRY_MS: Final = 500
# With accounts, a candidate that failed is passed over until its registration has lapsed if it is
# lost. Trying it again sooner would let requests wait for it although another candidate serves.
CANDIDATE_RETRY_MS: Final = 3_000
# A candidate that has stepped in checks at this interval whether an earlier one answers again.
STEP_BACK_CHECK_MS: Final = 500
COPY_SOURCE_RETRY_MS: Final = 2_000
# A copy that is too old is asked for again after this time, in which its node polls the store at
# least once while a primary is lost or being chosen, as after a start of all nodes. Until then each
# node that asks polls the store itself.
OLD_COPY_RETRY_MS: Final = 300
PEER_TIMEOUT_MS: Final = 250
# A node whose registration has lapsed, though it had not announced its end, is served this long.
LAPSED_PEER_MS: Final = 60_000
# A node that has been unregistered for this long is taken for removed. Regions are cut off from
# each other for less.
ABSENT_NODE_KEPT_MS: Final = 24 * 3_600_000
# The store may come back from a copy that is some seconds old, with keys of nodes that have ended.
ENDED_NODE_KEPT_MS: Final = 60_000
MAX_REMOVED_NODES: Final = 32  # entries of one transaction
# A copy of another node that is older than this is not used. The copy of a node that reaches the
# store is at most as old as one poll interval and one wait for a change.
MAX_COPY_AGE_MS: Final = STORE_POLL_INTERVAL_MS + STORE_WATCH_MS + 50
# Number of changed keys that a node keeps for the nodes that follow its copy.
COPY_HISTORY_CHANGES: Final = 2_000
# Connections to a member through one of its several homes, at which requests wait without a queue
# of the member; the node has a queue of its own.
CONNECTIONS_THROUGH_SEVERAL_HOMES: Final = 8
# Connections to a single home, which has the only queue of the member: what would wait at the node
# has to wait there. The number bounds the sockets at a home (part D of accounts-and-load.md).
CONNECTIONS_THROUGH_HOMES: Final = 64
# Of the connections to a home, as many are kept open for `IDLE_HOME_LINK_MS` while idle, since
# opening one takes two round trips. Any more are surplus of a burst, closed after `IDLE_LINK_MS`.
KEPT_HOME_LINKS: Final = 8
IDLE_HOME_LINK_MS: Final = 5_000
# A load that a home reported, or a measured response time, is taken as it is for this long; its
# weight is then halved in each half-life. Queues of a home change completely within a second.
LOAD_FRESH_MS: Final = 1_000
LOAD_HALF_LIFE_MS: Final = 1_000
# A measurement that comes this long after the previous one replaces it for the most part, so that
# a few sparse reads show whether a member has recovered.
RESPONSE_MEMORY_MS: Final = 1_000
# Weight of a response in the usual response time of a member.
USUAL_WEIGHT: Final = 0.02

# Asks for waiting operations go to an owner at this interval at most, with all accounts that wait.
LIMIT_ASK_SPACING_MS: Final = 20
# The owner of an account grants only within this time after a poll that showed its registration.
# The copy of a node that follows another one is up to two poll intervals and two waits old.
LIMIT_OWNER_CONFIRMATION_MS: Final = 2 * (STORE_POLL_INTERVAL_MS + STORE_WATCH_MS) + 200
# An owner that has lost the store may grant for this long after its registration has expired,
# which is NODE_LEASE_MS after its last renewal.
LIMIT_LAPSED_OWNER_MS: Final = LIMIT_OWNER_CONFIRMATION_MS - (NODE_LEASE_MS - NODE_RENEWAL_MS)
LIMIT_TAKEOVER_TICK_MS: Final = 50
# An owner that is asked about an account of another owner polls the store at most this often.
LIMIT_POLL_SPACING_MS: Final = 200
# Refusals for the limit of an account are logged at most this often for each account.
LIMIT_LOG_INTERVAL_MS: Final = 5_000

# A change of the limit of a member is logged if the limit differs by this factor from the one that
# was logged last. Changes and refusals are logged at most once per member in this time.
LOGGED_LIMIT_FACTOR: Final = 1.5
QUEUE_EVENT_INTERVAL_MS: Final = 5_000
CLIENTS_LOG_INTERVAL_MS: Final = 5_000
SETUP_LOG_INTERVAL_MS: Final = 5_000
QUEUE_GAUGE_INTERVAL_MS: Final = 1_000

# Longest wait for a connection before a request is refused, as a share of the route's target.
ADMISSION_SHARE: Final = 0.6
# Longest wait for a primary that is being replaced, as a share of the route's target.
PRIMARY_WAIT_SHARE: Final = 0.25
RETRY_DELAY_MS: Final = 10
# Answers that say that a statement did not run since a member or its home is full.
FULL_CODES: Final = frozenset({ErrorCode.BUSY, *HOME_REFUSAL_CODES})
# Longest wait before the primary is looked up again.
PRIMARY_WAIT_STEP_MS: Final = 25
CONFIRM_WAIT_MS: Final = 700
READ_TIMEOUT_SHARE: Final = 0.5
MIN_TIMEOUT_MS: Final = 100
ROLLBACK_TIMEOUT_MS: Final = 1_000
# Told to refused clients where nothing is known of when a retry will succeed.
RETRY_AFTER_MS: Final = 200
# Retry times are randomized by up to this share, and an estimate is not trusted beyond the limit.
RETRY_JITTER: Final = 0.5
MAX_RETRY_AFTER_MS: Final = 2_000
# Work is queued at a home if it is expected to be answered within this share of the route's time
# limit, although after its target (refusal rules of accounts-and-load.md). The remainder is for the
# answers that take longer than expected.
LATE_WORK_SHARE: Final = 0.8
# Longest wait of a read for a replica to catch up, as a share of the route's target.
CATCH_UP_SHARE: Final = 0.25
MAX_TRIES: Final = 6

DEFAULT_RESPONSE_MS: Final = 12.0
OTHER_DOMAIN_DELAY_MS: Final = 10.0
ESTIMATE_WEIGHT: Final = 0.1
# After a replica has refused a read because it lagged, it gets for this long only reads whose
# position it is known to have applied.
LAGGING_BACKOFF_MS: Final = 500

# The holder of the promotion lease checks a group when something about it has changed, and all
# groups at this interval, since the number of nodes that watch a primary may have changed too.
SUPERVISION_INTERVAL_MS: Final = 1_000
# A holder whose supervisor has failed this often in a row gives up the promotion lease, and leaves
# it to other nodes for this time.
MAX_SUPERVISOR_FAILURES: Final = 3
# The same for the checks of a single group, at most: these go on once in `SUPERVISION_INTERVAL_MS`.
MAX_CHECK_FAILURES: Final = 48
PROMOTION_LEASE_YIELD_MS: Final = 10_000
PROMOTION_POLL_MS: Final = 25
PROMOTION_TIMEOUT_MS: Final = 4_000
CATCH_UP_TIMEOUT_MS: Final = 500
# From the choice of a draining member until nobody uses it any more: its own promotion, for which
# the platform takes some hundred ms, the announcement of its end, and a search for its successor.
REPLACEMENT_MS: Final = 1_000 + PRIMARY_LEASE_MS + PRIMARY_LEASE_MARGIN_MS + CATCH_UP_TIMEOUT_MS
PROMOTION_RETRY_MS: Final = 300
# At most this many nodes are named in a log line.
MAX_LOGGED_NODES: Final = 8

# After a start, sessions of a database are opened once its primary can be reached, or after this
# time.
START_WAIT_MS: Final = 1_000
START_POLL_MS: Final = 10

# A port that another program holds, often the one before it, is tried again at this interval. The
# bound leaves time for a process that ends after its own drain and grace period.
PORT_RETRY_MS: Final = 250
PORT_WAIT_LIMIT_MS: Final = 30_000

# Time from SIGTERM to SIGKILL if the settings name none.
DEFAULT_GRACE_MS: Final = 6_000
# Phases of a drain, as shares of the grace period. Sessions are closed from DRAIN_CLOSE_MS on: by
# then two readiness probes, one second apart, have failed, and the platform sends no new clients.
DRAIN_CLOSE_MS: Final = 2_000
DRAIN_CLOSE_SHARE: Final = 1 / 3
# Open transactions may go on for the first half of the grace period at least.
DRAIN_REFUSE_SHARE: Final = 1 / 2
DRAIN_ABORT_SHARE: Final = 2 / 3
# A statement at a member is waited for up to the last sixth of the grace period.
DRAIN_SETTLE_SHARE: Final = 5 / 6
# The rest is left for the end of the process: at least the second share for its registration.
DRAIN_END_SHARE: Final = 11 / 12
DRAIN_UNREGISTER_SHARE: Final = 1 / 24
# A drain ends early once no client has come for this long: connections that the platform had opened
# before the second failed probe may still be on their way.
DRAIN_QUIET_MS: Final = 250
DRAIN_TICK_MS: Final = 20
# Steps of the event loop from a connection in the accept backlog to its first data: poll, accept,
# set-up of the transport, start of reading, poll.
ACCEPT_STEPS: Final = 5
# Told to clients that are refused since the node stops: other nodes can serve them at once.
STOPPING_RETRY_MS: Final = 20
# A client that has sent no request for this long is unlikely to send one just now. The shorter time
# is used on an isolated node.
IDLE_CLIENT_MS: Final = 100
IDLE_CLIENT_FORCE_MS: Final = 20
# A node is isolated when statements wait at several members of other domains, none of these members
# has sent anything for ISOLATED_SILENCE_MS, and the store does not answer a poll either. The store
# is polled after ISOLATED_POLL_MS, so that its answer is known by then.
ISOLATED_MEMBERS: Final = 2
ISOLATED_POLL_MS: Final = 150
ISOLATED_SILENCE_MS: Final = 350  # above the 200 ms after which TCP resends a lost packet
ISOLATED_STORE_MS: Final = STORE_WATCH_MS + 150
# The platform sends no new clients after this many failed readiness probes in a row.
MAX_UNREADY_PROBES: Final = 2

GATEWAY_STARTED = define_event(
    1301, "gateway_started", Level.INFO, "The gateway accepts connections."
)
GATEWAY_DRAINING = define_event(
    1302,
    "gateway_draining",
    Level.INFO,
    "The gateway has been asked to stop; it is not ready any more and drains.",
)
GATEWAY_STOPPED = define_event(1303, "gateway_stopped", Level.INFO, "The gateway has stopped.")
PORT_HELD = define_event(
    1350, "port_held", Level.WARNING, "A port cannot be opened; it is tried again."
)
PORT_OPENED = define_event(
    1351, "port_opened", Level.INFO, "A port that could not be opened before is open."
)
PORT_GIVEN_UP = define_event(
    1352, "port_given_up", Level.ERROR, "A port could not be opened in time; the gateway ends."
)
CLIENTS_REFUSED = define_event(
    1353,
    "clients_refused",
    Level.WARNING,
    "A client was refused since this node has as many connections as its descriptors allow.",
)
STORE_LOST = define_event(
    1304, "store_lost", Level.WARNING, "A call to the shared store has failed."
)
STORE_REGAINED = define_event(1305, "store_regained", Level.INFO, "The shared store answers again.")
CONFIGURATION_IN_FORCE = define_event(
    1306, "gateway_configuration", Level.INFO, "A change ticket is in force at this gateway."
)
DOCUMENT_UNUSABLE = define_event(
    1307, "store_document_unusable", Level.WARNING, "A value in the store could not be decoded."
)
DOCUMENT_USABLE = define_event(
    1370,
    "store_document_usable",
    Level.INFO,
    "A value in the store that could not be decoded before is sound again, or has been removed.",
)
PRIMARY_LEARNED = define_event(
    1308, "primary_learned", Level.INFO, "The agreed primary of a group has changed."
)
MEMBERS_CHANGED = define_event(
    1309, "members_changed", Level.INFO, "The members of a group or their states have changed."
)
MEMBER_SUSPECTED = define_event(
    1310, "member_suspected", Level.WARNING, "This node cannot reach the primary of a group."
)
MEMBER_REACHED = define_event(
    1311, "member_reached", Level.INFO, "This node reaches the primary of a group again."
)
PROMOTION_LEASE_TAKEN = define_event(
    1312, "duty_taken", Level.INFO, "This node holds the promotion lease."
)
PROMOTION_LEASE_LOST = define_event(
    1313, "duty_lost", Level.WARNING, "This node no longer holds the promotion lease."
)
CHANGE_STARTED = define_event(
    1314, "primary_change_started", Level.WARNING, "The primary of a group is being replaced."
)
CHANGE_ORDERED = define_event(
    1315, "primary_change_ordered", Level.WARNING, "A member was ordered to become the primary."
)
CHANGE_FAILED = define_event(
    1316,
    "primary_change_failed",
    Level.WARNING,
    "A step of the replacement of a primary failed; it is retried.",
)
COMMITS_MAY_BE_LOST = define_event(
    1338,
    "commits_may_be_lost",
    Level.ERROR,
    "A primary was chosen before all members that may have newer commits had answered.",
)
REQUEST_REFUSED = define_event(
    1317, "request_refused", Level.INFO, "A request was refused and has not run."
)
REQUEST_UNRESOLVED = define_event(
    1318, "request_unresolved", Level.WARNING, "The outcome of a request is not known."
)
LINK_LOST = define_event(
    1319, "link_lost", Level.INFO, "A connection to a member has ended or could not be opened."
)
ISOLATED = define_event(
    1320,
    "gateway_isolated",
    Level.WARNING,
    "This node reaches neither the store nor other failure domains.",
)
ISOLATION_ENDED = define_event(
    1321,
    "gateway_isolation_ended",
    Level.INFO,
    "This node reaches other failure domains or the store again.",
)
REQUEST_RETRIED = define_event(
    1322,
    "request_retried",
    Level.INFO,
    "A request did not run, or a read got no answer; it is retried.",
)
REQUEST_LATE = define_event(
    1323, "request_late", Level.INFO, "A request was answered after the target of its route."
)
HOME_PASSED_OVER = define_event(
    1324, "home_passed_over", Level.INFO, "A home of a member did not answer; another one is used."
)
COPY_SOURCE = define_event(
    1325,
    "copy_source",
    Level.INFO,
    "This node now polls the store itself, or follows the copy of another node.",
)
PREVIOUS_PRIMARY_STOPPED = define_event(
    1326,
    "previous_primary_stopped",
    Level.INFO,
    "The holder of the promotion lease takes the previous primary of a group for stopped.",
)
LEASE_BASIS_CHANGED = define_event(
    1327,
    "lease_basis_changed",
    Level.INFO,
    "This node's primary lease of a group now follows the group record, member reports, or none.",
)
STORE_RESTORED = define_event(
    1328,
    "store_restored",
    Level.WARNING,
    "The shared store has come back from an older copy of its contents.",
)
ACCOUNT_LIMITED = define_event(
    1329,
    "account_limit_reached",
    Level.INFO,
    "Operations of an account were refused for its limit.",
)
LIMITS_TAKEN = define_event(
    1330,
    "limits_taken",
    Level.INFO,
    "This node now divides the limits of accounts among the nodes.",
)
LIMITS_TAKEOVER_ENDED = define_event(
    1331,
    "limits_takeover_ended",
    Level.INFO,
    "This node leases the limits of accounts; the nodes have reported what they hold.",
)
LIMIT_OWNER_SILENT = define_event(
    1332,
    "limit_owner_silent",
    Level.WARNING,
    "Operations of an account were refused since the owner of its limit did not answer.",
)
LIMITS_DROPPED = define_event(
    1333,
    "limits_dropped",
    Level.WARNING,
    "This node has dropped its shares of all limits, since it did not run for over a second.",
)
HOME_QUEUE_STARTED = define_event(
    1334,
    "home_queue_started",
    Level.INFO,
    "This node has become a home of a member and queues statements for it.",
)
HOME_QUEUE_ENDED = define_event(
    1335,
    "home_queue_ended",
    Level.INFO,
    "This node is no longer a home of a member; waiting statements were refused.",
)
MEMBER_LIMIT_CHANGED = define_event(
    1336,
    "member_limit_changed",
    Level.INFO,
    "The number of statements that a home gives a member at once has changed.",
)
HOME_QUEUE_REFUSED = define_event(
    1337,
    "home_queue_refused",
    Level.INFO,
    "The queue of a home has refused or dropped statements since the last event of this kind.",
)
HOME_STEPPED_IN = define_event(
    1340,
    "home_stepped_in",
    Level.INFO,
    "This node serves a member as a later candidate, since an earlier one does not answer.",
)
HOME_STEPPED_BACK = define_event(
    1341,
    "home_stepped_back",
    Level.INFO,
    "This node no longer serves a member as a later candidate; an earlier one does.",
)
TASK_FAILED = define_event(
    1342,
    "gateway_task_failed",
    Level.ERROR,
    "Background work of the gateway has raised an unexpected error; it is tried again later.",
)
DRAIN_ENDED = define_event(
    1343,
    "gateway_drain_ended",
    Level.INFO,
    "The drain has ended; sessions that are still open are closed now.",
)
PROMOTION_LEASE_KEY_STRAY = define_event(
    1344,
    "duty_key_stray",
    Level.WARNING,
    "The key of the promotion lease names no node that can hold it; it is removed.",
)
DRAIN_PHASE = define_event(
    1360,
    "gateway_drain_phase",
    Level.INFO,
    "A phase of the drain has started; it serves less than the one before.",
)
DRAIN_CALL_FAILED = define_event(
    1361,
    "gateway_drain_call_failed",
    Level.WARNING,
    "A call to the shared store at the end of this node was not answered in time.",
)
HANDLING_FAILED = define_event(
    1362,
    "request_handling_failed",
    Level.ERROR,
    "An unexpected error was raised while a request was handled; its transaction is rolled back.",
)
SHARING_FAILED = define_event(
    1363,
    "shared_connection_failed",
    Level.ERROR,
    "An unexpected error was raised on a shared connection of another node, which is closed.",
)
LARGE_MESSAGE_REFUSED = define_event(
    1364,
    "large_message_refused",
    Level.WARNING,
    "Clients are sending more unfinished messages than this node may hold; one was refused.",
)
SETUP_REFUSED = define_event(
    1365,
    "member_setup_refused",
    Level.WARNING,
    "A member has refused a statement that sets up a shared connection, or a prepared name there.",
)
MEMBER_STARTED_AGAIN = define_event(
    1380,
    "member_started_again",
    Level.WARNING,
    "A member has lost the log that it had; what was known of its earlier process is forgotten.",
)
REGISTERED = define_event(
    1381, "gateway_registered", Level.INFO, "The shared store has the registration of this node."
)
REGISTRATION_LOST = define_event(
    1382,
    "gateway_registration_lost",
    Level.WARNING,
    "The registration of this node has ended or was changed, though the node goes on.",
)
