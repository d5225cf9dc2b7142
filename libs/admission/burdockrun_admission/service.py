"""Estimates of the scheduler: service time and use of the slots."""

import math

from burdockrun_admission.const import (
    COLD_SAMPLES,
    INITIAL_DEVIATION_MS,
    INITIAL_SERVICE_MS,
    MIN_SERVICE_MS,
    OUTLIER_DEVIATIONS,
    SERVICE_EWMA_WEIGHT,
    TAIL_DEVIATIONS,
    USAGE_WINDOW_MS,
    WARM_UP_SAMPLES,
)


class ServiceEstimate:
    """Service time as exponentially weighted mean and mean absolute deviation, in ms.

    Samples are clipped at `OUTLIER_DEVIATIONS` above the mean, so a single slow statement hardly
    changes the estimate. A lasting change is followed within some tens of samples.
    """

    __slots__ = ("_samples", "deviation_ms", "mean_ms", "tail_ms")

    def __init__(self) -> None:
        self.mean_ms = INITIAL_SERVICE_MS
        self.deviation_ms = INITIAL_DEVIATION_MS
        # 99.9% of ordinary statements take less time.
        self.tail_ms = INITIAL_SERVICE_MS + TAIL_DEVIATIONS * INITIAL_DEVIATION_MS
        self._samples = 0

    @property
    def is_cold(self) -> bool:
        """Return whether there are too few samples to judge how much work fits."""
        return self._samples < COLD_SAMPLES

    def learn(self, sample_ms: float) -> None:
        """Update the estimate with one measured service time."""
        mean_ms, deviation_ms = self.mean_ms, self.deviation_ms
        # The additional 1 ms lets the estimate rise again after the deviation has reached zero.
        difference_ms = min(sample_ms - mean_ms, OUTLIER_DEVIATIONS * deviation_ms + 1.0)
        weight = SERVICE_EWMA_WEIGHT
        if self._samples < WARM_UP_SAMPLES:
            self._samples += 1
            weight = max(weight, 1.0 / (self._samples + 4))
        mean_ms += weight * difference_ms
        deviation_ms += weight * (abs(difference_ms) - deviation_ms)
        self.mean_ms = mean_ms if mean_ms > MIN_SERVICE_MS else MIN_SERVICE_MS
        self.deviation_ms = deviation_ms
        self.tail_ms = mean_ms + TAIL_DEVIATIONS * deviation_ms


class Usage:
    """Recently used share of the slots, with exponential decay over `USAGE_WINDOW_MS`.

    >>> usage = Usage(slots=2)
    >>> for now_ms in range(0, 10_000, 4):
    ...     usage.add(4, now_ms)
    >>> round(usage.share(10_000), 2)
    0.5
    """

    __slots__ = ("_at_ms", "_busy_ms", "slots")

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._busy_ms = 0.0
        self._at_ms = 0

    def add(self, busy_ms: float, now_ms: int) -> None:
        """Add the slot time of work that ended now."""
        self._busy_ms = self._busy_ms * math.exp((self._at_ms - now_ms) / USAGE_WINDOW_MS) + busy_ms
        self._at_ms = now_ms

    def share(self, now_ms: int) -> float:
        """Return the used share of all slots, from 0 to about 1."""
        decay = math.exp((self._at_ms - now_ms) / USAGE_WINDOW_MS)
        return self._busy_ms * decay / (USAGE_WINDOW_MS * self.slots)
