"""Tests of the platform client against a test server."""

import asyncio

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from burdockrun_messages import GetKey, KeyEntry, PlatformFailure
from burdockrun_platform import PLATFORM_PATH, PlatformClient, decode_operation, encode_reply


async def _async_answer(request: web.Request) -> web.Response:
    operation = decode_operation(await request.read()).unwrap()
    assert isinstance(operation, GetKey)
    if operation.key == "slow":
        await asyncio.sleep(30)
    if operation.key == "down":
        return web.Response(status=503)
    if operation.key == "damaged":
        return web.Response(body=b'{"reply":"KeyEntry","value":{"key":1}}')
    if operation.key == "unknown":
        return web.Response(body=b'{"reply":"patient-17","value":{}}')
    return web.Response(body=encode_reply(KeyEntry(key=operation.key, value="v", revision=3)))


@pytest.mark.parametrize("key", ["slow", "down", "damaged", "unknown", "good"])
async def test_client_returns_a_failure_for_every_fault(key: str) -> None:
    """Guards against exceptions of the HTTP library that reach the proxy's event loop."""
    app = web.Application()
    app.router.add_post(PLATFORM_PATH, _async_answer)
    async with TestServer(app) as server, aiohttp.ClientSession() as session:
        client = PlatformClient(str(server.make_url("")), session)
        reply = await client.async_call(GetKey(key=key), 5_000 if key != "slow" else 50)
    if key == "good":
        assert reply == KeyEntry(key="good", value="v", revision=3)
        return
    assert isinstance(reply, PlatformFailure)
    # The reason goes into the log.
    assert "patient-17" not in reply.reason


async def test_closed_port_is_a_failure() -> None:
    """Guards against a crash while the platform is down."""
    async with TestServer(web.Application()) as server:
        url = str(server.make_url(""))
    async with aiohttp.ClientSession() as session:
        reply = await PlatformClient(url, session).async_call(GetKey(key="k"), 1_000)
    assert isinstance(reply, PlatformFailure)


@pytest.mark.parametrize(
    "body", [b"", b"[]", b'{"operation":"Nope"}', b'{"operation":["GetKey"]}', b"\xff" * 9]
)
def test_damaged_envelope_is_an_error_value(body: bytes) -> None:
    """Guards against a damaged request body that stops the stand-in."""
    assert decode_operation(body).is_err()
