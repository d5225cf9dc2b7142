"""Outcomes, codes and limits of the messages."""

from enum import StrEnum
from typing import Final

MAX_BODY_BYTES: Final = 256 * 1024
MAX_DEADLINE_MS: Final = 600_000
MAX_NAME_LENGTH: Final = 200
# Levels of lists and objects in a value. The codec reads 200 for a whole message.
MAX_VALUE_DEPTH: Final = 100
# Largest term, index, number or time in ms; larger ones overflow when rates are computed.
MAX_COUNT: Final = 2**63 - 1


class Access(StrEnum):
    """Whether a statement reads or writes."""

    READ = "read"
    WRITE = "write"


class TransactionStep(StrEnum):
    """Step of a transaction that a statement performs."""

    BEGIN = "begin"
    STATEMENT = "statement"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class Outcome(StrEnum):
    """What happened to a request."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ExecuteStatus(StrEnum):
    """Result of one statement as its member reports it."""

    OK = "ok"
    ERROR = "error"
    BEHIND = "behind"
    WRONG_TERM = "wrong_term"
    NOT_PRIMARY = "not_primary"
    CANCELLED = "cancelled"
    CONFLICT = "conflict"


class MemberRole(StrEnum):
    """Role of a database member within its term."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


class AckRule(StrEnum):
    """Which members must hold a write before it is acknowledged."""

    MAJORITY = "majority"
    PRIMARY = "primary"


class GroupState(StrEnum):
    """State of a term of a database group."""

    FENCING = "fencing"
    ACTIVE = "active"
