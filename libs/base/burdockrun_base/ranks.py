"""Work ranks and the reasons of answers, which messages and admission share."""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, kw_only=True, slots=True)
class Rank:
    """Work rank; `order` 0 is the most urgent, `floor` is a share of the slots from 0 to 1."""

    name: str
    order: int
    target_ms: int
    worth: float
    floor: float


class Code(StrEnum):
    """Reason of an answer; a value is never renamed, as clients depend on it."""

    OK = "ok"
    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNKNOWN_ACCOUNT = "unknown_account"
    UNKNOWN_DATABASE = "unknown_database"
    UNKNOWN_RANK = "unknown_rank"
    BAD_SESSION = "bad_session"
    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    NO_CONFIGURATION = "no_configuration"
    NO_MEMBER_CURRENT = "no_member_current"
    NO_PRIMARY = "no_primary"
    UNKNOWN_TRANSACTION = "unknown_transaction"
    TRANSACTION_ENDED = "transaction_ended"
    STATEMENT_ERROR = "statement_error"
    DUPLICATE_CONFLICT = "duplicate_conflict"
    ANSWER_LOST = "answer_lost"
    RETRY_BUDGET = "retry_budget"
