"""Bounds on what a program logs, so that logging never holds it up."""

import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

LINES_PER_SECOND: Final = 20
BURST_LINES: Final = 100
MS_PER_SECOND: Final = 1_000


@dataclass(kw_only=True, slots=True)
class _Allowance:
    lines: float
    at_ms: int
    dropped: int = 0


class LogBudget:
    """Lets through a burst of each kind of event, then a steady number of lines a second."""

    def __init__(
        self, *, burst: int = BURST_LINES, lines_per_second: int = LINES_PER_SECOND
    ) -> None:
        self._burst = burst
        self._lines_per_second = lines_per_second
        self._allowances: dict[int, _Allowance] = {}

    def spend(self, number: int, now_ms: int) -> int | None:
        """Return how many lines of an event were dropped before this one; None drops this one too.

        >>> budget = LogBudget(burst=1, lines_per_second=1)
        >>> [budget.spend(1, at_ms) for at_ms in (0, 10, 20, 1_010)]
        [0, None, None, 2]
        """
        allowance = self._allowances.get(number)
        if allowance is None:
            allowance = _Allowance(lines=float(self._burst), at_ms=now_ms)
            self._allowances[number] = allowance
        gained = (now_ms - allowance.at_ms) * self._lines_per_second / MS_PER_SECOND
        allowance.lines = min(float(self._burst), allowance.lines + gained)
        allowance.at_ms = now_ms
        if allowance.lines < 1:
            allowance.dropped += 1
            return None
        allowance.lines -= 1
        dropped, allowance.dropped = allowance.dropped, 0
        return dropped


class LossyStream:
    """Text stream onto a file descriptor; what a full pipe does not take is dropped and counted."""

    def __init__(self, descriptor: int, write: Callable[[int, bytes], int] = os.write) -> None:
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._write = write
        self._rest = b""

    def write(self, text: str) -> int:
        """Write whole lines or nothing of them; finishes a line that was cut before."""
        data = self._rest + text.encode()
        try:
            written = self._write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            self.dropped += 1
            return len(text)
        if written < len(self._rest) or written == 0:
            self.dropped += 1
            self._rest = self._rest[written:]
        else:
            self._rest = data[written:]
        return len(text)

    def flush(self) -> None:
        """Do nothing; every write goes to the descriptor at once."""

    def close(self) -> None:
        """Leave the descriptor open, as it belongs to the process."""
