"""Open transactions at one member, each bound to one connection."""

from itertools import count

from burdockrun_messages import (
    ExecuteAnswer,
    ExecuteStatus,
    Outbox,
    StatementRequest,
    TransactionStep,
)

from burdockrun_proxy.const import TRANSACTION_EXPIRED, TRANSACTION_IDLE_TIMEOUT_MS
from burdockrun_proxy.models import Connection, ConnectionState, Execution, Transaction
from burdockrun_proxy.pool import ConnectionPool

SEPARATOR = "/"


class TransactionTable:
    """Binds transactions to connections and rolls back idle ones."""

    def __init__(
        self, node: str, member: str, pool: ConnectionPool, outbox: Outbox, ids: "count[int]"
    ) -> None:
        self._node = node
        self._member = member
        self._pool = pool
        self._outbox = outbox
        self._ids = ids
        self._open: dict[str, Transaction] = {}

    def __len__(self) -> int:
        return len(self._open)

    def can_begin(self, budget: int) -> bool:
        """Return whether another transaction may begin.

        If the budget allows, one connection is reserved for single statements.
        """
        return len(self._open) < max(budget - 1, 1)

    def find_connection(self, transaction_id: str, account: str) -> Connection | None:
        """Return the connection of an open transaction of this client account, or None."""
        transaction = self._open.get(transaction_id)
        if transaction is None or transaction.account != account:
            return None
        return self._pool.find(transaction.connection_id)

    def statement_answered(
        self, connection: Connection, execution: Execution, answer: ExecuteAnswer, now_ms: int
    ) -> None:
        """Open, keep alive or end a transaction after the answer to one of its statements."""
        request = execution.home_request.request
        if request.step is TransactionStep.BEGIN:
            self._begin(connection, execution, answer, now_ms)
            return
        if connection.transaction is None:
            return
        if request.step in (TransactionStep.COMMIT, TransactionStep.ROLLBACK):
            self._end(connection.transaction)
            return
        if answer.status is ExecuteStatus.WRONG_TERM:
            self._roll_back(connection.transaction)
            return
        self._open[connection.transaction].last_used_ms = now_ms

    def find_transaction_id(self, execution: Execution, request: StatementRequest) -> str | None:
        """Return the transaction id to put into the answer to a request."""
        if request.step is TransactionStep.BEGIN:
            return self._build_id(execution)
        return request.transaction

    def connection_lost(self, connection: Connection) -> None:
        """Remove the transaction of a closed connection."""
        if connection.transaction is not None:
            self._open.pop(connection.transaction, None)

    def end_all(self) -> None:
        """Roll back every transaction that has no statement in flight."""
        for transaction in tuple(self._open.values()):
            connection = self._pool.find(transaction.connection_id)
            if connection is None or connection.execution is None:
                self._roll_back(transaction.transaction_id)

    def expire(self, now_ms: int) -> None:
        """Roll back transactions that have had no statement for too long."""
        for transaction in tuple(self._open.values()):
            connection = self._pool.find(transaction.connection_id)
            busy = connection is not None and connection.execution is not None
            if busy or now_ms - transaction.last_used_ms < TRANSACTION_IDLE_TIMEOUT_MS:
                continue
            self._outbox.log(TRANSACTION_EXPIRED, transaction=transaction.transaction_id)
            self._roll_back(transaction.transaction_id)

    def _begin(
        self, connection: Connection, execution: Execution, answer: ExecuteAnswer, now_ms: int
    ) -> None:
        if answer.status is not ExecuteStatus.OK:
            return
        transaction_id = self._build_id(execution)
        connection.transaction = transaction_id
        connection.state = ConnectionState.PINNED
        self._open[transaction_id] = Transaction(
            transaction_id=transaction_id,
            connection_id=connection.connection_id,
            account=execution.home_request.request.account,
            term=execution.message.term,
            last_used_ms=now_ms,
        )
        if execution.home_request.answered:
            self._roll_back(transaction_id)

    def _build_id(self, execution: Execution) -> str:
        return SEPARATOR.join((self._node, self._member, str(execution.message.execution_id)))

    def _end(self, transaction_id: str) -> None:
        transaction = self._open.pop(transaction_id)
        connection = self._pool.find(transaction.connection_id)
        if connection is not None:
            connection.transaction = None

    def _roll_back(self, transaction_id: str) -> None:
        transaction = self._open.pop(transaction_id)
        self._pool.close(transaction.connection_id)


def parse_transaction_id(transaction_id: str) -> tuple[str, str] | None:
    """Return the node and member of a transaction id, or None when it is malformed.

    >>> parse_transaction_id("node-1/wende-1-a/17")
    ('node-1', 'wende-1-a')
    """
    parts = transaction_id.split(SEPARATOR)
    if len(parts) != 3 or not all(parts):
        return None
    return parts[0], parts[1]
