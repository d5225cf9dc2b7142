"""Estimate of a delay from samples."""

from typing import Final

MEAN_WEIGHT: Final = 1 / 8
DEVIATION_WEIGHT: Final = 1 / 4
BOUND_DEVIATIONS: Final = 4


class DelayEstimate:
    """Smoothed mean and deviation of a delay in ms, with the weights of RFC 6298.

    >>> estimate = DelayEstimate()
    >>> for _ in range(100):
    ...     estimate.add(10)
    >>> round(estimate.upper_ms)
    10
    """

    def __init__(self) -> None:
        self._mean_ms = 0.0
        self._deviation_ms = 0.0
        self._empty = True

    @property
    def upper_ms(self) -> float:
        """Return a bound that few delays exceed, or 0 without samples."""
        return self._mean_ms + BOUND_DEVIATIONS * self._deviation_ms

    def add(self, sample_ms: float) -> None:
        """Update the estimate with one sample."""
        if self._empty:
            self._empty = False
            self._mean_ms, self._deviation_ms = sample_ms, sample_ms / 2
            return
        error_ms = abs(sample_ms - self._mean_ms)
        self._deviation_ms += DEVIATION_WEIGHT * (error_ms - self._deviation_ms)
        self._mean_ms += MEAN_WEIGHT * (sample_ms - self._mean_ms)
