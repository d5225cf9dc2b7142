"""Time in milliseconds, the only source of time of the project."""

import time
from typing import Protocol

NANOSECONDS_PER_MS = 1_000_000


class Clock(Protocol):
    """Source of time in integer milliseconds."""

    def now_ms(self) -> int:
        """Return a monotonic time in milliseconds."""
        ...

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch in milliseconds, for display only."""
        ...


class SystemClock:
    """Clock of the operating system."""

    def now_ms(self) -> int:
        """Return the time since the start of the machine, including the time it was suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MS

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch in milliseconds."""
        return time.time_ns() // NANOSECONDS_PER_MS


class ManualClock:
    """Clock that only `advance` moves, for tests and simulations.

    >>> clock = ManualClock()
    >>> clock.advance(250)
    >>> clock.now_ms()
    250
    """

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the time in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the same time as `now_ms`."""
        return self._now_ms

    def advance(self, step_ms: int) -> None:
        """Move the clock forward by a number of milliseconds."""
        self._now_ms += step_ms
