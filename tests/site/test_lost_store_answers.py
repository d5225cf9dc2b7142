"""Tests of registrations and promotion leases whose calls to the store get no answer.

Such a call may have been executed, may be executed later if its condition still holds, or never.
"""

import asyncio
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

import pytest
from burdockrun_gateway import Gateway
from burdockrun_gateway.const import PRESENCE_PREFIX
from burdockrun_gateway.leases import PromotionLease
from burdockrun_site.http import HttpClient, HttpFault
from burdockrun_site.store import PlatformStore
from result import Err

from tests.site.common import Deployment, async_deploy
from tests.site.test_restored_store import find_holder

LEASE_KEY = "burdockrun/duty"
NODE_KEY = "burdockrun/nodes/node-1"
GRANT = "POST /-/kv-lease"
KEEP = "POST /-/kv-keep"
END = "DELETE /-/kv-lease-end"
COMMIT = "POST /-/kv-txn"
# A registration, or a promotion lease, is there again within this time.
BACK_S = 6.0


class LostAnswers:
    """Lets calls of the nodes whose client is patched get no answer, as `fates` says of each.

    A fate is `executed`, `never`, or the number of seconds after which the call is executed. The
    node waits for the answer until its time-out, or until the connection is reset.
    """

    def __init__(self) -> None:
        self.fates: list[tuple[str, str | float]] = []
        self.is_losing_all = False
        self.is_reset = False
        self.lost: list[str] = []
        self._tasks: list[asyncio.Task[Any]] = []

    def wrap(self, async_call: Callable[..., Any]) -> Callable[..., Any]:
        """Return the call of a client with its answers lost."""

        async def async_lose(method: str, target: str, **named: Any) -> Any:
            call = f"{method} {target}"
            fate: str | float | None = "executed" if self.is_losing_all else None
            if self.fates and call.startswith(self.fates[0][0]):
                fate = self.fates.pop(0)[1]
            if fate is None:
                return await async_call(method, target, **named)
            self.lost.append(call)
            if fate == "executed":
                await async_call(method, target, **named)
            elif isinstance(fate, float):
                late = self._async_execute_late(fate, async_call, method, target, named)
                self._tasks.append(asyncio.create_task(late))
            if not self.is_reset:
                await asyncio.sleep(named["timeout_ms"] / 1000)
            return Err(HttpFault.NO_RESPONSE)

        return async_lose

    async def _async_execute_late(
        self, seconds: float, async_call: Callable[..., Any], method: str, target: str, named: Any
    ) -> None:
        await asyncio.sleep(seconds)
        await async_call(method, target, **named)

    def patch_gateway(self, gateway: Gateway) -> None:
        """Lose answers to one gateway."""
        store = gateway.directory.store_copy._store
        assert isinstance(store, PlatformStore)
        http = store._http
        http.async_call = self.wrap(http.async_call)  # type: ignore[method-assign]


async def async_add_losing(deployment: Deployment, node: str, answers: LostAnswers) -> Gateway:
    """Start a gateway whose first calls may lose their answers."""
    call = HttpClient.async_call

    def bind(client: HttpClient, *arguments: Any, **named: Any) -> Any:
        return answers.wrap(call.__get__(client))(*arguments, **named)

    with patch.object(HttpClient, "async_call", bind):
        gateway = await deployment.async_add_gateway(node)
        await deployment.async_wait_until(lambda: not answers.fates)
    return gateway


async def async_measure_absence(deployment: Deployment, key: str, seconds: float) -> float:
    """Return for how many seconds a key was missing in the store."""
    loop = asyncio.get_running_loop()
    missing, last = 0.0, loop.time()
    end = last + seconds
    while last < end:
        await asyncio.sleep(0.01)
        now = loop.time()
        if key not in deployment.store.entries:
            missing += now - last
        last = now
    return missing


async def test_a_holder_without_answers_does_not_keep_the_promotion_lease() -> None:
    """Guards against a lease that is renewed by a node which cannot order, for as long as it likes.

    The store executes the calls of the holder, and their answers are lost.
    """
    async with async_deploy(gateways=3) as deployment:
        await deployment.async_wait_until(lambda: find_holder(deployment) is not None)
        holder = find_holder(deployment)
        assert holder is not None
        answers = LostAnswers()
        answers.patch_gateway(holder)
        answers.is_losing_all = answers.is_reset = True
        lease = holder._promotion_lease
        others = [one for one in deployment.gateways if one is not holder]
        await deployment.async_wait_until(
            lambda: any(one._promotion_lease.may_promote() for one in others), BACK_S
        )
        assert not lease.is_held()
        answers.is_losing_all = False
        await asyncio.sleep(2.0)
        assert sum(one._promotion_lease.is_held() for one in deployment.gateways) == 1


async def test_a_registration_does_not_lapse_for_one_renewal_that_is_lost() -> None:
    """Guards against a node that may not use its primaries for a while after one lost call."""
    async with async_deploy(gateways=1) as deployment:
        answers = LostAnswers()
        answers.patch_gateway(deployment.gateways[0])
        lease = deployment.gateways[0]._registration._key._lease
        answers.fates = [(f"{KEEP}/{lease}", "never")]
        assert await async_measure_absence(deployment, NODE_KEY, 4.5) == 0.0
        assert len(answers.lost) == 1


@pytest.mark.parametrize(
    "fates",
    [
        [(GRANT, "executed")],
        [(COMMIT, "executed"), (END, "executed")],
        [(COMMIT, "executed"), (END, "never")],
        [(COMMIT, "executed"), (END, 1.0)],
        [(COMMIT, 1.0), (END, "never")],
    ],
    ids=["grant", "commit", "commit and end", "commit and late end", "late commit"],
)
async def test_a_node_is_registered_once_though_answers_are_lost(
    fates: list[tuple[str, str | float]],
) -> None:
    """Guards against a node that stays unregistered, or whose key ends with a lease of before."""
    async with async_deploy(gateways=1) as deployment:
        answers = LostAnswers()
        answers.fates = list(fates)
        answers.is_reset = True
        gateway = await async_add_losing(deployment, "node-2", answers)
        assert len(answers.lost) == len(fates)
        await asyncio.sleep(BACK_S)
        key = "burdockrun/nodes/node-2"
        assert await async_measure_absence(deployment, key, 3.0) == 0.0
        entry = deployment.store.entries[key]
        assert entry.lease == gateway._registration._key._lease
        assert len(deployment.store._leases) == 3  # two registrations and the promotion lease


async def test_a_node_that_has_ended_does_not_come_back_with_a_late_registration() -> None:
    """Guards against changes of primaries that wait for a node which has ended."""
    async with async_deploy(gateways=1) as deployment:
        answers = LostAnswers()
        answers.fates = [(COMMIT, 2.2), (END, "never")]
        gateway = await async_add_losing(deployment, "node-2", answers)
        await gateway._registration.async_release()
        await asyncio.sleep(1.5)
        assert PRESENCE_PREFIX + "node-2" not in deployment.store.entries


@pytest.mark.parametrize("fate", ["never", "executed"])
async def test_a_node_is_unregistered_though_an_answer_is_lost(fate: str) -> None:
    """Guards against changes of primaries that wait for a node whose last call was lost."""
    async with async_deploy(gateways=2) as deployment:
        gateway = deployment.gateways[1]
        answers = LostAnswers()
        answers.patch_gateway(gateway)
        answers.fates = [(COMMIT, fate)]
        await gateway._registration.async_release()
        assert len(answers.lost) == 1
        left = [key for key in deployment.store.entries if key.endswith("/node-2")]
        assert [key for key in left if "/acks/" not in key] == []


@pytest.mark.parametrize(
    "fates",
    [
        [(GRANT, "executed")],
        [(COMMIT, "executed"), (END, "never")],
        [(COMMIT, "executed"), (END, 1.0)],
        [(COMMIT, 0.6), (END, "never")],
    ],
    ids=["grant", "commit and end", "commit and late end", "late commit"],
)
async def test_a_promotion_lease_whose_answer_was_lost_is_not_believed_and_ends(
    fates: list[tuple[str, str | float]],
) -> None:
    """Guards against two holders, and against a lease that nobody can use or take."""
    async with async_deploy(gateways=2) as deployment:
        await deployment.async_wait_until(lambda: find_holder(deployment) is not None)
        answers = LostAnswers()
        for gateway in deployment.gateways:
            answers.patch_gateway(gateway)
        answers.fates = list(fates)
        answers.is_reset = True
        deployment.store.remove(LEASE_KEY)
        loop = asyncio.get_running_loop()
        end = loop.time() + BACK_S
        leases = [one._promotion_lease for one in deployment.gateways]

        def holds_listed_key(lease: PromotionLease) -> bool:
            key = deployment.store.entries.get(LEASE_KEY)
            is_listed = key is not None and key.created == lease._key.revision
            return is_listed and lease.may_promote()

        # The earlier holder believes in its key until it has read that the key is gone.
        while answers.fates or not any(map(holds_listed_key, leases)):
            assert loop.time() < end
            await asyncio.sleep(0.01)
            assert sum(lease.may_promote() for lease in leases) <= 1
        (holder,) = [lease for lease in leases if lease.may_promote()]
        assert deployment.store.entries[LEASE_KEY].value == holder.node.encode()
