"""Tests of the links of a proxy to members and peers at addresses that others have written."""

import asyncio
from types import SimpleNamespace

import aiohttp
import pytest
from aiohttp import web
from burdockrun_base import Application
from burdockrun_messages import (
    AskStatus,
    ConnectionClosed,
    DrainExpired,
    Event,
    GetKey,
    Member,
    NodeInfo,
    PeerLost,
    PlatformFailure,
    SendPeer,
    TicketsPull,
    TimerFired,
)
from burdockrun_platform import PlatformClient
from burdockrun_proxy.driver import NodeDriver
from burdockrun_proxy.endpoints import EndpointLinks
from burdockrun_proxy.peers import PeerLinks
from burdockrun_proxy.server import ProxyServer

NODE = NodeInfo(node="p1", domain="aug", host="127.0.0.1", port=1)
ADDRESSES = [("a..b", 9), ("x" * 300, 9), ("a\0b", 9), ("127.0.0.1", 99_999), ("[", 9), ("", 0)]
LIMIT_S = 5.0


@pytest.mark.parametrize(("host", "port"), ADDRESSES)
async def test_a_connection_to_an_odd_address_is_reported_as_closed(host: str, port: int) -> None:
    """Guards against a place among the connections to a member that is never given back."""
    events: list[Event] = []
    member = Member(name="m1", domain="aug", host=host, port=port, control_port=port)
    async with aiohttp.ClientSession() as session, asyncio.timeout(LIMIT_S):
        links = EndpointLinks(session, events.append)
        await links.async_run(7, member)
        assert await links.async_call(member, AskStatus(), timeout_ms=500) is None
    assert [one.connection_id for one in events if isinstance(one, ConnectionClosed)] == [7]


@pytest.mark.parametrize(("host", "port"), ADDRESSES)
async def test_a_peer_at_an_odd_address_is_reported_as_lost(host: str, port: int) -> None:
    """Guards against requests that wait for a peer which can never be reached."""
    lost: asyncio.Queue[Event] = asyncio.Queue()
    peer = NodeInfo(node="p2", domain="aug", host=host, port=port)
    async with aiohttp.ClientSession() as session, asyncio.timeout(LIMIT_S):
        links = PeerLinks(session, NODE, lost.put_nowait)
        links.send(peer, TicketsPull(after_number=1))
        assert await lost.get() == PeerLost(peer="p2")
        await links.async_close()


@pytest.mark.parametrize("is_open", [True, False])
async def test_a_stop_sends_the_answers_that_are_ready_for_peers(is_open: bool) -> None:
    """Guards against a refusal that is lost with its link, so that its request may have run."""
    received: asyncio.Queue[str] = asyncio.Queue()

    async def async_receive(request: web.Request) -> web.WebSocketResponse:
        await asyncio.sleep(0.1)
        socket = web.WebSocketResponse()
        await socket.prepare(request)
        async for frame in socket:
            received.put_nowait(frame.data)
        return socket

    runner = web.AppRunner(web.Application())
    runner.app.router.add_get("/v1/peer", async_receive)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    action = SendPeer(
        peer=NodeInfo(node="p2", domain="aug", host="127.0.0.1", port=port),
        message=TicketsPull(after_number=1),
    )
    sends = (DrainExpired, TimerFired)
    node = SimpleNamespace(
        info=NODE, handle=lambda event, _: [action] if isinstance(event, sends) else []
    )
    async with aiohttp.ClientSession() as session, asyncio.timeout(LIMIT_S):
        app = Application()
        driver = NodeDriver(app, node, session, SimpleNamespace())  # type: ignore[arg-type]
        server = ProxyServer(app, driver)
        if is_open:
            driver.dispatch(TimerFired())
            await received.get()
        driver.dispatch(DrainExpired())
        await server.async_close_streams()
        await driver.async_stop()
        await runner.cleanup()
    assert received.qsize() == 1


@pytest.mark.parametrize(
    "answer",
    [
        b"PUT patient-17 moved\r\n\r\n",
        b"HTTP/1.1 200 OK\r\npatient-17 moved\r\n\r\n",
        b"HTTP/1.1 403 patient-17\r\n\r\n",
    ],
)
async def test_the_reason_of_a_failed_call_quotes_nothing_of_its_answer(answer: bytes) -> None:
    """Guards against data of callers, and lines of any length, in the events 608 and 905."""

    async def async_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(async_answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    member = Member(name="m1", domain="aug", host="127.0.0.1", port=port, control_port=port)
    events: list[Event] = []
    async with server, aiohttp.ClientSession() as session, asyncio.timeout(LIMIT_S):
        await EndpointLinks(session, events.append).async_run(7, member)
        platform = PlatformClient(f"http://127.0.0.1:{port}", session)
        reply = await platform.async_call(GetKey(key="tickets/head"), timeout_ms=1_000)
    assert isinstance(events[0], ConnectionClosed) and isinstance(reply, PlatformFailure)
    assert events[0].reason and reply.reason
    assert "patient" not in events[0].reason + reply.reason
