"""Requests that wait for a connection, most urgent first."""

import asyncio
import heapq
from collections.abc import Callable, Mapping
from itertools import count
from typing import NamedTuple

from burdockrun_gateway.links import MemberLink


class Waiter(NamedTuple):
    """Request that waits; `order` is that of arrival and differs between all requests."""

    rank: int
    order: int
    account: str
    future: "asyncio.Future[MemberLink | None]"


class WaitQueue:
    """Requests in the order of their ranks; equal ranks in the order of arrival.

    A direct connection to a member only goes to a request of the account for which it was opened.
    """

    def __init__(self, on_abandoned: Callable[[MemberLink], None] = lambda link: None) -> None:
        """`on_abandoned` gets a connection that was handed to a request whose caller has left."""
        self._on_abandoned = on_abandoned
        self._waiters: dict[str, list[Waiter]] = {}
        self._order = count()

    def __len__(self) -> int:
        return sum(map(len, self._waiters.values()))

    def count_live(self) -> int:
        """Return how many requests still wait."""
        return sum(
            not waiter.future.done() for waiters in self._waiters.values() for waiter in waiters
        )

    async def async_wait(self, rank: int, wait_ms: float, account: str = "") -> MemberLink | None:
        """Return the connection that is handed over, or None after `wait_ms`."""
        future: asyncio.Future[MemberLink | None] = asyncio.get_running_loop().create_future()
        waiter = Waiter(rank, next(self._order), account, future)
        heapq.heappush(self._waiters.setdefault(account, []), waiter)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                return await future
        except TimeoutError:
            if future.done() and not future.cancelled():
                return future.result()
            return None
        except asyncio.CancelledError:
            link = future.result() if future.done() and not future.cancelled() else None
            if link is not None:
                self._on_abandoned(link)
            raise

    def hand_over(self, link: MemberLink) -> bool:
        """Give a connection to the most urgent request that may use it, if there is one.

        Returns whether there was one.
        """
        waiter = self.find_first(link)
        if waiter is None:
            return False
        self._pop(waiter.account)
        waiter.future.set_result(link)
        return True

    def find_first(self, link: MemberLink) -> Waiter | None:
        """Return the most urgent request that may use a connection."""
        firsts = (
            self._find_first_of(account)
            for account in list(self._waiters)
            if link.may_serve(account)
        )
        return min((waiter for waiter in firsts if waiter is not None), default=None)

    def find_first_uncovered(self, opening: Mapping[str, int]) -> Waiter | None:
        """Return the most urgent request for which no connection is being opened.

        `opening` is how many connections are being opened for each account.
        """
        uncovered: list[Waiter] = []
        for account, waiters in self._waiters.items():
            live = sorted(waiter for waiter in waiters if not waiter.future.done())
            uncovered += live[opening.get(account, 0) :][:1]
        return min(uncovered, default=None)

    def dismiss(self) -> None:
        """End the waits of all requests; they get no connection."""
        for waiters in self._waiters.values():
            for waiter in waiters:
                if not waiter.future.done():
                    waiter.future.set_result(None)
        self._waiters.clear()

    def _find_first_of(self, account: str) -> Waiter | None:
        """Return the most urgent request of an account; remove those that have ended."""
        while account in self._waiters:
            first = self._waiters[account][0]
            if not first.future.done():
                return first
            self._pop(account)
        return None

    def _pop(self, account: str) -> None:
        waiters = self._waiters[account]
        heapq.heappop(waiters)
        if not waiters:
            del self._waiters[account]
