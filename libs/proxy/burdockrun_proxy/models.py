"""Data of requests on their way through a proxy."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from burdockrun_messages import (
    Code,
    Execute,
    ForwardStatus,
    GroupRecord,
    LogPosition,
    Outcome,
    StatementAnswer,
    StatementRequest,
    TransactionStep,
)
from burdockrun_sessions import SessionToken


@dataclass(frozen=True, kw_only=True, slots=True)
class HomeReply:
    """What the home of a member says about one request."""

    status: ForwardStatus
    answer: StatementAnswer | None = None
    position: LogPosition | None = None
    lag_ms: int | None = None
    record: GroupRecord | None = None


OnHomeReply = Callable[[HomeReply, int], None]


@dataclass(kw_only=True, slots=True)
class HomeRequest:
    """Request at the home of a member; `deadline_ms` is a point in time.

    `travel_ms` is the time for the way to the home and back. `waited_out_gap` says that the request
    was held while there was no primary. `held_reply` is the reply to a read that is done but waits
    for the proof that the member was still the primary.
    """

    request: StatementRequest
    rank: str
    deadline_ms: int
    required: LogPosition | None
    max_lag_ms: int | None
    on_reply: OnHomeReply
    travel_ms: int = 0
    waited_out_gap: bool = False
    answered: bool = False
    attempts: int = 0
    proof_pending: bool = False
    held_reply: HomeReply | None = None


class ConnectionState(StrEnum):
    """State of a data connection."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"
    PINNED = "pinned"


@dataclass(kw_only=True, slots=True)
class Execution:
    """Statement that was sent on a connection and has no answer yet."""

    work_id: int
    home_request: HomeRequest
    message: Execute
    sent_ms: int
    in_scheduler: bool


@dataclass(kw_only=True, slots=True)
class Connection:
    """Data connection to a member."""

    connection_id: int
    state: ConnectionState
    execution: Execution | None = None
    transaction: str | None = None
    close_when_idle: bool = False


@dataclass(kw_only=True, slots=True)
class Transaction:
    """Open transaction, bound to one connection."""

    transaction_id: str
    connection_id: int
    account: str
    term: int
    last_used_ms: int


@dataclass(kw_only=True, slots=True)
class Pending:
    """Request of a caller that has no answer yet; `deadline_ms` is a point in time.

    `maybe_ran` is set once an attempt was lost whose effect is not known.
    """

    pending_id: int
    caller_id: int
    request: StatementRequest
    rank: str
    rank_order: int
    token: SessionToken
    arrived_ms: int
    deadline_ms: int
    required: LogPosition | None = None
    max_lag_ms: int | None = None
    member: str | None = None
    node: str | None = None
    attempt: int = 0
    maybe_ran: bool = False
    held: bool = False
    waited_out_gap: bool = False
    avoid: set[str] = field(default_factory=set)


def is_write(request: StatementRequest) -> bool:
    """Return whether the request must run at the primary."""
    return request.access == "write" or request.step is not None


def needs_current_data(request: HomeRequest) -> bool:
    """Return whether a read must see every write acknowledged before it arrived."""
    return not is_write(request.request) and request.required is None and request.max_lag_ms is None


def needs_settlement(request: StatementRequest) -> bool:
    """Return whether a lost answer leaves open if the request took effect."""
    if request.step is not None:
        return request.step == TransactionStep.COMMIT
    return request.access == "write"


def refuse(
    request: StatementRequest, code: Code, message: str = "", *, retry_after_ms: int | None = None
) -> StatementAnswer:
    """Return the answer to a request that did not run."""
    return StatementAnswer(
        request_id=request.request_id,
        outcome=Outcome.NOT_RUN,
        code=code,
        message=message,
        session=request.session,
        retry_after_ms=retry_after_ms,
    )


def answer_unknown(request: StatementRequest, message: str) -> StatementAnswer:
    """Return the answer to a request whose effect is not known."""
    return StatementAnswer(
        request_id=request.request_id,
        outcome=Outcome.UNKNOWN,
        code=Code.ANSWER_LOST,
        message=message,
        session=request.session,
    )


def scope_request_id(request: StatementRequest) -> str:
    """Return the request id as stored by the database, unique across client accounts."""
    return f"{request.account}:{request.request_id}"
