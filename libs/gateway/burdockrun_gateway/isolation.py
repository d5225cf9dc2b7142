"""Detection that this node is cut off from the store and all other failure domains."""

from collections.abc import Sequence

from burdockrun_gateway.const import (
    ISOLATED_MEMBERS,
    ISOLATED_POLL_MS,
    ISOLATED_SILENCE_MS,
    ISOLATED_STORE_MS,
)
from burdockrun_gateway.pools import MemberPool
from burdockrun_gateway.store_copy import StoreCopy


class IsolationDetector:
    """Detects isolation by unanswered statements, so that an idle node is not reported."""

    def __init__(self, store_copy: StoreCopy) -> None:
        self.since_ms: int | None = None
        self._store_copy = store_copy

    def update(self, pools: Sequence[MemberPool], now_ms: int) -> bool:
        """Update `since_ms` from the members of other domains and return whether it changed.

        The store is polled at once when these members have been silent for a while.
        """
        last_contact_ms = max((pool.last_contact_ms for pool in pools), default=0)
        if self.since_ms is not None:
            if max(last_contact_ms, self._store_copy.last_contact_ms) <= self.since_ms:
                return False
            self.since_ms = None
            return True
        waiting = sum(pool.is_lost_or_silent(ISOLATED_POLL_MS) for pool in pools)
        if waiting < min(ISOLATED_MEMBERS, len(pools)):
            return False
        if now_ms - last_contact_ms < ISOLATED_POLL_MS:
            return False
        self._store_copy.poll_now(direct=True)
        if now_ms - last_contact_ms < ISOLATED_SILENCE_MS or not self._is_store_silent(now_ms):
            return False
        self.since_ms = now_ms
        return True

    def _is_store_silent(self, now_ms: int) -> bool:
        poll_sent_ms = self._store_copy.poll_sent_ms
        if poll_sent_ms is not None and now_ms - poll_sent_ms >= ISOLATED_STORE_MS:
            return True
        return self._store_copy.is_failing()
