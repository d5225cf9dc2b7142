"""Tests of the connections to one member."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from burdockrun_base import Application, ManualClock
from burdockrun_gateway import OpenedConnection, RequestPriority
from burdockrun_gateway.const import SILENCE_MS, UNANSWERED_MEMORY_MS
from burdockrun_gateway.pools import MemberPool
from burdockrun_groups import ConnectionPlan
from burdockrun_statements import Answer, Statement, StatementKind, TransactionState
from result import Ok, Result

from tests.groups.common import build_entry

STATUS = Statement(kind=StatementKind.STATUS)


class FakeConnection:
    """Connection whose answers are given by the test."""

    def __init__(self, on_answer: Callable[[Answer], None]) -> None:
        self.answer = on_answer

    def send(self, statements: Sequence[Statement], priority: RequestPriority) -> None:
        """Drop the statements."""

    def close(self) -> None:
        """Close the connection."""


class FakeConnector:
    """Opens connections at once."""

    def __init__(self) -> None:
        self.opened: list[FakeConnection] = []

    async def async_open(
        self, entry: object, on_answer: Callable[[Answer], None], on_lost: object, *, home: object
    ) -> Result[OpenedConnection, Any]:
        """Return a connection."""
        self.opened.append(FakeConnection(on_answer))
        return Ok(OpenedConnection(connection=self.opened[-1], position=None))


async def test_an_unanswered_statement_counts_after_its_connection_was_discarded() -> None:
    """Guards against a suspicion that ends when the connection of a probe is discarded."""
    clock = ManualClock(100_000)
    connector = FakeConnector()
    pool = MemberPool(
        Application(clock=clock),
        build_entry("a"),
        connector,  # type: ignore[arg-type]
        lambda answer: None,
        lambda pool, position, sent_ms: None,
        same_domain=True,
    )
    pool.set_plan(ConnectionPlan(quota=4))
    link = await pool.async_acquire(0, None, 100)
    assert link is not None
    link.send([STATUS])
    clock.advance(SILENCE_MS)
    assert pool.is_silent()
    pool.discard(link)
    assert pool.is_silent()
    other = await pool.async_acquire(0, None, 100)
    assert other is not None
    sent = other.send([STATUS])
    connector.opened[-1].answer(Answer(state=TransactionState.IDLE))
    await sent
    assert not pool.is_silent()
    pool.abort()
    await asyncio.sleep(0)


async def test_a_member_that_gets_no_new_statements_is_not_silent_forever() -> None:
    """Guards against a replica that is never used again after one lost answer."""
    clock = ManualClock(100_000)
    pool = MemberPool(
        Application(clock=clock),
        build_entry("b"),
        FakeConnector(),  # type: ignore[arg-type]
        lambda answer: None,
        lambda pool, position, sent_ms: None,
        same_domain=True,
    )
    link = await pool.async_acquire(0, None, 100)
    assert link is not None
    link.send([STATUS])
    clock.advance(SILENCE_MS)
    pool.discard(link)
    clock.advance(UNANSWERED_MEMORY_MS)
    pool.tick()
    assert not pool.is_silent()
    pool.abort()
    await asyncio.sleep(0)
