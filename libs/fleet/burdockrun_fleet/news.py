"""Membership news that a node passes on with its messages."""

from dataclasses import dataclass

from burdockrun_messages import MemberUpdate, NodeInfo, NodeState

from burdockrun_fleet.const import REPEAT_FACTOR


@dataclass(slots=True)
class _Item:
    update: MemberUpdate
    sends: int = 0


class NewsQueue:
    """Newest news about each node, each sent a number of times that grows with log10 of the fleet.

    `urgent` is set by news of a node that is not alive.
    """

    def __init__(self) -> None:
        self.urgent = False
        self._items: dict[str, _Item] = {}

    def add(self, info: NodeInfo, state: NodeState, incarnation: int) -> None:
        """Queue news, in place of older news about the same node."""
        update = MemberUpdate(info=info, state=state, incarnation=incarnation)
        self._items[info.node] = _Item(update)
        self.urgent = self.urgent or state is not NodeState.ALIVE

    def take(self, count: int, fleet_size: int) -> list[MemberUpdate]:
        """Return up to `count` of the least repeated news."""
        if not self._items:
            return []
        limit = REPEAT_FACTOR * len(str(fleet_size))
        chosen = sorted(self._items.values(), key=lambda item: item.sends)[:count]
        for item in chosen:
            item.sends += 1
            if item.sends >= limit:
                del self._items[item.update.info.node]
        return [item.update for item in chosen]
