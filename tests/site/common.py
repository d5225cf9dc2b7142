"""Gateways with a fake store and a fake database group, all on loopback."""

import asyncio
import contextlib
import json
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from random import Random
from typing import Any

import pytest
from burdockrun_base import FORMAT_JSON, Application, EventLog, SystemClock
from burdockrun_gateway import DEFAULT_GRACE_MS, Gateway
from burdockrun_groups import NodeEntry
from burdockrun_site.change_notifier import UdpChangeNotifier
from burdockrun_site.clients import ClientConnection
from burdockrun_site.documents import PlatformDocumentReader
from burdockrun_site.http import async_serve_page
from burdockrun_site.limit_datagrams import UdpLimitDatagrams
from burdockrun_site.listeners import open_listener
from burdockrun_site.members import LineConnector
from burdockrun_site.peer_copies import PeerCopyClient, build_changes_handler
from burdockrun_site.peers import PeerConnection
from burdockrun_site.store import PlatformPromotionClient, PlatformStore

from tests.site.members import FakeMember
from tests.site.store import FakeStore

SERVICE = "wendedb"
MEMBER_DRAIN_MS = 7_000
READY_S = 8.0
MAX_STALENESS_MS = 2_500
# A configuration must be in force at each node within this time (ConfigApplyMs).
CONFIGURATION_S = 3.0
POLL_S = 0.01
PORT_TRIES = 20
STALL_S = 0.05
STALL_SHARE = 0.2


class Client:
    """Client with one session."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._next_id = 0

    async def async_read_line(self) -> str:
        """Return the next message, or an empty string at the end of the connection."""
        try:
            line = await asyncio.wait_for(self._reader.readuntil(b"\r\n"), 5.0)
        except asyncio.IncompleteReadError as end:
            line = end.partial
        return line.decode().removesuffix("\r\n")

    async def async_send(self, line: str) -> list[str]:
        """Send one message; return the answer up to READY or the end of the connection."""
        self._writer.write(f"{line}\r\n".encode())
        return await self.async_read_answer()

    async def async_read_answer(self) -> list[str]:
        """Return the messages up to READY or the end of the connection."""
        lines: list[str] = []
        while True:
            lines.append(await self.async_read_line())
            if lines[-1].startswith("READY") or not lines[-1]:
                return lines

    async def async_read_bytes(self) -> bytes:
        """Return everything up to the end of the connection."""
        return await asyncio.wait_for(self._reader.read(), 5.0)

    def has_ended(self) -> bool:
        """Return whether the connection has ended and everything that was sent has been read."""
        return self._reader.at_eof()

    @property
    def last_id(self) -> str:
        """Return the id of the last query."""
        return f"q{id(self)}-{self._next_id}"

    async def async_query(self, text: str) -> list[str]:
        """Send a query and return the messages of its answer."""
        return await self.async_send(f"QUERY {self.next_id()} {text}")

    def next_id(self) -> str:
        """Return the id of a new query."""
        self._next_id += 1
        return self.last_id

    async def async_write(self, data: bytes) -> None:
        """Send bytes."""
        self._writer.write(data)
        await self._writer.drain()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class Deployment:
    """Fake store, fake database group and gateways."""

    def __init__(self) -> None:
        self.grace_ms = DEFAULT_GRACE_MS
        self.member_drain_ms = MEMBER_DRAIN_MS
        self.members = {name: FakeMember(SERVICE, name, primary=name == "a") for name in "abc"}
        for member in self.members.values():
            member.peers = [peer for peer in self.members.values() if peer is not member]
        self.store = FakeStore(self._promote)
        self.gateways: list[Gateway] = []
        self.ports: list[int] = []
        self._max_connections = 16
        self._stops: dict[str, Callable[[], Awaitable[None]]] = {}

    async def async_start(self, gateways: int = 2, max_connections: int = 16) -> None:
        """Start all parts and wait until all gateways are ready."""
        self._max_connections = max_connections
        await self.store.async_start()
        self.configure(1)
        for member in self.members.values():
            await member.async_start()
            self.register_member(member)
        for index in range(gateways):
            await self.async_add_gateway(f"node-{index + 1}")
        await self.async_wait_until(lambda: all(self.is_serving(one) for one in self.gateways))

    async def async_add_gateway(self, node: str) -> Gateway:
        """Start one gateway."""
        clock = SystemClock()
        events = EventLog(FORMAT_JSON, clock=clock, common={"node": node})
        app = Application(clock=clock, events=events)
        address = f"127.0.0.1:{self.store.port}"
        store = PlatformStore(address, app.measurements)
        promotion_client = PlatformPromotionClient(address)
        change_notifier = UdpChangeNotifier()
        peer_copies = PeerCopyClient()
        limit_datagrams = UdpLimitDatagrams()
        copy_listener = await _async_open_peer_port(limit_datagrams)
        loop = asyncio.get_running_loop()
        peer_listener = await _async_open_peer_port(change_notifier)
        port = peer_listener.getsockname()[1]
        gateway = Gateway(
            app,
            NodeEntry(
                node=node,
                domain="nbg",
                host="127.0.0.1",
                port=port,
                copy_port=copy_listener.getsockname()[1],
            ),
            store,
            PlatformDocumentReader(),
            LineConnector(node),
            peer_copies=peer_copies,
            change_notifier=change_notifier,
            promotion_client=promotion_client,
            rng=Random(len(self.gateways)),
            limit_datagrams=limit_datagrams,
            grace_ms=self.grace_ms,
            member_drain_ms=self.member_drain_ms,
        )
        limit_datagrams.on_datagram = gateway.limits.handle_datagram
        change_notifier.on_change_notification = gateway.directory.handle_change_notification
        peers = await loop.create_server(lambda: PeerConnection(gateway), sock=peer_listener)
        server = await loop.create_server(lambda: ClientConnection(app, gateway), "127.0.0.1", 0)
        await async_serve_page(app, copy_listener, build_changes_handler(gateway.list_changes))
        gateway.start()

        async def async_stop() -> None:
            server.close()
            peer_copies.close()
            await app.async_unload()
            peers.close()
            await gateway.async_stop()
            store.close()
            promotion_client.close()
            change_notifier.close()
            limit_datagrams.close()

        self._stops[node] = async_stop
        self.gateways.append(gateway)
        self.ports.append(server.sockets[0].getsockname()[1])
        return gateway

    async def async_stop(self) -> None:
        """Stop all parts."""
        for stop in self._stops.values():
            await stop()
        for member in self.members.values():
            await member.async_stop()
        await self.store.async_stop()

    async def async_stop_gateway(self, node: str) -> None:
        """Stop one gateway without a drain."""
        await self._stops.pop(node)()

    def configure(
        self,
        version: int,
        *,
        databases: tuple[str, ...] = ("urgent", "visits"),
        synchronous: int = 0,
        keys: dict[str, list[str]] | None = None,
        public: tuple[str, ...] = (),
        rates: dict[str, float] | None = None,
        added_services: tuple[str, ...] = (),
    ) -> None:
        """Write a configuration; `urgent` has a route of type `primary`, `visits` of `session`.

        `keys` are those of each account, `rates` the limits of accounts in operations per second.
        `added_services` have no routes and come first.
        """
        kinds = {"urgent": "primary", "visits": "session", "lookups": "bounded"}
        routes = [
            {
                "Name": name,
                "Host": name,
                "Service": SERVICE,
                "Type": kinds.get(name, "primary"),
                "MaxStalenessMs": MAX_STALENESS_MS,
                "TimeoutMs": 800,
                "TargetLatencyMs": 250,
                "Priority": 0,
                "Public": name in public,
            }
            for name in databases
        ]
        services: list[dict[str, object]] = [{"Name": name} for name in added_services]
        services.append(
            {"Name": SERVICE, "MaxConns": self._max_connections, "SyncReplicas": synchronous}
        )
        ticket: dict[str, object] = {
            "Version": version,
            "Routes": routes,
            "Services": services,
            "Limits": {},
        }
        if keys is not None:
            ticket["Tenants"] = [
                {"Name": name, "ApiKeys": own, "RatePerS": (rates or {}).get(name)}
                for name, own in keys.items()
            ]
        self.store.put("op/config", ticket)

    def register_member(self, member: FakeMember, state: str = "ready") -> None:
        """Write the entry of a member."""
        entry = build_entry(
            Address=f"127.0.0.1:{member.port}",
            State=state,
            DbRole="primary" if member.primary else "replica",
        )
        self.store.put(f"servers/{member.id}", entry)

    def is_serving(self, gateway: Gateway) -> bool:
        """Return whether a gateway is ready and can use an agreed primary."""
        group = gateway.directory.find_group(SERVICE)
        if group is None or group.primary_lease.record is None:
            return False
        pool = group.primary_pool()
        return gateway.is_ready() and pool is not None and pool.is_usable()

    async def async_connect(self, database: str, gateway: int = 0, key: str = "u1") -> Client:
        """Open a session at the gateway with index `gateway`."""
        client = await self.async_open(gateway)
        assert await client.async_send(f"CONNECT {database} {key}") == ["READY I -"]
        return client

    async def async_refused(self, connect: str, gateway: int = 0) -> str:
        """Return the error of a message that opens no session and ends the connection."""
        client = await self.async_open(gateway)
        error, end = await client.async_send(connect)
        assert end == ""
        return error

    async def async_configure_accounts(
        self, version: int, keys: dict[str, list[str]], public: tuple[str, ...] = ("lookups",)
    ) -> None:
        """Write a configuration with accounts and wait until all gateways have it in force."""
        databases = ("urgent", "visits", "lookups")
        self.configure(version, databases=databases, keys=keys, public=public)
        await self.async_wait_until(
            lambda: all(one.directory.configuration.version == version for one in self.gateways)
        )

    async def async_follow(self, version: int) -> None:
        """Wait until all gateways have a version of the configuration in force."""
        await self.async_wait_until(
            lambda: all(one.directory.configuration.version == version for one in self.gateways),
            CONFIGURATION_S,
        )

    async def async_open(self, gateway: int = 0) -> Client:
        """Open a connection to the gateway with index `gateway`."""
        return Client(*await asyncio.open_connection("127.0.0.1", self.ports[gateway]))

    async def async_wait_until(
        self, condition: Callable[[], bool], seconds: float = READY_S
    ) -> None:
        """Wait until a condition holds."""
        for _ in range(int(seconds / POLL_S)):
            if condition():
                return
            await asyncio.sleep(POLL_S)
        raise TimeoutError

    async def async_query_until_done(self, client: Client, text: str) -> list[str]:
        """Repeat a query until it has no error, and return its answer."""
        for _ in range(int(READY_S / POLL_S)):
            answer = await client.async_query(text)
            if not error_of(answer):
                return answer
            await asyncio.sleep(POLL_S)
        raise TimeoutError

    def _promote(self, member_id: str) -> bool:
        self.members[member_id].promote()
        return True


async def _async_open_peer_port(protocol: asyncio.DatagramProtocol) -> socket.socket:
    """Listen for datagrams and connections of nodes on a port number that is free for both."""
    loop = asyncio.get_running_loop()
    for _ in range(PORT_TRIES):
        listener = open_listener("127.0.0.1", 0)
        address = listener.getsockname()
        try:
            await loop.create_datagram_endpoint(lambda: protocol, local_addr=address)
        except OSError:
            listener.close()
        else:
            return listener
    raise OSError("no port number is free for both TCP and UDP")


class Stopwatch:
    """Stopwatch in seconds that leaves out the time for which this process did not run.

    Such a stall is recognized by a late timer while the process used almost no processor time.
    `longest_stall_s` is the longest time without processor time before a late timer.
    """

    def __init__(self) -> None:
        self.longest_stall_s = 0.0
        self._started = time.monotonic()
        self._stalled = 0.0
        self._task = asyncio.create_task(self._async_watch())

    def stop(self) -> float:
        """Return the time that has passed."""
        self._task.cancel()
        return time.monotonic() - self._started - self._stalled

    async def _async_watch(self) -> None:
        while True:
            began, used = time.monotonic(), time.process_time()
            await asyncio.sleep(POLL_S)
            late, used = time.monotonic() - began - POLL_S, time.process_time() - used
            self.longest_stall_s = max(self.longest_stall_s, late - used)
            if late > STALL_S and used < STALL_SHARE * late:
                self._stalled += late


@contextlib.asynccontextmanager
async def async_deploy(
    gateways: int = 2,
    max_connections: int = 16,
    *,
    grace_ms: int = DEFAULT_GRACE_MS,
    member_drain_ms: int = MEMBER_DRAIN_MS,
) -> AsyncIterator[Deployment]:
    """Run a deployment for the duration of a test."""
    deployment = Deployment()
    deployment.grace_ms = grace_ms
    deployment.member_drain_ms = member_drain_ms
    try:
        await deployment.async_start(gateways, max_connections)
        yield deployment
    finally:
        await deployment.async_stop()


def build_entry(**changed: object) -> dict[str, object]:
    """Return the entry of a replica at an address where nothing listens, with other values."""
    return {
        "Service": SERVICE,
        "Address": "127.0.0.1:9",
        "Zone": "nbg",
        "Version": "v1",
        "Capacity": 2,
        "State": "ready",
        "ColdMs": 0,
        "DbRole": "replica",
        "Seq": 1,
        "born": 1,
        **changed,
    }


def error_of(answer: list[str]) -> str:
    """Return the error code of an answer, or an empty string."""
    errors = [line.split(" ")[1] for line in answer if line.startswith("ERROR")]
    return errors[0] if errors else ""


def rows_of(answer: list[str]) -> list[str]:
    """Return the rows of an answer."""
    return [line.removeprefix("ROW ") for line in answer if line.startswith("ROW ")]


def read_events(caplog: pytest.LogCaptureFixture, number: int) -> list[dict[str, object]]:
    """Return the log events with a number, in order of time."""
    records = [json.loads(message) for message in caplog.messages if message.startswith("{")]
    return [record for record in records if record["event"] == number]


def count_failures(gateway: Gateway, task: str) -> int:
    """Return how many failures of a task the gateway has counted."""
    series = gateway._app.measurements.counters.get("task_failures", {})
    return series.get((("task", task),), 0)


def fail_first(work: Callable[..., Any], times: int) -> Callable[..., Any]:
    """Return a function that raises in the first calls."""
    left = times

    def run(*arguments: Any, **named: Any) -> Any:
        nonlocal left
        if left:
            left -= 1
            raise RuntimeError("injected")
        return work(*arguments, **named)

    return run
