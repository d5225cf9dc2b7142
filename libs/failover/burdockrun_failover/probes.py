"""Probe budget that all database groups of a node share."""

from burdockrun_failover.const import (
    OBSERVED_COUNT_EXPIRY_MS,
    PROBE_INTERVAL_MAX_MS,
    PROBE_INTERVAL_MIN_MS,
    PROBES_PER_SECOND,
)


class ProbeBudget:
    """Derives the interval of regular probes from the number of members that a node observes.

    Each group reports its number of members at every tick; a report expires after
    `OBSERVED_COUNT_EXPIRY_MS`.

    >>> budget = ProbeBudget()
    >>> budget.note_observed("orders", 4, now_ms=0)
    >>> budget.find_interval_ms(now_ms=0)
    500
    """

    def __init__(self, per_second: int = PROBES_PER_SECOND) -> None:
        self._per_second = per_second
        self._observed: dict[str, tuple[int, int]] = {}

    def note_observed(self, database: str, members: int, now_ms: int) -> None:
        """Note how many members of a database this node observes."""
        self._observed[database] = (members, now_ms)

    def find_interval_ms(self, now_ms: int) -> int:
        """Return the time in ms between two regular probes of a member."""
        expired_before_ms = now_ms - OBSERVED_COUNT_EXPIRY_MS
        members = sum(
            count for count, at_ms in self._observed.values() if at_ms >= expired_before_ms
        )
        return max(
            PROBE_INTERVAL_MIN_MS, min(PROBE_INTERVAL_MAX_MS, members * 1_000 // self._per_second)
        )
