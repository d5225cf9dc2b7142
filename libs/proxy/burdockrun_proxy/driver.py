"""Performs the actions of a proxy node with asyncio and passes events to it."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
from burdockrun_base import Application, Registry
from burdockrun_messages import (
    Action,
    CallControl,
    CallPlatform,
    CloseConnection,
    ControlAnswered,
    DrainFinished,
    Event,
    OpenConnection,
    PlatformAnswered,
    PlatformFailure,
    ProcessPaused,
    RecordLog,
    RecordMetric,
    RequestReceived,
    SendAnswer,
    SendExecute,
    SendPeer,
    Started,
    StatementAnswer,
    TimerFired,
    WakeAt,
)
from burdockrun_platform import PlatformClient

from burdockrun_proxy.const import PAUSE_THRESHOLD_MS, TICK_INTERVAL_MS
from burdockrun_proxy.endpoints import EndpointLinks
from burdockrun_proxy.failures import report_failure
from burdockrun_proxy.models import answer_unknown
from burdockrun_proxy.node import ProxyNode
from burdockrun_proxy.peers import PeerLinks

OnAnswer = Callable[[StatementAnswer], None]
ActionHandler = Callable[["NodeDriver", Any], None]
_action_handlers: Registry[ActionHandler] = Registry("action handler")


class NodeDriver:
    """Connects a `ProxyNode` to callers, endpoints, peers, the platform and the clock."""

    def __init__(
        self,
        app: Application,
        node: ProxyNode,
        session: aiohttp.ClientSession,
        platform: PlatformClient,
    ) -> None:
        self.node = node
        self.drained = asyncio.Event()
        self._app = app
        self._platform = platform
        self._endpoints = EndpointLinks(session, self.dispatch)
        self._peers = PeerLinks(session, node.info, self.dispatch)
        self._callers: dict[int, OnAnswer] = {}
        self._next_caller_id = 1
        self._tasks: set[asyncio.Task[None]] = set()
        self._queue: list[Event] = []
        self._dispatching = False
        self._last_tick_ms = app.clock.now_ms()

    def start(self) -> None:
        """Send the node its start event and start the timer."""
        self.dispatch(Started())
        self.spawn(self._async_tick())
        self._app.on_unload(self.async_stop)

    async def async_stop(self) -> None:
        """Close all links and cancel the background tasks."""
        await self._endpoints.async_close()
        await self._peers.async_close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def async_flush_peers(self) -> None:
        """Wait until all messages to peers in reach are sent."""
        await self._peers.async_flush()

    def add_caller(self, on_answer: OnAnswer) -> int:
        """Register `on_answer` for the answer to one request and return its caller id."""
        caller_id = self._next_caller_id
        self._next_caller_id += 1
        self._callers[caller_id] = on_answer
        return caller_id

    def drop_caller(self, caller_id: int) -> None:
        """Remove a caller that no longer waits for its answer."""
        self._callers.pop(caller_id, None)

    def dispatch(self, event: Event) -> None:
        """Pass an event to the node and perform the resulting actions.

        An error is logged and stops neither the task that dispatches nor other events and actions.
        """
        self._queue.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._queue:
                for action in self._handle(self._queue.pop(0)):
                    self._perform(action)
        finally:
            self._dispatching = False

    def _handle(self, event: Event) -> list[Action]:
        """Return the actions of an event; those of one that fails come with the next event."""
        try:
            return self.node.handle(event, self._app.clock.now_ms())
        except Exception as error:
            self._report_failure(type(event).__name__, error)
        if not isinstance(event, RequestReceived):
            return []
        # The request may have been passed on before the error.
        answer = answer_unknown(event.request, "unexpected error")
        return [SendAnswer(caller_id=event.caller_id, answer=answer)]

    def _report_failure(self, kind: str, error: BaseException) -> None:
        report_failure(self._app, kind, error)

    def spawn(self, coroutine: Any) -> None:
        """Run a coroutine in the background until it ends or the driver stops."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_done)

    def _handle_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._report_failure(task.get_coro().__qualname__, error)  # type: ignore[union-attr]

    def _perform(self, action: object) -> None:
        name = type(action).__name__
        handler = _action_handlers.get(name)
        assert handler is not None, f"no handler for {name}"
        try:
            handler(self, action)
        except Exception as error:
            self._report_failure(name, error)

    @_action_handlers.register("SendAnswer")
    def _send_answer(self, action: SendAnswer) -> None:
        on_answer = self._callers.pop(action.caller_id, None)
        if on_answer is not None:
            on_answer(action.answer)

    @_action_handlers.register("OpenConnection")
    def _open_connection(self, action: OpenConnection) -> None:
        self.spawn(self._endpoints.async_run(action.connection_id, action.member))

    @_action_handlers.register("CloseConnection")
    def _close_connection(self, action: CloseConnection) -> None:
        self._endpoints.close(action.connection_id)

    @_action_handlers.register("SendExecute")
    def _send_execute(self, action: SendExecute) -> None:
        self._endpoints.send(action.connection_id, action.message)

    @_action_handlers.register("CallControl")
    def _call_control(self, action: CallControl) -> None:
        self.spawn(self._async_call_control(action))

    @_action_handlers.register("SendPeer")
    def _send_peer(self, action: SendPeer) -> None:
        self._peers.send(action.peer, action.message)

    @_action_handlers.register("CallPlatform")
    def _call_platform(self, action: CallPlatform) -> None:
        self.spawn(self._async_call_platform(action))

    @_action_handlers.register("WakeAt")
    def _wake_at(self, action: WakeAt) -> None:
        delay_ms = max(action.at_ms - self._app.clock.now_ms(), 0) + 1
        asyncio.get_running_loop().call_later(delay_ms / 1000, self.dispatch, TimerFired())

    @_action_handlers.register("RecordLog")
    def _record_log(self, action: RecordLog) -> None:
        self._app.events.write(action.event, **action.fields)

    @_action_handlers.register("RecordMetric")
    def _record_metric(self, action: RecordMetric) -> None:
        if action.duration_ms is not None:
            self._app.metrics.time(action.name, action.duration_ms)
            return
        self._app.metrics.count(action.name, action.count)

    @_action_handlers.register("DrainFinished")
    def _drain_finished(self, action: DrainFinished) -> None:
        self.drained.set()

    async def _async_call_control(self, action: CallControl) -> None:
        try:
            reply = await self._endpoints.async_call(
                action.member, action.operation, action.timeout_ms
            )
        except Exception as error:  # whoever called waits for a reply
            self._report_failure("CallControl", error)
            reply = None
        self.dispatch(ControlAnswered(call_id=action.call_id, reply=reply))

    async def _async_call_platform(self, action: CallPlatform) -> None:
        try:
            reply = await self._platform.async_call(action.operation, action.timeout_ms)
        except Exception as error:  # whoever called waits for a reply
            self._report_failure("CallPlatform", error)
            reply = PlatformFailure(reason="unexpected error")
        self.dispatch(PlatformAnswered(call_id=action.call_id, reply=reply))

    async def _async_tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)
            now_ms = self._app.clock.now_ms()
            gap_ms = now_ms - self._last_tick_ms - TICK_INTERVAL_MS
            self._last_tick_ms = now_ms
            if gap_ms >= PAUSE_THRESHOLD_MS:
                self.dispatch(ProcessPaused(gap_ms=gap_ms))
            self.dispatch(TimerFired())
