"""Data classes of requests, connections and transactions in a proxy."""

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
    """Reply of the home of a member to one request."""

    status: ForwardStatus
    answer: StatementAnswer | None = None
    position: LogPosition | None = None
    lag_ms: int | None = None
    record: GroupRecord | None = None


OnHomeReply = Callable[[HomeReply, int], None]


@dataclass(kw_only=True, slots=True)
class HomeRequest:
    """Request at the home of a member; `deadline_ms` is a point in time.

    `required` is the log position that the member must have reached. `round_trip_ms` is the network
    round trip between entry and home. `waited_out_gap` tells whether the entry delayed the request
    because no member or home could serve it. `deferred_reply` is the reply to a completed read that
    waits until the member is verified as still being the primary, `verified` the result.
    """

    request: StatementRequest
    rank: str
    deadline_ms: int
    required: LogPosition | None
    max_lag_ms: int | None
    on_reply: OnHomeReply
    round_trip_ms: int = 0
    waited_out_gap: bool = False
    answered: bool = False
    park_count: int = 0
    verification_pending: bool = False
    verified: bool = False
    deferred_reply: HomeReply | None = None


class ConnectionState(StrEnum):
    """State of a data connection."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"
    PINNED = "pinned"


@dataclass(kw_only=True, slots=True)
class Execution:
    """Statement that was sent on a connection and is not answered yet.

    `in_scheduler` is False for a statement within a transaction, which takes no scheduler slot.
    """

    work_id: int
    home_request: HomeRequest
    message: Execute
    sent_ms: int
    in_scheduler: bool


@dataclass(kw_only=True, slots=True)
class Connection:
    """Data connection to a member.

    `close_when_idle` is set while the connection is beyond the budget, `outdated` once the address
    of the member has changed.
    """

    connection_id: int
    state: ConnectionState
    execution: Execution | None = None
    transaction: str | None = None
    close_when_idle: bool = False
    outdated: bool = False


@dataclass(kw_only=True, slots=True)
class Transaction:
    """Open transaction, bound to one connection."""

    transaction_id: str
    connection_id: int
    account: str
    term: int
    last_used_ms: int


@dataclass(kw_only=True, slots=True)
class PendingRequest:
    """Request of a caller that is not answered yet; `deadline_ms` is a point in time.

    `required` is the log position that a member must have reached. `maybe_ran` is set once the
    answer to an attempt that may have taken effect was lost. `avoid` names the members and nodes
    that must not be tried again before the next wait.
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
    awaiting_route: bool = False
    waited_out_gap: bool = False
    avoid: set[str] = field(default_factory=set)


def is_write(request: StatementRequest) -> bool:
    """Return whether the request must run at the primary."""
    return request.access == "write" or request.step is not None


def needs_current_data(request: HomeRequest) -> bool:
    """Return whether a read must see every write acknowledged before it arrived."""
    return not is_write(request.request) and request.required is None and request.max_lag_ms is None


def needs_bounded_age(request: HomeRequest) -> bool:
    """Return whether a read must see every write acknowledged `max_lag_ms` before it."""
    return not is_write(request.request) and request.max_lag_ms is not None


def needs_settlement(request: StatementRequest) -> bool:
    """Return whether the effect of a request is unknown when its answer is lost."""
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
    """Return the answer to a request that may or may not have taken effect."""
    return StatementAnswer(
        request_id=request.request_id,
        outcome=Outcome.UNKNOWN,
        code=Code.ANSWER_LOST,
        message=message,
        session=request.session,
    )


def scope_request_id(request: StatementRequest) -> str:
    """Return the request id as stored by the database, which is unique across client accounts."""
    return f"{request.account}:{request.request_id}"
