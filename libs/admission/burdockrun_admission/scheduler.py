"""Scheduler of the slots of one member."""

from collections import deque
from collections.abc import Mapping, Sequence

from burdockrun_messages import Code, Rank
from result import Err, Ok, Result

from burdockrun_admission.const import (
    FIRST_SERVICE_MS,
    MAX_RETRY_AFTER_MS,
    MIN_RETRY_AFTER_MS,
    SERVICE_EWMA_WEIGHT,
)
from burdockrun_admission.models import Refusal, Take, Work


class RankScheduler:
    """Decides which request may enter, and which one gets the next free slot.

    `account_weights` gives the relative shares of client accounts within a rank, 1 by default.
    """

    def __init__(
        self,
        ranks: Sequence[Rank],
        slots: int,
        account_weights: Mapping[str, float] | None = None,
    ) -> None:
        self._ranks = {rank.name: rank for rank in sorted(ranks, key=lambda rank: rank.order)}
        self._slots = slots
        self._account_weights = dict(account_weights or {})
        self._queues: dict[str, deque[Work]] = {name: deque() for name in self._ranks}
        self._started: dict[int, int] = {}
        self._service_ms = FIRST_SERVICE_MS

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def in_service(self) -> int:
        """Number of slots in use."""
        return len(self._started)

    def offer(self, work: Work, now_ms: int) -> Result[None, Refusal]:
        """Let a request wait, or refuse it when it is not expected to be served in time."""
        rank = self._ranks.get(work.rank)
        if rank is None:
            return Err(Refusal(code=Code.UNKNOWN_RANK))
        if work.deadline_ms <= now_ms:
            return Err(Refusal(code=Code.DEADLINE))
        ahead = sum(
            len(self._queues[name])
            for name, other in self._ranks.items()
            if other.order <= rank.order
        )
        wait_ms = ahead * self._service_ms / self._slots
        allowed_ms = min(work.arrived_ms + rank.target_ms, work.deadline_ms) - now_ms
        if wait_ms + self._service_ms > allowed_ms:
            retry_after_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, round(wait_ms)))
            return Err(Refusal(code=Code.OVERLOADED, retry_after_ms=retry_after_ms))
        self._queues[work.rank].append(work)
        return Ok(None)

    def take(self, now_ms: int) -> Take:
        """Give the next request a slot, if one is free, and drop what has expired."""
        expired: list[Work] = []
        for queue in self._queues.values():
            while queue and len(self._started) < self._slots:
                work = queue.popleft()
                if work.deadline_ms > now_ms:
                    self._started[work.work_id] = now_ms
                    return Take(work=work, expired=tuple(expired))
                expired.append(work)
        return Take(expired=tuple(expired))

    def complete(self, work_id: int, now_ms: int) -> None:
        """Free the slot of a request and learn its service time."""
        started_ms = self._started.pop(work_id, None)
        if started_ms is None:
            return
        sample_ms = now_ms - started_ms
        self._service_ms += SERVICE_EWMA_WEIGHT * (sample_ms - self._service_ms)

    def cancel(self, work_id: int) -> bool:
        """Withdraw a waiting request; False when it does not wait (any more)."""
        for queue in self._queues.values():
            for work in queue:
                if work.work_id == work_id:
                    queue.remove(work)
                    return True
        return False
