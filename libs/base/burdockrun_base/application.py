"""Application object, which manages the life cycle of a program."""

import asyncio
import contextlib
import signal
from collections.abc import Awaitable, Callable
from typing import Final

from burdockrun_start import find_stop_signal

from burdockrun_base.clock import Clock, SystemClock
from burdockrun_base.log_events import EventLog
from burdockrun_base.measurements import Measurements
from burdockrun_base.metrics import Metrics

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)

Unload = Callable[[], Awaitable[None]]


class Application:
    """Core object of a program, created once and passed to each of its components."""

    def __init__(
        self,
        *,
        clock: Clock | None = None,
        metrics: Metrics | None = None,
        events: EventLog | None = None,
    ) -> None:
        self.clock: Clock = clock or SystemClock()
        self.metrics = metrics or Metrics()
        self.measurements = Measurements()
        self.events = events or EventLog()
        # Why the program was asked to stop: the name of a signal, or what the caller gave.
        self.stop_reason = ""
        self._unloads: list[Unload] = []
        self._stopping = asyncio.Event()

    def on_unload(self, unload: Unload) -> None:
        """Register a clean-up function; they run in reverse order of registration."""
        self._unloads.append(unload)

    def request_stop(self, reason: str = "") -> None:
        """Ask the program to stop; the first reason is kept as `stop_reason`."""
        self.stop_reason = self.stop_reason or reason
        self._stopping.set()

    @property
    def stopping(self) -> bool:
        """Whether the program was asked to stop."""
        return self._stopping.is_set()

    async def async_wait_for_stop(self, timeout_ms: int) -> bool:
        """Wait until the program is asked to stop, at most for a time; return whether it was."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / 1000):
                await self._stopping.wait()
        return self.stopping

    def handle_signals(self) -> None:
        """Ignore SIGHUP, and let SIGTERM and SIGINT request a stop, also those of the start."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self.request_stop, number.name)
        if stop_signal := find_stop_signal():
            self.request_stop(stop_signal)

    async def async_run(self) -> None:
        """Wait for SIGTERM, SIGINT or `request_stop`, then run the clean-up functions.

        SIGTERM and SIGINT are ignored from then on, as the program is about to end.
        """
        self.handle_signals()
        await self._stopping.wait()
        await self.async_unload()
        _ignore_stop_signals()

    async def async_unload(self) -> None:
        """Run the registered clean-up functions in reverse order.

        One that raises an exception is logged, and does not keep the others from running.
        """
        while self._unloads:
            unload = self._unloads.pop()
            try:
                await unload()
            except Exception as error:
                asyncio.get_running_loop().call_exception_handler(
                    {"message": f"clean-up failed: {unload!r}", "exception": error}
                )


def _ignore_stop_signals() -> None:
    loop = asyncio.get_running_loop()
    # A loop that removes its handler, as it also does when it is closed, sets the default action,
    # which ends the process. A signal that is blocked meanwhile is dropped once it is ignored.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    for number in STOP_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)
