"""Tests of the links of a proxy to members and peers at addresses that others have written."""

import asyncio

import aiohttp
import pytest
from burdockrun_messages import (
    AskStatus,
    ConnectionClosed,
    Event,
    Member,
    NodeInfo,
    PeerLost,
    TicketsPull,
)
from burdockrun_proxy.endpoints import EndpointLinks
from burdockrun_proxy.peers import PeerLinks

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
