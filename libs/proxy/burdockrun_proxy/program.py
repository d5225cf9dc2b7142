"""Entry point of `burdockrun-proxy`."""

import argparse
import asyncio
import sys
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from random import Random, SystemRandom

import aiohttp
from aiohttp import web
from burdockrun_base import Application, EventLog, Metrics, SystemClock, set_up_logs
from burdockrun_fleet import TicketFunctions
from burdockrun_messages import DrainExpired, DrainRequested, NodeInfo
from burdockrun_platform import PlatformClient
from burdockrun_settings import (
    ProxySettings,
    apply_ticket,
    configuration_from_json,
    configuration_to_json,
    load_settings,
    ticket_from_json,
)
from result import Err

from burdockrun_proxy.const import PROXY_STARTED, PROXY_STOPPED, VERSION
from burdockrun_proxy.driver import NodeDriver
from burdockrun_proxy.failures import build_http_logger, handle_loop_failures
from burdockrun_proxy.node import ProxyNode
from burdockrun_proxy.server import ProxyServer

EXIT_STATUSES = (
    "exit status: 0 stopped after a drain, 1 cannot listen on its address, 2 bad settings"
)
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


def main(argv: Sequence[str] | None = None) -> int:
    """Run the proxy and return its exit status."""
    arguments = parse_arguments(argv)
    loaded = load_settings(Path(arguments.settings))
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = loaded.ok_value
    events = set_up_logs(arguments.log_format or settings.log_format, clock=SystemClock())
    try:
        return asyncio.run(async_serve(settings, events))
    except OSError as error:
        print(f"cannot listen on {settings.host}:{settings.port}: {error}", file=sys.stderr)
        return EXIT_FAILED


def parse_arguments(argv: Sequence[str] | None) -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(
        prog="burdockrun-proxy", description="Entry proxy of burdockrun.", epilog=EXIT_STATUSES
    )
    parser.add_argument("--settings", required=True, metavar="FILE", help="settings file")
    parser.add_argument("--log-format", choices=("json", "text"), help="overrides the settings")
    parser.add_argument("--version", action="version", version=f"%(prog)s {VERSION}")
    return parser.parse_args(argv)


async def async_serve(settings: ProxySettings, events: EventLog) -> int:
    """Serve until SIGTERM, then drain and return the exit status."""
    app = Application(metrics=build_metrics(settings), events=events)
    app.handle_signals()
    handle_loop_failures(app)
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    app.on_unload(session.close)
    driver = build_driver(app, settings, session)
    server = ProxyServer(app, driver)
    runner = web.AppRunner(
        server.build(), access_log=None, shutdown_timeout=1.0, logger=build_http_logger(app)
    )
    await runner.setup()
    app.on_unload(runner.cleanup)
    await web.TCPSite(runner, settings.host, settings.port, backlog=4096).start()
    driver.start()
    app.on_unload(server.async_close_streams)
    app.on_unload(lambda: async_drain(driver, settings.drain_timeout_ms))
    app.events.write(PROXY_STARTED, node=settings.node, host=settings.host, port=settings.port)
    await app.async_run()
    app.events.write(PROXY_STOPPED, node=settings.node)
    return 0


def build_metrics(settings: ProxySettings) -> Metrics:
    """Return the metrics client, which does nothing when no server is configured."""
    statsd = settings.statsd
    return Metrics(statsd.host, statsd.port, statsd.prefix) if statsd is not None else Metrics()


def build_driver(
    app: Application, settings: ProxySettings, session: aiohttp.ClientSession
) -> NodeDriver:
    """Return the driver of a proxy node built from settings."""
    node = ProxyNode(
        node=NodeInfo(
            node=settings.node, domain=settings.domain, host=settings.host, port=settings.port
        ),
        seeds=[
            NodeInfo(node=seed.node, domain=seed.domain, host=seed.host, port=seed.port)
            for seed in settings.seeds
        ],
        session_keys=settings.session_keys,
        ticket_functions=build_ticket_functions(),
        rng=Random(SystemRandom().getrandbits(64)),
        account_limit=settings.max_in_flight,
        wall_offset_ms=app.clock.wall_ms() - app.clock.now_ms(),
    )
    platform = PlatformClient(f"http://{settings.platform.host}:{settings.platform.port}", session)
    return NodeDriver(app, node, session, platform)


def build_ticket_functions() -> TicketFunctions:
    """Return the functions that read and write tickets and snapshots."""
    return TicketFunctions(
        apply=lambda configuration, text: ticket_from_json(text).map(
            partial(apply_ticket, configuration)
        ),
        dump=configuration_to_json,
        load=configuration_from_json,
    )


async def async_drain(driver: NodeDriver, timeout_ms: int) -> None:
    """Drain the node until nothing is in flight; at the timeout, answer all that still is."""
    driver.dispatch(DrainRequested())
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            await driver.drained.wait()
    except TimeoutError:
        driver.dispatch(DrainExpired())


if __name__ == "__main__":
    sys.exit(main())
