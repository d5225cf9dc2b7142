"""Choice of the node that carries this node's connections to a member."""

from burdockrun_base import Clock
from burdockrun_groups import NodeEntry

from burdockrun_gateway.const import HOME_RETRY_MS


class Homes:
    """Nodes that hold connections to one member; without any, this node has its own."""

    def __init__(self, clock: Clock) -> None:
        self.entries: tuple[NodeEntry, ...] = ()
        self._clock = clock
        self._failed_ms: dict[str, int] = {}

    def pick(self) -> NodeEntry | None:
        """Return the first home that has not failed lately, else the one that failed first."""
        if not self.entries:
            return None
        working = [entry for entry in self.entries if not self._has_failed(entry)]
        if working:
            return working[0]
        return min(self.entries, key=lambda entry: self._failed_ms[entry.node])

    def fits(self, home: NodeEntry | None) -> bool:
        """Return whether a connection through `home`, or one of this node, is still wanted."""
        return home in self.entries if home is not None else not self.entries

    def note_failure(self, home: NodeEntry) -> None:
        """Prefer the other homes for a while."""
        self._failed_ms[home.node] = self._clock.now_ms()

    def have_failed(self) -> bool:
        """Return whether no home is left that has not failed lately."""
        return all(self._has_failed(entry) for entry in self.entries)

    def _has_failed(self, entry: NodeEntry) -> bool:
        failed_ms = self._failed_ms.get(entry.node)
        return failed_ms is not None and self._clock.now_ms() < failed_ms + HOME_RETRY_MS
