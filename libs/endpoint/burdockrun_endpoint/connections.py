"""Data connections of a member and the transactions on them."""

from dataclasses import dataclass, field

from burdockrun_messages import JsonValue

from burdockrun_endpoint.log import EntryLog
from burdockrun_endpoint.models import Change


@dataclass(kw_only=True, slots=True)
class Transaction:
    """Buffered writes of one transaction, invisible to others until its commit.

    `versions` maps each key read or written to the log index of its last change, as of the
    transaction's first access to the key.
    """

    term: int
    writes: dict[str, JsonValue] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)

    def read(self, log: EntryLog, key: str) -> JsonValue:
        """Return the value of a key, with the buffered writes applied."""
        self.versions.setdefault(key, log.changed_at.get(key, 0))
        return self.writes[key] if key in self.writes else log.data.get(key)

    def write(self, log: EntryLog, change: Change) -> None:
        """Buffer one change."""
        self.versions.setdefault(change.key, log.changed_at.get(change.key, 0))
        self.writes[change.key] = change.value

    def has_conflict(self, log: EntryLog) -> bool:
        """Return whether another commit has changed a key since this transaction accessed it."""
        return any(log.changed_at.get(key, 0) != index for key, index in self.versions.items())

    def changes(self) -> tuple[Change, ...]:
        """Return the buffered changes."""
        return tuple(Change(key=key, value=value) for key, value in self.writes.items())


class Connections:
    """Open data connections, at most `limit`, and the transaction of each.

    `peak_open` is the highest number open at once, `refused` counts those refused by the limit.
    """

    def __init__(self, limit: int | None) -> None:
        self.limit = limit
        self.peak_open = 0
        self.refused = 0
        self._transactions: dict[int, Transaction | None] = {}

    def __contains__(self, connection_id: int) -> bool:
        return connection_id in self._transactions

    def __len__(self) -> int:
        return len(self._transactions)

    def open(self, connection_id: int) -> bool:
        """Register a connection; return False when the limit is reached."""
        if self.limit is not None and len(self._transactions) >= self.limit:
            self.refused += 1
            return False
        self._transactions[connection_id] = None
        self.peak_open = max(self.peak_open, len(self._transactions))
        return True

    def close(self, connection_id: int) -> None:
        """Remove a connection and roll back its transaction."""
        self._transactions.pop(connection_id, None)

    def clear(self) -> None:
        """Close all connections."""
        self._transactions.clear()

    def begin_transaction(self, connection_id: int, term: int) -> bool:
        """Start a transaction; return False when the connection already has one."""
        if self._transactions.get(connection_id) is not None:
            return False
        self._transactions[connection_id] = Transaction(term=term)
        return True

    def find_transaction(self, connection_id: int) -> Transaction | None:
        """Return the open transaction of a connection, or None."""
        return self._transactions.get(connection_id)

    def clear_transaction(self, connection_id: int) -> None:
        """Remove the transaction of a connection without applying its writes."""
        if connection_id in self._transactions:
            self._transactions[connection_id] = None

    def clear_transactions(self) -> None:
        """Roll back all transactions."""
        for connection_id in self._transactions:
            self._transactions[connection_id] = None
