"""Tests of members that start again under their ids and hold nothing of before."""

import asyncio
import time

import pytest

from tests.site.common import MAX_STALENESS_MS, Client, Deployment, async_deploy, error_of, rows_of
from tests.site.members import Commit, FakeMember
from tests.site.test_homes import (
    GATEWAYS,
    MAX_CONNECTIONS,
    async_wait_for_homes,
    find_home,
)

TRANSACTIONS = 10
# Makes the replicas the faster members for reads.
PRIMARY_DELAY_S = 0.05
# Covers several attempts to connect to a member that has gone.
REUSED_S = 3.0


async def async_read_in_transactions(client: Client) -> set[str]:
    """Return what transactions of one read get, without those that end with an error."""
    rows: set[str] = set()
    for _ in range(TRANSACTIONS):
        await client.async_query("BEGIN READ")
        rows.update(rows_of(await client.async_query("READ ward")))
        await client.async_query("ROLLBACK")
    return rows


async def async_write(client: Client) -> None:
    """Write the item that transactions read."""
    assert error_of(await client.async_query("WRITE ward v1")) == ""


def count_replica_reads(deployment: Deployment) -> int:
    """Return how many reads the replicas have run."""
    return sum(len(deployment.members[name].executed) for name in "bc")


async def async_restart_replicas(
    deployment: Deployment, client: Client, required_s: float = 0.0
) -> None:
    """Let the replicas start again without their log, and check that they are not read.

    They are read before, and at least for `required_s`. The entries of the members stay as they
    are, as until the next poll of the store.
    """
    deployment.members["a"].delay_s = PRIMARY_DELAY_S
    required_s += time.monotonic()
    async with asyncio.timeout(20.0):
        while count_replica_reads(deployment) < TRANSACTIONS or time.monotonic() < required_s:
            assert await async_read_in_transactions(client) == {"v1"}
    for name in "bc":
        await deployment.members[name].async_restart_without_log()
    before = count_replica_reads(deployment)
    assert await async_read_in_transactions(client) == {"v1"}
    assert count_replica_reads(deployment) == before


async def test_a_transaction_does_not_read_a_replica_that_started_again_without_its_log() -> None:
    """Guards against a position of an earlier process that excuses a replica from a commit."""
    async with async_deploy(gateways=1) as deployment:
        client = await deployment.async_connect("visits")
        await async_write(client)
        await async_restart_replicas(deployment, client)


@pytest.mark.parametrize("gateways", [1, 2])
async def test_a_bounded_read_does_not_use_a_replica_without_its_log(gateways: int) -> None:
    """Guards against a transaction that lacks a commit older than the route's staleness.

    Its client has not written; the commit may have been acknowledged by another gateway.
    """
    async with async_deploy(gateways) as deployment:
        deployment.configure(2, databases=("urgent", "lookups"))
        await deployment.async_follow(2)
        await async_write(await deployment.async_connect("urgent", gateways - 1))
        client = await deployment.async_connect("lookups")
        await async_restart_replicas(deployment, client, MAX_STALENESS_MS / 1000)


async def test_a_primary_that_started_again_without_its_log_is_not_read() -> None:
    """Guards against reads at a member that leads by the group record but holds nothing."""
    async with async_deploy(gateways=1) as deployment:
        client = await deployment.async_connect("urgent")
        await async_write(client)
        for _ in range(TRANSACTIONS):
            assert rows_of(await client.async_query("READ ward")) == ["v1"]
        primary = deployment.members["a"]
        log, primary.primary = primary.log, False
        await primary.async_restart_without_log()
        assert await async_read_in_transactions(client) == set()
        assert rows_of(await client.async_query("READ ward")) == []
        primary.log, primary.has_log, primary.primary = log, True, True
        async with asyncio.timeout(5.0):
            while await async_read_in_transactions(client) != {"v1"}:
                pass


async def test_a_transaction_through_a_home_does_not_read_a_replica_without_its_log() -> None:
    """Guards against a home that reaches the next process of a member on the same connection."""
    async with async_deploy(GATEWAYS, MAX_CONNECTIONS) as deployment:
        await async_wait_for_homes(deployment)
        homes = {find_home(deployment, name) for name in "bc"}
        index = next(one for one in range(GATEWAYS) if one not in homes)
        client = await deployment.async_connect("visits", index)
        await async_write(client)
        await async_restart_replicas(deployment, client)


async def test_nothing_runs_at_an_address_that_another_member_uses_now() -> None:
    """Guards against statements of one service at a member of another, which has its address."""
    async with async_deploy(gateways=1) as deployment:
        client = await deployment.async_connect("visits")
        await async_write(client)
        gone = deployment.members["b"]
        await gone.async_stop()
        other = FakeMember("another-service", "x", primary=True)
        other.port = gone.port
        # Its log seems to have all that reads require.
        other.log = [Commit(term=9, number=99, request_id="q1", items={})]
        deployment.members["a"].delay_s = deployment.members["c"].delay_s = PRIMARY_DELAY_S
        await other.async_start()
        try:
            until = time.monotonic() + REUSED_S
            while time.monotonic() < until:
                assert rows_of(await client.async_query("READ ward")) == ["v1"]
                await async_write(client)
            assert other.max_open_connections > 0
            assert (other.executed, other.controls) == ([], [])
        finally:
            await other.async_stop()
