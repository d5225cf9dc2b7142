"""Requests that wait for a connection, most urgent first."""

import asyncio
import heapq
from itertools import count

from burdockrun_gateway.links import MemberLink


class WaitQueue:
    """Requests in the order of their ranks; equal ranks in the order of arrival."""

    def __init__(self) -> None:
        self._waiters: list[tuple[int, int, asyncio.Future[MemberLink | None]]] = []
        self._order = count()

    def __len__(self) -> int:
        return len(self._waiters)

    async def async_wait(self, rank: int, wait_ms: float) -> MemberLink | None:
        """Return the connection that is handed over, or None after `wait_ms`."""
        future: asyncio.Future[MemberLink | None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, (rank, next(self._order), future))
        try:
            async with asyncio.timeout(wait_ms / 1000):
                return await future
        except TimeoutError:
            if future.done() and not future.cancelled():
                return future.result()
            return None

    def hand_over(self, link: MemberLink) -> bool:
        """Give a connection to the most urgent request and return whether there was one."""
        while self._waiters:
            _, _, future = heapq.heappop(self._waiters)
            if not future.done():
                future.set_result(link)
                return True
        return False

    def dismiss(self) -> None:
        """End the waits of all requests; they get no connection."""
        for _, _, future in self._waiters:
            if not future.done():
                future.set_result(None)
        self._waiters.clear()
