"""One connection to a member and the statements that wait for answers on it."""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence

from burdockrun_base import Clock
from burdockrun_groups import NodeEntry
from burdockrun_statements import Answer, ConnectionState, Statement

from burdockrun_gateway.ports import Connection, RequestPriority


class LinkLostError(Exception):
    """The connection ended before the last answer."""


class _Exchange:
    """Statements sent in one write, and the answers so far."""

    __slots__ = ("answers", "future", "left", "sent_ms")

    def __init__(self, count: int, future: "asyncio.Future[list[Answer]]", sent_ms: int) -> None:
        self.left = count
        self.answers: list[Answer] = []
        self.future = future
        self.sent_ms = sent_ms


class MemberLink:
    """Connection to a member with its session state."""

    def __init__(
        self,
        clock: Clock,
        on_heard: Callable[["MemberLink", Answer, int], None],
        home: NodeEntry | None = None,
    ) -> None:
        self.home = home
        self.priority = RequestPriority(rank=0, wait_ms=0)
        self.state = ConnectionState()
        self.connection: Connection | None = None
        self.lost = False
        self.idle_since_ms = clock.now_ms()
        self.last_contact_ms = clock.now_ms()
        self._clock = clock
        self._on_heard = on_heard
        self._exchanges: deque[_Exchange] = deque()

    def oldest_unanswered_ms(self) -> int | None:
        """Return when the oldest statement without an answer was sent."""
        return self._exchanges[0].sent_ms if self._exchanges else None

    def send(self, statements: Sequence[Statement]) -> "asyncio.Future[list[Answer]]":
        """Send statements in one write; the future has all answers or raises LinkLostError."""
        future: asyncio.Future[list[Answer]] = asyncio.get_running_loop().create_future()
        if self.lost or self.connection is None:
            future.set_exception(LinkLostError())
            return future
        self._exchanges.append(_Exchange(len(statements), future, self._clock.now_ms()))
        self.connection.send(statements, self.priority)
        return future

    def handle_answer(self, answer: Answer) -> None:
        """Match an answer to the oldest statement without one."""
        self.last_contact_ms = self._clock.now_ms()
        if not self._exchanges:
            self.close()
            return
        exchange = self._exchanges[0]
        exchange.answers.append(answer)
        exchange.left -= 1
        self._on_heard(self, answer, exchange.sent_ms)
        if exchange.left == 0:
            self._exchanges.popleft()
            if not exchange.future.done():
                exchange.future.set_result(exchange.answers)

    def handle_lost(self) -> None:
        """Fail everything that waits for an answer."""
        self.lost = True
        while self._exchanges:
            future = self._exchanges.popleft().future
            if not future.done():
                future.set_exception(LinkLostError())
                future.exception()

    def close(self) -> None:
        """Close the connection; the member rolls back what is open on it."""
        if self.connection is not None and not self.lost:
            self.connection.close()
        self.handle_lost()
