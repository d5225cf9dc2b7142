"""One connection to a member, with the statements that are unanswered on it."""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Protocol

from burdockrun_base import Clock, LogPosition
from burdockrun_groups import NodeEntry
from burdockrun_statements import (
    CONTROL_KINDS,
    Answer,
    ConnectionState,
    ErrorCode,
    Statement,
)

from burdockrun_gateway.ports import Connection, RequestPriority


class LinkLostError(Exception):
    """The connection was lost before the last answer."""


class LinkMonitor(Protocol):
    """Is told which statements are sent and answered on a connection."""

    def note_sent(self, link: "MemberLink", statements: Sequence[Statement]) -> int:
        """Note that statements are sent in one write; return an id for them."""
        ...

    def note_answered(
        self,
        link: "MemberLink",
        work_id: int,
        statements: Sequence[Statement],
        answers: Sequence[Answer],
    ) -> bool:
        """Note that statements are answered; return whether those that did not run are repeated.

        `MemberLink.send_again` or `MemberLink.give_up` follows then.
        """
        ...


class _Batch:
    """Statements sent in one write, with the answers received so far."""

    __slots__ = (
        "answers",
        "future",
        "is_followed",
        "left",
        "repeated",
        "sent_ms",
        "statements",
        "work_id",
    )

    def __init__(
        self,
        statements: Sequence[Statement],
        future: "asyncio.Future[list[Answer]]",
        sent_ms: int,
        *,
        is_followed: bool,
    ) -> None:
        self.statements = statements
        self.is_followed = is_followed
        self.left = len(statements)
        self.answers: list[Answer] = []
        # Positions of the statements that were sent again, in the order of the answers to come.
        self.repeated: deque[int] = deque()
        self.future = future
        self.sent_ms = sent_ms
        self.work_id = 0

    def is_continued(self) -> bool:
        """Return whether the statements have succeeded and others follow as the same work."""
        return self.is_followed and all(answer.error is None for answer in self.answers)

    def add(self, answer: Answer) -> None:
        """Add the answer to the next statement without one."""
        if self.repeated:
            self.answers[self.repeated.popleft()] = answer
        else:
            self.answers.append(answer)
        self.left -= 1

    def prepare_repetition(self, sent_ms: int) -> list[Statement]:
        """Return the statements that are sent again, from the first one that was refused on.

        A RESET that is sent again clears what a SET behind it has set.
        """
        errors = [answer.error for answer in self.answers]
        self.repeated = deque(range(errors.index(ErrorCode.BUSY), len(errors)))
        self.left = len(self.repeated)
        self.sent_ms = sent_ms
        return [self.statements[position] for position in self.repeated]


class MemberLink:
    """Connection to a member, with the session state that is set on it.

    A direct connection is opened in the name of `account`, or of this node if that is empty, and
    runs only statements of this account for its whole lifetime.
    """

    def __init__(
        self,
        clock: Clock,
        on_answer: Callable[["MemberLink", Answer, int], None],
        home: NodeEntry | None = None,
        account: str = "",
    ) -> None:
        self.home = home
        self.account = account
        self.priority = RequestPriority(rank=0, wait_ms=0)
        self.state = ConnectionState()
        self.connection: Connection | None = None
        self.lost = False
        self.idle_since_ms = clock.now_ms()
        self.last_contact_ms = clock.now_ms()
        # When the member accepted the connection, and the last position that it told on it.
        self.opened_ms = clock.now_ms()
        self.position: LogPosition | None = None
        self._clock = clock
        self._on_answer = on_answer
        self._batches: deque[_Batch] = deque()
        # Set while this node is a home: the queue of the member, the id of the connection there,
        # and the work that the connection was given and that has not been sent yet, 0 for none.
        self.monitor: LinkMonitor | None = None
        self.connection_id = 0
        self.work_id = 0
        # Statements that the member did not run and that are to be sent again.
        self._held: _Batch | None = None

    def note_opened(self, connection: Connection, position: LogPosition | None) -> None:
        """Note that the member, or the home, has accepted the connection."""
        self.connection = connection
        self.position = position
        self.opened_ms = self._clock.now_ms()

    def may_serve(self, account: str) -> bool:
        """Return whether statements of an account may run on the connection.

        A home takes the account from the priority of the statements, and chooses its own
        connection for it.
        """
        return self.home is not None or self.account == account

    def oldest_unanswered_ms(self) -> int | None:
        """Return when the oldest statement without an answer was sent.

        Statements that wait to be sent again have no answer yet.
        """
        if self._held is not None:
            return self._held.sent_ms
        return self._batches[0].sent_ms if self._batches else None

    def has_unanswered_work(self) -> bool:
        """Return whether statements of clients wait; control statements do not count."""
        batches = [self._held, *self._batches]
        return any(
            statement.kind not in CONTROL_KINDS
            for batch in batches
            if batch is not None
            for statement in batch.statements
        )

    def send(
        self, statements: Sequence[Statement], *, is_followed: bool = False
    ) -> "asyncio.Future[list[Answer]]":
        """Send statements in one write; the future has all answers or raises LinkLostError.

        With `is_followed`, others are sent next if these succeed; at a home they take one turn.
        """
        future: asyncio.Future[list[Answer]] = asyncio.get_running_loop().create_future()
        if self.lost or self.connection is None:
            future.set_exception(LinkLostError())
            return future
        batch = _Batch(statements, future, self._clock.now_ms(), is_followed=is_followed)
        if self.monitor is not None:
            batch.work_id = self.monitor.note_sent(self, statements)
        self._batches.append(batch)
        self.connection.send(statements, self.priority)
        if self.priority.first:
            self.priority = replace(self.priority, first=False)
        return future

    def handle_answer(self, answer: Answer) -> None:
        """Match an answer to the oldest statement without one."""
        self.last_contact_ms = self._clock.now_ms()
        if not self._batches:
            self.close()
            return
        batch = self._batches[0]
        batch.add(answer)
        if answer.position is not None:
            self.position = answer.position
        self._on_answer(self, answer, batch.sent_ms)
        if batch.left:
            return
        self._batches.popleft()
        if self.monitor is not None and batch.is_continued():
            self.work_id = batch.work_id
        elif self.monitor is not None:
            self._held = batch
            if self.monitor.note_answered(self, batch.work_id, batch.statements, batch.answers):
                return
            self._held = None
        if not batch.future.done():
            batch.future.set_result(batch.answers)

    def is_held(self) -> bool:
        """Return whether statements that the member did not run wait to be sent again."""
        return self._held is not None

    def holds(self, work_id: int) -> bool:
        """Return whether the statements of this work wait to be sent again."""
        return self._held is not None and self._held.work_id == work_id

    def send_again(self) -> None:
        """Send the statements again that the member did not run."""
        batch, self._held = self._held, None
        if batch is not None and self.connection is not None:
            self._batches.append(batch)
            self.connection.send(batch.prepare_repetition(self._clock.now_ms()), self.priority)

    def give_up(self) -> None:
        """Pass on the answers that say that statements did not run."""
        batch, self._held = self._held, None
        if batch is not None and not batch.future.done():
            batch.future.set_result(batch.answers)

    def handle_lost(self) -> None:
        """Fail all unanswered statements."""
        self.lost = True
        self.give_up()
        while self._batches:
            future = self._batches.popleft().future
            if not future.done():
                future.set_exception(LinkLostError())
                future.exception()

    def close(self) -> None:
        """Close the connection; the member rolls back its open transaction."""
        if self.connection is not None and not self.lost:
            self.connection.close()
        self.handle_lost()
