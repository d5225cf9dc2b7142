"""Tests of the work of the holder of the promotion lease."""

import asyncio
import time
from dataclasses import replace
from typing import Any
from unittest.mock import AsyncMock, patch

import pytest
from burdockrun_base import LogPosition, SystemClock
from burdockrun_gateway import Gateway
from burdockrun_gateway.const import (
    ACKS_PREFIX,
    DOCUMENT_UNUSABLE,
    GROUPS_PREFIX,
    LEASE_BASIS_CHANGED,
    NODES_PREFIX,
    PRESENCE_PREFIX,
    PREVIOUS_PRIMARY_STOPPED,
)
from burdockrun_gateway.directory import Directory
from burdockrun_gateway.group import Group
from burdockrun_gateway.ports import Item, StoreFault, Write
from burdockrun_gateway.records import dump_ack
from burdockrun_gateway.successors import StepFailedError
from burdockrun_gateway.supervisor import Supervisor
from burdockrun_groups import (
    MIN_PAUSE_MS,
    PRIMARY_LEASE_MARGIN_MS,
    PRIMARY_LEASE_MS,
    GroupRecord,
    PrimaryLease,
    Reason,
    StatusReport,
)
from burdockrun_site.store import PlatformPromotionClient, PlatformStore
from result import Err, Ok

from tests.site.common import SERVICE, Deployment, async_deploy, error_of, read_events
from tests.site.members import FakeMember
from tests.site.store import FakeStore

# Just after the time at which paused members are asked whether they still are.
PAUSE_CHECK_S = (PRIMARY_LEASE_MS + PRIMARY_LEASE_MARGIN_MS) / 1000 + 0.15
# A change of primary is over within this time.
CHANGE_LIMIT_S = 11.0


def now_ms() -> int:
    """Return the time of the clock that gateways use."""
    return SystemClock().now_ms()


def forget_first_pause(member: FakeMember) -> None:
    """Let a member forget its first pause as soon as it has answered, as a restart does."""
    control = member._control

    def answer(word: str, term: int) -> list[str]:
        lines = control(word, term)
        if word == "PAUSE":
            member.held_term = 0
            member._control = control  # type: ignore[method-assign]
        return lines

    member._control = answer  # type: ignore[method-assign]


def refuse_status_after_pause(member: FakeMember, seconds: float) -> None:
    """Let a member answer each STATUS with BUSY for some time after a PAUSE."""
    control = member._control

    def answer(word: str, term: int) -> list[str]:
        if word == "PAUSE":
            member.refuse_all["STATUS"] = "BUSY"
            asyncio.get_running_loop().call_later(seconds, member.refuse_all.pop, "STATUS", None)
        return control(word, term)

    member._control = answer  # type: ignore[method-assign]


def find_other_node(deployment: Deployment) -> int:
    """Return the index of a gateway that does not hold the promotion lease."""
    holder = deployment.store.entries["burdockrun/duty"].value.decode()
    return int(holder.removeprefix("node-")) % len(deployment.gateways)


def cut_off_from_other_nodes(deployment: Deployment, inside: int, member_id: str) -> None:
    """Let only the gateway with index `inside` reach a member, by its open connections."""
    deployment.members[member_id].stop_listening()
    for index in set(range(len(deployment.gateways))) - {inside}:
        pool = deployment.gateways[index].directory.groups[SERVICE].pools[member_id]
        for link in list(pool._links):
            pool.discard(link)


async def test_groups_at_rest_are_checked_once_a_second() -> None:
    """Guards against a holder that looks at all groups at each tick, whatever has changed."""
    async with async_deploy() as deployment:
        await asyncio.sleep(1.0)
        checked: list[str] = []
        find_change_reason = Supervisor._find_change_reason

        def count(supervisor: Supervisor, group: Group, record: GroupRecord | None) -> Reason:
            checked.append(group.service)
            return find_change_reason(supervisor, group, record)

        with patch.object(Supervisor, "_find_change_reason", count):
            await asyncio.sleep(2.0)
            assert 1 <= len(checked) <= 6
            client = await deployment.async_connect("urgent")
            await client.async_query("WRITE ward v1")
            await deployment.members["a"].async_stop()
            await deployment.async_query_until_done(client, "WRITE ward v2")
        assert error_of(await client.async_query("WRITE ward v3")) == ""


async def test_a_refused_connection_does_not_prove_that_a_primary_has_stopped() -> None:
    """Guards against a promotion while a cut-off node may still use the old primary.

    In a partition that refuses connections, the primary seems to be down for the nodes on the other
    side. The nodes on its own side cannot reach the store and use it until their leases end.
    """
    async with async_deploy(gateways=3) as deployment:
        await asyncio.sleep(1.0)
        item = deployment.store.entries["burdockrun/duty"]
        holder = int(item.value.decode().removeprefix("node-")) - 1
        inside = (holder + 1) % 3
        client = await deployment.async_connect("urgent", inside)
        assert error_of(await client.async_query("WRITE ward v1")) == ""
        deployment.members["a"].stop_listening()
        for task in deployment.gateways[inside]._tasks.tasks:
            task.cancel()
        for index in {0, 1, 2} - {inside}:
            pool = deployment.gateways[index].directory.groups[SERVICE].pools["a"]
            for link in list(pool._links):
                pool.discard(link)
        await deployment.async_wait_until(lambda: bool(deployment.store.promotions))
        assert error_of(await client.async_query("WRITE ward v2")) != ""


async def test_the_log_says_why_the_previous_primary_counts_as_stopped(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a change of the primary whose proof the log does not show."""
    caplog.set_level("INFO")
    async with async_deploy(gateways=3) as deployment:
        await asyncio.sleep(1.0)
        holder = deployment.store.entries["burdockrun/duty"].value.decode()
        cut_off = (int(holder.removeprefix("node-")) % 3) + 1
        for task in deployment.gateways[cut_off - 1]._tasks.tasks:
            task.cancel()
        await deployment.members["a"].async_stop()
        await deployment.async_wait_until(lambda: bool(deployment.store.promotions))
    (stopped,) = read_events(caplog, PREVIOUS_PRIMARY_STOPPED.number)
    assert (stopped["node"], stopped["previous"]) == (holder, "a")
    assert stopped["proof"] == "leases_ended"
    assert (stopped["unacknowledged"], stopped["nodes"]) == (1, f"node-{cut_off}")


async def test_a_key_of_another_writer_does_not_count_as_a_node(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against slow changes of primaries for a key that names no node."""
    caplog.set_level("INFO")
    async with async_deploy() as deployment:
        deployment.store.put(f"{PRESENCE_PREFIX}other", {"Seq": 7})
        deployment.configure(2)
        await deployment.async_wait_until(
            lambda: all(one.directory.configuration.version == 2 for one in deployment.gateways)
        )
        await asyncio.sleep(PRIMARY_LEASE_MS / 1000)
        client = await deployment.async_connect("urgent")
        await deployment.async_query_until_done(client, "WRITE 1a4 v")
        deployment.register_member(deployment.members["a"], "draining")
        await deployment.async_wait_until(lambda: bool(deployment.store.promotions))
        await deployment.async_query_until_done(client, "WRITE 1a4 w")
    (stopped,) = read_events(caplog, PREVIOUS_PRIMARY_STOPPED.number)
    assert (stopped["proof"], stopped["unacknowledged"]) == ("acknowledged", 0)
    assert len(read_events(caplog, DOCUMENT_UNUSABLE.number)) == len(deployment.gateways)


@pytest.mark.parametrize("value", [b"\xff", b"other", b"", b"node-1"])
async def test_a_key_of_another_writer_does_not_take_the_place_of_the_holder(value: bytes) -> None:
    """Guards against primaries that nobody replaces: a key without a lease never ends."""
    async with async_deploy() as deployment:
        holder = deployment.store.entries["burdockrun/duty"].value.decode()
        deployment.store.put("burdockrun/duty", value)
        await deployment.gateways[int(holder.removeprefix("node-")) - 1].async_drain()
        await deployment.async_stop_gateway(holder)
        await deployment.members["a"].async_stop()
        await deployment.async_wait_until(lambda: bool(deployment.store.promotions), 20.0)


async def test_the_key_of_a_node_counts_though_another_writer_overwrites_it() -> None:
    """Guards against a promotion that does not wait for a node which may use the old primary.

    The node has lost the store, and the holder of the promotion lease has started after that.
    """
    async with async_deploy() as deployment:
        deployment.store.put(f"{PRESENCE_PREFIX}node-9", b"")
        deployment.store.put(f"{PRESENCE_PREFIX}node-9", {"Seq": 7})
        await deployment.async_add_gateway("node-3")
        await deployment.async_wait_until(
            lambda: all("node-9" in one.directory.present for one in deployment.gateways)
        )


async def test_the_log_says_what_a_primary_lease_follows_from(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a node that uses a primary and leaves no trace of what entitled it."""
    caplog.set_level("INFO")
    async with async_deploy(gateways=1) as deployment:
        deployment.store.down = True
        await asyncio.sleep(3.0)
        deployment.store.down = False
        await asyncio.sleep(1.5)
    events = read_events(caplog, LEASE_BASIS_CHANGED.number)
    bases = [event["basis"] for event in events]
    assert [basis for basis in bases if basis != "none"] == ["record", "reports", "record"]
    assert {event["primary"] for event in events if event["basis"] == "reports"} == {"a"}


async def test_a_node_that_the_store_has_lost_keeps_its_lease_by_reports() -> None:
    """Guards against a promotion while an unregistered node may still use the old primary.

    It follows the reports of the members, and its registration has lapsed: the acknowledgements of
    the registered nodes say nothing about it.
    """
    async with async_deploy(gateways=3) as deployment:
        await asyncio.sleep(1.0)
        holder = deployment.store.entries["burdockrun/duty"].value.decode()
        cut_off = int(holder.removeprefix("node-")) % 3
        gateway = deployment.gateways[cut_off]
        client = await deployment.async_connect("urgent", cut_off)
        async_fail = AsyncMock(return_value=Err(StoreFault.UNREACHABLE))
        for call in ("async_list", "async_watch", "async_commit", "async_keep_lease"):
            setattr(gateway.directory.store_copy._store, call, async_fail)
        await deployment.async_wait_until(
            lambda: f"burdockrun/nodes/node-{cut_off + 1}" not in deployment.store.entries
        )
        await asyncio.sleep(2.0)
        assert error_of(await client.async_query("WRITE ward v1")) == ""
        deployment.members["a"].stop_listening()
        for index in {0, 1, 2} - {cut_off}:
            pool = deployment.gateways[index].directory.groups[SERVICE].pools["a"]
            for link in list(pool._links):
                pool.discard(link)
        await deployment.async_wait_until(
            lambda: deployment.members["b"].primary or deployment.members["c"].primary
        )
        answer = await client.async_query("WRITE ward v2")
        # By the reports of the members the node may know the next primary, whose term is 2.
        assert error_of(answer) != "" or answer[-1].startswith("READY I 2.")


async def test_a_node_that_has_ended_is_not_waited_for() -> None:
    """Guards against a slow replacement of each primary after a planned end of a node."""
    async with async_deploy(gateways=3) as deployment:
        await asyncio.sleep(1.0)
        holder = deployment.store.entries["burdockrun/duty"].value.decode()
        ended = int(holder.removeprefix("node-")) % 3
        await deployment.gateways[ended].async_drain()
        await deployment.async_stop_gateway(f"node-{ended + 1}")
        names = [key for key in deployment.store.entries if key.startswith(PRESENCE_PREFIX)]
        assert len(names) == 2 and f"{PRESENCE_PREFIX}node-{ended + 1}" not in names


async def test_a_removed_node_is_forgotten_after_a_long_time() -> None:
    """Guards against a slow replacement of each primary for ever after the loss of a machine."""
    with patch("burdockrun_gateway.directory.ABSENT_NODE_KEPT_MS", 2_000):
        async with async_deploy(gateways=3) as deployment:
            await asyncio.sleep(1.0)
            holder = deployment.store.entries["burdockrun/duty"].value.decode()
            lost = int(holder.removeprefix("node-")) % 3 + 1
            await deployment.async_stop_gateway(f"node-{lost}")
            key = f"{PRESENCE_PREFIX}node-{lost}"
            await asyncio.sleep(2.0)
            assert key in deployment.store.entries
            await deployment.async_wait_until(lambda: key not in deployment.store.entries)


async def test_a_node_that_registered_again_is_not_removed_as_absent_since_the_first_time() -> None:
    """Guards against a promotion that does not wait for a node which has only just lapsed.

    A holder saw it unregistered long ago, lost the promotion lease, and has it again.
    """
    with patch("burdockrun_gateway.directory.ABSENT_NODE_KEPT_MS", 1_000):
        async with async_deploy(gateways=1) as deployment:
            directory = deployment.gateways[0].directory
            deployment.store.put(f"{PRESENCE_PREFIX}node-9", b"")
            await deployment.async_wait_until(lambda: "node-9" in directory.present)
            assert directory.find_removed_nodes() == []
            registration = deployment.store.entries["burdockrun/nodes/node-1"].value
            with patch.object(directory, "find_removed_nodes", list):
                deployment.store.put("burdockrun/nodes/node-9", registration)
                await deployment.async_wait_until(lambda: "node-9" in directory.nodes)
                await asyncio.sleep(1.2)
                deployment.store.remove("burdockrun/nodes/node-9")
                await deployment.async_wait_until(lambda: "node-9" not in directory.nodes)
            assert directory.find_removed_nodes() == []


async def test_lapsed_members_are_forgotten_on_nodes_that_change_no_primary() -> None:
    """Guards against memory that grows with each member that ends without having drained."""
    with patch("burdockrun_gateway.group.KNOWN_MEMBERS_MS", 50):
        async with async_deploy(gateways=1) as deployment:
            group = deployment.gateways[0].directory.groups[SERVICE]
            entries = group.primary_lease.members
            for number in range(20):
                entry = replace(entries["c"], id=f"m{number}", port=1000 + number)
                group.set_members({**entries, entry.id: entry})
                group.set_members(entries)
                await asyncio.sleep(0.02)
            assert len(group._lapsed) < 10


async def test_a_former_holder_does_not_stop_a_primary() -> None:
    """Guards against a holder that was frozen and stops the primary which the next one chose.

    The record says that it leads, so nobody would replace it.
    """
    async with async_deploy(gateways=1) as deployment:
        gateway = deployment.gateways[0]
        group = gateway.directory.groups[SERVICE]
        record = group.primary_lease.record
        assert record is not None
        former = replace(record, primary="", previous="a", held_term=2)
        with (
            patch.object(gateway._promotion_lease, "is_held", return_value=False),
            pytest.raises(StepFailedError),
        ):
            await gateway._supervisor._async_stop_previous(group, former)
        assert deployment.members["a"].primary
        assert "STEPDOWN" not in deployment.members["a"].controls


async def test_a_withdrawn_successor_that_leads_after_all_is_not_used_beside_the_next_one() -> None:
    """Guards against a write at a successor that was given up before its promotion took effect.

    The holder loses its connections to `c` just after the order. A node without the store still
    reaches all members and follows their reports.
    """
    async with async_deploy(gateways=3) as deployment:
        await asyncio.sleep(1.0)
        inside = find_other_node(deployment)
        client = await deployment.async_connect("urgent", inside)
        for task in deployment.gateways[inside]._tasks.tasks[:-1]:
            task.cancel()
        group = deployment.gateways[inside].directory.groups[SERVICE]
        await deployment.async_wait_until(lambda: group.primary_lease.basis(now_ms()) == "reports")

        def promote(member_id: str) -> bool:
            if member_id == "c":
                cut_off_from_other_nodes(deployment, inside, "c")
            return deployment._promote(member_id)

        deployment.store._promote = promote
        deployment.register_member(deployment.members["a"], state="draining")
        await deployment.async_wait_until(lambda: deployment.members["b"].primary, 12.0)
        assert [member for _, member, _ in deployment.store.promotions] == ["c", "b"]
        answer = await client.async_query("WRITE ward v2")
        assert error_of(answer) != "" or answer[0].startswith("COMPLETE b-")


async def test_a_successor_whose_order_has_no_answer_is_not_given_up() -> None:
    """Guards against an order without an answer that takes effect after another member leads.

    The member that it names would lead the newest term, while the record names the other one.
    """
    with patch("burdockrun_gateway.supervisor.PROMOTION_TIMEOUT_MS", 1_000):
        async with async_deploy(gateways=3) as deployment:
            await asyncio.sleep(1.0)
            client = await deployment.async_connect("urgent")
            deployment.store.lost_order_delay_s = 4.0
            await deployment.members["a"].async_stop()
            await deployment.async_wait_until(lambda: bool(deployment.store.promotions))
            await asyncio.sleep(1.5)
            deployment.store.lost_order_delay_s = 0.0
            await deployment.async_wait_until(
                lambda: deployment.members["b"].primary or deployment.members["c"].primary
            )
            await asyncio.sleep(4.5)
            answer = await deployment.async_query_until_done(client, "WRITE ward v1")
            assert answer[0].startswith("COMPLETE c-")
            assert {member for _, member, _ in deployment.store.promotions} == {"c"}


async def test_a_successor_that_has_ended_is_given_up_once_the_platform_says_so() -> None:
    """Guards against a group without a primary when a successor ends and its orders are lost."""
    async with async_deploy(gateways=2) as deployment:
        await asyncio.sleep(1.0)
        client = await deployment.async_connect("urgent")
        deployment.store.lost_order_delay_s = 60.0
        await deployment.members["a"].async_stop()
        await deployment.async_wait_until(lambda: bool(deployment.store.promotions))
        await deployment.members["c"].async_stop()
        for member_id in "ac":
            deployment.store.remove(f"servers/{member_id}")
            deployment.store.not_running.add(member_id)
        await asyncio.sleep(1.0)
        assert {member for _, member, _ in deployment.store.promotions} == {"c"}
        deployment.store.lost_order_delay_s = 0.0
        answer = await deployment.async_query_until_done(client, "WRITE ward v1")
        assert answer[0].startswith("COMPLETE b-")


@pytest.mark.parametrize("basis", ["record", "reports"])
async def test_a_primary_that_stepped_down_and_restarted_is_not_used(basis: str) -> None:
    """Guards against a write at a primary that stepped down and came back in its old term.

    It restarts before its successor leads. A node that has lost the store, just now or longer ago,
    reaches it again.
    """
    async with async_deploy(gateways=3) as deployment:
        await asyncio.sleep(1.0)
        inside = find_other_node(deployment)
        client = await deployment.async_connect("urgent", inside)
        group = deployment.gateways[inside].directory.groups[SERVICE]
        deployment.store.promote_delay_s = 0.1 if basis == "record" else 0.8
        deployment.register_member(deployment.members["a"], state="draining")
        await deployment.async_wait_until(
            lambda: (record := group.primary_lease.record) is not None and record.ending
        )
        await asyncio.sleep(1.5 if basis == "record" else 0.1)
        for task in deployment.gateways[inside]._tasks.tasks[:-1]:
            task.cancel()
        await deployment.async_wait_until(lambda: "STEPDOWN" in deployment.members["a"].controls)
        deployment.members["a"].primary, deployment.members["a"].term = True, 1
        await deployment.async_wait_until(lambda: deployment.members["c"].primary)
        answer = await client.async_query("WRITE ward v1")
        assert error_of(answer) != "" or answer[0].startswith("COMPLETE c-")


async def test_replicas_that_forget_their_pause_do_not_count_for_a_primary_that_leads_again() -> (
    None
):
    """Guards against a write at a primary that stepped down and leads its old term again.

    All members restart before the successor leads, and a node without the store never sees the
    pause of the replicas.
    """
    async with async_deploy(gateways=3) as deployment:
        await asyncio.sleep(1.0)
        inside = find_other_node(deployment)
        client = await deployment.async_connect("urgent", inside)
        group = deployment.gateways[inside].directory.groups[SERVICE]
        for task in deployment.gateways[inside]._tasks.tasks[:-1]:
            task.cancel()
        await deployment.async_wait_until(lambda: group.primary_lease.basis(now_ms()) == "reports")
        deployment.store.promote_delay_s = 0.8
        for name in "bc":
            forget_first_pause(deployment.members[name])
        deployment.register_member(deployment.members["a"], state="draining")
        await deployment.async_wait_until(lambda: "STEPDOWN" in deployment.members["a"].controls)
        deployment.members["a"].primary, deployment.members["a"].term = True, 1
        await deployment.async_wait_until(
            lambda: deployment.members["b"].primary or deployment.members["c"].primary, 12.0
        )
        answer = await client.async_query("WRITE ward v1")
        assert error_of(answer) != "" or answer[-1].startswith("READY I 2.")


async def test_a_short_pause_does_not_let_a_primary_that_leads_again_be_used() -> None:
    """Guards against a write at a primary that stepped down and leads its old term again.

    A node without the store does not hear of the replicas while they are paused, nor of the
    successor later. It hears of one replica again at an interval that no pause may end within.
    """
    async with async_deploy(gateways=3) as deployment:
        await asyncio.sleep(1.0)
        inside = find_other_node(deployment)
        client = await deployment.async_connect("urgent", inside)
        group = deployment.gateways[inside].directory.groups[SERVICE]
        for task in deployment.gateways[inside]._tasks.tasks[:-1]:
            task.cancel()
        await deployment.async_wait_until(lambda: group.primary_lease.basis(now_ms()) == "reports")
        members, add_report = deployment.members, PrimaryLease.add_report

        def add_heard(
            lease: PrimaryLease, member_id: str, report: StatusReport, received_ms: int
        ) -> None:
            is_cut_off = member_id == "c" and "PAUSE" in members["c"].controls
            if lease is not group.primary_lease or not (is_cut_off or report.status.held_term):
                add_report(lease, member_id, report, received_ms)

        with patch.object(PrimaryLease, "add_report", add_heard):
            deployment.register_member(members["a"], state="draining")
            await deployment.async_wait_until(lambda: "STEPDOWN" in members["a"].controls)
            members["a"].primary, members["a"].term = True, 1
            await deployment.async_wait_until(lambda: members["c"].primary, 12.0)
            end_ms = now_ms() + PRIMARY_LEASE_MS
            while now_ms() < end_ms:
                answer = await client.async_query("WRITE ward v1")
                assert error_of(answer) != "" or answer[0].startswith("COMPLETE c-")
                await asyncio.sleep(0.01)


async def test_a_holder_that_goes_on_for_another_one_does_not_resume_replicas_at_once() -> None:
    """Guards against a pause that a node without the store can miss, as the holders change.

    The holder has begun an earlier change, which another one has completed.
    """
    async with async_deploy(gateways=2) as deployment:
        await deployment.async_wait_until(
            lambda: any(one._promotion_lease.may_promote() for one in deployment.gateways)
        )
        (holder,) = [one for one in deployment.gateways if one._promotion_lease.may_promote()]
        supervisor, group = holder._supervisor, holder.directory.groups[SERVICE]
        known = group.primary_lease.record
        assert known is not None
        earlier = replace(known, primary="", previous="a", epoch=known.epoch + 1, held_term=2)
        current = replace(known, primary="c", previous="b", epoch=known.epoch + 4, held_term=3)
        with (
            patch.object(Supervisor, "_check_groups"),
            patch.object(Supervisor, "_async_write", AsyncMock(return_value=current)),
            patch.object(Directory, "find_unacknowledged", return_value=["node-3"]),
        ):
            await supervisor._async_pause_majority(group, earlier)
            await asyncio.sleep(MIN_PAUSE_MS / 1000)
            started_ms = now_ms()
            await supervisor._async_complete(group, current, 3)
            assert now_ms() - started_ms >= MIN_PAUSE_MS


async def test_members_that_lapsed_are_counted_until_no_node_can_count_them() -> None:
    """Guards against a promotion beside the primary of a majority that is cut off from the store.

    A node without the store reaches `a` and `c`, whose entries have lapsed, but not `b`. When the
    two are really lost, `b` must take over in the end.
    """
    async with async_deploy(gateways=3) as deployment:
        await asyncio.sleep(1.0)
        inside = find_other_node(deployment)
        client = await deployment.async_connect("urgent", inside)
        for task in deployment.gateways[inside]._tasks.tasks[:-1]:
            task.cancel()
        deployment.members["b"].stop_listening()
        pool = deployment.gateways[inside].directory.groups[SERVICE].pools["b"]
        for link in list(pool._links):
            pool.discard(link)
        deployment.store.remove("servers/a")
        deployment.store.remove("servers/c")
        await asyncio.sleep(4.0)
        answer = await client.async_query("WRITE ward v1")
        assert not deployment.members["b"].primary or error_of(answer) != ""
        await deployment.async_wait_until(lambda: deployment.members["b"].primary, 14.0)
        assert error_of(await client.async_query("WRITE ward v2")) != ""


async def test_members_that_lapsed_before_the_holder_started_may_be_counted_by_other_nodes() -> (
    None
):
    """Guards against a promotion beside the primary of a majority that a new node never knew.

    A node without the store reaches `a` and `c`, whose entries have lapsed, but not `b`. The holder
    started after that. When the two are really lost, `b` must take over in the end.
    """
    async with async_deploy(gateways=2) as deployment:
        await asyncio.sleep(1.0)
        inside = find_other_node(deployment)
        client = await deployment.async_connect("urgent", inside)
        for task in deployment.gateways[inside]._tasks.tasks[:-1]:
            task.cancel()
        deployment.gateways[inside].directory.groups[SERVICE].pools["b"].abort()
        await deployment.async_stop_gateway(f"node-{2 - inside}")
        deployment.store.remove("servers/a")
        deployment.store.remove("servers/c")
        await deployment.async_add_gateway("node-3")
        await asyncio.sleep(5.0)
        answer = await client.async_query("WRITE ward v1")
        assert not deployment.members["b"].primary or error_of(answer) != ""
        await deployment.async_wait_until(lambda: deployment.members["b"].primary, 14.0)
        assert error_of(await client.async_query("WRITE ward v2")) != ""


@pytest.mark.parametrize("in_transaction", [False, True])
async def test_a_write_is_in_doubt_when_its_member_leads_again_after_another(
    in_transaction: bool,
) -> None:
    """Guards against a success for a write that the promotion of another member rolled back."""
    async with async_deploy(gateways=1) as deployment:
        client = await deployment.async_connect("urgent")
        if in_transaction:
            await client.async_query("BEGIN")
            assert error_of(await client.async_query("WRITE ward v1")) == ""
        deployment.members["a"].delay_s = 0.4
        text = "COMMIT" if in_transaction else "WRITE ward v1"
        query = asyncio.create_task(client.async_query(text))
        await asyncio.sleep(0.1)
        group = deployment.gateways[0].directory.groups[SERVICE]
        record = group.primary_lease.record
        assert record is not None
        group.set_record(replace(record, primary="b", epoch=record.epoch + 2))
        group.set_record(replace(record, epoch=record.epoch + 4))
        assert error_of(await query) == "INDOUBT"


async def test_a_write_is_not_run_outside_of_a_transaction_that_was_refused() -> None:
    """Guards against a write that is kept although its new primary lagged and refused the BEGIN."""
    async with async_deploy(gateways=1) as deployment:
        client = await deployment.async_connect("urgent")
        assert error_of(await client.async_query("WRITE ward v1")) == ""
        group = deployment.gateways[0].directory.groups[SERVICE]
        record = group.primary_lease.record
        assert record is not None
        floor = LogPosition(term=1, index=99)
        group.set_record(replace(record, epoch=record.epoch + 1, floor=floor))
        await client.async_query("BEGIN")
        assert error_of(await client.async_query("WRITE ward v2")) != ""
        assert len(deployment.members["a"].log) == 1


async def test_a_node_that_registers_again_is_not_forgotten() -> None:
    """Guards against a removal of the key that a node has just written again."""
    async with async_deploy(gateways=1) as deployment:
        gateway = deployment.gateways[0]
        key = f"{PRESENCE_PREFIX}node-9"
        deployment.store.put(key, b"")
        await deployment.async_wait_until(lambda: "node-9" in gateway.directory.present)
        with patch.object(gateway.directory, "find_removed_nodes", return_value=["node-9"]):
            gateway.directory.store_copy.items[key] = Item(key=key, revision=1, value=b"")
            await gateway._supervisor._async_forget_removed_nodes()
        assert key in deployment.store.entries


async def test_an_order_is_not_sent_when_the_lease_ends_while_it_connects() -> None:
    """Guards against an order that arrives after one of the next holder, with a lower fence."""
    store = FakeStore(lambda member: True)
    await store.async_start()
    client = PlatformPromotionClient(f"127.0.0.1:{store.port}")
    refused = await client.async_promote("wendedb", "b", "node-1", 7, lambda: 0)
    assert refused == Err(StoreFault.UNREACHABLE)
    assert store.promotions == []
    assert await client.async_promote("wendedb", "b", "node-1", 7, lambda: 1_000) == Ok(None)
    assert store.promotions == [("node-1", "b", 7)]
    client.close()
    await store.async_stop()


async def test_a_primary_that_answers_but_does_not_lead_is_replaced() -> None:
    """Guards against a group without writes after a late order or a stray demotion."""
    async with async_deploy() as deployment:
        await asyncio.sleep(1.0)
        client = await deployment.async_connect("urgent")
        first, second = deployment.members["a"], deployment.members["b"]
        second.promote()
        first.primary, first.term = False, second.term
        for member in deployment.members.values():
            deployment.register_member(member)
        await asyncio.sleep(CHANGE_LIMIT_S)
        assert error_of(await client.async_query("WRITE ward v1")) == ""


async def test_a_resumed_replica_does_not_count_for_the_old_primary() -> None:
    """Guards against a write at a superseded primary through a node that has missed the pause.

    The node has no store. It reaches a replica again that was resumed and does not follow the new
    primary yet.
    """
    async with async_deploy(gateways=3) as deployment:
        await asyncio.sleep(1.0)
        inside = find_other_node(deployment)
        client = await deployment.async_connect("urgent", inside)
        for task in deployment.gateways[inside]._tasks.tasks[:-1]:
            task.cancel()
        group = deployment.gateways[inside].directory.groups[SERVICE]
        for name in "bc":
            group.pools[name].abort()
        cut_off_from_other_nodes(deployment, inside, "a")
        await deployment.async_wait_until(
            lambda: deployment.members["b"].primary or deployment.members["c"].primary
        )
        await asyncio.sleep(0.5)
        resumed = "c" if deployment.members["b"].primary else "b"
        group.pools[resumed].closed = False
        await asyncio.sleep(2.5)
        assert error_of(await client.async_query("WRITE ward v1")) != ""


async def test_replicas_that_restart_while_paused_do_not_count_for_the_old_primary() -> None:
    """Guards against a write at a superseded primary through a node that has missed the pause.

    The node has no store and reaches all members. The replicas are paused and restart between two
    of its questions, so their reports never show the pause.
    """
    async with async_deploy(gateways=3) as deployment:
        await asyncio.sleep(1.0)
        inside = find_other_node(deployment)
        client = await deployment.async_connect("urgent", inside)
        for task in deployment.gateways[inside]._tasks.tasks[:-1]:
            task.cancel()
        group = deployment.gateways[inside].directory.groups[SERVICE]
        await deployment.async_wait_until(lambda: group.primary_lease.basis(now_ms()) == "reports")
        deployment.store.promote_delay_s = 0.8
        for name in "bc":
            forget_first_pause(deployment.members[name])
        cut_off_from_other_nodes(deployment, inside, "a")
        await deployment.async_wait_until(
            lambda: deployment.members["b"].primary or deployment.members["c"].primary, 12.0
        )
        answer = await client.async_query("WRITE ward v1")
        # By the reports of the members the node may know the next primary, whose term is 2.
        assert error_of(answer) != "" or answer[-1].startswith("READY I 2.")


async def test_a_new_holder_does_not_announce_the_end_of_a_primary_again() -> None:
    """Guards against a draining primary that stays in use while the holders change.

    Each holder hands over before the time has passed in which all nodes learn of the announcement.
    """
    async with async_deploy(gateways=3) as deployment:
        await asyncio.sleep(1.0)
        group = deployment.gateways[0].directory.groups[SERVICE]
        deployment.register_member(deployment.members["a"], state="draining")

        def is_ending() -> bool:
            record = group.primary_lease.record
            return record is not None and record.ending

        await deployment.async_wait_until(is_ending)
        announced = time.monotonic()
        for _ in range(2):
            await asyncio.sleep(1.0)
            holder = deployment.store.entries["burdockrun/duty"].value.decode()
            gateway = deployment.gateways[int(holder.removeprefix("node-")) - 1]
            await gateway._promotion_lease.async_yield()
        await deployment.async_wait_until(lambda: not is_ending())
        # One wait for the announcement, and what is left of a poll after the second hand-over.
        assert time.monotonic() - announced < 3.0


async def test_paused_replicas_that_are_busy_for_a_moment_do_not_delay_a_change() -> None:
    """Guards against a second wait for leases because one question about the pause was refused."""
    async with async_deploy(gateways=3) as deployment:
        await asyncio.sleep(1.0)
        inside = find_other_node(deployment)
        for task in deployment.gateways[inside]._tasks.tasks[:-1]:
            task.cancel()
        for name in "bc":
            refuse_status_after_pause(deployment.members[name], PAUSE_CHECK_S)
        started = time.monotonic()
        cut_off_from_other_nodes(deployment, inside, "a")
        await deployment.async_wait_until(lambda: bool(deployment.store.promotions))
        # The loss is noticed within 0.6 s, and the leases end 1.6 s after the pause.
        assert time.monotonic() - started < 3.0


@pytest.mark.parametrize("is_missed", [True, False])
async def test_a_node_that_registered_and_left_unseen_is_waited_for(is_missed: bool) -> None:
    """Guards against a primary lease that a node has taken while the holder could not see it.

    The store drops its history, and the holder lists all keys anew.
    """
    async with async_deploy(gateways=2) as deployment:
        holder = deployment.gateways[0]
        copy = holder.directory.store_copy
        record = GroupRecord(service=SERVICE, primary="", epoch=2, era=copy.era)
        for node in ("node-1", "node-2"):
            key = f"{ACKS_PREFIX}{SERVICE}/{node}"
            deployment.store.put(key, dump_ack(record.version()))
        await deployment.async_wait_until(
            lambda: holder.directory.all_stopped(record, deployment.store.revision)
        )
        listed = AsyncMock(wraps=copy._store.async_list)
        with patch.object(copy._store, "async_list", listed):
            for key in (NODES_PREFIX + "node-3", PRESENCE_PREFIX + "node-3"):
                deployment.store.put(key, b"")
                deployment.store.remove(key)
            if is_missed:
                deployment.store.compact()
            revision = deployment.store.revision
            copy.poll_now()
            await deployment.async_wait_until(lambda: copy.as_of >= revision)
        assert listed.called == is_missed
        assert not holder.directory.all_stopped(record, revision)


@pytest.mark.parametrize("gateways", [1, 2])
async def test_a_commit_is_not_in_doubt_since_the_group_gets_its_first_record(
    gateways: int,
) -> None:
    """Guards against INDOUBT for a commit without any fault, at a start with a slow store."""
    commit, released = PlatformStore.async_commit, asyncio.Event()

    async def async_commit(
        store: PlatformStore, expected: dict[str, int], writes: list[Write], *arguments: Any
    ) -> Any:
        if any(one.key.startswith(GROUPS_PREFIX) for one in writes):
            await released.wait()
        return await commit(store, expected, writes, *arguments)

    with patch.object(PlatformStore, "async_commit", async_commit):
        deployment = Deployment()
        starting = asyncio.create_task(deployment.async_start(gateways))
        try:
            await deployment.async_wait_until(
                lambda: len(deployment.gateways) == gateways
                and all(one.directory.find_group(SERVICE) for one in deployment.gateways)
                and all(one.directory._is_awaited() for one in deployment.gateways)
            )
            # The nodes ask the members when the store does not answer.
            deployment.store.down = True
            await deployment.async_wait_until(
                lambda: all(has_reported_primary(one) for one in deployment.gateways)
            )
            clients = [await deployment.async_connect("urgent", one) for one in range(gateways)]
            for client in clients:
                for text in ("BEGIN", "WRITE ward v1"):
                    assert error_of(await client.async_query(text)) == ""
            deployment.store.down = False
            released.set()
            while not all(deployment.is_serving(one) for one in deployment.gateways):
                for client in clients:
                    assert error_of(await client.async_query("READ ward")) == ""
                await asyncio.sleep(0.1)
            for client in clients:
                assert error_of(await client.async_query("COMMIT")) == ""
            assert len(deployment.members["a"].log) == gateways
        finally:
            deployment.store.down = False
            released.set()
            await starting
            await deployment.async_stop()


def has_reported_primary(gateway: Gateway) -> bool:
    """Return whether a gateway has a lease by reports and knows of no record."""
    group = gateway.directory.find_group(SERVICE)
    if group is None or group.primary_lease.record is not None:
        return False
    return group.primary_lease.basis(now_ms()) == "reports"
