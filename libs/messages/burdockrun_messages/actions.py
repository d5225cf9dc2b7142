"""Actions that the decision logic asks the program to carry out."""

from dataclasses import dataclass, field

from burdockrun_base import LogEvent

from burdockrun_messages.endpoints import ControlOperation, Execute
from burdockrun_messages.models import Member, NodeInfo
from burdockrun_messages.peers import PeerMessage
from burdockrun_messages.platform import PlatformOperation
from burdockrun_messages.requests import StatementAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class SendAnswer:
    """Answers the caller; each received request is answered exactly once."""

    caller_id: int
    answer: StatementAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenConnection:
    """Opens a data connection to a member."""

    connection_id: int
    member: Member


@dataclass(frozen=True, kw_only=True, slots=True)
class CloseConnection:
    """Closes a data connection; an open transaction on it rolls back."""

    connection_id: int


@dataclass(frozen=True, kw_only=True, slots=True)
class SendExecute:
    """Sends a statement on an idle data connection."""

    connection_id: int
    message: Execute


@dataclass(frozen=True, kw_only=True, slots=True)
class CallControl:
    """Calls a member's control port; ends with `ControlAnswered` within `timeout_ms`."""

    call_id: int
    member: Member
    operation: ControlOperation
    timeout_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class SendPeer:
    """Sends a message to a peer; delivery is not guaranteed."""

    peer: NodeInfo
    message: PeerMessage


@dataclass(frozen=True, kw_only=True, slots=True)
class CallPlatform:
    """Calls the platform; ends with `PlatformAnswered` within `timeout_ms`."""

    call_id: int
    operation: PlatformOperation
    timeout_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class WakeAt:
    """Asks for a `TimerFired` at a time in ms, in addition to those already asked for."""

    at_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordLog:
    """Writes a numbered log event."""

    event: LogEvent
    fields: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordMetric:
    """Adds to a counter, or records a duration when `duration_ms` is set."""

    name: str
    count: int = 1
    duration_ms: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainFinished:
    """Reports that nothing is in flight any more, so that the process may exit."""


Action = (
    SendAnswer
    | OpenConnection
    | CloseConnection
    | SendExecute
    | CallControl
    | SendPeer
    | CallPlatform
    | WakeAt
    | RecordLog
    | RecordMetric
    | DrainFinished
)
