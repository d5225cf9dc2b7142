"""Distribution of the connections to a member over the nodes."""

from collections.abc import Iterable
from dataclasses import dataclass

from burdockrun_base.rendezvous import rank_nodes

from burdockrun_groups.const import HOME_CONNECTIONS, MIN_OWN_CONNECTIONS
from burdockrun_groups.models import NodeEntry


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionPlan:
    """How a node reaches one member.

    `quota` limits its own connections. When `homes` is not empty the node has no connections of its
    own and reaches the member through the first of these nodes that answers.
    """

    quota: int
    homes: tuple[NodeEntry, ...] = ()


def plan_connections(
    member_id: str, max_connections: int, nodes: Iterable[NodeEntry], node: str
) -> ConnectionPlan:
    """Return how `node` reaches a member that accepts `max_connections`; one stays in reserve.

    If the limit allows several connections for each node, all nodes have their own. Otherwise a few
    homes in each failure domain own the connections, and the other nodes go through a home,
    preferably one in their own domain.
    """
    entries = {entry.node: entry for entry in nodes}
    available = max_connections - 1
    share = available // max(1, len(entries))
    own = entries.get(node)
    if share >= MIN_OWN_CONNECTIONS or own is None or len(entries) <= 1:
        return ConnectionPlan(quota=max(1, share))
    staying = [entry for entry in entries.values() if not entry.leaving]
    homes = _find_homes(member_id, available, staying)
    quota = max(1, available // max(1, len(homes)))
    if own in homes:
        return ConnectionPlan(quota=quota)
    same_domain = [home for home in homes if home.domain == own.domain]
    other_domains = [home for home in homes if home.domain != own.domain]
    return ConnectionPlan(
        quota=quota,
        homes=(*_order_for_node(node, same_domain), *_order_for_node(node, other_domains)),
    )


def find_direct_nodes(
    member_id: str, max_connections: int, nodes: Iterable[NodeEntry]
) -> frozenset[str]:
    """Return the nodes that have their own connections to a member and can observe its state."""
    entries = {entry.node: entry for entry in nodes}
    available = max_connections - 1
    if available // max(1, len(entries)) >= MIN_OWN_CONNECTIONS or len(entries) <= 1:
        return frozenset(entries)
    staying = [entry for entry in entries.values() if not entry.leaving]
    return frozenset(home.node for home in _find_homes(member_id, available, staying))


def _find_homes(member_id: str, available: int, staying: list[NodeEntry]) -> list[NodeEntry]:
    """Return the homes of a member, the same number in each failure domain."""
    by_name = {entry.node: entry for entry in staying}
    domains = {entry.domain for entry in staying}
    if available < len(domains):
        return [by_name[name] for name in rank_nodes(member_id, by_name, available)]
    count = max(1, available // HOME_CONNECTIONS // max(1, len(domains)))
    return [
        by_name[name]
        for domain in sorted(domains)
        for name in rank_nodes(
            member_id, [entry.node for entry in staying if entry.domain == domain], count
        )
    ]


def _order_for_node(node: str, homes: list[NodeEntry]) -> list[NodeEntry]:
    """Return the homes in an order specific to `node`, so that the nodes spread over them."""
    by_name = {home.node: home for home in homes}
    return [by_name[name] for name in rank_nodes(node, by_name, len(by_name))]
