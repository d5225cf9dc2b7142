"""Verdicts about the primary of one active term, from the homes of its members."""

from burdockrun_messages import ActiveTerm, Verdict

from burdockrun_failover.const import VERDICT_FRESH_MS
from burdockrun_failover.records import count_majority


class VerdictTable:
    """Latest verdict of each observer; only fresh ones of the asked term count."""

    def __init__(self) -> None:
        self._verdicts: dict[str, tuple[Verdict, int]] = {}
        self._failed_since_ms: dict[str, int] = {}

    def clear(self) -> None:
        """Forget all verdicts."""
        self._verdicts.clear()
        self._failed_since_ms.clear()

    def note(self, verdict: Verdict, now_ms: int) -> None:
        """Keep a verdict in place of an older one of the same observer."""
        last = self._verdicts.get(verdict.observer)
        continued = last is not None and now_ms - last[1] <= VERDICT_FRESH_MS and last[0].failed
        if not verdict.failed or not continued:
            self._failed_since_ms[verdict.observer] = now_ms
        self._verdicts[verdict.observer] = (verdict, now_ms)

    def list_failed(self, active: ActiveTerm, now_ms: int) -> frozenset[str]:
        """Return the members whose homes hold the primary of the term for failed."""
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
        """Return for how long the home of a member has held the primary for failed."""
        if observer not in self.list_failed(active, now_ms):
            return 0
        return now_ms - self._failed_since_ms[observer]

    def has_majority(self, active: ActiveTerm, now_ms: int) -> bool:
        """Return whether the homes of a majority of the members hold the primary for failed."""
        return len(self.list_failed(active, now_ms)) >= count_majority(len(active.members))
