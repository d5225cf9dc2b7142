"""One attempt to put a new term in force: claim, fence, choose, promote, activate."""

from collections.abc import Callable

from burdockrun_base import LogEvent
from burdockrun_messages import (
    ActiveTerm,
    GroupRecord,
    LogPosition,
    Member,
    MemberRole,
    MemberStatus,
    Outbox,
)

from burdockrun_failover.calls import TermCalls
from burdockrun_failover.choice import choose_member, needs_confirmation
from burdockrun_failover.const import (
    AVOID_TIMEOUT_MS,
    CATCH_UP_POLL_MS,
    CATCH_UP_TIMEOUT_MS,
    CHANGE_ABANDONED,
    CHANGE_TIMEOUT_MS,
    CONFIRM_TIMEOUT_MS,
    CONTROL_RETRY_MS,
    FENCE_RETRY_MAX_MS,
    MAX_BELIEVED_TERM,
    MEMBER_CHOSEN,
    PRIMARY_FENCE_MS,
    PROMOTION_STARTED,
    STALL_AFTER_MS,
)
from burdockrun_failover.models import Phase, PromotionEnd, PromotionKind, PromotionPlan
from burdockrun_failover.records import (
    covers_acknowledged,
    find_term_start,
    make_active_record,
    make_fencing_record,
)
from burdockrun_failover.store import RecordStore

OnEnd = Callable[[PromotionEnd, GroupRecord | None, int], None]


class Promotion:
    """Attempt to put one term in force; it promotes at most one member.

    `on_claimed` gets the fencing record. `on_end` is called once, with the stored record if known,
    unless the attempt is stopped. `highest_seen_term` is the highest term that a member has
    reported, at least that of the plan.
    """

    def __init__(
        self,
        plan: PromotionPlan,
        *,
        outbox: Outbox,
        store: RecordStore,
        on_claimed: Callable[[GroupRecord, int], object],
        on_end: OnEnd,
    ) -> None:
        self.plan = plan
        self.phase = Phase.CLAIM
        self.highest_seen_term = plan.term
        self.started_ms = 0
        self._outbox = outbox
        self._store = store
        self._calls = TermCalls(plan, outbox, self._receive)
        self._previous = plan.known.active if plan.known is not None else None
        self._on_claimed = on_claimed
        self._on_end = on_end
        self._claimed: GroupRecord | None = None
        self._fenced: dict[str, LogPosition] = {}
        self._chosen: Member | None = None
        self._start_index = 0
        self._phase_at_ms = 0
        self._next_call_at_ms = 0
        self._is_verifying = False

    def start(self, now_ms: int) -> None:
        """Claim the term by writing a record in state `fencing` with a compare-and-swap."""
        self._log(
            PROMOTION_STARTED,
            kind=self.plan.kind.value,
            reason=self.plan.reason,
            promoter=self.plan.promoter,
        )
        self.started_ms = now_ms
        wanted = make_fencing_record(
            self.plan.known,
            database=self.plan.database,
            term=self.plan.term,
            promoter=self.plan.promoter,
        )
        revision = self.plan.known.revision if self.plan.known is not None else 0
        self._store.swap(wanted, revision, self._on_claim_stored)

    def tick(self, now_ms: int) -> None:
        """Repeat the calls that are due in the current phase."""
        if self._is_verifying or now_ms < self._next_call_at_ms:
            return
        if self.phase is Phase.FENCE:
            self._check_fenced(now_ms)
            if self.phase is Phase.FENCE:
                self._fence_remaining(now_ms)
        elif self.phase is Phase.CATCH_UP:
            self._poll_target(now_ms)
        elif self.phase in (Phase.PROMOTE, Phase.CONFIRM):
            timeout_ms = STALL_AFTER_MS if self.phase is Phase.PROMOTE else CONFIRM_TIMEOUT_MS
            if now_ms - self._phase_at_ms >= timeout_ms:
                self._end(PromotionEnd.STALLED, self._claimed, now_ms)
                return
            self._repeat_promote(now_ms)

    def verify_record(self) -> None:
        """Read the record again before any further step, since another node may have changed it."""
        if self.phase in (Phase.CLAIM, Phase.ACTIVATE, Phase.ENDED):
            return
        self._is_verifying = True
        self._store.read(self._on_reread)

    def stop(self) -> None:
        """Abandon the attempt; `on_end` is not called."""
        self.phase = Phase.ENDED
        self._store.cancel()

    def _on_reread(self, record: GroupRecord | None, now_ms: int) -> None:
        if self.phase is Phase.ENDED:
            return
        self._is_verifying = False
        claimed = self._claimed
        if claimed is None or record is None or record.revision != claimed.revision:
            self._end(PromotionEnd.LOST, record, now_ms)
            return
        self._phase_at_ms = now_ms

    def _on_claim_stored(self, accepted: bool, record: GroupRecord | None, now_ms: int) -> None:
        if self.phase is not Phase.CLAIM:
            return
        if not accepted or record is None:
            self._end(PromotionEnd.LOST, record, now_ms)
            return
        self._claimed = record
        self._enter_phase(Phase.FENCE, now_ms)
        self._on_claimed(record, now_ms)
        self._fence_remaining(now_ms)

    def _enter_phase(self, phase: Phase, now_ms: int) -> None:
        self.phase = phase
        self._phase_at_ms = now_ms
        self._next_call_at_ms = now_ms

    def _schedule_next_call(self, now_ms: int, delay_ms: int) -> None:
        self._next_call_at_ms = now_ms + delay_ms
        self._outbox.wake_at(self._next_call_at_ms)

    def _fence_remaining(self, now_ms: int) -> None:
        self._calls.fence(name for name in self._list_to_fence(now_ms) if name not in self._fenced)
        waited_ms = now_ms - self._phase_at_ms
        self._schedule_next_call(
            now_ms, max(CONTROL_RETRY_MS, min(FENCE_RETRY_MAX_MS, waited_ms // 4))
        )

    def _list_to_fence(self, now_ms: int) -> tuple[str, ...]:
        primary_only = now_ms - self._phase_at_ms < PRIMARY_FENCE_MS
        if self._previous is not None and self.plan.kind is PromotionKind.PLANNED and primary_only:
            return (self._previous.primary,)
        return self._list_all_members()

    def _list_all_members(self) -> tuple[str, ...]:
        previous = self._previous.members if self._previous is not None else ()
        return tuple(dict.fromkeys((*previous, *self.plan.members)))

    def _check_fenced(self, now_ms: int) -> None:
        if self._is_role_moving():
            self._enter_phase(Phase.CATCH_UP, now_ms)
            self._poll_target(now_ms)
            return
        waited_ms = now_ms - self._phase_at_ms
        chosen = choose_member(
            self.plan, self._fenced, accept_avoided=waited_ms >= AVOID_TIMEOUT_MS
        )
        if chosen is not None:
            self._promote(chosen, now_ms)
        elif self.plan.kind is PromotionKind.PLANNED and waited_ms >= STALL_AFTER_MS:
            self._end(PromotionEnd.STALLED, self._claimed, now_ms)

    def _is_role_moving(self) -> bool:
        """Return whether a planned change to another primary has fenced the old one."""
        previous = self._previous
        if previous is None or self.plan.kind is not PromotionKind.PLANNED:
            return False
        return previous.primary in self._fenced and self.plan.target != previous.primary

    def _poll_target(self, now_ms: int) -> None:
        waited_ms = now_ms - self._phase_at_ms
        if self.plan.target is None or waited_ms >= CHANGE_TIMEOUT_MS:
            self._abandon(now_ms)
        elif waited_ms < CATCH_UP_TIMEOUT_MS:
            self._calls.ask(self.plan.target)
            self._schedule_next_call(now_ms, CATCH_UP_POLL_MS)
        else:
            self._calls.fence(name for name in self._list_all_members() if name not in self._fenced)
            self._schedule_next_call(now_ms, CHANGE_TIMEOUT_MS - waited_ms)

    def _abandon(self, now_ms: int) -> None:
        chosen = choose_member(self.plan, self._fenced, accept_avoided=True)
        self._log(CHANGE_ABANDONED, target=self.plan.target, chosen=chosen)
        self._outbox.count("failover.changes_abandoned")
        if chosen is None:
            self._end(PromotionEnd.STALLED, self._claimed, now_ms)
            return
        self._promote(chosen, now_ms)

    def _promote(self, chosen: str, now_ms: int) -> None:
        self._log(MEMBER_CHOSEN, chosen=chosen, fenced=sorted(self._fenced))
        self._chosen = self.plan.addresses[chosen]
        self._enter_phase(Phase.PROMOTE, now_ms)
        self._repeat_promote(now_ms)

    def _repeat_promote(self, now_ms: int) -> None:
        if self._chosen is None:
            return
        name = self._chosen.name
        if self.phase is Phase.CONFIRM:
            self._calls.follow(self._chosen)
            self._calls.ask(name)
        else:
            if name not in self._fenced:
                self._calls.fence([name])
            self._calls.promote(name)
        self._schedule_next_call(now_ms, CONTROL_RETRY_MS)

    def _receive(self, member: str, status: MemberStatus, now_ms: int) -> None:
        if self._is_verifying or self.phase in (Phase.CLAIM, Phase.ACTIVATE, Phase.ENDED):
            return
        if status.term > max(self.plan.term, MAX_BELIEVED_TERM):
            return
        if status.term > self.plan.term:
            self.highest_seen_term = status.term
            self._end(PromotionEnd.SUPERSEDED, self._claimed, now_ms)
            return
        newly_fenced = False
        if status.term == self.plan.term and status.role is MemberRole.FENCED:
            newly_fenced = member not in self._fenced
            self._fenced.setdefault(member, status.position)
        if self.phase is Phase.FENCE:
            self._check_fenced(now_ms)
        elif self.phase is Phase.CATCH_UP:
            self._check_caught_up(member, status, now_ms)
        elif self._chosen is not None and member == self._chosen.name:
            self._check_promoted(status, now_ms, newly_fenced=newly_fenced)

    def _check_caught_up(self, member: str, status: MemberStatus, now_ms: int) -> None:
        """Promote the target once it has the whole log of the fenced primary.

        A primary that restarted without its log does not count, whatever position it reports. The
        log of the target cannot shrink before the target is fenced itself, so its fence and its
        promotion are sent together, which shortens the write gap by one round trip. If the target
        does not get the whole log, a fenced majority of the other members holds at least every
        acknowledged write.
        """
        if self._previous is None:
            return
        final_position = self._fenced[self._previous.primary]
        if (
            member == self.plan.target
            and self._has_whole_log(self._previous, final_position)
            and status.position >= final_position
        ):
            self._promote(member, now_ms)
            return
        others = {
            name: position
            for name, position in self._fenced.items()
            if name != self._previous.primary
        }
        chosen = choose_member(self.plan, others, accept_avoided=False)
        if chosen is not None:
            self._promote(chosen, now_ms)

    def _has_whole_log(self, previous: ActiveTerm, final_position: LogPosition) -> bool:
        """Return whether the log of the fenced primary alone holds all acknowledged writes."""
        known = self.plan.known
        return known is not None and covers_acknowledged(
            previous, find_term_start(known, previous.term), {previous.primary: final_position}
        )

    def _check_promoted(self, status: MemberStatus, now_ms: int, *, newly_fenced: bool) -> None:
        if status.term != self.plan.term or status.role is not MemberRole.PRIMARY:
            if newly_fenced and self.phase is Phase.PROMOTE:
                self._repeat_promote(now_ms)
            return
        if self._chosen is not None and self.phase is Phase.PROMOTE:
            self._start_index = status.position.index
            self._calls.follow(self._chosen)
            if needs_confirmation(self.plan):
                self._enter_phase(Phase.CONFIRM, now_ms)
                self._schedule_next_call(now_ms, CATCH_UP_POLL_MS)
        if self.phase is Phase.CONFIRM and status.confirmed_index < self._start_index:
            return
        self._activate(now_ms)

    def _activate(self, now_ms: int) -> None:
        if self._claimed is None or self._chosen is None:
            return
        active = ActiveTerm(
            term=self.plan.term,
            primary=self._chosen.name,
            members=self.plan.members,
            ack_rule=self.plan.ack_rule,
        )
        wanted = make_active_record(self._claimed, active=active, start_index=self._start_index)
        self._enter_phase(Phase.ACTIVATE, now_ms)
        self._store.swap(wanted, self._claimed.revision, self._on_activation_stored)

    def _on_activation_stored(
        self, accepted: bool, record: GroupRecord | None, now_ms: int
    ) -> None:
        if self.phase is not Phase.ACTIVATE:
            return
        self._end(PromotionEnd.ACTIVE if accepted else PromotionEnd.LOST, record, now_ms)

    def _end(self, end: PromotionEnd, record: GroupRecord | None, now_ms: int) -> None:
        self.stop()
        self._on_end(end, record, now_ms)

    def _log(self, event: LogEvent, **fields: object) -> None:
        self._outbox.log(event, database=self.plan.database, term=self.plan.term, **fields)
