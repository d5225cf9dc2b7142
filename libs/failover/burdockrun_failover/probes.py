"""Budget of probes that all database groups of a node share."""

from burdockrun_failover.const import PROBE_MAX_MS, PROBE_MIN_MS, PROBES_PER_SECOND


class ProbeBudget:
    """Spreads the probes of idle members over the members that a node observes.

    >>> budget = ProbeBudget()
    >>> budget.set_observed("orders", 4)
    >>> budget.interval_ms
    500
    """

    def __init__(self, per_second: int = PROBES_PER_SECOND) -> None:
        self._per_second = per_second
        self._observed: dict[str, int] = {}

    def set_observed(self, database: str, members: int) -> None:
        """Note how many members of a database this node observes."""
        self._observed[database] = members

    @property
    def interval_ms(self) -> int:
        """Return the time in ms between two probes of an idle member."""
        share = sum(self._observed.values()) * 1_000 // self._per_second
        return max(PROBE_MIN_MS, min(PROBE_MAX_MS, share))
