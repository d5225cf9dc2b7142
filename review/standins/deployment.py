"""A small deployment on loopback: stand-ins in this process, gateways as processes of their own."""

import asyncio
import ctypes
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path
from typing import Any

from standins.members import Member
from standins.platform import Platform

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("muc-nord", "nbg", "rgb")
SERVICE = "lepu27"
DATABASES = {"u3f1-primary": "primary", "u3f1-session": "session", "u3f1-bounded": "bounded"}
BOUNDS = {
    "SeedLagS": 3, "AddrReuseS": 2, "StableWindowMs": 4000, "AckMs": 5000, "CatchUpS": 4,
    "DrainMs": 7000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 3000,
    "RollbackSlackMs": 250, "OuterMs": 12000, "RecoveryS": 12, "ThawSlackMs": 300,
}  # fmt: skip
RESTART_S = 0.3
HELD, BROKEN, NOT_RUN = 0, 1, 2
PR_SET_PDEATHSIG = 1  # of prctl(2)


def has_trouble() -> bool:
    """Return whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of `record.txt`: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        # The same events as in the file, in their order.
        self.events: list[dict[str, Any]] = []
        self._file = path.open("w")
        self._started = time.monotonic()

    def __call__(self, event: str, **fields: object) -> None:
        if self._file.closed:
            return
        self.events.append({"s": round(self.now(), 4), "event": event, **fields})
        self._file.write(json.dumps(self.events[-1]) + "\n")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def close(self) -> None:
        """Write everything to the file."""
        self._file.close()


class GatewayProcess:
    """One gateway, started with the command of the deploy file, again after it has ended."""

    def __init__(self, deployment: "Deployment", index: int, addresses: tuple[str, str]) -> None:
        """`addresses` are those of the store and of the promotion calls for this gateway."""
        self.zone = deployment.zones[index]
        self.name = f"front-{self.zone}-{index + 1}"
        self.host = f"127.{random.randint(2, 250)}.{random.randint(2, 250)}.{index + 2}"
        # Nodes know each other by address, and connect from 127.0.0.1 here.
        self.ready_host = self.host
        self.host = "127.0.0.1" if deployment.has_peers else self.host
        self.peer_port = deployment.peer_port + 16 * index
        self.port = find_port(self.host)
        self.ready_port = find_port(self.ready_host)
        self.ends: list[tuple[float, int]] = []
        self.process: subprocess.Popen[bytes] | None = None
        self._deployment = deployment
        self._addresses = addresses
        self._watch: asyncio.Task[None] | None = None
        self._log = deployment.folder / f"{self.name}.log"

    def start(self) -> None:
        """Start the process, and restart it whenever it ends."""
        self._watch = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        while True:
            settings = self._deployment.folder / f"{self.name}.toml"
            settings.write_text(self._build_settings())
            environment = {
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "BURDOCKRUN_SETTINGS": str(settings),
            }
            with self._log.open("ab") as log:
                self.process = subprocess.Popen(
                    command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                    preexec_fn=end_with_parent,
                )  # fmt: skip
            self._deployment.record("process_started", node=self.name)
            while self.process.poll() is None:
                await asyncio.sleep(0.01)
            self.ends.append((self._deployment.record.now(), self.process.returncode))
            self._deployment.record(
                "process_ended", node=self.name, status=self.process.returncode
            )
            await asyncio.sleep(RESTART_S)

    def kill(self) -> None:
        """Kill the process; it is restarted."""
        assert self.process is not None
        self._deployment.record("kill", node=self.name)
        self.process.kill()

    def terminate(self) -> None:
        """Send SIGTERM, as the platform does; no restart follows."""
        assert self.process is not None
        self._deployment.record("sigterm", node=self.name)
        self.process.send_signal(signal.SIGTERM)

    def stop(self) -> None:
        """End the process for good."""
        if self._watch is not None:
            self._watch.cancel()
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def _build_settings(self) -> str:
        store, cloud = self._addresses
        lines = [
            f'Node = "{self.name}"', 'Role = "gateway"', 'Class = "front"', 'Serves = ["front"]',
            f'Ip = "{self.host}"', f'Zone = "{self.zone}"', 'Region = "bayern"',
            f"PeerPorts = [{self.peer_port},{self.peer_port + 15}]",
            "Seeds = []", "Bootstrap = true", "CountsAsLoss = false", 'Discovery = "platform"',
            'Entry = "vip"', "HeartbeatMs = 1200",
            'Contracts = ["base","drain","config","cost","recover","sql","platform"]',
            "[Zones]", *(f'{zone} = "bayern"' for zone in ZONES),
            "[Listen]", f'Front = "{self.host}:{self.port}"',
            f'Ready = "{self.ready_host}:{self.ready_port}"',
            "[Limits]", "CpuShare = 0.537", "Cores = 2", "MemoryMb = 300", "MaxFds = 4300",
            "LinkMbps = 1000.0", "DiskMb = 0",
            "[FaultTolerance]", "Machines = 2", "Zones = 1", "Regions = 0",
            "[Bounds]", *(f"{name} = {value}" for name, value in BOUNDS.items()),
            "RequireFence = false",
            "[platform]", f'Address = "{store}"', 'form = "kv"', "WritesPerS = 400",
            "ReadsPerS = 2000", "HistoryS = 20", "ValueBytes = 1048576", "MinTtlMs = 1000",
            "[Cloud]", f'Address = "{cloud}"', "RatePerS = 50.0", 'Duties = ["promotion"]',
            "DutyPerS = 50.0",
        ]  # fmt: skip
        return "\n".join(lines) + "\n"


class Deployment:
    """Platform, three members of one service and gateways, one in each zone."""

    def __init__(self, case: Path) -> None:
        self.record = Record(case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="burdockrun-review-"))
        self.peer_port = random.randint(20_000, 30_000)
        self.platform = Platform(self._promote, self.record)
        self.members: dict[str, Member] = {}
        self.gateways: list[GatewayProcess] = []
        self.promote_s = 1.0
        # Zone of each gateway.
        self.zones: tuple[str, ...] = ZONES
        self.services: tuple[str, ...] = (SERVICE,)
        self.databases = dict(DATABASES)
        # Services of databases that are not those of `SERVICE`.
        self.services_by_database: dict[str, str] = {}
        # Whether gateways connect to each other, for copies of the store.
        self.has_peers = False
        self.sync_replicas = 0

    async def start(self, **member_options: object) -> None:
        """Start all parts and wait until the gateways are ready."""
        await self.platform.start()
        self.configure(1)
        for number, service in enumerate(self.services):
            for index, zone in enumerate(ZONES):
                member = Member(
                    self.platform, self.record, service=service, zone=zone, primary=index == 0,
                    member_id=f"i-{index}a7f3c{index}{number or ''}",
                    **member_options,  # type: ignore[arg-type]
                )  # fmt: skip
                self.members[member.id] = member
        self._connect_peers()
        for member in self.members.values():
            member.sync_replicas = self.sync_replicas
            await member.start()
        for index in range(len(self.zones)):
            gateway = GatewayProcess(self, index, self.find_addresses(index))
            self.gateways.append(gateway)
            gateway.start()
        await self.wait_ready()

    async def release_primary(self, member_id: str, drain_s: float) -> None:
        """Replace the primary as planned: a new member starts first, the old one drains and ends."""
        old = max(self.members.values(), key=lambda one: (one.primary, one.term))
        new = Member(
            self.platform, self.record, service=SERVICE, member_id=member_id, zone=old.zone,
            primary=False, work_s=old.work_s, lag_s=old.lag_s,
        )  # fmt: skip
        new.log, new.term, new.sync_replicas = list(old.log), old.term, old.sync_replicas
        self.members[member_id] = new
        self._connect_peers()
        await new.start()
        self.record("member_started", member=new.id)
        await asyncio.sleep(1.0)
        old.draining = True
        old.register()
        self.record("member_drains", member=old.id)
        await asyncio.sleep(drain_s)
        old.crash()
        self.platform.remove(f"servers/{old.id}")
        del self.members[old.id]
        self._connect_peers()
        self.record("member_left", member=old.id)

    def _connect_peers(self) -> None:
        for member in self.members.values():
            member.peers = [
                one
                for one in self.members.values()
                if one is not member and one.service == member.service
            ]

    def find_addresses(self, index: int) -> tuple[str, str]:
        """Return the addresses of the store and of the promotion calls for a gateway."""
        return (f"127.0.0.1:{self.platform.store_port}", f"127.0.0.1:{self.platform.cloud_port}")

    def configure(self, version: int) -> None:
        """Write the configuration."""
        routes = [
            {
                "Name": name, "Host": name, "Type": kind,
                "Service": self.services_by_database.get(name, SERVICE),
                "MaxStalenessMs": 1500, "TimeoutMs": 800, "TargetLatencyMs": 250, "Priority": 0,
            }
            for name, kind in self.databases.items()
        ]  # fmt: skip
        services = [
            {"Name": name, "MaxConns": 16, "SyncReplicas": self.sync_replicas}
            for name in self.services
        ]
        limits = {"IdleTxMs": 3000}
        fields = {"Version": version, "Routes": routes, "Services": services, "Limits": limits}
        self.platform.put("op/config", fields)

    async def wait_ready(self, limit_s: float = 30.0) -> None:
        """Wait until all gateways answer their readiness probes with 200 and have a primary."""
        until = time.monotonic() + limit_s
        for gateway in self.gateways:
            while not await is_ready(gateway.ready_host, gateway.ready_port):
                if time.monotonic() > until:
                    raise TimeoutError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)
        while not any(key.startswith("burdockrun/groups/") for key in self.platform.items):
            if time.monotonic() > until:
                raise TimeoutError("no primary is agreed on")
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)

    def _promote(self, service: str, member_id: str) -> bool:
        member = self.members.get(member_id)
        if member is None or not member.running or service != member.service:
            return False
        newest = max(one.term for one in [member, *member.peers])
        if not (member.primary and member.term == newest):
            asyncio.get_running_loop().call_later(self.promote_s, member.lead)
        return True

    def stop(self) -> None:
        """End everything that was started."""
        for gateway in self.gateways:
            gateway.stop()
        for member in self.members.values():
            member.crash()
        self.platform.stop()
        self.record.close()
        if "KEEP_LOGS" in os.environ:
            print(f"logs of the gateways: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class ClosedError(Exception):
    """The connection has ended."""


class Client:
    """Session of a client."""

    _numbers = iter(range(1, 1_000_000_000))

    def __init__(self, record: Record, host: str, port: int, database: str) -> None:
        self.record = record
        self.state = "I"
        self._host, self._port, self._database = host, port, database
        self._run = random.randbytes(3).hex()

    async def connect(self) -> None:
        """Open the session."""
        self._reader, self._writer = await asyncio.open_connection(self._host, self._port)
        self._writer.write(f"CONNECT {self._database} review\r\n".encode())
        line = await self._read_line()
        if not line.startswith("READY"):
            raise ClosedError(line)

    async def query(self, text: str) -> tuple[str, list[str]]:
        """Return the id of a query and the messages of its answer; raises ClosedError."""
        request_id = f"{self._run}{next(self._numbers):08x}"
        self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
        self.record("sent", request=request_id, text=text, node=self._host)
        lines: list[str] = []
        try:
            while not lines or not lines[-1].startswith("READY"):
                lines.append(await self._read_line())
        except ClosedError:
            self.record("connection_ended", request=request_id, answer=lines)
            raise
        self.state = lines[-1].split(" ")[1]
        self.record("answered", request=request_id, answer=lines)
        return request_id, lines

    async def _read_line(self) -> str:
        try:
            return (await self._reader.readuntil(b"\r\n")).decode().removesuffix("\r\n")
        except (ConnectionError, asyncio.IncompleteReadError):
            raise ClosedError from None

    def close(self) -> None:
        """Close the session."""
        self._writer.close()


def end_with_parent() -> None:
    """Let the kernel end this process when the case that started it ends, however it ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def find_port(host: str) -> int:
    """Return a free port of a loopback address."""
    with socket.socket() as one:
        one.bind((host, 0))
        return int(one.getsockname()[1])


async def is_ready(host: str, port: int) -> bool:
    """Send one readiness probe."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 1.0)
        writer.close()
    except (OSError, TimeoutError):
        return False
    return line.split(b" ")[1:2] == [b"200"]


def run(case: Path, play, *, min_answers: int) -> int:  # type: ignore[no-untyped-def]
    """Play a case on a new deployment; return the exit status of its script.

    A case in which clients got fewer than `min_answers` answers says nothing.
    """

    async def play_and_stop() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        deployment = Deployment(case)
        try:
            async with asyncio.timeout(110):
                status = int(await play(deployment))
            answers = sum(one["event"] == "answered" for one in deployment.record.events)
            if status == HELD and answers < min_answers:
                print(f"the case could not run: only {answers} answers", file=sys.stderr)
                return NOT_RUN
            return status
        except (Exception, asyncio.CancelledError):  # noqa: BLE001
            traceback.print_exc()
            return NOT_RUN
        finally:
            deployment.stop()
            await asyncio.sleep(0.2)

    if not (ROOT / "target/deps").is_dir():
        print("target/deps is missing: run the build of the deploy file first", file=sys.stderr)
        return NOT_RUN
    return asyncio.run(play_and_stop())
