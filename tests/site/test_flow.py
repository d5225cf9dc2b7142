"""Tests of peers that send more than they read, or more than a process may hold."""

import asyncio
import contextlib
import re
import select
import socket
import time
from collections.abc import Iterator
from typing import cast
from unittest.mock import patch

import pytest
from burdockrun_gateway.client_memory import ClientMemory
from burdockrun_gateway.drain import DrainPhase
from burdockrun_gateway.session_memory import (
    FREE_SESSION_BYTES,
    MAX_SESSION_BYTES,
    MAX_TOTAL_BYTES,
    SessionMemory,
)
from burdockrun_site.clients import ClientConnection
from burdockrun_site.flow import MAX_WAITING_BYTES, READ_BYTES, WRITE_BUFFER_BYTES
from burdockrun_site.http import MAX_BODY_BYTES, HttpClient, HttpFault, PageProtocol
from burdockrun_statements import Answer, Statement
from result import Err

from tests.site.common import Deployment, async_deploy, error_of

ROW_BYTES = 20_000
REQUEST_BYTES = 2_000
MAX_SENT_BYTES = 64 << 20
BLOCKED_S = 0.5
PATIENCE_S = 20.0
LOCAL_STATEMENTS = 200
PAGES = 2_000
MAX_BUFFERED_BYTES = (
    READ_BYTES + MAX_WAITING_BYTES + WRITE_BUFFER_BYTES + ROW_BYTES + 3 * REQUEST_BYTES
)


class Sender:
    """Client that sends requests with long ids without reading the answers."""

    def __init__(self, port: int) -> None:
        self._socket = socket.create_connection(("127.0.0.1", port))
        self._socket.sendall(b"CONNECT urgent u1\r\n")
        self._rest = b""
        self.sent = 0

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self._socket.sendall(data)

    def send_until_blocked(self) -> None:
        """Send requests until they are not read any more."""
        self._socket.settimeout(BLOCKED_S)
        while self.sent * REQUEST_BYTES < MAX_SENT_BYTES:
            if not self._rest:
                self._rest = f"QUERY q{self.sent}-{'x' * REQUEST_BYTES} READ ward\r\n".encode()
                self.sent += 1
            try:
                self._rest = self._rest[self._socket.send(self._rest) :]
            except TimeoutError:
                return

    def read_answers(self) -> list[int]:
        """Return the numbers of the requests in the answers, in their order."""
        self._socket.settimeout(PATIENCE_S)
        numbers: list[int] = []
        missing = self.sent
        with self._socket.makefile("rb") as lines:
            # READY comes once more, after CONNECT.
            while missing >= 0 and (line := lines.readline()):
                found = re.match(rb"COMPLETE \S*-q(\d+)-x", line)
                numbers += [int(found[1])] if found else []
                missing -= line.startswith(b"READY")
                self._send_rest()
        return numbers

    def _send_rest(self) -> None:
        """Send of the last request what the connection takes now.

        It is often left whole, and a drain may end a session that has sent no more requests.
        """
        _, writable, _ = select.select([], [self._socket], [], 0)
        if self._rest and writable:
            self._rest = self._rest[self._socket.send(self._rest) :]

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


@contextlib.contextmanager
def open_sender(deployment: Deployment) -> Iterator[Sender]:
    """Open a session of a client that does not read."""
    sender = Sender(deployment.ports[0])
    yield sender
    sender.close()


def count_held(connection: ClientConnection) -> int:
    """Return the bytes that a process holds for a client."""
    assert connection._transport is not None
    unsent = connection._transport.get_write_buffer_size()
    return len(connection._lines) + connection._waiting_bytes + unsent


async def async_block(deployment: Deployment, sender: Sender, begin: bytes = b"") -> None:
    """Let a client send, after the requests in `begin`, until it is blocked."""
    writer = await deployment.async_connect("urgent")
    assert error_of(await writer.async_query(f"WRITE ward {'r' * ROW_BYTES}")) == ""
    sender.send(begin)
    await asyncio.to_thread(sender.send_until_blocked)
    assert sender.sent * REQUEST_BYTES < MAX_SENT_BYTES


async def test_a_client_that_does_not_read_is_not_read_from() -> None:
    """Guards against a process that is killed for the memory of one client, with all sessions."""
    async with async_deploy(gateways=1) as deployment:
        with open_sender(deployment) as sender:
            await async_block(deployment, sender)
            for channel in deployment.gateways[0]._channels:
                assert count_held(cast(ClientConnection, channel)) <= MAX_BUFFERED_BYTES
            other = await deployment.async_connect("urgent")
            assert error_of(await other.async_query("WRITE bed v1")) == ""
            answered = await asyncio.to_thread(sender.read_answers)
            assert answered == list(range(sender.sent))
    assert deployment.gateways[0].client_memory.held_bytes == 0


@pytest.mark.parametrize("phase", [DrainPhase.ANNOUNCED, DrainPhase.CLOSING])
async def test_a_client_that_reads_late_in_a_drain_gets_its_answers(phase: DrainPhase) -> None:
    """Guards against requests of a blocked client that are dropped by a planned stop."""
    async with async_deploy(gateways=1, grace_ms=60_000) as deployment:
        with open_sender(deployment) as sender:
            await async_block(deployment, sender)
            drain = deployment.gateways[0]._drain
            drained = asyncio.create_task(deployment.gateways[0].async_drain())
            await deployment.async_wait_until(lambda: drain.phase >= phase)
            answered = await asyncio.to_thread(sender.read_answers)
            assert answered == list(range(sender.sent))
        await drained


async def test_a_client_that_never_reads_does_not_hold_up_a_drain() -> None:
    """Guards against a planned stop that is killed since a client does not read."""
    async with async_deploy(gateways=1, grace_ms=1_200) as deployment:
        with open_sender(deployment) as sender:
            await async_block(deployment, sender)
            started = time.monotonic()
            await deployment.gateways[0].async_drain()
            assert time.monotonic() - started < 1.2


async def test_an_idle_transaction_of_a_client_that_does_not_read_ends() -> None:
    """Guards against a member connection that is held for good by a client that does not read."""
    async with async_deploy(gateways=1) as deployment:
        gateway = deployment.gateways[0]
        with open_sender(deployment) as sender:
            begin = b"QUERY q BEGIN\r\nQUERY q WRITE bed v1\r\n"
            await async_block(deployment, sender, begin)
            assert any(one.session.in_transaction for one in gateway._channels)
            gateway.directory.idle_transaction_ms = lambda: 100  # type: ignore[method-assign]
            await deployment.async_wait_until(
                lambda: not any(one.session.in_transaction for one in gateway._channels)
            )


async def test_large_messages_share_a_budget() -> None:
    """Guards against many clients that together send more unfinished messages than fit."""
    async with async_deploy(gateways=1) as deployment:
        memory = deployment.gateways[0].client_memory = ClientMemory(300_000)
        first = await deployment.async_connect("urgent")
        await first.async_write(b"QUERY q1 SET big " + b"x" * 250_000)
        await deployment.async_wait_until(lambda: memory.held_bytes > 250_000)
        second = await deployment.async_connect("urgent")
        await second.async_write(b"QUERY q2 SET big " + b"y" * 250_000)
        assert (await second.async_read_line()).startswith("ERROR BUSY too many large messages")
        assert await second.async_read_line() == ""
        assert error_of(await first.async_send("")) == ""
        assert memory.held_bytes == 0
        third = await deployment.async_connect("urgent")
        assert error_of(await third.async_query("SET big " + "z" * 250_000)) == ""


async def test_a_refusal_follows_the_answers_before_it() -> None:
    """Guards against an error that a client takes for the answer to its running write."""
    async with async_deploy(gateways=1) as deployment:
        client = await deployment.async_connect("urgent")
        deployment.members["a"].delay_s = 0.1
        await client.async_write(b"QUERY q1 WRITE ward v1\r\nQUERY q2 READ ward\r\nHELLO\r\n")
        lines = [await client.async_read_line()]
        while lines[-1]:
            lines.append(await client.async_read_line())
        words = [line.split(" ")[0] for line in lines]
        assert words == ["COMPLETE", "READY", "ROW", "COMPLETE", "READY", "ERROR", ""], lines


async def test_statements_that_are_answered_at_once_let_others_run() -> None:
    """Guards against a client that waits until all requests of another one are answered."""
    async with async_deploy(gateways=1) as deployment:
        client = await deployment.async_connect("urgent")
        session = next(iter(deployment.gateways[0]._channels)).session
        handle, handled, most = session.async_handle, 0, 0

        async def async_handle(statement: Statement, arrived_ms: int) -> Answer:
            nonlocal handled
            handled += 1
            return await handle(statement, arrived_ms)

        with patch.object(session, "async_handle", async_handle):
            await client.async_write(b"QUERY q SET unit nine\r\n" * LOCAL_STATEMENTS)
            while handled < LOCAL_STATEMENTS:
                before = handled
                await asyncio.sleep(0)
                most = max(most, handled - before)
        assert most == 1


@pytest.mark.parametrize("kind", ["SET", "PREPARE"])
async def test_values_and_prepared_statements_of_a_session_have_a_bound(kind: str) -> None:
    """Guards against a client that exhausts the memory of a gateway with what it sets."""
    async with async_deploy(gateways=1) as deployment:
        memory = deployment.gateways[0]._session_memory
        client = await deployment.async_connect("urgent")
        text = "x" * 500_000 if kind == "SET" else "READ " + "x" * 500_000
        await client.async_query(f"{kind} n0 {text}")
        used = memory.held_bytes
        errors = [
            error_of(await client.async_query(f"{kind} n{number} {text}"))
            for number in range(MAX_SESSION_BYTES // used + 1)
        ]
        assert errors[-1] == "TOOBIG" and memory.held_bytes <= MAX_SESSION_BYTES
        assert error_of(await client.async_query(f"{kind} n0 {text}")) == ""
        if kind == "PREPARE":
            await client.async_query("CLOSE n0")
            assert error_of(await client.async_query(f"{kind} other {text}")) == ""
        client.close()
        await deployment.async_wait_until(lambda: memory.held_bytes == 0)


def test_a_full_node_leaves_each_session_its_share() -> None:
    """Guards against many sessions that together hold more than fits."""
    memory = SessionMemory()
    memory.change(0, MAX_TOTAL_BYTES)
    assert memory.may_hold(0, FREE_SESSION_BYTES)
    assert not memory.may_hold(0, FREE_SESSION_BYTES + 1)
    assert memory.may_hold(MAX_SESSION_BYTES, MAX_SESSION_BYTES - 1)


async def test_a_page_whose_client_does_not_read_is_not_rendered_again() -> None:
    """Guards against responses that pile up for a client which asks again and again."""
    rendered = 0

    def render(host: str, target: str) -> tuple[int, bytes]:
        nonlocal rendered
        rendered += 1
        return 200, b"x" * ROW_BYTES

    def ask() -> int:
        with socket.create_connection(server.sockets[0].getsockname()) as client:
            client.settimeout(PATIENCE_S)
            client.sendall(b"GET / HTTP/1.1\r\nHost: node\r\n\r\n" * PAGES)
            while rendered == 0:
                time.sleep(0.01)
            time.sleep(BLOCKED_S)
            before = rendered
            with client.makefile("rb") as lines:
                received = 0
                while received < PAGES:
                    received += lines.readline() == b"HTTP/1.1 200 \r\n"
                    lines.readline(), lines.readline()
                    lines.read(ROW_BYTES)
            return before

    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: PageProtocol(render), "127.0.0.1", 0)
    assert await asyncio.to_thread(ask) < PAGES
    assert rendered == PAGES
    server.close()


async def test_a_response_without_an_end_is_not_held() -> None:
    """Guards against a store or node that exhausts the memory of a gateway with one response."""
    sent = 0

    async def async_send(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        writer.write(b"HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n")
        chunk = b"100000\r\n" + b"x" * 0x100000 + b"\r\n"
        with contextlib.suppress(ConnectionError):
            while sent < 3 * MAX_BODY_BYTES:
                writer.write(chunk)
                await writer.drain()
                sent += len(chunk)
            writer.write(b"0\r\n\r\n")
        writer.close()

    server = await asyncio.start_server(async_send, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    response = await HttpClient(address).async_call("GET", "/", timeout_ms=10_000)
    assert response == Err(HttpFault.NO_RESPONSE)
    server.close()
