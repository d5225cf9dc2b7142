"""Executes the actions that a submission puts into its `Outbox`."""

import asyncio
from collections.abc import Callable

from burdockrun_base import Clock, EventLog
from burdockrun_messages import CallPlatform, Outbox, PlatformAnswered, RecordLog

from burdockrun_control.const import TICK_INTERVAL_MS
from burdockrun_control.store_reader import PlatformCaller


class OutboxRunner:
    """Executes the actions in an outbox: platform calls and log events."""

    def __init__(
        self, outbox: Outbox, platform: PlatformCaller, clock: Clock, events: EventLog
    ) -> None:
        self._outbox = outbox
        self._platform = platform
        self._clock = clock
        self._events = events
        self._calls: set[asyncio.Task[None]] = set()

    async def async_run(self, tick: Callable[[int], None], is_done: Callable[[], bool]) -> None:
        """Call `tick` and execute the actions until `is_done`.

        Then wait for the calls in flight, such as the update of the key `tickets/head`.
        """
        while not is_done():
            tick(self._clock.now_ms())
            self._start_actions()
            if is_done():
                break
            if self._calls:
                await asyncio.wait(
                    self._calls,
                    timeout=TICK_INTERVAL_MS / 1_000,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            else:
                await asyncio.sleep(TICK_INTERVAL_MS / 1_000)
        self._start_actions()
        if self._calls:
            await asyncio.wait(self._calls)

    def _start_actions(self) -> None:
        for action in self._outbox.drain():
            if isinstance(action, CallPlatform):
                task = asyncio.create_task(self._async_call(action))
                self._calls.add(task)
                task.add_done_callback(self._calls.discard)
            elif isinstance(action, RecordLog):
                self._events.write(action.event, **action.fields)

    async def _async_call(self, action: CallPlatform) -> None:
        reply = await self._platform.async_call(action.operation, action.timeout_ms)
        answered = PlatformAnswered(call_id=action.call_id, reply=reply)
        self._outbox.deliver_platform_reply(answered, self._clock.now_ms())
        self._start_actions()
