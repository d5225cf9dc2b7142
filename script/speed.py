"""Compares one proxy with direct access to an endpoint, in real time on this machine."""

import argparse
import json
import subprocess
import sys
import time
from pathlib import Path

from script.demo import ACCOUNT, DATABASE, build_ticket, run
from script.processes import HOST, Cluster, fetch_json, wait_until_ready

DOMAIN = "muc-nord"
MEMBERS = ("wende-1-a", "wende-1-b", "wende-1-c")
SLOTS = 32
CONNECTIONS = 192
PHASE_MS = 8_000
OPEN_CALLERS = 2_700
REQUIRED_RATE_PER_S = 8 * 385

Json = dict[str, object]


def main() -> int:
    """Run the comparison and return the exit status."""
    parser = argparse.ArgumentParser(
        prog="script/speed", description=__doc__, epilog="exit status: 0 when complete"
    )
    parser.add_argument("--read-share", type=float, default=0.8)
    arguments = parser.parse_args()
    cluster = Cluster()
    try:
        port = start(cluster)
        results = {
            "no_load": drive(cluster, port, "no_load", arguments.read_share, rate=50),
            "closed_64": drive(cluster, port, "closed_64", arguments.read_share, closed=64),
            "open_callers": drive(
                cluster,
                port,
                "open_callers",
                arguments.read_share,
                streams=OPEN_CALLERS,
                rate=REQUIRED_RATE_PER_S,
            ),
        }
    finally:
        cluster.stop_all()
    print(json.dumps(results))
    return 0


def start(cluster: Cluster) -> int:
    """Start one proxy and one database with ample slots; return the port of the proxy."""
    cluster.start_platform(1, [DOMAIN])
    for name in MEMBERS:
        cluster.start_member(name, DOMAIN, service_ms=1, slots=SLOTS, connections=CONNECTIONS)
    cluster.start_proxies()
    ticket = build_ticket(cluster)
    database = ticket["services"]["wendedb"]["databases"][DATABASE]  # type: ignore[index]
    database.update({"connections": CONNECTIONS, "slots": SLOTS})
    path = cluster.folder / "ticket.json"
    path.write_text(json.dumps(ticket))
    control = str(Path(sys.executable).parent / "burdockrunctl")
    run([control, "--platform", f"{HOST}:{cluster.platform_port}", "ticket", "submit", str(path)])
    port = cluster.proxies[0].port
    wait_until_ready([port])
    time.sleep(2)
    return port


def drive(
    cluster: Cluster,
    port: int,
    name: str,
    read_share: float,
    *,
    rate: int = 0,
    closed: int = 0,
    streams: int = 1,
) -> Json:
    """Run the load program against the proxy and return its report.

    With one stream the primary is also measured directly.
    """
    scenario = {
        "account": ACCOUNT,
        "databases": [DATABASE],
        "seed": 1,
        "sessions": max(300, streams),
        "ranks": {"visit-log": {"read_share": read_share, "deadline_ms": 5000}},
        "phases": [
            {
                "name": name,
                "duration_ms": PHASE_MS,
                "rates_per_s": {"visit-log": rate or 1000},
            }
        ],
    }
    path = cluster.folder / f"{name}.json"
    path.write_text(json.dumps(scenario))
    status = fetch_json(port, "/v1/status")
    primary = str(status["groups"][DATABASE]["primary"])  # type: ignore[index]
    report = cluster.folder / name
    command = [
        str(Path(sys.executable).parent / "burdockrun-load"),
        f"--scenario={path}",
        f"--report={report}",
        f"--proxies={HOST}:{port}",
        f"--connections={streams}",
    ]
    if streams == 1:
        command += [
            f"--direct={HOST}:{cluster.members[primary]['port']}",
            "--direct-connections=32",
        ]
    if closed:
        command.append(f"--closed={closed}")
    before_s = read_cpu_s(cluster)
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode not in (0, 1):
        raise RuntimeError(f"{command} ended with {done.returncode}: {done.stderr[-2000:]}")
    result: Json = json.loads((report / "report.json").read_text())
    result["proxy_cpu_s"] = round(read_cpu_s(cluster) - before_s, 2)
    return result


def read_cpu_s(cluster: Cluster) -> float:
    """Return the processor time that the proxy has used, in seconds."""
    pid = cluster.processes[cluster.proxies[0].node].popen.pid
    fields = Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / 100


if __name__ == "__main__":
    sys.exit(main())
