"""Limits, periods, keys and log events of the fleet."""

from typing import Final

from burdockrun_base import Level, define_event

PING_PERIOD_MS: Final = 1_000
# Longer than a round trip between regions, so an indirect probe is the exception.
INDIRECT_AFTER_MS: Final = 300
PROBE_TIMEOUT_MS: Final = 900
SUSPECT_TIMEOUT_MS: Final = 3_000
# Times after the start of a suspicion at which a node probes the suspect again. A refutation
# reaches nearly all nodes in 1.8 s; these probes cover the others.
SUSPECT_RECHECKS_MS: Final = (1_800, 2_400)
INDIRECT_PEERS: Final = 2
MAX_UPDATES: Final = 6
OTHER_DOMAIN_EVERY: Final = 4
# A region may be unreachable for an hour; its nodes are probed for some time after that.
DEAD_RETENTION_MS: Final = 2 * 3_600_000
DEAD_PING_INTERVAL_MS: Final = 5_000
# Updates about nodes that are not alive cause one extra ping per interval at most, however many
# nodes fail.
FAILURE_PING_INTERVAL_MS: Final = 500
JOIN_RETRY_MS: Final = 1_000
JOIN_PEERS: Final = 3
RETRANSMIT_FACTOR: Final = 3

PUSH_FANOUT: Final = 3
PULL_RETRY_MS: Final = 500
SNAPSHOT_RETRY_MS: Final = 1_500
# After a restart of the whole fleet all nodes ask the first one that has a snapshot. With 4 replies
# per second from each node that has it, the number of such nodes grows fivefold each second.
LARGE_REPLIES_PER_S: Final = 4
LARGE_REPLIES_BURST: Final = 4
KEPT_TICKETS: Final = 256
MAX_OUT_OF_ORDER_TICKETS: Final = 256
TICKETS_PER_PUSH: Final = 32
TICKETS_PUSH_CHARS: Final = 48 * 1024
# UTF-8 uses at most four bytes per character, so a shard stays within 256 KB.
SHARD_CHARS: Final = 64 * 1024
RETAINED_TICKETS: Final = 5_000
SNAPSHOT_EVERY: Final = 500
RECORD_BUCKETS: Final = 32
RECORDS_PER_PUSH: Final = 100
# Pushes in flight make hashes differ briefly; only a difference that lasts this long is pulled.
RECORDS_SETTLE_MS: Final = 2_000

LEASE_TTL_MS: Final = 6_000
LEASE_RENEW_INTERVAL_MS: Final = 2_000
# Clocks whose rates differ by 1% drift 60 ms apart in one TTL; the other 440 ms cover a timer tick
# and a call.
LEASE_MARGIN_MS: Final = 500
COORDINATOR_SILENCE_MS: Final = 6_500
# Delay per rank in the order of candidates. One more candidate per second keeps the growth of calls
# slow during an outage of the platform.
ELECTION_RANK_DELAY_MS: Final = 1_000
START_JITTER_MS: Final = 4_000
CALL_TIMEOUT_MS: Final = 2_000
WATCH_WAIT_MS: Final = 20_000
WATCH_TIMEOUT_MS: Final = 25_000
BACKOFF_MIN_MS: Final = 250
BACKOFF_MAX_MS: Final = 30_000
CALLS_PER_S: Final = 20
CALLS_BURST: Final = 20
# Listing costs about 12 us and 110 bytes per VM; these intervals keep it below 0.6% of a core and
# 55 KB/s.
VM_LIST_INTERVAL_MS: Final = 1_000
VM_LIST_INTERVAL_MS_PER_VM: Final = 2
ROSTER_READ_INTERVAL_MS: Final = 2_000
ROSTER_CHECK_INTERVAL_MS: Final = 500
ROSTER_BATCH_DELAY_MS: Final = 1_000
# Nodes need about 5 s to gather evidence for a new generation; with faster changes they would not
# complete it.
ROSTER_MIN_GAP_MS: Final = 10_000
VM_GONE_AFTER_MS: Final = 60_000
IN_FORCE_CHECK_INTERVAL_MS: Final = 1_000
POLL_INTERVAL_MS: Final = 500
POLL_BATCH: Final = 50
UNKNOWN_VM_PING_BATCH: Final = 100
BOOTSTRAP_DELAY_MS: Final = 4_000
ADOPT_AFTER_MS: Final = 15_000
DOMAIN_CHECK_INTERVAL_MS: Final = 1_000
ADOPT_NODES: Final = 24

EVIDENCE_TTL_MS: Final = 8_000
# Two seconds longer than EVIDENCE_TTL_MS, to allow for clock drift and the closing of connections.
ROLE_EXPIRY_MS: Final = 10_000
WITNESS_COUNT: Final = 3
WITNESS_PING_INTERVAL_MS: Final = 2_000
EVIDENCE_READ_AFTER_MS: Final = 5_000

AUDIT_QUEUE_LIMIT: Final = 1_000
AUDIT_FLUSH_INTERVAL_MS: Final = 2_000
AUDIT_PUSH_ENTRIES: Final = 50
AUDIT_BATCH_ENTRIES: Final = 200
AUDIT_BATCH_BYTES: Final = 64 * 1024
AUDIT_KEPT_BATCHES: Final = 200

TICKET_PREFIX: Final = "tickets/"
TICKET_HEAD: Final = "tickets/head"
# Digits of the number in the key of a ticket.
TICKET_DIGITS: Final = 10
SNAPSHOT_PREFIX: Final = "snapshots/"
SNAPSHOT_HEAD: Final = "snapshots/head"
GROUP_PREFIX: Final = "groups/"
ROSTER_PREFIX: Final = "rosters/"
IN_FORCE_PREFIX: Final = "in_force/"
COORDINATOR_PREFIX: Final = "coordinators/"
MAX_AUDITED_TICKETS: Final = 20
AUDIT_PREFIX: Final = "audit/"
AUDIT_HEAD_PREFIX: Final = "audit_heads/"
ENTRY_VM_KIND: Final = "entry"

MEMBER_IN = define_event(601, "fleet_member_in", Level.INFO, "a node joined the fleet")
MEMBER_OUT = define_event(
    602, "fleet_member_out", Level.INFO, "a node left the fleet or was declared dead"
)
LEASE_TAKEN = define_event(603, "fleet_lease_taken", Level.INFO, "this node coordinates a domain")
LEASE_LOST = define_event(
    604, "fleet_lease_lost", Level.WARNING, "this node lost or resigned a domain's lease"
)
TICKET_IN_FORCE = define_event(605, "fleet_ticket_in_force", Level.INFO, "a ticket is in force")
TICKET_UNUSABLE = define_event(
    606, "fleet_ticket_unusable", Level.ERROR, "a committed ticket is invalid and changes nothing"
)
ROSTER_CHANGED = define_event(607, "fleet_roster_changed", Level.INFO, "a domain has a new roster")
PLATFORM_FAILED = define_event(
    608, "fleet_platform_failed", Level.WARNING, "a platform call failed"
)
SNAPSHOT_UNUSABLE = define_event(
    609, "fleet_snapshot_unusable", Level.ERROR, "a snapshot could not be read"
)
AUDIT_RECORDED = define_event(610, "fleet_audit", Level.INFO, "an audit event was recorded")
AUDIT_DROPPED = define_event(
    611, "fleet_audit_dropped", Level.WARNING, "the audit queue was full and dropped old events"
)
RECORD_UNUSABLE = define_event(
    612, "fleet_record_unusable", Level.ERROR, "a value in the store could not be read"
)
EVIDENCE_LOST = define_event(
    613, "fleet_evidence_lost", Level.WARNING, "roles in a domain given up because evidence expired"
)
