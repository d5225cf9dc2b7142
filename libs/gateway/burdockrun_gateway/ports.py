"""Interfaces of the gateway to callers, members, the shared store and the promotion duty."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from burdockrun_base import LogPosition
from burdockrun_groups import Configuration, MemberEntry, NodeEntry
from burdockrun_statements import Answer, MemberStatus, Statement
from result import Result


class StoreFault(Enum):
    """Why a call to the shared store has no result."""

    UNREACHABLE = "unreachable"  # no answer: the call may have been carried out
    REFUSED = "refused"  # not carried out
    COMPACTED = "compacted"  # the history asked for is gone
    CONFLICT = "conflict"  # a condition did not hold
    LEASE_ENDED = "lease_ended"


class ConnectFault(Enum):
    """Why a connection to a member could not be opened."""

    REFUSED = "refused"  # nothing listens there
    SILENT = "silent"
    LIMIT = "limit"  # the member has too many connections
    WRONG_MEMBER = "wrong_member"
    NO_HOME = "no_home"  # the node that should carry the connection does not


@dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """Key of the store with its value; `value` is None once it was removed."""

    key: str
    revision: int
    created: int = 0
    value: bytes | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """Items or changes, complete up to the store's revision `as_of`.

    `complete` says that all items are listed, and not only changes. `age_ms` is how long ago the
    store was asked, when another node has told it.
    """

    items: tuple[Item, ...]
    as_of: int
    complete: bool = False
    age_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """Value to put under a key; a `lease` of 0 keeps it until it is removed."""

    key: str
    value: bytes
    lease: int = 0


class SharedStore(Protocol):
    """Key-value store with conditions, leases and watches."""

    async def async_list(self, prefix: str) -> Result[Listing, StoreFault]:
        """Return all items whose keys start with `prefix`."""
        ...

    async def async_watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> Result[Listing, StoreFault]:
        """Return changes after a revision, at the latest after `wait_ms`."""
        ...

    async def async_commit(
        self,
        expected: dict[str, int],
        writes: Sequence[Write],
        removes: Sequence[str] = (),
    ) -> Result[int, StoreFault]:
        """Write and remove keys if each expected key has its revision (0: absent)."""
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
    """Copies of the store that other nodes keep."""

    async def async_fetch_changes(
        self, peer: NodeEntry, after: int, timeout_ms: int
    ) -> Result[Listing, StoreFault]:
        """Return what a node knows that has changed after a revision, 0 for everything."""
        ...


class DocumentReader(Protocol):
    """Where the operators and members write in the store, and how that is read."""

    configuration_prefix: str
    members_prefix: str

    def read_configuration(self, value: bytes) -> Result[Configuration, str]:
        """Decode a configuration."""
        ...

    def read_member(self, key: str, value: bytes) -> Result[MemberEntry, str]:
        """Decode the entry of a member."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestPriority:
    """Rank of a request, 0 first, and how long it may wait for a connection."""

    rank: int
    wait_ms: int


class Connection(Protocol):
    """Open connection to a member; answers come in the order of the statements."""

    def send(self, statements: Sequence[Statement], priority: RequestPriority) -> None:
        """Send statements in one write."""
        ...

    def close(self) -> None:
        """Close the connection; the member rolls back."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenedConnection:
    """Connection that a member has accepted, and its log position."""

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
    ) -> Result[OpenedConnection, ConnectFault]:
        """Open a connection, on a connection of another node if a `home` is given.

        `on_lost` is called once when it ends without `close`.
        """
        ...

    def read_status(self, answer: Answer) -> MemberStatus | None:
        """Return what a member says of itself in the answer to a status or control statement."""
        ...


class ChangeNotifier(Protocol):
    """Tells other nodes that the store has changed; may be lost."""

    def send(self, peers: Iterable[tuple[str, int]]) -> None:
        """Tell the peers at these addresses."""
        ...


class PromotionClient(Protocol):
    """Orders promotions at the platform."""

    async def async_promote(
        self, service: str, member: str, holder: str, fence: int
    ) -> Result[None, StoreFault]:
        """Name the member that takes over; CONFLICT says that it does not run."""
        ...
