"""Tests of the choice of the next primary where answers of members are missing."""

import asyncio
import time
from dataclasses import replace
from unittest.mock import patch

import pytest
from burdockrun_base import LogPosition
from burdockrun_gateway.const import CHANGE_FAILED, COMMITS_MAY_BE_LOST, GROUPS_PREFIX
from burdockrun_gateway.links import MemberLink
from burdockrun_gateway.ports import AcquireFault, RequestPriority
from burdockrun_gateway.records import load_group
from burdockrun_statements import SessionState
from result import Result

from tests.site.common import (
    SERVICE,
    Client,
    Deployment,
    async_deploy,
    error_of,
    read_events,
    rows_of,
)
from tests.site.members import FakeMember


async def async_write_past(deployment: Deployment, behind: str, *, synchronous: int = 1) -> Client:
    """Acknowledge a commit that the member `behind` has not received."""
    deployment.configure(9, synchronous=synchronous)
    directory = deployment.gateways[0].directory
    await deployment.async_wait_until(lambda: directory.configuration.version == 9)
    client = await deployment.async_connect("urgent")
    assert error_of(await client.async_query("WRITE ward v1")) == ""
    deployment.members[behind].held_term = 1
    assert error_of(await client.async_query("WRITE ward v2")) == ""
    deployment.members[behind].held_term = 0
    return client


def hide_status_after_pause(member: FakeMember, *, is_lost: bool) -> None:
    """Let a member answer the first STATUS after PAUSE with BUSY, or lose its answer."""
    control = member._control

    def answer(word: str, term: int) -> list[str]:
        if word == "PAUSE" and is_lost:
            member.lose_answer_to = "STATUS"
        elif word == "PAUSE":
            member.refuse_next["STATUS"] = "BUSY"
        return control(word, term)

    member._control = answer  # type: ignore[method-assign]


def refuse_status(member: FakeMember) -> None:
    """Let a member answer each STATUS with BUSY."""
    control = member._control

    def answer(word: str, term: int) -> list[str]:
        if word == "STATUS":
            return [f"ERROR BUSY {member.id}"]
        return control(word, term)

    member._control = answer  # type: ignore[method-assign]


async def async_wait_until_awaited(
    deployment: Deployment, caplog: pytest.LogCaptureFixture, member_id: str
) -> None:
    """Wait until the holder of the promotion lease waits for a member."""

    def is_awaited() -> bool:
        steps = [str(event["step"]) for event in read_events(caplog, CHANGE_FAILED.number)]
        return any("no answer" in step and member_id in step.split()[-2:] for step in steps)

    await deployment.async_wait_until(is_awaited)


async def async_wait_until_recorded(deployment: Deployment, names: str) -> None:
    """Wait until the group record names just these members as acknowledging."""
    lease = deployment.gateways[0].directory.groups[SERVICE].primary_lease

    def is_recorded() -> bool:
        record = lease.record
        return record is not None and {one.member_id for one in record.acknowledging} == set(names)

    await deployment.async_wait_until(is_recorded)


def find_ordered(deployment: Deployment) -> list[str]:
    """Return the members that were ordered to lead."""
    return [member for _, member, _ in deployment.store.promotions]


@pytest.mark.parametrize("is_lost", [False, True])
async def test_a_replica_that_is_busy_is_not_passed_over_with_commits_that_only_it_has(
    is_lost: bool,
) -> None:
    """Guards against an acknowledged commit that the next primary lacks after one lost answer."""
    async with async_deploy(gateways=1) as deployment:
        await async_write_past(deployment, "b")
        hide_status_after_pause(deployment.members["c"], is_lost=is_lost)
        await deployment.members["a"].async_stop()
        await deployment.async_wait_until(lambda: bool(deployment.store.promotions))
        assert find_ordered(deployment) == ["c"]


async def test_a_loss_is_stated_where_a_member_with_newer_commits_is_passed_over(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a loss that nobody is told of, in a service that is not synchronous."""
    async with async_deploy(gateways=1) as deployment:
        await async_write_past(deployment, "b", synchronous=0)
        refuse_status(deployment.members["c"])
        await deployment.members["a"].async_stop()
        await deployment.async_wait_until(lambda: deployment.members["b"].primary)
        item = deployment.store.entries[GROUPS_PREFIX + SERVICE]
        assert load_group(SERVICE, item.value).unwrap().unheard == ("c",)
    (loss,) = read_events(caplog, COMMITS_MAY_BE_LOST.number)
    assert (loss["member"], loss["received"], loss["unheard"]) == ("b", "1.1", "c")


async def test_a_member_that_may_have_the_only_copy_of_a_commit_is_never_passed_over(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against an acknowledged commit that is given up since its members were away for long.

    The primary and the replica with the commit stay away until both entries have lapsed and nobody
    counts them any more. Callers are refused at once meanwhile.
    """
    with patch("burdockrun_gateway.group.KNOWN_MEMBERS_MS", 1_000):
        async with async_deploy(gateways=1) as deployment:
            members, group = deployment.members, deployment.gateways[0].directory.groups[SERVICE]
            client = await async_write_past(deployment, "b")
            await async_wait_until_recorded(deployment, "abc")
            for name in "ac":
                await members[name].async_stop()
                deployment.store.remove(f"servers/{name}")
            await async_wait_until_awaited(deployment, caplog, "c")
            await deployment.async_wait_until(group.awaits_members)
            await asyncio.sleep(10.0)
            started = time.monotonic()
            assert error_of(await client.async_query("WRITE ward v3")) == "BUSY"
            assert time.monotonic() - started < 0.1
            assert find_ordered(deployment) == []
            await members["c"].async_start()
            deployment.register_member(members["c"])
            await deployment.async_query_until_done(client, "WRITE ward v4")
            assert find_ordered(deployment) == ["c"]
            assert [commit.items["ward"] for commit in members["c"].log] == ["v1", "v2", "v4"]


async def test_an_operator_lets_a_group_go_on_without_the_members_that_it_awaits(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a group that nobody can give a primary when its last commits are lost."""
    with patch("burdockrun_gateway.group.KNOWN_MEMBERS_MS", 1_000):
        async with async_deploy(gateways=1) as deployment:
            client = await async_write_past(deployment, "b")
            await async_wait_until_recorded(deployment, "abc")
            for name in "ac":
                await deployment.members[name].async_stop()
                deployment.store.remove(f"servers/{name}")
            await async_wait_until_awaited(deployment, caplog, "c")
            deployment.configure(10, synchronous=0)
            await deployment.async_query_until_done(client, "WRITE ward v3")
            record = deployment.gateways[0].directory.groups[SERVICE].primary_lease.record
            assert record is not None
            assert (record.primary, record.floor) == ("b", LogPosition(term=1, index=1))


async def test_a_replica_that_is_gone_is_not_waited_for_once_another_one_has_all_commits() -> None:
    """Guards against a group that never has a primary again after two members are lost in turn."""
    with patch("burdockrun_groups.acknowledging.KNOWN_MEMBERS_MS", 1_000):
        async with async_deploy(gateways=1) as deployment:
            members, _group = deployment.members, deployment.gateways[0].directory.groups[SERVICE]
            client = await async_write_past(deployment, "c")
            await async_wait_until_recorded(deployment, "abc")
            await members["c"].async_stop()
            deployment.store.remove("servers/c")
            await async_wait_until_recorded(deployment, "ab")
            await members["a"].async_stop()
            deployment.store.remove("servers/a")
            await deployment.async_query_until_done(client, "WRITE ward v3")
            assert find_ordered(deployment) == ["b"]


async def test_a_replica_that_is_gone_is_waited_for_while_no_other_one_has_all_commits(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against the loss of a commit whose only replica counts as gone."""
    with (
        patch("burdockrun_groups.acknowledging.KNOWN_MEMBERS_MS", 500),
        patch("burdockrun_gateway.group.KNOWN_MEMBERS_MS", 500),
    ):
        async with async_deploy(gateways=1) as deployment:
            members, _group = deployment.members, deployment.gateways[0].directory.groups[SERVICE]
            client = await async_write_past(deployment, "b")
            await async_wait_until_recorded(deployment, "abc")
            await members["c"].async_stop()
            deployment.store.remove("servers/c")
            await asyncio.sleep(3.0)
            await members["a"].async_stop()
            await async_wait_until_awaited(deployment, caplog, "c")
            await members["a"].async_start()
            await deployment.async_query_until_done(client, "WRITE ward v3")
            assert set(find_ordered(deployment)) == {"a"}
            assert members["a"].item("ward") == "v3"


async def test_the_primary_is_waited_for_when_a_replica_has_restarted_without_its_log(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against the loss of a commit whose only replica has lost it, however long ago."""
    with patch("burdockrun_gateway.group.KNOWN_MEMBERS_MS", 500):
        async with async_deploy(gateways=1) as deployment:
            members, group = deployment.members, deployment.gateways[0].directory.groups[SERVICE]
            client = await async_write_past(deployment, "b")
            await async_wait_until_recorded(deployment, "abc")
            await members["c"].async_restart_without_log()
            members["c"].has_log, members["c"].log = True, list(members["b"].log)
            entry = replace(group.primary_lease.members["c"], started_at_ms=9)
            with patch.object(group, "set_members"):
                group.primary_lease.set_members({**group.primary_lease.members, "c": entry})
                await asyncio.sleep(2.0)
                await members["a"].async_stop()
                await async_wait_until_awaited(deployment, caplog, "a")
                await members["a"].async_start()
                await deployment.async_query_until_done(client, "WRITE ward v3")
            assert set(find_ordered(deployment)) == {"a"}
            assert members["a"].item("ward") == "v3"


async def test_a_replica_whose_entry_has_lapsed_is_waited_for(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against the loss of a commit that only a member has which the store has lost."""
    async with async_deploy(gateways=1) as deployment:
        await async_write_past(deployment, "b")
        directory = deployment.gateways[0].directory
        deployment.store.remove("servers/c")
        await deployment.async_wait_until(lambda: "c" not in directory.groups[SERVICE].pools)
        with patch.object(directory, "may_be_without_store", return_value=False):
            await deployment.members["a"].async_stop()
            await async_wait_until_awaited(deployment, caplog, "c")
            deployment.register_member(deployment.members["c"])
            await deployment.async_wait_until(lambda: bool(deployment.store.promotions))
        assert find_ordered(deployment) == ["c"]


async def test_a_primary_that_had_just_taken_over_is_waited_for(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against the loss of a commit that no replica has received from the next primary."""
    async with async_deploy(gateways=1) as deployment:
        client = await async_write_past(deployment, "b")
        members, group = deployment.members, deployment.gateways[0].directory.groups[SERVICE]
        await members["a"].async_stop()
        await deployment.async_wait_until(
            lambda: (record := group.primary_lease.record) is not None
            and (record.primary, record.promoted) == ("c", True)
        )
        deployment.register_member(members["a"], state="draining")
        await deployment.async_wait_until(lambda: group.pools["a"].entry.draining)
        deployment.store.remove("servers/a")
        await members["c"].async_stop()
        await async_wait_until_awaited(deployment, caplog, "c")
        await members["c"].async_start()
        await deployment.async_wait_until(lambda: "STEPDOWN" in members["c"].controls)
        await deployment.async_query_until_done(client, "WRITE beds v1")
        assert set(find_ordered(deployment)) == {"c"}
        assert members["c"].item("ward") == "v2"


async def test_a_draining_primary_goes_on_when_only_it_is_known_to_have_a_commit() -> None:
    """Guards against a planned change that loses a commit, or leaves the group without a primary.

    The replica that has the commit refuses to tell its position.
    """
    async with async_deploy(gateways=1) as deployment:
        client = await async_write_past(deployment, "b")
        refuse_status(deployment.members["c"])
        deployment.register_member(deployment.members["a"], state="draining")
        await deployment.async_wait_until(lambda: bool(deployment.store.promotions))
        await deployment.async_query_until_done(client, "WRITE beds v1")
    assert find_ordered(deployment)[0] == "a"


async def test_a_planned_change_keeps_all_acknowledged_writes_though_a_replica_is_busy() -> None:
    """Guards against an acknowledged commit that a planned change leaves behind."""
    async with async_deploy(gateways=1) as deployment:
        client = await async_write_past(deployment, "b")
        deployment.members["b"].held_term = 1
        deployment.members["c"].refuse_next["STATUS"] = "BUSY"
        deployment.register_member(deployment.members["a"], state="draining")
        acknowledged = 2
        async with asyncio.timeout(10.0):
            while not deployment.members["c"].primary:
                acknowledged += not error_of(await client.async_query("WRITE ward v3"))
        assert find_ordered(deployment) == ["c"]
        assert len(deployment.members["c"].log) >= acknowledged > 2


async def test_a_successor_that_serves_writes_but_is_too_busy_for_status_is_not_given_up() -> None:
    """Guards against a second change of the primary because the first successor is loaded."""
    async with async_deploy(gateways=1) as deployment:
        client = await async_write_past(deployment, "b")
        member, group = (
            deployment.members["c"],
            deployment.gateways[0].directory.groups[SERVICE],
        )
        promote = deployment._promote

        def promote_busy(member_id: str) -> bool:
            refuse_status(member)
            return promote(member_id)

        deployment.store._promote = promote_busy
        await deployment.members["a"].async_stop()
        await deployment.async_query_until_done(client, "WRITE ward v3")
        await deployment.async_wait_until(
            lambda: (record := group.primary_lease.record) is not None
            and (record.primary, record.promoted) == ("c", True)
        )
    assert set(find_ordered(deployment)) == {"c"}


@pytest.mark.parametrize("database", ["urgent", "visits"])
async def test_a_successor_that_may_lack_commits_is_not_read_before_it_leads(database: str) -> None:
    """Guards against reads without acknowledged commits that the previous primary still has.

    The successor never leads, and the previous primary is back with the commits.
    """
    async with async_deploy(gateways=1) as deployment:
        members = deployment.members
        client = await deployment.async_connect(database)
        assert error_of(await client.async_query("WRITE ward v1")) == ""
        for name in "bc":
            members[name].held_term = 1
        assert error_of(await client.async_query("WRITE ward v2")) == ""
        for name in "bc":
            members[name].held_term = 0
        deployment.store.promote_delay_s = 60.0
        deployment.store.remove("servers/a")
        await deployment.async_wait_until(lambda: bool(deployment.store.promotions))
        until = time.monotonic() + 1.5
        while time.monotonic() < until:
            answer = await client.async_query("READ ward")
            assert error_of(answer) == "BUSY" or answer[0] == "ROW v2"
        deployment.store.promote_delay_s = 0.0
        (successor,) = set(find_ordered(deployment))
        deployment.store.not_running.add(successor)
        deployment.store.remove(f"servers/{successor}")
        await members[successor].async_stop()
        deployment.register_member(members["a"])
        answer = await deployment.async_query_until_done(client, "READ ward")
        assert answer[0] == "ROW v2"


async def test_a_successor_that_has_every_commit_is_read_before_it_leads() -> None:
    """Guards against a planned change that interrupts reads until the successor leads."""
    async with async_deploy(gateways=1) as deployment:
        client = await deployment.async_connect("urgent")
        assert error_of(await client.async_query("WRITE ward v1")) == ""
        deployment.store.promote_delay_s = 3.0
        deployment.register_member(deployment.members["a"], state="draining")
        await deployment.async_wait_until(lambda: bool(deployment.store.promotions))
        assert (await client.async_query("READ ward"))[0] == "ROW v1"
        assert not any(member.primary for member in deployment.members.values())


async def test_a_session_reads_its_write_at_a_successor_whose_term_is_below_the_one_expected() -> (
    None
):
    """Guards against a session read at a replica that lacks the commit of that session.

    The other replica has all that the previous primary had, and the new one serves no reads.
    """
    async with async_deploy(gateways=1) as deployment:
        members = deployment.members
        client = await deployment.async_connect("visits")
        assert error_of(await client.async_query("WRITE ward v1")) == ""
        for name in "bc":
            members[name].term, members[name].peers = 5, []
        deployment.store.promote_delay_s = 0.3
        await members["a"].async_stop()
        await deployment.async_wait_until(lambda: bool(deployment.store.promotions))
        successor = members[find_ordered(deployment)[0]]
        successor.term = 1
        refuse_status(successor)
        await deployment.async_wait_until(lambda: successor.primary)
        await deployment.async_query_until_done(client, "WRITE ward v2")
        assert (await client.async_query("READ ward"))[0] == "ROW v2"
        successor.refuse_all["READ"] = "BUSY"
        assert rows_of(await client.async_query("READ ward")) == []


async def test_a_read_that_waited_for_a_connection_does_not_run_at_a_replaced_primary() -> None:
    """Guards against a stale read at a member that stopped leading while the read was queued."""
    async with async_deploy(gateways=1) as deployment:
        group = deployment.gateways[0].directory.groups[SERVICE]
        client = await deployment.async_connect("visits")
        pool, record = group.pools["a"], group.primary_lease.record
        assert record is not None
        acquire = pool.async_acquire

        async def async_acquire_late(
            priority: RequestPriority, session: SessionState | None
        ) -> Result[MemberLink, AcquireFault]:
            acquired = await acquire(priority, session)
            group.set_record(replace(record, primary="b", epoch=record.epoch + 2))
            return acquired

        group.watermarks.samples.clear()
        with patch.object(pool, "async_acquire", async_acquire_late):
            await client.async_query("READ ward")
        assert client.last_id not in [one.request_id for one in deployment.members["a"].executed]


async def test_a_member_that_ends_soon_does_not_take_over() -> None:
    """Guards against statements at a member beyond the time for which it drains.

    It has received more than the other replica, and would still be the primary at its end.
    """
    async with async_deploy(gateways=1, member_drain_ms=3_500) as deployment:
        await async_write_past(deployment, "b", synchronous=0)
        deployment.register_member(deployment.members["c"], state="draining")
        group = deployment.gateways[0].directory.groups[SERVICE]
        await deployment.async_wait_until(lambda: group.pools["c"].entry.draining)
        await asyncio.sleep(0.6)
        await deployment.members["a"].async_stop()
        await deployment.async_wait_until(lambda: bool(deployment.store.promotions))
        assert find_ordered(deployment) == ["b"]
