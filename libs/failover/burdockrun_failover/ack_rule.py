"""Recommendation of the acknowledgement rule for the next term."""

from collections import deque

from burdockrun_messages import AckRule, MemberStatus

from burdockrun_failover.const import (
    CAUGHT_UP_LAG_MS,
    MAJORITY_RULE_AFTER_MS,
    PRIMARY_RULE_AFTER_MS,
)


class AckRuleAdvisor:
    """Recommends a rule from how long the confirmed index of a primary lags behind its log.

    `confirmation_lag_ms` is the time since the primary first reported the oldest index that is
    still unconfirmed. `caught_up_ms` is the time since that lag was last above `CAUGHT_UP_LAG_MS`.
    """

    def __init__(self) -> None:
        self._term = 0
        self._unconfirmed: deque[tuple[int, int]] = deque()
        self._caught_up_since_ms: int | None = None
        self.confirmation_lag_ms = 0
        self.caught_up_ms = 0

    def clear(self) -> None:
        """Discard all measurements."""
        self._unconfirmed.clear()
        self._caught_up_since_ms = None
        self.confirmation_lag_ms = 0
        self.caught_up_ms = 0

    def note(self, status: MemberStatus, now_ms: int) -> None:
        """Update the measurements with a status of the primary."""
        if status.term != self._term:
            self.clear()
            self._term = status.term
        if not self._unconfirmed or status.position.index > self._unconfirmed[-1][1]:
            self._unconfirmed.append((now_ms, status.position.index))
        while self._unconfirmed and self._unconfirmed[0][1] <= status.confirmed_index:
            self._unconfirmed.popleft()
        self.confirmation_lag_ms = now_ms - self._unconfirmed[0][0] if self._unconfirmed else 0
        if self.confirmation_lag_ms > CAUGHT_UP_LAG_MS:
            self._caught_up_since_ms = None
        elif self._caught_up_since_ms is None:
            self._caught_up_since_ms = now_ms
        caught_up_since_ms = self._caught_up_since_ms
        self.caught_up_ms = now_ms - caught_up_since_ms if caught_up_since_ms is not None else 0

    def advise(self, rule: AckRule) -> AckRule:
        """Return the recommended rule of the next term, given that of the active one."""
        if rule is AckRule.MAJORITY:
            lagging = self.confirmation_lag_ms >= PRIMARY_RULE_AFTER_MS
            return AckRule.PRIMARY if lagging else AckRule.MAJORITY
        caught_up = self.caught_up_ms >= MAJORITY_RULE_AFTER_MS
        return AckRule.MAJORITY if caught_up else AckRule.PRIMARY
