"""Fake of the platform's metadata store and of its promotion calls."""

import asyncio
import base64
import json
from collections.abc import Callable
from dataclasses import dataclass, replace

from aiohttp import web
from aiohttp.typedefs import Handler


@dataclass(kw_only=True)
class Entry:
    """Item of the store."""

    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(kw_only=True)
class Backup:
    """Copy of the contents of the store."""

    entries: dict[str, Entry]
    revision: int
    leases: set[int]


class FakeStore:
    """In-memory store with faults that tests switch on."""

    def __init__(self, promote: Callable[[str], bool]) -> None:
        self.entries: dict[str, Entry] = {}
        self.revision = 1
        self.era = 1
        self.compacted_revision = 0
        self.down = False
        self.delay_s = 0.0
        self.write_delay_s = 0.0
        self.watches = 0
        self.lose_next_write = False
        self.promotions: list[tuple[str, str, int]] = []
        self.promote_delay_s = 0.05
        # When set, orders are lost on their connections and take effect after this time.
        self.lost_order_delay_s = 0.0
        self.order_answer_delay_s = 0.0
        # Fencing tokens of orders with the connections on which they came.
        self.order_connections: list[tuple[int, asyncio.Transport]] = []
        self.not_running: set[str] = set()
        self.port = 0
        self.page_items = 3
        self._promote = promote
        self._changes: list[dict[str, object]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def async_start(self) -> None:
        """Listen on loopback."""
        app = web.Application(middlewares=[self._async_disturb])
        app.on_response_prepare.append(self._async_add_era)
        app.add_routes(
            [
                web.get("/-/kv-range", self._async_range),
                web.get("/-/kv-watch", self._async_watch),
                web.post("/-/kv-txn", self._async_commit),
                web.post("/-/kv-lease", self._async_lease),
                web.post("/-/kv-keep/{id}", self._async_keep),
                web.delete("/-/kv-lease-end/{id}", self._async_end),
                web.post("/promotion", self._async_promotion),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def async_stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _async_disturb(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Pass a call on; stand-ins with faults of the network override this."""
        return await handler(request)

    async def _async_add_era(self, request: web.Request, response: web.StreamResponse) -> None:
        response.headers["Store-Era"] = str(self.era)

    def put(self, key: str, fields: object, lease: int = 0) -> None:
        """Write a value, as the operator or a member does."""
        value = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
        self.revision += 1
        known = self.entries.get(key)
        created = known.created if known is not None else self.revision
        entry = Entry(value=value, revision=self.revision, created=created, lease=lease)
        self.entries[key] = entry
        self._publish_change({**self._describe(key, entry)})

    def remove(self, key: str) -> None:
        """Remove a key if it is there."""
        if self.entries.pop(key, None) is not None:
            self.revision += 1
            self._publish_change({"Key": key, "Rev": self.revision, "Deleted": True})

    def compact(self) -> None:
        """Drop the history of changes."""
        self.compacted_revision = self.revision
        self._changes.clear()

    def back_up(self) -> Backup:
        """Return a copy of the contents, from which the store can be restored."""
        entries = {key: replace(entry) for key, entry in self.entries.items()}
        return Backup(entries=entries, revision=self.revision, leases=set(self._leases))

    def restore(self, backup: Backup) -> None:
        """Come back from a copy: later contents are lost, and revisions are given out again.

        Leases that the copy has run anew from now on.
        """
        self.era += 1
        self.entries = {key: replace(entry) for key, entry in backup.entries.items()}
        self.revision = self.compacted_revision = backup.revision
        self._changes.clear()
        now = asyncio.get_running_loop().time()
        self._leases = {
            lease: (now + duration_s, duration_s)
            for lease, (_, duration_s) in self._leases.items()
            if lease in backup.leases
        }
        for key in [one for one, entry in self.entries.items() if entry.lease]:
            if self.entries[key].lease not in self._leases:
                del self.entries[key]

    async def async_pause(self, seconds: float) -> None:
        """Be unavailable for some time, in which leases do not expire."""
        self.down = True
        await asyncio.sleep(seconds)
        self._leases = {
            lease: (expires_at + seconds, duration_s)
            for lease, (expires_at, duration_s) in self._leases.items()
        }
        self.down = False

    def _publish_change(self, change: dict[str, object]) -> None:
        self._changes.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    def _describe(self, key: str, entry: Entry) -> dict[str, object]:
        return {
            "Key": key,
            "Value": base64.b64encode(entry.value).decode(),
            "Rev": entry.revision,
            "Created": entry.created,
            "Lease": entry.lease,
        }

    def _end_expired_leases(self) -> None:
        now = asyncio.get_running_loop().time()
        for lease in [
            known for known, (expires_at, _) in self._leases.items() if expires_at <= now
        ]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, entry in self.entries.items() if entry.lease == lease]:
            self.remove(key)

    async def _async_check(self) -> None:
        await asyncio.sleep(self.delay_s)
        self._check()

    def _check(self) -> None:
        if self.down:
            raise web.HTTPServiceUnavailable
        self._end_expired_leases()

    async def _async_range(self, request: web.Request) -> web.Response:
        await self._async_check()
        prefix = request.query["Prefix"]
        items = [
            self._describe(key, entry)
            for key, entry in sorted(self.entries.items())
            if key.startswith(prefix) and key > request.query.get("after", "")
        ]
        page = items[: self.page_items]
        return web.json_response(
            {"items": page, "HasMore": len(items) > len(page), "AsOf": self.revision}
        )

    async def _async_watch(self, request: web.Request) -> web.Response:
        self.watches += 1
        self._check()
        after = int(request.query["after"])
        if after < self.compacted_revision or after > self.revision:
            return web.json_response({}, status=410)
        deadline = asyncio.get_running_loop().time() + int(request.query["WaitMs"]) / 1000
        while True:
            self._check()
            events = [
                change
                for change in self._changes
                if int(str(change["Rev"])) > after
                and str(change["Key"]).startswith(request.query["Prefix"])
            ]
            left = deadline - asyncio.get_running_loop().time()
            if events or left <= 0:
                return web.json_response({"events": events, "AsOf": self.revision})
            try:
                async with asyncio.timeout(min(left, 0.1)):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _async_commit(self, request: web.Request) -> web.Response:
        await self._async_check()
        fields = await request.json()
        for row in fields["Expected"]:
            known = self.entries.get(row["Key"])
            if (known.revision if known is not None else 0) != row["Rev"]:
                return web.json_response({"items": []}, status=412)
        leases = {row.get("Lease", 0) for row in fields["Writes"]} - {0}
        if not leases <= set(self._leases):
            return web.json_response({}, status=404)
        for row in fields["Writes"]:
            self.put(row["Key"], base64.b64decode(row["Value"]), row.get("Lease", 0))
        for key in fields["Remove"]:
            self.remove(key)
        if self.lose_next_write:
            self.lose_next_write = False
            assert request.transport is not None
            request.transport.abort()
        return web.json_response({"Rev": self.revision})

    async def _async_lease(self, request: web.Request) -> web.Response:
        await self._async_check()
        await asyncio.sleep(self.write_delay_s)
        duration_s = (await request.json())["TtlMs"] / 1000
        lease = max(self._leases, default=100) + 1
        self._leases[lease] = (asyncio.get_running_loop().time() + duration_s, duration_s)
        return web.json_response({"Lease": lease, "TtlMs": duration_s * 1000})

    async def _async_keep(self, request: web.Request) -> web.Response:
        await self._async_check()
        lease = int(request.match_info["id"])
        if lease not in self._leases:
            return web.json_response({}, status=404)
        duration_s = self._leases[lease][1]
        self._leases[lease] = (asyncio.get_running_loop().time() + duration_s, duration_s)
        return web.json_response({"TtlMs": duration_s * 1000})

    async def _async_end(self, request: web.Request) -> web.Response:
        self._check()
        self._end_lease(int(request.match_info["id"]))
        return web.json_response({})

    async def _async_promotion(self, request: web.Request) -> web.Response:
        fields = await request.json()
        fence = int(request.headers["Fencing-Token"])
        self.promotions.append((request.headers["Lease-Holder"], fields["Id"], fence))
        assert request.transport is not None
        self.order_connections.append((fence, request.transport))
        await asyncio.sleep(self.order_answer_delay_s)
        loop = asyncio.get_running_loop()
        running = fields["Id"] not in self.not_running
        if running:
            delay_s = self.lost_order_delay_s or self.promote_delay_s
            loop.call_later(delay_s, self._promote, fields["Id"])
        if self.lost_order_delay_s:
            request.transport.abort()
        return web.json_response({}, status=200 if running else 409)
