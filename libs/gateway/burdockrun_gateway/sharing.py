"""Connections of other nodes to a member that use the connections of this node."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from itertools import groupby
from typing import Final

from burdockrun_statements import (
    CONTROL_KINDS,
    Answer,
    PreparedShape,
    SessionState,
    Statement,
    StatementKind,
    StatementSequence,
    name_shape,
    plan_setup,
)
from result import Err, Ok, Result

from burdockrun_gateway.attempts import IDLE, is_write
from burdockrun_gateway.drain import Drain, Verdict
from burdockrun_gateway.exchange import async_roll_back
from burdockrun_gateway.links import LinkLostError, MemberLink
from burdockrun_gateway.pools import MemberPool
from burdockrun_gateway.ports import AcquireFault, HomeLoad, RequestPriority

# Statements that only change the session state. They are answered at once; a connection gets their
# effect as setup before a later statement that needs it.
_SESSION_KINDS: Final = frozenset({StatementKind.RESET, StatementKind.SET, StatementKind.PREPARE})
_CLOSED: Final = AcquireFault(reason="the shared connection is closed")
_STOPPING: Final = AcquireFault(reason="the home is stopping")


class SharedConnection:
    """Connection of another node to a member, through this node.

    It occupies a connection of this node from a statement until the transaction state is idle
    again. The other node decides whether the member may be used; this one only forwards statements.
    """

    def __init__(
        self,
        pool: MemberPool,
        on_answer: Callable[[Answer], None],
        on_lost: Callable[[], None],
        *,
        on_error: Callable[[Exception], None],
        drain: Drain | None = None,
    ) -> None:
        """`on_error` gets an unexpected error, after which the connection is lost."""
        self._pool = pool
        self._on_answer = on_answer
        self._on_lost = on_lost
        self._on_error = on_error
        self._drain = drain or Drain()
        self._session = SessionState()
        self._link: MemberLink | None = None
        self._waiting: deque[tuple[Sequence[Statement], RequestPriority]] = deque()
        self._worker: asyncio.Task[None] | None = None
        self._closed = False
        # Whether the worker waits for a connection and nothing has been sent.
        self._is_binding = False

    def describe_load(self) -> HomeLoad | None:
        """Return the load of the member at this home, None if it is not known."""
        return self._pool.describe_load()

    def is_busy(self) -> bool:
        """Return whether an answer is awaited or a transaction is open."""
        return self._worker is not None or self._link is not None

    def handle(self, statements: Sequence[Statement], priority: RequestPriority) -> None:
        """Queue statements that arrived in one write; they are answered in order."""
        self._waiting.append((statements, priority))
        if self._worker is None:
            self._worker = asyncio.get_running_loop().create_task(self._async_run())

    def end(self) -> None:
        """Close the connection now; the other node learns that it is lost."""
        self.close()
        self._on_lost()

    def close(self) -> None:
        """Roll back an open transaction and discard statements that wait here or at the member."""
        self._closed = True
        self._waiting.clear()
        if self._is_binding and self._worker is not None:
            self._worker.cancel()
        link, self._link = self._link, None
        if link is None:
            return
        if link.lost or link.oldest_unanswered_ms() is not None:
            self._pool.discard(link)
        else:
            rollback = async_roll_back(self._pool, link, "")
            self._pool.keep_task(asyncio.get_running_loop().create_task(rollback))

    async def _async_run(self) -> None:
        try:
            while self._waiting:
                statements, priority = self._waiting.popleft()
                for is_local, run in groupby(statements, lambda one: one.kind in _SESSION_KINDS):
                    if is_local:
                        self._apply(run)
                    else:
                        await self._async_forward(list(run), priority)
        except LinkLostError:
            if not self._closed:
                self._on_lost()
        except Exception as error:  # the other node must not wait for an answer
            self._on_error(error)
            if not self._closed:
                self._on_lost()
        finally:
            self._worker = None

    def _apply(self, statements: Iterable[Statement]) -> None:
        for statement in statements:
            if not _has_name_of_shape(statement):
                # The shape is not the one that the client of the other node prepared.
                raise LinkLostError
            if statement.kind is StatementKind.RESET:
                self._session = SessionState()
            else:
                self._session.apply(statement)
            self._on_answer(Answer(state=IDLE))

    async def _async_forward(self, statements: list[Statement], priority: RequestPriority) -> None:
        """Forward statements; raises LinkLostError when no complete answer arrived."""
        if self._link is not None and not self._link.may_serve(priority.account):
            # A node may not change the account within a transaction.
            raise LinkLostError
        if not self._knows_names(statements):
            # The connection to the member may have the name from another session.
            raise LinkLostError
        if self._link is None and statements[0].kind is StatementKind.ROLLBACK:
            self._on_answer(Answer(state=IDLE))
            return
        in_transaction = self._link is not None
        if self._link is None:
            bound = await self._async_bind(statements, priority)
            if isinstance(bound, Err):
                for _ in statements:
                    self._on_answer(_build_refusal(bound.err_value))
                return
            link = bound.ok_value
        else:
            link = self._link
        sequence = self._plan_sequence(link, statements, in_transaction=in_transaction)
        await self._async_send(link, sequence)

    async def _async_send(self, link: MemberLink, sequence: StatementSequence) -> None:
        while part := sequence.take_sendable():
            sequence.add_answers(await link.send(part, is_followed=sequence.has_more))
            if self._closed:
                # `close` has already released or discarded the connection.
                return
        conclusion = sequence.conclude()
        self._pool.note_conclusion(conclusion)
        link.state.needs_reset |= conclusion.forgets_setup
        if not conclusion.keeps_connection:
            self._link = None
            self._pool.discard(link)
        elif conclusion.answers[-1].state is IDLE:
            self._link = None
            self._pool.release(link)
        for answer in conclusion.answers:
            self._on_answer(answer)

    async def _async_bind(
        self, statements: list[Statement], priority: RequestPriority
    ) -> Result[MemberLink, AcquireFault]:
        """Acquire a connection of this node, which is kept until its state is idle again."""
        if self._drain.judge(statements[0].kind, has_begun=False) is not Verdict.SERVE:
            return Err(_STOPPING)
        self._is_binding = True
        try:
            classified = self._classify(statements, priority)
            acquired = await self._pool.async_acquire(classified, self._session)
        finally:
            self._is_binding = False
        if isinstance(acquired, Ok):
            if self._closed:
                self._pool.release(acquired.ok_value)
                return Err(_CLOSED)
            self._link = acquired.ok_value
        return acquired

    def _plan_sequence(
        self, link: MemberLink, statements: list[Statement], *, in_transaction: bool
    ) -> StatementSequence:
        """Plan statements with the setup for them; names of the other node become those here."""
        setup: list[Statement] = []
        named: list[Statement] = []
        has_effect = False
        for statement in statements:
            shape = self._find_shape(statement)
            # A reset would clear what was set up for a statement before this one.
            may_reset = not in_transaction and not setup
            setup += plan_setup(link.state, self._session, shape, may_reset=may_reset)
            is_commit = statement.kind is StatementKind.COMMIT
            has_effect = has_effect or is_commit or is_write(statement, shape)
            named.append(statement if shape is None else replace(statement, name=name_shape(shape)))
        return StatementSequence(setup, named, has_effect=has_effect)

    def _classify(
        self, statements: Sequence[Statement], priority: RequestPriority
    ) -> RequestPriority:
        """Return the priority of statements with what the queue of the home has to know of them."""
        if statements[0].kind in CONTROL_KINDS:
            return replace(priority, rank=-1)
        begins = statements[0].kind is StatementKind.BEGIN
        writes = any(is_write(one, self._find_shape(one)) for one in statements)
        return replace(priority, begins=begins, writes=writes) if begins or writes else priority

    def _find_shape(self, statement: Statement) -> PreparedShape | None:
        if statement.kind is not StatementKind.EXECUTE:
            return None
        return self._session.prepared[statement.name]

    def _knows_names(self, statements: Iterable[Statement]) -> bool:
        """Return whether the other node has prepared what it executes."""
        executed = (one.name for one in statements if one.kind is StatementKind.EXECUTE)
        return all(name in self._session.prepared for name in executed)


def _has_name_of_shape(statement: Statement) -> bool:
    """Return whether a PREPARE of another node names the shape as nodes do.

    Nodes of earlier versions put the text of the shape into the name; with blanks in it, what was
    decoded is another shape.
    """
    if statement.kind is not StatementKind.PREPARE or statement.shape is None:
        return True
    shape = statement.shape
    earlier_name = f"{'w' if shape.writes else 'r'}_{shape.shape}"
    return statement.name in {name_shape(shape), earlier_name}


def _build_refusal(fault: AcquireFault) -> Answer:
    return Answer(state=IDLE, error=fault.code, detail=fault.reason, retry_ms=fault.retry_ms)
