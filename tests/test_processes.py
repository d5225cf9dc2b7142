"""Tests of the programs as real processes that communicate over loopback."""

import json
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from script.demo import ACCOUNT, DATABASE, DOMAINS, build_ticket
from script.processes import HOST, Cluster, fetch_json, wait_until_ready

Answer = dict[str, object]


def run_program(name: str, *arguments: str) -> "subprocess.CompletedProcess[str]":
    """Run one of the programs until it exits."""
    program = Path(sys.executable).parent / name
    return subprocess.run(
        [str(program), *arguments], capture_output=True, text=True, timeout=30, check=False
    )


@pytest.fixture(scope="module")
def cluster() -> Iterator[Cluster]:
    """Start three proxies in two failure domains and one database with three members."""
    started = Cluster()
    try:
        started.start_platform(3, DOMAINS)
        for index, domain in enumerate([DOMAINS[0], DOMAINS[1], DOMAINS[1]]):
            started.start_member(f"wende-1-{'abc'[index]}", domain, service_ms=2)
        started.start_proxies()
        ticket = started.folder / "ticket.json"
        ticket.write_text(json.dumps(build_ticket(started)))
        platform = f"--platform=127.0.0.1:{started.platform_port}"
        submitted = run_program("burdockrunctl", platform, "ticket", "submit", str(ticket))
        assert submitted.returncode == 0, submitted.stdout + submitted.stderr
        wait_until_ready([proxy.port for proxy in started.proxies])
        yield started
    finally:
        started.stop_all()


def send(cluster: Cluster, proxy: int, request_id: str, statement: str, **fields: object) -> Answer:
    """Send one statement through a proxy."""
    body = {
        "request_id": request_id,
        "account": ACCOUNT,
        "database": DATABASE,
        "statement": statement,
        "access": "read" if statement.startswith("GET") else "write",
        "rank": "urgent-booking",
        **fields,
    }
    return fetch_json(cluster.proxies[proxy].port, "/v1/statements", body)


def test_roaming_session_reads_its_own_write(cluster: Cluster) -> None:
    """Guards against a read through another proxy that misses the session's write."""
    for round_number in range(20):
        wrote = send(cluster, round_number % 3, f"roam-{round_number}", f"PUT roam {round_number}")
        assert wrote["outcome"] == "done", wrote
        read = send(
            cluster,
            (round_number + 1) % 3,
            f"roam-read-{round_number}",
            "GET roam",
            session=wrote["session"],
        )
        assert (read["outcome"], read["result"]) == ("done", str(round_number)), read


def test_read_without_token_sees_the_last_write(cluster: Cluster) -> None:
    """Guards against a stale row for a caller without a session token."""
    send(cluster, 0, "bare-1", "PUT bare 7")
    read = send(cluster, 2, "bare-2", "GET bare")
    assert (read["outcome"], read["result"]) == ("done", "7"), read


def test_repeated_request_runs_once(cluster: Cluster) -> None:
    """Guards against a duplicate write when a request is repeated through another proxy."""
    send(cluster, 0, "once-0", "PUT visits 0")
    first = send(cluster, 0, "once-1", "ADD visits 1")
    again = send(cluster, 1, "once-1", "ADD visits 1")
    assert first["outcome"] == again["outcome"] == "done"
    assert first["result"] == again["result"]
    read = send(cluster, 2, "once-2", "GET visits", session=again["session"])
    assert str(read["result"]) == "1", read


def test_transaction_commits_as_a_whole(cluster: Cluster) -> None:
    """Guards against statements of a transaction that are visible before its commit."""
    begun = send(cluster, 0, "tx-begin", "BEGIN", step="begin", access="write")
    transaction = begun["transaction"]
    assert begun["outcome"] == "done", begun
    fields = {"transaction": transaction, "step": "statement"}
    assert send(cluster, 0, "tx-1", "PUT tx-a 1", **fields)["outcome"] == "done"
    outside = send(cluster, 1, "tx-out", "GET tx-a")
    assert outside["result"] is None, outside
    committed = send(
        cluster, 1, "tx-c", "COMMIT", transaction=transaction, step="commit", access="write"
    )
    assert committed["outcome"] == "done", committed
    read = send(cluster, 2, "tx-in", "GET tx-a", session=committed["session"])
    assert read["result"] == "1", read


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"database": "nowhere"}, "unknown_database"),
        ({"account": "andes"}, "unknown_account"),
        ({"rank": "vip"}, "unknown_rank"),
        ({"session": "damaged"}, "bad_session"),
        ({"deadline_ms": 0}, "deadline"),
        ({"access": "maybe"}, "bad_request"),
        ({"step": "commit"}, "bad_request"),
        ({"parameters": ["x" * 300_000]}, "too_large"),
    ],
)
def test_bad_request_is_refused_and_not_run(cluster: Cluster, fields: Answer, code: str) -> None:
    """Guards against bad input that runs, crashes the proxy or is answered without its code."""
    answer = send(cluster, 0, f"bad-{code}", "PUT bad 1", **fields)
    assert (answer["outcome"], answer["code"]) == ("not_run", code), answer
    assert send(cluster, 1, f"after-{code}", "GET bad")["result"] is None


def test_a_malformed_http_request_is_logged_without_its_content(cluster: Cluster) -> None:
    """Guards against data of callers in a log, lines that are no JSON, and floods of lines."""
    address = (HOST, cluster.proxies[0].port)
    for line in (b"Author ization: se\tcret-4711", b"X: secret-4711\0", b"secret-4711") * 5:
        with socket.create_connection(address, timeout=5) as connection:
            connection.sendall(b"POST /v1/statements HTTP/1.1\r\nHost: x\r\n" + line + b"\r\n\r\n")
            assert b" 400 " in connection.recv(200)
    log = cluster.processes["node-1"].log.read_text()
    assert "4711" not in log
    events = [json.loads(line) for line in log.splitlines()]
    assert [event["event"] for event in events].count(911) == 1


def test_invalid_settings_are_reported_with_all_findings() -> None:
    """Guards against a traceback, or a proxy that starts, when the settings are invalid."""
    folder = Cluster().folder
    settings = folder / "bad.json"
    settings.write_text('{"node": "", "port": "x" /* comment */}')
    ended = run_program("burdockrun-proxy", "--settings", str(settings))
    assert ended.returncode == 2
    assert "Traceback" not in ended.stderr
    assert all(key in ended.stderr for key in ("node", "port", "session_keys", "platform"))


def test_drain_finishes_requests_in_flight(cluster: Cluster) -> None:
    """Guards against a graceful stop that drops a request or exits with a failure status."""
    process = cluster.processes["node-3"]
    answers: list[Answer] = []
    stop = threading.Event()

    def write() -> None:
        number = 0
        while not stop.is_set():
            number += 1
            try:
                answers.append(send(cluster, 2, f"drain-{number}", f"PUT drain {number}"))
            except OSError:
                return

    writer = threading.Thread(target=write)
    writer.start()
    time.sleep(0.3)
    status = process.stop(signal.SIGTERM)
    stop.set()
    writer.join(10)
    assert status == 0
    assert {answer["outcome"] for answer in answers} <= {"done", "not_run"}
    refused = [answer for answer in answers if answer["outcome"] == "not_run"]
    assert all(answer["code"] == "draining" for answer in refused), refused


def test_failover_keeps_acknowledged_writes(cluster: Cluster) -> None:
    """Guards against an acknowledged write that is missing after a promotion."""
    for number in range(10):
        assert send(cluster, 0, f"keep-{number}", f"PUT keep-{number} x")["outcome"] == "done"
    status = fetch_json(cluster.proxies[0].port, "/v1/status")
    primary = status["groups"][DATABASE]["primary"]  # type: ignore[index]
    cluster.processes[str(primary)].stop(signal.SIGKILL)
    written = send(cluster, 1, "keep-after", "PUT keep-after x", deadline_ms=20_000)
    assert written["outcome"] == "done", written
    for number in range(10):
        assert send(cluster, 1, f"kept-{number}", f"GET keep-{number}")["result"] == "x"
