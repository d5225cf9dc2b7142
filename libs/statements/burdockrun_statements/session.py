"""State of client sessions, and of the member connections that they share."""

from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from typing import Final
from urllib.parse import quote

from burdockrun_base import LogPosition

from burdockrun_statements.models import PreparedShape, Statement, StatementKind

# Memory of a value or a prepared statement beside its name and text.
ENTRY_BYTES: Final = 256
# Memory of the prepared statements of a member connection from which on it is reset for the next
# one; about 1,000 short shapes.
MAX_PREPARED_BYTES: Final = 262_144
# Longer names are replaced by a digest, so that a name adds little to a message.
MAX_NAME_LENGTH: Final = 64
_DIGEST_BYTES: Final = 20


class Applied(Enum):
    """Outcome of a session statement that the gateway answers itself."""

    DONE = "done"
    UNKNOWN_NAME = "unknown_name"


@dataclass(frozen=True, kw_only=True, slots=True)
class Commit:
    """Last commit of a session; `epoch` identifies the leadership in which it was acknowledged."""

    position: LogPosition
    epoch: str
    at_ms: int


@dataclass(kw_only=True, slots=True)
class SessionState:
    """Values and prepared statements of one client session, and its last commit.

    `unsent` maps the names of values that no member has received yet to the ids of the requests
    that set them.
    """

    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedShape] = field(default_factory=dict)
    unsent: dict[str, str] = field(default_factory=dict)
    commit: Commit | None = None

    held_bytes: int = 0

    def count_after(self, statement: Statement) -> int:
        """Return what `held_bytes` is once a statement has been applied."""
        name = statement.name
        if statement.kind is StatementKind.SET:
            before = _count_entry(name, self.values.get(name))
            return self.held_bytes - before + _count_entry(name, statement.argument or "")
        shape = self.prepared.get(name)
        before = _count_entry(name, shape.shape if shape is not None else None)
        after = statement.shape.shape if statement.shape is not None else None
        return self.held_bytes - before + _count_entry(name, after)

    def apply(self, statement: Statement) -> Applied:
        """Apply a statement that changes only the session."""
        self.held_bytes = self.count_after(statement)
        if statement.kind is StatementKind.SET:
            self.values[statement.name] = statement.argument or ""
            self.unsent[statement.name] = statement.request_id
        elif statement.kind is StatementKind.PREPARE and statement.shape is not None:
            self.prepared[statement.name] = statement.shape
        elif self.prepared.pop(statement.name, None) is None:
            return Applied.UNKNOWN_NAME
        return Applied.DONE


def _count_entry(name: str, text: str | None) -> int:
    return 0 if text is None else len(name) + len(text) + ENTRY_BYTES


@dataclass(kw_only=True, slots=True)
class ConnectionState:
    """Values and prepared statements that are set on a member connection.

    With `needs_reset` the member may lack some of them, so a RESET comes before the next use.
    """

    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedShape] = field(default_factory=dict)
    prepared_bytes: int = 0
    needs_reset: bool = False

    def reset(self) -> None:
        """Clear the state, as the member does on RESET."""
        self.values.clear()
        self.prepared.clear()
        self.prepared_bytes = 0
        self.needs_reset = False

    def add_prepared(self, name: str, shape: PreparedShape) -> None:
        """Add a prepared statement."""
        self.prepared[name] = shape
        self.prepared_bytes += _count_entry(name, shape.shape)

    def count_setup_statements(self, session: SessionState) -> int:
        """Return how many statements set up the connection for `session`."""
        values = session.values
        if self.needs_reset or any(name not in values for name in self.values):
            return 1 + len(values)
        return sum(1 for name, value in values.items() if self.values.get(name) != value)


def name_shape(shape: PreparedShape) -> str:
    """Return the name under which a shape is prepared on member connections.

    Sessions with the same shape share it, so the names that clients choose never collide there.
    Different shapes have different names, of letters, digits and `_.-~%#` only: a shape may have
    blanks, which would end the name.

    >>> name_shape(PreparedShape(writes=True, shape="q2c"))
    'w_q2c'
    >>> name_shape(PreparedShape(writes=False, shape="q1 READ q2"))
    'r_q1%20READ%20q2'
    """
    name = quote(shape.shape, safe="")
    if len(name) > MAX_NAME_LENGTH:
        # `quote` returns no number sign.
        name = f"#{blake2b(shape.shape.encode(), digest_size=_DIGEST_BYTES).hexdigest()}"
    return f"{'w' if shape.writes else 'r'}_{name}"


def plan_setup(
    connection: ConnectionState,
    session: SessionState,
    shape: PreparedShape | None,
    *,
    may_reset: bool = True,
) -> list[Statement]:
    """Return the statements that set up a connection for a session, and update the state of both.

    A connection with values that the session does not have, or that needs a reset, is reset first.
    With `may_reset`, so is one that holds many prepared statements and lacks `shape`.
    """
    setup: list[Statement] = []
    has_foreign_values = any(name not in session.values for name in connection.values)
    lacks_shape = shape is not None and name_shape(shape) not in connection.prepared
    is_full = connection.prepared_bytes >= MAX_PREPARED_BYTES
    is_due = connection.needs_reset or has_foreign_values
    if is_due or (may_reset and lacks_shape and is_full):
        setup.append(Statement(kind=StatementKind.RESET))
        connection.reset()
    for name, value in session.values.items():
        if connection.values.get(name) != value:
            request_id = session.unsent.pop(name, "")
            setup.append(
                Statement(kind=StatementKind.SET, request_id=request_id, name=name, argument=value)
            )
            connection.values[name] = value
    if shape is not None:
        name = name_shape(shape)
        if name not in connection.prepared:
            setup.append(Statement(kind=StatementKind.PREPARE, name=name, shape=shape))
            connection.add_prepared(name, shape)
    return setup
