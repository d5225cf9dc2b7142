"""Rate limit and backoff for calls to the platform."""

import random

from burdockrun_messages import (
    OnPlatformReply,
    Outbox,
    PlatformFailure,
    PlatformOperation,
    PlatformReply,
)

from burdockrun_fleet.const import (
    BACKOFF_MAX_MS,
    BACKOFF_MIN_MS,
    CALL_TIMEOUT_MS,
    CALLS_BURST,
    CALLS_PER_S,
    PLATFORM_FAILED,
)


class Backoff:
    """Exponential backoff with full jitter, from `BACKOFF_MIN_MS` to `BACKOFF_MAX_MS`."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0
        self._not_before_ms = 0

    def is_ready(self, now_ms: int) -> bool:
        """Return whether the next attempt may start."""
        return now_ms >= self._not_before_ms

    def fail(self, now_ms: int) -> None:
        """Record a failed attempt and choose the time of the next one."""
        limit_ms = min(BACKOFF_MAX_MS, BACKOFF_MIN_MS << min(self._failures, 10))
        self._failures += 1
        self._not_before_ms = now_ms + self._rng.randint(1, limit_ms)

    def succeed(self) -> None:
        """Record a success, which ends the backoff."""
        self._failures = 0
        self._not_before_ms = 0


class TokenBucket:
    """Token bucket that limits a rate and allows a burst."""

    def __init__(self, per_s: float, burst: int) -> None:
        self._per_ms = per_s / 1_000
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_ms = 0

    def try_take(self, now_ms: int) -> bool:
        """Take a token; return False if there is none."""
        elapsed_ms = max(0, now_ms - self._refilled_ms)
        self._tokens = min(self._burst, self._tokens + elapsed_ms * self._per_ms)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class PlatformClient:
    """Calls the platform, limited in rate by a token bucket.

    A call beyond the limit is refused at once; the caller repeats it at a later tick.
    """

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._bucket = TokenBucket(CALLS_PER_S, CALLS_BURST)

    def call(
        self,
        operation: PlatformOperation,
        on_reply: OnPlatformReply,
        now_ms: int,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> bool:
        """Start a call; return False if the limit is reached and nothing was sent."""
        if not self._bucket.try_take(now_ms):
            return False

        def finish(reply: PlatformReply, then_ms: int) -> None:
            if isinstance(reply, PlatformFailure):
                self._outbox.count("fleet.platform_failed")
                kind = type(operation).__name__
                self._outbox.log(PLATFORM_FAILED, operation=kind, reason=reply.reason)
            on_reply(reply, then_ms)

        self._outbox.call_platform(operation, timeout_ms=timeout_ms, on_reply=finish)
        return True
