"""Direct connections to a member, for comparison with the path through a proxy."""

import asyncio

import aiohttp
from burdockrun_base import EventLog
from burdockrun_messages import (
    Code,
    Execute,
    ExecuteAnswer,
    ExecuteStatus,
    Outcome,
    StatementAnswer,
    StatementRequest,
    decode_message,
    encode_message,
)
from result import Err

from burdockrun_load.const import (
    ANSWER_GRACE_MS,
    CONNECT_TIMEOUT_MS,
    EVENT_STREAM_LOST,
    MAX_MESSAGE_BYTES,
    PATH_SESSION,
)
from burdockrun_load.models import NO_ANSWER, UNREACHABLE, CallResult


class DirectTarget:
    """Data connections to one member, each with one statement in flight.

    The member refuses writes unless `term` is its current term.
    """

    def __init__(
        self,
        address: str,
        connections: int,
        term: int,
        session: aiohttp.ClientSession,
        events: EventLog,
    ) -> None:
        self._address = address
        self._connections = connections
        self._term = term
        self._session = session
        self._events = events
        self._next_execution_id = 1
        self._idle: asyncio.Queue[aiohttp.ClientWebSocketResponse | None] = asyncio.Queue()

    async def async_open(self) -> bool:
        """Open all connections; return whether any is usable."""
        usable = False
        for _ in range(self._connections):
            socket = await self._async_connect()
            usable |= socket is not None
            self._idle.put_nowait(socket)
        return usable

    async def async_call(self, request: StatementRequest, proxy: int, caller: int) -> CallResult:
        """Execute a request on the next free connection; `proxy` and `caller` are ignored."""
        socket = await self._idle.get()
        try:
            if socket is None or socket.closed:
                socket = await self._async_connect()
            if socket is None:
                return UNREACHABLE
            async with asyncio.timeout((request.deadline_ms + ANSWER_GRACE_MS) / 1_000):
                return await self._async_execute(socket, request)
        except (TimeoutError, aiohttp.ClientError, OSError, TypeError):
            # The answer may still arrive, so the connection cannot be reused.
            if socket is not None:
                await socket.close()
            self._events.write(EVENT_STREAM_LOST, address=self._address, requests=1)
            return NO_ANSWER
        finally:
            self._idle.put_nowait(socket)

    async def async_close(self) -> None:
        """Close all connections."""
        while not self._idle.empty():
            socket = self._idle.get_nowait()
            if socket is not None:
                await socket.close()

    async def _async_connect(self) -> aiohttp.ClientWebSocketResponse | None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1_000):
                return await self._session.ws_connect(
                    f"http://{self._address}{PATH_SESSION}", max_msg_size=MAX_MESSAGE_BYTES
                )
        except (TimeoutError, aiohttp.ClientError, OSError):
            return None

    async def _async_execute(
        self, socket: aiohttp.ClientWebSocketResponse, request: StatementRequest
    ) -> CallResult:
        message = Execute(
            execution_id=self._next_execution_id,
            statement=request.statement,
            access=request.access,
            parameters=request.parameters,
            request_id=request.request_id,
            term=self._term,
        )
        self._next_execution_id += 1
        await socket.send_str(encode_message(message).decode())
        decoded = decode_message(ExecuteAnswer, await socket.receive_str())
        if isinstance(decoded, Err) or decoded.ok_value.execution_id != message.execution_id:
            await socket.close()
            return NO_ANSWER
        return _build_result(request, decoded.ok_value)


def _build_result(request: StatementRequest, executed: ExecuteAnswer) -> CallResult:
    if executed.status is not ExecuteStatus.OK:
        return CallResult(outcome=Outcome.NOT_RUN, code=executed.status)
    answer = StatementAnswer(
        request_id=request.request_id, outcome=Outcome.DONE, result=executed.result
    )
    return CallResult(outcome=Outcome.DONE, code=Code.OK, answer=answer)
