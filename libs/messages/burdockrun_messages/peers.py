"""Messages between proxy nodes."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated, Literal

from pydantic import Field

from burdockrun_messages.models import Count, GroupRecord, KnownPosition, NodeInfo
from burdockrun_messages.requests import StatementAnswer, StatementRequest


class ForwardStatus(StrEnum):
    """Result of a forwarded request at the home; it has run only for `answered`."""

    ANSWERED = "answered"
    BEHIND = "behind"
    NOT_HOME = "not_home"
    NOT_PRIMARY = "not_primary"
    UNREACHABLE = "unreachable"


class NodeState(StrEnum):
    """State of a node in the membership."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True, slots=True)
class Forward:
    """Request passed to the home of a member; `deadline_ms` is the remaining time.

    `waited_out_gap` means that the sender held the request until there was a primary or home again.
    """

    forward_id: int
    member: str
    request: StatementRequest
    deadline_ms: int
    sender: NodeInfo
    required: KnownPosition | None = None
    max_lag_ms: Count | None = None
    waited_out_gap: bool = False
    kind: Literal["forward"] = "forward"


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardAnswer:
    """Answer of the home; `position` and `lag_ms` describe the member."""

    forward_id: int
    status: ForwardStatus
    answer: StatementAnswer | None = None
    position: KnownPosition | None = None
    lag_ms: Count | None = None
    record: GroupRecord | None = None
    kind: Literal["forward_answer"] = "forward_answer"


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberUpdate:
    """Membership update about one node; the greater incarnation wins."""

    info: NodeInfo
    state: NodeState
    incarnation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Digest:
    """Summary of a node's state, from which a peer derives what it has to pull.

    `confirmed` maps each domain whose roster lists the sender to the age in ms of the platform's
    last confirmation of that roster. `vouches` maps each domain for which the sender may
    act as a witness to the age in ms of its evidence that the domain's roster is not replaced.
    """

    ticket: int
    roster_epochs: dict[str, int]
    terms_hash: int
    confirmed: dict[str, int] = field(default_factory=dict)
    vouches: dict[str, int] = field(default_factory=dict)
    coordinator: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Ping:
    """Membership probe; `sequence` is echoed by the acknowledgement."""

    sequence: int
    sender: NodeInfo
    incarnation: int
    digest: Digest
    updates: tuple[MemberUpdate, ...] = ()
    kind: Literal["ping"] = "ping"


@dataclass(frozen=True, kw_only=True, slots=True)
class PingAck:
    """Answer to a `Ping`."""

    sequence: int
    sender: NodeInfo
    incarnation: int
    digest: Digest
    updates: tuple[MemberUpdate, ...] = ()
    kind: Literal["ping_ack"] = "ping_ack"


@dataclass(frozen=True, kw_only=True, slots=True)
class PingRequest:
    """Asks a node to probe `target` on behalf of the sender."""

    sequence: int
    target: NodeInfo
    kind: Literal["ping_request"] = "ping_request"


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketRecord:
    """Accepted change ticket; `text` is the ticket as JSON."""

    number: int
    text: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketsPush:
    """Accepted change tickets in order of number."""

    tickets: tuple[TicketRecord, ...]
    kind: Literal["tickets_push"] = "tickets_push"


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketsPull:
    """Asks for tickets after `after_number`, or for a snapshot when they are no longer kept."""

    after_number: int
    kind: Literal["tickets_pull"] = "tickets_pull"


@dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotPush:
    """Whole configuration at ticket `number`, as JSON text cut into `shards` parts."""

    number: int
    text: str
    shard: int = 0
    shards: int = 1
    kind: Literal["snapshot_push"] = "snapshot_push"


@dataclass(frozen=True, kw_only=True, slots=True)
class TermsPush:
    """Group records that the sender has just learned."""

    records: tuple[GroupRecord, ...]
    kind: Literal["terms_push"] = "terms_push"


@dataclass(frozen=True, kw_only=True, slots=True)
class TermsPull:
    """Asks for the group records of databases; no names means all.

    `hashes` holds one hash for each bucket of databases; equal buckets are left out of the answer.
    """

    databases: tuple[str, ...] = ()
    hashes: tuple[int, ...] = ()
    kind: Literal["terms_pull"] = "terms_pull"


@dataclass(frozen=True, kw_only=True, slots=True)
class Roster:
    """Proxy nodes of a failure domain, as agreed under `epoch`.

    A generation is a range of epochs with the same nodes: it began at epoch `since`, follows the
    one that began at epoch `previous`, and differs from it by `added` and `removed`. It is `sealed`
    when no holder of a role can renew its evidence for an earlier generation. `leaving` names
    the VMs of the domain that the platform is about to remove. A `delta` leaves out `nodes`.
    """

    domain: str
    epoch: int
    nodes: tuple[NodeInfo, ...]
    since: int = 0
    previous: int = 0
    added: tuple[NodeInfo, ...] = ()
    removed: tuple[NodeInfo, ...] = ()
    sealed: bool = False
    leaving: tuple[str, ...] = ()
    delta: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class RosterPush:
    """Rosters that the sender has just learned."""

    rosters: tuple[Roster, ...]
    kind: Literal["roster_push"] = "roster_push"


@dataclass(frozen=True, kw_only=True, slots=True)
class RolesReleased:
    """States that the sender holds no role under rosters of `domain` before `epoch`.

    `members` lists the members for which the sender keeps its role under the new epoch.
    """

    domain: str
    epoch: int
    members: tuple[str, ...] = ()
    kind: Literal["roles_released"] = "roles_released"


@dataclass(frozen=True, kw_only=True, slots=True)
class AuditEntry:
    """Recorded event; `fields` is a JSON object."""

    kind: str
    node: str
    at_ms: int
    fields: str = "{}"


@dataclass(frozen=True, kw_only=True, slots=True)
class AuditPush:
    """Recorded events for the coordinator of the sender's domain."""

    entries: tuple[AuditEntry, ...]
    kind: Literal["audit_push"] = "audit_push"


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Whether the home of `observer` considers the primary of `database` in `term` failed."""

    database: str
    term: int
    primary: str
    observer: str
    failed: bool
    position: KnownPosition | None = None
    kind: Literal["verdict"] = "verdict"


PeerMessage = (
    Forward
    | ForwardAnswer
    | Ping
    | PingAck
    | PingRequest
    | TicketsPush
    | TicketsPull
    | SnapshotPush
    | TermsPush
    | TermsPull
    | RosterPush
    | RolesReleased
    | AuditPush
    | Verdict
)

TaggedPeerMessage = Annotated[PeerMessage, Field(discriminator="kind")]
