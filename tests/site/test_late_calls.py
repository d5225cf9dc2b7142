"""Tests of calls to the store that are executed after the process that sent them has ended."""

import asyncio
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import pytest
from burdockrun_base import SystemClock
from burdockrun_gateway import Gateway
from burdockrun_gateway.const import (
    GROUPS_PREFIX,
    NODES_PREFIX,
    PRESENCE_PREFIX,
    RELEASE_TRIES,
    SUSPECTS_PREFIX,
)
from burdockrun_gateway.group import Group
from burdockrun_gateway.leases import LeasedKey
from burdockrun_gateway.records import dump_group, dump_suspicion
from burdockrun_gateway.supervisor import Supervisor
from burdockrun_groups import Suspicion
from burdockrun_site.http import HttpFault
from burdockrun_site.store import PlatformStore
from result import Err, Ok

from tests.site.common import SERVICE, Deployment, async_deploy, error_of
from tests.site.test_lost_store_answers import COMMIT, LostAnswers
from tests.site.test_supervision import cut_off_from_other_nodes, find_other_node

# A call without an answer is executed this long after it was sent: the next process is registered.
LATE_S = 3.0
# The same for a mark of leaving, which is refused once the lease of its registration has ended.
LEAVE_LATE_S = 1.5
# After the removal of a registration, no node is waited for that has left.
LEFT_S = 1.8
# A primary that most nodes have lost is replaced within this time.
REPLACED_S = 8.0
# What a node has reported is corrected within this time, a few polls of the store.
CORRECTED_S = 3.0


async def async_restart(deployment: Deployment, index: int, answers: LostAnswers) -> Gateway:
    """End a gateway whose last calls get no answer, and start the next process of its node."""
    gateway = deployment.gateways[index]
    node = gateway._entry.node
    answers.patch_gateway(gateway)
    await gateway._registration.async_release()
    await deployment.async_stop_gateway(node)
    started = await deployment.async_add_gateway(node)
    await deployment.async_wait_until(lambda: deployment.is_serving(started))
    return started


def cut_off_from_store(gateway: Gateway) -> None:
    """Let no call of a gateway reach the store."""
    store = gateway.directory.store_copy._store
    assert isinstance(store, PlatformStore)

    async def async_fail(method: str, target: str, **named: object) -> Err[HttpFault]:
        await asyncio.sleep(0.1)
        return Err(HttpFault.NO_RESPONSE)

    store._http.async_call = async_fail  # type: ignore[method-assign]


async def async_count_late_commits(deployment: Deployment, gateway: int, seconds: float) -> int:
    """Write through a gateway; return how many acknowledged writes followed a promotion."""
    client = await deployment.async_connect("urgent", gateway)
    members = [member for name, member in deployment.members.items() if name != "a"]
    late, end = 0, SystemClock().now_ms() + seconds * 1000
    while SystemClock().now_ms() < end:
        is_replaced = any(member.primary for member in members)
        answer = await client.async_query("WRITE ward v1")
        is_at_old = any(one.request_id == client.last_id for one in deployment.members["a"].log)
        late += is_replaced and error_of(answer) == "" and is_at_old
        await asyncio.sleep(0.01)
    assert any(member.primary for member in members)
    return late


async def test_a_late_removal_does_not_let_the_next_process_use_a_superseded_primary() -> None:
    """Guards against writes at a superseded primary (ONE) by a node that has lost the store.

    The removal of its registration by its previous process is executed after it has registered, and
    the holder of the promotion lease does not wait for it.
    """
    async with async_deploy(gateways=3) as deployment:
        await asyncio.sleep(1.0)
        index = find_other_node(deployment)
        answers = LostAnswers()
        answers.fates = [(COMMIT, LATE_S)] * RELEASE_TRIES
        answers.is_reset = True
        started = await async_restart(deployment, index, answers)
        started_index = len(deployment.gateways) - 1
        await asyncio.sleep(0.2)
        cut_off_from_store(started)
        await asyncio.sleep(LATE_S + LEFT_S)
        cut_off_from_other_nodes(deployment, started_index, "a")
        assert await async_count_late_commits(deployment, started_index, REPLACED_S) == 0


@pytest.mark.parametrize("call", ["release", "leave"])
async def test_a_late_call_leaves_the_registration_of_the_next_process(call: str) -> None:
    """Guards against a node that its previous process unregisters, or marks as leaving."""
    async with async_deploy(gateways=2) as deployment:
        answers = LostAnswers()
        answers.fates = [(COMMIT, LATE_S)] * RELEASE_TRIES
        answers.is_reset = True
        if call == "leave":
            answers.fates = [(COMMIT, LEAVE_LATE_S)]
            answers.patch_gateway(deployment.gateways[1])
            await deployment.gateways[1]._registration.async_leave()
        await async_restart(deployment, 1, answers)
        keys = [NODES_PREFIX + "node-2", PRESENCE_PREFIX + "node-2"]
        revisions = [deployment.store.entries[key].revision for key in keys]
        await asyncio.sleep(LATE_S + 0.5)
        assert len(answers.lost) == (RELEASE_TRIES if call == "release" else 1)
        assert [deployment.store.entries[key].revision for key in keys] == revisions


async def test_a_process_without_a_registration_of_its_own_uses_no_reports() -> None:
    """Guards against a primary lease that rests on what an earlier process may still remove."""
    async with async_deploy(gateways=2) as deployment:
        deployment.store.put(PRESENCE_PREFIX + "node-3", b"")
        with patch.object(LeasedKey, "async_acquire", return_value=False):
            started = await deployment.async_add_gateway("node-3")
            await deployment.async_wait_until(lambda: "node-3" in started.directory.present)
            lease = started.directory.groups[SERVICE].primary_lease
            assert not lease.may_use_reports
        await deployment.async_wait_until(lambda: lease.may_use_reports)


async def test_a_process_that_missed_an_answer_removes_its_registration() -> None:
    """Guards against changes of primaries that wait for a node which has ended."""
    async with async_deploy(gateways=2) as deployment:
        gateway = deployment.gateways[1]
        answers = LostAnswers()
        answers.patch_gateway(gateway)
        answers.fates = [(COMMIT, "executed")]
        answers.is_reset = True
        assert not await gateway._registration._key.async_acquire(None)
        await gateway._registration.async_release()
        left = [key for key in deployment.store.entries if key.endswith("/node-2")]
        assert [key for key in left if "/acks/" not in key] == []


@pytest.mark.parametrize("late", ["suspicion", "withdrawal"])
async def test_a_report_executed_late_is_corrected(late: str) -> None:
    """Guards against a primary that is replaced, or not replaced, for what a node said before."""
    async with async_deploy(gateways=2) as deployment:
        group = deployment.gateways[1].directory.groups[SERVICE]
        key = f"{SUSPECTS_PREFIX}{SERVICE}/node-2"
        value = dump_suspicion(Suspicion(node="node-2", service=SERVICE, member="a"))
        with patch.object(Group, "_update_suspicion"):
            group.suspected = "a" if late == "withdrawal" else ""
            await asyncio.sleep(0.5)
            assert (key in deployment.store.entries) == (late == "withdrawal")
            if late == "withdrawal":
                deployment.store.remove(key)
            else:
                deployment.store.put(key, value)
            await deployment.async_wait_until(
                lambda: (key in deployment.store.entries) == (late == "withdrawal"), CORRECTED_S
            )


async def test_a_late_report_that_is_listed_ahead_of_the_copy_is_corrected() -> None:
    """Guards against a sound primary that stays suspected since the copy had been too old to tell.

    A page of a listing may have a report that is newer than the revision of the copy, and the copy
    may be older than the node's last answered report.
    """
    async with async_deploy(gateways=2) as deployment:
        gateway = deployment.gateways[1]
        key = f"{SUSPECTS_PREFIX}{SERVICE}/node-2"
        value = dump_suspicion(Suspicion(node="node-2", service=SERVICE, member="a"))
        later = deployment.store.revision + 2
        gateway._reports._revisions[SERVICE] = later
        deployment.store.put(key, value)
        await deployment.async_wait_until(lambda: key in gateway.directory.store_copy.items)
        await asyncio.sleep(0.2)
        assert gateway.directory.store_copy.as_of < later
        deployment.register_member(deployment.members["b"])
        await deployment.async_wait_until(lambda: key not in deployment.store.entries, CORRECTED_S)


async def test_a_node_that_registers_during_its_first_listing_learns_of_earlier_changes() -> None:
    """Guards against a primary lease of a node that no change waits for, by an older record.

    Pages of a listing are no snapshot: that of the group record is read before a change, that of
    the registration after it.
    """
    async with async_deploy(gateways=2) as deployment:
        await asyncio.sleep(LEFT_S)
        known = deployment.gateways[0].directory.groups[SERVICE].primary_lease.record
        assert known is not None
        vacant = replace(known, primary="", epoch=known.epoch + 1, previous="a", promoted=False)
        has_record, is_changed, is_registered = (asyncio.Event() for _ in range(3))
        started = await deployment.async_add_gateway("node-3")
        store = started.directory.store_copy._store
        assert isinstance(store, PlatformStore)
        async_call = store._http.async_call

        async def async_hold(method: str, target: str, **named: Any) -> Any:
            if "kv-watch" in target:
                await asyncio.sleep(LATE_S)
                return Err(HttpFault.NO_RESPONSE)
            if "kv-txn" in target:
                await is_changed.wait()
            answered = await async_call(method, target, **named)
            body = answered.ok_value.body if isinstance(answered, Ok) else b""
            if "kv-range" in target and GROUPS_PREFIX.encode() in body:
                has_record.set()
                await is_registered.wait()
            return answered

        store._http.async_call = async_hold  # type: ignore[method-assign]
        await has_record.wait()
        with patch.object(Supervisor, "_check_groups"):
            deployment.store.put(GROUPS_PREFIX + SERVICE, dump_group(vacant))
            revision = deployment.store.revision
            await deployment.async_wait_until(
                lambda: deployment.gateways[0].directory.all_stopped(vacant, revision)
            )
            is_changed.set()
            key = PRESENCE_PREFIX + "node-3"
            await deployment.async_wait_until(lambda: key in deployment.store.entries)
            is_registered.set()
            await deployment.async_wait_until(lambda: key in started.directory.store_copy.items)
            lease = started.directory.groups[SERVICE].primary_lease
            assert lease.primary(SystemClock().now_ms()) == ""
            assert not lease.may_use_reports


async def test_a_registration_of_a_later_era_does_not_count_before_the_copy_is_of_it() -> None:
    """Guards against reports that are used on a key which the restored store may not have."""
    async with async_deploy(gateways=1) as deployment:
        directory = deployment.gateways[0].directory
        lease = directory.groups[SERVICE].primary_lease
        await deployment.async_wait_until(lambda: lease.may_use_reports)
        era = directory.store_copy.era
        directory.note_registered(directory.store_copy.as_of + 1, era + 1)
        assert not lease.may_use_reports
