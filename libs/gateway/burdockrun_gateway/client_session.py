"""Client session: sends its statements to members and returns their answers."""

import asyncio
import traceback
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Protocol

from burdockrun_base import Application
from burdockrun_groups import Freshness, Route
from burdockrun_statements import (
    ANSWERED_LOCALLY,
    Answer,
    Applied,
    Commit,
    ErrorCode,
    PreparedShape,
    SessionState,
    Statement,
    StatementKind,
)

from burdockrun_gateway.attempts import FAILED, IDLE, OPEN, Attempt, is_write
from burdockrun_gateway.const import (
    ADMISSION_SHARE,
    CONFIRM_WAIT_MS,
    FULL_CODES,
    HANDLING_FAILED,
    REVOKED_TRANSACTION_MS,
)
from burdockrun_gateway.drain import STOPPING, Drain, Verdict
from burdockrun_gateway.exchange import AnswerLostError, Exchange
from burdockrun_gateway.group import Group
from burdockrun_gateway.links import MemberLink
from burdockrun_gateway.local_answers import LocalAnswers
from burdockrun_gateway.placement import Placement
from burdockrun_gateway.pools import MemberPool
from burdockrun_gateway.session_memory import SessionMemory

# Statements that only prepare the session for the operation that follows.
_SETUP_KINDS = frozenset({StatementKind.SET, StatementKind.PREPARE, StatementKind.CLOSE})
# Errors after which a statement may be retried, since it did not run.
_RETRYABLE = frozenset({ErrorCode.LAGGING, ErrorCode.BUSY, ErrorCode.READ_ONLY})
_MAX_FAILED_READS = 2


class Routes(Protocol):
    """Source of the routes and groups of databases."""

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
    epoch: str = ""
    wrote: bool = False


class ClientSession:
    """Client session of one database name.

    `account` is empty without accounts and on public routes; `key_digest` is that of the key that
    the client gave for it.
    """

    def __init__(
        self,
        app: Application,
        routes: Routes,
        database: str,
        account: str = "",
        *,
        key_digest: bytes = b"",
        drain: Drain | None = None,
        memory: SessionMemory | None = None,
    ) -> None:
        self.database = database
        self.account = account
        self.key_digest = key_digest
        self.state = IDLE
        self.last_used_ms = app.clock.now_ms()
        # Whether the last statement only prepared an operation that follows.
        self.is_setting_up = False
        self._app = app
        self._routes = routes
        self._drain = drain or Drain()
        self._session = SessionState()
        self._memory = memory or SessionMemory()
        self._transaction: _Transaction | None = None
        # Statement that is running, and the end of the wait for its answer.
        self._attempt: Attempt | None = None
        self._wait: asyncio.Timeout | None = None
        # When a revoked session must have finished its transaction; None if it is not revoked.
        self._revoked_until_ms: int | None = None
        self._local_answers = LocalAnswers(app)
        self._placement = Placement(app, self._session, self._local_answers, account)
        self._exchange = Exchange(app, self._session, self._placement, self._local_answers)

    async def async_handle(self, statement: Statement, arrived_ms: int) -> Answer:
        """Return the answer to a statement that arrived at `arrived_ms`."""
        if self.is_denied(self._app.clock.now_ms()):
            self._end_transaction()
            self.state = IDLE
            return Answer(state=IDLE, error=ErrorCode.DENIED)
        answer = await self._async_handle_or_give_up(statement, arrived_ms)
        self.state = answer.state
        self.is_setting_up = statement.kind in _SETUP_KINDS
        self.last_used_ms = self._app.clock.now_ms()
        if statement.kind not in ANSWERED_LOCALLY:
            self._measure(answer, self.last_used_ms - arrived_ms)
        return answer

    async def _async_handle_or_give_up(self, statement: Statement, arrived_ms: int) -> Answer:
        """Handle a statement until it is answered, or until `give_up` is called."""
        self._attempt = None
        self._wait = wait = asyncio.timeout(None)
        try:
            async with wait:
                return await self._async_handle(statement, arrived_ms)
        except TimeoutError as error:
            if wait.expired():
                return self._end_early(STOPPING)
            return self._end_after_error(statement, error)
        except Exception as error:  # the client is owed an answer, whatever has failed
            return self._end_after_error(statement, error)
        finally:
            self._wait = None

    def give_up(self) -> None:
        """Let the running statement, if any, be answered now with what is certain about it."""
        if self._wait is not None and not self._wait.expired():
            self._wait.reschedule(asyncio.get_running_loop().time())

    def _end_after_error(self, statement: Statement, error: Exception) -> Answer:
        """Return the final answer to a statement whose handling has failed."""
        *_, place = traceback.extract_tb(error.__traceback__)
        self._app.events.write(
            HANDLING_FAILED,
            request=statement.request_id,
            database=self.database,
            error=type(error).__name__,
            place=f"{Path(place.filename).name}:{place.lineno}",
        )
        return self._end_early("internal error")

    def _end_early(self, reason: str) -> Answer:
        """Return the final answer to the running statement; nothing of it can run later."""
        attempt, has_transaction = self._attempt, self._transaction is not None
        self._exchange.give_up()
        self._end_transaction()
        if attempt is not None:
            return self._local_answers.give_up(attempt, reason)
        code = ErrorCode.ABORTED if has_transaction else ErrorCode.BUSY
        return Answer(state=FAILED if has_transaction else IDLE, error=code, detail=reason)

    def _measure(self, answer: Answer, duration_ms: int) -> None:
        route = self._routes.find_route(self.database)
        labels = {
            "service": route.service if route is not None else "",
            "kind": route.freshness.value if route is not None else "",
        }
        outcome = answer.error.value if answer.error is not None else "done"
        self._app.measurements.count("requests", **labels, outcome=outcome)
        self._app.measurements.observe("request", duration_ms, **labels)

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open."""
        return self._transaction is not None

    @property
    def revoked(self) -> bool:
        """Return whether the key of the client has been revoked."""
        return self._revoked_until_ms is not None

    def revoke(self, now_ms: int) -> None:
        """Deny statements from now on, or once the open transaction has ended or lasts too long."""
        if self._revoked_until_ms is None:
            self._revoked_until_ms = now_ms + REVOKED_TRANSACTION_MS

    def is_denied(self, now_ms: int) -> bool:
        """Return whether a statement at `now_ms` is denied since the key has been revoked."""
        if self._revoked_until_ms is None:
            return False
        return self._transaction is None or now_ms >= self._revoked_until_ms

    def close(self) -> None:
        """Roll back an open transaction, since the client has left."""
        self._end_transaction()
        self._memory.change(self._session.held_bytes, 0)
        self._session.held_bytes = 0

    def expire_transaction(self, now_ms: int) -> None:
        """Roll back a transaction that has been idle for too long."""
        if self._wait is not None or self._transaction is None or self._transaction.link is None:
            return
        if now_ms - self.last_used_ms > self._routes.idle_transaction_ms():
            self._end_transaction()
            self.state = FAILED

    async def _async_handle(self, statement: Statement, arrived_ms: int) -> Answer:
        if self.state is FAILED:
            return self._handle_failed(statement)
        if statement.kind in ANSWERED_LOCALLY:
            return self._handle_locally(statement, arrived_ms)
        shape = None
        if statement.kind is StatementKind.EXECUTE:
            shape = self._session.prepared.get(statement.name)
            if shape is None:
                return self._unknown_name(statement)
        if self._transaction is not None:
            return await self._async_run_in_transaction(
                self._transaction, statement, shape, arrived_ms
            )
        if statement.kind is StatementKind.COMMIT:
            return Answer(state=IDLE, error=ErrorCode.MALFORMED, detail="no transaction")
        return await self._async_run_single(statement, shape, arrived_ms)

    def _handle_locally(self, statement: Statement, arrived_ms: int) -> Answer:
        """Answer a statement that does not need a member."""
        if statement.kind is StatementKind.BEGIN:
            return self._begin(statement, arrived_ms)
        if statement.kind is StatementKind.ROLLBACK:
            if self._transaction is None:
                return Answer(state=self.state, error=ErrorCode.MALFORMED, detail="no transaction")
            self._end_transaction(statement.request_id)
            return Answer(state=IDLE)
        before, after = self._session.held_bytes, self._session.count_after(statement)
        if not self._memory.may_hold(before, after):
            return self._fail(ErrorCode.TOO_LARGE, "values and statements of the session")
        if self._session.apply(statement) is Applied.UNKNOWN_NAME:
            return self._unknown_name(statement)
        self._memory.change(before, after)
        return Answer(state=self.state)

    def _unknown_name(self, statement: Statement) -> Answer:
        return self._fail(ErrorCode.UNKNOWN_NAME, statement.name)

    def _fail(self, error: ErrorCode, detail: str) -> Answer:
        """Return an error, which ends an open transaction."""
        failed = self.state is OPEN
        if failed:
            self._end_transaction()
        return Answer(state=FAILED if failed else IDLE, error=error, detail=detail)

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
        attempt = self._build_first_attempt(statement, None, arrived_ms)
        if isinstance(attempt, Answer):
            return attempt
        self._transaction = _Transaction(
            route=attempt.route, group=attempt.group, begin=statement, started_ms=arrived_ms
        )
        return Answer(state=OPEN)

    def _build_first_attempt(
        self, statement: Statement, shape: PreparedShape | None, arrived_ms: int
    ) -> Attempt | Answer:
        """Return the attempt to run the first statement of an operation, or its refusal."""
        route = self._routes.find_route(self.database)
        group = self._routes.find_group(route.service) if route is not None else None
        if route is None or group is None:
            return self._no_database()
        attempt = Attempt(
            statement=statement,
            shape=shape,
            route=route,
            group=group,
            arrived_ms=arrived_ms,
            started_ms=arrived_ms,
            to_primary=is_write(statement, shape) or route.freshness is Freshness.PRIMARY,
        )
        if self._drain.judge(statement.kind, has_begun=False) is not Verdict.SERVE:
            return self._local_answers.refuse_stopping(attempt, has_begun=False)
        return attempt

    def _no_database(self) -> Answer:
        return Answer(state=IDLE, error=ErrorCode.NO_DATABASE, detail=self.database)

    # Single statements

    async def _async_run_single(
        self, statement: Statement, shape: PreparedShape | None, arrived_ms: int
    ) -> Answer:
        attempt = self._build_first_attempt(statement, shape, arrived_ms)
        if isinstance(attempt, Answer):
            return attempt
        self._attempt = attempt
        while True:
            placed = await self._placement.async_place(attempt)
            if isinstance(placed, Answer):
                return placed
            pool, link = placed
            attempt.epoch = attempt.group.primary_lease.epoch(self._app.clock.now_ms())
            try:
                answer = await self._exchange.async_exchange(attempt, pool, link)
            except AnswerLostError as lost:
                if attempt.writes and lost.may_have_run:
                    return self._local_answers.leave_in_doubt(attempt, IDLE)
                self._local_answers.log_retry(attempt, pool.entry.id, "no answer")
                attempt.excluded.add(pool.entry.id)
                continue
            self._exchange.roll_back(pool, link, answer.state)
            if _is_full(pool, answer):
                refusal = self._placement.handle_full(attempt, pool, answer)
                if refusal is not None:
                    return refusal
                continue
            if self._may_retry(attempt, answer):
                await self._async_prepare_retry(attempt, pool, answer)
                continue
            self._local_answers.log_if_late(attempt, pool.entry.id)
            if answer.error is None and attempt.writes:
                return await self._async_acknowledge(attempt, pool, answer)
            return replace(answer, state=IDLE)

    def _may_retry(self, attempt: Attempt, answer: Answer) -> bool:
        """Return whether a statement is retried after an answer of a member."""
        if answer.error in _RETRYABLE:
            return True
        failed_read = answer.error is ErrorCode.FAILED and not attempt.writes
        return failed_read and attempt.tries < _MAX_FAILED_READS

    async def _async_prepare_retry(
        self, attempt: Attempt, pool: MemberPool, answer: Answer
    ) -> None:
        self._local_answers.log_retry(attempt, pool.entry.id, _format_error(answer))
        is_lagging = answer.error is ErrorCode.LAGGING
        await self._placement.async_prepare_retry(attempt, pool, lagging=is_lagging)

    async def _async_acknowledge(
        self, attempt: Attempt, pool: MemberPool, answer: Answer
    ) -> Answer:
        """Return success for a write only if the member is certain to have led when it answered.

        It may lead now and have been replaced meanwhile, by a member that lacks the write.
        """
        group = attempt.group
        answered_ms = self._app.clock.now_ms()
        if not group.is_primary(pool):
            await self._async_confirm(group, pool, answered_ms)
        now_ms = self._app.clock.now_ms()
        epoch = group.primary_lease.epoch(now_ms)
        goes_on = group.primary_lease.leads_still(attempt.epoch, now_ms)
        if not group.is_primary(pool) or not goes_on:
            return self._local_answers.leave_in_doubt(attempt, IDLE)
        if answer.position is not None:
            group.note_commit(pool.entry.id, epoch, attempt.started_ms, answer.position)
            self._session.commit = Commit(
                position=answer.position, epoch=epoch, at_ms=self._app.clock.now_ms()
            )
        return replace(answer, state=IDLE)

    async def _async_confirm(self, group: Group, pool: MemberPool, answered_ms: int) -> None:
        """Wait until the member is confirmed to lead, at most for `CONFIRM_WAIT_MS`."""
        until_ms = answered_ms + CONFIRM_WAIT_MS
        while not group.is_primary(pool):
            left_ms = until_ms - self._app.clock.now_ms()
            if left_ms <= 0:
                return
            await group.changed.async_wait(left_ms)

    # Transactions

    async def _async_run_in_transaction(
        self,
        transaction: _Transaction,
        statement: Statement,
        shape: PreparedShape | None,
        arrived_ms: int,
    ) -> Answer:
        route = transaction.route
        if self._revoked_until_ms is not None:
            left_ms = max(1, self._revoked_until_ms - arrived_ms)
            route = replace(route, timeout_ms=min(route.timeout_ms, left_ms))
        attempt = Attempt(
            statement=statement,
            shape=shape,
            route=route,
            group=transaction.group,
            arrived_ms=arrived_ms,
            started_ms=transaction.started_ms,
            to_primary=not transaction.begin.read_only
            or transaction.route.freshness is Freshness.PRIMARY,
            in_transaction=True,
            epoch=transaction.epoch,
            commits_writes=statement.kind is StatementKind.COMMIT and transaction.wrote,
        )
        self._attempt = attempt
        has_begun = transaction.link is not None
        if self._drain.judge(statement.kind, has_begun=has_begun) is not Verdict.SERVE:
            answer = self._local_answers.refuse_stopping(attempt, has_begun=has_begun)
        elif transaction.link is None:
            answer = await self._async_first_statement(transaction, attempt)
        else:
            answer = await self._async_next_statement(transaction, attempt)
        if answer.error is not None and answer.state is not OPEN:
            self._end_transaction()
        return answer

    async def _async_first_statement(self, transaction: _Transaction, attempt: Attempt) -> Answer:
        """Run the first statement of a transaction on a member, which then serves all of it."""
        attempt.begin = transaction.begin
        while True:
            placed = await self._placement.async_place(attempt)
            if isinstance(placed, Answer):
                return placed
            pool, link = placed
            attempt.epoch = attempt.group.primary_lease.epoch(self._app.clock.now_ms())
            try:
                answer = await self._exchange.async_exchange(attempt, pool, link)
            except AnswerLostError:
                self._local_answers.log_retry(attempt, pool.entry.id, "no answer")
                attempt.excluded.add(pool.entry.id)
                continue
            if _is_full(pool, answer):
                self._exchange.roll_back(pool, link, answer.state)
                refusal = self._placement.handle_full(attempt, pool, answer)
                if refusal is not None:
                    return refusal
                continue
            if self._may_retry(attempt, answer):
                self._exchange.roll_back(pool, link, answer.state)
                await self._async_prepare_retry(attempt, pool, answer)
                continue
            transaction.link, transaction.pool = link, pool
            transaction.epoch = attempt.epoch
            return await self._async_finish_statement(transaction, attempt, answer)

    async def _async_next_statement(self, transaction: _Transaction, attempt: Attempt) -> Answer:
        """Send a later statement on the transaction's connection."""
        assert transaction.link is not None and transaction.pool is not None
        if self.account:
            transaction.link.priority = self._placement.build_priority(
                attempt, attempt.left_ms(ADMISSION_SHARE, self._app.clock.now_ms())
            )
        try:
            answer = await self._exchange.async_exchange(
                attempt, transaction.pool, transaction.link
            )
        except AnswerLostError as lost:
            transaction.link = None
            is_commit = attempt.statement.kind is StatementKind.COMMIT
            if is_commit and transaction.wrote and lost.may_have_run:
                return self._local_answers.leave_in_doubt(attempt, IDLE)
            return self._local_answers.refuse(
                attempt, FAILED, "connection lost", code=ErrorCode.ABORTED
            )
        return await self._async_finish_statement(transaction, attempt, answer)

    async def _async_finish_statement(
        self, transaction: _Transaction, attempt: Attempt, answer: Answer
    ) -> Answer:
        """Handle the answer of the member to a statement of a transaction."""
        assert transaction.link is not None and transaction.pool is not None
        pool, link = transaction.pool, transaction.link
        self._local_answers.log_if_late(attempt, pool.entry.id)
        if attempt.writes and answer.error is None:
            transaction.wrote = True
        committed = attempt.statement.kind is StatementKind.COMMIT
        if not committed and answer.error is None:
            return replace(answer, state=OPEN)
        transaction.link = None
        self._exchange.roll_back(pool, link, answer.state)
        if not committed:
            return replace(answer, state=FAILED)
        self._transaction = None
        if transaction.wrote and answer.error is None:
            return await self._async_acknowledge(attempt, pool, answer)
        return replace(answer, state=IDLE)

    def _end_transaction(self, request_id: str = "") -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is None or transaction.link is None or transaction.pool is None:
            return
        self._exchange.roll_back(transaction.pool, transaction.link, OPEN, request_id)


def _is_full(pool: MemberPool, answer: Answer) -> bool:
    """Return whether a member that has homes, or its home, did not run a statement when full.

    Nothing is retried there: the home sees all that waits and says when to retry.
    """
    return pool.has_homes and answer.error in FULL_CODES


def _format_error(answer: Answer) -> str:
    return answer.error.value if answer.error is not None else ""
