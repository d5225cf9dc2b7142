"""Store with latency and faults, with an address for each node."""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from aiohttp import web
from aiohttp.typedefs import Handler

from tests.site.store import FakeStore

LATENCY_S: Final = 0.004
SLOW_S: Final = 0.9
SILENT_S: Final = 30.0
GARBAGE: Final = (b"", b"{", b"\xff\xfe", b"[]", b"null", b'{"items": 3, "events": {}}')


class SoakStore(FakeStore):
    """Store that treats the calls of each node as the faults in force ask for."""

    def __init__(self, promote: Callable[[str], bool]) -> None:
        super().__init__(promote)
        self.page_items = 500
        # Fault by node; an empty name stands for all nodes.
        self.modes: dict[str, str] = {}
        # Nodes whose writes are executed only after this time, and not answered.
        self.late_s: dict[str, float] = {}
        self._nodes: dict[int, str] = {}

    async def async_open_address(self, node: str) -> int:
        """Return the port at which the calls of a node arrive."""
        assert self._runner is not None
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        port = int(self._runner.addresses[-1][1])
        self._nodes[port] = node
        return port

    @web.middleware
    async def _async_disturb(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        assert request.transport is not None
        node = self._nodes.get(request.transport.get_extra_info("sockname")[1], "")
        await asyncio.sleep(LATENCY_S)
        match self.modes.get("", "") or self.modes.get(node, ""):
            case "slow":
                await asyncio.sleep(SLOW_S)
            case "away":
                await asyncio.sleep(SILENT_S)
            case "busy":
                return web.json_response({}, status=random.choice([429, 503]))
            case "reset":
                request.transport.abort()
                raise web.HTTPServiceUnavailable
            case "lost":
                response = await handler(request)
                if random.random() < 0.3:
                    request.transport.abort()
                return response
            case "garbage":
                return web.Response(body=random.choice(GARBAGE), content_type="application/json")
        return await self._async_handle(request, handler, node)

    async def _async_handle(
        self, request: web.Request, handler: Handler, node: str
    ) -> web.StreamResponse:
        """Execute a call, late if the node ends; answer nothing if it has lost the store."""
        assert request.transport is not None
        try:
            late_s = self.late_s.get(node, 0.0)
            if late_s and request.path == "/-/kv-txn":
                await request.read()
                request.transport.abort()
                await asyncio.sleep(late_s)
            response = await handler(request)
            if self.modes.get(node) == "away":
                await asyncio.sleep(SILENT_S)
            return response
        except ConnectionError:
            # The node ended before its call had arrived in full.
            raise web.HTTPServiceUnavailable from None
