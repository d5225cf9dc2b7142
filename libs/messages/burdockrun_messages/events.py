"""Events that the program passes to the decision logic."""

from dataclasses import dataclass

from burdockrun_messages.endpoints import ControlReply, ExecuteAnswer
from burdockrun_messages.peers import PeerMessage
from burdockrun_messages.platform import PlatformReply
from burdockrun_messages.requests import StatementRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class Started:
    """The process has started and can send and receive."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestReceived:
    """A caller sent a request; `caller_id` identifies it in `SendAnswer`."""

    caller_id: int
    request: StatementRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerGone:
    """The caller no longer waits for its answer."""

    caller_id: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionOpened:
    """A data connection is ready."""

    connection_id: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionClosed:
    """A data connection was closed or could not be opened."""

    connection_id: int
    reason: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class ExecuteAnswered:
    """A member answered on a data connection."""

    connection_id: int
    answer: ExecuteAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class ControlAnswered:
    """A control call ended; `reply` is None when there was no usable answer."""

    call_id: int
    reply: ControlReply | None


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerReceived:
    """A peer sent a message."""

    peer: str
    message: PeerMessage


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerLost:
    """The link to a peer broke; messages sent on it may or may not have arrived."""

    peer: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformAnswered:
    """A platform call ended."""

    call_id: int
    reply: PlatformReply


@dataclass(frozen=True, kw_only=True, slots=True)
class TimerFired:
    """The time asked for by `WakeAt` has come."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessPaused:
    """The clock jumped by `gap_ms` while the process could not run."""

    gap_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainRequested:
    """The process must accept no new work, finish what is in flight and stop."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainExpired:
    """The process stops now, whatever is in flight; all callers must be answered."""


Event = (
    Started
    | RequestReceived
    | CallerGone
    | ConnectionOpened
    | ConnectionClosed
    | ExecuteAnswered
    | ControlAnswered
    | PeerReceived
    | PeerLost
    | PlatformAnswered
    | TimerFired
    | ProcessPaused
    | DrainRequested
    | DrainExpired
)
