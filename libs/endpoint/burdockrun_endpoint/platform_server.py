"""HTTP server of the stand-in for the platform."""

import asyncio

from aiohttp import web
from burdockrun_base import Clock, EventLog
from burdockrun_messages import PlatformReply, VmEntry, WatchKeys
from burdockrun_platform import (
    MAX_VALUE_BYTES,
    PLATFORM_PATH,
    KeyValueStore,
    decode_operation,
    encode_reply,
)
from result import Err

from burdockrun_endpoint.const import EXPIRY_INTERVAL_MS
from burdockrun_endpoint.faults import FaultInjector, Faults


class PlatformServer:
    """Serves the key-value store, with watches as long polls, and the list of VMs."""

    def __init__(self, vms: tuple[VmEntry, ...], clock: Clock, events: EventLog) -> None:
        self.store = KeyValueStore()
        self._clock = clock
        self._vms = vms
        self._changed = asyncio.Event()
        self._injector = FaultInjector(events, self._apply_faults)
        self.store.set_vms(vms, clock.now_ms())

    def make_app(self) -> web.Application:
        """Return the application with all routes."""
        app = web.Application(
            client_max_size=4 * MAX_VALUE_BYTES, middlewares=[self._injector.async_middleware]
        )
        app.router.add_post(PLATFORM_PATH, self._async_call)
        self._injector.add_routes(app)
        return app

    async def async_expire(self) -> None:
        """Expire leases at regular intervals until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_MS / 1_000)
            before = self.store.revision
            self.store.expire(self._clock.now_ms())
            self._notify(before)

    async def _async_call(self, request: web.Request) -> web.Response:
        decoded = decode_operation(await request.read())
        if isinstance(decoded, Err):
            return web.Response(status=400, text=decoded.err_value)
        operation = decoded.ok_value
        before = self.store.revision
        reply: PlatformReply = self.store.apply(operation, self._clock.now_ms())
        self._notify(before)
        if isinstance(operation, WatchKeys):
            reply = await self._async_watch(operation)
        return web.Response(body=encode_reply(reply), content_type="application/json")

    async def _async_watch(self, watch: WatchKeys) -> PlatformReply:
        end_ms = self._clock.now_ms() + watch.wait_ms
        while True:
            reply = self.store.read_changes(watch.prefix, watch.after_revision)
            remaining_ms = end_ms - self._clock.now_ms()
            if reply.entries or remaining_ms <= 0:
                return reply
            try:
                async with asyncio.timeout(remaining_ms / 1_000):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _notify(self, revision_before: int) -> None:
        if self.store.revision == revision_before:
            return
        self._changed.set()
        self._changed = asyncio.Event()

    def _apply_faults(self, faults: Faults) -> None:
        self.store.vm_list_lag_ms = faults.stale_list_ms
        vms = tuple(
            VmEntry(
                name=vm.name,
                domain=vm.domain,
                host=vm.host,
                port=vm.port,
                kind=vm.kind,
                leaving=vm.leaving or vm.name in faults.leaving,
            )
            for vm in self._vms
        )
        self.store.set_vms(vms, self._clock.now_ms())
