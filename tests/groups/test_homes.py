"""Tests of the plan of connections to a member."""

from burdockrun_groups import ConnectionPlan, FleetLayout, NodeEntry


def plan_connections(
    member_id: str, max_connections: int, nodes: list[NodeEntry], node: str
) -> ConnectionPlan:
    """Return the plan of `node` for a member once all nodes are registered."""
    plans: list[ConnectionPlan] = []
    layout = FleetLayout(next(entry for entry in nodes if entry.node == node))
    layout.update({entry.node: entry for entry in nodes})
    layout.watch(member_id, max_connections, plans.append)
    return plans[-1]


def find_direct_nodes(
    member_id: str, max_connections: int, nodes: list[NodeEntry]
) -> frozenset[str]:
    """Return the nodes that the first node takes for those with their own connections."""
    layout = FleetLayout(nodes[0])
    layout.update({entry.node: entry for entry in nodes})
    layout.watch(member_id, max_connections, lambda _: None)
    return layout.find_direct_nodes(member_id, max_connections)


def build_nodes(count: int, domains: int, *, leaving: str = "") -> list[NodeEntry]:
    """Return registered nodes, spread over failure domains."""
    return [
        NodeEntry(node=f"n{index}", domain=f"d{index % domains}", leaving=f"n{index}" == leaving)
        for index in range(count)
    ]


def test_few_nodes_have_their_own_connections() -> None:
    """Guards against an extra hop when the limit allows direct connections."""
    plan = plan_connections("m", 16, build_nodes(7, 4), "n1")
    assert (plan.quota, plan.homes) == (2, ())


def test_the_connections_of_all_homes_stay_within_the_limit() -> None:
    """Guards against nodes that a member refuses because it has too many connections."""
    for count, domains, limit in [(87, 4, 46), (76, 4, 110), (780, 4, 46), (9, 2, 4), (5, 5, 2)]:
        nodes = build_nodes(count, domains)
        plans = {entry.node: plan_connections("m", limit, nodes, entry.node) for entry in nodes}
        homes = {home.node for plan in plans.values() for home in plan.homes}
        direct = {node for node, plan in plans.items() if not plan.homes}
        assert homes == direct
        assert sum(plans[node].quota for node in homes) <= limit - 1


def test_homes_of_the_own_domain_come_before_the_others() -> None:
    """Guards against needless hops between failure domains, and a single point of failure."""
    nodes = build_nodes(87, 4)
    domains = {entry.node: entry.domain for entry in nodes}
    for entry in nodes:
        plan = plan_connections("m", 46, nodes, entry.node)
        if plan.homes:
            found = [home.domain == domains[entry.node] for home in plan.homes]
            assert found == sorted(found, reverse=True)
            assert found[0]
            assert not found[-1]


def test_a_leaving_node_is_not_a_home() -> None:
    """Guards against work that is sent to a node which will stop soon."""
    nodes = build_nodes(87, 4)
    home = plan_connections("m", 46, nodes, "n1").homes[0]
    changed = build_nodes(87, 4, leaving=home.node)
    for entry in changed:
        plan = plan_connections("m", 46, changed, entry.node)
        assert home.node not in {one.node for one in plan.homes}


def test_the_loss_of_a_home_moves_no_other_home() -> None:
    """Guards against all connections being moved at each change of the fleet."""
    nodes = build_nodes(87, 4)
    before = {home.node for home in plan_connections("m", 46, nodes, "n1").homes}
    lost = next(iter(before - {"n1"}))
    rest = [entry for entry in nodes if entry.node != lost]
    after = {home.node for home in plan_connections("m", 46, rest, "n1").homes}
    assert len(before - after) == 1


def test_direct_nodes_agree_with_the_connection_plans() -> None:
    """Guards against suspicions that are counted from nodes which only reach the homes."""
    for count, domains, limit in [(7, 4, 16), (87, 4, 46), (9, 2, 4), (1, 1, 4)]:
        nodes = build_nodes(count, domains)
        direct = {
            entry.node
            for entry in nodes
            if not plan_connections("m", limit, nodes, entry.node).homes
        }
        assert find_direct_nodes("m", limit, nodes) == direct
