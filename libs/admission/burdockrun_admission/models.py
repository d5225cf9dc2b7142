"""Data classes of admission decisions."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from burdockrun_base import Code


@dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """Request that waits for a slot.

    Ids are unique within a scheduler; times are absolute, in ms of the node's clock.
    """

    work_id: int
    rank: str
    account: str
    arrived_ms: int
    deadline_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Refusal of work that has not run."""

    code: Code
    retry_after_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class TakeResult:
    """Work that was given a slot, if any, and work dropped because of its deadline."""

    work: Work | None = None
    expired: tuple[Work, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkKind:
    """Kind of a statement; service times of different kinds may differ by a factor of ten."""

    rank: str
    writes: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueRequest:
    """First statement of an operation that waits at the home of a member.

    `rank` is the name of a rank, or `CONTROL_RANK` for statements of the gateway itself. Times are
    in ms of the node's clock: `arrived_ms` is when the client's statement arrived at its node, the
    statement is dropped if it has not been started by `deadline_ms`.
    """

    work_id: int
    rank: str
    account: str
    kind: WorkKind
    arrived_ms: int
    deadline_ms: int
    starts_transaction: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class StartWork:
    """Send a statement on a connection."""

    work_id: int
    connection_id: int


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenConnection:
    """Open a connection in the name of an account."""

    connection_id: int
    account: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CloseConnection:
    """Close an idle connection."""

    connection_id: int


@dataclass(frozen=True, kw_only=True, slots=True)
class DropWork:
    """Refuse a statement that has waited; it has not run."""

    work_id: int
    refusal: Refusal


QueueAction = StartWork | OpenConnection | CloseConnection | DropWork


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueLoad:
    """Load of a member: expected wait of a new statement of the lowest rank in ms, and counts."""

    wait_ms: int
    running: int
    limit: int
    waiting: int


class Outcome(Enum):
    """How a statement that was sent to a member ended."""

    DONE = "done"
    FAILED = "failed"  # the member ran it and answered with an error
    NOT_RUN = "not_run"  # the member answered that it did not run it
    LOST = "lost"  # no answer
    NO_WORK = "no_work"  # answered without work, so the time says nothing of the member


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitChange:
    """Change of the number of statements that a member is given at once."""

    reason: str
    before: int
    after: int


class WorkLimit(Protocol):
    """Limit of the statements that are in progress at one member at once.

    Times are in ms of the node's clock.
    """

    @property
    def limit(self) -> int:
        """Number of statements that may be in progress, at least 1."""
        ...

    @property
    def last_change(self) -> LimitChange | None:
        """Last change of the limit."""
        ...

    def configure(self, slots: int) -> None:
        """Set the number of statements that the member announces to run at once."""
        ...

    def start(self, work_id: int, kind: WorkKind, now_ms: int, *, queued: bool) -> None:
        """Note that a statement is sent; `queued` says whether more work waits for the member."""
        ...

    def finish(self, work_id: int, now_ms: int, outcome: Outcome) -> None:
        """Note how a statement ended."""
        ...


class FixedLimit:
    """Limit that is always the number of slots and one more.

    With the additional statement a slot does not idle during a round trip to the member.

    >>> FixedLimit(4).limit
    5
    """

    last_change: LimitChange | None = None

    def __init__(self, slots: int) -> None:
        self.limit = slots + 1

    def configure(self, slots: int) -> None:
        """Set the number of slots."""
        self.limit = slots + 1

    def start(self, work_id: int, kind: WorkKind, now_ms: int, *, queued: bool) -> None:
        """Ignore the start of a statement."""

    def finish(self, work_id: int, now_ms: int, outcome: Outcome) -> None:
        """Ignore the end of a statement."""
