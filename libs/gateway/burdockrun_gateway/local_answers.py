"""Answers that the gateway itself gives to statements, and log lines about statements."""

from burdockrun_base import Application
from burdockrun_statements import Answer, ErrorCode, StatementKind, TransactionState

from burdockrun_gateway.attempts import FAILED, IDLE, Attempt
from burdockrun_gateway.const import (
    REQUEST_LATE,
    REQUEST_REFUSED,
    REQUEST_RETRIED,
    REQUEST_UNRESOLVED,
    RETRY_AFTER_MS,
    STOPPING_RETRY_MS,
)
from burdockrun_gateway.drain import STOPPING


class LocalAnswers:
    """Builds refusals and answers of unknown outcome, and logs retried and late requests."""

    def __init__(self, app: Application) -> None:
        self._app = app

    def log_retry(self, attempt: Attempt, member: str, reason: str) -> None:
        """Log that a statement is retried at the same or another member."""
        self._app.events.write(
            REQUEST_RETRIED,
            request=attempt.statement.request_id,
            database=attempt.route.database,
            member=member,
            reason=reason,
            held_ms=self._app.clock.now_ms() - attempt.arrived_ms,
            tries=attempt.tries,
        )

    def log_if_late(self, attempt: Attempt, member: str) -> None:
        """Log an answer that arrived after the route's target."""
        held_ms = self._app.clock.now_ms() - attempt.arrived_ms
        if held_ms <= attempt.route.target_ms:
            return
        self._app.events.write(
            REQUEST_LATE,
            request=attempt.statement.request_id,
            database=attempt.route.database,
            member=member,
            held_ms=held_ms,
            waited_ms=attempt.waited_ms,
            target_ms=attempt.route.target_ms,
            tries=attempt.tries,
        )

    def refuse(
        self,
        attempt: Attempt,
        state: TransactionState,
        reason: str,
        *,
        code: ErrorCode = ErrorCode.BUSY,
        retry_ms: int = RETRY_AFTER_MS,
        is_limited: bool = False,
    ) -> Answer:
        """Return a refusal: the statement has no effect and may be retried after `retry_ms`.

        For the limit of an account, the reason names the account and a node, and is only logged.
        """
        now_ms = self._app.clock.now_ms()
        self._app.events.write(
            REQUEST_REFUSED,
            request=attempt.statement.request_id,
            database=attempt.route.database,
            reason=reason,
            code=ErrorCode.LIMITED.value if is_limited else code.value,
            held_ms=now_ms - attempt.arrived_ms,
            primary=attempt.group.primary_lease.primary(now_ms),
            tries=attempt.tries,
            retry_ms=retry_ms,
        )
        told = "the account is over its limit" if is_limited else reason
        return Answer(state=state, error=code, detail=f"{told}; retry after {retry_ms} ms")

    def refuse_stopping(self, attempt: Attempt, *, has_begun: bool) -> Answer:
        """Return a refusal since this node stops; a transaction that has begun is rolled back."""
        return self.refuse(
            attempt,
            attempt.given_up_state,
            STOPPING,
            code=ErrorCode.ABORTED if has_begun else ErrorCode.BUSY,
            retry_ms=STOPPING_RETRY_MS,
        )

    def give_up(self, attempt: Attempt, reason: str) -> Answer:
        """Return the final answer to a statement that is not waited for any longer.

        The connection on which it ran is closed, so that what did not run cannot run later.
        """
        if attempt.is_in_doubt:
            return self.leave_in_doubt(attempt, IDLE)
        code = ErrorCode.ABORTED if attempt.in_transaction else ErrorCode.BUSY
        return self.refuse(
            attempt, attempt.given_up_state, reason, code=code, retry_ms=STOPPING_RETRY_MS
        )

    def leave_in_doubt(self, attempt: Attempt, state: TransactionState) -> Answer:
        """Return the answer to a write whose outcome is not known."""
        return self._unresolved(attempt, state, ErrorCode.IN_DOUBT)

    def time_out(self, attempt: Attempt) -> Answer:
        """Return the answer to a statement that timed out; its transaction is rolled back."""
        if not attempt.in_transaction or attempt.statement.kind is StatementKind.COMMIT:
            return self._unresolved(attempt, IDLE, ErrorCode.TIMEOUT)
        return self.refuse(attempt, FAILED, "no answer in time", code=ErrorCode.ABORTED)

    def _unresolved(self, attempt: Attempt, state: TransactionState, code: ErrorCode) -> Answer:
        now_ms = self._app.clock.now_ms()
        self._app.events.write(
            REQUEST_UNRESOLVED,
            request=attempt.statement.request_id,
            database=attempt.route.database,
            code=code.value,
            held_ms=now_ms - attempt.arrived_ms,
            primary=attempt.group.primary_lease.primary(now_ms),
        )
        return Answer(state=state, error=code, detail="the outcome is not known")
