"""Event loop in virtual time."""

import heapq
from collections import deque
from collections.abc import Callable

from burdockrun_bench.const import TRACE_LENGTH

Call = Callable[[], None]


class VirtualLoop:
    """Runs calls by virtual time, and calls of the same ms in the order of their scheduling.

    `trace` keeps the last recorded lines for reports.
    """

    def __init__(self, start_ms: int = 0) -> None:
        self.now_ms = start_ms
        self.events = 0
        self.trace: deque[tuple[int, str, tuple[object, ...]]] = deque(maxlen=TRACE_LENGTH)
        self._calls: list[tuple[int, int, Call]] = []
        self._sequence = 0

    def at(self, at_ms: int, call: Call) -> None:
        """Schedule a call at a time, or now when that time has passed."""
        self._sequence += 1
        heapq.heappush(self._calls, (max(at_ms, self.now_ms), self._sequence, call))

    def after(self, delay_ms: int, call: Call) -> None:
        """Schedule a call after a delay."""
        self.at(self.now_ms + delay_ms, call)

    def record(self, text: str, *details: object) -> None:
        """Add a line to the trace."""
        self.trace.append((self.now_ms, text, details))

    def run_until(self, end_ms: int) -> None:
        """Run all calls due by a time, also those scheduled meanwhile."""
        while self._calls and self._calls[0][0] <= end_ms:
            self.now_ms, _, call = heapq.heappop(self._calls)
            self.events += 1
            call()
        self.now_ms = end_ms

    def format_trace(self) -> list[str]:
        """Return the trace as lines of text."""
        return [
            " ".join([f"{at_ms:>8}", text, *(str(detail) for detail in details)])
            for at_ms, text, details in self.trace
        ]
