"""Messages between a proxy and a database member."""

from dataclasses import dataclass

from burdockrun_base import LogPosition

from burdockrun_messages.const import Access, ExecuteStatus, MemberRole, TransactionStep
from burdockrun_messages.models import Count, JsonValue, KnownPosition, PassedValue


@dataclass(frozen=True, kw_only=True, slots=True)
class Execute:
    """Statement sent on a data connection.

    A member rejects a write whose `term` is not its own, and answers `behind` when it has not
    reached `required`. Writes store `request_id` in their log entry.
    """

    execution_id: int
    statement: str
    access: Access
    parameters: tuple[JsonValue, ...] = ()
    request_id: str | None = None
    term: int = 0
    required: LogPosition | None = None
    step: TransactionStep | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ExecuteAnswer:
    """Answer to one `Execute`.

    `position` is the member's last log entry when the statement ran (for a write, its own entry),
    `confirmed_index` the greatest index that the member knows a majority to hold. `repeated` means
    that the result was recorded by an earlier execution of the same request.
    """

    execution_id: Count
    status: ExecuteStatus
    position: KnownPosition
    result: PassedValue = None
    message: str = ""
    lag_ms: Count | None = None
    confirmed_index: Count = 0
    repeated: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberStatus:
    """State of a member, from its control port.

    `term` is the term that the member has accepted, `position` its last log entry (with the term
    under which the entry was written), `upstream_silent_ms` the time since a replica last received
    anything from its primary, `confirmed_index` for a primary the greatest index that a majority
    holds, `pending` and `completed` the numbers of its waiting and finished statements. `fresh` is
    the result of `AwaitConfirmed.fresh`.
    """

    member: str
    term: Count
    role: MemberRole
    position: KnownPosition
    lag_ms: Count | None = None
    upstream_silent_ms: Count | None = None
    confirmed_index: Count = 0
    pending: Count = 0
    completed: Count = 0
    fresh: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class AskStatus:
    """Asks for the status of a member."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Fence:
    """Makes a member accept `term` and stop serving or following in any earlier term."""

    term: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Promote:
    """Makes a fenced member the primary of `term`; `members` names its replicas."""

    term: int
    members: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Follow:
    """Makes a member a replica of `primary` under `term`."""

    term: int
    primary: str
    host: str
    control_port: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AwaitConfirmed:
    """Waits until the primary of `term` knows that a majority holds `index`, at most `wait_ms`.

    With `fresh`, it also waits until a majority has confirmed that it still follows the term, in
    an exchange that began after this call arrived.
    """

    term: int
    index: int
    wait_ms: int
    fresh: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Settle:
    """Asks for the recorded result of a request; if none, writes a tombstone that blocks it."""

    term: int
    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Settled:
    """Result of `Settle`; when `ran` is false, the request has not run and never will."""

    ran: bool
    position: KnownPosition
    result: PassedValue = None


ControlOperation = AskStatus | Fence | Promote | Follow | AwaitConfirmed | Settle
ControlReply = MemberStatus | Settled
