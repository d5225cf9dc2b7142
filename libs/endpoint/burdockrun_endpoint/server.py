"""Start and shutdown of the HTTP servers of the stand-ins."""

from aiohttp import web
from burdockrun_base import Application

_SHUTDOWN_SECONDS = 1.0


async def async_listen(application: Application, app: web.Application, host: str, port: int) -> int:
    """Serve `app` until the application unloads; return the port.

    Raises OSError when it cannot listen on the address.
    """
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=_SHUTDOWN_SECONDS)
    await runner.setup()
    application.on_unload(runner.cleanup)
    await web.TCPSite(runner, host, port).start()
    return int(runner.addresses[0][1])
