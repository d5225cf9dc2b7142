"""Tests of what a node believes of the members of one group."""

import asyncio
from dataclasses import replace

from burdockrun_base import Application, LogPosition, ManualClock
from burdockrun_gateway.group import Group
from burdockrun_gateway.ports import RequestPriority
from burdockrun_groups import KNOWN_MEMBERS_MS, FleetLayout, NodeEntry, Requirement
from burdockrun_statements import Answer

from tests.gateway.test_pools import FakeConnector
from tests.groups.common import build_entry, build_record, build_report, build_status

PRIORITY = RequestPriority(rank=0, wait_ms=100)
POSITION = LogPosition(term=1, index=7)


class StatusConnector(FakeConnector):
    """Opens connections to members whose statuses nobody asks for."""

    def read_status(self, answer: Answer) -> None:
        """Return no status."""


def build_group(clock: ManualClock, connector: StatusConnector) -> Group:
    """Return a group without members."""
    layout = FleetLayout(NodeEntry(node="n1", domain="nbg"))
    layout.assume_alone()
    return Group(
        Application(clock=clock),
        "wendedb",
        "nbg",
        connector,  # type: ignore[arg-type]
        layout=layout,
        max_connections=8,
    )


async def test_a_member_that_starts_again_without_its_log_takes_what_was_believed_with_it() -> None:
    """Guards against the role and lag of an earlier process that count for the next one.

    The entry of the member has not been written anew, or has not been read yet.
    """
    clock, connector = ManualClock(100_000), StatusConnector()
    group = build_group(clock, connector)
    group.set_members({"b": build_entry("b")})
    connector.position = POSITION
    pool = group.pools["b"]
    assert (await pool.async_acquire(PRIORITY, None)).is_ok()
    report = build_report(build_status(), clock.now_ms())
    group.primary_lease.add_report("b", report, clock.now_ms())
    group.note_lagging("b", Requirement(clock.now_ms() - 300, POSITION))
    clock.advance(2_000)
    (option,) = group.read_options(set())
    assert (option.position, option.lag_ms is not None) == (POSITION, True)
    connector.position = None
    assert (await pool.async_acquire(PRIORITY, None)).is_ok()
    (option,) = group.read_options(set())
    assert (option.position, option.lag_ms) == (None, None)
    assert group.primary_lease.reports == {}
    assert group.has_restarted_replica("a")
    group.close()
    await asyncio.sleep(0)


async def test_a_replica_with_a_new_process_counts_as_restarted_for_a_while() -> None:
    """Guards against a choice of the primary that trusts all replicas after one lost its log."""
    clock = ManualClock(100_000)
    group = build_group(clock, StatusConnector())
    group.set_members({"b": build_entry("b")})
    assert not group.has_restarted_replica("a")
    group.set_members({"b": replace(build_entry("b"), started_at_ms=2)})
    assert group.has_restarted_replica("a")
    assert not group.has_restarted_replica("b")
    clock.advance(KNOWN_MEMBERS_MS)
    assert not group.has_restarted_replica("a")
    group.close()


async def test_a_group_is_vacant_from_the_first_record_without_a_leader() -> None:
    """Guards against a time to wait for members that begins again with each attempt."""
    clock = ManualClock(100_000)
    group = build_group(clock, StatusConnector())
    group.set_record(build_record("a"))
    clock.advance(1_000)
    assert group.vacant_for_ms() == 0
    group.set_record(build_record("", 2, previous="a", promoted=False))
    clock.advance(1_000)
    group.set_record(build_record("b", 3, promoted=False))
    group.set_record(build_record("", 4, previous="b", promoted=False))
    clock.advance(1_000)
    assert group.vacant_for_ms() == 2_000
    group.set_record(build_record("c", 5))
    assert group.vacant_for_ms() == 0
    group.close()
