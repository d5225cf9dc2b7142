"""Ordered, non-blocking sending on one WebSocket."""

import asyncio

import aiohttp
from aiohttp import web

Socket = aiohttp.ClientWebSocketResponse | web.WebSocketResponse


class StreamWriter:
    """Sends queued text frames in order from one task."""

    def __init__(self, socket: Socket) -> None:
        self._socket = socket
        self._frames: asyncio.Queue[bytes] = asyncio.Queue()

    def send(self, frame: bytes) -> None:
        """Queue one frame."""
        self._frames.put_nowait(frame)

    async def async_run(self) -> None:
        """Send frames until the socket fails or the task is cancelled."""
        while True:
            frame = await self._frames.get()
            try:
                await self._socket.send_str(frame.decode())
            finally:
                self._frames.task_done()

    async def async_flush(self) -> None:
        """Wait until all queued frames are sent."""
        await self._frames.join()
