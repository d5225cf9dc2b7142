"""Verdicts of the members' homes on the primary of the active term."""

from burdockrun_messages import ActiveTerm, Verdict

from burdockrun_failover.const import VERDICT_FRESH_MS
from burdockrun_failover.records import count_majority


class VerdictTable:
    """Latest verdict of each observer; old verdicts and those on other terms do not count."""

    def __init__(self) -> None:
        self._verdicts: dict[str, tuple[Verdict, int]] = {}
        self._failed_since_ms: dict[str, int] = {}

    def clear(self) -> None:
        """Discard all verdicts."""
        self._verdicts.clear()
        self._failed_since_ms.clear()

    def note(self, verdict: Verdict, now_ms: int) -> None:
        """Store a verdict, replacing the previous one of the same observer."""
        last = self._verdicts.get(verdict.observer)
        continued = last is not None and now_ms - last[1] <= VERDICT_FRESH_MS and last[0].failed
        if not verdict.failed or not continued:
            self._failed_since_ms[verdict.observer] = now_ms
        self._verdicts[verdict.observer] = (verdict, now_ms)

    def list_suspecting_observers(self, active: ActiveTerm, now_ms: int) -> frozenset[str]:
        """Return the members whose homes consider the primary of the term failed."""
        return frozenset(
            observer
            for observer, (verdict, at_ms) in self._verdicts.items()
            if verdict.failed
            and verdict.term == active.term
            and verdict.primary == active.primary
            and observer in active.members
            and now_ms - at_ms <= VERDICT_FRESH_MS
        )

    def measure_failed_ms(self, observer: str, active: ActiveTerm, now_ms: int) -> int:
        """Return for how long the home of a member has considered the primary failed."""
        if observer not in self.list_suspecting_observers(active, now_ms):
            return 0
        return now_ms - self._failed_since_ms[observer]

    def has_majority(self, active: ActiveTerm, now_ms: int) -> bool:
        """Return whether the homes of a majority of the members consider the primary failed."""
        return len(self.list_suspecting_observers(active, now_ms)) >= count_majority(
            len(active.members)
        )
