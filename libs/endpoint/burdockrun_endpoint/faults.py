"""Faults that tests inject into the stand-in programs."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Annotated

from aiohttp import web
from burdockrun_base import EventLog
from burdockrun_messages import decode_message
from pydantic import Field
from result import Err

from burdockrun_endpoint.const import EVENT_FAULTS_SET, FAULTS_PATH

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
Count = Annotated[int, Field(ge=0)]


@dataclass(frozen=True, kw_only=True, slots=True)
class Faults:
    """Body of `POST /v1/faults`; each call replaces all faults.

    `delay_ms` delays each operation, `lose_answers` is how many of the next answers are lost after
    the operation has taken effect, `paused` holds back new operations, statement answers and the
    pulls of a replica, `refused` breaks every connection and stops these pulls (a partition),
    `lag_ms` delays replication, `stuck` keeps statements from ending, `stale_list_ms` is the age of
    the VM list that `ListVms` returns, `leaving` names VMs that the list marks as leaving.
    """

    delay_ms: Count = 0
    lose_answers: Count = 0
    paused: bool = False
    refused: bool = False
    lag_ms: Count = 0
    stuck: bool = False
    stale_list_ms: Count = 0
    leaving: tuple[str, ...] = ()


class FaultInjector:
    """Applies the current faults to every route except `POST /v1/faults`."""

    def __init__(self, events: EventLog, on_change: Callable[[Faults], None]) -> None:
        self.faults = Faults()
        self._events = events
        self._on_change = on_change
        self._answers_to_lose = 0
        self._resumed = asyncio.Event()
        self._resumed.set()

    def add_routes(self, app: web.Application) -> None:
        """Add `POST /v1/faults` to an application."""
        app.router.add_post(FAULTS_PATH, self._async_set)

    @web.middleware
    async def async_middleware(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Apply the faults to one request; an answer is lost by aborting the connection."""
        if request.path == FAULTS_PATH:
            return await handler(request)
        if not await self.async_before_operation():
            return break_connection(request)
        response = await handler(request)
        if isinstance(response, web.Response) and self.consume_answer_loss():
            return break_connection(request)
        return response

    async def async_before_operation(self) -> bool:
        """Apply pause and delay before an operation; return whether it may run."""
        await self._resumed.wait()
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1_000)
        return not self.faults.refused

    async def async_before_answer(self) -> None:
        """Hold back an answer while the stand-in is paused."""
        await self._resumed.wait()

    def consume_answer_loss(self) -> bool:
        """Return whether to lose the next answer; if so, decrement the number of losses to come."""
        if self._answers_to_lose == 0:
            return False
        self._answers_to_lose -= 1
        return True

    async def _async_set(self, request: web.Request) -> web.Response:
        decoded = decode_message(Faults, await request.read())
        if isinstance(decoded, Err):
            return web.Response(status=400, text=decoded.err_value)
        self.faults = decoded.ok_value
        self._answers_to_lose = self.faults.lose_answers
        if self.faults.paused:
            self._resumed.clear()
        else:
            self._resumed.set()
        self._events.write(EVENT_FAULTS_SET, faults=self.faults)
        self._on_change(self.faults)
        return web.Response(text="ok")


def break_connection(request: web.Request) -> web.Response:
    """Abort the connection of a request; the returned response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)
