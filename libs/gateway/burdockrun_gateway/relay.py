"""Carries the statements of one client session to members and returns their answers."""

import asyncio
from dataclasses import dataclass, field, replace
from typing import Final, Protocol

from burdockrun_base import Application, LogPosition
from burdockrun_groups import Freshness, Route, choose_member
from burdockrun_statements import (
    ANSWERED_BY_ENTRY,
    Answer,
    Applied,
    ErrorCode,
    PreparedShape,
    SessionState,
    Statement,
    StatementKind,
    TransactionState,
    name_shape,
    plan_setup,
)

from burdockrun_gateway.const import (
    ADMISSION_SHARE,
    CONFIRM_WAIT_MS,
    HOLD_SHARE,
    MAX_TRIES,
    MIN_PATIENCE_MS,
    READ_PATIENCE_SHARE,
    REQUEST_REFUSED,
    REQUEST_UNRESOLVED,
    RETRY_AFTER_MS,
    RETRY_DELAY_MS,
    ROLLBACK_TIMEOUT_MS,
)
from burdockrun_gateway.group import Group
from burdockrun_gateway.links import LinkLostError, MemberLink
from burdockrun_gateway.pools import MemberPool

IDLE: Final = TransactionState.IDLE
OPEN: Final = TransactionState.OPEN
FAILED: Final = TransactionState.FAILED


class Routes(Protocol):
    """Where the relay finds the rules and the group of a database."""

    def find_route(self, database: str) -> Route | None:
        """Return the route of a database name."""
        ...

    def find_group(self, service: str) -> Group | None:
        """Return the group of a service."""
        ...

    def idle_transaction_ms(self) -> int:
        """Return how long a transaction may stay idle."""
        ...


@dataclass(kw_only=True, slots=True)
class _Transaction:
    """Open transaction of the client; `link` is set once a member takes part."""

    route: Route
    group: Group
    begin: Statement
    started_ms: int
    link: MemberLink | None = None
    pool: MemberPool | None = None
    wrote: bool = False


@dataclass(kw_only=True, slots=True)
class _Attempt:
    """What is known while a member is sought for one statement."""

    statement: Statement
    route: Route
    group: Group
    arrived_ms: int
    started_ms: int
    to_primary: bool
    writes: bool
    begin: Statement | None = None
    excluded: set[str] = field(default_factory=set)
    tries: int = 0
    offered: bool = False


class _LostError(Exception):
    """No whole answer came; the statement may have run."""


class Relay:
    """Client session of one database name."""

    def __init__(self, app: Application, routes: Routes, database: str) -> None:
        self.database = database
        self.state = IDLE
        self.used_ms = app.clock.now_ms()
        self._app = app
        self._routes = routes
        self._session = SessionState()
        self._transaction: _Transaction | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_handle(self, statement: Statement, arrived_ms: int) -> Answer:
        """Return the answer to a statement that arrived at `arrived_ms`."""
        answer = await self._async_handle(statement, arrived_ms)
        self.state = answer.state
        self.used_ms = self._app.clock.now_ms()
        return answer

    def close(self) -> None:
        """Roll back what is open, since the client has left."""
        self._end_transaction()

    def expire_transaction(self, now_ms: int) -> None:
        """Roll back a transaction that has been idle for too long."""
        if self._transaction is None or self._transaction.link is None:
            return
        if now_ms - self.used_ms > self._routes.idle_transaction_ms():
            self._end_transaction()
            self.state = FAILED

    async def _async_handle(self, statement: Statement, arrived_ms: int) -> Answer:
        if self.state is FAILED:
            return self._handle_failed(statement)
        if statement.kind in ANSWERED_BY_ENTRY:
            return self._handle_locally(statement, arrived_ms)
        shape = None
        if statement.kind is StatementKind.EXECUTE:
            shape = self._session.prepared.get(statement.name)
            if shape is None:
                return self._unknown_name(statement)
        if self._transaction is not None:
            return await self._async_in_transaction(self._transaction, statement, shape, arrived_ms)
        if statement.kind is StatementKind.COMMIT:
            return Answer(state=IDLE, error=ErrorCode.MALFORMED, detail="no transaction")
        return await self._async_single(statement, shape, arrived_ms)

    def _handle_locally(self, statement: Statement, arrived_ms: int) -> Answer:
        """Answer a statement that need not wait for a member."""
        if statement.kind is StatementKind.BEGIN:
            return self._begin(statement, arrived_ms)
        if statement.kind is StatementKind.ROLLBACK:
            if self._transaction is None:
                return Answer(state=self.state, error=ErrorCode.MALFORMED, detail="no transaction")
            self._end_transaction(statement.request_id)
            return Answer(state=IDLE)
        if self._session.apply(statement) is Applied.UNKNOWN_NAME:
            return self._unknown_name(statement)
        return Answer(state=self.state)

    def _unknown_name(self, statement: Statement) -> Answer:
        failed = self.state is OPEN
        if failed:
            self._end_transaction()
        return Answer(
            state=FAILED if failed else IDLE,
            error=ErrorCode.UNKNOWN_NAME,
            detail=statement.name,
        )

    def _handle_failed(self, statement: Statement) -> Answer:
        if statement.kind is StatementKind.ROLLBACK:
            self._end_transaction()
            return Answer(state=IDLE)
        if statement.kind is StatementKind.COMMIT:
            self._end_transaction()
            return Answer(state=IDLE, error=ErrorCode.ABORTED, detail="rolled back")
        return Answer(state=FAILED, error=ErrorCode.MALFORMED, detail="transaction has failed")

    def _begin(self, statement: Statement, arrived_ms: int) -> Answer:
        if self._transaction is not None:
            return Answer(state=OPEN, error=ErrorCode.MALFORMED, detail="already in a transaction")
        route = self._routes.find_route(self.database)
        group = self._routes.find_group(route.service) if route is not None else None
        if route is None or group is None:
            return self._no_database()
        self._transaction = _Transaction(
            route=route, group=group, begin=statement, started_ms=arrived_ms
        )
        return Answer(state=OPEN)

    def _no_database(self) -> Answer:
        return Answer(state=IDLE, error=ErrorCode.NO_DATABASE, detail=self.database)

    # Single statements

    async def _async_single(
        self, statement: Statement, shape: PreparedShape | None, arrived_ms: int
    ) -> Answer:
        route = self._routes.find_route(self.database)
        group = self._routes.find_group(route.service) if route is not None else None
        if route is None or group is None:
            return self._no_database()
        writes = _is_write(statement, shape)
        attempt = _Attempt(
            statement=statement,
            route=route,
            group=group,
            arrived_ms=arrived_ms,
            started_ms=arrived_ms,
            to_primary=writes or route.freshness is Freshness.PRIMARY,
            writes=writes,
        )
        while True:
            placed = await self._async_place(attempt, shape)
            if isinstance(placed, Answer):
                return placed
            pool, link = placed
            try:
                answer = await self._async_exchange(attempt, pool, link, shape)
            except _LostError:
                if writes:
                    return self._in_doubt(attempt, IDLE)
                attempt.excluded.add(pool.entry.id)
                continue
            self._roll_back(pool, link, answer.state)
            retried = await self._async_judge(attempt, pool, answer)
            if retried is not None:
                return retried

    async def _async_judge(
        self, attempt: _Attempt, pool: MemberPool, answer: Answer
    ) -> Answer | None:
        """Return the client's answer, or None when another member is to be tried."""
        if answer.error is None:
            if attempt.writes:
                return await self._async_acknowledge(attempt, pool, answer, IDLE)
            return Answer(
                state=IDLE,
                position=answer.position,
                rows=answer.rows,
                signature=answer.signature,
            )
        if answer.error in {ErrorCode.LAGGING, ErrorCode.BUSY, ErrorCode.READ_ONLY}:
            if answer.error is not ErrorCode.READ_ONLY and not attempt.to_primary:
                attempt.excluded.add(pool.entry.id)
            elif answer.error is ErrorCode.READ_ONLY:
                await attempt.group.async_wait_changed(self._hold_left_ms(attempt, step=True))
            else:
                await asyncio.sleep(RETRY_DELAY_MS / 1000)
            return None
        if answer.error is ErrorCode.FAILED and not attempt.writes:
            attempt.excluded.add(pool.entry.id)
            return None if attempt.tries < 2 else answer
        return Answer(state=IDLE, error=answer.error, detail=answer.detail)

    async def _async_acknowledge(
        self, attempt: _Attempt, pool: MemberPool, answer: Answer, state: TransactionState
    ) -> Answer:
        """Return success for a write only if its member is known to have led at its answer."""
        group = attempt.group
        answered_ms = self._app.clock.now_ms()
        if not group.is_primary(pool):
            await self._async_confirm(group, pool, answered_ms)
        if not group.is_primary(pool):
            return self._in_doubt(attempt, state)
        if answer.position is not None:
            self._session.commit = answer.position
            self._session.commit_epoch = group.authority.epoch(self._app.clock.now_ms())
        return Answer(
            state=state, position=answer.position, rows=answer.rows, signature=answer.signature
        )

    async def _async_confirm(self, group: Group, pool: MemberPool, answered_ms: int) -> None:
        """Wait for word that the member still leads."""
        until_ms = answered_ms + CONFIRM_WAIT_MS
        while not group.is_primary(pool):
            left_ms = until_ms - self._app.clock.now_ms()
            if left_ms <= 0:
                return
            await group.async_wait_changed(left_ms)

    # Transactions

    async def _async_in_transaction(
        self,
        transaction: _Transaction,
        statement: Statement,
        shape: PreparedShape | None,
        arrived_ms: int,
    ) -> Answer:
        writes = _is_write(statement, shape)
        attempt = _Attempt(
            statement=statement,
            route=transaction.route,
            group=transaction.group,
            arrived_ms=arrived_ms,
            started_ms=transaction.started_ms,
            to_primary=not transaction.begin.read_only
            or transaction.route.freshness is Freshness.PRIMARY,
            writes=writes,
        )
        if transaction.link is None:
            answer = await self._async_first(transaction, attempt, shape)
        else:
            answer = await self._async_next(transaction, attempt, shape)
        if answer.error is not None and answer.state is not OPEN:
            self._end_transaction()
        return answer

    async def _async_first(
        self, transaction: _Transaction, attempt: _Attempt, shape: PreparedShape | None
    ) -> Answer:
        """Find a member for the first statement of a transaction."""
        attempt.begin = transaction.begin
        while True:
            placed = await self._async_place(attempt, shape)
            if isinstance(placed, Answer):
                return placed
            pool, link = placed
            try:
                answer = await self._async_exchange(attempt, pool, link, shape)
            except _LostError:
                attempt.excluded.add(pool.entry.id)
                continue
            if answer.error in {ErrorCode.BUSY, ErrorCode.LAGGING, ErrorCode.READ_ONLY}:
                self._roll_back(pool, link, answer.state)
                if attempt.to_primary:
                    await attempt.group.async_wait_changed(self._hold_left_ms(attempt, step=True))
                else:
                    attempt.excluded.add(pool.entry.id)
                continue
            transaction.link, transaction.pool = link, pool
            return await self._async_after(transaction, attempt, answer)

    async def _async_next(
        self, transaction: _Transaction, attempt: _Attempt, shape: PreparedShape | None
    ) -> Answer:
        """Send a later statement on the transaction's connection."""
        assert transaction.link is not None and transaction.pool is not None
        try:
            answer = await self._async_exchange(attempt, transaction.pool, transaction.link, shape)
        except _LostError:
            transaction.link = None
            if attempt.statement.kind is StatementKind.COMMIT and transaction.wrote:
                return self._in_doubt(attempt, IDLE)
            return self._refuse(attempt, FAILED, "connection lost", code=ErrorCode.ABORTED)
        return await self._async_after(transaction, attempt, answer)

    async def _async_after(
        self, transaction: _Transaction, attempt: _Attempt, answer: Answer
    ) -> Answer:
        """Finish a statement of a transaction that a member has answered."""
        assert transaction.link is not None and transaction.pool is not None
        pool, link = transaction.pool, transaction.link
        if attempt.writes and answer.error is None:
            transaction.wrote = True
        if attempt.statement.kind is StatementKind.COMMIT:
            transaction.link = None
            self._transaction = None
            self._roll_back(pool, link, answer.state)
            if answer.error is not None:
                return Answer(state=IDLE, error=answer.error, detail=answer.detail)
            if transaction.wrote:
                return await self._async_acknowledge(attempt, pool, answer, IDLE)
            return Answer(state=IDLE, position=answer.position, signature=answer.signature)
        if answer.error is not None:
            transaction.link = None
            self._roll_back(pool, link, answer.state)
            return Answer(state=FAILED, error=answer.error, detail=answer.detail)
        return Answer(
            state=OPEN, position=answer.position, rows=answer.rows, signature=answer.signature
        )

    def _end_transaction(self, request_id: str = "") -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is None or transaction.link is None or transaction.pool is None:
            return
        self._roll_back(transaction.pool, transaction.link, OPEN, request_id)

    def _roll_back(
        self, pool: MemberPool, link: MemberLink, state: TransactionState, request_id: str = ""
    ) -> None:
        """Give a connection back, after ending what is open on it."""
        if state is IDLE:
            pool.release(link)
            return
        if link.lost or link.oldest_unanswered_ms() is not None:
            pool.discard(link)
            return
        task = asyncio.get_running_loop().create_task(_async_roll_back(pool, link, request_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Placement

    async def _async_place(
        self, attempt: _Attempt, shape: PreparedShape | None
    ) -> tuple[MemberPool, MemberLink] | Answer:
        """Return a connection to a member that may run the statement, or a refusal."""
        while True:
            attempt.tries += 1
            if attempt.tries > MAX_TRIES:
                return self._refuse(attempt, self._refused_state(), "no member could run it")
            pool = self._choose_pool(attempt)
            if pool is None:
                hold_ms = self._hold_left_ms(attempt)
                if hold_ms <= 0:
                    return self._refuse(attempt, self._refused_state(), "no member is available")
                attempt.tries -= 1
                await attempt.group.async_wait_changed(min(hold_ms, 25))
                continue
            limit_ms = ADMISSION_SHARE * attempt.route.target_ms - (
                self._app.clock.now_ms() - attempt.arrived_ms
            )
            if pool.expected_wait_ms() > max(limit_ms, 0):
                return self._refuse(attempt, self._refused_state(), "too much work is waiting")
            link = await pool.async_acquire(
                attempt.route.rank, self._session, max(limit_ms, MIN_PATIENCE_MS / 4)
            )
            if link is None:
                return self._refuse(attempt, self._refused_state(), "no connection became free")
            if link.lost:
                continue
            if attempt.to_primary and not attempt.group.is_primary(pool):
                pool.release(link)
                continue
            return pool, link

    def _choose_pool(self, attempt: _Attempt) -> MemberPool | None:
        group = attempt.group
        if attempt.to_primary:
            pool = group.primary_pool()
            return pool if pool is not None and not pool.is_lost() else None
        option = choose_member(
            group.read_options(attempt.excluded),
            self._required(attempt),
            replicas_allowed=attempt.route.freshness is not Freshness.PRIMARY,
        )
        if option is None and attempt.excluded:
            attempt.excluded.clear()
        return group.pools.get(option.member_id) if option is not None else None

    def _required(self, attempt: _Attempt) -> LogPosition | None:
        session = self._session
        own = attempt.route.freshness is Freshness.SESSION
        return attempt.group.required_position(
            attempt.started_ms,
            attempt.route.max_staleness_ms,
            session.commit if own else None,
            session.commit_epoch,
        )

    def _hold_left_ms(self, attempt: _Attempt, *, step: bool = False) -> float:
        """Return how much longer a statement may wait for a primary."""
        left_ms = HOLD_SHARE * attempt.route.target_ms - (
            self._app.clock.now_ms() - attempt.arrived_ms
        )
        return min(max(left_ms, RETRY_DELAY_MS), 50) if step else left_ms

    # Exchange with a member

    async def _async_exchange(
        self,
        attempt: _Attempt,
        pool: MemberPool,
        link: MemberLink,
        shape: PreparedShape | None,
    ) -> Answer:
        """Send what the statement needs and return its answer.

        Raises _LostError when no whole answer came; the connection is closed then.
        """
        statements = plan_setup(link.state, self._session, shape)
        if attempt.begin is not None:
            awaited = attempt.group.awaited_position(pool)
            statements.append(replace(attempt.begin, after=awaited))
        if not self._may_combine(attempt, pool):
            begun = await self._async_send(attempt, pool, link, statements)
            if begun.error is not None or begun.state is not OPEN:
                return begun
            statements = []
        statements.append(self._build_statement(attempt, pool, shape))
        return await self._async_send(attempt, pool, link, statements)

    def _may_combine(self, attempt: _Attempt, pool: MemberPool) -> bool:
        """Return whether a statement may follow its BEGIN before that has been answered.

        A member that has lost the lead, or lags, refuses the BEGIN and would run a read outside
        of it.
        """
        if attempt.begin is None or attempt.writes:
            return True
        if attempt.group.awaited_position(pool) is not None:
            return False
        if attempt.begin.read_only and not attempt.to_primary:
            return True
        return attempt.group.authority.is_steady(self._app.clock.now_ms())

    async def _async_send(
        self,
        attempt: _Attempt,
        pool: MemberPool,
        link: MemberLink,
        statements: list[Statement],
    ) -> Answer:
        """Send statements in one write and return the answer to the last one."""
        now_ms = self._app.clock.now_ms()
        left_ms = attempt.route.timeout_ms - (now_ms - attempt.arrived_ms)
        patience_ms: float = left_ms
        if not attempt.writes and self._transaction is None:
            target_ms = READ_PATIENCE_SHARE * attempt.route.target_ms
            patience_ms = min(left_ms, max(target_ms, 4 * pool.expected_ms(), MIN_PATIENCE_MS))
        attempt.offered = True
        try:
            async with asyncio.timeout(max(patience_ms, 1) / 1000):
                answers = await asyncio.shield(link.send(statements))
        except LinkLostError:
            pool.discard(link)
            raise _LostError from None
        except TimeoutError:
            pool.discard(link)
            if patience_ms < left_ms:
                raise _LostError from None
            return self._time_out(attempt)
        pool.observe(self._app.clock.now_ms() - now_ms)
        for sent, answer in zip(statements[:-1], answers[:-1], strict=True):
            if answer.error is None:
                continue
            if sent.kind is not StatementKind.BEGIN:
                pool.discard(link)
            return _setup_failure(answer, answers[-1])
        return answers[-1]

    def _build_statement(
        self, attempt: _Attempt, pool: MemberPool, shape: PreparedShape | None
    ) -> Statement:
        statement = attempt.statement
        after = None
        if self._transaction is None and not attempt.writes:
            after = None if attempt.to_primary else self._required(attempt)
            after = after or attempt.group.awaited_position(pool)
        return Statement(
            kind=statement.kind,
            request_id=statement.request_id,
            name=name_shape(shape) if shape is not None else statement.name,
            argument=statement.argument,
            after=after,
        )

    # Answers of the entry

    def _refused_state(self) -> TransactionState:
        return FAILED if self._transaction is not None else IDLE

    def _refuse(
        self,
        attempt: _Attempt,
        state: TransactionState,
        reason: str,
        *,
        code: ErrorCode = ErrorCode.BUSY,
    ) -> Answer:
        now_ms = self._app.clock.now_ms()
        self._app.events.write(
            REQUEST_REFUSED,
            request=attempt.statement.request_id,
            database=self.database,
            reason=reason,
            code=code.value,
            held_ms=now_ms - attempt.arrived_ms,
            primary=attempt.group.authority.primary(now_ms),
            tries=attempt.tries,
        )
        return Answer(state=state, error=code, detail=f"{reason}; retry after {RETRY_AFTER_MS} ms")

    def _in_doubt(self, attempt: _Attempt, state: TransactionState) -> Answer:
        return self._unresolved(attempt, state, ErrorCode.IN_DOUBT)

    def _time_out(self, attempt: _Attempt) -> Answer:
        if self._transaction is None or attempt.statement.kind is StatementKind.COMMIT:
            return self._unresolved(attempt, IDLE, ErrorCode.TIMEOUT)
        return self._refuse(attempt, FAILED, "no answer in time", code=ErrorCode.ABORTED)

    def _unresolved(self, attempt: _Attempt, state: TransactionState, code: ErrorCode) -> Answer:
        now_ms = self._app.clock.now_ms()
        self._app.events.write(
            REQUEST_UNRESOLVED,
            request=attempt.statement.request_id,
            database=self.database,
            code=code.value,
            held_ms=now_ms - attempt.arrived_ms,
            primary=attempt.group.authority.primary(now_ms),
        )
        return Answer(state=state, error=code, detail="the outcome is not known")


def _is_write(statement: Statement, shape: PreparedShape | None) -> bool:
    return statement.kind is StatementKind.WRITE or (shape is not None and shape.writes)


def _setup_failure(failed: Answer, last: Answer) -> Answer:
    """Return the answer to a statement whose preparation failed."""
    code = failed.error if failed.error is not ErrorCode.MALFORMED else ErrorCode.BUSY
    return Answer(state=FAILED if last.state is IDLE else last.state, error=code)


async def _async_roll_back(pool: MemberPool, link: MemberLink, request_id: str) -> None:
    rollback = Statement(kind=StatementKind.ROLLBACK, request_id=request_id)
    try:
        async with asyncio.timeout(ROLLBACK_TIMEOUT_MS / 1000):
            answers = await link.send([rollback])
    except (TimeoutError, LinkLostError):
        pool.discard(link)
        return
    if answers[-1].state is IDLE:
        pool.release(link)
    else:
        pool.discard(link)
