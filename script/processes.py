"""Starts and stops the programs of burdockrun on loopback, for the demo, measurements and tests."""

import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path
from random import SystemRandom

HOST = "127.0.0.1"
LISTEN_PORTS = range(12_000, 32_000)
SESSION_KEY = "demo-key-not-for-production"
READY_TIMEOUT_S = 20.0
MEMBER_CONNECTIONS = 16

_returned_ports: set[int] = set()


def find_free_ports(count: int) -> list[int]:
    """Return ports that were free when probed.

    They lie below the kernel's range of ephemeral ports, so that no outgoing connection takes one
    before its program listens.
    """
    ports: list[int] = []
    for port in SystemRandom().sample(LISTEN_PORTS, len(LISTEN_PORTS)):
        if port in _returned_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
        _returned_ports.add(port)
        if len(ports) == count:
            return ports
    raise OSError(f"fewer than {count} free ports")


@dataclass(kw_only=True)
class Process:
    """Started program with its log file."""

    name: str
    popen: "subprocess.Popen[bytes]"
    log: Path

    def stop(self, number: signal.Signals = signal.SIGTERM, timeout_s: float = 15.0) -> int:
        """Send a signal and return the exit status."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)
        return self.popen.wait(timeout_s)


@dataclass(kw_only=True)
class ProxyAddress:
    """Name, failure domain and port of a proxy."""

    node: str
    domain: str
    port: int


@dataclass(kw_only=True)
class Cluster:
    """Stand-ins of the platform and the members, and proxies, on loopback."""

    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="burdockrun-")))
    processes: dict[str, Process] = field(default_factory=dict)
    proxies: list[ProxyAddress] = field(default_factory=list)
    members: dict[str, dict[str, object]] = field(default_factory=dict)
    platform_port: int = 0

    def start(self, name: str, *command: str) -> Process:
        """Start a program with its output in a log file."""
        log = self.folder / f"{name}.log"
        with log.open("wb") as output:
            program = Path(sys.executable).parent / command[0]
            popen = subprocess.Popen(
                (str(program), *command[1:]), stdout=output, stderr=subprocess.STDOUT
            )
        self.processes[name] = Process(name=name, popen=popen, log=log)
        return self.processes[name]

    def start_platform(self, node_count: int, domains: list[str]) -> None:
        """Start the platform stand-in with the list of entry VMs."""
        self.platform_port, *ports = find_free_ports(node_count + 1)
        self.proxies = [
            ProxyAddress(
                node=f"node-{index + 1}", domain=domains[index % len(domains)], port=ports[index]
            )
            for index in range(node_count)
        ]
        vms = self.folder / "vms.json"
        vms.write_text(
            json.dumps(
                [
                    {
                        "name": proxy.node,
                        "domain": proxy.domain,
                        "host": HOST,
                        "port": proxy.port,
                        "kind": "entry",
                    }
                    for proxy in self.proxies
                ]
            )
        )
        self.start(
            "platform",
            "burdockrun-platform",
            f"--host={HOST}",
            f"--port={self.platform_port}",
            f"--vms={vms}",
        )

    def start_member(
        self,
        name: str,
        domain: str,
        *,
        service_ms: float,
        slots: int = 2,
        connections: int = MEMBER_CONNECTIONS,
    ) -> None:
        """Start a stand-in of a database member."""
        port, control_port = find_free_ports(2)
        self.members[name] = {
            "domain": domain,
            "host": HOST,
            "port": port,
            "control_port": control_port,
        }
        self.start(
            name,
            "burdockrun-endpoint",
            f"--name={name}",
            f"--domain={domain}",
            f"--host={HOST}",
            f"--port={port}",
            f"--control-port={control_port}",
            f"--slots={slots}",
            f"--service-ms={service_ms}",
            f"--connections={connections}",
        )

    def start_proxies(self) -> None:
        """Start all proxies."""
        for proxy in self.proxies:
            settings = self.folder / f"{proxy.node}.json"
            settings.write_text(json.dumps(self.build_settings(proxy), indent=2))
            self.start(proxy.node, "burdockrun-proxy", f"--settings={settings}")

    def build_settings(self, proxy: ProxyAddress) -> dict[str, object]:
        """Return the settings of a proxy."""
        return {
            "node": proxy.node,
            "domain": proxy.domain,
            "host": HOST,
            "port": proxy.port,
            "platform": {"host": HOST, "port": self.platform_port},
            "session_keys": [SESSION_KEY],
            "log_format": "json",
        }

    def stop_all(self) -> dict[str, int]:
        """Stop every process that still runs, proxies first, and return the exit statuses."""
        running = [item for item in self.processes.values() if item.popen.poll() is None]
        return {item.name: item.stop() for item in reversed(running)}


def fetch_json(port: int, path: str, body: object | None = None) -> dict[str, object]:
    """Return the JSON answer of a program on loopback, also that of an HTTP error."""
    data = None if body is None else json.dumps(body).encode()
    try:
        with urllib.request.urlopen(f"http://{HOST}:{port}{path}", data, timeout=10) as reply:
            answer: dict[str, object] = json.load(reply)
    except urllib.error.HTTPError as error:
        answer = json.load(error)
    return answer


def wait_until_ready(ports: list[int], timeout_s: float = READY_TIMEOUT_S) -> None:
    """Wait until every proxy reports that it is ready."""
    deadline_s = time.monotonic() + timeout_s
    pending = list(ports)
    last_answer: object = None
    while pending and time.monotonic() < deadline_s:
        try:
            last_answer = fetch_json(pending[0], "/healthz")
            if last_answer == {"state": "ready", "reasons": []}:
                pending.pop(0)
                continue
        except (OSError, ValueError) as error:
            last_answer = error
        time.sleep(0.05)
    if pending:
        raise TimeoutError(f"proxy on port {pending[0]} is not ready: {last_answer}")
