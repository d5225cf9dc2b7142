"""Tests of answers of the store, and of requests to pages, that cannot be read."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
from burdockrun_base import Application, Measurements
from burdockrun_gateway import Item, Listing, StoreFault, Write
from burdockrun_groups import NodeEntry
from burdockrun_site.http import async_serve_page
from burdockrun_site.listeners import open_listener
from burdockrun_site.peer_copies import PeerCopyClient, build_changes_handler
from burdockrun_site.store import PlatformPromotionClient, PlatformStore
from result import Err, Ok, Result

NESTED = b"[" * 100_000 + b"]" * 100_000


@asynccontextmanager
async def async_answering(response: bytes) -> AsyncIterator[str]:
    """Run a server that gives the same response to everything, and yield its address."""

    async def async_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(65_536)
        writer.write(response)
        writer.close()

    server = await asyncio.start_server(async_answer, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


def build_response(body: bytes, header: bytes = b"Store-Era: 1") -> bytes:
    """Return a response with status 200."""
    return b"HTTP/1.1 200 OK\r\n%s\r\nContent-Length: %d\r\n\r\n%s" % (header, len(body), body)


CALLS: dict[str, Callable[[PlatformStore], Awaitable[Result[Any, StoreFault]]]] = {
    "list": lambda store: store.async_list(""),
    "watch": lambda store: store.async_watch("", 1, 10),
    "commit": lambda store: store.async_commit({}, [Write(key="k", value=b"v")]),
    "grant_lease": lambda store: store.async_grant_lease(1_000),
}
RESPONSES = {
    "not JSON": build_response(b"<html>"),
    "list": build_response(b"[]"),
    "null": build_response(b"null"),
    "nested": build_response(NESTED),
    "nested field": build_response(b'{"x":' + NESTED + b"}"),
    "digits": build_response(b'{"AsOf":1,"Rev":1,"Lease":1}'.replace(b"1", b"1" + b"0" * 5_000)),
    "types": build_response(b'{"AsOf":[],"Rev":{},"Lease":null,"items":3,"events":{}}'),
    "item": build_response(b'{"AsOf":1,"items":[{}],"events":[{"Key":"k"}],"Rev":-1,"Lease":-1}'),
    "era": build_response(b'{"AsOf":1,"items":[],"events":[],"Rev":1,"Lease":1}', b"Store-Era: x"),
    "long era": build_response(
        b'{"AsOf":1,"items":[],"events":[],"Rev":1,"Lease":1}', b"Store-Era: " + b"9" * 5_000
    ),
    "not HTTP": b"\xff\x00\r\n\r\n",
    "switch": b"HTTP/1.1 101 Switching Protocols\r\n\r\n{}",
}


@pytest.mark.parametrize("response", RESPONSES.values(), ids=RESPONSES.keys())
@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS.keys())
async def test_an_unreadable_answer_of_the_store_is_no_answer(
    call: Callable[[PlatformStore], Awaitable[Result[Any, StoreFault]]], response: bytes
) -> None:
    """Guards against an answer of the store that ends the program, or counts as a result."""
    async with async_answering(response) as address:
        store = PlatformStore(address, Measurements())
        assert await asyncio.wait_for(call(store), 3.0) == Err(StoreFault.UNREACHABLE)
        store.close()


async def test_a_value_of_the_store_that_is_no_text_is_empty() -> None:
    """Guards against a list of which nothing is used since one of its values is odd."""
    body = b'{"AsOf":9,"items":[{"Key":"a","Rev":8,"Value":7},{"Key":"b","Rev":9,"Value":"eA=="}]}'
    async with async_answering(build_response(body)) as address:
        store = PlatformStore(address, Measurements())
        listed = await store.async_list("")
        store.close()
    items = (Item(key="a", revision=8, value=b""), Item(key="b", revision=9, value=b"x"))
    assert listed == Ok(Listing(items=items, as_of=9, era=1, last_page_as_of=9))


@pytest.mark.parametrize("response", RESPONSES.values(), ids=RESPONSES.keys())
async def test_an_unreadable_answer_of_another_program_is_no_answer(response: bytes) -> None:
    """Guards against an answer of a node or of the platform that ends the program."""
    async with async_answering(response) as address:
        host, _, port = address.partition(":")
        peer = NodeEntry(node="n2", domain="nbg", host=host, copy_port=int(port))
        copies = PeerCopyClient()
        fetched = await asyncio.wait_for(copies.async_fetch_changes(peer, 0, 0, 500), 3.0)
        assert fetched == Err(StoreFault.UNREACHABLE)
        copies.close()
        promotions = PlatformPromotionClient(address)
        ordered = promotions.async_promote("s", "m", "n1", 1, lambda: 1_000)
        assert isinstance(await asyncio.wait_for(ordered, 3.0), Ok | Err)
        promotions.close()


@pytest.mark.parametrize(("host", "port"), [("a..b", 80), ("127.0.0.1", 99_999), ("a b\0", 80)])
async def test_a_node_at_an_unusable_address_is_not_asked(host: str, port: int) -> None:
    """Guards against a node that stops following the store for the address of another one."""
    peer = NodeEntry(node="n2", domain="nbg", host=host, copy_port=port)
    copies = PeerCopyClient()
    assert await copies.async_fetch_changes(peer, 0, 0, 500) == Err(StoreFault.UNREACHABLE)
    copies.close()


@pytest.mark.parametrize(
    "request_line",
    [
        b"GET /changes?after=" + b"9" * 5_000 + b"&era=0",
        b"GET /changes?after=%D9%A1&era=0",
        b"GET //[",
        b"GET /changes?after=-1",
        b"HEAD /changes?after=0",
        b"CONNECT x:1",
    ],
    ids=["digits", "other digits", "brackets", "negative", "HEAD", "CONNECT"],
)
async def test_an_odd_request_for_a_page_is_answered_or_closed(
    request_line: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a traceback for each request that anybody can send."""
    app = Application()
    listener = open_listener("127.0.0.1", 0)
    host, port = listener.getsockname()
    listing = Listing(items=(), as_of=1)
    await async_serve_page(app, listener, build_changes_handler(lambda *arguments: listing))
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(request_line + b" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    answer = await asyncio.wait_for(reader.read(), 2.0)
    writer.close()
    await app.async_unload()
    assert answer == b"" or answer.startswith(b"HTTP/1.1 ")
    assert not [record for record in caplog.records if record.exc_info]
