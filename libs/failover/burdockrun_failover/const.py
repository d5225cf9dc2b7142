"""Limits, intervals and log events of failover."""

from typing import Final

from burdockrun_base import Level, define_event
from burdockrun_messages import MAX_COUNT

RECORD_KEY_PREFIX: Final = "groups/"
MAX_TERM_STARTS: Final = 16
# A member that tells a later term is not believed: a promotion beyond it could reach `MAX_COUNT`,
# past which no answer of a member is understood.
MAX_BELIEVED_TERM: Final = MAX_COUNT // 2

PROBES_PER_SECOND: Final = 8
PROBE_INTERVAL_MIN_MS: Final = 200
PROBE_INTERVAL_MAX_MS: Final = 1_000
OBSERVED_COUNT_EXPIRY_MS: Final = 2_000
FAST_PROBE_INTERVAL_MS: Final = 100
# A primary in an uncertain state is probed at this interval for a few hundred ms, so that message
# loss alone does not look like a failure: with 30% loss each way, 12 probes all fail with p = 3e-4.
PRIMARY_FAST_PROBE_INTERVAL_MS: Final = 40
FAST_PROBE_AFTER_MS: Final = 100
PROBE_TIMEOUT_MS: Final = 400

# A replica that has received nothing from its primary for this time is probed at the fast rate, and
# its home probes the primary itself, so that the verdict need not wait for the next regular probe.
UPSTREAM_SILENT_MS: Final = 200
SUSPECT_AFTER_MS: Final = 600
# A member needs this many unanswered probes to count as silent: with one probe per second, a single
# lost answer would otherwise look like a long silence.
SUSPECT_MIN_PROBES: Final = 12
# Limit for a primary that does not respond to the home of a replica which receives nothing from it
# either. It is shorter than SUSPECT_AFTER_MS because the replica's report is evidence as well.
DIRECT_SILENT_MS: Final = 450
# A primary that answers homes but reaches no replica cannot acknowledge writes. While the primary
# answers all probes, the replica's loss of contact is not due to message loss; otherwise the much
# longer limit for lossy paths applies.
UPSTREAM_LOST_MS: Final = 2_000
RELIABLE_PATH_PROBES: Final = 16
UPSTREAM_LOST_ON_LOSSY_PATH_MS: Final = 10_000
# When the home of the primary cannot reach it for this time but other homes can, a planned change
# moves the role.
UNREACHABLE_AT_HOME_MS: Final = 2_000
STATUS_FRESH_MS: Final = 400
STUCK_AFTER_MS: Final = 2_000
# Other homes confirm a stuck primary with their own probes; its home has already waited for
# STUCK_AFTER_MS.
STUCK_CONFIRM_MS: Final = 300
STUCK_MIN_ANSWERS: Final = 3
VERDICT_REPEAT_MS: Final = 100
VERDICT_FRESH_MS: Final = 500
# Ticks come at least every 50 ms; a gap of this length counts as a pause of the process even if
# none was reported.
PAUSE_DETECTION_MS: Final = 400
# Verdicts that were queued during a pause arrive within this time after it.
STALE_VERDICT_MS: Final = 200

LEAD_ORDER_DELAY_MS: Final = 300
STALL_AFTER_MS: Final = 1_000
MAX_STALL_MS: Final = 30_000
CONTROL_TIMEOUT_MS: Final = 400
CONTROL_RETRY_MS: Final = 100
FENCE_RETRY_MAX_MS: Final = 1_000
# A planned change fences only the old primary at first, and all members after this time without an
# answer.
PRIMARY_FENCE_MS: Final = 300
AVOID_TIMEOUT_MS: Final = 500
CATCH_UP_POLL_MS: Final = 10
# The target of a planned change usually has the whole log within one network delay. After
# CATCH_UP_TIMEOUT_MS the replicas are fenced, and a majority of them can take over without the
# unacknowledged entries. After CHANGE_TIMEOUT_MS the change is abandoned and normally the old
# primary continues in the new term, which keeps the write gap near the goal of 100 ms.
CATCH_UP_TIMEOUT_MS: Final = 20
CHANGE_TIMEOUT_MS: Final = 70
FOLLOW_REPEAT_MS: Final = 200
CONFIRM_TIMEOUT_MS: Final = 300
CHANGE_REPEAT_MS: Final = 5_000
CHANGE_REPEAT_MAX_MS: Final = 60_000
CHANGE_MAX_TRIES: Final = 5
CHANGE_MAX_BEHIND_ENTRIES: Final = 200

PLATFORM_TIMEOUT_MS: Final = 1_000
# The timeout grows with each failure up to this limit, so that a platform slower than the first
# timeout can still answer.
PLATFORM_TIMEOUT_MAX_MS: Final = 8_000
PLATFORM_QUICK_RETRY_MS: Final = 20
PLATFORM_RETRY_MIN_MS: Final = 250
PLATFORM_RETRY_MAX_MS: Final = 30_000
REREAD_MIN_MS: Final = 1_000
READ_JITTER_MS: Final = 50

# With rule `primary` a new write is acknowledged without a second copy, so only a long lag of the
# confirmed index justifies it.
PRIMARY_RULE_AFTER_MS: Final = 10_000
MAJORITY_RULE_AFTER_MS: Final = 5_000
CAUGHT_UP_LAG_MS: Final = 500

AWAIT_MAX_CALLS: Final = 4
AWAIT_MAX_WAIT_MS: Final = 1_000
AWAIT_REPLY_MARGIN_MS: Final = 200
AWAIT_RETRY_MS: Final = 20

PRIMARY_SUSPECTED = define_event(
    501, "primary_suspected", Level.WARNING, "The home of a member considers the primary failed."
)
SUSPICION_CLEARED = define_event(
    502, "suspicion_cleared", Level.INFO, "The home of a member sees the primary working again."
)
PROMOTION_STARTED = define_event(
    503, "promotion_started", Level.WARNING, "This node prepares a new term of a database group."
)
MEMBER_CHOSEN = define_event(
    504, "member_chosen", Level.INFO, "Enough members are fenced and the next primary is chosen."
)
TERM_ACTIVATED = define_event(
    505, "term_activated", Level.WARNING, "A new term is in force and accepts writes."
)
PROMOTION_LOST = define_event(
    506, "promotion_lost", Level.INFO, "Another node has changed the group record first."
)
PROMOTION_STALLED = define_event(
    507,
    "promotion_stalled",
    Level.WARNING,
    "A new term could not be activated and is replaced by a later one.",
)
CHANGE_ABANDONED = define_event(
    508,
    "change_abandoned",
    Level.WARNING,
    "The target did not catch up in time; normally the old primary continues in the new term.",
)
MEMBER_TOLD_TO_FOLLOW = define_event(
    509, "member_told_to_follow", Level.INFO, "A member was told to follow the primary."
)
RECORD_INVALID = define_event(
    510, "record_invalid", Level.ERROR, "The group record in the platform's store is unreadable."
)
PLATFORM_RETRIED = define_event(
    511, "group_record_retried", Level.WARNING, "A call for the group record failed; it is retried."
)
ACK_RULE_CHANGED = define_event(
    512,
    "ack_rule_changed",
    Level.WARNING,
    "A new term with another acknowledgement rule is prepared.",
)
