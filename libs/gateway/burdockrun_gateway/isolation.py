"""Whether this node is cut off from the store and from all other failure domains."""

from collections.abc import Sequence

from burdockrun_gateway.const import (
    ISOLATED_ASK_MS,
    ISOLATED_MEMBERS,
    ISOLATED_SILENCE_MS,
    ISOLATED_STORE_MS,
)
from burdockrun_gateway.pools import MemberPool
from burdockrun_gateway.store_copy import StoreCopy


class Isolation:
    """Judges by unanswered questions, so that a node without work is not taken for cut off."""

    def __init__(self, copy: StoreCopy) -> None:
        self.since_ms: int | None = None
        self._copy = copy

    def update(self, pools: Sequence[MemberPool], now_ms: int) -> bool:
        """Note what was heard from the members of other domains; returns whether that changed it.

        The store is asked at once when members have been silent for a while.
        """
        last_contact_ms = max((pool.last_contact_ms for pool in pools), default=0)
        if self.since_ms is not None:
            if max(last_contact_ms, self._copy.last_contact_ms) <= self.since_ms:
                return False
            self.since_ms = None
            return True
        waiting = sum(pool.is_waiting_longer(ISOLATED_ASK_MS) for pool in pools)
        if waiting < min(ISOLATED_MEMBERS, len(pools)):
            return False
        if now_ms - last_contact_ms < ISOLATED_ASK_MS:
            return False
        self._copy.poll_now(direct=True)
        if now_ms - last_contact_ms < ISOLATED_SILENCE_MS or not self._is_store_silent(now_ms):
            return False
        self.since_ms = now_ms
        return True

    def _is_store_silent(self, now_ms: int) -> bool:
        asked_ms = self._copy.asked_ms
        if asked_ms is not None and now_ms - asked_ms >= ISOLATED_STORE_MS:
            return True
        return self._copy.is_failing()
