"""Tests of the command line, the audit trail and the command `status`."""

import json
import socket
from collections.abc import Iterator
from pathlib import Path

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from burdockrun_control.audit import AuditReader
from burdockrun_control.program import main
from burdockrun_control.store_reader import StoreReader
from burdockrun_platform import PlatformClient

from tests.control.common import FakePlatform, async_ctl, run_platform, write_ticket
from tests.settings.common import make_settings, make_ticket


@pytest.fixture
def closed_address() -> Iterator[str]:
    """Return an address on which nobody listens."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{unused.getsockname()[1]}"


def test_files_are_checked(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against invalid files that pass, and errors that are shown without file and key."""
    ticket = write_ticket(tmp_path, make_ticket())
    assert main(["ticket", "check", ticket]) == 0
    settings = tmp_path / "settings.json"
    settings.write_text(make_settings())
    assert main(["settings", "check", str(settings)]) == 0
    settings.write_text(make_settings(port=-1))
    assert main(["settings", "check", str(settings)]) == 2
    assert f"{settings}: port: expected" in capsys.readouterr().out
    assert main(["ticket", "check", str(tmp_path / "absent")]) == 2


def test_unreachable_platform_gives_exit_status_3(
    tmp_path: Path, closed_address: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a traceback, and an unreachable platform reported as a refusal."""
    file = write_ticket(tmp_path, make_ticket())
    common = ["--platform", closed_address, "--timeout-ms", "300"]
    for command in (
        ["ticket", "submit", file],
        ["ticket", "check", file],
        ["ticket", "in-force"],
        ["ticket", "list"],
        ["audit"],
        ["status", "--proxy", closed_address],
    ):
        assert main([*common, *command]) == 3, command
        assert "reachable" in (text := capsys.readouterr().out) or "answer" in text


def test_bad_command_lines_give_exit_status_2(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a default address, which could be that of the wrong platform."""
    assert main(["ticket", "list"]) == 2
    for arguments in (["ticket"], ["--platform", "nowhere", "ticket", "list"], ["status"]):
        with pytest.raises(SystemExit) as caught:
            main(arguments)
        assert caught.value.code == 2
    with pytest.raises(SystemExit) as caught:
        main(["ticket", "submit", "--help"])
    assert caught.value.code == 0
    assert "exit statuses" in capsys.readouterr().out


async def test_audit_trail_is_ordered_by_time(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against lost records and unreadable batches that end the command."""
    platform = FakePlatform()
    for domain, at_ms in (("nbg", 20), ("rgb", 10)):
        platform.put(f"in_force/{domain}", {"number": 1})
        record = {"kind": "drain", "node": "p1", "at_ms": at_ms, "fields": {"term": 3}}
        platform.put(f"audit/{domain}/0000000001", [record])
    platform.put("audit/nbg/0000000002", "{")
    async with run_platform(platform) as address:
        assert await async_ctl("audit", "--platform", address) == 0
        text = capsys.readouterr().out
        assert await async_ctl("audit", "--platform", address, "--format", "json") == 0
    assert "1970-01-01T00:00:00Z rgb drain node=p1 term=3" in text
    records = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [(record["domain"], record["kind"]) for record in records] == [
        ("nbg", "unreadable_batch"),
        ("rgb", "drain"),
        ("nbg", "drain"),
    ]
    assert records[1]["term"] == 3


@pytest.mark.parametrize("value", ["{", "[" * 100_000, '[{"at_ms": ' + "9" * 5_000 + "}]"])
async def test_an_audit_batch_that_no_decoder_can_read_does_not_hide_the_others(value: str) -> None:
    """Guards against a value of another writer that ends the command."""
    platform = FakePlatform()
    platform.put("audit/nbg/0000000001", value)
    platform.put("audit/nbg/0000000002", [{"kind": "ticket", "at_ms": 1, "fields": {}}])
    platform.put("in_force/nbg", {"number": 1})
    async with run_platform(platform) as address, aiohttp.ClientSession() as session:
        reader = AuditReader(StoreReader(PlatformClient(f"http://{address}", session)))
        records = (await reader.async_read()).unwrap()
    assert sorted(record["kind"] for record in records) == ["ticket", "unreadable_batch"]


async def test_audit_reader_returns_each_record_once() -> None:
    """Guards against a followed audit trail that repeats records or is read again in full."""
    platform = FakePlatform()
    platform.put("in_force/nbg", {"number": 1})
    platform.put("audit/nbg/0000000001", [{"kind": "drain", "node": "p1", "at_ms": 1}])
    async with run_platform(platform) as address, aiohttp.ClientSession() as session:
        reader = AuditReader(StoreReader(PlatformClient(f"http://{address}", session)))
        assert [record["kind"] for record in (await reader.async_read()).unwrap()] == ["drain"]
        assert (await reader.async_read()).unwrap() == []
        platform.put("audit/nbg/0000000002", [{"kind": "lease", "node": "p1", "at_ms": 2}])
        assert [record["kind"] for record in (await reader.async_read()).unwrap()] == ["lease"]


@pytest.mark.parametrize(("http_status", "exit_status"), [(200, 0), (503, 1)])
async def test_status_shows_a_proxy(
    http_status: int, exit_status: int, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a draining proxy that looks ready."""

    async def async_health(_: web.Request) -> web.Response:
        return web.json_response({"state": "some"}, status=http_status)

    async def async_status(_: web.Request) -> web.Response:
        return web.json_response({"ticket": 7, "groups": {"turns": {"primary": "a"}}})

    app = web.Application()
    app.router.add_get("/healthz", async_health)
    app.router.add_get("/v1/status", async_status)
    async with TestServer(app, host="127.0.0.1") as server:
        assert await async_ctl("status", "--proxy", f"127.0.0.1:{server.port}") == exit_status
    text = capsys.readouterr().out
    assert "health.state: some" in text
    assert "status.groups.turns.primary: a" in text
