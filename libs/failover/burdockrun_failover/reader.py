"""Decides when a supervisor reads the group record from the platform."""

import random

from burdockrun_failover.const import READ_JITTER_MS, REREAD_MIN_MS, STALL_AFTER_MS
from burdockrun_failover.group import Group
from burdockrun_failover.store import OnRead, RecordStore


class RecordReader:
    """Reads the record again when the known one may be outdated.

    `verified` is False at the start, after a pause, and when a member reports a later term; no
    promotion starts before the read. At the start the home of the first member reads first; the
    other nodes usually get the record from it before their own read is due.
    """

    def __init__(
        self, group: Group, store: RecordStore, rng: random.Random, on_read: OnRead
    ) -> None:
        self.verified = False
        self._group = group
        self._store = store
        self._rng = rng
        self._on_read = on_read
        self._read_at_ms: int | None = None

    def invalidate(self, now_ms: int) -> None:
        """Require a read of the record before the next promotion, due at once."""
        self.verified = False
        self._read_at_ms = now_ms

    def invalidate_later(self, now_ms: int) -> None:
        """Require a read of the record, at least `REREAD_MIN_MS` after the previous one."""
        if self.verified and not self._store.busy:
            self.verified = False
            self._read_at_ms = max(now_ms, (self._read_at_ms or 0) + REREAD_MIN_MS)

    def tick(self, now_ms: int) -> None:
        """Read the record when it is due."""
        lead_order = self._group.find_lead_order(primary_first=True)
        if self.verified or lead_order is None or self._store.busy:
            return
        if self._read_at_ms is None:
            self._read_at_ms = (
                now_ms + lead_order * STALL_AFTER_MS + self._rng.randint(0, READ_JITTER_MS)
            )
        if now_ms < self._read_at_ms:
            return
        self._read_at_ms = now_ms
        self._store.read(self._on_read)
