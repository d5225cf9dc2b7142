"""Program `burdockrun-endpoint`: stand-in for one database member."""

import argparse
import asyncio
import random
import sys
from collections.abc import Sequence

from burdockrun_base import Application, set_up_logs

from burdockrun_endpoint.command_line import make_parser, parse_count
from burdockrun_endpoint.const import (
    DEFAULT_CONNECTIONS,
    DEFAULT_OPEN_MS,
    DEFAULT_SERVICE_MS,
    DEFAULT_SLOTS,
    EVENT_LISTENING,
    EVENT_STOPPED,
    EXIT_CANNOT_LISTEN,
    EXIT_STOPPED,
)
from burdockrun_endpoint.member import DatabaseMember
from burdockrun_endpoint.member_server import MemberServer
from burdockrun_endpoint.puller import async_pull_entries
from burdockrun_endpoint.server import async_listen


def main(argv: Sequence[str] | None = None) -> int:
    """Run the stand-in until SIGTERM and return the exit status."""
    parser = make_parser("burdockrun-endpoint", "Stand-in for one database member.")
    parser.add_argument("--name", required=True)
    parser.add_argument("--domain", required=True, help="failure domain")
    parser.add_argument("--control-port", type=parse_count, required=True)
    for option, default, text in (
        ("--slots", DEFAULT_SLOTS, "maximum number of statements in service at once"),
        ("--service-ms", DEFAULT_SERVICE_MS, "mean service time of a statement"),
        ("--open-ms", DEFAULT_OPEN_MS, "time to open a data connection"),
        ("--connections", DEFAULT_CONNECTIONS, "maximum number of data connections"),
    ):
        help_text = f"{text} (default {default})"
        parser.add_argument(option, type=parse_count, default=default, help=help_text)
    return asyncio.run(_async_run(parser.parse_args(argv)))


async def _async_run(arguments: argparse.Namespace) -> int:
    application = Application(events=set_up_logs(arguments.log_format))
    application.handle_signals()
    member = DatabaseMember(
        arguments.name,
        arguments.domain,
        max(1, arguments.slots),
        arguments.service_ms,
        random.Random(arguments.name),
        connections=arguments.connections,
    )
    server = MemberServer(member, application.clock, application.events, open_ms=arguments.open_ms)
    host = arguments.host
    try:
        port = await async_listen(application, server.make_data_app(), host, arguments.port)
        control_port = await async_listen(
            application, server.make_control_app(), host, arguments.control_port
        )
    except OSError as error:
        print(f"{host}: {error}", file=sys.stderr)
        await application.async_unload()
        return EXIT_CANNOT_LISTEN
    pull_task = asyncio.create_task(async_pull_entries(server, application.clock))
    application.events.write(
        EVENT_LISTENING, name=member.name, host=host, port=port, control_port=control_port
    )
    await application.async_run()
    pull_task.cancel()
    application.events.write(EVENT_STOPPED, name=member.name)
    return EXIT_STOPPED
