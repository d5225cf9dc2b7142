"""Ports of the gateway, which another program may still hold when it starts."""

import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from burdockrun_base import Application
from result import Err, Ok, Result

from burdockrun_gateway import const
from burdockrun_gateway.const import PORT_GIVEN_UP, PORT_HELD, PORT_OPENED, PORT_RETRY_MS


@dataclass(frozen=True, kw_only=True, slots=True)
class ListeningPort:
    """Port that the gateway listens on.

    `open_socket` listens, or raises OSError or ValueError; `async_serve` then serves the socket.
    `setting` names the setting of the port.
    """

    host: str
    number: int
    transport: str
    purpose: str
    setting: str
    open_socket: Callable[[str, int], socket.socket]
    async_serve: Callable[[socket.socket], Awaitable[None]]


@dataclass(frozen=True, kw_only=True, slots=True)
class PortFault:
    """Port that could not be opened in time."""

    port: ListeningPort
    error: str

    def __str__(self) -> str:
        """Return the fault as one line of text, with what to change."""
        port = self.port
        return (
            f"cannot listen on {port.transport} {port.host}:{port.number} ({port.purpose}): "
            f"{self.error}; end the program that holds the port, or change {port.setting}"
        )


async def async_open_port(app: Application, port: ListeningPort) -> Result[None, PortFault]:
    """Serve a port, and try again for `PORT_WAIT_LIMIT_MS` while it cannot be opened.

    The result is also Ok if the program is asked to stop meanwhile.
    """
    return await _async_open(app, port, app.clock.now_ms() + const.PORT_WAIT_LIMIT_MS)


async def async_open_optional_port(app: Application, port: ListeningPort) -> None:
    """Serve a port, and try again until the program stops while it cannot be opened."""
    await _async_open(app, port, None)


async def _async_open(
    app: Application, port: ListeningPort, end_ms: int | None
) -> Result[None, PortFault]:
    started_ms = app.clock.now_ms()
    details = {"purpose": port.purpose, "transport": port.transport, "port": port.number}
    held = False
    while True:
        try:
            opened = port.open_socket(port.host, port.number)
        except (OSError, ValueError) as error:
            fault = PortFault(port=port, error=getattr(error, "strerror", None) or str(error))
        else:
            break
        if end_ms is not None and app.clock.now_ms() >= end_ms:
            app.events.write(PORT_GIVEN_UP, **details, error=fault.error, setting=port.setting)
            return Err(fault)
        if not held:
            app.events.write(PORT_HELD, **details, error=fault.error, setting=port.setting)
        held = True
        if await app.async_wait_for_stop(PORT_RETRY_MS):
            return Ok(None)
    await port.async_serve(opened)
    if held:
        app.events.write(PORT_OPENED, **details, held_ms=app.clock.now_ms() - started_ms)
    return Ok(None)
