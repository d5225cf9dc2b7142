"""Tests of the driver of a proxy node: what an unexpected error may stop."""

import asyncio
import gc
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

import aiohttp
import pytest
from burdockrun_base import Application, EventLog, ManualClock
from burdockrun_bench.soak import SESSION_KEY, TICKET_FUNCTIONS
from burdockrun_fleet import FleetAgent
from burdockrun_messages import (
    Access,
    Action,
    DrainExpired,
    DrainRequested,
    Event,
    GetKey,
    NodeInfo,
    Outbox,
    Outcome,
    PeerLost,
    PlatformReply,
    RecordLog,
    RequestReceived,
    Started,
    StatementAnswer,
    StatementRequest,
    TimerFired,
)
from burdockrun_proxy import ProxyNode
from burdockrun_proxy.const import EVENT_FAILED
from burdockrun_proxy.driver import NodeDriver
from burdockrun_proxy.entry import RequestRouter
from burdockrun_proxy.failures import handle_loop_failures
from burdockrun_proxy.program import async_drain

NODE = NodeInfo(node="p1", domain="aug", host="127.0.0.1", port=1)
WATCHED_S = 0.5


class FaultyNode:
    """Node that raises at the first event of a kind, and calls the platform at its start."""

    def __init__(self, faulty: type[Event]) -> None:
        self.info = NODE
        self.handled: list[str] = []
        self._outbox = Outbox()
        self._faulty: type[Event] | None = faulty

    def handle(self, event: Event, now_ms: int) -> list[Action]:
        """Record an event."""
        self.handled.append(type(event).__name__)
        if isinstance(event, Started):
            call = GetKey(key="tickets/head")
            self._outbox.call_platform(call, timeout_ms=100, on_reply=lambda reply, then_ms: None)
        if self._faulty is not None and isinstance(event, self._faulty):
            self._faulty = None
            raise ValueError("an odd value of a caller")
        return self._outbox.drain()


class FaultyPlatform:
    """Platform client with a defect."""

    async def async_call(self, operation: object, timeout_ms: int) -> PlatformReply:
        """Fail."""
        raise KeyError("an odd reply")


async def async_run_node(node: FaultyNode) -> list[dict[str, Any]]:
    """Run a node for a while; return the fields of the failures that its driver has logged."""
    app = Application(clock=ManualClock(100_000), events=EventLog("json"))
    failures: list[dict[str, Any]] = []
    app.events = SimpleNamespace(  # type: ignore[assignment]
        write_spaced=lambda event, key, interval_ms, **fields: failures.append(fields)
    )
    async with aiohttp.ClientSession() as session:
        driver = NodeDriver(app, node, session, FaultyPlatform())  # type: ignore[arg-type]
        driver.start()
        await asyncio.sleep(WATCHED_S)
        driver.dispatch(PeerLost(peer="p2"))
        await driver.async_stop()
    return failures


async def test_a_timer_event_that_fails_does_not_stop_the_timer() -> None:
    """Guards against a proxy that serves on without timers after one unexpected error."""
    node = FaultyNode(TimerFired)
    failures = await async_run_node(node)
    assert node.handled.count("TimerFired") > 2
    failure = next(one for one in failures if one["kind"] == "TimerFired")
    assert failure["error"] == "ValueError" and failure["trace"].endswith("handle")


async def test_an_event_that_fails_does_not_reach_who_dispatches_it() -> None:
    """Guards against a connection to a peer that ends since its loss could not be handled."""
    node = FaultyNode(PeerLost)
    failures = await async_run_node(node)
    assert "PeerLost" in [one["kind"] for one in failures]


@pytest.mark.parametrize("secret", ["v1.eyJ0b2tlbiI6.c2ln", "PUT patient-17 moved", "x" * 300])
async def test_a_failure_is_logged_without_the_text_of_its_error(secret: str) -> None:
    """Guards against session tokens and statements of callers in the log."""
    node = make_node()
    node.handle(Started(), 0)
    request = StatementRequest(
        request_id="q1",
        account="bayern",
        database="wendedb",
        statement=secret,
        access=Access.WRITE,
        session=secret,
    )
    lines: list[dict[str, Any]] = []
    app = Application(clock=ManualClock(100_000))
    app.events = SimpleNamespace(  # type: ignore[assignment]
        write=lambda event, **fields: lines.append(fields),
        write_spaced=lambda event, key, interval_ms, **fields: lines.append(fields),
    )
    with (
        patch.object(RequestRouter, "receive", autospec=True, side_effect=fail_with_arguments),
        patch.object(FleetAgent, "tick", autospec=True, side_effect=KeyError(secret)),
    ):
        async with aiohttp.ClientSession() as session:
            driver = NodeDriver(app, node, session, FaultyPlatform())  # type: ignore[arg-type]
            driver.dispatch(RequestReceived(caller_id=1, request=request))
            driver.dispatch(TimerFired())
    assert {"KeyError"} == {line["error"] for line in lines if "error" in line}
    assert secret[:100] not in str(lines)


async def test_a_request_whose_handling_fails_is_answered() -> None:
    """Guards against a caller that waits for an answer which nobody will give."""
    request = StatementRequest(
        request_id="q1",
        account="bayern",
        database="wendedb",
        statement="PUT a 1",
        access=Access.WRITE,
    )
    answers: list[StatementAnswer] = []
    async with aiohttp.ClientSession() as session:
        driver = NodeDriver(
            Application(clock=ManualClock(100_000)),
            FaultyNode(RequestReceived),  # type: ignore[arg-type]
            session,
            FaultyPlatform(),  # type: ignore[arg-type]
        )
        caller_id = driver.add_caller(answers.append)
        driver.dispatch(RequestReceived(caller_id=caller_id, request=request))
    assert [(one.request_id, one.outcome) for one in answers] == [("q1", Outcome.UNKNOWN)]


async def test_a_call_to_the_platform_that_fails_is_answered() -> None:
    """Guards against a part of a node that waits for its reply as long as the process runs."""
    node = FaultyNode(PeerLost)
    failures = await async_run_node(node)
    assert "CallPlatform" in [one["kind"] for one in failures]
    assert "PlatformAnswered" in node.handled


async def test_a_drain_that_times_out_has_its_callers_answered() -> None:
    """Guards against streams that are closed with requests that nobody has answered."""
    events: list[Event] = []
    driver = SimpleNamespace(dispatch=events.append, drained=asyncio.Event())
    await async_drain(driver, timeout_ms=10)  # type: ignore[arg-type]
    assert events == [DrainRequested(), DrainExpired()]


async def test_a_task_that_nobody_observes_is_logged_without_the_text_of_its_error(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against the report of the event loop, which shows the error of the task."""

    async def async_fail() -> None:
        raise ValueError("v1.a-session-token")

    failures: list[dict[str, Any]] = []
    app = Application(clock=ManualClock(100_000))
    app.events = SimpleNamespace(  # type: ignore[assignment]
        write_spaced=lambda event, key, interval_ms, **fields: failures.append(fields)
    )
    handle_loop_failures(app)
    task = asyncio.get_running_loop().create_task(async_fail())
    await asyncio.sleep(0)
    del task
    gc.collect()
    assert [(one["kind"], one["error"]) for one in failures] == [("event loop", "ValueError")]
    assert "session-token" not in str(failures) + caplog.text


def make_node() -> ProxyNode:
    """Return a node that logs unexpected errors."""
    return ProxyNode(
        node=NODE,
        seeds=(),
        session_keys=(SESSION_KEY,),
        ticket_functions=TICKET_FUNCTIONS,
        rng=Random(1),
    )


def fail_with_arguments(*arguments: object) -> None:
    """Raise an error whose text shows the arguments."""
    raise KeyError(arguments)


def test_a_periodic_step_that_fails_does_not_stop_the_others() -> None:
    """Guards against requests without a deadline since another part of the node has failed."""
    node = make_node()
    node.handle(Started(), 0)
    with (
        patch.object(FleetAgent, "tick", autospec=True, side_effect=ValueError("odd")),
        patch.object(RequestRouter, "tick") as tick,
    ):
        actions = node.handle(TimerFired(), 50)
    assert tick.call_count == 1
    assert EVENT_FAILED in [one.event for one in actions if isinstance(one, RecordLog)]
