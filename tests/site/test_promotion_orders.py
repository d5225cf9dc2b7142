"""Tests of orders for promotions that are under way when their holder may order no more."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from unittest.mock import patch

import pytest
from burdockrun_gateway.ports import StoreFault
from burdockrun_site.store import PlatformPromotionClient
from result import Err, Ok

from tests.site.common import async_deploy

WINDOW_BYTES = 4_096
# Longer than the window, so that the end of the order waits in the kernel of the sender.
LONG_NAME = "b" * 40_000
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
TIME_LEFT_MS = 1_000


@asynccontextmanager
async def async_order_once() -> AsyncIterator[tuple[PlatformPromotionClient, socket.socket]]:
    """Yield a client that has ordered once, and the connection that it keeps, at the platform."""
    loop = asyncio.get_running_loop()
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        client = PlatformPromotionClient(f"127.0.0.1:{listener.getsockname()[1]}")
        order = asyncio.create_task(async_order(client, "b"))
        connection, _ = await loop.sock_accept(listener)
        with connection:
            assert await loop.sock_recv(connection, WINDOW_BYTES)
            await loop.sock_sendall(connection, ANSWER)
            assert await order == Ok(None)
            yield client, connection
        client.close()


async def async_order(client: PlatformPromotionClient, member: str) -> object:
    """Order a promotion under a lease that holds."""
    return await client.async_promote("wendedb", member, "node-1", 7, lambda: TIME_LEFT_MS)


async def async_read_all(connection: socket.socket) -> bytes:
    """Return what arrives on a connection until it ends."""
    received = b""
    with suppress(ConnectionResetError):
        async with asyncio.timeout(5.0):
            while data := await asyncio.get_running_loop().sock_recv(connection, 65_536):
                received += data
    return received


def read_after_freeze(connection: socket.socket) -> bytes:
    """Stop this process until the lease has ended; return what arrives on a connection then."""
    time.sleep(1.5 * TIME_LEFT_MS / 1000)
    connection.settimeout(1.0)
    received = b""
    with suppress(ConnectionResetError, TimeoutError):
        while data := connection.recv(65_536):
            received += data
    return received


@pytest.mark.parametrize("end", ["lease", "answer", "change"])
async def test_an_order_that_is_given_up_does_not_arrive_later(end: str) -> None:
    """Guards against an order on a kept connection that arrives after one of the next holder."""
    loop = asyncio.get_running_loop()
    async with async_order_once() as (client, connection):
        ends_at = loop.time() + (0.3 if end == "lease" else 10.0)

        def find_time_left_ms() -> int:
            return max(int(1000 * (ends_at - loop.time())), 0)

        call = client.async_promote("wendedb", LONG_NAME, "node-1", 7, find_time_left_ms)
        order = asyncio.create_task(call)
        with patch("burdockrun_site.store.PROMOTION_TIMEOUT_MS", 300 if end == "answer" else 3_000):
            await asyncio.sleep(0.1)
            if end == "change":
                order.cancel()
            with suppress(asyncio.CancelledError):
                assert await asyncio.wait_for(order, 1.0) == Err(StoreFault.UNREACHABLE)
        assert not (await async_read_all(connection)).endswith(b"}")


async def test_an_order_of_a_frozen_holder_does_not_arrive_later() -> None:
    """Guards against an order that the kernel still sends once another node holds the lease."""
    async with async_order_once() as (client, connection):
        order = asyncio.create_task(async_order(client, LONG_NAME))
        await asyncio.sleep(0.1)
        assert not read_after_freeze(connection).endswith(b"}")
        assert await order == Err(StoreFault.UNREACHABLE)


async def test_an_order_has_ended_before_the_next_holder_orders() -> None:
    """Guards against an order that the platform takes after one with a higher fencing token.

    The lease is revoked while the first order waits for its answer.
    """
    with patch("burdockrun_site.store.PROMOTION_TIMEOUT_MS", 8_000):
        async with async_deploy(gateways=3) as deployment:
            store = deployment.store
            store.order_answer_delay_s = 8.0
            await deployment.members["a"].async_stop()
            await deployment.async_wait_until(lambda: bool(store.promotions))
            store.remove("burdockrun/duty")
            await deployment.async_wait_until(lambda: len(store.promotions) > 1)
            (_, first), (_, second) = store.order_connections
            assert store.promotions[0][2] < store.promotions[1][2]
            assert first.is_closing() and not second.is_closing()
