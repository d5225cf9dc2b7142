"""Tests of a planned stop of a gateway that is in use."""

import asyncio
import socket
import time
from collections import Counter
from typing import Any
from unittest.mock import patch

import pytest
from burdockrun_gateway import ClientSession, Gateway
from burdockrun_gateway.const import (
    DRAIN_CALL_FAILED,
    DRAIN_QUIET_MS,
    NODES_PREFIX,
    PRESENCE_PREFIX,
    START_WAIT_MS,
)
from burdockrun_gateway.drain import DrainPhase
from burdockrun_gateway.links import MemberLink
from burdockrun_statements import Answer, Statement

from tests.site.common import (
    SERVICE,
    Client,
    Deployment,
    async_deploy,
    count_failures,
    error_of,
    fail_first,
    read_events,
)

GRACE_MS = 1_200
THINK_S = 0.005


async def async_drain(deployment: Deployment, gateway: int = 0) -> float:
    """Drain a gateway; return how long it took in s."""
    started = time.monotonic()
    await deployment.gateways[gateway].async_drain()
    return time.monotonic() - started


async def async_wait_for_phase(deployment: Deployment, phase: DrainPhase) -> None:
    """Wait until a phase of the drain of the first gateway has started."""
    drain = deployment.gateways[0]._drain
    await deployment.async_wait_until(lambda: drain.phase >= phase, GRACE_MS / 1000)


async def async_use(client: Client, text: str, think_s: float = THINK_S) -> Counter[str]:
    """Send a statement after each answer until the session is closed; count errors and cuts."""
    counts: Counter[str] = Counter()
    while not client.has_ended():
        answer = await client.async_query(text)
        counts["cut" if not answer[-1] else error_of(answer)] += 1
        await asyncio.sleep(think_s)
    return counts


def find_links(deployment: Deployment, request_id: str) -> list[MemberLink]:
    """Return the connections of the first gateway on which a request is unanswered."""
    pools = deployment.gateways[0].directory.groups[SERVICE].pools.values()
    return [
        link
        for pool in pools
        for link in pool._links
        for batch in link._batches
        if batch.statements[-1].request_id == request_id
    ]


async def test_sessions_in_use_are_closed_with_an_answer() -> None:
    """Guards against statements of busy sessions that get no answer at the end of a drain."""
    async with async_deploy(gateways=1, grace_ms=GRACE_MS) as deployment:
        clients = [await deployment.async_connect("urgent") for _ in range(6)]
        deployment.members["a"].delay_s = 0.005
        uses = [
            asyncio.create_task(async_use(one, "WRITE ward v1" if index else "READ ward"))
            for index, one in enumerate(clients)
        ]
        await asyncio.sleep(0.1)
        assert await async_drain(deployment) < GRACE_MS / 1000
        for counts in await asyncio.wait_for(asyncio.gather(*uses), 2.0):
            assert counts["cut"] == 0 and counts[""] > 10, counts


async def test_an_open_transaction_is_aborted_with_an_answer() -> None:
    """Guards against a transaction that is cut off between two statements at the end of a drain."""
    async with async_deploy(gateways=1, grace_ms=GRACE_MS) as deployment:
        client = await deployment.async_connect("urgent")
        await client.async_query("BEGIN")
        assert error_of(await client.async_query("WRITE ward v1")) == ""
        drained = asyncio.create_task(async_drain(deployment))
        started = time.monotonic()
        answer: list[str] = []
        while not error_of(answer):
            await asyncio.sleep(0.02)
            answer = await client.async_query("WRITE ward v2")
        assert time.monotonic() - started >= GRACE_MS / 2000
        assert error_of(answer) == "ABORTED" and answer[-1] == "READY E -"
        assert await client.async_query("ROLLBACK") == ["COMPLETE -", "READY I -"]
        assert await client.async_read_line() == ""
        assert await drained < GRACE_MS / 1000
        assert deployment.members["a"].log == []


async def test_a_transaction_may_still_commit_late_in_a_drain() -> None:
    """Guards against work that is thrown away although it only has to be committed."""
    async with async_deploy(gateways=1, grace_ms=GRACE_MS) as deployment:
        client = await deployment.async_connect("urgent")
        await client.async_query("BEGIN")
        await client.async_query("WRITE ward v1")
        drained = asyncio.create_task(async_drain(deployment))
        await async_wait_for_phase(deployment, DrainPhase.ABORTING)
        answer = await client.async_query("COMMIT")
        assert error_of(answer) == "" and answer[-1].startswith("READY I")
        assert await client.async_read_line() == ""
        assert await drained < GRACE_MS / 1000
        assert deployment.members["a"].item("ward") == "v1"


async def test_statements_of_one_write_are_all_answered() -> None:
    """Guards against pipelined statements that are read and never answered."""
    async with async_deploy(gateways=1, grace_ms=GRACE_MS) as deployment:
        client = await deployment.async_connect("urgent")
        deployment.members["a"].delay_s = 0.05
        drained = asyncio.create_task(async_drain(deployment))
        number = 40
        await client.async_write(b"".join(b"QUERY q%d WRITE ward v\r\n" % n for n in range(number)))
        errors = []
        for _ in range(number):
            lines = [await client.async_read_line()]
            while lines[-1] and not lines[-1].startswith("READY"):
                lines.append(await client.async_read_line())
            errors.append("cut" if not lines[-1] else error_of(lines))
        done = errors.count("")
        assert 0 < done < number and set(errors[done:]) == {"BUSY"}, errors
        assert await client.async_read_line() == ""
        assert await drained < GRACE_MS / 1000
        assert len(deployment.members["a"].log) == done


@pytest.mark.parametrize(
    ("before", "last", "error"),
    [
        ([], "WRITE ward v2", "INDOUBT"),
        (["BEGIN", "WRITE ward v1"], "COMMIT", "INDOUBT"),
        (["BEGIN", "WRITE ward v1"], "WRITE ward v2", "ABORTED"),
        (["BEGIN READ", "READ ward"], "COMMIT", "ABORTED"),
        ([], "READ ward", "BUSY"),
    ],
)
async def test_a_statement_at_a_silent_member_gets_its_final_answer(
    before: list[str], last: str, error: str
) -> None:
    """Guards against a connection that ends in place of the answer, or a false promise."""
    async with async_deploy(gateways=1, grace_ms=GRACE_MS) as deployment:
        client = await deployment.async_connect("urgent")
        for text in before:
            assert error_of(await client.async_query(text)) == ""
        drained = asyncio.create_task(async_drain(deployment))
        # Idle sessions are closed from 0.4 s on; a statement times out after 0.8 s.
        await asyncio.sleep(0.3)
        for member in deployment.members.values():
            member.delay_s = 3.0
        query = asyncio.create_task(client.async_query(last))
        await asyncio.sleep(0.05)
        links = find_links(deployment, client.last_id)
        answer = await query
        assert error_of(answer) == error, answer
        assert links and all(link.lost for link in links)
        assert await client.async_read_line() == ""
        assert await drained < GRACE_MS / 1000


async def test_a_session_that_raises_does_not_cut_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a drain that one session ends, while statements of others run."""
    async with async_deploy(gateways=1, grace_ms=GRACE_MS) as deployment:
        gateway = deployment.gateways[0]
        raising = await deployment.async_connect("urgent")
        (odd,) = gateway._channels
        client = await deployment.async_connect("urgent")
        monkeypatch.setattr(odd, "is_busy", fail_first(odd.is_busy, 10_000))
        deployment.members["a"].delay_s = 0.3
        running = asyncio.create_task(client.async_query("WRITE ward v1"))
        await asyncio.sleep(0.05)
        await async_drain(deployment)
        assert running.done()
        assert error_of(await running) == "" and (await running)[-1].startswith("READY I")
        assert count_failures(gateway, "drain") > 0
        assert not raising.has_ended()


async def test_a_request_that_has_arrived_in_part_is_waited_for() -> None:
    """Guards against a session that is closed while the client sends a request."""
    async with async_deploy(gateways=1, grace_ms=GRACE_MS) as deployment:
        client = await deployment.async_connect("urgent")
        drained = asyncio.create_task(async_drain(deployment))
        await client.async_write(b"QUERY q1 READ")
        await async_wait_for_phase(deployment, DrainPhase.CLOSING)
        await asyncio.sleep(0.1)
        answer = await client.async_send(" ward")
        assert answer[-1].startswith("READY I") and error_of(answer) == ""
        assert await client.async_read_line() == ""
        await drained


async def test_a_request_that_arrives_with_the_last_answer_is_answered() -> None:
    """Guards against a request that the gateway has received but not read before it closes."""
    async with async_deploy(gateways=1, grace_ms=GRACE_MS) as deployment:
        gateway = deployment.gateways[0]
        gateway._drain.phase = DrainPhase.CLOSING
        handle = ClientSession.async_handle
        sends = [b"QUERY q2 READ ward\r\n"]

        async def async_handle(
            self: ClientSession, statement: Statement, arrived_ms: int
        ) -> Answer:
            answer = await handle(self, statement, arrived_ms)
            if sends:
                client.sendall(sends.pop())
            return answer

        client = socket.create_connection(("127.0.0.1", deployment.ports[0]))
        client.sendall(b"CONNECT urgent u1\r\nQUERY q1 READ ward\r\n")
        with patch.object(ClientSession, "async_handle", async_handle):
            received = await asyncio.to_thread(_read_to_end, client)
        assert received.count(b"READY") == 3, received


async def test_a_new_session_is_refused_late_in_a_drain() -> None:
    """Guards against a session that is accepted only to be cut off."""
    async with async_deploy(gateways=1, grace_ms=GRACE_MS) as deployment:
        kept = await deployment.async_connect("urgent")
        await kept.async_query("BEGIN")
        await kept.async_query("WRITE ward v1")
        drained = asyncio.create_task(async_drain(deployment))
        await async_wait_for_phase(deployment, DrainPhase.REFUSING)
        assert (await deployment.async_refused("CONNECT urgent u1")).startswith("ERROR BUSY")
        await drained


@pytest.mark.parametrize("delay_s", [0.9, 30.0])
async def test_a_slow_or_silent_store_does_not_hold_up_a_drain(delay_s: float) -> None:
    """Guards against a drain that waits for the store and is killed with open requests."""
    async with async_deploy(gateways=1, grace_ms=GRACE_MS) as deployment:
        client = await deployment.async_connect("urgent")
        use = asyncio.create_task(async_use(client, "READ ward"))
        deployment.store.write_delay_s = deployment.store.delay_s = delay_s
        assert await async_drain(deployment) < GRACE_MS / 1000
        counts = await use
        assert counts["cut"] == 0 and counts[""] > 0, counts


async def test_the_presence_of_a_node_is_removed_after_its_last_statement() -> None:
    """Guards against a promotion that does not wait for a node which still runs statements."""
    async with async_deploy(gateways=1, grace_ms=GRACE_MS) as deployment:
        key = f"{PRESENCE_PREFIX}node-1"
        client = await deployment.async_connect("urgent")
        drained = asyncio.create_task(async_drain(deployment))
        deployment.members["a"].delay_s = 0.5
        await asyncio.sleep(0.3)
        assert error_of(await client.async_query("WRITE ward v1")) == ""
        assert key in deployment.store.entries
        await drained
        assert key not in deployment.store.entries


async def test_a_node_whose_clients_stay_to_the_end_is_unregistered(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against changes of primaries that wait for a node which had no time to say goodbye."""
    async with async_deploy(gateways=1, grace_ms=GRACE_MS) as deployment:
        deployment.store.delay_s = 0.005
        with patch.object(Gateway, "_has_clients", return_value=True):
            assert await async_drain(deployment) < GRACE_MS / 1000
        assert read_events(caplog, DRAIN_CALL_FAILED.number) == []
        assert f"{PRESENCE_PREFIX}node-1" not in deployment.store.entries


async def test_a_session_that_waits_for_the_start_is_refused_at_once() -> None:
    """Guards against a client whose CONNECT gets no answer from a node that is stopped early."""
    async with async_deploy(gateways=1, grace_ms=GRACE_MS) as deployment:
        deployment.store.down = True
        await deployment.async_add_gateway("node-2")
        client = await deployment.async_open(1)
        await client.async_write(b"CONNECT urgent u1\r\n")
        await asyncio.sleep(0.1)
        drained = asyncio.create_task(async_drain(deployment, 1))
        assert (await client.async_read_line()).startswith("ERROR BUSY the gateway is stopping")
        assert await client.async_read_line() == ""
        # The end of the process must not overtake the answer.
        assert not drained.done()
        client.close()
        assert await drained < GRACE_MS / 1000


async def test_a_drain_without_clients_serves_those_that_still_come() -> None:
    """Guards against a process that ends while the platform still sends it new clients."""
    async with async_deploy(gateways=1, grace_ms=GRACE_MS) as deployment:
        drained = asyncio.create_task(async_drain(deployment))
        served = 0
        while deployment.gateways[0]._drain.phase < DrainPhase.CLOSING:
            client = await deployment.async_connect("urgent")
            assert error_of(await client.async_query("READ ward")) == ""
            client.close()
            served += 1
            await asyncio.sleep(0.02)
        assert served > 1 and not drained.done()
        last = await deployment.async_connect("urgent")
        assert error_of(await last.async_query("READ ward")) == ""
        assert (GRACE_MS / 3 + DRAIN_QUIET_MS) / 1000 <= await drained < GRACE_MS / 1000


async def test_a_session_that_is_set_up_while_sessions_are_closed_runs_its_operation() -> None:
    """Guards against a close between the statements that prepare a session and its operation."""
    async with async_deploy(gateways=1, grace_ms=4 * GRACE_MS) as deployment:
        drained = asyncio.create_task(async_drain(deployment))
        drain = deployment.gateways[0]._drain
        await deployment.async_wait_until(lambda: drain.phase >= DrainPhase.CLOSING)
        client = await deployment.async_connect("urgent")
        for text in ("SET zone nbg", "PREPARE s1 READ q1", "SET zone fsn", "EXECUTE s1 ward"):
            answer = await client.async_query(text)
            assert answer[-1] and error_of(answer) == ""
        await deployment.async_wait_until(client.has_ended)
        await drained


async def test_a_session_whose_request_waits_to_be_read_is_not_closed_as_idle() -> None:
    """Guards against a request that is cut since many sessions are closed in one step."""
    async with async_deploy(gateways=1) as deployment:
        client = socket.create_connection(("127.0.0.1", deployment.ports[0]))
        client.sendall(b"CONNECT urgent u1\r\n")
        await deployment.async_wait_until(lambda: len(deployment.gateways[0]._channels) == 1)
        client.sendall(b"QUERY q1 READ ward\r\n")
        deployment.gateways[0]._close_idle(0)
        deployment.gateways[0]._drain.phase = DrainPhase.CLOSING
        assert b"COMPLETE" in await asyncio.to_thread(_read_to_end, client)


async def test_a_request_after_the_close_of_its_idle_session_is_not_read() -> None:
    """Guards against a request that is read and dropped: its client is told by a reset at once."""
    async with async_deploy(gateways=1) as deployment:
        client = socket.create_connection(("127.0.0.1", deployment.ports[0]))
        client.sendall(b"CONNECT urgent u1\r\n")
        gateway = deployment.gateways[0]
        await deployment.async_wait_until(lambda: len(gateway._channels) == 1)
        gateway._close_idle(0)
        await asyncio.sleep(0.02)
        client.sendall(b"QUERY q1 READ ward\r\n")
        await asyncio.sleep(0.02)
        with pytest.raises(ConnectionError):
            client.sendall(b"QUERY q2 READ ward\r\n")
        client.close()


async def test_a_request_that_arrives_just_before_the_stop_is_answered() -> None:
    """Guards against a client in the accept backlog whose connection is reset by the end."""
    async with async_deploy(gateways=1, grace_ms=GRACE_MS) as deployment:
        client = socket.create_connection(("127.0.0.1", deployment.ports[0]))
        client.sendall(b"CONNECT urgent u1\r\nQUERY q1 READ ward\r\n")
        drained = asyncio.create_task(async_drain(deployment))
        received = asyncio.create_task(asyncio.to_thread(_read_to_end, client))
        assert await drained >= GRACE_MS / 3000
        assert b"COMPLETE" in await received


@pytest.mark.parametrize("end", [b"", b"BYE\r\n"])
@pytest.mark.parametrize("connects", [True, False])
async def test_a_client_that_ends_its_side_gets_its_answers(end: bytes, connects: bool) -> None:
    """Guards against requests that are read and dropped since the client sends nothing more."""
    async with async_deploy(gateways=1) as deployment:
        if connects:
            # The session has to wait for the start of the node.
            now_ms = deployment.gateways[0]._app.clock.now_ms()
            deployment.gateways[0]._started_ms = now_ms - START_WAIT_MS + 50
            deployment.gateways[0].directory.is_ready_for = (  # type: ignore[method-assign]
                lambda database: False
            )
        client = socket.create_connection(("127.0.0.1", deployment.ports[0]))
        deployment.members["a"].delay_s = 0.05
        client.sendall(
            b"CONNECT urgent u1\r\nQUERY q1 READ ward\r\nQUERY q2 WRITE ward v1\r\n" + end
        )
        if not end:
            client.shutdown(socket.SHUT_WR)
        received = await asyncio.to_thread(_read_to_end, client)
        assert received.count(b"COMPLETE") == 2, received
        await deployment.async_wait_until(lambda: not deployment.gateways[0]._channels, 1.0)


async def test_a_refusal_reaches_a_client_that_goes_on_sending() -> None:
    """Guards against a last answer that is lost since the connection is closed with unread data."""
    async with async_deploy(gateways=1) as deployment:
        client = socket.create_connection(("127.0.0.1", deployment.ports[0]))
        received = await asyncio.to_thread(_send_and_read, client)
        assert received.startswith(b"ERROR MALFORMED")


def _send_and_read(client: socket.socket) -> bytes:
    client.sendall(b"HELLO\r\n")
    for _ in range(40):
        client.sendall(b"x" * 10_000)
        time.sleep(0.001)
    return _read_to_end(client)


def _read_to_end(client: socket.socket) -> bytes:
    received = b""
    client.settimeout(5.0)
    with client:
        while data := client.recv(4096):
            received += data
    return received


@pytest.mark.parametrize("is_answered", [True, False])
async def test_a_registration_under_way_does_not_outlive_its_node(is_answered: bool) -> None:
    """Guards against a node that has ended and still counts as present: changes wait for it."""
    async with async_deploy(gateways=1) as deployment:
        gateway = await deployment.async_add_gateway("node-9")
        keys = {f"{NODES_PREFIX}node-9", f"{PRESENCE_PREFIX}node-9"}
        await deployment.async_wait_until(lambda: keys <= deployment.store.entries.keys())
        store = gateway._registration._key._store
        commit = store.async_commit
        under_way = asyncio.Event()

        async def async_commit(expected: Any, writes: Any, remove: Any = ()) -> Any:
            if keys == {one.key for one in writes}:
                under_way.set()
                await asyncio.sleep(0.15)
                written = await commit(expected, writes, remove)
                await asyncio.sleep(0 if is_answered else 60)
                return written
            return await commit(expected, writes, remove)

        with patch.object(store, "async_commit", async_commit):
            for key in keys:
                deployment.store.remove(key)
            await asyncio.wait_for(under_way.wait(), 8)
            await gateway.async_drain()
            await asyncio.sleep(0.2)
            await deployment.async_stop_gateway("node-9")
        assert not keys & deployment.store.entries.keys()
