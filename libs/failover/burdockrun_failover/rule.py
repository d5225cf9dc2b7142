"""Advice on the acknowledgement rule of a term."""

from collections import deque

from burdockrun_messages import AckRule, MemberStatus

from burdockrun_failover.const import (
    CAUGHT_UP_TRAIL_MS,
    MAJORITY_RULE_AFTER_MS,
    PRIMARY_RULE_AFTER_MS,
)


class RuleAdvisor:
    """Measures for how long the confirmed index of a primary has trailed its log.

    `trail_ms` is the age of the oldest entry seen that no majority held at the last status,
    `close_ms` for how long the trail has been short.
    """

    def __init__(self) -> None:
        self._term = 0
        self._seen: deque[tuple[int, int]] = deque()
        self._close_since_ms: int | None = None
        self.trail_ms = 0
        self.close_ms = 0

    def clear(self) -> None:
        """Forget what was seen."""
        self._seen.clear()
        self._close_since_ms = None
        self.trail_ms = 0
        self.close_ms = 0

    def note(self, status: MemberStatus, now_ms: int) -> None:
        """Note a status of the primary."""
        if status.term != self._term:
            self.clear()
            self._term = status.term
        if not self._seen or status.position.index > self._seen[-1][1]:
            self._seen.append((now_ms, status.position.index))
        while self._seen and self._seen[0][1] <= status.confirmed_index:
            self._seen.popleft()
        self.trail_ms = now_ms - self._seen[0][0] if self._seen else 0
        if self.trail_ms > CAUGHT_UP_TRAIL_MS:
            self._close_since_ms = None
        elif self._close_since_ms is None:
            self._close_since_ms = now_ms
        close_since_ms = self._close_since_ms
        self.close_ms = now_ms - close_since_ms if close_since_ms is not None else 0

    def advise(self, rule: AckRule) -> AckRule:
        """Return the rule that the next term should have."""
        if rule is AckRule.MAJORITY:
            late = self.trail_ms >= PRIMARY_RULE_AFTER_MS
            return AckRule.PRIMARY if late else AckRule.MAJORITY
        close = self.close_ms >= MAJORITY_RULE_AFTER_MS
        return AckRule.MAJORITY if close else AckRule.PRIMARY
