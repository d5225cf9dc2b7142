"""Data connections to one member, within the connection budget of this node."""

from collections.abc import Iterator
from itertools import count

from burdockrun_messages import CloseConnection, Member, OpenConnection, Outbox

from burdockrun_proxy.const import CONNECTION_LINGER_MS, RECONNECT_DELAY_MS, RECONNECT_MAX_DELAY_MS
from burdockrun_proxy.models import Connection, ConnectionState


class ConnectionPool:
    """Keeps as many connections open as the budget allows and closes those beyond it."""

    def __init__(self, member: Member, outbox: Outbox, ids: "count[int]") -> None:
        self.member = member
        self._outbox = outbox
        self._ids = ids
        self._connections: dict[int, Connection] = {}
        self._idle: list[int] = []
        self._closing: set[int] = set()
        self._lingering_until_ms: list[int] = []
        self._retry_at_ms = 0
        self._failures = 0

    def __len__(self) -> int:
        return len(self._connections) + len(self._closing)

    def __iter__(self) -> Iterator[Connection]:
        return iter(tuple(self._connections.values()))

    def find(self, connection_id: int) -> Connection | None:
        """Return a connection of this pool, or None."""
        return self._connections.get(connection_id)

    @property
    def is_down(self) -> bool:
        """Return whether connections fail and none is open."""
        return self._failures > 0 and all(
            connection.state is ConnectionState.OPENING for connection in self
        )

    def has_idle(self) -> bool:
        """Return whether a connection is idle."""
        return bool(self._idle)

    def update_member(self, member: Member) -> None:
        """Apply a new configuration of the member.

        If the address has changed, idle connections are closed, and the others once they are idle,
        whatever the budget.
        """
        old, self.member = self.member, member
        if (old.host, old.port) == (member.host, member.port):
            return
        for connection in self:
            if connection.state is ConnectionState.IDLE:
                self.close(connection.connection_id)
            else:
                connection.outdated = True

    def count_opening(self) -> int:
        """Return how many connections are being opened."""
        return sum(1 for connection in self if connection.state is ConnectionState.OPENING)

    def resize(self, budget: int, now_ms: int) -> None:
        """Open or close connections to match the budget; busy ones are closed once idle."""
        # After a failure only one attempt at a time, to spare an endpoint that is down.
        target = min(budget, 1) if self._failures else budget
        self._lingering_until_ms = [at_ms for at_ms in self._lingering_until_ms if at_ms > now_ms]
        free = budget - len(self) - len(self._lingering_until_ms)
        while free > 0 and len(self) < target and now_ms >= self._retry_at_ms:
            self._open()
            free -= 1
        surplus = len(self._connections) - budget
        while surplus > 0 and self._idle:
            self.close(self._idle[-1])
            surplus -= 1
        for connection in self:
            if connection.state is not ConnectionState.IDLE:
                connection.close_when_idle = surplus > 0
                surplus -= 1 if surplus > 0 else 0

    def mark_open(self, connection_id: int) -> None:
        """Make a newly opened connection available."""
        connection = self._connections.get(connection_id)
        if connection is not None and connection.state is ConnectionState.OPENING:
            self._failures = 0
            self.release(connection)

    def take_idle(self) -> Connection | None:
        """Mark an idle connection as busy and return it, or None."""
        if not self._idle:
            return None
        connection = self._connections[self._idle.pop()]
        connection.state = ConnectionState.BUSY
        return connection

    def release(self, connection: Connection) -> None:
        """Make a connection idle again, or close it when it is beyond the budget."""
        connection.execution = None
        connection.transaction = None
        if connection.close_when_idle or connection.outdated:
            self.close(connection.connection_id)
            return
        connection.state = ConnectionState.IDLE
        self._idle.append(connection.connection_id)

    def close(self, connection_id: int) -> Connection | None:
        """Close a connection, whatever its state, and return it."""
        connection = self.remove(connection_id)
        if connection is not None:
            self._closing.add(connection_id)
            self._outbox.add(CloseConnection(connection_id=connection_id))
        return connection

    def is_closing(self, connection_id: int) -> bool:
        """Return whether a connection is being closed and still counts against the budget."""
        return connection_id in self._closing

    def confirm_closed(self, connection_id: int) -> None:
        """Stop counting a connection whose close has been confirmed."""
        self._closing.discard(connection_id)

    def remove(self, connection_id: int) -> Connection | None:
        """Remove a connection and return it, or None."""
        connection = self._connections.pop(connection_id, None)
        if connection is not None and connection_id in self._idle:
            self._idle.remove(connection_id)
        return connection

    def note_failure(self, now_ms: int) -> bool:
        """Delay the next attempt to open; return whether this is the first failure in a row."""
        delay_ms = RECONNECT_DELAY_MS * 2 ** min(self._failures, 8)
        self._retry_at_ms = now_ms + min(delay_ms, RECONNECT_MAX_DELAY_MS)
        self._failures += 1
        # The endpoint may not have noticed the loss yet and may still count the connection.
        self._lingering_until_ms.append(now_ms + CONNECTION_LINGER_MS)
        return self._failures == 1

    def _open(self) -> None:
        connection_id = next(self._ids)
        self._connections[connection_id] = Connection(
            connection_id=connection_id, state=ConnectionState.OPENING
        )
        self._outbox.add(OpenConnection(connection_id=connection_id, member=self.member))
