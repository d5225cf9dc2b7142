"""Tests of the queue of a home within a pool: real connections are replaced by fakes."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

import pytest
from burdockrun_admission import ConcurrencyLimit, WorkKind
from burdockrun_base import Application, ManualClock
from burdockrun_gateway import HomeLoad, OpenedConnection, RequestPriority, SharedConnection
from burdockrun_gateway.links import LinkLostError, MemberLink
from burdockrun_gateway.pools import MemberPool
from burdockrun_gateway.ports import AcquireFault
from burdockrun_gateway.service_ranks import build_service_ranks
from burdockrun_groups import ConnectionPlan, Freshness, NodeEntry, Route
from burdockrun_statements import (
    Answer,
    ErrorCode,
    PreparedShape,
    Statement,
    StatementKind,
    TransactionState,
)
from result import Err, Ok, Result

from tests.groups.common import build_entry

READ = Statement(kind=StatementKind.READ, request_id="q1", name="ward")
WRITE = Statement(kind=StatementKind.WRITE, request_id="q2", name="ward", argument="v1")
EXECUTE_READ = Statement(kind=StatementKind.EXECUTE, request_id="q3", name="r_q1", argument="ward")
EXECUTE_WRITE = Statement(
    kind=StatementKind.EXECUTE, request_id="q4", name="w_q1", argument="ward v1"
)
RESET = Statement(kind=StatementKind.RESET)
SET = Statement(kind=StatementKind.SET, name="zone", argument="nbg")
BEGIN = Statement(kind=StatementKind.BEGIN)
ROLLBACK = Statement(kind=StatementKind.ROLLBACK)
STATUS = Statement(kind=StatementKind.STATUS)
DONE = Answer(state=TransactionState.IDLE)
OPEN = Answer(state=TransactionState.OPEN)
BUSY = Answer(state=TransactionState.IDLE, error=ErrorCode.BUSY)
HOME = ConnectionPlan(quota=4, single_home=True, is_home=True)
CALLER = ConnectionPlan(quota=0, single_home=True, homes=(NodeEntry(node="n1", domain="nbg"),))
RANKS = build_service_ranks(
    Route(
        database=f"db{rank}",
        service="wendedb",
        freshness=Freshness.PRIMARY,
        max_staleness_ms=0,
        timeout_ms=2_000,
        target_ms=200,
        rank=rank,
    )
    for rank in (0, 2)
)


class FakeConnection:
    """Connection whose answers are given by the test."""

    def __init__(self, account: str, on_answer: Callable[[Answer], None]) -> None:
        self.account = account
        self.answer = on_answer
        self.closed = False
        self.sent: list[Statement] = []

    def send(self, statements: Sequence[Statement], priority: RequestPriority) -> None:
        """Record the statements."""
        self.sent += statements

    def close(self) -> None:
        """Close the connection."""
        self.closed = True


class FakeLimits:
    """Limit of each account, counted by operations left."""

    def __init__(self) -> None:
        self.left = 1
        self.refusal = AcquireFault(reason="limited", code=ErrorCode.LIMITED, retry_ms=70)

    def try_take(self, account: str) -> bool:
        """Take an operation if one is left."""
        self.left -= self.left > 0
        return self.left >= 0 and self._had()

    def _had(self) -> bool:
        had, self._has = getattr(self, "_has", True), self.left > 0
        return had

    async def async_take(self, account: str, wait_ms: float) -> Result[None, AcquireFault]:
        """Refuse."""
        return Err(self.refusal)

    def give_back(self, account: str) -> None:
        """Return an operation."""
        self.left += 1
        self._has = True


class Home:
    """Pool of a home and its connections."""

    def __init__(self, plan: ConnectionPlan = HOME, limits: FakeLimits | None = None) -> None:
        self.clock = ManualClock(100_000)
        self.app = Application(clock=self.clock)
        self.opened: list[FakeConnection] = []
        self.pool = MemberPool(
            self.app,
            build_entry("a"),
            self,  # type: ignore[arg-type]
            lambda answer: None,
            lambda pool, position, sent_ms: None,
            same_domain=True,
            limits=limits,
        )
        self.pool.set_ranks(RANKS)
        self.pool.set_plan(plan)
        self.clock.advance(2_000)

    async def async_open(
        self,
        entry: object,
        on_answer: Callable[[Answer], None],
        on_lost: object,
        *,
        home: object,
        account: str,
        on_load: object = None,
    ) -> Result[OpenedConnection, Any]:
        """Open a connection."""
        self.opened.append(FakeConnection(account, on_answer))
        return Ok(OpenedConnection(connection=self.opened[-1], position=None))

    async def async_acquire(self, account: str = "sur", **fields: Any) -> MemberLink:
        """Return a connection for a statement."""
        priority = RequestPriority(rank=0, wait_ms=500, account=account, **fields)
        return (await self.pool.async_acquire(priority, None)).unwrap()

    def describe(self) -> HomeLoad:
        """Return the load, which is computed once per ms."""
        self.clock.advance(1)
        load = self.pool.describe_load()
        assert load is not None
        return load

    async def async_fill(self) -> list[MemberLink]:
        """Let as many statements run as the limit of the member allows."""
        assert self.describe().limit == 3
        links = [await self.async_acquire() for _ in range(3)]
        for link in links:
            link.send([READ])
        return links

    def start_waiting(
        self, account: str = "sur", **fields: Any
    ) -> "asyncio.Task[Result[MemberLink, AcquireFault]]":
        """Return a task that waits for a connection."""
        priority = RequestPriority(rank=0, wait_ms=500, account=account, **fields)
        return asyncio.ensure_future(self.pool.async_acquire(priority, None))


async def async_settle() -> None:
    """Let all tasks go on."""
    for _ in range(8):
        await asyncio.sleep(0)


async def test_waiting_statements_get_connections_as_others_are_answered() -> None:
    """Guards against more statements at the member than its limit, and against a lost turn."""
    home = Home()
    links = await home.async_fill()
    waiting = home.start_waiting()
    await async_settle()
    load = home.describe()
    assert (load.running, load.waiting) == (3, 1)
    home.opened[0].answer(DONE)
    home.pool.release(links[0])
    assert (await waiting).unwrap() is links[0]
    home.pool.abort()


async def test_a_statement_takes_the_turn_of_the_begin_before_it() -> None:
    """Guards against more statements at the member than its limit, one for each open BEGIN."""
    home = Home()
    links = [await home.async_acquire() for _ in range(3)]
    for link in links:
        link.send([BEGIN], is_followed=True)
    waiting = home.start_waiting()
    for link, connection in zip(links, home.opened[:3], strict=True):
        connection.answer(OPEN)
        await async_settle()
        link.send([READ])
    load = home.describe()
    assert (load.running, load.waiting) == (3, 1)
    home.opened[0].answer(DONE)
    home.pool.release(links[0])
    assert (await waiting).unwrap() is links[0]
    home.pool.abort()


async def test_a_connection_whose_begin_is_not_followed_serves_the_next_statement() -> None:
    """Guards against a turn that nobody uses, since the caller has left after the BEGIN."""
    home = Home()
    link = await home.async_acquire()
    link.send([SET], is_followed=True)
    home.opened[0].answer(DONE)
    home.pool.release(link)
    await home.async_fill()
    home.pool.abort()


@pytest.mark.parametrize("statement", [READ, BEGIN])
async def test_a_statement_that_the_member_did_not_run_is_sent_again(statement: Statement) -> None:
    """Guards against a refusal of the member that goes to the caller though there is time."""
    home = Home()
    link = await home.async_acquire()
    sent = link.send([statement])
    home.opened[0].answer(BUSY)
    home.clock.advance(30)
    home.pool.tick()
    assert not sent.done()
    assert home.opened[0].sent == [statement] * 2
    home.opened[0].answer(OPEN)
    assert await sent == [OPEN]
    home.pool.abort()


async def test_values_that_a_repeated_reset_clears_are_set_again() -> None:
    """Guards against a statement without its values, since a RESET was refused and a SET was not.

    Statements are sent again in their order, from the first refused one on.
    """
    home = Home()
    link = await home.async_acquire()
    sent = link.send([RESET, SET, READ])
    home.opened[0].answer(BUSY)
    home.opened[0].answer(DONE)
    home.opened[0].answer(BUSY)
    home.clock.advance(30)
    home.pool.tick()
    assert home.opened[0].sent == [RESET, SET, READ] * 2
    for _ in range(3):
        home.opened[0].answer(DONE)
    assert await sent == [DONE, DONE, DONE]
    home.pool.abort()


async def test_a_statement_is_not_sent_again_after_its_node_has_closed() -> None:
    """Guards against a statement that runs in a transaction of another client.

    While it waits to be sent again, its connection must not become idle.
    """
    home = Home()
    answers: list[Answer] = []
    shared = SharedConnection(home.pool, answers.append, lambda: None, on_error=_raise)
    shared.handle([READ], RequestPriority(rank=0, wait_ms=500, account="sur"))
    await async_settle()
    home.opened[0].answer(BUSY)
    shared.close()
    await async_settle()
    assert home.opened[0].closed
    home.clock.advance(30)
    home.pool.tick()
    assert home.opened[0].sent == [READ] and not answers
    home.pool.abort()


@pytest.mark.parametrize("setup", [[], [DONE]])
@pytest.mark.parametrize("read", [DONE, BUSY])
async def test_a_read_behind_a_refused_begin_is_not_sent_again(
    read: Answer, setup: list[Answer]
) -> None:
    """Guards against a statement that runs twice, or outside of its transaction.

    The member may have stopped leading, and then refuses the BEGIN and runs the read.
    """
    home = Home()
    link = await home.async_acquire()
    sent = link.send([*([SET] * len(setup)), BEGIN, READ])
    for answer in (*setup, BUSY, read):
        home.opened[0].answer(answer)
    home.clock.advance(30)
    home.pool.tick()
    assert sent.done() and sent.result() == [*setup, BUSY, read]
    assert len(home.opened[0].sent) == len(sent.result())
    home.pool.abort()


async def test_a_statement_to_be_sent_again_is_refused_when_its_connection_ends() -> None:
    """Guards against a write in doubt although the member said that it did not run."""
    home = Home()
    link = await home.async_acquire()
    sent = link.send([READ])
    home.opened[0].answer(BUSY)
    home.pool.discard(link)
    assert await sent == [BUSY]
    home.pool.abort()


async def async_measure_wait(*, begins: bool) -> int:
    """Return the wait after reads of 30 ms, each in a transaction of its own if it `begins`.

    BEGIN and ROLLBACK are sent by themselves and take 1 ms, as they need no slot.
    """
    home = Home()
    for _ in range(20):
        link = await home.async_acquire(begins=begins)
        steps = [(BEGIN, 1, OPEN), (READ, 30, OPEN), (ROLLBACK, 1, DONE)]
        for statement, took_ms, answer in steps if begins else [(READ, 30, DONE)]:
            link.send([statement])
            home.clock.advance(took_ms)
            home.opened[-1].answer(answer)
        home.pool.release(link)
    await home.async_fill()
    waiting = home.start_waiting()
    await async_settle()
    wait_ms = home.describe().wait_ms
    home.pool.abort()
    await waiting
    return wait_ms


async def test_statements_without_a_slot_say_nothing_of_the_time_that_work_takes() -> None:
    """Guards against a home that takes more than its member can do, since BEGIN is quick."""
    assert await async_measure_wait(begins=True) == await async_measure_wait(begins=False)


@pytest.mark.parametrize("write", [WRITE, EXECUTE_WRITE])
async def test_a_later_write_of_a_transaction_does_not_count_as_a_read(
    write: Statement, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a limit that takes the times of prepared writes for those of slow reads."""
    started: list[bool] = []
    start = ConcurrencyLimit.start

    def record(
        limit: ConcurrencyLimit, work_id: int, kind: WorkKind, *rest: Any, **named: Any
    ) -> None:
        started.append(kind.writes)
        start(limit, work_id, kind, *rest, **named)

    monkeypatch.setattr(ConcurrencyLimit, "start", record)
    home = Home()
    link = await home.async_acquire(begins=True)
    link.state.add_prepared(EXECUTE_WRITE.name, PreparedShape(writes=True, shape="q1"))
    link.state.add_prepared("r_q1", PreparedShape(writes=False, shape="q1"))
    for statement in (BEGIN, READ, EXECUTE_READ, write):
        link.send([statement])
        home.opened[0].answer(OPEN)
    assert started == [False, False, False, True]
    home.pool.abort()


async def test_an_open_transaction_goes_on_while_the_limit_is_used_up() -> None:
    """Guards against a transaction that waits, and lets others wait for its locks."""
    home = Home()
    links = await home.async_fill()
    home.opened[0].answer(OPEN)
    (await home.async_acquire()).send([READ])
    waiting = home.start_waiting()
    await async_settle()
    links[0].send([READ])
    assert len(home.opened[0].sent) == 2
    load = home.describe()
    assert (load.running, load.waiting) == (4, 1)
    home.opened[0].answer(DONE)
    home.pool.release(links[0])
    home.opened[1].answer(DONE)
    home.pool.release(links[1])
    assert (await waiting).unwrap() in links[:2]
    home.pool.abort()


@pytest.mark.parametrize("is_given", [False, True])
async def test_a_caller_that_leaves_makes_room(is_given: bool) -> None:
    """Guards against a connection that nobody uses after a node has closed its connection."""
    home = Home()
    links = await home.async_fill()
    answers: list[Answer] = []
    shared = SharedConnection(home.pool, answers.append, lambda: None, on_error=_raise)
    shared.handle([READ], RequestPriority(rank=0, wait_ms=500, account="sur"))
    await async_settle()
    if is_given:
        home.opened[0].answer(DONE)
        home.pool.release(links[0])
    shared.close()
    await async_settle()
    load = home.describe()
    assert (load.running, load.waiting) == (3 - is_given, 0)
    other = home.start_waiting()
    if not is_given:
        home.opened[0].answer(DONE)
        home.pool.release(links[0])
    assert (await other).unwrap() is links[0]
    home.pool.abort()


async def test_a_change_of_the_plan_moves_what_waits_and_lets_the_rest_end() -> None:
    """Guards against statements that are lost, refused or answered twice when the home changes."""
    home = Home()
    links = await home.async_fill()
    sent = links[1].send([READ])
    waiting = home.start_waiting()
    await async_settle()
    home.pool.set_plan(CALLER)
    moved = (await waiting).unwrap()
    assert moved.home in CALLER.homes
    home.pool.release(moved)
    home.opened[1].answer(DONE)
    home.opened[1].answer(DONE)
    assert await sent == [DONE]
    home.pool.release(links[1])
    home.pool.set_plan(HOME)
    again = await home.async_acquire()
    assert again is links[1]
    load = home.describe()
    assert load.running == 1
    home.opened[0].answer(DONE)
    home.pool.release(links[0])
    home.pool.abort()
    with pytest.raises(LinkLostError):
        await again.send([READ])


async def test_what_waits_for_a_member_that_has_gone_is_refused_with_a_time() -> None:
    """Guards against statements that wait for a member that nobody can reach any more."""
    home = Home()
    await home.async_fill()
    waiting = home.start_waiting()
    await async_settle()
    home.pool.close()
    fault = (await waiting).unwrap_err()
    assert fault.code is ErrorCode.OVERLOADED and fault.retry_ms > 0
    home.pool.abort()


async def test_statements_that_wait_as_a_caller_are_served_once_the_node_is_a_home() -> None:
    """Guards against statements that are refused because their node has become the home."""
    home = Home(CALLER)
    home.pool.set_plan(ConnectionPlan(quota=0, single_home=True))
    waiting = home.start_waiting()
    await async_settle()
    home.pool.set_plan(HOME)
    assert (await waiting).unwrap().account == "sur"
    home.pool.abort()


async def test_only_the_first_statement_of_an_operation_is_counted() -> None:
    """Guards against operations that are counted twice, or counted although they were refused."""
    limits = FakeLimits()
    home = Home(limits=limits)
    link = await home.async_acquire(first=True)
    assert limits.left == 0
    refused = await home.start_waiting(first=True)
    assert refused.unwrap_err() is limits.refusal
    home.pool.release(link)
    assert limits.left == 1
    (await home.async_acquire(first=True)).send([READ])
    await home.async_acquire()
    assert limits.left == 0
    home.pool.abort()


async def test_a_probe_does_not_wait_behind_work() -> None:
    """Guards against a member that counts as silent because its probes wait behind work."""
    home = Home()
    probe = asyncio.ensure_future(home.pool.async_control(STATUS, 100))
    await async_settle()
    home.opened[0].answer(DONE)
    await async_settle()
    for _ in range(3):
        (await home.async_acquire()).send([READ])
    waiting = [home.start_waiting() for _ in range(3)]
    await async_settle()
    again = asyncio.ensure_future(home.pool.async_control(STATUS, 100))
    await async_settle()
    assert [one.kind for one in home.opened[0].sent] == [STATUS.kind, STATUS.kind]
    home.opened[0].answer(DONE)
    assert await probe == await again == DONE
    home.pool.abort()
    await asyncio.gather(*waiting)


def _raise(error: Exception) -> None:
    raise error


def test_ranks_follow_the_routes_of_the_service() -> None:
    """Guards against unknown ranks of callers that read the next ticket first."""
    urgent, other = RANKS.ranks
    assert (urgent.name, urgent.target_ms, urgent.floor) == ("0", 200, 0.0)
    assert (other.order, other.floor) == (2, 0.05)
    assert [RANKS.find(order)[0].order for order in (0, 1, 2, 7)] == [0, 2, 2, 2]
