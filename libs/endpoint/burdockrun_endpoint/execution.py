"""Queue of a member's statements and the slots that serve them."""

import heapq
import random
from collections import deque

from burdockrun_messages import Execute

from burdockrun_endpoint.const import SERVICE_TIME_JITTER


class ExecutionQueue:
    """Serves at most `slots` statements at once, in order of arrival.

    Service times are uniformly distributed around `service_ms`, up to a quarter below or above.
    While `stuck` is set, no statement ends.
    """

    def __init__(self, slots: int, service_ms: float, rng: random.Random) -> None:
        self.slots = slots
        self.service_ms = service_ms
        self.stuck = False
        self._rng = rng
        self._waiting: deque[tuple[int, Execute]] = deque()
        self._running: list[tuple[int, int, int, Execute]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._waiting) + len(self._running)

    def add(self, connection_id: int, message: Execute, now_ms: int) -> None:
        """Add one statement."""
        self._waiting.append((connection_id, message))
        self._start(now_ms)

    def drop_waiting(self, connection_id: int) -> None:
        """Discard the statements of a connection that are not yet in service."""
        self._waiting = deque(item for item in self._waiting if item[0] != connection_id)

    def clear(self) -> None:
        """Discard all statements."""
        self._waiting.clear()
        self._running.clear()

    def next_ms(self) -> int | None:
        """Return the time at which the next statement ends, or None."""
        return self._running[0][0] if self._running and not self.stuck else None

    def take_finished(self, now_ms: int) -> tuple[int, int, Execute] | None:
        """Remove the next ended statement; return its end time, connection and message, or None."""
        if self.stuck or not self._running or self._running[0][0] > now_ms:
            return None
        ended_ms, _, connection_id, message = heapq.heappop(self._running)
        self._start(ended_ms)
        return ended_ms, connection_id, message

    def _start(self, now_ms: int) -> None:
        while self._waiting and len(self._running) < self.slots:
            connection_id, message = self._waiting.popleft()
            factor = self._rng.uniform(1 - SERVICE_TIME_JITTER, 1 + SERVICE_TIME_JITTER)
            ends_ms = now_ms + max(1, round(self.service_ms * factor))
            self._sequence += 1
            heapq.heappush(self._running, (ends_ms, self._sequence, connection_id, message))
