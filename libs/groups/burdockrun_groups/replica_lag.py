"""Estimate of how far a replica is behind its primary."""

from dataclasses import dataclass

from burdockrun_groups.const import LAG_DEVIATION_WEIGHT, LAG_DEVIATIONS, LAG_WEIGHT
from burdockrun_groups.watermarks import LagSample


@dataclass(slots=True)
class ReplicaLag:
    """Mean lag of a replica in ms and its mean deviation, from the positions in its answers."""

    mean_ms: float | None = None
    deviation_ms: float = 0.0

    def observe(self, sample: LagSample) -> None:
        """Move the estimate into the bounds that an answer gives."""
        if self.mean_ms is None:
            if sample.most_ms is not None and sample.least_ms > 0.0:
                self._add((sample.least_ms + sample.most_ms) / 2)
            return
        lag_ms = max(self.mean_ms, sample.least_ms)
        self._add(lag_ms if sample.most_ms is None else min(lag_ms, sample.most_ms))

    def observe_lagging(self, behind_ms: float) -> None:
        """Add that a replica had not applied an entry that is `behind_ms` old."""
        self._add(max(self.mean_ms or 0.0, behind_ms))
        missing_ms = behind_ms - (self.mean_ms or 0.0)
        self.deviation_ms = max(self.deviation_ms, missing_ms / LAG_DEVIATIONS)

    def _add(self, lag_ms: float) -> None:
        if self.mean_ms is None:
            self.mean_ms, self.deviation_ms = lag_ms, lag_ms / 4
            return
        error_ms = lag_ms - self.mean_ms
        self.deviation_ms += LAG_DEVIATION_WEIGHT * (abs(error_ms) - self.deviation_ms)
        self.mean_ms += LAG_WEIGHT * error_ms

    def bound_ms(self) -> float | None:
        """Return the lag that is seldom exceeded, None before the first answer."""
        if self.mean_ms is None:
            return None
        return self.mean_ms + LAG_DEVIATIONS * self.deviation_ms
