"""Statements of clients, answers of members, and the states that they carry."""

from dataclasses import dataclass
from enum import Enum

from burdockrun_base import LogPosition


class StatementKind(Enum):
    """What a statement asks for."""

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


class TransactionState(Enum):
    """State of a session or connection after an answer."""

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


# Answers of a member which say that the statement did not run there.
NOT_RUN = frozenset(
    {
        ErrorCode.BUSY,
        ErrorCode.UNKNOWN_NAME,
        ErrorCode.LAGGING,
        ErrorCode.READ_ONLY,
        ErrorCode.MALFORMED,
    }
)

# Statements that the entry answers itself; a member learns of them with the next one.
ANSWERED_BY_ENTRY = frozenset(
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
    """Statement shape behind a prepared name."""

    writes: bool
    shape: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Statement:
    """One statement of a client or of the entry itself.

    `name` is the item, value name or prepared name; `argument` the text after it, if any. An empty
    `request_id` marks statements of the entry.
    """

    kind: StatementKind
    request_id: str = ""
    name: str = ""
    argument: str | None = None
    read_only: bool = False
    shape: PreparedShape | None = None
    term: int = 0
    after: LogPosition | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberStatus:
    """What a member says of itself; `received` is in its log, which it may apply later."""

    is_primary: bool
    term: int
    received: LogPosition
    held_term: int
    lag_ms: int
    busy: int
    connections: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """Whole answer to one statement; `error` is None for success."""

    state: TransactionState
    position: LogPosition | None = None
    rows: tuple[str, ...] = ()
    signature: str = ""
    error: ErrorCode | None = None
    detail: str = ""
