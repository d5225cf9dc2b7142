"""Streams to proxies: many requests in flight, matched with answers by their id."""

import asyncio
import contextlib
from typing import Protocol

import aiohttp
from burdockrun_base import EventLog
from burdockrun_messages import (
    StatementAnswer,
    StatementRequest,
    decode_message,
    encode_message,
)
from result import Err

from burdockrun_load.const import (
    ANSWER_GRACE_MS,
    CONNECT_BATCH,
    CONNECT_TIMEOUT_MS,
    EVENT_STREAM_LOST,
    MAX_MESSAGE_BYTES,
    PATH_STREAM,
    RECONNECT_INTERVAL_MS,
)
from burdockrun_load.models import NO_ANSWER, UNREACHABLE, CallResult


class Target(Protocol):
    """Receiver of requests: several proxies, or one member."""

    async def async_open(self) -> bool:
        """Connect; return whether anything can be reached."""
        ...

    async def async_call(self, request: StatementRequest, proxy: int, caller: int) -> CallResult:
        """Send a request and return its result."""
        ...

    async def async_close(self) -> None:
        """Close all connections."""
        ...


class Stream:
    """One WebSocket to a proxy, opened on demand."""

    def __init__(self, address: str, session: aiohttp.ClientSession, events: EventLog) -> None:
        self._address = address
        self._session = session
        self._events = events
        self._socket: aiohttp.ClientWebSocketResponse | None = None
        self._reader: asyncio.Task[None] | None = None
        self._pending: dict[str, asyncio.Future[StatementAnswer | None]] = {}
        self._opening = asyncio.Lock()
        self._retry_at_s = 0.0

    async def async_open(self) -> bool:
        """Connect unless connected; return whether the stream is usable."""
        if self._socket is not None and not self._socket.closed:
            return True
        async with self._opening:
            if self._socket is not None and not self._socket.closed:
                return True
            return await self._async_connect()

    async def async_call(self, request: StatementRequest) -> CallResult:
        """Send a request and return its result."""
        if not await self.async_open() or self._socket is None:
            return UNREACHABLE
        future = asyncio.get_running_loop().create_future()
        self._pending[request.request_id] = future
        try:
            await self._socket.send_str(encode_message(request).decode())
            async with asyncio.timeout((request.deadline_ms + ANSWER_GRACE_MS) / 1_000):
                answer = await future
        except (TimeoutError, aiohttp.ClientError, OSError):
            return NO_ANSWER
        finally:
            self._pending.pop(request.request_id, None)
        if answer is None:
            return NO_ANSWER
        return CallResult(outcome=answer.outcome, code=answer.code, answer=answer)

    async def async_close(self) -> None:
        """Close the stream."""
        if self._socket is not None:
            await self._socket.close()
        if self._reader is not None:
            self._reader.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._reader

    async def _async_connect(self) -> bool:
        loop = asyncio.get_running_loop()
        if loop.time() < self._retry_at_s:
            return False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1_000):
                self._socket = await self._session.ws_connect(
                    f"http://{self._address}{PATH_STREAM}", max_msg_size=MAX_MESSAGE_BYTES
                )
        except (TimeoutError, aiohttp.ClientError, OSError):
            self._retry_at_s = loop.time() + RECONNECT_INTERVAL_MS / 1_000
            return False
        self._reader = asyncio.create_task(self._async_read(self._socket))
        return True

    async def _async_read(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        async for message in socket:
            if message.type is not aiohttp.WSMsgType.TEXT:
                continue
            answer = decode_message(StatementAnswer, message.data)
            if isinstance(answer, Err):
                continue
            future = self._pending.get(answer.ok_value.request_id)
            if future is not None and not future.done():
                future.set_result(answer.ok_value)
        unanswered = [future for future in self._pending.values() if not future.done()]
        if unanswered:
            self._events.write(EVENT_STREAM_LOST, address=self._address, requests=len(unanswered))
        for future in unanswered:
            future.set_result(None)


class ProxyTarget:
    """Streams to all proxies, `connections` to each."""

    def __init__(
        self,
        addresses: list[str],
        connections: int,
        session: aiohttp.ClientSession,
        events: EventLog,
    ) -> None:
        self._streams = [
            [Stream(address, session, events) for _ in range(connections)] for address in addresses
        ]

    async def async_open(self) -> bool:
        """Open all streams; return whether any is usable."""
        streams = [stream for group in self._streams for stream in group]
        usable = False
        for first in range(0, len(streams), CONNECT_BATCH):
            batch = streams[first : first + CONNECT_BATCH]
            usable |= any(await asyncio.gather(*(stream.async_open() for stream in batch)))
        return usable

    async def async_call(self, request: StatementRequest, proxy: int, caller: int) -> CallResult:
        """Send to one proxy, or to the next one that can be reached, as a load balancer would."""
        result = UNREACHABLE
        for offset in range(len(self._streams)):
            group = self._streams[(proxy + offset) % len(self._streams)]
            result = await group[caller % len(group)].async_call(request)
            if result is not UNREACHABLE:
                break
        return result

    async def async_close(self) -> None:
        """Close all streams."""
        await asyncio.gather(*(stream.async_close() for group in self._streams for stream in group))
