"""Distribution of the connections to a member over the nodes.

If the limit of the member allows several connections for each node, all nodes have their own.
Otherwise a few homes in each failure domain own the connections, and the other nodes go through a
home, preferably one in their own domain. One connection stays in reserve.

With accounts, and where a member would have more homes than it can serve, each member has one home
at a time, chosen from candidates that are in the same order for all nodes, and one observer in each
failure domain.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from burdockrun_base.rendezvous import rank_nodes

from burdockrun_groups.const import HOME_CONNECTIONS, MIN_OWN_CONNECTIONS
from burdockrun_groups.models import NodeEntry


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionPlan:
    """How a node reaches one member.

    `quota` limits its own connections. When `homes` is not empty the node has no connections of its
    own and reaches the member through the first of these nodes that answers. With `single_home`, a
    node with homes and a quota is a later candidate: it opens connections of its own while none of
    its homes answers, or while another node asks it to. A node that `observes` keeps a control
    connection to the member, which the quota does not include. `is_home` says that other nodes
    reach the member through the connections of this node. A node that is leaving keeps no idle
    connections, which the next home may need.
    """

    quota: int
    homes: tuple[NodeEntry, ...] = ()
    observes: bool = False
    single_home: bool = False
    is_home: bool = False
    keeps_idle: bool = True

    def is_later_candidate(self) -> bool:
        """Return whether the node becomes the home when the earlier candidates do not answer."""
        return self.single_home and bool(self.homes) and self.quota > 0


def plan_direct(max_connections: int, nodes: int) -> ConnectionPlan | None:
    """Return the plan of each of `nodes` nodes if all have their own connections, else None."""
    share = (max_connections - 1) // max(1, nodes)
    if share >= MIN_OWN_CONNECTIONS or nodes <= 1:
        return ConnectionPlan(quota=max(1, share))
    return None


def count_homes(max_connections: int, domains: int) -> int:
    """Return the number of homes in each failure domain, 0 if not every domain can have one."""
    available = max_connections - 1
    if available < domains:
        return 0
    return max(1, available // HOME_CONNECTIONS // max(1, domains))


def plan_through_homes(
    max_connections: int, homes: Sequence[NodeEntry], own: NodeEntry
) -> ConnectionPlan:
    """Return the plan of the node `own`, which may be one of the homes."""
    quota = max(1, (max_connections - 1) // max(1, len(homes)))
    if any(home.node == own.node for home in homes):
        return ConnectionPlan(quota=quota, is_home=True)
    same_domain = [home for home in homes if home.domain == own.domain]
    other_domains = [home for home in homes if home.domain != own.domain]
    return ConnectionPlan(
        quota=quota,
        homes=(*_order_for_node(own.node, same_domain), *_order_for_node(own.node, other_domains)),
    )


def _order_for_node(node: str, homes: list[NodeEntry]) -> list[NodeEntry]:
    """Return the homes in an order specific to `node`, so that the nodes spread over them."""
    by_name = {home.node: home for home in homes}
    return [by_name[name] for name in rank_nodes(node, by_name, len(by_name))]


def count_observers(max_connections: int, domains: int) -> int:
    """Return how many failure domains observe a member, so that a home can have a connection."""
    return max(0, min(domains, max_connections - 2))


def share_among_candidates(max_connections: int, candidates: int, observers: int) -> list[int]:
    """Return the quotas of the candidates for the home of a member, at most `candidates`.

    One connection stays in reserve and each observer has one. The first candidate gets two thirds
    of the rest. The others share one third: the second one, the usual successor, gets half of it.
    Candidates without a connection are left out.
    """
    available = max(1, max_connections - 1 - observers)
    first = max(1, 2 * available // 3)
    third = available - first
    if candidates <= 2:
        quotas = [first, third][:candidates]
    else:
        second = third - third // 2
        quotas = [first, second, *[(third - second) // (candidates - 2)] * (candidates - 2)]
    return [quota for quota in quotas if quota]


def plan_single_home(
    quotas: Sequence[int], candidates: Sequence[NodeEntry], own: NodeEntry, *, observes: bool
) -> ConnectionPlan:
    """Return the plan of the node `own`, which may be one of the candidates for the home."""
    for position, quota in enumerate(quotas):
        if candidates[position].node == own.node:
            return ConnectionPlan(
                quota=quota,
                homes=tuple(candidates[:position]),
                observes=observes,
                single_home=True,
                is_home=position == 0,
            )
    return ConnectionPlan(
        quota=0, homes=tuple(candidates[: len(quotas)]), observes=observes, single_home=True
    )
