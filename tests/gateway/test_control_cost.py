"""Tests of the work that a gateway does for a change of the fleet, counted and never timed."""

import json
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from unittest.mock import patch

import pytest
from burdockrun_gateway.group import Group
from burdockrun_gateway.member_routes import MemberRoute
from burdockrun_groups import ConnectionPlan, find_change_reason

from script.control_cost import (
    REPEATS,
    REST_S,
    Change,
    MeasuredNode,
    async_measure_rest,
    build_answers,
    build_node,
    list_changes,
    main,
)
from tests.groups.test_layout import count_weights


@contextmanager
def count_plans() -> Iterator[list[int]]:
    """Count the plans that are given to routes of members."""
    counted: list[int] = []
    set_plan = MemberRoute.set_plan

    def count(route: MemberRoute, plan: ConnectionPlan) -> None:
        counted.append(1)
        set_plan(route, plan)

    with patch.object(MemberRoute, "set_plan", count):
        yield counted


async def count_work(
    nodes: int, members: int, changes: Sequence[Sequence[Change]]
) -> tuple[int, int]:
    """Return how many weights and plans answers of the store cost a node that knows `nodes`."""
    counts = []
    for answers in ([], build_answers(changes)):
        node = MeasuredNode(members, [build_node(index) for index in range(nodes)], answers)
        with count_weights() as weights, count_plans() as plans:
            await node.async_learn()
        counts.append((len(weights), len(plans)))
    (weights_before, plans_before), (weights_after, plans_after) = counts
    return weights_after - weights_before, plans_after - plans_before


@pytest.mark.parametrize(
    ("nodes", "members", "most_weights", "most_plans"), [(195, 30, 12, 1), (780, 2_730, 140, 20)]
)
async def test_a_changed_registration_costs_what_it_changes(
    nodes: int, members: int, most_weights: int, most_plans: int
) -> None:
    """Guards against work for each node or member when one node joins, leaves or restarts."""
    changes = [[change] for change in list_changes(nodes)]
    weights, plans = await count_work(nodes, members, changes)
    assert weights / len(changes) <= most_weights
    assert plans / len(changes) <= most_plans


@pytest.mark.parametrize(
    ("nodes", "members", "most_weights", "most_plans"), [(71, 12, 20, 4), (195, 30, 50, 5)]
)
async def test_a_start_of_the_fleet_costs_what_each_registration_changes(
    nodes: int, members: int, most_weights: int, most_plans: int
) -> None:
    """Guards against plans of all members for each node of a fleet that starts."""
    changes: list[list[Change]] = [[(f"n{one}", build_node(one))] for one in range(1, nodes)]
    weights, plans = await count_work(1, members, changes)
    assert weights / len(changes) <= most_weights
    assert plans / len(changes) <= most_plans


@pytest.mark.parametrize(("nodes", "members"), [(8, 9), (71, 12)])
async def test_groups_at_rest_are_checked_without_looking_for_those_that_watch_them(
    nodes: int, members: int
) -> None:
    """Guards against the choice of homes for each group and second at the holder of the lease."""
    with (
        patch(
            "burdockrun_gateway.supervisor.find_change_reason", wraps=find_change_reason
        ) as check,
        patch.object(Group, "find_direct_nodes", return_value=frozenset()) as search,
    ):
        await async_measure_rest(nodes, members)
    assert 0 < check.call_count <= (members // 3) * (REST_S * REPEATS + 5)
    assert search.call_count == 0


def test_the_last_line_has_the_figures_of_each_size(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a report that tools which compare two versions cannot read."""
    monkeypatch.setattr("sys.argv", ["control-cost", "--sizes", "8,9"])
    assert main() == 0
    found = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert list(found) == ["8", "9"]
    for figures in found.values():
        assert list(figures) == ["registration_ms", "fleet_start_ms", "supervision_core_share"]
