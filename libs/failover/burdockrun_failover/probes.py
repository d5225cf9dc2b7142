"""Budget of probes that all database groups of a node share."""

from burdockrun_failover.const import (
    PROBE_MAX_MS,
    PROBE_MIN_MS,
    PROBES_PER_SECOND,
    UNOBSERVED_AFTER_MS,
)


class ProbeBudget:
    """Spreads the probes of idle members over the members that a node observes.

    Each group reports its members at every tick; one that no longer does is left out.

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
        """Return the time in ms between two probes of an idle member."""
        oldest_ms = now_ms - UNOBSERVED_AFTER_MS
        members = sum(count for count, at_ms in self._observed.values() if at_ms >= oldest_ms)
        return max(PROBE_MIN_MS, min(PROBE_MAX_MS, members * 1_000 // self._per_second))
