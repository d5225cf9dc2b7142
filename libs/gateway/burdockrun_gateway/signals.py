"""Wake-up of tasks that wait for a change."""

import asyncio


class ChangeSignal:
    """Wakes all waiting tasks at each change."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that are waiting now."""
        self._event.set()
        self._event = asyncio.Event()

    async def async_wait(self, wait_ms: float) -> None:
        """Wait for the next change, at most for `wait_ms`."""
        event = self._event
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await event.wait()
        except TimeoutError:
            return
