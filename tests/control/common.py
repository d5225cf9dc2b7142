"""Fake platform: the store of the platform library behind HTTP on loopback."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from aiohttp import web
from aiohttp.test_utils import TestServer
from burdockrun_control.program import main
from burdockrun_messages import PlatformOperation, PutKey
from burdockrun_platform import KeyValueStore, decode_operation, encode_reply


class FakePlatform:
    """Platform whose answers can be lost after the operation took effect.

    The answers to the next `answers_to_lose` writes of tickets are replaced by HTTP status 500.
    `before_operation` is called with each operation before it runs.
    """

    def __init__(self) -> None:
        self.store = KeyValueStore()
        self.operations: list[PlatformOperation] = []
        self.answers_to_lose = 0

    def before_operation(self, operation: PlatformOperation) -> None:
        """Do nothing; tests override it."""

    async def async_handle(self, request: web.Request) -> web.Response:
        """Apply one operation."""
        operation = decode_operation(await request.read()).unwrap()
        self.before_operation(operation)
        self.operations.append(operation)
        now_ms = round(asyncio.get_running_loop().time() * 1_000)
        reply = self.store.apply(operation, now_ms)
        if (
            self.answers_to_lose
            and isinstance(operation, PutKey)
            and operation.key.startswith("tickets/0")
        ):
            self.answers_to_lose -= 1
            return web.Response(status=500)
        return web.Response(body=encode_reply(reply))

    def put(self, key: str, value: object) -> None:
        """Write a key as another program would."""
        text = value if isinstance(value, str) else json.dumps(value)
        self.store.apply(PutKey(key=key, value=text), 0)


@asynccontextmanager
async def run_platform(platform: FakePlatform) -> AsyncIterator[str]:
    """Serve a platform on a free loopback port and yield its address."""
    app = web.Application()
    app.router.add_post("/v1/platform", platform.async_handle)
    async with TestServer(app, host="127.0.0.1") as server:
        yield f"127.0.0.1:{server.port}"


async def async_ctl(*arguments: str) -> int:
    """Run `burdockrunctl` in a thread, so that the servers of the test can answer."""
    return await asyncio.to_thread(main, list(arguments))


def write_ticket(path: Path, document: dict[str, Any]) -> str:
    """Write a ticket file and return its path."""
    file = path / "ticket.json"
    file.write_text("// change\n" + json.dumps(document))
    return str(file)
