"""Attempts to run one client statement on the members of a group."""

from dataclasses import dataclass, field
from typing import Final

from burdockrun_groups import Route
from burdockrun_statements import PreparedShape, Statement, StatementKind, TransactionState

from burdockrun_gateway.group import Group
from burdockrun_gateway.ports import AcquireFault

IDLE: Final = TransactionState.IDLE
OPEN: Final = TransactionState.OPEN
FAILED: Final = TransactionState.FAILED


@dataclass(kw_only=True, slots=True)
class Attempt:
    """State of one client statement while members are tried for it.

    `started_ms` is when the statement, or its transaction, arrived. `begin` is set for the first
    statement of a transaction and is sent before it.
    """

    statement: Statement
    shape: PreparedShape | None
    route: Route
    group: Group
    arrived_ms: int
    started_ms: int
    to_primary: bool
    in_transaction: bool = False
    begin: Statement | None = None
    # Identifies the leadership of the primary when the statement, or its transaction, was placed.
    epoch: str = ""
    excluded: set[str] = field(default_factory=set)
    tries: int = 0
    waited_ms: int = 0
    # Refusal by a replica's home, after which another member is tried once.
    refusal: AcquireFault | None = None
    # Whether the statement was sent, and no member has answered that it did not run.
    may_have_run: bool = False
    # Whether it commits a transaction that has written.
    commits_writes: bool = False

    @property
    def writes(self) -> bool:
        """Return whether the statement changes data."""
        return is_write(self.statement, self.shape)

    @property
    def proves_primary(self) -> bool:
        """Return whether a member that does not lead refuses the statement."""
        if self.begin is not None:
            return not self.begin.read_only
        return self.writes or self.in_transaction

    @property
    def is_in_doubt(self) -> bool:
        """Return whether the statement may have changed data for good."""
        is_final = self.commits_writes or (self.writes and not self.in_transaction)
        return is_final and self.may_have_run

    @property
    def given_up_state(self) -> TransactionState:
        """Return the state of the session after its transaction, if any, was rolled back."""
        is_failed = self.in_transaction and self.statement.kind is not StatementKind.COMMIT
        return FAILED if is_failed else IDLE

    @property
    def refused_state(self) -> TransactionState:
        """Return the transaction state of the session after a refusal."""
        return FAILED if self.in_transaction else IDLE

    def left_ms(self, share: float, now_ms: int) -> float:
        """Return the time left at `now_ms` of `share` of the route's target."""
        return share * self.route.target_ms - (now_ms - self.arrived_ms)


def is_write(statement: Statement, shape: PreparedShape | None) -> bool:
    """Return whether a statement changes data; `shape` is that of its prepared name."""
    return statement.kind is StatementKind.WRITE or (shape is not None and shape.writes)
