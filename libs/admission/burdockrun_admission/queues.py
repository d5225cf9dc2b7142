"""Queue of one rank: deficit round robin among client accounts, with expiry."""

import heapq
from collections import deque
from collections.abc import Callable, Mapping

from burdockrun_admission.const import MAX_ACCOUNT_CHARGE, MIN_ACCOUNT_WEIGHT, MIN_STALE_ENTRIES
from burdockrun_admission.models import Work


class RankQueue:
    """Waiting work of one rank, first in, first out within each client account.

    Accounts are served by deficit round robin in proportion to their weights. Work that can no
    longer meet the target of its rank, or is pushed as late, is served after all other work of the
    rank. Removed work leaves stale entries in the queues, which are skipped and swept once there
    are too many, so every operation costs O(log n) amortised. `works` maps ids to waiting work,
    `late_ids` contains the ids of late work, and `deadlines` is a heap that may contain ids of
    removed work.
    """

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._weights = {
            account: max(MIN_ACCOUNT_WEIGHT, weight) for account, weight in weights.items()
        }
        self.works: dict[int, Work] = {}
        self._queues: dict[str, deque[Work]] = {}
        self._counts: dict[str, int] = {}
        self._turns: deque[str] = deque()
        self._deficits: dict[str, float] = {}
        self._late: deque[Work] = deque()
        # Accounts that take no turns until `unpark`, with their late work.
        self._parked: dict[str, deque[Work]] = {}
        self.late_ids: set[int] = set()
        self.deadlines: list[tuple[int, int]] = []
        self._active_weight = 0.0

    @property
    def in_time(self) -> int:
        """Number of waiting requests that are not late."""
        return len(self.works) - len(self.late_ids)

    def has_ready(self) -> bool:
        """Return whether work of an account waits that is not parked."""
        return bool(self.works) and bool(self._turns or self._late)

    def count_ahead(self, account: str) -> float:
        """Return how many waiting requests would be served before a new one of `account`."""
        count = self._counts.get(account, 0)
        if count and len(self._counts) == 1:
            return count
        weight = self._weights.get(account, 1.0)
        total = self._active_weight if count else self._active_weight + weight
        return min(self.in_time, (count + 1.0) * total / weight - 1.0)

    def put_back(self, work: Work, *, late: bool) -> None:
        """Add work before all other work of the rank, since it could not use its turn."""
        if late:
            self.push(work, late=True)
            self._late.rotate(1)
            return
        self.push(work)
        queue = self._queues[work.account]
        queue.rotate(1)
        self._deficits[work.account] += 1.0
        if work.account not in self._parked:
            self._turns.remove(work.account)
            self._turns.appendleft(work.account)

    def push(self, work: Work, *, late: bool = False) -> None:
        """Add work at the end."""
        self.works[work.work_id] = work
        heapq.heappush(self.deadlines, (work.deadline_ms, work.work_id))
        if late:
            self._late.append(work)
            self.late_ids.add(work.work_id)
            return
        account = work.account
        queue = self._queues.get(account)
        if queue is None:
            queue = self._queues[account] = deque()
            if account not in self._parked:
                self._turns.append(account)
            self._deficits[account] = 0.0
        queue.append(work)
        count = self._counts.get(account, 0)
        if not count:
            self._active_weight += self._weights.get(account, 1.0)
        self._counts[account] = count + 1

    def unpark(self, account: str) -> None:
        """Let an account that `pop` has parked take turns again, the next one at once."""
        late = self._parked.pop(account, None)
        if late is None:
            return
        self._late.extendleft(reversed(late))
        if account in self._queues:
            self._turns.appendleft(account)

    def pop(
        self, late_before_ms: int, is_ready: Callable[[str], bool] | None = None
    ) -> Work | None:
        """Remove and return the next work; work that arrived before `late_before_ms` is late.

        Accounts for which `is_ready` returns False are parked.
        """
        turns = self._turns
        while turns:
            account = turns[0]
            queue = self._queues[account]
            work = queue[0] if queue else None
            if work is None or work.work_id not in self.works or work.arrived_ms < late_before_ms:
                work = self._find_head(queue, late_before_ms)
            if work is None:
                turns.popleft()
                del self._queues[account], self._deficits[account]
                continue
            if is_ready is not None and not is_ready(account):
                turns.popleft()
                self._parked[account] = deque()
                continue
            deficit = self._deficits[account]
            if deficit < 1.0:
                deficit += self._weights.get(account, 1.0)
                if deficit < 1.0:
                    self._deficits[account] = deficit
                    turns.rotate(-1)
                    continue
            deficit -= 1.0
            self._deficits[account] = deficit
            if deficit < 1.0 and len(turns) > 1:
                turns.rotate(-1)
            queue.popleft()
            del self.works[work.work_id]
            count = self._counts[account]
            if count > 1:
                self._counts[account] = count - 1
            else:
                self._decrement_count(account)
            return work
        return self._pop_late(is_ready)

    def charge(self, account: str, services: float) -> None:
        """Charge an account for slot time beyond that of its turn, in units of one service time."""
        if account in self._deficits:
            self._deficits[account] -= min(MAX_ACCOUNT_CHARGE, services)

    def remove(self, work_id: int) -> bool:
        """Remove one request; return False when it is not waiting here."""
        work = self.works.get(work_id)
        if work is None:
            return False
        self._discard(work)
        self._sweep()
        return True

    def expire(self, before_ms: float) -> list[Work]:
        """Remove and return all work with a deadline before `before_ms`."""
        expired: list[Work] = []
        deadlines = self.deadlines
        while deadlines and deadlines[0][0] < before_ms:
            work = self.works.get(heapq.heappop(deadlines)[1])
            if work is not None and work.deadline_ms < before_ms:
                self._discard(work)
                expired.append(work)
        self._sweep()
        return expired

    def clear(self) -> list[Work]:
        """Remove and return all work."""
        works = list(self.works.values())
        for work in works:
            self._discard(work)
        self._sweep()
        return works

    def _pop_late(self, is_ready: Callable[[str], bool] | None) -> Work | None:
        while self._late:
            work = self._late.popleft()
            if work.work_id not in self.late_ids:
                continue
            if work.account in self._parked or (
                is_ready is not None and not is_ready(work.account)
            ):
                self._parked.setdefault(work.account, deque()).append(work)
                continue
            self._discard(work)
            return work
        return None

    def _find_head(self, queue: deque[Work], late_before_ms: int) -> Work | None:
        while queue:
            work = queue[0]
            if work.work_id in self.works:
                if work.arrived_ms >= late_before_ms:
                    return work
                self._decrement_count(work.account)
                self._late.append(work)
                self.late_ids.add(work.work_id)
            queue.popleft()
        return None

    def _discard(self, work: Work) -> None:
        del self.works[work.work_id]
        if work.work_id in self.late_ids:
            self.late_ids.remove(work.work_id)
        else:
            self._decrement_count(work.account)

    def _decrement_count(self, account: str) -> None:
        count = self._counts[account] - 1
        if count:
            self._counts[account] = count
            return
        del self._counts[account]
        self._active_weight = (
            self._active_weight - self._weights.get(account, 1.0) if self._counts else 0.0
        )

    def _sweep(self) -> None:
        if len(self.deadlines) <= 2 * len(self.works) + MIN_STALE_ENTRIES:
            return
        self.deadlines = [(work.deadline_ms, key) for key, work in self.works.items()]
        heapq.heapify(self.deadlines)
        for account, queue in self._queues.items():
            self._queues[account] = deque(
                work
                for work in queue
                if work.work_id in self.works and work.work_id not in self.late_ids
            )
        self._late = deque(work for work in self._late if work.work_id in self.late_ids)
        for account, late in self._parked.items():
            self._parked[account] = deque(work for work in late if work.work_id in self.late_ids)
