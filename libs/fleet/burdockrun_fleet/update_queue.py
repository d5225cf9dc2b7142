"""Queue of membership updates to piggyback on probes."""

from dataclasses import dataclass

from burdockrun_messages import MemberUpdate, NodeInfo, NodeState

from burdockrun_fleet.const import RETRANSMIT_FACTOR


@dataclass(slots=True)
class _QueuedUpdate:
    update: MemberUpdate
    sends: int = 0


class UpdateQueue:
    """Newest update about each node, sent a limited number of times.

    The limit grows with log10 of the fleet size. `has_failure` is set by an update about a
    node that is not alive and cleared when the extra ping for such updates is sent.
    """

    def __init__(self) -> None:
        self.has_failure = False
        self._items: dict[str, _QueuedUpdate] = {}

    def add(self, info: NodeInfo, state: NodeState, incarnation: int) -> None:
        """Queue an update, in place of an older one about the same node."""
        update = MemberUpdate(info=info, state=state, incarnation=incarnation)
        self._items[info.node] = _QueuedUpdate(update)
        self.has_failure = self.has_failure or state is not NodeState.ALIVE

    def take(self, count: int, fleet_size: int) -> list[MemberUpdate]:
        """Return up to `count` of the least sent updates and count them as sent."""
        if not self._items:
            return []
        limit = RETRANSMIT_FACTOR * len(str(fleet_size))
        chosen = sorted(self._items.values(), key=lambda item: item.sends)[:count]
        for item in chosen:
            item.sends += 1
            if item.sends >= limit:
                del self._items[item.update.info.node]
        return [item.update for item in chosen]
