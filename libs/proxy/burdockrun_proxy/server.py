"""HTTP and WebSocket interface of a proxy towards callers and peers."""

import asyncio
import contextlib

from aiohttp import WSMsgType, web
from burdockrun_base import Application
from burdockrun_messages import (
    MAX_BODY_BYTES,
    CallerGone,
    Code,
    Outcome,
    PeerReceived,
    RequestReceived,
    StatementAnswer,
    StatementRequest,
    TaggedPeerMessage,
    decode_message,
    decode_union,
    encode_message,
)
from result import Err, Ok

from burdockrun_proxy.driver import NodeDriver
from burdockrun_proxy.streams import StreamWriter

FLUSH_TIMEOUT_S = 2.0
JSON_TYPE = "application/json"
MAX_PEER_FRAME_BYTES = 2 * 1024 * 1024


class ProxyServer:
    """HTTP routes of the proxy."""

    def __init__(self, app: Application, driver: NodeDriver) -> None:
        self._app = app
        self._driver = driver
        self._open_streams: set[web.WebSocketResponse] = set()
        self._writers: set[StreamWriter] = set()

    def build(self) -> web.Application:
        """Return the aiohttp application."""
        server = web.Application(client_max_size=MAX_BODY_BYTES)
        server.add_routes(
            [
                web.post("/v1/statements", self._async_statement),
                web.get("/v1/stream", self._async_stream),
                web.get("/v1/peer", self._async_peer),
                web.get("/v1/status", self._async_status),
                web.get("/healthz", self._async_health),
            ]
        )
        return server

    async def async_close_streams(self) -> None:
        """Send what is queued for callers and peers, then close their streams."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await asyncio.gather(
                    self._driver.async_flush_peers(),
                    *(writer.async_flush() for writer in self._writers),
                )
        await asyncio.gather(
            *(socket.close() for socket in tuple(self._open_streams)), return_exceptions=True
        )

    async def _async_statement(self, request: web.Request) -> web.Response:
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            answer = refuse_input(Code.TOO_LARGE, f"body exceeds {MAX_BODY_BYTES} bytes")
            return build_response(answer, status=413)
        decoded = decode_message(StatementRequest, body)
        if isinstance(decoded, Err):
            return build_response(refuse_input(Code.BAD_REQUEST, decoded.err_value), status=400)
        answered: asyncio.Future[StatementAnswer] = asyncio.get_running_loop().create_future()

        def on_answer(answer: StatementAnswer) -> None:
            if not answered.done():
                answered.set_result(answer)

        caller_id = self._driver.add_caller(on_answer)
        self._driver.dispatch(RequestReceived(caller_id=caller_id, request=decoded.ok_value))
        try:
            return build_response(await answered)
        except asyncio.CancelledError:
            self._driver.drop_caller(caller_id)
            self._driver.dispatch(CallerGone(caller_id=caller_id))
            raise

    async def _async_stream(self, request: web.Request) -> web.WebSocketResponse:
        socket = web.WebSocketResponse(max_msg_size=0, compress=False)
        await socket.prepare(request)
        self._open_streams.add(socket)
        writer = StreamWriter(socket)
        self._writers.add(writer)
        sender = asyncio.get_running_loop().create_task(writer.async_run())
        callers: set[int] = set()
        try:
            async for frame in socket:
                if frame.type is WSMsgType.TEXT:
                    self._receive_frame(frame.data, writer, callers)
        finally:
            sender.cancel()
            self._writers.discard(writer)
            self._open_streams.discard(socket)
            for caller_id in callers:
                self._driver.drop_caller(caller_id)
        return socket

    def _receive_frame(self, data: str, writer: StreamWriter, callers: set[int]) -> None:
        if len(data) > MAX_BODY_BYTES:
            answer = refuse_input(Code.TOO_LARGE, f"message exceeds {MAX_BODY_BYTES} bytes")
            writer.send(encode_message(answer))
            return
        decoded = decode_message(StatementRequest, data)
        if not isinstance(decoded, Ok):
            writer.send(encode_message(refuse_input(Code.BAD_REQUEST, decoded.err_value)))
            return

        def on_answer(answer: StatementAnswer) -> None:
            callers.discard(caller_id)
            writer.send(encode_message(answer))

        caller_id = self._driver.add_caller(on_answer)
        callers.add(caller_id)
        self._driver.dispatch(RequestReceived(caller_id=caller_id, request=decoded.ok_value))

    async def _async_peer(self, request: web.Request) -> web.WebSocketResponse:
        socket = web.WebSocketResponse(max_msg_size=MAX_PEER_FRAME_BYTES, compress=False)
        await socket.prepare(request)
        self._open_streams.add(socket)
        peer = request.query.get("node", "")
        try:
            async for frame in socket:
                if frame.type is not WSMsgType.TEXT:
                    continue
                decoded = decode_union(TaggedPeerMessage, frame.data)
                if isinstance(decoded, Ok):
                    self._driver.dispatch(PeerReceived(peer=peer, message=decoded.ok_value))
        finally:
            self._open_streams.discard(socket)
        return socket

    async def _async_status(self, request: web.Request) -> web.Response:
        status = self._driver.node.read_status(self._app.clock.now_ms())
        return web.Response(body=encode_message(status), content_type=JSON_TYPE)

    async def _async_health(self, request: web.Request) -> web.Response:
        status = self._driver.node.read_status(self._app.clock.now_ms())
        page = {"state": status.state, "reasons": list(status.reasons)}
        return web.json_response(page, status=200 if status.state == "ready" else 503)


def refuse_input(code: Code, message: str) -> StatementAnswer:
    """Return the refusal of input that is not a valid request."""
    return StatementAnswer(request_id="", outcome=Outcome.NOT_RUN, code=code, message=message)


def build_response(answer: StatementAnswer, *, status: int = 200) -> web.Response:
    """Return an answer as an HTTP response."""
    return web.Response(body=encode_message(answer), content_type=JSON_TYPE, status=status)
