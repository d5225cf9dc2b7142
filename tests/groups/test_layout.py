"""Tests of the layout of the fleet: kept one registration at a time, with counted work."""

from collections.abc import Iterator
from contextlib import contextmanager
from random import Random
from unittest.mock import patch

import pytest
from burdockrun_base.rendezvous import compute_weight
from burdockrun_groups import ConnectionPlan, FleetLayout, NodeEntry

LIMIT = 58


def build_node(index: int, domains: int = 6, *, leaving: bool = False) -> NodeEntry:
    """Return the registration of a node that offers its copy of the store."""
    return NodeEntry(
        node=f"n{index}",
        domain=f"d{index % domains}",
        host=f"10.0.{index // 250}.{index % 250}",
        copy_port=1,
        leaving=leaving,
    )


class WatchedLayout:
    """Layout with members, and the newest plan of each."""

    def __init__(self, nodes: int, members: int, *, own: int = 0) -> None:
        self.layout = FleetLayout(build_node(own))
        self.plans: dict[str, ConnectionPlan] = {}
        self.layout.update({f"n{index}": build_node(index) for index in range(nodes)})
        for index in range(members):
            self.watch(f"m{index}")

    def watch(self, member: str, limit: int = LIMIT) -> None:
        """Watch a member."""

        def keep(plan: ConnectionPlan) -> None:
            self.plans[member] = plan

        self.layout.watch(member, limit, keep)


@contextmanager
def count_weights() -> Iterator[list[int]]:
    """Count the hash weights that are computed."""
    counted: list[int] = []

    def count(node_hash: int, key_hash: int) -> int:
        counted.append(1)
        return compute_weight(node_hash, key_hash)

    with (
        patch("burdockrun_groups.layout.compute_weight", count),
        patch("burdockrun_base.rendezvous.compute_weight", count),
    ):
        yield counted


@pytest.mark.parametrize("seed", range(8))
def test_changes_one_by_one_give_the_plans_of_all_at_once(seed: int) -> None:
    """Guards against nodes that disagree on homes since they saw the changes in other steps."""
    rng = Random(seed)
    stepwise = WatchedLayout(0, 12)
    registered: dict[str, NodeEntry] = {}
    for step in range(160):
        index = rng.randrange(60 if step > 80 else 12)
        if rng.random() < 0.3:
            registered.pop(f"n{index}", None)
            stepwise.layout.update({f"n{index}": None})
        else:
            entry = build_node(index, rng.choice((4, 6)), leaving=rng.random() < 0.1)
            registered[entry.node] = entry
            stepwise.layout.update({entry.node: entry})
        if step % 10:
            continue
        at_once = WatchedLayout(0, 0)
        at_once.layout.update(registered)
        for member in range(12):
            at_once.watch(f"m{member}")
        assert stepwise.plans == at_once.plans
        assert stepwise.layout.copy_sources == at_once.layout.copy_sources
        assert set(stepwise.layout.followers) == set(at_once.layout.followers)
        for member in range(12):
            found = stepwise.layout.find_direct_nodes(f"m{member}", LIMIT)
            assert found == at_once.layout.find_direct_nodes(f"m{member}", LIMIT)


@pytest.mark.parametrize(("nodes", "members", "most"), [(195, 30, 200), (780, 2_730, 1_400)])
def test_work_of_one_registration_does_not_grow_with_nodes_times_members(
    nodes: int, members: int, most: int
) -> None:
    """Guards against plans of all members that are worked out anew for one changed node."""
    watched = WatchedLayout(nodes, members)
    with count_weights() as counted:
        for index in range(nodes, nodes + 10):
            watched.layout.update({f"n{index}": build_node(index)})
    assert len(counted) / 10 <= most


def test_a_listing_is_applied_once() -> None:
    """Guards against a start of the whole fleet that costs a plan for each node that is listed."""
    applied: list[ConnectionPlan] = []
    layout = FleetLayout(build_node(0))
    layout.watch("m", LIMIT, applied.append)
    layout.update({f"n{index}": build_node(index) for index in range(195)})
    assert len(applied) == 2


def test_an_address_is_known_while_a_node_has_it() -> None:
    """Guards against work that is done for the address of a node that has left."""
    layout = FleetLayout(build_node(0))
    moved = NodeEntry(node="n1", domain="d1", host="10.9.9.9")
    layout.update({"n1": build_node(1), "n2": build_node(2)})
    layout.update({"n1": moved, "n2": None})
    assert layout.has_host("10.9.9.9")
    assert not layout.has_host(build_node(1).host)
    assert not layout.has_host(build_node(2).host)
    layout.update({"n1": None})
    assert not layout.has_host("10.9.9.9")


def test_members_get_no_connections_before_the_size_of_the_fleet_is_known() -> None:
    """Guards against a node that takes the connections of a whole fleet when it starts."""
    plans: list[ConnectionPlan] = []
    layout = FleetLayout(build_node(0))
    layout.watch("m", LIMIT, plans.append)
    assert plans[-1].quota == 0
    layout.assume_alone()
    assert plans[-1].quota == LIMIT - 1
