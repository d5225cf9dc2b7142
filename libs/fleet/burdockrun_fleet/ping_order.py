"""Order in which a node probes its peers."""

import random
from collections.abc import Callable, Sequence

from burdockrun_messages import NodeInfo

from burdockrun_fleet.const import OTHER_DOMAIN_EVERY


class PingOrder:
    """Random round-robin over the peers, one in `OTHER_DOMAIN_EVERY` from another domain.

    Every peer comes up once in each round, which bounds the time to notice a failure.
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
        far = self._turn % OTHER_DOMAIN_EVERY == 0
        return self._take(far, find_alive) or self._take(not far, find_alive)

    def _take(self, far: bool, find_alive: Callable[[str], NodeInfo | None]) -> NodeInfo | None:
        queue = self._queues[far]
        for _ in range(2):
            while queue:
                info = find_alive(queue.pop())
                if info is not None:
                    return info
            peers = (i for i in self._list_alive() if (i.domain != self._domain) == far)
            queue.extend(info.node for info in peers)
            self._rng.shuffle(queue)
        return None
