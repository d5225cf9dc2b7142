"""Counters, gauges and latency histograms of a program, with a limited number of series."""

from bisect import bisect_left
from dataclasses import dataclass, field
from typing import Final

MAX_SERIES: Final = 1_000
BUCKETS_MS: Final = (5, 10, 25, 50, 100, 250, 500, 1_000, 2_500)
OVERFLOW_LABEL: Final = "other"

Labels = tuple[tuple[str, str], ...]


@dataclass(kw_only=True, slots=True)
class Histogram:
    """Durations in ms by bucket; the last bucket has no upper bound."""

    buckets: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS_MS) + 1))
    sum_ms: float = 0.0


class Measurements:
    """Counters, gauges and histograms by name and labels; series beyond `MAX_SERIES` are merged."""

    def __init__(self) -> None:
        self.counters: dict[str, dict[Labels, int]] = {}
        self.histograms: dict[str, dict[Labels, Histogram]] = {}
        self.gauges: dict[str, dict[Labels, float]] = {}
        self._series = 0

    def count(self, name: str, **labels: str) -> None:
        """Add one to a counter.

        >>> measurements = Measurements()
        >>> measurements.count("refused", service="wendedb")
        >>> measurements.counters["refused"]
        {(('service', 'wendedb'),): 1}
        """
        series = self.counters.setdefault(name, {})
        key = self._find_key(series, labels)
        series[key] = series.get(key, 0) + 1

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set the value of a gauge."""
        series = self.gauges.setdefault(name, {})
        series[self._find_key(series, labels)] = value

    def observe(self, name: str, duration_ms: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        series = self.histograms.setdefault(name, {})
        histogram = series.setdefault(self._find_key(series, labels), Histogram())
        histogram.buckets[bisect_left(BUCKETS_MS, duration_ms)] += 1
        histogram.sum_ms += duration_ms

    def _find_key(
        self,
        series: dict[Labels, int] | dict[Labels, Histogram] | dict[Labels, float],
        labels: dict[str, str],
    ) -> Labels:
        key = tuple(labels.items())
        if key in series:
            return key
        if self._series >= MAX_SERIES:
            return tuple((name, OVERFLOW_LABEL) for name in labels)
        self._series += 1
        return key
