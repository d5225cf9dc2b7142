"""Data model of client statements and of the answers and statuses of members."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from burdockrun_base import LogPosition


class StatementKind(Enum):
    """Kind of a statement."""

    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    EXECUTE = "execute"
    SET = "set"
    PREPARE = "prepare"
    CLOSE = "close"
    RESET = "reset"
    STATUS = "status"
    PAUSE = "pause"
    RESUME = "resume"
    STEP_DOWN = "step_down"


# Statements of gateways themselves, which do not wait behind those of clients.
CONTROL_KINDS = frozenset(
    {
        StatementKind.STATUS,
        StatementKind.PAUSE,
        StatementKind.RESUME,
        StatementKind.STEP_DOWN,
    }
)

# Statements that a member answers at once: they need none of its slots.
_KINDS_WITHOUT_SLOT = frozenset(
    {
        StatementKind.BEGIN,
        StatementKind.ROLLBACK,
        StatementKind.SET,
        StatementKind.PREPARE,
        StatementKind.CLOSE,
        StatementKind.RESET,
    }
)


class TransactionState(Enum):
    """Transaction state of a session or connection after an answer."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class ErrorCode(Enum):
    """Why a statement has no result."""

    BUSY = "busy"
    ABORTED = "aborted"
    LAGGING = "lagging"
    READ_ONLY = "read_only"
    WRONG_MEMBER = "wrong_member"
    CONNECTION_LIMIT = "connection_limit"
    FAILED = "failed"
    UNKNOWN_NAME = "unknown_name"
    TIMEOUT = "timeout"
    DENIED = "denied"
    NO_DATABASE = "no_database"
    TOO_LARGE = "too_large"
    MALFORMED = "malformed"
    IN_DOUBT = "in_doubt"
    OVERLOADED = "overloaded"  # refused by the queue of a home
    LIMITED = "limited"  # refused by the limit of the account


# Refusals of a home that say when to retry; clients get them as BUSY.
HOME_REFUSAL_CODES = frozenset({ErrorCode.OVERLOADED, ErrorCode.LIMITED})

# Error codes with which a member or home says that it did not run the statement.
NOT_RUN_CODES = frozenset(
    {
        ErrorCode.BUSY,
        ErrorCode.UNKNOWN_NAME,
        ErrorCode.LAGGING,
        ErrorCode.READ_ONLY,
        ErrorCode.MALFORMED,
    }
).union(HOME_REFUSAL_CODES)

# Statements that the gateway answers itself. Their effect is sent to a member before the next
# statement that needs one.
ANSWERED_LOCALLY = frozenset(
    {
        StatementKind.BEGIN,
        StatementKind.ROLLBACK,
        StatementKind.SET,
        StatementKind.PREPARE,
        StatementKind.CLOSE,
    }
)


@dataclass(frozen=True, kw_only=True, slots=True)
class PreparedShape:
    """Shape of a prepared statement, and whether it writes."""

    writes: bool
    shape: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Statement:
    """One statement of a client or of the gateway itself.

    `name` is the name of an item, session value or prepared statement; `argument` is the text after
    it, if any. `request_id` is empty for statements of the gateway. `after` is the position that
    the member must have applied before it runs the statement.
    """

    kind: StatementKind
    request_id: str = ""
    name: str = ""
    argument: str | None = None
    read_only: bool = False
    shape: PreparedShape | None = None
    term: int = 0
    after: LogPosition | None = None


def needs_slot(statements: Iterable[Statement]) -> bool:
    """Return whether a member has to work on one of the statements, for which it needs a slot."""
    return any(one.kind not in _KINDS_WITHOUT_SLOT for one in statements)


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberStatus:
    """Status that a member reports; it may not have applied all of its log up to `received` yet."""

    is_primary: bool
    term: int
    received: LogPosition
    held_term: int
    lag_ms: int
    busy: int
    connections: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """Complete answer to one statement; `error` is None on success.

    `retry_ms` says when to retry after one of the `HOME_REFUSAL_CODES`; 0 means that it is unknown.
    """

    state: TransactionState
    position: LogPosition | None = None
    rows: tuple[str, ...] = ()
    signature: str = ""
    error: ErrorCode | None = None
    detail: str = ""
    retry_ms: int = 0
