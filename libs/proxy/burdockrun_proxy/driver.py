"""Carries out the actions of a proxy node with asyncio and feeds it events."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
from burdockrun_base import Application, Registry
from burdockrun_messages import (
    CallControl,
    CallPlatform,
    CloseConnection,
    ControlAnswered,
    DrainFinished,
    Event,
    OpenConnection,
    PlatformAnswered,
    ProcessPaused,
    RecordLog,
    RecordMetric,
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
from burdockrun_proxy.node import ProxyNode
from burdockrun_proxy.peers import PeerLinks

OnAnswer = Callable[[StatementAnswer], None]
Performer = Callable[["NodeDriver", Any], None]
_performers: Registry[Performer] = Registry("action")


class NodeDriver:
    """Connects a `ProxyNode` to callers, endpoints, peers, platform and time."""

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
        """Start the timer and tell the node that it runs."""
        self.dispatch(Started())
        self.spawn(self._async_tick())
        self._app.on_unload(self.async_stop)

    async def async_stop(self) -> None:
        """Close all links and end the background tasks."""
        await self._endpoints.async_close()
        await self._peers.async_close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def add_caller(self, on_answer: OnAnswer) -> int:
        """Return an id for a request whose answer goes to `on_answer`."""
        caller_id = self._next_caller_id
        self._next_caller_id += 1
        self._callers[caller_id] = on_answer
        return caller_id

    def drop_caller(self, caller_id: int) -> None:
        """Forget a caller that no longer waits."""
        self._callers.pop(caller_id, None)

    def dispatch(self, event: Event) -> None:
        """Hand an event to the node and carry out its actions."""
        self._queue.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._queue:
                for action in self.node.handle(self._queue.pop(0), self._app.clock.now_ms()):
                    self._perform(action)
        finally:
            self._dispatching = False

    def spawn(self, work: Any) -> None:
        """Run a coroutine in the background until it ends or the driver stops."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _perform(self, action: object) -> None:
        performer = _performers.get(type(action).__name__)
        assert performer is not None, f"no performer for {type(action).__name__}"
        performer(self, action)

    @_performers.register("SendAnswer")
    def _send_answer(self, action: SendAnswer) -> None:
        on_answer = self._callers.pop(action.caller_id, None)
        if on_answer is not None:
            on_answer(action.answer)

    @_performers.register("OpenConnection")
    def _open_connection(self, action: OpenConnection) -> None:
        self.spawn(self._endpoints.async_run(action.connection_id, action.member))

    @_performers.register("CloseConnection")
    def _close_connection(self, action: CloseConnection) -> None:
        self._endpoints.close(action.connection_id)

    @_performers.register("SendExecute")
    def _send_execute(self, action: SendExecute) -> None:
        self._endpoints.send(action.connection_id, action.message)

    @_performers.register("CallControl")
    def _call_control(self, action: CallControl) -> None:
        self.spawn(self._async_call_control(action))

    @_performers.register("SendPeer")
    def _send_peer(self, action: SendPeer) -> None:
        self._peers.send(action.peer, action.message)

    @_performers.register("CallPlatform")
    def _call_platform(self, action: CallPlatform) -> None:
        self.spawn(self._async_call_platform(action))

    @_performers.register("WakeAt")
    def _wake_at(self, action: WakeAt) -> None:
        delay_ms = max(action.at_ms - self._app.clock.now_ms(), 0) + 1
        asyncio.get_running_loop().call_later(delay_ms / 1000, self.dispatch, TimerFired())

    @_performers.register("RecordLog")
    def _record_log(self, action: RecordLog) -> None:
        self._app.events.write(action.event, **action.fields)

    @_performers.register("RecordMetric")
    def _record_metric(self, action: RecordMetric) -> None:
        if action.duration_ms is not None:
            self._app.metrics.time(action.name, action.duration_ms)
            return
        self._app.metrics.count(action.name, action.count)

    @_performers.register("DrainFinished")
    def _drain_finished(self, action: DrainFinished) -> None:
        self.drained.set()

    async def _async_call_control(self, action: CallControl) -> None:
        reply = await self._endpoints.async_call(action.member, action.operation, action.timeout_ms)
        self.dispatch(ControlAnswered(call_id=action.call_id, reply=reply))

    async def _async_call_platform(self, action: CallPlatform) -> None:
        reply = await self._platform.async_call(action.operation, action.timeout_ms)
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
