"""Tests of the ticket commands against a store on loopback."""

import asyncio
import json
from pathlib import Path

import pytest
from burdockrun_control.const import KEY_TICKETS
from burdockrun_control.store_reader import parse_object
from burdockrun_messages import GetKey, KeyEntry, PlatformOperation, PutKey

from tests.control.common import FakePlatform, async_ctl, run_platform, write_ticket
from tests.settings.common import make_service, make_ticket


def read_key(platform: FakePlatform, key: str) -> str:
    reply = platform.store.apply(GetKey(key=key), 0)
    assert isinstance(reply, KeyEntry)
    return reply.value


async def test_tickets_are_numbered_in_order(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against gaps in the numbers, and a ticket that replaces an accepted one."""
    platform = FakePlatform()
    async with run_platform(platform) as address:
        for number in (1, 2, 3):
            service = make_service(first_port=7000 + 100 * number)
            file = write_ticket(tmp_path, make_ticket(wendedb=service))
            assert await async_ctl("ticket", "submit", file, "--platform", address) == 0
            assert f"ticket {number} accepted" in capsys.readouterr().out
        assert await async_ctl("--platform", address, "ticket", "list", "--last", "2") == 0
    assert [line[:3] for line in capsys.readouterr().out.splitlines()] == ["3: ", "2: "]
    stored = parse_object(read_key(platform, f"{KEY_TICKETS}0000000002"))
    assert stored["author"] == "ada"
    assert stored["submission_id"]


async def test_bad_ticket_changes_nothing(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a ticket with errors that reaches the store."""
    platform = FakePlatform()
    file = write_ticket(tmp_path, make_ticket() | {"colour": 1, "author": ""})
    async with run_platform(platform) as address:
        status = await async_ctl("ticket", "submit", file, "--platform", address, "--format=json")
    assert status == 2
    assert len(json.loads(capsys.readouterr().out)["findings"]) == 2
    assert platform.operations == []


async def test_ticket_that_does_not_fit_is_refused(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a ticket that is valid alone but conflicts with the configuration."""
    platform = FakePlatform()
    async with run_platform(platform) as address:
        first = write_ticket(tmp_path, make_ticket())
        assert await async_ctl("ticket", "submit", first, "--platform", address) == 0
        second = write_ticket(tmp_path, make_ticket(other=make_service()))
        for action in ("check", "submit"):
            assert await async_ctl("ticket", action, second, "--platform", address) == 1
            assert "no other service uses" in capsys.readouterr().out
    assert read_key(platform, f"{KEY_TICKETS}0000000002") == ""


async def test_number_taken_by_another_is_a_conflict(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against two submissions that both report success for one number."""
    platform = FakePlatform()

    def take_number(operation: PlatformOperation) -> None:
        if isinstance(operation, PutKey) and operation.key == f"{KEY_TICKETS}0000000001":
            platform.put(operation.key, make_ticket() | {"author": "eva", "submission_id": "x"})

    platform.before_operation = take_number  # type: ignore[method-assign]
    async with run_platform(platform) as address:
        file = write_ticket(tmp_path, make_ticket())
        assert await async_ctl("ticket", "submit", file, "--platform", address) == 1
    assert "number 1 was taken by a ticket of eva" in capsys.readouterr().out


async def test_competing_submissions_leave_no_gap(tmp_path: Path) -> None:
    """Guards against two tickets under one number, and refused tickets that are stored."""
    platform = FakePlatform()
    files = []
    for number in range(4):
        folder = tmp_path / str(number)
        folder.mkdir()
        service = make_service(f"turns-{number}", 7000 + 100 * number)
        files.append(write_ticket(folder, make_ticket(**{f"service-{number}": service})))
    async with run_platform(platform) as address:
        submits = [async_ctl("ticket", "submit", file, "--platform", address) for file in files]
        statuses = await asyncio.gather(*submits)
    accepted = statuses.count(0)
    assert accepted >= 1
    assert statuses.count(1) == 4 - accepted
    stored = [read_key(platform, f"{KEY_TICKETS}{number:010d}") for number in range(1, 6)]
    assert [bool(text) for text in stored] == [number <= accepted for number in range(1, 6)]


async def test_lost_answer_is_read_back(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a second ticket of the same submission after a lost answer."""
    platform = FakePlatform()
    platform.answers_to_lose = 1
    async with run_platform(platform) as address:
        file = write_ticket(tmp_path, make_ticket())
        assert await async_ctl("ticket", "submit", file, "--platform", address) == 0
    assert "ticket 1 accepted" in capsys.readouterr().out
    assert read_key(platform, f"{KEY_TICKETS}0000000002") == ""


async def test_unknown_outcome_is_resolved_by_its_submission_id(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a repeated command that commits its ticket twice."""
    platform = FakePlatform()
    platform.answers_to_lose = 1

    def fail(operation: PlatformOperation) -> None:
        if platform.answers_to_lose == 0:
            raise RuntimeError

    platform.before_operation = fail  # type: ignore[method-assign]
    async with run_platform(platform) as address:
        file = write_ticket(tmp_path, make_ticket())
        common = ["ticket", "submit", file, "--platform", address, "--format=json"]
        assert await async_ctl(*common, "--timeout-ms", "700") == 3
        answer = json.loads(capsys.readouterr().out)
        assert answer["result"] == "unknown"
        platform.before_operation = lambda operation: None  # type: ignore[method-assign]
        assert await async_ctl(*common, "--submission-id", answer["submission_id"]) == 0
    assert json.loads(capsys.readouterr().out)["number"] == 1
    assert read_key(platform, f"{KEY_TICKETS}0000000002") == ""


async def test_in_force_needs_every_domain(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against reporting a ticket as in force that a domain has not yet applied."""
    platform = FakePlatform()
    async with run_platform(platform) as address:
        common = ["ticket", "in-force", "--platform", address]
        file = write_ticket(tmp_path, make_ticket())
        submit = ["ticket", "submit", file, "--platform", address, "--wait-in-force-ms", "300"]
        assert await async_ctl(*submit) == 1
        platform.put("rosters/aug", {"domain": "aug", "epoch": 3, "nodes": []})
        platform.put("rosters/rgb", {"domain": "rgb", "epoch": 3, "nodes": [{"node": "p"}]})
        platform.put("in_force/aug", {"number": 0, "at_ms": 1_000, "nodes": 0})
        platform.put("in_force/nbg", {"number": 1, "at_ms": 1_000, "nodes": 2})
        assert await async_ctl(*common) == 1
        assert "rgb: has not reported" in capsys.readouterr().out
        platform.put("in_force/rgb", {"number": 0, "at_ms": 1_000, "nodes": 2})
        assert await async_ctl(*common) == 1
        assert "nbg: ticket 1 since 1970-01-01T00:00:01Z" in capsys.readouterr().out
        platform.put("in_force/rgb", {"number": 1, "at_ms": 1_000, "nodes": 2})
        assert await async_ctl(*common) == 0
        assert await async_ctl(*common, "--number", "2") == 1
