"""Limits, intervals and log events of failover."""

from typing import Final

from burdockrun_base import Level, define_event

RECORD_KEY_PREFIX: Final = "groups/"
MAX_TERM_STARTS: Final = 16

PROBES_PER_SECOND: Final = 8
PROBE_MIN_MS: Final = 200
PROBE_MAX_MS: Final = 1_000
UNOBSERVED_AFTER_MS: Final = 2_000
PROBE_SILENT_MS: Final = 100
# A doubted primary is probed at this interval for some hundred ms, so that lost messages alone do
# not look like a failure: with 30% loss on both ways, 12 probes all fail with p = 3e-4.
PROBE_DOUBT_MS: Final = 40
DOUBT_AFTER_MS: Final = 100
PROBE_TIMEOUT_MS: Final = 400

# A replica that reports this silence is asked more often, and its home probes the primary itself,
# so that the verdict does not wait for the next regular probe.
UPSTREAM_DOUBT_MS: Final = 200
SUSPECT_AFTER_MS: Final = 600
# One lost answer after an idle second is no evidence of failure.
SUSPECT_MIN_PROBES: Final = 12
# The home of a replica that lost its primary needs a little less silence of its own probes.
DIRECT_SILENT_MS: Final = 450
# A primary that answers homes but reaches no replica can acknowledge nothing. While all probes are
# answered, the silence cannot come from lost messages; else it takes much longer to be sure.
UPSTREAM_LOST_MS: Final = 2_000
CLEAN_PATH_PROBES: Final = 16
UPSTREAM_LOST_ON_LOSSY_PATH_MS: Final = 10_000
# When its home cannot reach the primary while other homes can, the role moves by a planned change.
UNREACHABLE_AT_HOME_MS: Final = 2_000
STATUS_FRESH_MS: Final = 400
STUCK_AFTER_MS: Final = 2_000
# Other homes confirm a stuck primary by their own probes; the 2 s have already passed at its home.
STUCK_CONFIRM_MS: Final = 300
STUCK_MIN_ANSWERS: Final = 3
VERDICT_REPEAT_MS: Final = 100
VERDICT_FRESH_MS: Final = 500
# Ticks come at least every 50 ms; a longer gap is a pause even if nobody reported it.
OWN_GAP_MS: Final = 400
# What was queued during a pause arrives within this time after it.
DEAF_MS: Final = 200

LEAD_DELAY_MS: Final = 300
STALL_AFTER_MS: Final = 1_000
MAX_STALL_MS: Final = 30_000
CONTROL_TIMEOUT_MS: Final = 400
CONTROL_RETRY_MS: Final = 100
FENCE_RETRY_MAX_MS: Final = 1_000
# A planned change fences the old primary alone; without an answer for so long it fences all.
PRIMARY_FENCE_MS: Final = 300
AVOID_TIMEOUT_MS: Final = 500
CATCH_UP_POLL_MS: Final = 10
# The target of a planned change usually has the whole log within one delay. After the first bound
# a majority of the replicas is fenced and takes over without the unacknowledged rest; after the
# second the old primary serves on, which keeps the gap near the goal of 100 ms.
CATCH_UP_TIMEOUT_MS: Final = 20
CHANGE_TIMEOUT_MS: Final = 70
FOLLOW_REPEAT_MS: Final = 200
CONFIRM_TIMEOUT_MS: Final = 300
CHANGE_REPEAT_MS: Final = 5_000
CHANGE_REPEAT_MAX_MS: Final = 60_000
CHANGE_MAX_TRIES: Final = 5
CHANGE_MAX_BEHIND: Final = 200

PLATFORM_TIMEOUT_MS: Final = 1_000
# A platform that is slower than the first timeout must not be mistaken for a dead one for ever.
PLATFORM_TIMEOUT_MAX_MS: Final = 8_000
PLATFORM_QUICK_RETRY_MS: Final = 20
PLATFORM_RETRY_MIN_MS: Final = 250
PLATFORM_RETRY_MAX_MS: Final = 30_000
REREAD_MIN_MS: Final = 1_000
READ_JITTER_MS: Final = 50

# Rule `primary` gives up the second copy of new writes, so only a long trail justifies it.
PRIMARY_RULE_AFTER_MS: Final = 10_000
MAJORITY_RULE_AFTER_MS: Final = 5_000
CAUGHT_UP_LAG_MS: Final = 500

AWAIT_MAX_CALLS: Final = 4
AWAIT_MAX_WAIT_MS: Final = 1_000
AWAIT_REPLY_MARGIN_MS: Final = 200
AWAIT_RETRY_MS: Final = 20

PRIMARY_SUSPECTED = define_event(
    501, "primary_suspected", Level.WARNING, "The home of a member holds the primary for failed."
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
    507, "promotion_stalled", Level.WARNING, "A new term could not be finished and is replaced."
)
CHANGE_ABANDONED = define_event(
    508,
    "change_abandoned",
    Level.WARNING,
    "The replica did not arrive in time; the old primary serves on in the new term.",
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
RULE_CHANGED = define_event(
    512, "ack_rule_changed", Level.WARNING, "A new term is prepared with another rule."
)
