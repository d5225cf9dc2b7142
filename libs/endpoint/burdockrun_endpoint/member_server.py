"""HTTP server of the stand-in for one database member."""

import asyncio

from aiohttp import WSMsgType, web
from burdockrun_base import Clock, EventLog
from burdockrun_messages import (
    AwaitConfirmed,
    ControlOperation,
    ControlReply,
    Execute,
    MemberStatus,
    decode_message,
    encode_message,
)
from result import Err

from burdockrun_endpoint.const import (
    ENTRIES_PATH,
    GROUP_PATH,
    OPERATION_LEAVE,
    OPERATIONS,
    PULL_WAIT_MS,
    SESSION_PATH,
)
from burdockrun_endpoint.faults import FaultInjector, Faults
from burdockrun_endpoint.member import DatabaseMember
from burdockrun_endpoint.models import EntryBatch, PullEntries, has_updates


class MemberServer:
    """Data port and control port of a member; `open_ms` is the time to open a connection."""

    def __init__(
        self, member: DatabaseMember, clock: Clock, events: EventLog, *, open_ms: int
    ) -> None:
        self.member = member
        self.changed = asyncio.Event()
        self._clock = clock
        self._open_ms = open_ms
        self._injector = FaultInjector(events, self._apply_faults)
        self._sockets: dict[int, web.WebSocketResponse] = {}
        self._next_connection_id = 1
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def make_data_app(self) -> web.Application:
        """Return the application of the data port."""
        app = web.Application(middlewares=[self._injector.async_middleware])
        app.router.add_get(SESSION_PATH, self._async_session)
        app.on_shutdown.append(self._async_close_sockets)
        return app

    def make_control_app(self) -> web.Application:
        """Return the application of the control port."""
        app = web.Application(middlewares=[self._injector.async_middleware])
        app.router.add_post(GROUP_PATH + "/{operation}", self._async_control)
        app.router.add_post(ENTRIES_PATH, self._async_entries)
        self._injector.add_routes(app)
        return app

    @property
    def is_isolated(self) -> bool:
        """Return whether a fault keeps the member from its peers."""
        return self._injector.faults.refused or self._injector.faults.paused

    def advance(self) -> None:
        """Send the answers that are due and set the timer for the next ones."""
        now_ms = self._clock.now_ms()
        for item in self.member.advance(now_ms):
            self._send(item.connection_id, encode_message(item.answer))
        self.notify()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        next_ms = self.member.next_ms(now_ms)
        if next_ms is not None:
            delay_s = max(0, next_ms - now_ms) / 1_000
            self._timer = asyncio.get_running_loop().call_later(delay_s, self.advance)

    def notify(self) -> None:
        """Wake all tasks that wait for a change of the member."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def async_wait_changed(self, end_ms: int) -> None:
        """Wait for a change of the member, at most until `end_ms`."""
        remaining_ms = end_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0, remaining_ms) / 1_000):
                await self.changed.wait()
        except TimeoutError:
            return

    async def _async_session(self, request: web.Request) -> web.StreamResponse:
        connection_id = self._next_connection_id
        self._next_connection_id += 1
        if not self.member.open(connection_id):
            return web.Response(status=503, text="connection limit reached")
        socket = web.WebSocketResponse(heartbeat=None)
        try:
            await asyncio.sleep(self._open_ms / 1_000)
            await socket.prepare(request)
            self._sockets[connection_id] = socket
            async for frame in socket:
                if frame.type is not WSMsgType.TEXT:
                    break
                if not await self._injector.async_before_operation():
                    break
                decoded = decode_message(Execute, frame.data)
                if isinstance(decoded, Err):
                    await socket.close(code=1008, message=decoded.err_value[:100].encode())
                    break
                self.member.execute(connection_id, decoded.ok_value, self._clock.now_ms())
                self.advance()
        finally:
            self._sockets.pop(connection_id, None)
            self.member.close(connection_id)
            self.advance()
        return socket

    def _send(self, connection_id: int, data: bytes) -> None:
        socket = self._sockets.get(connection_id)
        if socket is None:
            return
        task = asyncio.create_task(self._async_send(socket, data))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_send(self, socket: web.WebSocketResponse, data: bytes) -> None:
        await self._injector.async_before_answer()
        if self._injector.consume_answer_loss():
            await socket.close(code=1011)
            return
        try:
            await socket.send_str(data.decode())
        except (ConnectionError, RuntimeError):
            return

    async def _async_control(self, request: web.Request) -> web.Response:
        name = request.match_info["operation"]
        if name == OPERATION_LEAVE:
            self.member.leaving = True
            return _reply(self.member.status(self._clock.now_ms()))
        kind = OPERATIONS.get(name)
        if kind is None:
            return web.Response(status=404, text=f"unknown operation {name}")
        body = await request.read()
        decoded = decode_message(kind, body or b"{}")
        if isinstance(decoded, Err):
            return web.Response(status=400, text=decoded.err_value)
        operation: ControlOperation = decoded.ok_value
        if isinstance(operation, AwaitConfirmed):
            return _reply(await self._async_await_confirmed(operation))
        reply = self.member.control(operation, self._clock.now_ms())
        self.advance()
        return _reply(reply)

    async def _async_await_confirmed(self, operation: AwaitConfirmed) -> MemberStatus:
        end_ms = self._clock.now_ms() + operation.wait_ms
        round_number = self.member.begin_wait(operation)
        if round_number:
            self.notify()
        while not self.member.is_wait_finished(operation, round_number):
            if self._clock.now_ms() >= end_ms:
                break
            await self.async_wait_changed(end_ms)
        return self.member.answer_wait(operation, round_number, self._clock.now_ms())

    async def _async_entries(self, request: web.Request) -> web.Response:
        decoded = decode_message(PullEntries, await request.read())
        if isinstance(decoded, Err):
            return web.Response(status=400, text=decoded.err_value)
        pull = decoded.ok_value
        start_ms = self._clock.now_ms()
        batch = self._answer_pull(pull, start_ms)
        self.notify()
        end_ms = start_ms + PULL_WAIT_MS
        while batch is not None and not has_updates(pull, batch):
            if self._clock.now_ms() >= end_ms or self.is_isolated:
                break
            await self.async_wait_changed(end_ms)
            batch = self._answer_pull(pull, start_ms)
        if batch is None:
            return web.Response(status=409, text="not the primary of this term")
        return web.Response(body=encode_message(batch), content_type="application/json")

    def _answer_pull(self, pull: PullEntries, start_ms: int) -> EntryBatch | None:
        """Answer a pull; wake the waiting tasks when it advances the confirmed index."""
        now_ms = self._clock.now_ms()
        before = self.member.confirmed_index
        batch = self.member.answer_pull(pull, now_ms, now_ms - start_ms)
        if self.member.confirmed_index != before:
            self.notify()
        return batch

    async def _async_close_sockets(self, _: web.Application) -> None:
        for socket in list(self._sockets.values()):
            await socket.close(code=1001)

    def _apply_faults(self, faults: Faults) -> None:
        self.member.lag_ms = faults.lag_ms
        self.member.queue.stuck = faults.stuck
        if faults.refused:
            for socket in list(self._sockets.values()):
                task = asyncio.create_task(_async_close(socket))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        self.advance()


async def _async_close(socket: web.WebSocketResponse) -> None:
    await socket.close(code=1011)


def _reply(reply: ControlReply) -> web.Response:
    return web.Response(body=encode_message(reply), content_type="application/json")
