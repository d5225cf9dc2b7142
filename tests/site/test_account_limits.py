"""Tests of the limits of accounts over several nodes, with datagrams on local ports."""

import asyncio
from dataclasses import replace

from burdockrun_gateway import Gateway
from burdockrun_gateway.limit_messages import dump_message
from burdockrun_gateway.ports import AcquireFault
from burdockrun_limits import Query
from burdockrun_statements import ErrorCode
from result import Err, Ok

from tests.site.common import Deployment, async_deploy

KEYS = {"norte": ["key-n1"], "sur": ["key-s1"]}
RATE = 20.0


async def async_limit(deployment: Deployment, rate: float) -> None:
    """Limit the account `norte`, and wait until its owner knows that nobody holds a lease."""
    deployment.configure(2, keys=KEYS, rates={"norte": rate})
    for gateway in deployment.gateways:
        gateway.directory.store_copy.poll_now()

    def is_owned() -> bool:
        owned = [one.limits._owner.accounts.items() for one in deployment.gateways]
        versions = [one.directory.configuration.version for one in deployment.gateways]
        ready = [name for one in owned for name, account in one if not account.taking_over]
        return versions == [2] * len(owned) and ready == ["norte"]

    await deployment.async_wait_until(is_owned)


async def async_take(gateway: Gateway, account: str) -> AcquireFault | None:
    """Count an operation as the pool of a home does."""
    if gateway.limits.try_take(account):
        return None
    taken = await gateway.limits.async_take(account, 500.0)
    return taken.err_value if isinstance(taken, Err) else None


def count_messages(gateway: Gateway) -> int:
    """Return how many messages about limits a node has sent."""
    counters = gateway.limits.measurements.counters.get("limit_messages", {})
    return sum(count for labels, count in counters.items() if ("direction", "sent") in labels)


async def test_all_nodes_together_keep_the_limit() -> None:
    """Guards against nodes that each let the whole limit through, and against lost answers."""
    async with async_deploy(gateways=3) as deployment:
        await async_limit(deployment, RATE)
        await asyncio.sleep(1.2)
        loop = asyncio.get_running_loop()
        started = loop.time()
        faults: list[AcquireFault] = []
        taken = 0
        while loop.time() < started + 2.0:
            for gateway in deployment.gateways:
                fault = await async_take(gateway, "norte")
                taken += fault is None
                faults += [fault] if fault is not None else []
            await asyncio.sleep(0.005)
        elapsed_s = loop.time() - started
        assert taken <= RATE * elapsed_s + RATE + 1
        assert taken >= RATE * elapsed_s * 0.8
        assert faults
        assert {fault.code for fault in faults} == {ErrorCode.LIMITED}
        assert all("norte" in fault.reason and fault.retry_ms > 0 for fault in faults)


async def test_below_the_limit_first_operations_are_not_refused() -> None:
    """Guards against refusals at nodes that hold no share of the limit yet."""
    async with async_deploy(gateways=3) as deployment:
        await async_limit(deployment, RATE)
        await asyncio.sleep(0.5)
        for _ in range(4):
            for gateway in deployment.gateways:
                assert await async_take(gateway, "norte") is None
            await asyncio.sleep(0.3)


async def test_accounts_without_a_rate_cost_nothing() -> None:
    """Guards against messages and refusals where the ticket has no limits."""
    async with async_deploy(gateways=2) as deployment:
        deployment.configure(2, keys=KEYS)
        await asyncio.sleep(0.3)
        for gateway in deployment.gateways:
            assert all(gateway.limits.try_take("norte") for _ in range(1_000))
            assert isinstance(await gateway.limits.async_take("sur", 0.0), Ok)
            assert count_messages(gateway) == 0


async def test_messages_of_unknown_senders_are_ignored() -> None:
    """Guards against shares that are granted to, or by, a sender that is no registered node."""
    async with async_deploy(gateways=2) as deployment:
        await async_limit(deployment, RATE)
        gateway = deployment.gateways[0]
        received = gateway.limits.measurements.counters.get("limit_messages", {}).copy()
        query = Query(node="node-2", process=1, number=1, accounts=("norte",))
        for host, message in (
            ("10.9.9.9", query),  # no node has this address
            ("127.0.0.1", replace(query, node="node-9")),  # no such node
        ):
            gateway.limits.handle_datagram(dump_message(message), host)
        assert gateway.limits.measurements.counters.get("limit_messages", {}) == received
