"""Tests of membership: failures, false suspicion, partitions and their end, and rosters."""

from itertools import pairwise

import pytest
from burdockrun_fleet.rosters import RosterTable, list_previous, make_delta, next_generation
from burdockrun_fleet.simulation import Simulation, place_nodes
from burdockrun_messages import NodeInfo, Outbox, Roster
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.fleet.common import DOMAINS, start_fleet

NODES = tuple(info for info in place_nodes(8, ("aug",)))


def list_fleet_sizes(simulation: Simulation) -> set[int]:
    """Return the distinct numbers of live nodes that the nodes list."""
    return {len(node.agent.list_nodes()) for node in simulation.nodes.values()}


def test_a_dead_node_is_detected_by_all_and_removed_from_the_roster() -> None:
    """Guards against requests that go to a node that no longer runs."""
    simulation = start_fleet(seed=31, count=16)
    simulation.stop("proxy-0005")
    assert simulation.run(12_000, until=lambda: list_fleet_sizes(simulation) == {15}) < 12_000
    simulation.run(5_000)
    for node in simulation.nodes.values():
        rosters = node.agent.rosters.values()
        assert all(i.node != "proxy-0005" for roster in rosters for i in roster.nodes)


@pytest.mark.parametrize("seed", range(32, 36))
def test_a_live_node_is_not_declared_dead_under_loss(seed: int) -> None:
    """Guards against live nodes declared dead when one message in ten is lost."""
    simulation = start_fleet(seed=seed, count=16)
    simulation.network.message_loss_rate = 0.1
    before = sum(node.logged["fleet_member_out"] for node in simulation.nodes.values())
    simulation.run(120_000)
    after = sum(node.logged["fleet_member_out"] for node in simulation.nodes.values())
    assert after == before


def test_a_paused_node_rejoins_after_it_resumes() -> None:
    """Guards against a node that stays declared dead after it resumes from a pause."""
    simulation = start_fleet(seed=33, count=12)
    simulation.pause("proxy-0003", 15_000)
    simulation.run(14_000)
    others = [n.agent for name, n in simulation.nodes.items() if name != "proxy-0003"]
    assert not any(agent.is_alive("proxy-0003") for agent in others)
    simulation.run(15_000)
    assert list_fleet_sizes(simulation) == {12}


def test_partitioned_regions_rejoin_without_a_burst_of_messages() -> None:
    """Guards against regions that do not rejoin after a partition, or then flood the link."""
    simulation = start_fleet(seed=34, count=16)
    east = set(DOMAINS[:2])
    usual_count = count_messages(simulation, 10_000)
    simulation.network.blocks = lambda a, b: (a.domain in east) != (b.domain in east)
    simulation.run(240_000)
    assert list_fleet_sizes(simulation) == {8}
    simulation.network.blocks = lambda a, b: False
    rejoining_count = count_messages(simulation, 10_000)
    assert rejoining_count < 3 * usual_count
    simulation.run(40_000)
    assert list_fleet_sizes(simulation) == {16}


def count_messages(simulation: Simulation, duration_ms: int) -> int:
    """Run for a while and return the number of messages sent."""
    before = sum(node.sent_messages for node in simulation.nodes.values())
    simulation.run(duration_ms)
    return sum(node.sent_messages for node in simulation.nodes.values()) - before


def test_several_nodes_that_fail_at_once_are_removed_from_a_sealed_roster() -> None:
    """Guards against a roster that cannot change because several nodes failed at once."""
    simulation = start_fleet(seed=35, count=20, domains=("aug", "muc"))
    failed = [name for name in sorted(simulation.nodes) if name[-1] in "02"][:3]
    for name in failed:
        simulation.stop(name)
    simulation.run(20_000)
    for node in simulation.nodes.values():
        roster = node.agent.rosters["aug"]
        assert roster.sealed
        assert {info.node for info in roster.nodes}.isdisjoint(failed)


def test_a_domain_without_nodes_is_adopted_by_other_domains() -> None:
    """Guards against members without a home after all proxies of their domain failed."""
    simulation = start_fleet(seed=36, count=8)
    failed = [n.info.node for n in simulation.nodes.values() if n.info.domain == DOMAINS[0]]
    for name in failed:
        simulation.stop(name)
    simulation.run(120_000)
    roster = next(iter(simulation.nodes.values())).agent.rosters[DOMAINS[0]]
    assert roster.nodes
    assert {info.node for info in roster.nodes}.isdisjoint(failed)
    back = NodeInfo(node="back", domain=DOMAINS[0], host="10.0.9.9", port=1)
    simulation.add(back, [next(iter(simulation.nodes.values())).info])
    simulation.run(60_000)
    roster = next(iter(simulation.nodes.values())).agent.rosters[DOMAINS[0]]
    assert roster.nodes == (back,)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.sets(st.sampled_from(NODES), min_size=1), min_size=1, max_size=8), st.data())
def test_deltas_rebuild_the_same_rosters(sets: list[set[NodeInfo]], data: st.DataObject) -> None:
    """Guards against nodes that compute homes over different rosters of one epoch."""
    chain: list[Roster] = []
    for nodes in sets:
        ordered = tuple(sorted(nodes, key=lambda info: info.node))
        last = chain[-1] if chain else None
        if last is None or last.nodes != ordered:
            chain.append(next_generation(last, "aug", ordered))
    for before, after in pairwise(chain):
        assert set(list_previous(after)) == set(before.nodes)
    table = RosterTable(NODES[0], Outbox())
    for roster in chain:
        sent = roster
        if data.draw(st.booleans()):
            sent = make_delta(roster, table.epochs.get("aug", 0))
        assert table.learn(sent, 0)
        assert table.rosters["aug"].nodes == roster.nodes
