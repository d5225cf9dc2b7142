"""Interfaces of the gateway to members, the shared store, other nodes and the platform."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from burdockrun_base import LogPosition
from burdockrun_groups import Configuration, MemberEntry, NodeEntry
from burdockrun_statements import Answer, ErrorCode, MemberStatus, Statement
from result import Result


class StoreFault(Enum):
    """Why a call to the shared store has no result."""

    UNREACHABLE = "unreachable"  # no answer: the call may have had its effect
    REFUSED = "refused"  # the call had no effect
    COMPACTED = "compacted"  # the requested history is no longer kept
    CONFLICT = "conflict"  # an expected revision did not match
    LEASE_ENDED = "lease_ended"


class ConnectFault(Enum):
    """Why a connection to a member could not be opened."""

    REFUSED = "refused"  # nothing listens there
    SILENT = "silent"
    LIMIT = "limit"  # the member has too many connections
    WRONG_MEMBER = "wrong_member"
    NO_HOME = "no_home"  # the contacted node is not a home of the member


@dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """Key of the store with its value; `value` is None after its removal."""

    key: str
    revision: int
    created: int = 0
    value: bytes | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class SharedPosition:
    """Log position of the primary of a group, as another node knows it.

    `epoch` identifies the leadership. The position was requested from the primary `age_ms` ago.
    """

    service: str
    epoch: str
    position: LogPosition
    age_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class HistoryGap:
    """Revisions `after` and `until` that were listed, but not what happened in between.

    A key that was created and removed in between is not known to the node that listed both.
    """

    after: int
    until: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """Items or changes, complete up to the store's revision `as_of` of its `era`.

    The era increases each time the store comes back from an older copy of its contents; revisions
    of different eras have no order. `complete` says that all items are listed, and not only
    changes. The items of the last page are as of `last_page_as_of` (0: the same as `as_of`); items
    of later pages may be newer than `as_of`, or missing since they were removed.

    In a listing from the copy of another node, `age_ms` is how long ago the store was polled,
    `positions` are those that the node knows of the primaries, and the changes may have a `gap`.
    """

    items: tuple[Item, ...]
    as_of: int
    era: int = 0
    complete: bool = False
    last_page_as_of: int = 0
    age_ms: int = 0
    positions: tuple[SharedPosition, ...] = ()
    gap: HistoryGap | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """Value to put under a key; a `lease` of 0 keeps it until it is removed."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Written:
    """Revision of a transaction, and the era of the store in which it was done."""

    revision: int
    era: int = 0


class SharedStore(Protocol):
    """Key-value store with conditional writes, leases and watches.

    `on_progress` is called whenever a part of a long answer arrives.
    """

    async def async_list(
        self, prefix: str, *, on_progress: Callable[[], None]
    ) -> Result[Listing, StoreFault]:
        """Return all items whose keys start with `prefix`."""
        ...

    async def async_watch(
        self, prefix: str, after: int, wait_ms: int, *, on_progress: Callable[[], None]
    ) -> Result[Listing, StoreFault]:
        """Return changes after a revision, at the latest after `wait_ms`."""
        ...

    async def async_commit(
        self,
        expected: dict[str, int],
        writes: Sequence[Write],
        deleted_keys: Sequence[str] = (),
    ) -> Result[Written, StoreFault]:
        """Write and delete keys if each expected key has its revision, where 0 means absent."""
        ...

    async def async_grant_lease(self, duration_ms: int) -> Result[int, StoreFault]:
        """Return a new lease."""
        ...

    async def async_keep_lease(self, lease: int) -> Result[None, StoreFault]:
        """Renew a lease."""
        ...

    async def async_end_lease(self, lease: int) -> Result[None, StoreFault]:
        """End a lease and remove its keys."""
        ...


class PeerCopyReader(Protocol):
    """Reads the copies of the store that other nodes keep."""

    async def async_fetch_changes(
        self, peer: NodeEntry, after: int, era: int, timeout_ms: int
    ) -> Result[Listing, StoreFault]:
        """Return the changes after a revision of an era from the copy of a node; 0 for all."""
        ...


class DocumentReader(Protocol):
    """Key prefixes and decoders of the values that operators and members write to the store."""

    configuration_key: str
    members_prefix: str

    def read_configuration(self, value: bytes) -> Result[Configuration, str]:
        """Decode a configuration."""
        ...

    def read_member(self, key: str, value: bytes) -> Result[MemberEntry, str]:
        """Decode the entry of a member."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestPriority:
    """Rank of a request, 0 being served first, and how long it may wait for a connection.

    `elapsed_ms` is the time since the client's statement arrived at its node. `first` marks the
    first statement of an operation, which is a single statement or a whole transaction. `account`
    is empty for statements of the gateway itself, on public routes, and without accounts. `writes`
    and `begins` say that the statement changes data or is the first one of a transaction; they are
    not sent to homes, which see the statements.
    """

    rank: int
    wait_ms: int
    elapsed_ms: int = 0
    first: bool = False
    account: str = ""
    writes: bool = False
    begins: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class HomeLoad:
    """Load of a member, as its home reports it with an answer.

    `wait_ms` is the expected wait of a new statement of the lowest rank, `running` the number of
    statements in progress, `limit` their maximum, and `waiting` the number of statements queued.
    """

    wait_ms: int
    running: int
    limit: int
    waiting: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AcquireFault:
    """Why a request got no connection to a member; nothing has run.

    `code` is `BUSY`, or one of the `HOME_REFUSAL_CODES` if the queue of the home or the limit of
    the account refused it. `retry_ms` says when to retry; 0 means that it is unknown.
    """

    reason: str
    code: ErrorCode = ErrorCode.BUSY
    retry_ms: int = 0


class OperationLimits(Protocol):
    """Limits of the accounts on operations per second over all nodes.

    An operation is one statement outside a transaction, or a whole transaction.
    """

    def try_take(self, account: str) -> bool:
        """Count an operation of an account if this node may do so without asking another one."""
        ...

    async def async_take(self, account: str, wait_ms: float) -> Result[None, AcquireFault]:
        """Count an operation of an account, or return why and for how long it may not run.

        It may ask another node and wait for the answer, at most `wait_ms`.
        """
        ...

    def give_back(self, account: str) -> None:
        """Return the count of an operation that was not sent to a member."""
        ...


class Connection(Protocol):
    """Open connection to a member; answers come in the order of the statements."""

    def send(self, statements: Sequence[Statement], priority: RequestPriority) -> None:
        """Send statements in one write."""
        ...

    def close(self) -> None:
        """Close the connection; the member rolls back its open transaction."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenedConnection:
    """Connection that a member has accepted, and the log position of the member."""

    connection: Connection
    position: LogPosition | None


class MemberConnector(Protocol):
    """Opens connections to members."""

    async def async_open(
        self,
        entry: MemberEntry,
        on_answer: Callable[[Answer], None],
        on_lost: Callable[[], None],
        *,
        home: NodeEntry | None = None,
        account: str = "",
        on_load: Callable[[HomeLoad], None] | None = None,
    ) -> Result[OpenedConnection, ConnectFault]:
        """Open a connection, through a connection of another node if a `home` is given.

        It is opened in the name of the account, or in that of this node if `account` is empty.
        `on_lost` is called once if it ends without `close`, `on_load` for each load that the home
        reports.
        """
        ...

    def read_status(self, answer: Answer) -> MemberStatus | None:
        """Return the status of a member from the answer to a status or control statement."""
        ...


class ChangeNotifier(Protocol):
    """Notifies other nodes that the store has changed; notifications may be lost."""

    def send(self, peers: Iterable[tuple[str, int]]) -> None:
        """Notify the nodes at these addresses."""
        ...


class PromotionClient(Protocol):
    """Orders promotions at the platform."""

    async def async_promote(
        self,
        service: str,
        member: str,
        holder: str,
        fence: int,
        find_time_left_ms: Callable[[], int],
    ) -> Result[None, StoreFault]:
        """Order a member to become the primary; CONFLICT says that it is not running.

        `find_time_left_ms` returns for how long the holder may order. Once it returns 0, nothing is
        sent, and an order that is under way is withdrawn as far as it has not arrived.
        """
        ...
