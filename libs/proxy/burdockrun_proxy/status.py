"""Contents of the health and status pages."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from burdockrun_messages import Configuration, GroupRecord, LogPosition, NodeInfo, Roster
from burdockrun_routing import PositionTable

from burdockrun_proxy.home import MemberHome


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberState:
    """Connections to one member, its requests in flight, and its last known position."""

    member: str
    connections: int
    in_flight: int
    position: LogPosition | None


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupView:
    """Term and primary of one database as known to this node."""

    term: int
    state: str
    primary: str | None


@dataclass(frozen=True, kw_only=True, slots=True)
class RosterView:
    """Roster of a failure domain as known to this node."""

    epoch: int
    nodes: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeStatus:
    """Status of one proxy node; `reasons` lists why it is not ready."""

    node: str
    domain: str
    state: str
    reasons: tuple[str, ...]
    ticket: int
    in_flight: int
    groups: dict[str, GroupView]
    homes: tuple[MemberState, ...]
    nodes: tuple[str, ...]
    rosters: dict[str, RosterView]


def build_status(
    *,
    info: NodeInfo,
    configuration: Configuration,
    records: Mapping[str, GroupRecord],
    homes: Mapping[str, MemberHome],
    positions: PositionTable,
    nodes: Sequence[NodeInfo],
    rosters: Mapping[str, Roster],
    draining: bool,
    in_flight: int,
) -> NodeStatus:
    """Return the status of a node; `state` is `ready`, `draining` or `not_ready`."""
    reasons = list_reasons(configuration, records)
    state = "draining" if draining else "not_ready" if reasons else "ready"
    return NodeStatus(
        node=info.node,
        domain=info.domain,
        state=state,
        reasons=tuple(reasons),
        ticket=configuration.number,
        in_flight=in_flight,
        groups={
            name: GroupView(
                term=record.term,
                state=record.state,
                primary=record.active.primary if record.active else None,
            )
            for name, record in sorted(records.items())
        },
        homes=tuple(_build_member_state(home, positions) for home in homes.values()),
        nodes=tuple(sorted(node.node for node in nodes)),
        rosters={
            domain: RosterView(epoch=roster.epoch, nodes=tuple(node.node for node in roster.nodes))
            for domain, roster in sorted(rosters.items())
        },
    )


def list_reasons(configuration: Configuration, records: Mapping[str, GroupRecord]) -> list[str]:
    """Return the reasons why a node cannot serve every database yet."""
    if configuration.number == 0:
        return ["no change ticket is in force"]
    return [
        f"no primary known for {database.name}"
        for service in configuration.services.values()
        for database in service.databases
        if database.name not in records or records[database.name].active is None
    ]


def _build_member_state(home: MemberHome, positions: PositionTable) -> MemberState:
    view = positions.find_view(home.database.name, home.member.name)
    return MemberState(
        member=home.member.name,
        connections=len(home.pool),
        in_flight=home.in_flight,
        position=view.position if view is not None else None,
    )
