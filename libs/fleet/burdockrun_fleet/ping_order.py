"""Order in which a node probes its peers."""

import random
from collections.abc import Callable, Sequence

from burdockrun_messages import NodeInfo

from burdockrun_fleet.const import OTHER_DOMAIN_EVERY


class PingOrder:
    """Random round-robin over the peers, one in `OTHER_DOMAIN_EVERY` from another domain.

    Every peer is probed once in each round, which bounds the time to detect a failure.
    """

    def __init__(
        self, domain: str, rng: random.Random, list_alive: Callable[[], Sequence[NodeInfo]]
    ) -> None:
        self._domain = domain
        self._rng = rng
        self._list_alive = list_alive
        self._queues: dict[bool, list[str]] = {False: [], True: []}
        self._turn = 0

    def next(self, find_alive: Callable[[str], NodeInfo | None]) -> NodeInfo | None:
        """Return the next peer, or None when there is none."""
        self._turn += 1
        other_domain = self._turn % OTHER_DOMAIN_EVERY == 0
        return self._take(other_domain, find_alive) or self._take(not other_domain, find_alive)

    def _take(
        self, other_domain: bool, find_alive: Callable[[str], NodeInfo | None]
    ) -> NodeInfo | None:
        queue = self._queues[other_domain]
        for _ in range(2):
            while queue:
                info = find_alive(queue.pop())
                if info is not None:
                    return info
            peers = (i for i in self._list_alive() if (i.domain != self._domain) == other_domain)
            queue.extend(info.node for info in peers)
            self._rng.shuffle(queue)
        return None
