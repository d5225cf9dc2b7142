"""Queue of one rank: deficit round robin among client accounts, with expiry."""

import heapq
from collections import deque
from collections.abc import Mapping

from burdockrun_admission.const import MAX_ACCOUNT_CHARGE, MIN_ACCOUNT_WEIGHT, MIN_STALE_ENTRIES
from burdockrun_admission.models import Work


class RankQueue:
    """Work of one rank that waits, first in first out for each client account.

    Accounts take turns in proportion to their weights. Work that can no longer meet the target of
    its rank, or is pushed as late, waits behind all other work of the rank. Removed work leaves
    stale entries behind, which are skipped and now and then swept, so every operation costs
    O(log n) amortised. `works` holds what waits by id, `late_ids` the late part of it, and
    `deadlines` is a heap that may name work which has gone.
    """

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._weights = {
            account: max(MIN_ACCOUNT_WEIGHT, weight) for account, weight in weights.items()
        }
        self.works: dict[int, Work] = {}
        self._queues: dict[str, deque[Work]] = {}
        self._held: dict[str, int] = {}
        self._turns: deque[str] = deque()
        self._deficits: dict[str, float] = {}
        self._late: deque[Work] = deque()
        self.late_ids: set[int] = set()
        self.deadlines: list[tuple[int, int]] = []
        self._active_weight = 0.0

    @property
    def in_time(self) -> int:
        """Number of waiting requests that are not late."""
        return len(self.works) - len(self.late_ids)

    def count_ahead(self, account: str) -> float:
        """Return how many requests are served before a new one of `account`."""
        held = self._held.get(account, 0)
        if held and len(self._held) == 1:
            return held
        weight = self._weights.get(account, 1.0)
        total = self._active_weight if held else self._active_weight + weight
        return min(self.in_time, (held + 1.0) * total / weight - 1.0)

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
            self._turns.append(account)
            self._deficits[account] = 0.0
        queue.append(work)
        held = self._held.get(account, 0)
        if not held:
            self._active_weight += self._weights.get(account, 1.0)
        self._held[account] = held + 1

    def pop(self, late_before_ms: int) -> Work | None:
        """Take out the next work; what arrived before `late_before_ms` is late."""
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
            held = self._held[account]
            if held > 1:
                self._held[account] = held - 1
            else:
                self._release(account)
            return work
        while self._late:
            work = self._late.popleft()
            if work.work_id in self.late_ids:
                self._forget(work)
                return work
        return None

    def charge(self, account: str, services: float) -> None:
        """Charge an account for slot time beyond the one service already paid for its turn."""
        if account in self._deficits:
            self._deficits[account] -= min(MAX_ACCOUNT_CHARGE, services)

    def remove(self, work_id: int) -> bool:
        """Take out one request; False when it does not wait here."""
        work = self.works.get(work_id)
        if work is None:
            return False
        self._forget(work)
        self._sweep()
        return True

    def expire(self, before_ms: float) -> list[Work]:
        """Take out all work with a deadline before `before_ms`."""
        expired: list[Work] = []
        deadlines = self.deadlines
        while deadlines and deadlines[0][0] < before_ms:
            work = self.works.get(heapq.heappop(deadlines)[1])
            if work is not None and work.deadline_ms < before_ms:
                self._forget(work)
                expired.append(work)
        self._sweep()
        return expired

    def clear(self) -> list[Work]:
        """Take out all work."""
        works = list(self.works.values())
        for work in works:
            self._forget(work)
        self._sweep()
        return works

    def _find_head(self, queue: deque[Work], late_before_ms: int) -> Work | None:
        while queue:
            work = queue[0]
            if work.work_id in self.works:
                if work.arrived_ms >= late_before_ms:
                    return work
                self._release(work.account)
                self._late.append(work)
                self.late_ids.add(work.work_id)
            queue.popleft()
        return None

    def _forget(self, work: Work) -> None:
        del self.works[work.work_id]
        if work.work_id in self.late_ids:
            self.late_ids.remove(work.work_id)
        else:
            self._release(work.account)

    def _release(self, account: str) -> None:
        held = self._held[account] - 1
        if held:
            self._held[account] = held
            return
        del self._held[account]
        self._active_weight = (
            self._active_weight - self._weights.get(account, 1.0) if self._held else 0.0
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
