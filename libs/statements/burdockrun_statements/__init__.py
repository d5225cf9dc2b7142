"""Statements, client sessions, and the state of shared member connections."""

from burdockrun_statements.models import (
    ANSWERED_LOCALLY,
    CONTROL_KINDS,
    HOME_REFUSAL_CODES,
    NOT_RUN_CODES,
    Answer,
    ErrorCode,
    MemberStatus,
    PreparedShape,
    Statement,
    StatementKind,
    TransactionState,
    needs_slot,
)
from burdockrun_statements.sequence import Conclusion, StatementSequence
from burdockrun_statements.session import (
    Applied,
    Commit,
    ConnectionState,
    SessionState,
    name_shape,
    plan_setup,
)

__all__ = [
    "ANSWERED_LOCALLY",
    "CONTROL_KINDS",
    "HOME_REFUSAL_CODES",
    "NOT_RUN_CODES",
    "Answer",
    "Applied",
    "Commit",
    "Conclusion",
    "ConnectionState",
    "ErrorCode",
    "MemberStatus",
    "PreparedShape",
    "SessionState",
    "Statement",
    "StatementKind",
    "StatementSequence",
    "TransactionState",
    "name_shape",
    "needs_slot",
    "plan_setup",
]
