"""Gateways as real processes, started with the command of the deploy file."""

import asyncio
import ctypes
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import sysconfig
import tomllib
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from script.fault_soak.journal import End, Journal, Probe, Signal

RESTART_S: Final = 0.3
GRACE_S: Final = 6
POLL_S: Final = 0.005
PROBE_S: Final = 1.0
METRICS_PORT: Final = 9464
PR_SET_PDEATHSIG: Final = 1
BOUNDS: Final = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "StableWindowMs": 4000,
    "AckMs": 5000,
    "CatchUpS": 4,
    "DrainMs": 7000,
    "GraceS": GRACE_S,
    "LossSlackMs": 200,
    "ConfigApplyMs": 3000,
    "RollbackSlackMs": 250,
    "OuterMs": 12000,
    "RecoveryS": 12,
    "ThawSlackMs": 300,
}


@dataclass(frozen=True, kw_only=True)
class Checkout:
    """Checkout whose gateways run, from its build or from its sources."""

    root: Path
    from_sources: bool

    @property
    def command(self) -> list[str]:
        """Return the command of the deploy file."""
        deploy = tomllib.loads((self.root / "deploy/system.toml").read_text())
        return shlex.split(deploy["roles"]["gateway"]["run"])

    @property
    def python_path(self) -> str:
        """Return where the modules of the gateway are."""
        if not self.from_sources:
            return str(self.root / "target/deps")
        folders = [*sorted(self.root.glob("libs/*")), self.root / "platform"]
        return ":".join([*map(str, folders), sysconfig.get_path("purelib")])


class GatewayProcess:
    """One gateway, started again after it has ended."""

    def __init__(
        self, checkout: Checkout, logs: Path, journal: Journal, index: int, store: int
    ) -> None:
        """Choose free addresses; `store` is the port of the store for this node."""
        self.name = f"front-{index + 1}"
        # Nodes know each other by address and connect from 127.0.0.1; the metrics port is the same
        # for all, so each has a readiness address of its own.
        self.host = "127.0.0.1"
        self._ports = PortBlock()
        self.ready_host = self._ports.host
        self.port, self.peer_port = self._ports.first, self._ports.first + 2
        self.ready_port = self.port + 1
        self.life = 0
        self.started_s = 0.0
        self.in_rotation = False
        self.log = logs / f"{self.name}.log"
        self._checkout, self._logs, self._journal, self._store = checkout, logs, journal, store
        self._process: subprocess.Popen[bytes] | None = None
        self._kill_at_s = float("inf")
        self._misses = 2
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def is_stopping(self) -> bool:
        """Return whether the process has been told to stop and has not ended."""
        return self._kill_at_s < float("inf")

    def start(self) -> None:
        """Start the process, probe it, and restart it whenever it ends."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._async_run()), loop.create_task(self._async_probe())]

    async def _async_run(self) -> None:
        while True:
            self._launch()
            assert self._process is not None
            while self._process.poll() is None:
                if self._journal.now() > self._kill_at_s:
                    self._kill_at_s = float("inf")
                    self.send(signal.SIGKILL, "grace")
                await asyncio.sleep(POLL_S)
            self._journal.ends.append(
                End(
                    node=self.name,
                    life=self.life,
                    status=self._process.returncode,
                    at_s=self._journal.now(),
                )
            )
            await asyncio.sleep(RESTART_S)

    def _launch(self) -> None:
        settings = self._logs / f"{self.name}.toml"
        settings.write_text(self._build_settings())
        environment = {
            # Of the interpreter itself: a wrapper script in its place would get the first signals.
            "PATH": f"{sys.base_prefix}/bin:{os.environ['PATH']}",
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": self._checkout.python_path,
            "BURDOCKRUN_SETTINGS": str(settings),
        }
        self.life += 1
        self.started_s, self._kill_at_s = self._journal.now(), float("inf")
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                self._checkout.command,
                cwd=self._checkout.root,
                env=environment,
                stdout=log,
                stderr=log,
                # This program starts no threads before it starts gateways.
                preexec_fn=_end_with_parent,  # noqa: PLW1509
            )
        self._journal.starts.append((self.name, self.life, self.started_s))

    def send(self, number: signal.Signals, reason: str = "") -> None:
        """Send a signal; SIGTERM is followed by SIGKILL after the grace period."""
        if self._process is None or self._process.poll() is not None:
            return
        now_s = self._journal.now()
        self._journal.signals.append(
            Signal(
                node=self.name,
                life=self.life,
                name=reason or number.name,
                at_s=now_s,
                age_s=now_s - self.started_s,
                handles=_ignores_sigpipe(self._process.pid),
            )
        )
        self._process.send_signal(number)
        if number in {signal.SIGTERM, signal.SIGINT}:
            self._kill_at_s = min(self._kill_at_s, now_s + GRACE_S)

    async def _async_probe(self) -> None:
        while True:
            at_s = self._journal.now()
            ready = await is_ready(self.ready_host, self.ready_port)
            self._journal.probes.append(Probe(node=self.name, at_s=at_s, ready=ready))
            self._misses = 0 if ready else self._misses + 1
            self.in_rotation = self._misses < 2
            await asyncio.sleep(max(0.0, PROBE_S - (self._journal.now() - at_s)))

    def stop(self) -> None:
        """End the process for good."""
        for task in self._tasks:
            task.cancel()
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def _build_settings(self) -> str:
        store = f"127.0.0.1:{self._store}"
        lines = [
            f'Node = "{self.name}"',
            'Zone = "nbg"',
            f"PeerPorts = [{self.peer_port},{self.peer_port + 1}]",
            "[Listen]",
            f'Front = "{self.host}:{self.port}"',
            f'Ready = "{self.ready_host}:{self.ready_port}"',
            "[Bounds]",
            *(f"{name} = {value}" for name, value in BOUNDS.items()),
            "[platform]",
            f'Address = "{store}"',
            "[Cloud]",
            f'Address = "{store}"',
        ]
        return "\n".join(lines) + "\n"


class PortBlock:
    """Block of four ports that are free on 127.0.0.1, with a loopback address of its own.

    No other run gets it while this one keeps it. Nodes that are started again need the same ports.
    """

    def __init__(self) -> None:
        # The source of the seed is the same in another run of the seed.
        source = random.SystemRandom()
        while True:
            self.first = source.randrange(12_000, 31_000, 4)
            self.host = f"127.{self.first // 250}.{self.first % 250 + 1}.250"
            self._lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            with suppress(OSError):
                self._lock.bind((self.host, self.first))
                if all(_is_free(self.first + offset) for offset in range(4)):
                    return
            self._lock.close()


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


async def is_ready(host: str, port: int) -> bool:
    """Send one readiness probe."""
    try:
        async with asyncio.timeout(PROBE_S):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return line.split(b" ")[1:2] == [b"200"]


def _end_with_parent() -> None:
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _ignores_sigpipe(pid: int) -> bool:
    """Return whether the interpreter of a process has set up its signals."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    masks = [line.split()[1] for line in lines if line.startswith("SigIgn")]
    return bool(masks) and bool(int(masks[0], 16) >> (signal.SIGPIPE - 1) & 1)
