"""Tests of the load program against a fake proxy on loopback."""

import asyncio
import json
import socket
from pathlib import Path
from typing import Any

import pytest
from burdockrun_load.program import main

from tests.load.common import FakeProxy, make_scenario, run_fake


async def async_load(
    tmp_path: Path, fake: FakeProxy, *options: str, **changes: Any
) -> tuple[int, dict[str, Any]]:
    """Run the program in a thread; return its exit status and report."""
    scenario = tmp_path / "scenario.json"
    scenario.write_text("// short\n" + json.dumps(make_scenario(**changes)))
    async with run_fake(fake) as address:
        common = ["--scenario", str(scenario), "--report", str(tmp_path / "report")]
        addressed = [option.replace("ADDRESS", address) for option in options]
        status = await asyncio.to_thread(main, [*common, *addressed])
    report = tmp_path / "report" / "report.json"
    return status, json.loads(report.read_text()) if report.exists() else {}


async def test_open_loop_counts_all_arrivals(tmp_path: Path) -> None:
    """Guards against requests that are lost or counted under a wrong rank or outcome."""
    fake = FakeProxy()
    status, report = await async_load(tmp_path, fake, "--proxies", "ADDRESS,ADDRESS")
    assert status == 0
    assert sum(rank["requests"] for rank in report["ranks"].values()) == len(fake.requests)
    assert report["flood"]["routes"]["requests"] < report["ranks"]["routes"]["requests"]
    assert report["ranks"]["urgent"]["outcomes"]["not_run"] == 0
    assert report["ranks"]["urgent"]["latency_ms"]["p50"] > 0
    assert report["replica_read_share"] == 1.0
    assert report["write_gap_ms"] > 0
    assert any(request["session"] for request in fake.requests)
    for name in ("report.html", "latency.png", "not_done.png", "replica_reads.png"):
        assert (tmp_path / "report" / name).stat().st_size > 1_000


async def test_proxy_and_direct_access_are_compared_in_a_closed_loop(tmp_path: Path) -> None:
    """Guards against a comparison that leaves out one of the paths."""
    options = ("--proxies", "ADDRESS", "--direct", "ADDRESS", "--closed", "3")
    status, report = await async_load(tmp_path, FakeProxy(), *options)
    assert status == 0
    assert report["mode"] == "closed 3"
    assert set(report["comparison"]["requests_per_s"]) == {"proxy", "direct"}
    assert min(report["comparison"]["requests_per_s"].values()) > 0
    assert "p50" in report["comparison"]["added_latency_ms"]["urgent"]
    assert report["direct"]["replica_read_share"] is None


@pytest.mark.parametrize("fault", ["stale", "double"])
async def test_consistency_violation_gives_exit_status_1(tmp_path: Path, fault: str) -> None:
    """Guards against stale reads of own writes and repeated executions that go undetected."""
    fake = FakeProxy()
    setattr(fake, fault, True)
    status, report = await async_load(tmp_path, fake, "--proxies", "ADDRESS")
    assert status == 1
    assert report["violations"] > 0


async def test_lost_stream_counts_as_unknown(tmp_path: Path) -> None:
    """Guards against lost answers that are counted as done or as not run."""
    fake = FakeProxy()
    fake.answers_left = 50
    status, report = await async_load(tmp_path, fake, "--proxies", "ADDRESS")
    outcomes = [rank["outcomes"] for rank in report["ranks"].values()]
    assert status == 0
    assert sum(outcome["done"] for outcome in outcomes) == 50
    assert sum(outcome["unknown"] for outcome in outcomes) > 0


async def test_report_of_the_proxies_is_kept_when_the_member_is_unreachable(
    tmp_path: Path,
) -> None:
    """Guards against a lost report of the proxies, and exit status 0 without the direct run."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        direct = f"127.0.0.1:{unused.getsockname()[1]}"
        options = ("--proxies", "ADDRESS", "--direct", direct)
        status, report = await async_load(tmp_path, FakeProxy(), *options)
    assert status == 3
    assert report["ranks"]["urgent"]["requests"] > 0
    assert "comparison" not in report


def test_errors_in_the_scenario_give_exit_status_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a traceback, and against reporting only one error at a time."""
    scenario = tmp_path / "scenario.json"
    ranks = {"urgent": {"read_share": 2}}
    scenario.write_text(json.dumps(make_scenario(ranks=ranks, sessions=0)))
    arguments = ["--scenario", str(scenario), "--report", str(tmp_path), "--proxies", "127.0.0.1:1"]
    assert main(arguments) == 2
    text = capsys.readouterr().err
    assert "ranks.urgent.read_share" in text
    assert "sessions" in text
    scenario.write_text(json.dumps(make_scenario(ranks={"urgent": {"read_share": 1}})))
    assert main(arguments) == 2
    assert "phases[0].rates_per_s.routes" in capsys.readouterr().err


def test_unreachable_proxy_gives_exit_status_3(tmp_path: Path) -> None:
    """Guards against an empty report of a run that never reached a proxy."""
    scenario = tmp_path / "scenario.json"
    scenario.write_text(json.dumps(make_scenario()))
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        common = ["--scenario", str(scenario), "--report", str(tmp_path / "report")]
        assert main([*common, "--proxies", address]) == 3
    assert not (tmp_path / "report").exists()
