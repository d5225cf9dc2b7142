"""Token bucket that fills with time."""

from dataclasses import dataclass

MS_PER_SECOND = 1_000.0


@dataclass(kw_only=True, slots=True)
class Bucket:
    """Tokens that increase by `rate` per second up to `burst`.

    It lets at most rate x t + burst operations through in any time t.

    >>> bucket = Bucket(rate=2.0, burst=3.0)
    >>> bucket.fill(1_000)
    >>> bucket.try_take(), bucket.try_take(), bucket.try_take()
    (True, True, False)
    """

    rate: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    updated_ms: int = 0

    def fill(self, now_ms: int) -> None:
        """Add the tokens of the time since the last call."""
        if now_ms > self.updated_ms:
            gained = self.rate * (now_ms - self.updated_ms) / MS_PER_SECOND
            self.tokens = min(self.burst, self.tokens + gained)
            self.updated_ms = now_ms

    def resize(self, rate: float, burst: float, added: float = 0.0) -> None:
        """Change the rate and the burst from now on, and add tokens."""
        self.rate, self.burst = rate, burst
        self.tokens = min(burst, self.tokens + added)

    def try_take(self) -> bool:
        """Take a token if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait_ms(self) -> float:
        """Return the time until there is a token; infinite if the bucket is too small."""
        if self.tokens >= 1.0:
            return 0.0
        if self.rate <= 0.0 or self.burst < 1.0:
            return float("inf")
        return (1.0 - self.tokens) / self.rate * MS_PER_SECOND


def build_emergency_bucket(budget: float, window_s: float) -> Bucket:
    """Return a bucket that lets at most `budget` operations through in any window.

    It has no tokens at first, so that restarts add none.

    >>> bucket = build_emergency_bucket(3.0, 5.0)
    >>> bucket.rate * 5.0 + bucket.burst
    3.0
    """
    if budget < 1.0 or window_s <= 0.0:
        return Bucket()
    burst = max(1.0, budget / 2.0)
    return Bucket(rate=(budget - burst) / window_s, burst=burst)
