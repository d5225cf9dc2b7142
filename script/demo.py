"""Demo: submits a ticket, writes, reads through another proxy, fails over and drains."""

import json
import signal
import subprocess
import sys
import time
from pathlib import Path

from script.processes import Cluster, fetch_json, wait_until_ready

DOMAINS = ["muc-nord", "nbg"]
DATABASE = "wende-1"
ACCOUNT = "bayern"


def build_ticket(cluster: Cluster) -> dict[str, object]:
    """Return the first change ticket: one database with three members and three ranks."""
    ranks = [
        {"name": "urgent-booking", "order": 0, "target_ms": 100, "worth": 10, "floor": 0.3},
        {"name": "visit-log", "order": 1, "target_ms": 500, "worth": 3, "floor": 0.2},
        {"name": "route-pull", "order": 2, "target_ms": 2000, "worth": 1, "floor": 0.1},
    ]
    database = {"connections": 16, "slots": 2, "members": cluster.members}
    service = {
        "account": ACCOUNT,
        "ranks": ranks,
        "stale_reads_ms": {"route-pull": 60000},
        "databases": {DATABASE: database},
    }
    return {"author": "demo", "reason": "first ticket", "services": {"wendedb": service}}


def submit_ticket(cluster: Cluster) -> None:
    """Submit the ticket with `burdockrunctl` and print the domains where it is in force."""
    path = cluster.folder / "ticket.json"
    path.write_text(json.dumps(build_ticket(cluster), indent=2))
    program = str(Path(sys.executable).parent / "burdockrunctl")
    control = [program, "--platform", f"127.0.0.1:{cluster.platform_port}"]
    print(run([*control, "ticket", "submit", str(path)]))
    wait_until_ready([proxy.port for proxy in cluster.proxies])
    deadline_s = time.monotonic() + 10
    while True:
        text = run([*control, "ticket", "in-force"], check=False)
        if all(domain in text for domain in DOMAINS) or time.monotonic() > deadline_s:
            print(text)
            return
        time.sleep(0.2)


def run(command: list[str], *, check: bool = True) -> str:
    """Run a command and return what it printed."""
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if check and done.returncode != 0:
        raise RuntimeError(f"{command} ended with {done.returncode}: {done.stdout}{done.stderr}")
    return done.stdout.strip()


def send(
    port: int, request_id: str, statement: str, access: str, **fields: object
) -> dict[str, object]:
    """Send one statement to a proxy and return the answer."""
    body = {
        "request_id": request_id,
        "account": ACCOUNT,
        "database": DATABASE,
        "statement": statement,
        "access": access,
        "rank": "urgent-booking",
        **fields,
    }
    return fetch_json(port, "/v1/statements", body)


def show_roaming(cluster: Cluster) -> str:
    """Write through one proxy, read the write through another, and return the session token."""
    first, second = cluster.proxies[0], cluster.proxies[1]
    written = send(first.port, "demo-1", "PUT turn-17 booked", "write")
    expect(written["outcome"] == "done", written)
    session = str(written["session"])
    read = send(second.port, "demo-2", "GET turn-17", "read", session=session)
    expect(read["outcome"] == "done" and read["result"] == "booked", read)
    print(f"wrote at {written['member']} through {first.node}, read {read['result']!r}", end=" ")
    print(f"from {read['member']} through {second.node}")
    return str(read["session"])


def show_failover(cluster: Cluster, session: str) -> None:
    """Kill the primary between two writes and print the time without acknowledged writes."""
    port = cluster.proxies[1].port
    status = fetch_json(port, "/v1/status")
    primary = str(status["groups"][DATABASE]["primary"])  # type: ignore[index]
    expect(send(port, "gap-before", "PUT gap 0", "write")["outcome"] == "done", "write failed")
    last_write_s = time.monotonic()
    cluster.processes[primary].stop(signal.SIGKILL)
    answer = send(port, "gap-after", "PUT gap 1", "write", deadline_ms=15000, session=session)
    gap_ms = (time.monotonic() - last_write_s) * 1000
    expect(answer["outcome"] == "done", answer)
    print(
        f"stopped primary {primary}; {answer['member']} took over in term {answer['term']};",
        end=" ",
    )
    print(f"write gap {gap_ms:.0f} ms")
    read = send(port, "after-2", "GET turn-17", "read", session=str(answer["session"]))
    expect(read["result"] == "booked", read)
    print(f"the earlier write is still there: {read['result']!r} from {read['member']}")


def expect(condition: object, found: object) -> None:
    """Stop the demo unless a condition holds."""
    if not condition:
        raise RuntimeError(f"unexpected: {found}")


def main() -> int:
    """Run the demo and return the exit status."""
    started = time.monotonic()
    cluster = Cluster()
    try:
        cluster.start_platform(3, DOMAINS)
        for index, domain in enumerate([DOMAINS[0], DOMAINS[1], DOMAINS[1]]):
            cluster.start_member(f"wende-1-{'abc'[index]}", domain, service_ms=2)
        cluster.start_proxies()
        submit_ticket(cluster)
        session = show_roaming(cluster)
        show_failover(cluster, session)
    finally:
        statuses = cluster.stop_all()
    print(f"exit statuses: {statuses}")
    expect(not any(statuses.values()), statuses)
    print(f"done in {time.monotonic() - started:.1f} s, logs in {cluster.folder}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
