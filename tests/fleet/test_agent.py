"""Tests of the agent as a whole, on a simulated network."""

from tests.fleet.common import numbers_in_force, put_tickets, start_fleet


def test_nodes_join_from_a_few_seeds_and_apply_tickets() -> None:
    """Guards against a node that does not find the others, or has no roster or configuration."""
    simulation = start_fleet(seed=1, count=9)
    assert {len(node.agent.list_nodes()) for node in simulation.nodes.values()} == {9}
    assert {len(node.agent.rosters) for node in simulation.nodes.values()} == {4}
    assert numbers_in_force(simulation) == {1}
    put_tickets(simulation, 2, 3)
    taken_ms = simulation.run(4_000, until=lambda: numbers_in_force(simulation) == {3})
    assert taken_ms < 4_000
