"""Tests of connections that a home carries for other nodes."""

import asyncio
from collections.abc import Sequence

import pytest
from burdockrun_base import SystemClock
from burdockrun_gateway import RequestPriority, SharedConnection
from burdockrun_gateway.links import MemberLink
from burdockrun_statements import (
    Answer,
    ErrorCode,
    SessionState,
    Statement,
    StatementKind,
    TransactionState,
)

URGENCY = RequestPriority(rank=0, wait_ms=100)
BEGIN = Statement(kind=StatementKind.BEGIN, request_id="q1")
READ = Statement(kind=StatementKind.READ, request_id="q2", name="ward")
ROLLBACK = Statement(kind=StatementKind.ROLLBACK)
IDLE = Answer(state=TransactionState.IDLE)
OPEN = Answer(state=TransactionState.OPEN)


class Member:
    """Connection that notes what is sent."""

    def __init__(self) -> None:
        self.sent: list[StatementKind] = []
        self.closed = False

    def send(self, statements: Sequence[Statement], priority: RequestPriority) -> None:
        """Note the statements."""
        self.sent += [statement.kind for statement in statements]

    def close(self) -> None:
        """Close the connection."""
        self.closed = True


class Pool:
    """Pool of one connection."""

    def __init__(self) -> None:
        self.member = Member()
        self.link = MemberLink(SystemClock(), lambda link, answer, sent_ms: None)
        self.link.connection = self.member
        self.released: list[MemberLink] = []
        self.discarded: list[MemberLink] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.available = True

    async def async_acquire(
        self, rank: int, session: SessionState, wait_ms: float
    ) -> MemberLink | None:
        """Return the connection."""
        return self.link if self.available else None

    def release(self, link: MemberLink) -> None:
        """Take the connection back."""
        self.released.append(link)

    def discard(self, link: MemberLink) -> None:
        """Close the connection."""
        self.discarded.append(link)
        link.close()

    def keep_task(self, task: asyncio.Task[None]) -> None:
        """Hold on to a task."""
        self.tasks.append(task)


def share(pool: Pool, answers: list[Answer]) -> SharedConnection:
    """Return a shared connection that notes its answers."""
    return SharedConnection(pool, answers.append, lambda: None)  # type: ignore[arg-type]


@pytest.mark.parametrize("last", [IDLE, OPEN])
async def test_a_connection_is_given_back_once_when_its_node_ends_with_an_answer(
    last: Answer,
) -> None:
    """Guards against two sessions on one connection."""
    pool, answers = Pool(), []  # type: tuple[Pool, list[Answer]]
    shared = share(pool, answers)
    shared.handle([BEGIN], URGENCY)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    pool.link.handle_answer(last)
    shared.close()
    await asyncio.sleep(0.01)
    if pool.link.oldest_unanswered_ms() is not None:
        pool.link.handle_answer(IDLE)
    await asyncio.sleep(0.01)
    assert len(pool.released) + len(pool.discarded) == 1
    assert pool.member.sent in ([StatementKind.BEGIN], [StatementKind.BEGIN, ROLLBACK.kind])
    assert last is IDLE or pool.member.sent[-1] is ROLLBACK.kind or pool.discarded


async def test_what_waits_at_the_member_is_withdrawn_when_its_node_ends() -> None:
    """Guards against a statement that runs after its node has answered without it."""
    pool, answers = Pool(), []  # type: tuple[Pool, list[Answer]]
    shared = share(pool, answers)
    shared.handle([READ], URGENCY)
    await asyncio.sleep(0.01)
    shared.close()
    await asyncio.sleep(0.01)
    assert pool.discarded == [pool.link]
    assert pool.released == []


async def test_statements_without_a_connection_have_not_run() -> None:
    """Guards against answers that do not match the statements, and a false promise."""
    pool, answers = Pool(), []  # type: tuple[Pool, list[Answer]]
    pool.available = False
    shared = share(pool, answers)
    shared.handle([BEGIN, READ], URGENCY)
    await asyncio.sleep(0.01)
    assert [answer.error for answer in answers] == [ErrorCode.BUSY, ErrorCode.BUSY]
    assert pool.member.sent == []
    assert not shared.is_busy()
