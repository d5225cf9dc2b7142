"""Tests that the gateways' logs show the causes of failed requests."""

import asyncio
from pathlib import Path

import pytest
from burdockrun_control.program import main

from tests.site.common import async_deploy, error_of


def explain(
    request: str,
    caplog: pytest.LogCaptureFixture,
    capsys: pytest.CaptureFixture[str],
    folder: Path,
) -> str:
    """Return what the command says about a request from the lines logged so far."""
    log = folder / "gateway.log"
    log.write_text("\n".join(record.getMessage() for record in caplog.records))
    capsys.readouterr()
    assert main(["explain", request, "--log", str(log)]) == 0
    return capsys.readouterr().out


async def test_a_refusal_while_a_primary_is_replaced(
    caplog: pytest.LogCaptureFixture, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    """Guards against logs that do not relate a refusal to the dead primary."""
    caplog.set_level("INFO")
    async with async_deploy() as deployment:
        client = await deployment.async_connect("urgent")
        deployment.store.promote_delay_s = 2.0
        await deployment.members["a"].async_stop()
        # A write on a connection that is not yet known to be closed would be in doubt.
        await asyncio.sleep(0.1)
        assert error_of(await client.async_query("WRITE ward v1")) == "BUSY"
        refused = client.last_id
        await deployment.async_query_until_done(client, "WRITE ward v2")
        shown = explain(refused, caplog, capsys, tmp_path)
    assert "* " in shown and "request_refused" in shown
    assert "link_lost member=a reason=refused" in shown
    assert "primary_learned service=wendedb primary= " in shown


async def test_an_unknown_outcome_after_a_lost_answer(
    caplog: pytest.LogCaptureFixture, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    """Guards against logs that do not relate an unknown outcome to the lost connection."""
    caplog.set_level("INFO")
    async with async_deploy(gateways=1) as deployment:
        client = await deployment.async_connect("urgent")
        deployment.members["a"].lose_answer_to = "WRITE"
        assert error_of(await client.async_query("WRITE ward v1")) == "INDOUBT"
        shown = explain(client.last_id, caplog, capsys, tmp_path)
    assert "request_unresolved" in shown and "code=in_doubt" in shown
    assert "link_lost member=a reason=ended" in shown


async def test_a_late_answer_of_a_slow_member(
    caplog: pytest.LogCaptureFixture, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    """Guards against logs that do not distinguish a wait from a slow member."""
    caplog.set_level("INFO")
    target_ms, member_delay_ms = 250, 400
    async with async_deploy(gateways=1) as deployment:
        client = await deployment.async_connect("urgent")
        deployment.members["a"].delay_s = member_delay_ms / 1000
        assert error_of(await client.async_query("WRITE ward v1")) == ""
        shown = explain(client.last_id, caplog, capsys, tmp_path)
    late = next(line for line in shown.splitlines() if "request_late" in line)
    fields = dict(part.split("=", 1) for part in late.split() if "=" in part)
    assert fields["member"] == "a" and fields["target_ms"] == str(target_ms)
    # The wait is above 0 when the clock ticks or the process stalls during the acquisition of a
    # free connection. Neither changes what the member needs at least.
    held_ms, waited_ms = int(fields["held_ms"]), int(fields["waited_ms"])
    overdue_ms = held_ms - target_ms
    assert 0 <= waited_ms < overdue_ms, late
    assert held_ms - waited_ms >= member_delay_ms, late
