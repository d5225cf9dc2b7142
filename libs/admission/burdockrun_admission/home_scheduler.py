"""Scheduler of the work that a home gives to one member."""

from burdockrun_base import Code
from result import Err, Ok, Result

from burdockrun_admission.const import (
    ADMITTED_EWMA_WEIGHT,
    INITIAL_SERVICE_MS,
    MAX_RETRY_AFTER_MS,
    MIN_RETRY_AFTER_MS,
    MIN_SHARE,
)
from burdockrun_admission.models import Refusal, Work
from burdockrun_admission.ranks import RankState
from burdockrun_admission.scheduler import RankScheduler
from burdockrun_admission.slots import StartedWork

_QUEUED: Ok[None] = Ok(None)


class HomeScheduler(RankScheduler):
    """Scheduler whose work also needs a connection, and which keeps late work that is of use.

    That a slot is free while work waits may mean that its account has no connection, so it is not
    taken for a member that has stopped; only a member that finishes nothing is.
    """

    def request(
        self, work: Work, now_ms: int, *, start_by_ms: int, delay_ms: float = 0.0
    ) -> Result[None, Refusal]:
        """Queue a request, in time or as late work, or refuse it.

        Work that is expected to end within its target is in time. Other work is late; it is
        refused when it is not expected to start by `start_by_ms`. No work starts within `delay_ms`.
        The retry time of a refusal is without jitter.
        """
        state = self._by_name.get(work.rank)
        if state is None:
            return Err(Refusal(code=Code.UNKNOWN_RANK))
        if start_by_ms < now_ms:
            return Err(Refusal(code=Code.DEADLINE))
        has_slot = not self._waiting and len(self._started) < self._slots
        if has_slot and now_ms + delay_ms <= start_by_ms:
            self._admit(state, work, now_ms)
            return _QUEUED
        service = state.service
        if service.is_cold and self._estimate_cold_ms(state) + delay_ms <= start_by_ms - now_ms:
            self._admit(state, work, now_ms)
            return _QUEUED
        delay_ms += self._estimate_stall_ms(state, now_ms)
        wait_ms, is_saturated = self._estimate_wait(
            state, work.account, now_ms, deadline_only=False
        )
        wait_ms += delay_ms
        left_ms = work.arrived_ms + state.rank.target_ms - now_ms - service.tail_ms
        allowed_ms = min(left_ms, start_by_ms - now_ms)
        is_in_time = wait_ms <= allowed_ms and not (
            is_saturated and wait_ms > allowed_ms * state.admitted_share
        )
        state.admitted_share += ADMITTED_EWMA_WEIGHT * (is_in_time - state.admitted_share)
        if is_in_time:
            self._admit(state, work, now_ms)
            return _QUEUED
        late_ms, _ = self._estimate_wait(state, work.account, now_ms, deadline_only=True)
        if now_ms + late_ms + delay_ms + service.mean_ms <= start_by_ms:
            self._admit(state, work, now_ms, late=True)
            return _QUEUED
        room_ms = max(0.0, wait_ms - max(0.0, allowed_ms))
        return Err(self._refuse(state, now_ms, room_ms))

    def start(self, work: Work, now_ms: int) -> None:
        """Note work that runs at once, whether a slot is free or not."""
        state = self._by_name.get(work.rank)
        if state is None:
            self.occupy(work, now_ms, INITIAL_SERVICE_MS)
        else:
            self._start(work, state, now_ms)

    def occupy(self, work: Work, now_ms: int, cost_ms: float) -> None:
        """Note work without a rank that takes a slot for about `cost_ms`, until `complete`."""
        self._started[work.work_id] = StartedWork(work, now_ms, cost_ms, now_ms + cost_ms, False)

    def put_back(self, work_id: int, now_ms: int) -> None:
        """Return started work, which has not run, to the head of the queue of its rank."""
        started = self._withdraw(work_id)
        state = self._by_name.get(started.work.rank) if started is not None else None
        if started is None or state is None:
            return
        state.credit_ms += started.cost_ms
        late_before_ms = now_ms + started.cost_ms - state.rank.target_ms
        state.queue.put_back(started.work, late=started.work.arrived_ms < late_before_ms)
        self._waiting += 1

    def withdraw(self, work_id: int) -> bool:
        """End started work without a sample of its service time."""
        return self._withdraw(work_id) is not None

    def unpark(self, account: str) -> None:
        """Let an account take turns again in all ranks."""
        for state in self._states:
            state.queue.unpark(account)

    def mean_service_ms(self, rank: str) -> float:
        """Return the mean service time of a rank in ms."""
        state = self._by_name.get(rank)
        return state.service.mean_ms if state is not None else INITIAL_SERVICE_MS

    def expiry_margin_ms(self, rank: str) -> float:
        """Return how long before its deadline the waiting work of a rank is dropped."""
        state = self._by_name.get(rank)
        return state.margin_ms() if state is not None else 0.0

    def next_expiry_ms(self) -> float:
        """Return the earliest time at which waiting work may have to be dropped."""
        return self._next_expiry_ms

    def build_refusal(self, rank: str, now_ms: int) -> Refusal:
        """Return a refusal of work that was queued, with the time after which to retry."""
        state = self._by_name.get(rank)
        if state is None:
            return Refusal(code=Code.OVERLOADED, retry_after_ms=MIN_RETRY_AFTER_MS)
        return self._refuse(state, now_ms, 0.0)

    def describe_wait_ms(self, now_ms: int) -> float:
        """Return the expected wait of a new request of the least urgent rank, in ms."""
        if not self._waiting and len(self._started) < self._slots:
            return 0.0
        work_ms = 0.0
        for state in self._states:
            work_ms += len(state.queue.works) * state.service.mean_ms
        least = self._states[-1].service if self._states else None
        progress_ms = (least.mean_ms if least is not None else INITIAL_SERVICE_MS) / 2
        return (work_ms + progress_ms) / self._capacity

    def _estimate_cold_ms(self, state: RankState) -> float:
        """Return a low estimate of the wait, for a rank whose service time is not known."""
        ahead_ms = state.queue.in_time * INITIAL_SERVICE_MS
        for other in state.more_urgent:
            ahead_ms += other.queue.in_time * other.service.mean_ms
        return ahead_ms / self._capacity

    def _estimate_stall_ms(self, state: RankState, now_ms: int) -> float:
        self._ready_since_ms = None
        return super()._estimate_stall_ms(state, now_ms)

    def _estimate_wait(
        self, state: RankState, account: str, now_ms: int, *, deadline_only: bool
    ) -> tuple[float, bool]:
        """Return the wait as usual, or that for the floor of the rank if it is shorter."""
        wait_ms, is_saturated = super()._estimate_wait(
            state, account, now_ms, deadline_only=deadline_only
        )
        if state.rank.floor:
            queue = state.queue
            ahead = len(queue.works) if deadline_only else queue.count_ahead(account)
            floor_ms = (ahead + 1.0) * state.service.mean_ms / (state.rank.floor * self._capacity)
            wait_ms = min(wait_ms, floor_ms)
        return wait_ms, is_saturated

    def _refuse(self, state: RankState, now_ms: int, room_ms: float) -> Refusal:
        """Return a refusal; each one of a burst is told to return when there is room for it."""
        share = max(MIN_SHARE, state.share)
        step_ms = state.service.mean_ms / (self._capacity * share)
        return_ms = max(state.return_ms, now_ms + room_ms) + step_ms
        state.return_ms = min(return_ms, now_ms + MAX_RETRY_AFTER_MS)
        return Refusal(
            code=Code.OVERLOADED,
            retry_after_ms=max(MIN_RETRY_AFTER_MS, round(state.return_ms - now_ms)),
        )

    def _withdraw(self, work_id: int) -> StartedWork | None:
        started = self._started.pop(work_id, None)
        if started is not None:
            self._blocking_count -= started.blocks
        return started
