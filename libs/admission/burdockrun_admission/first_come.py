"""First come, first served: the naive queue that serves as the baseline of the scheduler."""

from collections import deque
from collections.abc import Sequence

from burdockrun_base import Rank
from result import Ok, Result

from burdockrun_admission.models import Refusal, TakeResult, Work


class FirstComeQueue:
    """Queue with the interface of `RankScheduler` that admits everything and serves by arrival."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._queue: deque[Work] = deque()
        self._started: set[int] = set()

    def configure(self, ranks: Sequence[Rank], slots: int) -> tuple[Work, ...]:
        """Set the number of slots; ranks are ignored."""
        del ranks
        self._slots = slots
        return ()

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    def offer(
        self, work: Work, now_ms: int, *, deadline_only: bool = False
    ) -> Result[None, Refusal]:
        """Queue the request."""
        del now_ms, deadline_only
        self._queue.append(work)
        return Ok(None)

    def take(self, now_ms: int) -> TakeResult:
        """Give the oldest request a slot, if one is free."""
        del now_ms
        if not self._queue or len(self._started) >= self._slots:
            return TakeResult()
        work = self._queue.popleft()
        self._started.add(work.work_id)
        return TakeResult(work=work)

    def expire(self, now_ms: int) -> tuple[Work, ...]:
        """Return nothing, because waiting work is never dropped."""
        del now_ms
        return ()

    def cancel(self, work_id: int) -> bool:
        """Remove a waiting request; return whether it was queued."""
        before = len(self._queue)
        self._queue = deque(work for work in self._queue if work.work_id != work_id)
        return len(self._queue) < before

    def complete(self, work_id: int, now_ms: int) -> None:
        """Free the slot of a request."""
        del now_ms
        self._started.discard(work_id)
