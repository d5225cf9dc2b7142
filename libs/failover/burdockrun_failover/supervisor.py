"""Supervisor of one database group at one node."""

import random
from collections.abc import Callable, Iterable

from burdockrun_messages import (
    AckRule,
    Database,
    GroupRecord,
    GroupState,
    MemberStatus,
    NodeInfo,
    Outbox,
    Verdict,
)

from burdockrun_failover.ack_rule import AckRuleAdvisor
from burdockrun_failover.change_scheduler import ChangeScheduler
from burdockrun_failover.changes import PlannedChange
from burdockrun_failover.const import (
    LEAD_ORDER_DELAY_MS,
    MAX_BELIEVED_TERM,
    PAUSE_DETECTION_MS,
    PROMOTION_LOST,
    PROMOTION_STALLED,
    TERM_ACTIVATED,
)
from burdockrun_failover.follow import FollowRepeater
from burdockrun_failover.group import Directory, Group
from burdockrun_failover.models import Phase, PromotionEnd, PromotionKind, PromotionPlan
from burdockrun_failover.observer import Observer
from burdockrun_failover.probes import ProbeBudget
from burdockrun_failover.promotion import Promotion
from burdockrun_failover.reader import RecordReader
from burdockrun_failover.records import find_stall_timeout_ms, is_newer
from burdockrun_failover.store import RecordStore


class GroupSupervisor:
    """Observes the members of which this node is home, and starts promotions of the group.

    One supervisor exists for each database of which the node is home or standby of a member.
    `on_record` gets each newer record with the time in ms, `on_status` each status that a probe
    returned. `budget` is shared by all supervisors of a node.
    """

    def __init__(
        self,
        database: Database,
        node: NodeInfo,
        directory: Directory,
        outbox: Outbox,
        rng: random.Random,
        *,
        budget: ProbeBudget | None = None,
    ) -> None:
        self.on_record: Callable[[GroupRecord, int], None] | None = None
        self.on_status: Callable[[str, MemberStatus, int], None] | None = None
        self._node = node
        self._outbox = outbox
        self._rng = rng
        self._group = Group(database, directory)
        self._store = RecordStore(database.name, outbox, rng)
        self._reader = RecordReader(self._group, self._store, rng, self._on_read)
        self._observer = Observer(
            self._group,
            outbox=outbox,
            budget=budget or ProbeBudget(),
            rng=rng,
            on_status=self.note_probe_result,
        )
        self._advisor = AckRuleAdvisor()
        self._changes = ChangeScheduler(
            self._group, self._advisor, self._observer.verdicts, outbox, self._start_change
        )
        self._follow = FollowRepeater(self._group, self._observer.detector, outbox)
        self._attempt: Promotion | None = None
        self._record_learned_at_ms = 0
        self._last_tick_ms: int | None = None
        self._highest_seen_term = 0
        self._failed_since_ms: int | None = None
        self._failed_term: int | None = None

    @property
    def record(self) -> GroupRecord | None:
        """Return the newest record that this node knows."""
        return self._group.record

    def set_database(self, database: Database) -> None:
        """Apply a new configuration of the database."""
        self._group.set_database(database)

    def tick(self, now_ms: int) -> None:
        """Run all work that is due."""
        self._detect_own_pause(now_ms)
        self._group.refresh()
        self._store.tick(now_ms)
        self._observer.tick(now_ms)
        self._follow.tick(now_ms)
        if self._attempt is not None:
            self._cancel_obsolete_claim(now_ms)
        if self._attempt is not None:
            self._attempt.tick(now_ms)
        elif not self._reader.verified:
            self._reader.tick(now_ms)
        else:
            self._start_due_promotion(now_ms)

    def note_probe_result(self, member: str, status: MemberStatus | None, now_ms: int) -> None:
        """Note the status that a probe returned, or None for a probe that was not answered."""
        if status is None:
            self._observer.detector.note_lost(member)
            return
        self._observer.detector.note_status(member, status, now_ms)
        if self.on_status is not None:
            self.on_status(member, status, now_ms)
        active = self._group.active
        if active is not None and member == active.primary and status.term == active.term:
            self._advisor.note(status, now_ms)
        record = self.record
        if record is not None and status.term > record.term:
            if status.term <= MAX_BELIEVED_TERM:
                self._highest_seen_term = max(self._highest_seen_term, status.term)
            if self._attempt is None:
                self._reader.invalidate_later(now_ms)

    def note_response(self, member: str, now_ms: int) -> None:
        """Note that a member answered a statement on a data connection."""
        self._observer.note_response(member, now_ms)

    def receive_verdict(self, verdict: Verdict, now_ms: int) -> None:
        """Note the verdict of another home."""
        self._observer.receive_verdict(verdict, now_ms)

    def learn_record(self, record: GroupRecord, now_ms: int) -> bool:
        """Adopt a record from the store or a peer if it is newer; return whether it was."""
        if not is_newer(record, self.record):
            return False
        previous, self._group.record = self._group.active, record
        self._record_learned_at_ms = now_ms
        self._reader.verified = True
        self._changes.clear()
        if record.active is not None:
            self._changes.note_active(record.active, previous)
        if self._attempt is not None and not self._is_own_record(record):
            self._attempt.stop()
            self._attempt = None
        if self.on_record is not None:
            self.on_record(record, now_ms)
        return True

    def request_primary_change(self, reason: str, now_ms: int) -> None:
        """Request a planned change of the primary; dropped after `CHANGE_MAX_TRIES` tries."""
        self._changes.request(reason)

    def handle_pause(self, gap_ms: int, now_ms: int) -> None:
        """Discard evidence from before a pause of this process and read the record again."""
        self._last_tick_ms = now_ms
        self._observer.clear(now_ms)
        self._advisor.clear()
        self._changes.clear()
        self._failed_since_ms = None
        self._failed_term = None
        if self._attempt is not None and self._attempt.phase is Phase.CLAIM:
            self._attempt.stop()
            self._attempt = None
        if self._attempt is not None:
            self._attempt.verify_record()
            return
        self._reader.invalidate(now_ms)

    def _detect_own_pause(self, now_ms: int) -> None:
        last_ms, self._last_tick_ms = self._last_tick_ms, now_ms
        if last_ms is not None and now_ms - last_ms >= PAUSE_DETECTION_MS:
            self.handle_pause(now_ms - last_ms, now_ms)

    def _is_own_record(self, record: GroupRecord) -> bool:
        return self._attempt is not None and record.promoter == self._attempt.plan.promoter

    def _on_read(self, record: GroupRecord | None, now_ms: int) -> None:
        self._reader.verified = True
        if record is not None:
            self.learn_record(record, now_ms)
        self._start_due_promotion(now_ms)

    def _start_due_promotion(self, now_ms: int) -> None:
        lead_order = self._group.find_lead_order(primary_first=False)
        if lead_order is None or self._attempt is not None:
            return
        record = self.record
        if record is None:
            self._start_unplanned("no record yet", now_ms)
        elif record.state is GroupState.FENCING:
            self._replace_stalled(record, lead_order, now_ms)
        elif not self._promote_if_failed(lead_order, now_ms):
            self._changes.tick(now_ms)

    def _replace_stalled(self, record: GroupRecord, lead_order: int, now_ms: int) -> None:
        if (
            now_ms - self._record_learned_at_ms
            < find_stall_timeout_ms(record) + lead_order * LEAD_ORDER_DELAY_MS
        ):
            return
        self._outbox.log(PROMOTION_STALLED, database=record.database, term=record.term)
        self._start_unplanned("the last attempt stalled", now_ms)

    def _promote_if_failed(self, lead_order: int, now_ms: int) -> bool:
        active = self._group.active
        if active is None or not self._observer.is_failure_confirmed(active, now_ms):
            self._failed_since_ms = None
            self._failed_term = None
            return False
        self._failed_term = active.term
        if self._failed_since_ms is None:
            self._failed_since_ms = now_ms
        if now_ms - self._failed_since_ms >= lead_order * LEAD_ORDER_DELAY_MS:
            self._start_unplanned("the primary has failed", now_ms)
        return True

    def _start_unplanned(self, reason: str, now_ms: int) -> None:
        active = self._group.active
        if active is None:
            members = tuple(member.name for member in self._group.database.members)
            self._start(PromotionKind.FIRST, members, AckRule.MAJORITY, reason, now_ms)
            return
        avoid = {active.primary} if self._failed_term == active.term else set()
        kind = PromotionKind.UNPLANNED
        self._start(kind, active.members, active.ack_rule, reason, now_ms, avoid=avoid)

    def _start_change(self, change: PlannedChange, target: str, now_ms: int) -> bool:
        if self._attempt is not None or not self._reader.verified or not self._group.is_active:
            return False
        kind, rule = PromotionKind.PLANNED, change.ack_rule
        self._start(kind, change.members, rule, change.reason, now_ms, target=target)
        return True

    def _start(
        self,
        kind: PromotionKind,
        members: tuple[str, ...],
        ack_rule: AckRule,
        reason: str,
        now_ms: int,
        *,
        target: str | None = None,
        avoid: Iterable[str] = (),
    ) -> None:
        record = self.record
        plan = PromotionPlan(
            database=self._group.database.name,
            kind=kind,
            known=record,
            term=max(record.term if record is not None else 0, self._highest_seen_term) + 1,
            promoter=f"{self._node.node}#{self._rng.getrandbits(48):012x}",
            members=members,
            ack_rule=ack_rule,
            target=target,
            avoid=frozenset(avoid),
            reason=reason,
            addresses=dict(self._group.addresses),
        )
        self._outbox.count(f"failover.promotions.{kind.value}")
        self._attempt = Promotion(
            plan,
            outbox=self._outbox,
            store=self._store,
            on_claimed=self.learn_record,
            on_end=self._on_end,
        )
        self._attempt.start(now_ms)

    def _cancel_obsolete_claim(self, now_ms: int) -> None:
        """Cancel a claim that still waits for the platform when the primary works again."""
        attempt, active = self._attempt, self._group.active
        if attempt is None or active is None or attempt.phase is not Phase.CLAIM:
            return
        if attempt.plan.kind is not PromotionKind.UNPLANNED or not self._group.is_active:
            return
        if not self._observer.is_failure_confirmed(active, now_ms):
            attempt.stop()
            self._attempt = None

    def _on_end(self, end: PromotionEnd, record: GroupRecord | None, now_ms: int) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        fields = {"database": attempt.plan.database, "term": attempt.plan.term}
        self._highest_seen_term = max(self._highest_seen_term, attempt.highest_seen_term)
        if record is not None:
            self.learn_record(record, now_ms)
        if end is PromotionEnd.ACTIVE:
            primary = record.active.primary if record is not None and record.active else None
            took_ms = now_ms - attempt.started_ms
            self._outbox.log(TERM_ACTIVATED, primary=primary, took_ms=took_ms, **fields)
            self._outbox.time(f"failover.term_change_ms.{attempt.plan.kind.value}", took_ms)
            return
        if end is PromotionEnd.LOST:
            self._outbox.log(PROMOTION_LOST, **fields)
            return
        self._outbox.log(PROMOTION_STALLED, **fields)
        self._start_unplanned("this attempt stalled", now_ms)
