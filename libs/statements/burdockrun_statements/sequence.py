"""Statements sent to a member for one client statement, and what their answers prove of each."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

from burdockrun_statements.models import (
    HOME_REFUSAL_CODES,
    NOT_RUN_CODES,
    Answer,
    ErrorCode,
    Statement,
    StatementKind,
    TransactionState,
)

# Setup without which a statement would run with other session values.
_VALUE_KINDS: Final = frozenset({StatementKind.RESET, StatementKind.SET})
# Codes of a refused setup that would be wrong about the statement behind it, which has not run.
_SETUP_ONLY_CODES: Final = frozenset(
    {
        ErrorCode.FAILED,
        ErrorCode.TIMEOUT,
        ErrorCode.IN_DOUBT,
        ErrorCode.MALFORMED,
        ErrorCode.UNKNOWN_NAME,
    }
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Conclusion:
    """Answers to the statements behind the setup, and whether the connection can be kept.

    A connection that cannot be kept must be closed, which rolls back its open transaction.
    `refused` is the kind of the setup statement or BEGIN that did not succeed, or EXECUTE if the
    member does not know the prepared statement; `refusal` is its code, None for a BEGIN that opened
    nothing. With `forgets_setup` the member has dropped what was set up on the connection, which
    must be reset before its next use.
    """

    answers: tuple[Answer, ...]
    keeps_connection: bool = True
    forgets_setup: bool = False
    refused: StatementKind | None = None
    refusal: ErrorCode | None = None


class StatementSequence:
    """Setup, a BEGIN if any, and the statement itself, on one member connection.

    The caller sends what `take_sendable` returns in one write and adds the answers to it, until
    there is nothing to send; then it calls `conclude`.
    """

    def __init__(
        self,
        setup: Sequence[Statement],
        statements: Sequence[Statement],
        *,
        has_effect: bool,
        through_home: bool = False,
    ) -> None:
        """`has_effect` says that the last statement can change data for good when it runs.

        `through_home` says that the receiver is a home, which follows this sequence itself.
        """
        self._setup = list(setup)
        has_begin = len(statements) > 1 and statements[0].kind is StatementKind.BEGIN
        self._begin = statements[0] if has_begin else None
        self._statements = list(statements)
        self._has_effect = has_effect
        guards = [*setup, *statements[: int(has_begin)]]
        rest = list(statements[int(has_begin) :])
        waits = _must_wait(setup, self._begin, has_effect, through_home)
        self._parts = [guards, rest] if waits else [[*guards, *rest]]
        self._answers: list[Answer] = []
        self._has_sent_all = False

    @property
    def may_have_run(self) -> bool:
        """Return whether the last statement was sent and not refused by the member."""
        is_answered = len(self._answers) == len(self._setup) + len(self._statements)
        is_refused = is_answered and self._answers[-1].error in NOT_RUN_CODES
        return self._has_sent_all and not is_refused

    @property
    def has_more(self) -> bool:
        """Return whether statements are left that wait for success of those before them."""
        return bool(self._parts)

    def take_sendable(self) -> list[Statement]:
        """Return the statements that may be sent now, an empty list if there are none."""
        if not self._parts or self._find_refused() is not None:
            return []
        part = self._parts.pop(0)
        self._has_sent_all = not self._parts
        return part

    def add_answers(self, answers: Sequence[Answer]) -> None:
        """Add the answers to the statements that were sent last."""
        self._answers += answers

    def conclude(self) -> Conclusion:
        """Return what is certain about the statements once all that was sent has been answered."""
        refused = self._find_refused()
        if refused is not None:
            kind, refusal = refused
            conclusion = self._conclude_refused(kind, refusal)
            return replace(conclusion, refused=kind, refusal=refusal.error)
        last = self._answers[-1]
        if self._begin is not None and self._ran_outside(last):
            return self._conclude_unwanted_run(Answer(state=last.state, error=ErrorCode.BUSY))
        if last.error is ErrorCode.UNKNOWN_NAME:
            return replace(
                self._refuse(last, keeps_connection=True),
                forgets_setup=True,
                refused=self._statements[-1].kind,
                refusal=last.error,
            )
        return Conclusion(answers=tuple(self._answers[len(self._setup) :]))

    def _conclude_refused(self, kind: StatementKind, refusal: Answer) -> Conclusion:
        """Conclude when a setup statement or BEGIN did not succeed."""
        if not self.may_have_run:
            keeps = kind is StatementKind.BEGIN and refusal.error is not None
            return self._refuse(refusal, keeps_connection=keeps)
        if kind is StatementKind.PREPARE:
            # The name was known, and it is that of the shape.
            return Conclusion(answers=tuple(self._answers[len(self._setup) :]))
        return self._conclude_unwanted_run(refusal)

    def _find_refused(self) -> tuple[StatementKind, Answer] | None:
        """Return the setup statement or BEGIN that did not succeed; a PREPARE only if no other."""
        guards = [*self._setup, *([self._begin] if self._begin is not None else [])]
        refused = [
            (sent.kind, answer)
            for sent, answer in zip(guards, self._answers, strict=False)
            if answer.error is not None
            or (sent is self._begin and answer.state is not TransactionState.OPEN)
        ]
        return min(refused, key=lambda one: one[0] is StatementKind.PREPARE, default=None)

    def _ran_outside(self, answer: Answer) -> bool:
        """Return whether a transaction's first statement ran outside of the transaction."""
        if self._statements[-1].kind is StatementKind.COMMIT:
            return False
        if answer.error is None:
            return answer.state is not TransactionState.OPEN
        return answer.state is TransactionState.IDLE and answer.error not in NOT_RUN_CODES

    def _conclude_unwanted_run(self, refusal: Answer) -> Conclusion:
        """Conclude for a statement that may have run with other values or outside.

        Nothing is kept of a read, so it may be repeated; it has failed, as it has run.
        """
        error = ErrorCode.IN_DOUBT if self._has_effect else ErrorCode.FAILED
        return self._refuse(replace(refusal, error=error), keeps_connection=False)

    def _refuse(self, refusal: Answer, *, keeps_connection: bool) -> Conclusion:
        code = refusal.error
        if not self.may_have_run:
            code = ErrorCode.BUSY if code is None or code in _SETUP_ONLY_CODES else code
        answer = Answer(
            state=self._answers[-1].state if keeps_connection else TransactionState.FAILED,
            error=code,
            detail=refusal.detail if code in HOME_REFUSAL_CODES else "",
            retry_ms=refusal.retry_ms,
        )
        return Conclusion(
            answers=(answer,) * len(self._statements), keeps_connection=keeps_connection
        )


def _must_wait(
    setup: Sequence[Statement], begin: Statement | None, has_effect: bool, through_home: bool
) -> bool:
    """Return whether the statement may be sent only after its setup and BEGIN have succeeded.

    A member that refuses one of them still runs what follows in the same write. Of a read that ran
    with other values nothing is kept, and its rows are dropped.
    """
    if begin is not None:
        return has_effect or not through_home
    sets_values = any(statement.kind in _VALUE_KINDS for statement in setup)
    return has_effect and sets_values and not through_home
