"""Data model of database groups: routes, members and primaries."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from burdockrun_base import LogPosition
from burdockrun_statements import MemberStatus

from burdockrun_groups.accounts import AccountTable


class Freshness(Enum):
    """Required freshness of the data that a route reads."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Database name that clients use, with the settings for its statements.

    `rank` 0 is served first. `target_ms` is the target latency of a whole operation, `timeout_ms`
    the time limit of one statement. Clients of a `public` route need no key.
    """

    database: str
    service: str
    freshness: Freshness
    max_staleness_ms: int
    timeout_ms: int
    target_ms: int
    rank: int
    public: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceLimits:
    """Limits of one database service; `max_connections` is for each member."""

    name: str
    max_connections: int
    synchronous: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """Configuration that a change ticket puts in force; `version` is the number of the ticket.

    Without `accounts`, clients need no keys.
    """

    version: int = 0
    routes: dict[str, Route] = field(default_factory=dict)
    services: dict[str, ServiceLimits] = field(default_factory=dict)
    idle_transaction_ms: int = 3_000
    accounts: AccountTable | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberEntry:
    """Endpoint of a group as discovery lists it.

    `started_at_ms` is the Unix time of its start, and `sequence` increases with each entry that it
    writes from then on. When its newest entry is `unreadable`, the other fields are those of the
    last one that could be read; the member counts in majorities, but gets no new statements unless
    it is the primary.
    """

    id: str
    started_at_ms: int
    service: str
    host: str
    port: int
    domain: str
    slots: int
    draining: bool
    claims_primary: bool
    sequence: int = field(default=0, compare=False)
    unreadable: bool = False

    def precedes(self, other: "MemberEntry") -> bool:
        """Return whether the member wrote this entry before another one of its entries."""
        return (self.started_at_ms, self.sequence) < (other.started_at_ms, other.sequence)


class MemberProcess(NamedTuple):
    """Process of a member; one that starts again under the same id is another process."""

    member_id: str
    started_at_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusReport:
    """Status that a member has told in answer to a statement sent at `sent_ms`.

    Its process is known to have run since `running_since_ms`, when it accepted the connection; None
    if the answer came through a home, which may reach a later process.
    """

    status: MemberStatus
    sent_ms: int
    running_since_ms: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupRecord:
    """Agreed primary of a group; `primary` is empty while it is being replaced.

    `epoch` increases with each change within an `era` of the store. A record of an earlier era than
    the store's may lack later changes; it entitles nobody to use its primary. `previous` is the
    primary before the change, `held_term` the term for which the replicas are paused during it.
    `promoted` says that the primary is known to lead, `ending` that it will be stopped soon.
    `complete` says that the primary may be read although it may not lead yet: it has every
    acknowledged commit, or leads while the change is not over.
    `floor` is the position that the primary had received when it was chosen; a member may become
    primary before it has applied that much. While no primary is named, it is that of `previous`.
    `unheard` are the members that may have newer acknowledged commits and have not answered: while
    no primary is named, none can be chosen until they do, else it was chosen without them.
    `continues` identifies the leadership that the record of an earlier era named, if it has gone on
    without a break. `acknowledging` are the processes of a synchronous group by whose receipt
    commits may have been acknowledged that no other replica has.
    """

    service: str
    primary: str
    epoch: int
    era: int = 0
    previous: str = ""
    held_term: int = 0
    promoted: bool = True
    complete: bool = False
    ending: bool = False
    floor: LogPosition | None = None
    continues: str = ""
    unheard: tuple[str, ...] = ()
    acknowledging: tuple[MemberProcess, ...] = ()

    def leadership(self) -> str:
        """Return what identifies the leadership of the primary."""
        return self.continues or f"{self.primary}/{self.era}.{self.epoch}"

    def version(self) -> tuple[int, int]:
        """Return what orders the records of a group in time: era and epoch."""
        return (self.era, self.epoch)


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeEntry:
    """Registration of an entry VM.

    Other nodes send change notifications and open shared connections to `host` and `port`, and
    read its copy of the store at `copy_port`; 0 means that it offers none. A node that is `leaving`
    will stop soon and accepts no more work from other nodes.
    """

    node: str
    domain: str
    host: str = ""
    port: int = 0
    copy_port: int = 0
    leaving: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspicion:
    """Report of a node that it cannot reach the primary of a service."""

    node: str
    service: str
    member: str
