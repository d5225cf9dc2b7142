"""Program `burdockrunctl`."""

import argparse
import asyncio
import contextlib
import os
import sys
from collections.abc import Sequence

import aiohttp
from burdockrun_base import EventLog, set_up_logs
from burdockrun_platform import PlatformClient

from burdockrun_control.arguments import build_parser
from burdockrun_control.audit import async_run_audit
from burdockrun_control.const import (
    EVENT_INTERNAL_FAULT,
    EXIT_BAD_INPUT,
    EXIT_DONE,
    EXIT_UNREACHABLE,
    FORMAT_JSON,
)
from burdockrun_control.explain import run_explain
from burdockrun_control.files import (
    async_run_ticket_check,
    run_settings_check,
    run_ticket_check,
)
from burdockrun_control.output import Output
from burdockrun_control.route import RouteOptions, async_run_route
from burdockrun_control.status import async_run_status
from burdockrun_control.store_reader import StoreReader
from burdockrun_control.submit import SubmitOptions, Submitter
from burdockrun_control.tickets import async_run_in_force, async_run_list


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit status."""
    arguments = build_parser().parse_args(argv)
    _escape_unencodable_output()
    events = set_up_logs(arguments.log_format, without_prefix=True)
    try:
        return _run(arguments, events)
    except BrokenPipeError:
        # The reader has closed the pipe; the flush at exit must not raise again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_DONE
    except KeyboardInterrupt:
        return EXIT_DONE
    except Exception as error:
        events.write(EVENT_INTERNAL_FAULT, fault=type(error).__name__, reason=str(error))
        return EXIT_UNREACHABLE


def _escape_unencodable_output() -> None:
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(AttributeError):
            stream.reconfigure(errors="backslashreplace")  # type: ignore[union-attr]


def _run(arguments: argparse.Namespace, events: EventLog) -> int:
    output = Output(FORMAT_JSON if getattr(arguments, "json", False) else arguments.format)
    command = (arguments.group, getattr(arguments, "action", None))
    if command == ("ticket", "check") and arguments.platform is None:
        return run_ticket_check(arguments.file, output)
    if command == ("explain", None):
        return run_explain(arguments.log, arguments.request, arguments.around_ms, output)
    if command == ("settings", "check"):
        return run_settings_check(arguments.file, output)
    asks_node = command in (("status", None), ("route", None))
    if not asks_node and arguments.platform is None:
        output.write(
            "--platform HOST:PORT is missing", {"result": "bad input", "missing": "--platform"}
        )
        return EXIT_BAD_INPUT
    return asyncio.run(_async_run(command, arguments, output, events))


def _read_route_options(arguments: argparse.Namespace) -> RouteOptions:
    return RouteOptions(
        node=arguments.node,
        database=arguments.database,
        account=arguments.account,
        kind=arguments.kind,
        item=arguments.item,
        after=arguments.after or "",
        timeout_ms=arguments.timeout_ms,
    )


async def _async_run(
    command: tuple[str, str | None],
    arguments: argparse.Namespace,
    output: Output,
    events: EventLog,
) -> int:
    async with aiohttp.ClientSession() as session:
        if command == ("status", None):
            return await async_run_status(arguments.proxy, session, arguments.timeout_ms, output)
        if command == ("route", None):
            return await async_run_route(_read_route_options(arguments), session, output)
        platform = PlatformClient(f"http://{arguments.platform}", session)
        reader = StoreReader(platform)
        if command == ("ticket", "check"):
            return await async_run_ticket_check(arguments.file, platform, output)
        if command == ("ticket", "submit"):
            options = SubmitOptions(
                file=arguments.file,
                timeout_ms=arguments.timeout_ms,
                submission_id=arguments.submission_id,
                wait_in_force_ms=arguments.wait_in_force_ms,
            )
            return await Submitter(platform, output, events).async_run(options)
        if command == ("ticket", "in-force"):
            return await async_run_in_force(reader, output, arguments.number)
        if command == ("ticket", "list"):
            return await async_run_list(reader, output, arguments.last)
        return await async_run_audit(reader, output, follow=arguments.follow == "yes")


if __name__ == "__main__":
    sys.exit(main())
