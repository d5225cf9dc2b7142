"""Fake proxy and member for the tests of the load program."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from aiohttp import web
from aiohttp.test_utils import TestServer
from burdockrun_messages import JsonValue


class FakeProxy:
    """Serves `/v1/stream`, `/v1/session` and `/v1/status` from one dictionary.

    `stale` makes each read return nothing, `double` makes each ADD count twice, and the socket is
    closed without an answer once `answers_left` is 0.
    """

    def __init__(self) -> None:
        self.values: dict[str, JsonValue] = {}
        self.requests: list[dict[str, Any]] = []
        self.stale = False
        self.double = False
        self.answers_left = 1_000_000

    def execute(self, statement: str, parameters: list[Any]) -> JsonValue:
        """Run one statement."""
        key = parameters[0]
        if statement.startswith("GET"):
            return None if self.stale else self.values.get(key)
        if statement.startswith("PUT"):
            self.values[key] = parameters[1]
            return None
        value = self.values.get(key) or 0
        assert isinstance(value, int)
        self.values[key] = value + parameters[1] * (2 if self.double else 1)
        return self.values[key]

    async def async_stream(self, request: web.Request) -> web.WebSocketResponse:
        """Answer requests; reads come from member `b`, writes from `a`."""
        socket = web.WebSocketResponse()
        await socket.prepare(request)
        async for message in socket:
            if self.answers_left == 0:
                await socket.close()
                break
            self.answers_left -= 1
            call = json.loads(message.data)
            self.requests.append(call)
            answer = {
                "request_id": call["request_id"],
                "outcome": "done",
                "result": self.execute(call["statement"], call["parameters"]),
                "session": f"token-{len(self.requests)}",
                "member": "b" if call["access"] == "read" else "a",
            }
            await socket.send_str(json.dumps(answer))
        return socket

    async def async_session(self, request: web.Request) -> web.WebSocketResponse:
        """Execute statements as a member does."""
        socket = web.WebSocketResponse()
        await socket.prepare(request)
        async for message in socket:
            call = json.loads(message.data)
            answer = {
                "execution_id": call["execution_id"],
                "status": "ok",
                "position": {"term": 1, "index": 1},
                "result": self.execute(call["statement"], call["parameters"]),
            }
            await socket.send_str(json.dumps(answer))
        return socket

    async def async_status(self, _: web.Request) -> web.Response:
        """Report `a` as the primary of both databases."""
        return web.json_response(
            {"groups": {"turns": {"primary": "a"}, "visits": {"primary": "a"}}}
        )


@asynccontextmanager
async def run_fake(fake: FakeProxy) -> AsyncIterator[str]:
    """Serve a fake on a free loopback port and yield its address."""
    app = web.Application()
    app.router.add_get("/v1/stream", fake.async_stream)
    app.router.add_get("/v1/session", fake.async_session)
    app.router.add_get("/v1/status", fake.async_status)
    async with TestServer(app, host="127.0.0.1") as server:
        yield f"127.0.0.1:{server.port}"


def make_scenario(**changes: Any) -> dict[str, Any]:
    """Return a short scenario document with changes."""
    profile = {"read_share": 0.5, "non_idempotent_share": 0.5}
    document = {
        "account": "lmb",
        "databases": ["turns", "visits"],
        "sessions": 5,
        "roam_probability": 0.5,
        "ranks": {"urgent": profile, "routes": profile},
        "phases": [
            {"name": "calm", "duration_ms": 300, "rates_per_s": {"urgent": 100, "routes": 100}},
            {
                "name": "rush",
                "duration_ms": 300,
                "rates_per_s": {"urgent": 100, "routes": 400},
                "flood": True,
            },
        ],
    }
    return document | changes
