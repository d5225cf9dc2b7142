"""Rate limit of logs, so that a flood of one kind of event does not hide another."""

from dataclasses import dataclass
from typing import Final

LINES_PER_SECOND: Final = 20
BURST_LINES: Final = 100
MS_PER_SECOND: Final = 1_000


@dataclass(kw_only=True, slots=True)
class _TokenBucket:
    tokens: float
    at_ms: int
    dropped: int = 0


class LogRateLimiter:
    """Token bucket for each kind of event: a burst, then a fixed number of lines a second."""

    def __init__(
        self, *, burst: int = BURST_LINES, lines_per_second: int = LINES_PER_SECOND
    ) -> None:
        self._burst = burst
        self._lines_per_second = lines_per_second
        self._buckets: dict[int, _TokenBucket] = {}

    def acquire(self, number: int, now_ms: int) -> int | None:
        """Return the number of lines dropped since the last one written, or None to drop this one.

        >>> limiter = LogRateLimiter(burst=1, lines_per_second=1)
        >>> [limiter.acquire(1, at_ms) for at_ms in (0, 10, 20, 1_010)]
        [0, None, None, 2]
        """
        bucket = self._buckets.get(number)
        if bucket is None:
            bucket = _TokenBucket(tokens=float(self._burst), at_ms=now_ms)
            self._buckets[number] = bucket
        refill = (now_ms - bucket.at_ms) * self._lines_per_second / MS_PER_SECOND
        bucket.tokens = min(float(self._burst), bucket.tokens + refill)
        bucket.at_ms = now_ms
        if bucket.tokens < 1:
            bucket.dropped += 1
            return None
        bucket.tokens -= 1
        dropped, bucket.dropped = bucket.dropped, 0
        return dropped
