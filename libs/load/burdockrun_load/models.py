"""Results of requests, which the targets return and the recorder counts."""

from dataclasses import dataclass

from burdockrun_messages import Outcome, StatementAnswer, StatementRequest

from burdockrun_load.const import CODE_NO_ANSWER, CODE_UNREACHABLE


@dataclass(frozen=True, kw_only=True, slots=True)
class CallResult:
    """Result of one request; `answer` is None when none was received.

    `code` is the code of the answer, the `ExecuteStatus` from a member, or a `CODE_` constant.
    """

    outcome: Outcome
    code: str
    answer: StatementAnswer | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class CallRecord:
    """One finished request; times in µs since the start of the run."""

    request: StatementRequest
    phase: str
    result: CallResult
    intended_us: int
    finished_us: int
    from_replica: bool | None = None


UNREACHABLE = CallResult(outcome=Outcome.NOT_RUN, code=CODE_UNREACHABLE)
NO_ANSWER = CallResult(outcome=Outcome.UNKNOWN, code=CODE_NO_ANSWER)
