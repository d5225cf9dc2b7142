"""Tests of the work of the holder of the promotion lease."""

import asyncio
from unittest.mock import patch

from burdockrun_gateway.group import Group
from burdockrun_gateway.supervisor import Supervisor
from burdockrun_groups import Reason

from tests.site.common import SERVICE, async_deploy, error_of


async def test_groups_at_rest_are_checked_once_a_second() -> None:
    """Guards against a holder that looks at all groups at each tick, whatever has changed."""
    async with async_deploy() as deployment:
        await asyncio.sleep(1.0)
        checked: list[str] = []
        find_change_reason = Supervisor._find_change_reason

        def count(supervisor: Supervisor, group: Group) -> Reason:
            checked.append(group.service)
            return find_change_reason(supervisor, group)

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
        for task in deployment.gateways[inside]._tasks:
            task.cancel()
        for index in {0, 1, 2} - {inside}:
            pool = deployment.gateways[index].directory.groups[SERVICE].pools["a"]
            for link in list(pool._links):
                pool.discard(link)
        await deployment.async_wait_until(lambda: bool(deployment.store.promotions))
        assert error_of(await client.async_query("WRITE ward v2")) != ""
