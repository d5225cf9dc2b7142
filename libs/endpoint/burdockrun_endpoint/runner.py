"""Runs the statements of a member against its state."""

from burdockrun_messages import (
    Access,
    Execute,
    ExecuteAnswer,
    ExecuteStatus,
    JsonValue,
    MemberRole,
    TransactionStep,
)
from result import Err

from burdockrun_endpoint.connections import Connections, Transaction
from burdockrun_endpoint.models import Change, LogEntry
from burdockrun_endpoint.state import MemberState
from burdockrun_endpoint.statements import evaluate, fingerprint


class StatementRunner:
    """Checks and runs the statements of a member.

    A statement is checked on arrival and again at the end of its service, because the term and the
    role of the member may change in between.
    """

    def __init__(self, state: MemberState, connections: Connections) -> None:
        self._state = state
        self._connections = connections

    def answer_at_once(
        self, connection_id: int, message: Execute, now_ms: int
    ) -> ExecuteAnswer | None:
        """Return the answer to a statement that needs no slot, else None."""
        refusal = self._find_refusal(message, now_ms)
        if refusal is not None:
            return refusal
        if message.step is TransactionStep.BEGIN:
            if not self._connections.begin_transaction(connection_id, self._state.term):
                return self._error(message, "a transaction is open", now_ms)
            return self._answer(message, now_ms)
        if message.step is TransactionStep.ROLLBACK:
            self._connections.clear_transaction(connection_id)
            return self._answer(message, now_ms)
        return None

    def _find_refusal(self, message: Execute, now_ms: int) -> ExecuteAnswer | None:
        if not self._state.log.last.has_reached(message.required):
            return self._answer(message, now_ms, ExecuteStatus.BEHIND)
        if message.access is Access.READ and message.step is None:
            return None
        if message.step is TransactionStep.ROLLBACK:
            return None
        if message.term != self._state.term:
            return self._answer(message, now_ms, ExecuteStatus.WRONG_TERM)
        if self._state.role is not MemberRole.PRIMARY:
            return self._answer(message, now_ms, ExecuteStatus.NOT_PRIMARY)
        return None

    def finish(self, connection_id: int, message: Execute, now_ms: int) -> ExecuteAnswer:
        """Apply a statement at the end of its service and return its answer."""
        refusal = self._find_refusal(message, now_ms)
        if refusal is not None:
            return refusal
        transaction = self._connections.find_transaction(connection_id)
        if message.step is TransactionStep.STATEMENT:
            return self._run_in_transaction(transaction, message, now_ms)
        if message.step is TransactionStep.COMMIT:
            return self._commit(connection_id, transaction, message, now_ms)
        if message.access is Access.WRITE:
            return self._write(message, now_ms)
        return self._read(message, now_ms)

    def _read(self, message: Execute, now_ms: int) -> ExecuteAnswer:
        effect = evaluate(
            message.statement, message.parameters, message.access, self._state.log.data.get
        )
        if isinstance(effect, Err):
            return self._error(message, effect.err_value, now_ms)
        return self._answer(message, now_ms, result=effect.ok_value.result)

    def _write(self, message: Execute, now_ms: int) -> ExecuteAnswer:
        recorded = self._find_recorded_answer(message, now_ms)
        if recorded is not None:
            return recorded
        effect = evaluate(
            message.statement, message.parameters, message.access, self._state.log.data.get
        )
        if isinstance(effect, Err):
            return self._error(message, effect.err_value, now_ms)
        change = effect.ok_value.change
        changes = () if change is None else (change,)
        return self._append_entry(message, changes, effect.ok_value.result, now_ms)

    def _run_in_transaction(
        self, transaction: Transaction | None, message: Execute, now_ms: int
    ) -> ExecuteAnswer:
        if transaction is None:
            return self._error(message, "no transaction is open", now_ms)
        effect = evaluate(
            message.statement,
            message.parameters,
            message.access,
            lambda key: transaction.read(self._state.log, key),
        )
        if isinstance(effect, Err):
            return self._error(message, effect.err_value, now_ms)
        if effect.ok_value.change is not None:
            transaction.write(self._state.log, effect.ok_value.change)
        return self._answer(message, now_ms, result=effect.ok_value.result)

    def _commit(
        self,
        connection_id: int,
        transaction: Transaction | None,
        message: Execute,
        now_ms: int,
    ) -> ExecuteAnswer:
        self._connections.clear_transaction(connection_id)
        recorded = self._find_recorded_answer(message, now_ms)
        if recorded is not None:
            return recorded
        if transaction is None:
            return self._error(message, "no transaction is open", now_ms)
        if transaction.has_conflict(self._state.log):
            return self._error(message, "a key was changed by another transaction", now_ms)
        return self._append_entry(message, transaction.changes(), None, now_ms)

    def _find_recorded_answer(self, message: Execute, now_ms: int) -> ExecuteAnswer | None:
        index = self._state.log.find_request(message.request_id)
        if index is None:
            return None
        entry = self._state.log.entry(index)
        if entry.tombstone:
            return self._answer(message, now_ms, ExecuteStatus.CANCELLED)
        if entry.fingerprint != fingerprint(message.statement, message.parameters):
            return self._answer(message, now_ms, ExecuteStatus.CONFLICT)
        return self._answer(message, now_ms, result=entry.result, index=index, repeated=True)

    def _append_entry(
        self, message: Execute, changes: tuple[Change, ...], result: JsonValue, now_ms: int
    ) -> ExecuteAnswer:
        entry = LogEntry(
            term=self._state.term,
            request_id=message.request_id,
            changes=changes,
            result=result,
            fingerprint=fingerprint(message.statement, message.parameters),
        )
        position = self._state.append(entry, now_ms)
        return self._answer(message, now_ms, result=result, index=position.index)

    def _error(self, message: Execute, text: str, now_ms: int) -> ExecuteAnswer:
        return self._answer(message, now_ms, ExecuteStatus.ERROR, text=text)

    def _answer(
        self,
        message: Execute,
        now_ms: int,
        status: ExecuteStatus = ExecuteStatus.OK,
        *,
        result: JsonValue = None,
        text: str = "",
        index: int | None = None,
        repeated: bool = False,
    ) -> ExecuteAnswer:
        return ExecuteAnswer(
            execution_id=message.execution_id,
            status=status,
            position=self._state.log.last if index is None else self._state.log.position(index),
            result=result,
            message=text,
            lag_ms=self._state.lag_ms(now_ms),
            confirmed_index=self._state.confirmed_index,
            repeated=repeated,
        )
