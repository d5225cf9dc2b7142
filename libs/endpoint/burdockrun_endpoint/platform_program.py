"""Program `burdockrun-platform`: stand-in for the platform on one HTTP port."""

import argparse
import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

from burdockrun_base import Application, set_up_logs
from burdockrun_messages import VmEntry, decode_union
from result import Err, Ok, Result

from burdockrun_endpoint.command_line import make_parser
from burdockrun_endpoint.const import (
    EVENT_LISTENING,
    EVENT_STOPPED,
    EXIT_CANNOT_LISTEN,
    EXIT_STOPPED,
    EXIT_USAGE,
)
from burdockrun_endpoint.platform_server import PlatformServer
from burdockrun_endpoint.server import async_listen


def main(argv: Sequence[str] | None = None) -> int:
    """Run the stand-in until SIGTERM and return the exit status."""
    parser = make_parser("burdockrun-platform", "Stand-in for the platform.")
    parser.add_argument("--vms", type=Path, help="JSON file with the list of VMs")
    arguments = parser.parse_args(argv)
    vms = _read_vms(arguments.vms)
    if isinstance(vms, Err):
        print(f"{arguments.vms}: {vms.err_value}", file=sys.stderr)
        return EXIT_USAGE
    return asyncio.run(_async_run(arguments, vms.ok_value))


def _read_vms(path: Path | None) -> Result[tuple[VmEntry, ...], str]:
    if path is None:
        return Ok(())
    try:
        return decode_union(tuple[VmEntry, ...], path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        return Err(str(error))


async def _async_run(arguments: argparse.Namespace, vms: tuple[VmEntry, ...]) -> int:
    application = Application(events=set_up_logs(arguments.log_format))
    application.handle_signals()
    server = PlatformServer(vms, application.clock, application.events)
    expiry_task = asyncio.create_task(server.async_expire())
    try:
        port = await async_listen(application, server.make_app(), arguments.host, arguments.port)
    except OSError as error:
        print(f"{arguments.host}:{arguments.port}: {error}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    application.events.write(EVENT_LISTENING, host=arguments.host, port=port)
    await application.async_run()
    expiry_task.cancel()
    application.events.write(EVENT_STOPPED)
    return EXIT_STOPPED
