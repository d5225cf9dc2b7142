"""Scheduler that assigns the slots of one member to waiting requests."""

import math
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from burdockrun_base import Code, Rank
from result import Err, Ok, Result

from burdockrun_admission.const import (
    ADMITTED_EWMA_WEIGHT,
    BUSY_DEVIATIONS,
    MAX_FLOOR_CREDIT,
    MAX_RETRY_AFTER_MS,
    MIN_PROBE_INTERVAL_MS,
    MIN_RETRY_AFTER_MS,
    MIN_SHARE,
    QUEUE_DEVIATIONS,
    STALL_FACTOR,
    STALL_GRACE_MS,
)
from burdockrun_admission.models import Refusal, TakeResult, Work
from burdockrun_admission.ranks import RankState
from burdockrun_admission.slots import StartedWork, estimate_slot_wait

_ADMITTED: Final[Ok[None]] = Ok(None)
_NO_WORK: Final = TakeResult()


class RankScheduler:
    """Decides which requests are admitted, and which one gets the next free slot.

    `account_weights` gives the relative shares of client accounts within a rank, 1 by default.
    Among ranks of the same order, the one with the higher `worth` is more urgent. Callers call
    `take` whenever the member can accept a statement and otherwise `expire` to get dropped work.
    """

    def __init__(
        self,
        ranks: Sequence[Rank],
        slots: int,
        account_weights: Mapping[str, float] | None = None,
    ) -> None:
        self._weights = dict(account_weights or {})
        self._by_name: dict[str, RankState] = {}
        self._uncredited_ms = 0.0
        self._blocking_count = 0
        self._waiting = 0
        self._started: dict[int, StartedWork] = {}
        # Time since which a slot has been free while work waits, or None.
        self._ready_since_ms: int | None = None
        self._progress_ms = 0
        self._next_probe_ms = 0
        # Earliest time at which waiting work may have to be dropped.
        self._next_expiry_ms = math.inf
        self.configure(ranks, slots)

    def set_slots(self, slots: int, capacity: int | None = None) -> None:
        """Change the number of slots; work in service beyond it goes on.

        `capacity` is how many of the slots the member serves at once, by default all. Work in the
        others waits there, which is not part of its service time.
        """
        self._slots = slots
        self._capacity = min(slots, capacity or slots)
        for state in self._states:
            state.usage.slots = self._capacity

    def configure(self, ranks: Sequence[Rank], slots: int) -> tuple[Work, ...]:
        """Change ranks and slots; return the waiting work of removed ranks, which must be refused.

        Ranks that remain keep their queue and estimates.
        """
        previous = self._by_name
        self._slots = self._capacity = slots
        self._states: list[RankState] = []
        for rank in sorted(ranks, key=lambda rank: (rank.order, -rank.worth)):
            state = previous.get(rank.name) or RankState(rank, self._weights)
            state.configure(rank, slots)
            self._states.append(state)
        for position, state in enumerate(self._states):
            state.more_urgent = tuple(self._states[:position])
            state.less_urgent = tuple(self._states[position + 1 :])
        self._ranks_with_floor = [state for state in self._states if state.rank.floor > 0.0]
        self._by_name = {state.rank.name: state for state in self._states}
        removed: list[Work] = []
        for name, state in previous.items():
            if name not in self._by_name:
                removed += state.queue.clear()
        self._waiting -= len(removed)
        return tuple(removed)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self._waiting

    def count_waiting(self) -> dict[str, int]:
        """Return the number of waiting requests of each rank, most urgent first."""
        return {state.rank.name: len(state.queue.works) for state in self._states}

    @property
    def in_service(self) -> int:
        """Number of slots in use."""
        return len(self._started)

    def offer(
        self, work: Work, now_ms: int, *, deadline_only: bool = False
    ) -> Result[None, Refusal]:
        """Queue a request, or refuse it when it is not expected to be served in time.

        In time means within the target of its rank and its deadline. With `deadline_only` the
        target is ignored: the request waits out an outage and is served after the work of its rank
        that can still meet the target.
        """
        state = self._by_name.get(work.rank)
        if state is None:
            return Err(Refusal(code=Code.UNKNOWN_RANK))
        if work.deadline_ms <= now_ms:
            return Err(Refusal(code=Code.DEADLINE))
        if not self._waiting and not deadline_only and self._admits_without_estimate(now_ms):
            self._admit(state, work, now_ms)
            return _ADMITTED
        limit_ms, stall_ms = work.deadline_ms, 0.0
        if not deadline_only:
            target_ms = work.arrived_ms + state.rank.target_ms
            limit_ms = target_ms if target_ms < limit_ms else limit_ms
            stall_ms = self._estimate_stall_ms(state, now_ms)
        wait_ms, is_saturated = self._estimate_wait(
            state, work.account, now_ms, deadline_only=deadline_only
        )
        allowed_ms = limit_ms - now_ms - state.service.tail_ms - stall_ms
        admitted = wait_ms <= allowed_ms and not (
            is_saturated and wait_ms > allowed_ms * state.admitted_share
        )
        if not stall_ms and not deadline_only:
            state.admitted_share += ADMITTED_EWMA_WEIGHT * (admitted - state.admitted_share)
        if admitted:
            self._admit(state, work, now_ms, late=deadline_only)
            return _ADMITTED
        retry_ms = (wait_ms + stall_ms) / max(MIN_SHARE, state.admitted_share)
        return Err(Refusal(code=Code.OVERLOADED, retry_after_ms=_clamp_retry(retry_ms)))

    def take(self, now_ms: int, is_ready: Callable[[str], bool] | None = None) -> TakeResult:
        """Give the next request a slot, if one is free, and drop work as `expire` does.

        Accounts for which `is_ready` returns False are parked in the queue of the rank.
        """
        expired = self.expire(now_ms) if now_ms >= self._next_expiry_ms else ()
        if len(self._started) >= self._slots:
            return TakeResult(expired=expired) if expired else _NO_WORK
        self._ready_since_ms = None
        while True:
            state = self._choose(now_ms)
            if state is None:
                return TakeResult(expired=expired) if expired else _NO_WORK
            late_before_ms = now_ms + math.ceil(state.service.mean_ms) - state.rank.target_ms
            work = state.queue.pop(late_before_ms, is_ready)
            if work is not None:
                break
        self._update_floor_credits(state, state.service.mean_ms)
        self._start(work, state, now_ms)
        self._waiting -= 1
        self._progress_ms = now_ms
        if self._waiting and len(self._started) < self._slots:
            self._ready_since_ms = now_ms
        return TakeResult(work=work, expired=expired)

    def _start(self, work: Work, state: RankState, now_ms: int) -> None:
        cost_ms = state.service.mean_ms
        expected_end_ms = now_ms + cost_ms + BUSY_DEVIATIONS * state.service.deviation_ms
        self._started[work.work_id] = StartedWork(
            work, now_ms, cost_ms, expected_end_ms, state.blocks
        )
        self._blocking_count += state.blocks

    def expire(self, now_ms: int) -> tuple[Work, ...]:
        """Drop waiting work that cannot finish before its deadline."""
        if now_ms < self._next_expiry_ms:
            return ()
        expired: list[Work] = []
        self._next_expiry_ms = math.inf
        for state in self._states:
            margin_ms = state.margin_ms()
            expired += state.queue.expire(now_ms + margin_ms)
            if state.queue.deadlines:
                next_ms = state.queue.deadlines[0][0] - margin_ms
                self._next_expiry_ms = min(self._next_expiry_ms, next_ms)
        self._waiting -= len(expired)
        return tuple(expired)

    def complete(self, work_id: int, now_ms: int) -> None:
        """Free the slot of a request and add its service time to the estimates."""
        started = self._started.pop(work_id, None)
        if started is None:
            return
        self._blocking_count -= started.blocks
        self._progress_ms = now_ms
        if self._ready_since_ms is None and self._waiting:
            self._ready_since_ms = now_ms
        state = self._by_name.get(started.work.rank)
        if state is None:
            return
        sample_ms: float = now_ms - started.started_ms
        if len(self._started) >= self._capacity:
            sample_ms *= self._capacity / (len(self._started) + 1)
        extra_ms = sample_ms - started.cost_ms
        self._uncredited_ms += extra_ms
        state.credit_ms -= extra_ms
        state.queue.charge(started.work.account, extra_ms / started.cost_ms)
        state.service.learn(sample_ms)
        state.usage.add(sample_ms, now_ms)

    def cancel(self, work_id: int) -> bool:
        """Remove a waiting request; return False when it is not, or no longer, waiting."""
        if not any(state.queue.remove(work_id) for state in self._states):
            return False
        self._waiting -= 1
        return True

    def _admit(self, state: RankState, work: Work, now_ms: int, *, late: bool = False) -> None:
        state.queue.push(work, late=late)
        self._waiting += 1
        expiry_ms = work.deadline_ms - state.rank.target_ms / 4
        self._next_expiry_ms = min(self._next_expiry_ms, expiry_ms)
        if self._ready_since_ms is None and len(self._started) < self._slots:
            self._ready_since_ms = now_ms

    def _admits_without_estimate(self, now_ms: int) -> bool:
        """Return whether a slot is free, so that no estimate of the wait is needed.

        While the slots are stalled, this is true only at doubling intervals. Those probes keep a
        wrong estimate from refusing all work forever.
        """
        if len(self._started) >= self._slots:
            return False
        if self._ready_since_ms is None:
            return True
        stalled_ms = now_ms - self._ready_since_ms
        if stalled_ms > STALL_GRACE_MS and now_ms < self._next_probe_ms:
            return False
        self._next_probe_ms = now_ms + max(MIN_PROBE_INTERVAL_MS, stalled_ms)
        return True

    def _estimate_stall_ms(self, state: RankState, now_ms: int) -> float:
        """Return how long the slots are expected to stay stalled, 0 when they are not stalled."""
        if self._ready_since_ms is not None:
            stalled_ms = now_ms - self._ready_since_ms
            return STALL_FACTOR * stalled_ms if stalled_ms > STALL_GRACE_MS else 0.0
        stalled_ms = now_ms - self._progress_ms
        if self._started and stalled_ms > 2.0 * state.service.tail_ms:
            return stalled_ms
        return 0.0

    def _estimate_wait(
        self, state: RankState, account: str, now_ms: int, *, deadline_only: bool
    ) -> tuple[float, bool]:
        """Return a wait in ms that few requests exceed, and whether the rank is saturated.

        A rank is saturated when enough of its work waits to keep the slots busy.
        """
        ahead = len(state.queue.works) if deadline_only else state.queue.count_ahead(account)
        is_saturated = ahead > self._capacity
        service = state.service
        ahead_ms = ahead * service.mean_ms
        for other in state.more_urgent:
            waiting = len(other.queue.works) if deadline_only else other.queue.in_time
            if waiting:
                ahead += waiting
                ahead_ms += waiting * other.service.mean_ms
        # The demand after a stall is assumed to be the same as before it.
        load_ms = now_ms if self._ready_since_ms is None else self._ready_since_ms
        if load_ms >= state.share_until_ms:
            state.update_share(load_ms)
        share = state.share
        if deadline_only:
            # The work of the rank that can still meet the target is served first.
            share = max(MIN_SHARE, share - state.demanded_share(load_ms))
        spread_ms = QUEUE_DEVIATIONS * service.deviation_ms * math.sqrt(ahead)
        wait_ms = estimate_slot_wait(
            self._started.values(), self._capacity, ahead_ms / share + spread_ms, now_ms
        )
        return wait_ms, is_saturated

    def _choose(self, now_ms: int) -> RankState | None:
        """Return the waiting rank with the most floor credit, or else the most urgent one.

        One of several slots is kept free of statements so slow that urgent work could not wait for
        them.
        """
        is_last_slot = 0 < self._slots - 1 <= self._blocking_count
        owed: RankState | None = None
        first: RankState | None = None
        for state in self._states:
            if not state.queue.has_ready() or (is_last_slot and state.would_block(now_ms)):
                continue
            if first is None:
                first = state
            if state.credit_ms > 0.0 and (owed is None or state.credit_ms > owed.credit_ms):
                owed = state
        return owed or first

    def _update_floor_credits(self, chosen: RankState, cost_ms: float) -> None:
        """Charge slot time to `chosen` and credit each waiting rank with its floor share of it."""
        spent_ms = cost_ms + self._uncredited_ms
        self._uncredited_ms = 0.0
        chosen.credit_ms -= cost_ms
        for state in self._ranks_with_floor:
            credit_ms = state.credit_ms
            limit_ms = state.service.mean_ms
            if state.queue.works or state is chosen:
                earned_ms = state.rank.floor * spent_ms
                credit_ms = min(credit_ms + earned_ms, MAX_FLOOR_CREDIT * limit_ms)
            elif credit_ms > 0.0:
                credit_ms = 0.0
            state.credit_ms = credit_ms if credit_ms > -limit_ms else -limit_ms


def _clamp_retry(retry_ms: float) -> int:
    return round(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, retry_ms)))
