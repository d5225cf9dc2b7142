"""Home of one database member: queue, connections and execution of its statements."""

from collections.abc import Callable
from itertools import count

from burdockrun_admission import (
    EVENT_WORK_EXPIRED,
    EVENT_WORK_REFUSED,
    METRIC_EXPIRED,
    METRIC_REFUSED,
    Refusal,
    Work,
)
from burdockrun_failover import Acknowledger
from burdockrun_messages import (
    Access,
    Code,
    Database,
    Execute,
    ExecuteAnswer,
    ExecuteStatus,
    ForwardStatus,
    GroupRecord,
    GroupState,
    LogPosition,
    Member,
    Outbox,
    Outcome,
    SendExecute,
    Service,
    StatementAnswer,
    StatementRequest,
    TransactionStep,
)
from burdockrun_routing import PositionTable
from result import Err

from burdockrun_proxy.const import CONNECTION_FAILED, MAX_CONFIRMATION_MS, STALL_THRESHOLD_MS
from burdockrun_proxy.estimates import DelayEstimate
from burdockrun_proxy.freshness import FreshnessCheck
from burdockrun_proxy.invariants import InvariantChecker
from burdockrun_proxy.models import (
    Connection,
    Execution,
    HomeReply,
    HomeRequest,
    answer_unknown,
    is_write,
    needs_bounded_age,
    needs_current_data,
    needs_settlement,
    refuse,
    scope_request_id,
)
from burdockrun_proxy.parking import ParkedReads
from burdockrun_proxy.policies import WorkScheduler, max_statements_in_flight
from burdockrun_proxy.pool import ConnectionPool
from burdockrun_proxy.settlement import Settlement, UnsettledRequest
from burdockrun_proxy.transactions import TransactionTable

OnResponse = Callable[[str, int], None]


class MemberHome:
    """Schedules and executes the statements of one member.

    Every accepted `HomeRequest` gets exactly one reply.
    """

    def __init__(
        self,
        *,
        database: Database,
        member: Member,
        node: str,
        outbox: Outbox,
        ids: "count[int]",
        positions: PositionTable,
        acknowledger: Acknowledger,
        settlement: Settlement,
        freshness: FreshnessCheck,
        invariants: InvariantChecker,
        scheduler: WorkScheduler,
        on_response: OnResponse,
    ) -> None:
        self.database = database
        self.member = member
        self.record: GroupRecord | None = None
        self._outbox = outbox
        self._ids = ids
        self._positions = positions
        self._acknowledger = acknowledger
        self._settlement = settlement
        self._freshness = freshness
        self._invariants = invariants
        self._scheduler = scheduler
        self._on_response = on_response
        self._budget = 0
        self._last_progress_ms = 0
        self._confirmation = DelayEstimate()
        self._waiting: dict[int, HomeRequest] = {}
        self._parked = ParkedReads(outbox)
        self.pool = ConnectionPool(member, outbox, ids)
        self.transactions = TransactionTable(node, member.name, self.pool, outbox, ids)

    @property
    def in_flight(self) -> int:
        """Return the number of queued, running and parked requests and open transactions."""
        running = sum(1 for connection in self.pool if connection.execution is not None)
        return len(self._waiting) + len(self._parked) + running + len(self.transactions)

    @property
    def has_budget(self) -> bool:
        """Return whether this node may have connections open to the member."""
        return self._budget > 0

    @property
    def is_unused(self) -> bool:
        """Return whether nothing is open or in flight."""
        return self.in_flight == 0 and len(self.pool) == 0

    def configure(self, service: Service, database: Database, member: Member, now_ms: int) -> None:
        """Apply a new configuration of the member and its work ranks."""
        self.database = database
        self.member = member
        self.pool.update_member(member)
        for work in self._scheduler.configure(service.ranks, max_statements_in_flight(database)):
            request = self._waiting.pop(work.work_id)
            answer = refuse(request.request, Code.UNKNOWN_RANK, "the work rank was removed")
            self._reply_answer(request, answer, now_ms)

    def set_budget(self, budget: int, now_ms: int) -> None:
        """Set how many connections this node may have open to the member."""
        self._budget = budget
        self.pool.resize(budget, now_ms)
        if budget > 0:
            self._invariants.require(
                self.pool.count_opening() == 0 or len(self.pool) <= budget,
                "no connection is opened beyond the budget",
                member=self.member.name,
            )

    def accept(self, request: HomeRequest, now_ms: int) -> None:
        """Queue, park or send a request, or reply immediately when it cannot run here."""
        if self._budget <= 0:
            self._reply(request, HomeReply(status=ForwardStatus.NOT_HOME), now_ms)
            return
        if is_write(request.request) and not self._is_primary():
            self._reply_not_primary(request, now_ms)
            return
        if self.pool.is_down and request.request.transaction is None:
            self._reply(request, HomeReply(status=ForwardStatus.UNREACHABLE), now_ms)
            return
        if request.request.transaction is not None:
            self._accept_in_transaction(request, now_ms)
            return
        if needs_current_data(request) and not self._is_primary():
            self._reply_not_primary(request, now_ms)
            return
        if self._needs_verification(request, now_ms):
            self._verify_primary(request, now_ms)
        view = self._positions.find_view(self.database.name, self.member.name)
        if request.max_lag_ms is None and self._parked.try_park(request, view, now_ms):
            return
        self._enqueue(request, now_ms)
        self.dispatch_waiting(now_ms)

    def learn_record(self, record: GroupRecord, now_ms: int) -> None:
        """Apply a newer record; writes for an ended term are returned to their senders."""
        old, self.record = self.record, record
        if old is not None and old.term == record.term and old.state == record.state:
            return
        if self._is_primary():
            self.dispatch_waiting(now_ms)
            return
        if record.state is GroupState.FENCING:
            return
        self._return_writes(now_ms)

    def connection_opened(self, connection_id: int, now_ms: int) -> None:
        """Use a newly opened connection."""
        self.pool.mark_open(connection_id)
        self.dispatch_waiting(now_ms)

    def connection_closed(self, connection_id: int, reason: str, now_ms: int) -> None:
        """Handle the loss of a connection and of the statement in flight on it."""
        self.pool.confirm_closed(connection_id)
        connection = self.pool.remove(connection_id)
        if connection is None:
            return
        if self.pool.note_failure(now_ms):
            self._outbox.log(CONNECTION_FAILED, member=self.member.name, reason=reason)
        self.transactions.connection_lost(connection)
        if connection.execution is not None:
            self._execution_lost(connection.execution, now_ms)
        if self.pool.is_down:
            self._return_waiting(ForwardStatus.UNREACHABLE, now_ms)
        self.dispatch_waiting(now_ms)

    def execute_answered(self, connection_id: int, answer: ExecuteAnswer, now_ms: int) -> None:
        """Match an answer to the statement in flight on its connection."""
        connection = self.pool.find(connection_id)
        if connection is None:
            return
        execution = connection.execution
        if execution is None or execution.message.execution_id != answer.execution_id:
            self._close_mismatched(connection, now_ms)
            return
        self._last_progress_ms = now_ms
        self._on_response(self.member.name, now_ms)
        self._positions.observe(
            self.database.name, self.member.name, answer.position, answer.lag_ms, now_ms
        )
        connection.execution = None
        self._free_slot(execution, now_ms)
        self.transactions.statement_answered(connection, execution, answer, now_ms)
        if connection.transaction is None and self.pool.find(connection_id) is not None:
            self.pool.release(connection)
        self._handle_answer(execution, answer, now_ms)
        self.dispatch_waiting(now_ms)

    def tick(self, now_ms: int) -> None:
        """Resize the pool, drop expired work and roll back idle transactions."""
        self.pool.resize(self._budget, now_ms)
        self.transactions.expire(now_ms)
        for request in self._parked.take_due(now_ms):
            self._enqueue(request, now_ms)
        self._answer_overdue(now_ms)
        for work in self._scheduler.expire(now_ms):
            self._expire(work, now_ms)
        self.dispatch_waiting(now_ms)

    def dispatch_waiting(self, now_ms: int) -> None:
        """Send waiting statements while slots and connections are free."""
        while self.pool.has_idle():
            taken = self._scheduler.take(now_ms)
            for work in taken.expired:
                self._expire(work, now_ms)
            if taken.work is None:
                return
            self._start(taken.work, now_ms)

    def return_queued(self, now_ms: int) -> None:
        """Return queued and parked requests to their senders because another node takes over."""
        self._return_waiting(ForwardStatus.NOT_HOME, now_ms)
        for request in self._parked.take_all():
            self._reply(request, HomeReply(status=ForwardStatus.NOT_HOME), now_ms)

    def return_begins(self, now_ms: int) -> None:
        """Return queued begins of transactions to their senders because this node drains."""
        for work_id, request in tuple(self._waiting.items()):
            if request.request.step is TransactionStep.BEGIN:
                self._return(work_id, ForwardStatus.NOT_HOME, now_ms)

    def _return_waiting(self, status: ForwardStatus, now_ms: int) -> None:
        for work_id in tuple(self._waiting):
            self._return(work_id, status, now_ms)

    def _return(self, work_id: int, status: ForwardStatus, now_ms: int) -> None:
        request = self._waiting.pop(work_id)
        self._scheduler.cancel(work_id)
        self._reply(request, HomeReply(status=status), now_ms)

    def _is_primary(self) -> bool:
        record = self.record
        if record is None or record.active is None:
            return False
        return record.active.primary == self.member.name

    def _needs_verification(self, request: HomeRequest, now_ms: int) -> bool:
        """Return whether a read needs proof that the primary has not been superseded."""
        if needs_current_data(request):
            return True
        if not needs_bounded_age(request) or not self._is_primary():
            return False
        return not self._was_primary(request, now_ms + (request.max_lag_ms or 0) // 2)

    def _was_primary(self, request: HomeRequest, now_ms: int) -> bool:
        """Return whether the member was the primary at most `max_lag_ms` before a time."""
        record = self.record
        if record is None or record.active is None or request.max_lag_ms is None:
            return False
        at_ms = self._freshness.find_confirmed_ms(self.member.name, record.active.term)
        return at_ms is not None and now_ms - at_ms <= request.max_lag_ms

    def _verify_primary(self, request: HomeRequest, now_ms: int) -> None:
        record = self.record
        if record is None or record.active is None or not self._is_primary():
            return
        request.verification_pending = True

        def verified(is_primary: bool, now_ms: int) -> None:
            request.verification_pending = False
            request.verified = is_primary
            if not is_primary and not self._was_primary(request, now_ms):
                if needs_bounded_age(request):
                    self._reply(request, HomeReply(status=ForwardStatus.BEHIND), now_ms)
                else:
                    self._reply_not_primary(request, now_ms)
            elif request.deferred_reply is not None:
                self._reply(request, request.deferred_reply, now_ms)

        self._freshness.verify(self.member, record.active.term, verified, now_ms)

    def _enqueue(self, request: HomeRequest, now_ms: int) -> None:
        work = Work(
            work_id=next(self._ids),
            rank=request.rank,
            account=request.request.account,
            arrived_ms=now_ms - self._find_overhead_ms(request),
            deadline_ms=request.deadline_ms,
        )
        deadline_only = request.waited_out_gap or self._is_stalled(now_ms)
        offered = self._scheduler.offer(work, now_ms, deadline_only=deadline_only)
        if isinstance(offered, Err):
            self._reply_refused(request, offered.err_value, now_ms)
            return
        self._waiting[work.work_id] = request

    def _find_overhead_ms(self, request: HomeRequest) -> int:
        """Return the expected time in ms that a request spends outside queue and member."""
        confirmation_ms = 0.0
        if needs_settlement(request.request):
            confirmation_ms = min(self._confirmation.upper_ms, MAX_CONFIRMATION_MS)
        return round(request.round_trip_ms + confirmation_ms)

    def _is_stalled(self, now_ms: int) -> bool:
        """Return whether the member has statements in flight but has answered none for a while.

        It may have failed. New work is then admitted for as long as its deadline allows, so that it
        can wait for a new primary.
        """
        return now_ms - self._last_progress_ms >= STALL_THRESHOLD_MS and self._is_busy()

    def _is_busy(self) -> bool:
        return any(connection.execution is not None for connection in self.pool)

    def _accept_in_transaction(self, request: HomeRequest, now_ms: int) -> None:
        transaction_id = request.request.transaction or ""
        connection = self.transactions.find_connection(transaction_id, request.request.account)
        if connection is None:
            answer = refuse(request.request, Code.TRANSACTION_ENDED, "transaction is not open")
            self._reply_answer(request, answer, now_ms)
            return
        if connection.execution is not None:
            answer = refuse(request.request, Code.BAD_REQUEST, "a statement is in flight")
            self._reply_answer(request, answer, now_ms)
            return
        self._send(connection, request, next(self._ids), now_ms, in_scheduler=False)

    def _start(self, work: Work, now_ms: int) -> None:
        request = self._waiting.pop(work.work_id)
        if request.request.step is TransactionStep.BEGIN and not self.transactions.can_begin(
            self._budget
        ):
            self._scheduler.complete(work.work_id, now_ms)
            answer = refuse(request.request, Code.OVERLOADED, "too many open transactions")
            self._reply_answer(request, answer, now_ms)
            return
        connection = self.pool.take_idle()
        assert connection is not None
        self._send(connection, request, work.work_id, now_ms, in_scheduler=True)

    def _send(
        self,
        connection: Connection,
        request: HomeRequest,
        work_id: int,
        now_ms: int,
        *,
        in_scheduler: bool,
    ) -> None:
        if not self._invariants.require(
            connection.execution is None and connection.transaction == request.request.transaction,
            "a connection serves one statement, of its own transaction, at a time",
            connection=connection.connection_id,
        ):
            self._reply(request, HomeReply(status=ForwardStatus.NOT_HOME), now_ms)
            return
        if not self._is_busy():
            self._last_progress_ms = now_ms
        message = self._build_execute(request.request, request.required)
        connection.execution = Execution(
            work_id=work_id,
            home_request=request,
            message=message,
            sent_ms=now_ms,
            in_scheduler=in_scheduler,
        )
        self._outbox.add(SendExecute(connection_id=connection.connection_id, message=message))

    def _build_execute(self, request: StatementRequest, required: LogPosition | None) -> Execute:
        record = self.record
        return Execute(
            execution_id=next(self._ids),
            statement=request.statement,
            access=request.access,
            parameters=request.parameters,
            request_id=scope_request_id(request) if needs_settlement(request) else None,
            term=record.active.term if record is not None and record.active is not None else 0,
            required=None if request.access is Access.WRITE else required,
            step=request.step,
        )

    def _free_slot(self, execution: Execution, now_ms: int) -> None:
        if execution.in_scheduler:
            self._scheduler.complete(execution.work_id, now_ms)

    def _handle_answer(self, execution: Execution, answer: ExecuteAnswer, now_ms: int) -> None:
        request = execution.home_request
        if request.answered:
            return
        if answer.status is ExecuteStatus.OK:
            self._handle_done(execution, answer, now_ms)
            return
        if answer.status is ExecuteStatus.BEHIND:
            self._reply_behind(request, answer, now_ms)
            return
        if answer.status in (ExecuteStatus.WRONG_TERM, ExecuteStatus.NOT_PRIMARY):
            self._reply_not_primary(request, now_ms)
            return
        code = (
            Code.STATEMENT_ERROR
            if answer.status is ExecuteStatus.ERROR
            else Code.DUPLICATE_CONFLICT
        )
        self._reply_answer(request, refuse(request.request, code, answer.message), now_ms)

    def _handle_done(self, execution: Execution, answer: ExecuteAnswer, now_ms: int) -> None:
        request = execution.home_request
        if needs_bounded_age(request) and not self._is_fresh(request, answer, now_ms):
            self._reply_behind(request, answer, now_ms)
            return
        if not needs_settlement(request.request):
            self._reply_done(execution, answer, now_ms)
            return

        def confirmed(is_confirmed: bool, at_ms: int) -> None:
            if is_confirmed:
                # An entry from an earlier execution may have been confirmed long ago.
                if not answer.repeated:
                    self._freshness.note_confirmed(
                        self.member.name, execution.message.term, execution.sent_ms
                    )
                self._confirmation.add(at_ms - now_ms)
                self._reply_done(execution, answer, at_ms)
                return
            self._settle(request, at_ms)

        self._acknowledger.wait(
            self.member,
            execution.message.term,
            answer.position.index,
            request.deadline_ms,
            confirmed,
        )

    def _is_fresh(self, request: HomeRequest, answer: ExecuteAnswer, now_ms: int) -> bool:
        """Return whether a read is at most `max_lag_ms` old, or as of its arrival.

        A superseded primary reports no lag, so a lag counts only from a member with entries of the
        active term, and a primary must have been the primary since.
        """
        active = self.record.active if self.record is not None else None
        if active is not None and answer.position.term < active.term:
            return False
        if self._is_primary():
            is_verified = request.verification_pending or request.verified
            return is_verified or self._was_primary(request, now_ms)
        max_lag_ms = request.max_lag_ms or 0
        return answer.lag_ms is not None and answer.lag_ms <= max_lag_ms

    def _reply_done(self, execution: Execution, answer: ExecuteAnswer, now_ms: int) -> None:
        request = execution.home_request
        wrote = needs_settlement(request.request)
        index = answer.position.index
        if not wrote:
            index = min(index, answer.confirmed_index)
        self._reply_answer(
            request,
            StatementAnswer(
                request_id=request.request.request_id,
                outcome=Outcome.DONE,
                result=answer.result,
                member=self.member.name,
                term=answer.position.term,
                index=index,
                transaction=self.transactions.find_transaction_id(execution, request.request),
            ),
            now_ms,
            position=answer.position,
            lag_ms=answer.lag_ms,
        )

    def _execution_lost(self, execution: Execution, now_ms: int) -> None:
        self._free_slot(execution, now_ms)
        request = execution.home_request
        if request.answered:
            return
        if request.request.step not in (None, TransactionStep.COMMIT):
            answer = refuse(request.request, Code.TRANSACTION_ENDED, "connection lost, rolled back")
            self._reply_answer(request, answer, now_ms)
            return
        if needs_settlement(request.request):
            self._settle(request, now_ms)
            return
        self._reply(request, HomeReply(status=ForwardStatus.NOT_HOME), now_ms)

    def _settle(self, request: HomeRequest, now_ms: int) -> None:
        def settled(answer: StatementAnswer, at_ms: int) -> None:
            self._reply_answer(request, answer, at_ms)

        self._settlement.start(
            UnsettledRequest(
                database=self.database.name,
                request=request.request,
                deadline_ms=request.deadline_ms,
                on_settled=settled,
            ),
            now_ms,
        )

    def _answer_overdue(self, now_ms: int) -> None:
        """Answer callers whose deadline has passed; the statement still occupies its connection."""
        for connection in self.pool:
            execution = connection.execution
            if execution is None or execution.home_request.deadline_ms > now_ms:
                continue
            request = execution.home_request
            if request.answered:
                self._close_overdue(connection, execution, now_ms)
                continue
            self._reply_answer(
                request, answer_unknown(request.request, "no answer in time"), now_ms
            )

    def _close_overdue(self, connection: Connection, execution: Execution, now_ms: int) -> None:
        """Close a connection whose answer is overdue.

        An answer may take twice the time from sending to the deadline, plus 1 s.
        """
        allowed_ms = 2 * (execution.home_request.deadline_ms - execution.sent_ms) + 1_000
        if now_ms - execution.sent_ms < allowed_ms:
            return
        self.pool.close(connection.connection_id)
        self.transactions.connection_lost(connection)
        self._free_slot(execution, now_ms)

    def _close_mismatched(self, connection: Connection, now_ms: int) -> None:
        self.pool.close(connection.connection_id)
        self.transactions.connection_lost(connection)
        if connection.execution is not None:
            self._execution_lost(connection.execution, now_ms)

    def _return_writes(self, now_ms: int) -> None:
        self.transactions.end_all()
        for work_id, request in tuple(self._waiting.items()):
            if is_write(request.request):
                del self._waiting[work_id]
                self._scheduler.cancel(work_id)
                self._reply_not_primary(request, now_ms)

    def _expire(self, work: Work, now_ms: int) -> None:
        request = self._waiting.pop(work.work_id, None)
        if request is not None:
            self._outbox.count(METRIC_EXPIRED)
            self._outbox.log_rate_limited(EVENT_WORK_EXPIRED, now_ms, rank=work.rank)
            answer = refuse(request.request, Code.DEADLINE, "deadline passed while waiting")
            self._reply_answer(request, answer, now_ms)

    def _reply_refused(self, request: HomeRequest, refusal: Refusal, now_ms: int) -> None:
        self._outbox.count(METRIC_REFUSED)
        self._outbox.log_rate_limited(
            EVENT_WORK_REFUSED, now_ms, rank=request.rank, code=refusal.code
        )
        answer = refuse(
            request.request,
            refusal.code,
            "expected wait exceeds the target or the deadline",
            retry_after_ms=refusal.retry_after_ms,
        )
        self._reply_answer(request, answer, now_ms)

    def _reply_behind(self, request: HomeRequest, answer: ExecuteAnswer, now_ms: int) -> None:
        reply = HomeReply(
            status=ForwardStatus.BEHIND, position=answer.position, lag_ms=answer.lag_ms
        )
        self._reply(request, reply, now_ms)

    def _reply_not_primary(self, request: HomeRequest, now_ms: int) -> None:
        self._reply(
            request, HomeReply(status=ForwardStatus.NOT_PRIMARY, record=self.record), now_ms
        )

    def _reply_answer(
        self,
        request: HomeRequest,
        answer: StatementAnswer,
        now_ms: int,
        *,
        position: LogPosition | None = None,
        lag_ms: int | None = None,
    ) -> None:
        reply = HomeReply(
            status=ForwardStatus.ANSWERED, answer=answer, position=position, lag_ms=lag_ms
        )
        self._reply(request, reply, now_ms)

    def _reply(self, request: HomeRequest, reply: HomeReply, now_ms: int) -> None:
        if request.answered:
            return
        if request.verification_pending and is_done(reply):
            request.deferred_reply = reply
            return
        request.answered = True
        request.on_reply(reply, now_ms)


def is_done(reply: HomeReply) -> bool:
    """Return whether a reply carries the result of a statement."""
    return reply.answer is not None and reply.answer.outcome is Outcome.DONE
