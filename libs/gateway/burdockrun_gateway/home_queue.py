"""Queue of a home for one member: carries out what `MemberQueue` decides."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import count
from random import Random
from typing import Final, Protocol

from burdockrun_admission import (
    CONTROL_RANK,
    CloseConnection,
    ConcurrencyLimit,
    DropWork,
    MemberQueue,
    OpenConnection,
    Outcome,
    QueueAction,
    QueueRequest,
    Refusal,
    StartWork,
    WorkKind,
    WorkLimit,
)
from burdockrun_base import Application
from burdockrun_statements import (
    Answer,
    ErrorCode,
    Statement,
    StatementKind,
    TransactionState,
    needs_slot,
)
from result import Err, Ok, Result

from burdockrun_gateway.const import LATE_WORK_SHARE
from burdockrun_gateway.links import MemberLink
from burdockrun_gateway.ports import AcquireFault, HomeLoad, OperationLimits, RequestPriority
from burdockrun_gateway.queue_reports import QueueReports
from burdockrun_gateway.service_ranks import NO_ROUTES, ServiceRanks

# Statements whose effect on a connection is repeated without harm.
_SESSION_KINDS: Final = frozenset({StatementKind.RESET, StatementKind.SET, StatementKind.PREPARE})
NOT_HOME: Final = AcquireFault(
    reason="this node is no longer a home of the member", code=ErrorCode.OVERLOADED, retry_ms=20
)


class HomeConnections(Protocol):
    """Connections of a home, which the queue opens and closes."""

    def opening_terms(self) -> tuple[int, int]:
        """Return up to how many connections may be opened now, and from when on, 0 for now."""
        ...

    def start_opening(self, account: str, connection_id: int) -> None:
        """Open a connection; `HomeQueue.note_opened` or `HomeQueue.note_failed` follows."""
        ...

    def close_idle(self, link: MemberLink) -> None:
        """Close an idle connection."""
        ...

    def note_taken(self, link: MemberLink) -> None:
        """Note that a connection is not idle any more."""
        ...

    def release(self, link: MemberLink) -> None:
        """Take back a connection that was handed over to a caller that has left."""
        ...


@dataclass(slots=True)
class _Waiter:
    future: "asyncio.Future[Result[MemberLink, AcquireFault]]"
    priority: RequestPriority


class HomeQueue:
    """Hands the connections of a home to statements as the queue of the member decides.

    It reports what happens on the connections to the queue, and makes no decisions itself.
    """

    def __init__(
        self,
        app: Application,
        member_id: str,
        connections: HomeConnections,
        *,
        limits: OperationLimits | None = None,
        build_limit: Callable[[int, Random], WorkLimit] = ConcurrencyLimit,
    ) -> None:
        # Nodes start at different times, so their random numbers differ.
        rng = Random(f"{member_id} {app.clock.now_ms()}")
        self._clock = app.clock
        self._connections = connections
        self._limits = limits
        self._queue = MemberQueue(build_limit(1, rng), rng)
        self._reports = QueueReports(app, member_id)
        self._ranks = NO_ROUTES
        self._settings: tuple[ServiceRanks, int, int] | None = None
        self._links: dict[int, MemberLink] = {}
        self._waiting: dict[int, _Waiter] = {}
        self._work_ids = count(1)
        self._load: tuple[int, HomeLoad] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False

    def configure(self, ranks: ServiceRanks, slots: int, quota: int) -> None:
        """Set the ranks of the service, the slots of the member and the quota of this home."""
        settings = (ranks, slots, quota)
        if settings == self._settings:
            return
        self._settings, self._ranks = settings, ranks
        self._queue.configure(ranks.ranks, slots, quota)

    def adopt(self, link: MemberLink, *, idle: bool) -> None:
        """Take over a connection that was opened before this node became a home."""
        connection_id = self._queue.adopt(link.account, self._clock.now_ms(), in_use=not idle)
        self._bind(connection_id, link)

    async def async_acquire(self, priority: RequestPriority) -> Result[MemberLink, AcquireFault]:
        """Return a connection for the first statement of an operation, or why there is none.

        The statement must be sent, or the connection released, without delay: it counts as running.
        """
        limits = self._limits if priority.first and priority.account else None
        if limits is None:
            return await self._async_wait(priority)
        asked_ms = self._clock.now_ms()
        if not limits.try_take(priority.account):
            taken = await limits.async_take(priority.account, priority.wait_ms)
            if isinstance(taken, Err):
                return Err(taken.err_value)
        spent_ms = self._clock.now_ms() - asked_ms
        try:
            acquired = await self._async_wait(priority, spent_ms)
        except asyncio.CancelledError:
            limits.give_back(priority.account)
            raise
        if isinstance(acquired, Err):
            limits.give_back(priority.account)
        return acquired

    async def _async_wait(
        self, priority: RequestPriority, spent_ms: int = 0
    ) -> Result[MemberLink, AcquireFault]:
        if self._closed:
            return Err(NOT_HOME)
        now_ms = self._clock.now_ms()
        request = self._build_request(priority, now_ms, spent_ms)
        offered = self._queue.offer(request, now_ms)
        if isinstance(offered, Err):
            return Err(self._build_fault(offered.err_value, "too much work is waiting"))
        future: asyncio.Future[Result[MemberLink, AcquireFault]]
        future = asyncio.get_running_loop().create_future()
        self._waiting[request.work_id] = _Waiter(future, priority)
        self.run()
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(request.work_id, future)
            raise

    def _build_request(self, priority: RequestPriority, now_ms: int, spent_ms: int) -> QueueRequest:
        """Return the request; it waits as long as its caller and its time limit allow."""
        arrived_ms = now_ms - spent_ms - priority.elapsed_ms
        deadline_ms = now_ms - spent_ms + priority.wait_ms
        name = CONTROL_RANK
        if priority.rank >= 0:
            rank, timeout_ms = self._ranks.find(priority.rank)
            name = rank.name
            deadline_ms = min(deadline_ms, arrived_ms + int(LATE_WORK_SHARE * timeout_ms))
        return QueueRequest(
            work_id=next(self._work_ids),
            rank=name,
            account=priority.account,
            kind=WorkKind(rank=name, writes=priority.writes),
            arrived_ms=arrived_ms,
            deadline_ms=deadline_ms,
            starts_transaction=priority.begins,
        )

    def _abandon(
        self, work_id: int, future: "asyncio.Future[Result[MemberLink, AcquireFault]]"
    ) -> None:
        """Withdraw work whose caller has left."""
        if self._waiting.pop(work_id, None) is not None:
            self._queue.cancel(work_id, self._clock.now_ms())
            self.run()
        elif future.done() and not future.cancelled() and isinstance(future.result(), Ok):
            link = future.result().unwrap()
            # The caller of `async_acquire` gives the operation back.
            link.priority = RequestPriority(rank=0, wait_ms=0)
            self._connections.release(link)

    def note_opened(self, connection_id: int, link: MemberLink) -> None:
        """Note that a connection was opened; it is idle."""
        self._bind(connection_id, link)
        self._queue.note_opened(connection_id, self._clock.now_ms())
        self.run()

    def note_failed(self, connection_id: int) -> None:
        """Note that a connection could not be opened."""
        self._queue.note_lost(connection_id, self._clock.now_ms())
        self.run()

    def note_released(self, link: MemberLink) -> None:
        """Note that a connection is idle; it may not have been used."""
        work_id, link.work_id = link.work_id, 0
        if not work_id:
            self._queue.note_released(link.connection_id)
            return
        self._queue.cancel(work_id, self._clock.now_ms())
        if self._limits is not None and link.priority.first and link.priority.account:
            self._limits.give_back(link.priority.account)

    def forget(self, link: MemberLink) -> None:
        """Note that a connection has ended."""
        if self._links.pop(link.connection_id, None) is None:
            return
        link.monitor = None
        link.work_id = 0
        self._queue.note_lost(link.connection_id, self._clock.now_ms())

    def note_sent(self, link: MemberLink, statements: Sequence[Statement]) -> int:
        """Note that statements are sent; return the id of the work."""
        work_id, link.work_id = link.work_id, 0
        if work_id:
            return work_id
        work_id = next(self._work_ids)
        rank, _ = self._ranks.find(link.priority.rank)
        writes = any(_is_write(link, one) for one in statements)
        kind = WorkKind(rank=rank.name, writes=writes)
        self._queue.start_in_transaction(work_id, link.connection_id, self._clock.now_ms(), kind)
        return work_id

    def note_answered(
        self,
        link: MemberLink,
        work_id: int,
        statements: Sequence[Statement],
        answers: Sequence[Answer],
    ) -> bool:
        """Note that statements are answered; return whether they are sent again later."""
        is_open = answers[-1].state is not TransactionState.IDLE
        outcome = _find_outcome(statements, answers)
        self._queue.note_transaction(link.connection_id, is_open=is_open)
        repeats = self._queue.complete(
            work_id,
            self._clock.now_ms(),
            outcome,
            may_repeat=outcome is Outcome.NOT_RUN and _may_repeat(statements, answers),
            releases=False,
        )
        self.run()
        return repeats

    def describe(self, now_ms: int) -> HomeLoad:
        """Return the load of the member; it is computed at most once per ms."""
        if self._load is None or self._load[0] != now_ms:
            load = self._queue.describe(now_ms)
            self._load = now_ms, HomeLoad(
                wait_ms=max(0, load.wait_ms),
                running=load.running,
                limit=load.limit,
                waiting=load.waiting,
            )
        return self._load[1]

    def run(self) -> None:
        """Carry out what the queue decides now."""
        now_ms = self._clock.now_ms()
        self._queue.allow_openings(*self._connections.opening_terms())
        actions = self._queue.advance(now_ms)
        while actions:
            for action in actions:
                self._carry_out(action, now_ms)
            # Work that was withdrawn meanwhile may have made room for other work.
            actions = self._queue.advance(now_ms)
        self._set_timer(now_ms)

    def tick(self, min_open: int) -> None:
        """Keep a minimum of connections open; write gauges and events."""
        now_ms = self._clock.now_ms()
        self._queue.keep_open(min_open, now_ms)
        self.run()
        self._reports.report(self.describe(now_ms), self._queue.limit.last_change, now_ms)

    def close(self) -> None:
        """Refuse waiting work; running work keeps its connection, which the queue then forgets."""
        self._closed = True
        self._queue.drop_waiting()
        for action in self._queue.advance(self._clock.now_ms()):
            if isinstance(action, DropWork):
                self._drop(action.work_id, NOT_HOME)
        for waiter in self._waiting.values():
            if not waiter.future.done():
                waiter.future.set_result(Err(NOT_HOME))
        self._waiting.clear()
        for link in self._links.values():
            link.monitor = None
            link.work_id = 0
        self._links.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._reports.close()

    def _bind(self, connection_id: int, link: MemberLink) -> None:
        self._links[connection_id] = link
        link.monitor = self
        link.connection_id = connection_id

    def _carry_out(self, action: QueueAction, now_ms: int) -> None:
        match action:
            case StartWork():
                self._start(action.work_id, self._links.get(action.connection_id), now_ms)
            case OpenConnection():
                self._connections.start_opening(action.account, action.connection_id)
            case CloseConnection():
                link = self._links.pop(action.connection_id, None)
                if link is not None:
                    link.monitor = None
                    self._connections.close_idle(link)
            case DropWork():
                fault = self._build_fault(action.refusal, "too much work was waiting")
                self._drop(action.work_id, fault)

    def _start(self, work_id: int, link: MemberLink | None, now_ms: int) -> None:
        waiter = self._waiting.pop(work_id, None)
        if link is not None and link.is_held():
            link.send_again()
        elif link is None or waiter is None or waiter.future.done():
            self._queue.cancel(work_id, now_ms)
        else:
            self._connections.note_taken(link)
            link.work_id = work_id
            link.priority = waiter.priority
            waiter.future.set_result(Ok(link))

    def _drop(self, work_id: int, fault: AcquireFault) -> None:
        waiter = self._waiting.pop(work_id, None)
        if waiter is not None:
            if not waiter.future.done():
                waiter.future.set_result(Err(fault))
            return
        for link in self._links.values():
            if link.holds(work_id):
                link.give_up()
                return

    def _build_fault(self, refusal: Refusal, reason: str) -> AcquireFault:
        self._reports.refused += 1
        return AcquireFault(
            reason=reason, code=ErrorCode.OVERLOADED, retry_ms=refusal.retry_after_ms
        )

    def _set_timer(self, now_ms: int) -> None:
        """Call `run` when work has to be dropped or sent again, or connections may be opened."""
        due_ms = self._queue.next_due_ms()
        open_after_ms = self._connections.opening_terms()[1]
        if self._waiting and open_after_ms:
            due_ms = min(due_ms, open_after_ms)
        if self._closed or due_ms == float("inf"):
            return
        loop = asyncio.get_running_loop()
        delay_s = max(1.0, due_ms - now_ms) / 1000
        if self._timer is not None:
            if self._timer.when() <= loop.time() + delay_s:
                return
            self._timer.cancel()
        self._timer = loop.call_later(delay_s, self._handle_timer)

    def _handle_timer(self) -> None:
        self._timer = None
        self.run()


def _is_write(link: MemberLink, statement: Statement) -> bool:
    """Return whether a statement for a connection changes data."""
    if statement.kind is not StatementKind.EXECUTE:
        return statement.kind is StatementKind.WRITE
    shape = link.state.prepared.get(statement.name)
    return shape is not None and shape.writes


def _find_outcome(statements: Sequence[Statement], answers: Sequence[Answer]) -> Outcome:
    errors = {answer.error for answer in answers if answer.error is not None}
    if not errors:
        return Outcome.DONE if needs_slot(statements) else Outcome.NO_WORK
    return Outcome.NOT_RUN if ErrorCode.BUSY in errors else Outcome.FAILED


def _may_repeat(statements: Sequence[Statement], answers: Sequence[Answer]) -> bool:
    """Return whether the statements that were refused as BUSY may be sent again.

    A statement after a refused BEGIN may have run outside of the transaction, so all statements but
    those of the session must have been refused. What follows a BEGIN is not sent again with it:
    the member may refuse only the BEGIN this time.
    """
    if any(one.kind is StatementKind.BEGIN for one in statements[:-1]):
        return False
    return answers[-1].state is TransactionState.IDLE and all(
        answer.error is ErrorCode.BUSY or (one.kind in _SESSION_KINDS and answer.error is None)
        for one, answer in zip(statements, answers, strict=True)
    )
