"""Choice among the homes of a member, or among copy sources of the store."""

from burdockrun_base import Clock
from burdockrun_groups import NodeEntry


class PeerSelector:
    """Nodes in order of preference; those that failed recently come last."""

    def __init__(self, clock: Clock, retry_ms: int) -> None:
        self.entries: tuple[NodeEntry, ...] = ()
        self._clock = clock
        self._retry_ms = retry_ms
        self._in_order = False
        self._failed_ms: dict[str, int] = {}
        # When nodes that failed are used again, if not after the usual time.
        self._retried_ms: dict[str, int] = {}

    def set_entries(self, entries: tuple[NodeEntry, ...], retry_ms: int, *, in_order: bool) -> None:
        """Set the nodes, and for how long one that failed is passed over.

        With `in_order` only the first one that works is used, otherwise each that works may be.
        """
        self.entries = entries
        self._in_order = in_order
        self._retry_ms = retry_ms

    def pick_working(self) -> NodeEntry | None:
        """Return the first node that has not failed recently."""
        return next((entry for entry in self.entries if not self._has_failed(entry)), None)

    def pick(self) -> NodeEntry | None:
        """Return the first node that has not failed recently, else that with the oldest failure."""
        working = self.pick_working()
        if working is not None or not self.entries:
            return working
        return min(self.entries, key=lambda entry: self._failed_ms[entry.node])

    def is_passed_over(self, entry: NodeEntry) -> bool:
        """Return whether a node is not used at present: another one works and is preferred."""
        working = self.pick_working()
        if self._in_order:
            return working is not None and working.node != entry.node
        return self._has_failed(entry) and working is not None

    def note_failure(self, entry: NodeEntry, retry_ms: int | None = None) -> None:
        """Prefer the other nodes for `retry_ms`, by default for the usual time."""
        now_ms = self._clock.now_ms()
        self._failed_ms[entry.node] = now_ms
        self._retried_ms.pop(entry.node, None)
        if retry_ms is not None:
            self._retried_ms[entry.node] = now_ms + retry_ms

    def _has_failed(self, entry: NodeEntry) -> bool:
        failed_ms = self._failed_ms.get(entry.node)
        if failed_ms is None:
            return False
        retried_ms = self._retried_ms.get(entry.node, failed_ms + self._retry_ms)
        return self._clock.now_ms() < retried_ms
