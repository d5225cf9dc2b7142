"""Tests of connections that a home provides to other nodes."""

import asyncio
from collections.abc import Sequence
from dataclasses import replace
from unittest.mock import patch

import pytest
from burdockrun_base import LogPosition, SystemClock
from burdockrun_gateway import RequestPriority, SharedConnection
from burdockrun_gateway.drain import Drain, DrainPhase
from burdockrun_gateway.links import MemberLink
from burdockrun_gateway.ports import AcquireFault
from burdockrun_statements import (
    Answer,
    Conclusion,
    ErrorCode,
    PreparedShape,
    SessionState,
    Statement,
    StatementKind,
    TransactionState,
    name_shape,
)
from result import Err, Ok, Result

PRIORITY = RequestPriority(rank=0, wait_ms=100)
BEGIN = Statement(kind=StatementKind.BEGIN, request_id="q1")
READ = Statement(kind=StatementKind.READ, request_id="q2", name="ward")
SET = Statement(kind=StatementKind.SET, request_id="q3", name="zone", argument="nbg")
WRITE = Statement(kind=StatementKind.WRITE, request_id="q4", name="ward", argument="v1")
EXECUTE = Statement(kind=StatementKind.EXECUTE, request_id="q5", name="r_q1", argument="ward")
ROLLBACK = Statement(kind=StatementKind.ROLLBACK)
IDLE = Answer(state=TransactionState.IDLE)
OPEN = Answer(state=TransactionState.OPEN)


class FakeConnection:
    """Connection that records what is sent."""

    def __init__(self) -> None:
        self.sent: list[StatementKind] = []
        self.required: list[LogPosition | None] = []
        self.closed = False

    def send(self, statements: Sequence[Statement], priority: RequestPriority) -> None:
        """Record the kinds of the statements."""
        self.sent += [statement.kind for statement in statements]
        self.required += [statement.after for statement in statements]

    def close(self) -> None:
        """Close the connection."""
        self.closed = True


class FakePool:
    """Pool of one connection."""

    def __init__(self) -> None:
        self.member_connection = FakeConnection()
        self.link = MemberLink(SystemClock(), lambda link, answer, sent_ms: None)
        self.link.connection = self.member_connection
        self.released: list[MemberLink] = []
        self.discarded: list[MemberLink] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.available = True
        self.priorities: list[RequestPriority] = []

    async def async_acquire(
        self, priority: RequestPriority, session: SessionState
    ) -> Result[MemberLink, AcquireFault]:
        """Return the connection."""
        self.priorities.append(priority)
        if self.available:
            return Ok(self.link)
        return Err(AcquireFault(reason="no connection became free"))

    def release(self, link: MemberLink) -> None:
        """Take the connection back."""
        self.released.append(link)

    def note_conclusion(self, conclusion: Conclusion) -> None:
        """Ignore what the member did not take."""

    def discard(self, link: MemberLink) -> None:
        """Close the connection."""
        self.discarded.append(link)
        link.close()

    def keep_task(self, task: asyncio.Task[None]) -> None:
        """Keep a reference to a task."""
        self.tasks.append(task)


def share(pool: FakePool, answers: list[Answer]) -> SharedConnection:
    """Return a shared connection that appends its answers to `answers`."""
    return SharedConnection(
        pool, answers.append, lambda: None, on_error=_raise  # type: ignore[arg-type]
    )


def _fail_on_answer(answer: Answer) -> None:
    raise AssertionError(answer)


def _raise(error: Exception) -> None:
    raise error


@pytest.mark.parametrize("last", [IDLE, OPEN])
async def test_a_connection_is_released_once_when_its_node_closes_as_an_answer_arrives(
    last: Answer,
) -> None:
    """Guards against two sessions that share one connection at the same time."""
    pool, answers = FakePool(), []  # type: tuple[FakePool, list[Answer]]
    shared = share(pool, answers)
    shared.handle([BEGIN], PRIORITY)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    pool.link.handle_answer(last)
    shared.close()
    await asyncio.sleep(0.01)
    if pool.link.oldest_unanswered_ms() is not None:
        pool.link.handle_answer(IDLE)
    await asyncio.sleep(0.01)
    assert len(pool.released) + len(pool.discarded) == 1
    assert pool.member_connection.sent in (
        [StatementKind.BEGIN],
        [StatementKind.BEGIN, ROLLBACK.kind],
    )
    assert last is IDLE or pool.member_connection.sent[-1] is ROLLBACK.kind or pool.discarded


@pytest.mark.parametrize("writes", [True, False])
async def test_the_queue_of_a_home_knows_a_prepared_write(writes: bool) -> None:
    """Guards against prepared writes that a home takes for reads when it expects their work."""
    pool, answers = FakePool(), []  # type: tuple[FakePool, list[Answer]]
    shared = share(pool, answers)
    shape = PreparedShape(writes=writes, shape="q1")
    name = name_shape(shape)
    prepare = Statement(kind=StatementKind.PREPARE, name=name, shape=shape)
    shared.handle([prepare, replace(EXECUTE, name=name)], PRIORITY)
    await asyncio.sleep(0.01)
    assert [one.writes for one in pool.priorities] == [writes]


@pytest.mark.parametrize(
    ("name", "shape", "is_taken"),
    [
        ("r_q1", "q1", True),
        ("r_q(1)", "q(1)", True),
        ("r_q%281%29", "q(1)", True),
        ("r_q1", "ii READ q1 READ ii", False),
        ("w_q1", "q1", False),
    ],
)
async def test_a_shape_that_its_name_does_not_tell_is_not_prepared(
    name: str, shape: str, is_taken: bool
) -> None:
    """Guards against a shape that a node of an earlier version did not mean."""
    answers: list[Answer] = []
    lost: list[bool] = []
    shared = SharedConnection(
        FakePool(),  # type: ignore[arg-type]
        answers.append,
        lambda: lost.append(True),
        on_error=_raise,
    )
    prepared = PreparedShape(writes=False, shape=shape)
    shared.handle([Statement(kind=StatementKind.PREPARE, name=name, shape=prepared)], PRIORITY)
    await asyncio.sleep(0.01)
    assert (answers, lost) == (([IDLE], []) if is_taken else ([], [True]))


async def test_a_name_that_the_other_node_has_not_prepared_runs_nothing() -> None:
    """Guards against a name that the connection to the member has from another session."""
    pool, lost = FakePool(), []  # type: tuple[FakePool, list[bool]]
    shared = SharedConnection(
        pool, _fail_on_answer, lambda: lost.append(True), on_error=_raise  # type: ignore[arg-type]
    )
    shared.handle([EXECUTE], PRIORITY)
    await asyncio.sleep(0.01)
    assert pool.member_connection.sent == []
    assert lost == [True]


async def test_statements_that_wait_at_the_member_are_discarded_when_their_node_closes() -> None:
    """Guards against a statement that runs after its node has answered that it did not."""
    pool, answers = FakePool(), []  # type: tuple[FakePool, list[Answer]]
    shared = share(pool, answers)
    shared.handle([READ], PRIORITY)
    await asyncio.sleep(0.01)
    shared.close()
    await asyncio.sleep(0.01)
    assert pool.discarded == [pool.link]
    assert pool.released == []


async def test_statements_without_a_connection_are_refused_as_not_run() -> None:
    """Guards against a missing answer, and against one that hides that nothing has run."""
    pool, answers = FakePool(), []  # type: tuple[FakePool, list[Answer]]
    pool.available = False
    shared = share(pool, answers)
    shared.handle([BEGIN, READ], PRIORITY)
    await asyncio.sleep(0.01)
    assert [answer.error for answer in answers] == [ErrorCode.BUSY, ErrorCode.BUSY]
    assert pool.member_connection.sent == []
    assert not shared.is_busy()


async def test_a_transaction_runs_no_statement_of_another_account() -> None:
    """Guards against a connection of one account that runs the statement of another one."""
    pool, lost = FakePool(), []  # type: tuple[FakePool, list[bool]]
    pool.link.account = "sur"
    shared = SharedConnection(
        pool,  # type: ignore[arg-type]
        lambda answer: None,
        lambda: lost.append(True),
        on_error=_raise,
    )
    shared.handle([BEGIN], RequestPriority(rank=0, wait_ms=100, account="sur"))
    await asyncio.sleep(0.01)
    pool.link.handle_answer(OPEN)
    await asyncio.sleep(0.01)
    shared.handle([READ], RequestPriority(rank=0, wait_ms=100, account="norte"))
    await asyncio.sleep(0.01)
    assert pool.member_connection.sent == [StatementKind.BEGIN]
    assert lost == [True]


async def test_an_unexpected_error_ends_the_shared_connection() -> None:
    """Guards against a node that waits for an answer which its home will never send."""
    pool, errors, lost = FakePool(), [], []  # type: tuple[FakePool, list[Exception], list[bool]]
    shared = SharedConnection(
        pool,  # type: ignore[arg-type]
        lambda answer: None,
        lambda: lost.append(True),
        on_error=errors.append,
    )
    with patch.object(pool, "async_acquire", side_effect=KeyError("a")):
        shared.handle([READ], PRIORITY)
        await asyncio.sleep(0.01)
    assert lost == [True] and [repr(one) for one in errors] == ["KeyError('a')"]


REQUIRED = LogPosition(term=1, index=7)
BEGIN_AFTER = Statement(kind=StatementKind.BEGIN, request_id="q1", read_only=True, after=REQUIRED)


async def test_nothing_is_sent_behind_a_begin_that_the_member_refuses() -> None:
    """Guards against a read at a home that runs outside of its transaction, or on an old log."""
    pool, answers = FakePool(), []  # type: tuple[FakePool, list[Answer]]
    shared = share(pool, answers)
    shared.handle([BEGIN_AFTER, READ], PRIORITY)
    await asyncio.sleep(0.01)
    assert pool.member_connection.sent == [StatementKind.BEGIN]
    assert pool.member_connection.required == [REQUIRED]
    pool.link.handle_answer(Answer(state=TransactionState.IDLE, error=ErrorCode.LAGGING))
    await asyncio.sleep(0.01)
    assert pool.member_connection.sent == [StatementKind.BEGIN]
    assert [answer.error for answer in answers] == [ErrorCode.LAGGING, ErrorCode.LAGGING]
    assert pool.released == [pool.link]


async def test_a_read_follows_its_begin_once_the_member_has_the_position() -> None:
    """Guards against a transaction at a home that ends since its member may lag."""
    pool, answers = FakePool(), []  # type: tuple[FakePool, list[Answer]]
    shared = share(pool, answers)
    shared.handle([BEGIN_AFTER, READ], PRIORITY)
    await asyncio.sleep(0.01)
    pool.link.handle_answer(OPEN)
    await asyncio.sleep(0.01)
    pool.link.handle_answer(OPEN)
    await asyncio.sleep(0.01)
    assert pool.member_connection.sent == [StatementKind.BEGIN, StatementKind.READ]
    assert answers == [OPEN, OPEN]


@pytest.mark.parametrize("code", [ErrorCode.BUSY, ErrorCode.FAILED])
async def test_a_home_sends_no_read_behind_a_begin_that_a_primary_refuses(code: ErrorCode) -> None:
    """Guards against a read outside of its transaction, at a member that leads all the while."""
    pool, answers = FakePool(), []  # type: tuple[FakePool, list[Answer]]
    shared = share(pool, answers)
    shared.handle([BEGIN, READ], PRIORITY)
    await asyncio.sleep(0.01)
    pool.link.handle_answer(Answer(state=TransactionState.IDLE, error=code))
    await asyncio.sleep(0.01)
    assert pool.member_connection.sent == [StatementKind.BEGIN]
    assert [answer.error for answer in answers] == [ErrorCode.BUSY, ErrorCode.BUSY]


@pytest.mark.parametrize("code", [ErrorCode.BUSY, ErrorCode.FAILED, ErrorCode.IN_DOUBT])
async def test_a_home_sends_no_write_behind_a_value_that_the_member_refuses(
    code: ErrorCode,
) -> None:
    """Guards against a write that runs without its values and is reported as not run."""
    pool, answers = FakePool(), []  # type: tuple[FakePool, list[Answer]]
    shared = share(pool, answers)
    shared.handle([SET, WRITE], PRIORITY)
    await asyncio.sleep(0.01)
    pool.link.handle_answer(Answer(state=TransactionState.IDLE, error=code))
    await asyncio.sleep(0.01)
    assert pool.member_connection.sent == [StatementKind.SET]
    assert [answer.error for answer in answers] == [None, ErrorCode.BUSY]
    assert pool.discarded == [pool.link]


async def test_a_home_sends_no_write_behind_a_begin_that_the_member_refuses() -> None:
    """Guards against a write outside of its transaction for a node of an earlier version."""
    pool, answers = FakePool(), []  # type: tuple[FakePool, list[Answer]]
    shared = share(pool, answers)
    shared.handle([BEGIN, WRITE], PRIORITY)
    await asyncio.sleep(0.01)
    pool.link.handle_answer(Answer(state=TransactionState.IDLE, error=ErrorCode.READ_ONLY))
    await asyncio.sleep(0.01)
    assert pool.member_connection.sent == [StatementKind.BEGIN]
    assert [answer.error for answer in answers] == [ErrorCode.READ_ONLY, ErrorCode.READ_ONLY]
    assert pool.released == [pool.link]


async def test_a_home_that_stops_begins_nothing_new_and_goes_on_with_a_transaction() -> None:
    """Guards against a statement that a home accepts and then leaves without an answer."""
    pool, answers, drain = FakePool(), [], Drain()  # type: tuple[FakePool, list[Answer], Drain]
    one, two = (
        SharedConnection(
            pool,  # type: ignore[arg-type]
            answers.append,
            lambda: None,
            on_error=_raise,
            drain=drain,
        )
        for _ in range(2)
    )
    one.handle([BEGIN], PRIORITY)
    await asyncio.sleep(0.01)
    pool.link.handle_answer(OPEN)
    await asyncio.sleep(0.01)
    drain.phase = DrainPhase.REFUSING
    two.handle([READ], PRIORITY)
    one.handle([READ], PRIORITY)
    await asyncio.sleep(0.01)
    assert [answer.error for answer in answers] == [None, ErrorCode.BUSY]
    assert pool.member_connection.sent == [StatementKind.BEGIN, StatementKind.READ]


async def test_the_end_of_a_shared_connection_discards_what_runs_and_is_told() -> None:
    """Guards against a statement that runs after its home was unregistered."""
    pool, lost = FakePool(), []  # type: tuple[FakePool, list[bool]]
    shared = SharedConnection(
        pool,  # type: ignore[arg-type]
        lambda answer: None,
        lambda: lost.append(True),
        on_error=_raise,
    )
    shared.handle([READ], PRIORITY)
    await asyncio.sleep(0.01)
    shared.end()
    await asyncio.sleep(0.01)
    assert pool.discarded == [pool.link] and lost == [True]
    assert not shared.is_busy()
