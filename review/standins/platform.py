"""Metadata store and promotion calls of the platform, as PROTOCOL.md describes them, on loopback."""

import asyncio
import base64
import contextlib
import json
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

MIN_TTL_MS = 1_000
PAGE_ITEMS = 500
ANSWER_S = 0.004


@dataclass(kw_only=True)
class Item:
    """Item of the store."""

    value: bytes
    rev: int
    created: int
    lease: int


class Platform:
    """Store with leases and watches, and the call that orders promotions."""

    def __init__(self, promote: Callable[[str, str], bool], record: Callable[..., None]) -> None:
        self.items: dict[str, Item] = {}
        self.rev = 10
        self.store_port = 0
        self.cloud_port = 0
        self.orders: list[tuple[str, str, int]] = []
        self.on_write: Callable[[str, bytes], None] = lambda key, value: None
        self._promote = promote
        self._record = record
        self._changes: list[dict[str, object]] = []
        self._leases: dict[int, list[float]] = {}
        self._next_lease = 100
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def start(self) -> None:
        """Listen on free loopback ports."""
        store = await asyncio.start_server(lambda r, w: self._serve(r, w, self._store), "127.0.0.1")
        cloud = await asyncio.start_server(lambda r, w: self._serve(r, w, self._cloud), "127.0.0.1")
        self._servers = [store, cloud]
        self.store_port = store.sockets[0].getsockname()[1]
        self.cloud_port = cloud.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write a value, as the operator, a member or a gateway does."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rev += 1
        known = self.items.get(key)
        created = known.created if known is not None else self.rev
        self.items[key] = Item(value=data, rev=self.rev, created=created, lease=lease)
        self._note({"Key": key, **self._describe(self.items[key])})
        self.on_write(key, data)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.rev += 1
            self._note({"Key": key, "Rev": self.rev, "Deleted": True})

    def _note(self, change: dict[str, object]) -> None:
        self._changes.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    def _describe(self, item: Item) -> dict[str, object]:
        value = base64.b64encode(item.value).decode()
        return {"Value": value, "Rev": item.rev, "Created": item.created, "Lease": item.lease}

    def _end_leases(self) -> None:
        now = asyncio.get_running_loop().time()
        for lease in [one for one, (end, _) in self._leases.items() if end <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [one for one, item in self.items.items() if lease and item.lease == lease]:
            self.remove(key)

    async def _serve(self, reader, writer, handle) -> None:  # type: ignore[no-untyped-def]
        """Serve HTTP/1.1 requests on one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ")
                pairs = (line.partition(":") for line in head[1:] if line)
                headers = {name.lower(): value.strip() for name, _, value in pairs}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await asyncio.sleep(ANSWER_S)
                fields = json.loads(body) if body else {}
                status, answer = await handle(method, urlsplit(target), headers, fields)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
        writer.close()

    async def _store(self, method, url, headers, fields):  # type: ignore[no-untyped-def]
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self._end_leases()
        if url.path == "/-/kv-range":
            return 200, self._range(query)
        if url.path == "/-/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {}
            return 200, {"Key": query["Key"], **self._describe(item), "AsOf": self.rev}
        if url.path == "/-/kv-watch":
            return 200, await self._watch(query)
        if url.path == "/-/kv-txn":
            return self._commit(fields)
        if url.path == "/-/kv-lease":
            self._next_lease += 1
            ttl_ms = max(MIN_TTL_MS, int(fields["TtlMs"]))
            end = asyncio.get_running_loop().time() + ttl_ms / 1000
            self._leases[self._next_lease] = [end, ttl_ms / 1000]
            return 200, {"Lease": self._next_lease, "TtlMs": ttl_ms}
        lease = int(url.path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
        else:
            self._leases[lease][0] = asyncio.get_running_loop().time() + self._leases[lease][1]
        return 200, {}

    def _range(self, query: dict[str, str]) -> dict[str, object]:
        found = [
            {"Key": key, **self._describe(item)}
            for key, item in sorted(self.items.items())
            if key.startswith(query.get("Prefix", "")) and key > query.get("after", "")
        ]
        more = len(found) > PAGE_ITEMS
        return {"items": found[:PAGE_ITEMS], "HasMore": more, "AsOf": self.rev}

    async def _watch(self, query: dict[str, str]) -> dict[str, object]:
        after, prefix = int(query["after"]), query.get("Prefix", "")
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query["WaitMs"]) / 1000
        while True:
            self._end_leases()
            changed = self._changed
            events = [
                one
                for one in self._changes
                if int(str(one["Rev"])) > after and str(one["Key"]).startswith(prefix)
            ]
            left = until - loop.time()
            if events or left <= 0:
                return {"events": events, "AsOf": self.rev}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), min(left, 0.05))

    def _commit(self, fields):  # type: ignore[no-untyped-def]
        expected, writes = fields.get("Expected", []), fields.get("Writes", [])
        for row in expected:
            item = self.items.get(row["Key"])
            if (item.rev if item is not None else 0) != row["Rev"]:
                return 412, {"items": []}
        leases = {row.get("Lease", 0) for row in writes} - {0}
        if not leases <= set(self._leases):
            return 404, {}
        keys = [row["Key"] for row in writes] + fields.get("Remove", [])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        for row in writes:
            self.put(row["Key"], base64.b64decode(row["Value"]), row.get("Lease", 0))
        for key in fields.get("Remove", []):
            self.remove(key)
        return 200, {"Rev": self.rev}

    async def _cloud(self, method, url, headers, fields):  # type: ignore[no-untyped-def]
        holder, fence = headers["lease-holder"], int(headers["fencing-token"])
        self.orders.append((holder, fields["Id"], fence))
        self._record("promotion", holder=holder, service=fields["Service"], id=fields["Id"], fence=fence)
        return (200 if self._promote(fields["Service"], fields["Id"]) else 409), {}
