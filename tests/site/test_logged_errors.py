"""Tests of what the log says of unexpected errors, whose text may quote what others have sent."""

from pathlib import Path
from unittest.mock import AsyncMock, patch

import pytest
from burdockrun_gateway import RequestPriority
from burdockrun_gateway.client_session import ClientSession
from burdockrun_gateway.const import DRAIN_CALL_FAILED, HANDLING_FAILED, SHARING_FAILED
from burdockrun_gateway.sharing import SharedConnection
from burdockrun_statements import Statement, StatementKind

from tests.site.common import SERVICE, async_deploy, error_of, read_events
from tests.site.processes import start_gateway

SENT = "text that others have sent"
# Raises in a callback of the event loop, as a protocol may that receives something odd.
RAISING_CALLBACK = f"""
import asyncio
from burdockrun_gateway import Gateway
start = Gateway.start
def receive():
    raise KeyError({SENT!r})
def start_and_receive(gateway):
    start(gateway)
    asyncio.get_running_loop().call_soon(receive)
Gateway.start = start_and_receive
"""


async def test_an_error_at_a_statement_is_logged_without_its_text(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a log that quotes the values of a client's session."""
    async with async_deploy(gateways=1) as deployment:
        client = await deployment.async_connect("urgent")
        with patch.object(ClientSession, "_handle_locally", side_effect=RuntimeError(SENT)):
            assert error_of(await client.async_query("SET zone north")) == "BUSY"
        (event,) = read_events(caplog, HANDLING_FAILED.number)
        assert event["error"] == "RuntimeError"
        assert event["database"] == "urgent" and event["request"]
        assert str(event["place"]).startswith("mock.py:")
        assert SENT not in caplog.text


async def test_an_error_at_a_shared_connection_is_logged_without_its_text(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a log that quotes the statements of another node's clients."""
    lost: list[bool] = []
    async with async_deploy(gateways=1) as deployment:
        gateway = deployment.gateways[0]
        with patch.object(gateway.directory, "is_peer", return_value=True):
            opened = gateway.open_shared(
                "127.0.0.2",
                service=SERVICE,
                member_id="a",
                on_answer=lambda answer: None,
                on_lost=lambda: lost.append(True),
            )
        shared = opened.unwrap()
        read = Statement(kind=StatementKind.READ, request_id="q1", name="ward")
        with patch.object(SharedConnection, "_async_forward", side_effect=KeyError(SENT)):
            shared.handle([read], RequestPriority(rank=0, wait_ms=100))
            await deployment.async_wait_until(lambda: lost == [True])
        gateway.close_shared(shared)
        (event,) = read_events(caplog, SHARING_FAILED.number)
        assert event["error"] == "KeyError"
        assert "sharing.py:" in str(event["trace"]) and "_async_run" in str(event["trace"])
        assert SENT not in caplog.text


@pytest.mark.parametrize(
    ("error", "logged"),
    [
        (ValueError(SENT), "ValueError"),
        (ConnectionRefusedError(111, SENT), "ConnectionRefusedError: Connection refused"),
    ],
)
async def test_an_error_at_the_end_of_a_node_is_logged_without_its_text(
    caplog: pytest.LogCaptureFixture, error: Exception, logged: str
) -> None:
    """Guards against a log that quotes answers of the store."""
    async with async_deploy(gateways=1) as deployment:
        gateway = deployment.gateways[0]
        release = AsyncMock(side_effect=error)
        with patch.object(gateway._registration, "async_release", release):
            await gateway.async_drain()
        (event,) = read_events(caplog, DRAIN_CALL_FAILED.number)
        assert event["call"] == "unregister"
        assert event["error"] == logged
        assert SENT not in caplog.text


def test_an_error_that_reaches_the_event_loop_is_logged_without_its_text(tmp_path: Path) -> None:
    """Guards against a log that quotes messages of others in an error that nothing handles."""
    with start_gateway(tmp_path, prelude=RAISING_CALLBACK) as gateway:
        gateway.wait_until_started()
        assert gateway.stop() == 0
        assert SENT not in gateway.output + gateway.errors
        (event,) = gateway.list_events("gateway_task_failed")
        assert event["task"] == "event loop"
        assert event["error"] == "KeyError"
        assert str(event["trace"]).endswith(" receive")
