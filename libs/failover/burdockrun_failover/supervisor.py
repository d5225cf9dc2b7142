"""Supervisor of one database group at one node."""

import random
from collections.abc import Callable

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

from burdockrun_failover.changes import Change, choose_target, count_followers, find_change
from burdockrun_failover.const import (
    CHANGE_REPEAT_MS,
    LEAD_DELAY_MS,
    MAX_STALL_MS,
    PROMOTION_LOST,
    PROMOTION_STALLED,
    REREAD_MIN_MS,
    RULE_CHANGED,
    STALL_AFTER_MS,
    TERM_ACTIVATED,
)
from burdockrun_failover.follow import FollowKeeper
from burdockrun_failover.group import Directory, Group
from burdockrun_failover.models import PromotionEnd, PromotionKind, PromotionPlan
from burdockrun_failover.observer import Observer
from burdockrun_failover.probes import ProbeBudget
from burdockrun_failover.promotion import Phase, Promotion
from burdockrun_failover.records import count_majority, is_newer
from burdockrun_failover.rule import RuleAdvisor
from burdockrun_failover.store import RecordStore
from burdockrun_failover.survey import Survey


class GroupSupervisor:
    """Observes the members whose home this node is, and leads changes of term when it is its turn.

    One supervisor exists for each database of which the node is home or standby of a member.
    `on_record` gets each newer record with the time in ms, `on_status` each status that a probe
    brought. `budget` is shared by all supervisors of a node.
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
        self._observer = Observer(
            self._group,
            outbox=outbox,
            budget=budget or ProbeBudget(),
            rng=rng,
            on_status=self.observe,
        )
        self._follow = FollowKeeper(self._group, self._observer.detector, outbox)
        self._advisor = RuleAdvisor()
        self._attempt: Promotion | None = None
        self._survey: Survey | None = None
        self._verified = False
        self._read_at_ms: int | None = None
        self._record_at_ms = 0
        self._floor_term = 0
        self._failed_since_ms: int | None = None
        self._failed_term: int | None = None
        self._change_since_ms: int | None = None
        self._change_at_ms = 0
        self._requested: str | None = None

    @property
    def record(self) -> GroupRecord | None:
        """Return the newest record that this node knows."""
        return self._group.record

    def set_database(self, database: Database) -> None:
        """Take a new configuration of the database."""
        self._group.set_database(database)

    def tick(self, now_ms: int) -> None:
        """Do what is due."""
        self._store.tick(now_ms)
        self._observer.tick(now_ms)
        self._follow.tick(now_ms)
        if self._attempt is not None:
            self._drop_claim_without_cause(now_ms)
        if self._attempt is not None:
            self._attempt.tick(now_ms)
        elif not self._verified:
            self._read_when_due(now_ms)
        else:
            self._start_what_is_due(now_ms)

    def observe(self, member: str, status: MemberStatus | None, now_ms: int) -> None:
        """Note the status of a member, or that a probe had no answer."""
        if status is None:
            return
        self._observer.detector.note_status(member, status, now_ms)
        if self.on_status is not None:
            self.on_status(member, status, now_ms)
        active = self._group.active
        if active is not None and member == active.primary and status.term == active.term:
            self._advisor.note(status, now_ms)
        record = self.record
        if record is not None and status.term > record.term:
            self._floor_term = max(self._floor_term, status.term)
            self._verify_again(now_ms)

    def note_life(self, member: str, now_ms: int) -> None:
        """Note an answer of a member on a data connection."""
        self._observer.note_life(member, now_ms)

    def receive_verdict(self, verdict: Verdict, now_ms: int) -> None:
        """Note the verdict of another home."""
        self._observer.verdicts.note(verdict, now_ms)

    def learn_record(self, record: GroupRecord, now_ms: int) -> bool:
        """Take a record from the store or a peer; return whether it is newer."""
        if not is_newer(record, self.record):
            return False
        self._group.record = record
        self._record_at_ms = now_ms
        self._verified = True
        self._change_since_ms = None
        if self._attempt is not None and not self._is_own_step(record):
            self._attempt.stop()
            self._attempt = None
        if self.on_record is not None:
            self.on_record(record, now_ms)
        return True

    def request_change(self, reason: str, now_ms: int) -> None:
        """Ask for a planned change of the primary."""
        self._requested = reason
        self._change_since_ms = None
        self._change_at_ms = now_ms

    def pause(self, gap_ms: int, now_ms: int) -> None:
        """Forget evidence from before a pause and read the record before any further step."""
        self._observer.clear()
        self._advisor.clear()
        self._survey = None
        self._failed_since_ms = None
        self._failed_term = None
        self._change_since_ms = None
        if self._attempt is not None and self._attempt.phase is Phase.CLAIM:
            self._attempt.stop()
            self._attempt = None
        if self._attempt is not None:
            self._attempt.pause()
            return
        self._verified = False
        self._read_at_ms = now_ms

    def _is_own_step(self, record: GroupRecord) -> bool:
        return self._attempt is not None and record.promoter == self._attempt.plan.promoter

    def _verify_again(self, now_ms: int) -> None:
        if self._attempt is None and self._verified and not self._store.busy:
            self._verified = False
            self._read_at_ms = max(now_ms, (self._read_at_ms or 0) + REREAD_MIN_MS)

    def _read_when_due(self, now_ms: int) -> None:
        rank = self._group.find_rank(primary_first=True)
        if rank is None or self._store.busy:
            return
        if self._read_at_ms is None:
            self._read_at_ms = now_ms + rank * STALL_AFTER_MS + self._rng.randint(0, 50)
        if now_ms < self._read_at_ms:
            return
        self._read_at_ms = now_ms
        self._store.read(self._on_read)

    def _on_read(self, record: GroupRecord | None, now_ms: int) -> None:
        self._verified = True
        if record is not None:
            self.learn_record(record, now_ms)
        self._start_what_is_due(now_ms)

    def _start_what_is_due(self, now_ms: int) -> None:
        rank = self._group.find_rank(primary_first=False)
        if rank is None or self._attempt is not None:
            return
        record = self.record
        if record is None:
            members = tuple(member.name for member in self._group.database.members)
            self._start(PromotionKind.FIRST, members, AckRule.MAJORITY, "no record yet", now_ms)
        elif record.state is GroupState.FENCING:
            self._replace_stalled(record, rank, now_ms)
        elif not self._promote_if_failed(rank, now_ms):
            self._change_if_due(now_ms)

    def _replace_stalled(self, record: GroupRecord, rank: int, now_ms: int) -> None:
        base_term = record.active.term if record.active is not None else 0
        doublings = min(max(record.term - base_term - 1, 0), 5)
        stall_ms = min(STALL_AFTER_MS << doublings, MAX_STALL_MS) + rank * LEAD_DELAY_MS
        if now_ms - self._record_at_ms < stall_ms:
            return
        self._outbox.log(PROMOTION_STALLED, database=record.database, term=record.term)
        self._start_unplanned("the last attempt stalled", now_ms)

    def _promote_if_failed(self, rank: int, now_ms: int) -> bool:
        active = self._group.active
        if active is None or not self._observer.verdicts.has_majority(active, now_ms):
            self._failed_since_ms = None
            self._failed_term = None
            return False
        self._failed_term = active.term
        if self._failed_since_ms is None:
            self._failed_since_ms = now_ms
        if now_ms - self._failed_since_ms >= rank * LEAD_DELAY_MS:
            self._start_unplanned("the primary has failed", now_ms)
        return True

    def _start_unplanned(self, reason: str, now_ms: int) -> None:
        active = self._group.active
        if active is None:
            members = tuple(member.name for member in self._group.database.members)
            self._start(PromotionKind.FIRST, members, AckRule.MAJORITY, reason, now_ms)
            return
        avoid = frozenset({active.primary}) if self._failed_term == active.term else frozenset()
        self._start(
            PromotionKind.UNPLANNED,
            active.members,
            AckRule.MAJORITY,
            reason,
            now_ms,
            avoid=avoid,
        )

    def _change_if_due(self, now_ms: int) -> None:
        active = self._group.active
        if active is None or self._survey is not None or now_ms < self._change_at_ms:
            return
        change = self._find_change(now_ms)
        if change is None:
            self._change_since_ms = None
            return
        if self._change_since_ms is None:
            self._change_since_ms = now_ms
        rank = self._group.find_rank(primary_first=True)
        if rank is None or now_ms - self._change_since_ms < rank * STALL_AFTER_MS:
            return
        self._change_at_ms = now_ms + CHANGE_REPEAT_MS
        members = [
            self._group.addresses[name] for name in active.members if name in self._group.addresses
        ]
        self._survey = Survey(members, self._outbox, self._on_surveyed)

    def _find_change(self, now_ms: int) -> Change | None:
        active = self._group.active
        if active is None:
            return None
        return find_change(
            active,
            self._group.database,
            requested=self._requested,
            advised=self._advisor.advise(active.ack_rule, now_ms),
        )

    def _on_surveyed(self, statuses: dict[str, MemberStatus], now_ms: int) -> None:
        if self._survey is None:
            return
        self._survey = None
        active = self._group.active
        change = self._find_change(now_ms)
        if active is None or change is None or self._attempt is not None or not self._verified:
            return
        if not self._group.is_active or active.primary not in statuses:
            return
        target: str | None = active.primary
        if change.move_primary:
            target = choose_target(active, self._group.database, statuses)
        elif change.ack_rule is AckRule.PRIMARY and active.ack_rule is AckRule.MAJORITY:
            if count_followers(active, statuses) + 1 < count_majority(len(active.members)):
                return
            self._outbox.log(RULE_CHANGED, database=self._group.database.name, rule="primary")
        if target is None:
            return
        self._start(
            PromotionKind.PLANNED,
            change.members,
            change.ack_rule,
            change.reason,
            now_ms,
            target=target,
        )

    def _start(
        self,
        kind: PromotionKind,
        members: tuple[str, ...],
        ack_rule: AckRule,
        reason: str,
        now_ms: int,
        *,
        target: str | None = None,
        avoid: frozenset[str] = frozenset(),
    ) -> None:
        record = self.record
        known_term = record.term if record is not None else 0
        plan = PromotionPlan(
            database=self._group.database.name,
            kind=kind,
            known=record,
            term=max(known_term, self._floor_term) + 1,
            promoter=f"{self._node.node}#{self._rng.getrandbits(48):012x}",
            members=members,
            ack_rule=ack_rule,
            target=target,
            avoid=avoid,
            reason=reason,
            addresses=dict(self._group.addresses),
        )
        self._outbox.count(f"failover.promotions.{kind.value}")
        self._attempt = Promotion(
            plan,
            outbox=self._outbox,
            store=self._store,
            on_claimed=self._on_claimed,
            on_end=self._on_end,
        )
        self._attempt.start(now_ms)

    def _drop_claim_without_cause(self, now_ms: int) -> None:
        """Give up a claim that waits for the platform when the primary works again."""
        attempt, active = self._attempt, self._group.active
        if attempt is None or active is None or attempt.phase is not Phase.CLAIM:
            return
        if attempt.plan.kind is not PromotionKind.UNPLANNED or not self._group.is_active:
            return
        if not self._observer.verdicts.has_majority(active, now_ms):
            attempt.stop()
            self._attempt = None

    def _on_claimed(self, record: GroupRecord, now_ms: int) -> None:
        self.learn_record(record, now_ms)

    def _on_end(self, end: PromotionEnd, record: GroupRecord | None, now_ms: int) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        fields = {"database": attempt.plan.database, "term": attempt.plan.term}
        self._floor_term = max(self._floor_term, attempt.seen_term)
        if record is not None:
            self.learn_record(record, now_ms)
        if end is PromotionEnd.ACTIVE:
            self._finish_change(attempt.plan)
            primary = record.active.primary if record is not None and record.active else None
            self._outbox.log(TERM_ACTIVATED, primary=primary, **fields)
            return
        if end is PromotionEnd.LOST:
            self._outbox.log(PROMOTION_LOST, **fields)
            return
        self._outbox.log(PROMOTION_STALLED, **fields)
        self._start_unplanned("this attempt stalled", now_ms)

    def _finish_change(self, plan: PromotionPlan) -> None:
        active = self._group.active
        if active is not None and plan.target is not None and active.primary == plan.target:
            self._requested = None
