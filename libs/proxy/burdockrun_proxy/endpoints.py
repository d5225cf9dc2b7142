"""Data connections and control calls to endpoints over WebSocket and HTTP."""

import asyncio
from collections.abc import Callable

import aiohttp
from burdockrun_base import name_error
from burdockrun_messages import (
    AskStatus,
    AwaitConfirmed,
    ConnectionClosed,
    ConnectionOpened,
    ControlOperation,
    ControlReply,
    Event,
    Execute,
    ExecuteAnswer,
    ExecuteAnswered,
    Fence,
    Follow,
    Member,
    MemberStatus,
    Promote,
    Settle,
    Settled,
    decode_message,
    encode_message,
)
from result import Ok

from burdockrun_proxy.errors import CALL_ERRORS
from burdockrun_proxy.streams import StreamWriter

OPEN_TIMEOUT_S = 2.0

OPERATION_PATHS: dict[type[ControlOperation], str] = {
    AskStatus: "status",
    Fence: "fence",
    Promote: "promote",
    Follow: "follow",
    AwaitConfirmed: "await_confirmed",
    Settle: "settle",
}


class EndpointLinks:
    """Data connections of this process by connection id, and control calls to members."""

    def __init__(self, session: aiohttp.ClientSession, dispatch: Callable[[Event], None]) -> None:
        self._session = session
        self._dispatch = dispatch
        self._writers: dict[int, StreamWriter] = {}
        self._sockets: dict[int, aiohttp.ClientWebSocketResponse] = {}
        self._closed_before_open: set[int] = set()
        self._closing: set[asyncio.Task[bool]] = set()

    async def async_run(self, connection_id: int, member: Member) -> None:
        """Open a data connection and dispatch its answers until it closes."""
        url = f"http://{member.host}:{member.port}/v1/session"
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                socket = await self._session.ws_connect(url, max_msg_size=0)
        except CALL_ERRORS as error:
            self._report_closed(connection_id, name_error(error))
            return
        if connection_id in self._closed_before_open:
            await socket.close()
            self._report_closed(connection_id, "closed")
            return
        await self._async_receive(connection_id, socket)

    def send(self, connection_id: int, message: Execute) -> None:
        """Send a statement; it is dropped when the connection is not open."""
        writer = self._writers.get(connection_id)
        if writer is not None:
            writer.send(encode_message(message))

    def close(self, connection_id: int) -> None:
        """Close a data connection."""
        self._writers.pop(connection_id, None)
        socket = self._sockets.pop(connection_id, None)
        if socket is None:
            self._closed_before_open.add(connection_id)
            return
        task = asyncio.get_running_loop().create_task(socket.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def async_close(self) -> None:
        """Close all data connections."""
        for connection_id in tuple(self._sockets):
            self.close(connection_id)
        await asyncio.gather(*self._closing, return_exceptions=True)

    async def async_call(
        self, member: Member, operation: ControlOperation, timeout_ms: int
    ) -> ControlReply | None:
        """Call the control port of a member; return None when there is no valid reply."""
        path = OPERATION_PATHS[type(operation)]
        url = f"http://{member.host}:{member.control_port}/v1/group/{path}"
        try:
            async with (
                asyncio.timeout(timeout_ms / 1000),
                self._session.post(url, data=encode_message(operation)) as response,
            ):
                if response.status != 200:
                    return None
                body = await response.read()
        except CALL_ERRORS:
            return None
        return decode_control_reply(operation, body)

    async def _async_receive(
        self, connection_id: int, socket: aiohttp.ClientWebSocketResponse
    ) -> None:
        self._sockets[connection_id] = socket
        writer = self._writers[connection_id] = StreamWriter(socket)
        sender = asyncio.get_running_loop().create_task(writer.async_run())
        self._dispatch(ConnectionOpened(connection_id=connection_id))
        try:
            async for frame in socket:
                decoded = decode_message(ExecuteAnswer, frame.data)
                if not isinstance(decoded, Ok):
                    break
                self._dispatch(
                    ExecuteAnswered(connection_id=connection_id, answer=decoded.ok_value)
                )
        finally:
            sender.cancel()
            await socket.close()
            self._report_closed(connection_id, "closed")

    def _report_closed(self, connection_id: int, reason: str) -> None:
        self._writers.pop(connection_id, None)
        self._sockets.pop(connection_id, None)
        self._closed_before_open.discard(connection_id)
        self._dispatch(ConnectionClosed(connection_id=connection_id, reason=reason))


def decode_control_reply(operation: ControlOperation, body: bytes) -> ControlReply | None:
    """Return the reply to a control operation, or None when it is malformed."""
    if isinstance(operation, Settle):
        return decode_message(Settled, body).unwrap_or(None)
    return decode_message(MemberStatus, body).unwrap_or(None)
