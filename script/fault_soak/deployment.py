"""Store, members and gateways of a run, and what the operator and the platform do to them."""

import asyncio
import itertools
import random
from collections.abc import Callable
from pathlib import Path

from script.fault_soak.journal import Fault, Journal, RouteCheck
from script.fault_soak.members import SoakMember
from script.fault_soak.processes import Checkout, GatewayProcess
from script.fault_soak.store import SoakStore

SERVICE = "wendedb"
DATABASES = {"urgent": "primary", "visits": "session", "lookups": "bounded"}
STATEMENT_TIMEOUT_MS = 800
CONFIG_APPLY_S = 3.0
START_S = 30.0
POLL_S = 0.002
LATE_S = 0.1
# How long the platform may take until an ordered member leads.
PROMOTION_S = (0.02, 0.3, 1.0)


async def async_wait_until(condition: Callable[[], bool], limit_s: float = START_S) -> None:
    """Wait until a condition holds, but no longer than a limit."""
    for _ in range(int(limit_s / POLL_S)):
        if condition():
            return
        await asyncio.sleep(POLL_S)


class Deployment:
    """Everything of one run."""

    def __init__(self, checkout: Checkout, logs: Path, journal: Journal, gateways: int) -> None:
        self.journal = journal
        self.store = SoakStore(self._promote)
        self.members: dict[str, SoakMember] = {}
        self.gateways: list[GatewayProcess] = []
        self.databases = dict(DATABASES)
        self.version = 0
        # Nodes that a fault acts on, so that no other one contradicts it.
        self.taken: set[str] = set()
        self._checkout, self._logs, self._count = checkout, logs, gateways
        self._ids = itertools.count(1)
        self._lag: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Start all parts and wait until the gateways are ready."""
        await self.store.async_start()
        self.store.promote_delay_s = random.choice(PROMOTION_S)
        self.configure()
        for index in range(3):
            await self.add_member(primary=index == 0).async_start()
        for index in range(self._count):
            port = await self.store.async_open_address(f"front-{index + 1}")
            self.gateways.append(
                GatewayProcess(self._checkout, self._logs, self.journal, index, port)
            )
            self.gateways[-1].start()
        await async_wait_until(self.is_serving)
        self._lag = asyncio.get_running_loop().create_task(self._async_watch_lag())

    def add_member(self, *, primary: bool = False) -> SoakMember:
        """Return a new member, which has not started yet."""
        member_id = f"i-{next(self._ids):06x}"
        member = SoakMember(
            SERVICE, member_id, primary=primary, store=self.store, journal=self.journal
        )
        self.members[member_id] = member
        self.connect_members()
        return member

    def connect_members(self) -> None:
        """Tell the members who is in the group."""
        group = list(self.members.values())
        for member in group:
            member.group = group
            member.peers = [peer for peer in group if peer is not member]

    def find_primary(self) -> SoakMember:
        """Return the member that leads the newest term."""
        return max(self.members.values(), key=lambda one: (one.primary, one.term))

    def begin_fault(self, name: str, node: str = "", *, planned: bool = False) -> Fault:
        """Note that a disruption begins."""
        fault = Fault(name=name, node=node, planned=planned, start_s=self.journal.now())
        self.journal.faults.append(fault)
        return fault

    def end_fault(self, fault: Fault) -> None:
        """Note that a disruption has ended."""
        fault.end_s = self.journal.now()

    def configure(self) -> None:
        """Write the next configuration."""
        self.version += random.randint(1, 5)
        routes = [
            {
                "Name": name,
                "Host": name,
                "Service": SERVICE,
                "Type": kind,
                "MaxStalenessMs": 2500,
                "TimeoutMs": STATEMENT_TIMEOUT_MS,
                "TargetLatencyMs": 250,
                "Priority": 0,
            }
            for name, kind in self.databases.items()
        ]
        services = [{"Name": SERVICE, "MaxConns": 30, "SyncReplicas": self.journal.sync_replicas}]
        self.store.put(
            "op/config",
            {
                "Version": self.version,
                "Routes": routes,
                "Services": services,
                "Limits": {"IdleTxMs": 3000},
            },
        )

    async def async_check_route(self, database: str) -> None:
        """Connect to a database at each running node after the time that a change may take."""
        await asyncio.sleep(CONFIG_APPLY_S + 0.05)
        for gateway in self.gateways:
            at_s = self.journal.now()
            try:
                async with asyncio.timeout(2.0):
                    reader, writer = await asyncio.open_connection(gateway.host, gateway.port)
                    writer.write(f"CONNECT {database} check\r\n".encode())
                    answer = (await reader.readline()).decode().strip()
                    writer.close()
            except (OSError, TimeoutError):
                answer = ""
            self.journal.route_checks.append(
                RouteCheck(node=gateway.name, database=database, at_s=at_s, answer=answer)
            )

    def is_serving(self) -> bool:
        """Return whether all nodes are ready and none is being stopped."""
        return all(one.in_rotation and not one.is_stopping for one in self.gateways)

    def choose_gateway(self, *, in_rotation: bool = True) -> GatewayProcess:
        """Return a node as the platform does, or any one."""
        ready = [one for one in self.gateways if one.in_rotation or not in_rotation]
        if 2 * len(ready) < len(self.gateways):
            ready = self.gateways
        return random.choice(ready)

    async def async_stop(self) -> None:
        """End everything that was started."""
        if self._lag is not None:
            self._lag.cancel()
        for gateway in self.gateways:
            gateway.stop()
        for member in self.members.values():
            await member.async_crash()
        await self.store.async_stop()

    def _promote(self, member_id: str) -> bool:
        member = self.members.get(member_id)
        if member is None or not member.running:
            return False
        member.promote()
        return True

    async def _async_watch_lag(self) -> None:
        """Note when this process is late itself, and no time that it measures can be trusted."""
        while True:
            began_s = self.journal.now()
            await asyncio.sleep(0.02)
            if self.journal.now() - began_s > LATE_S:
                fault = Fault(name="soak_late", node="", planned=False, start_s=began_s)
                self.journal.faults.append(fault)
                self.end_fault(fault)
