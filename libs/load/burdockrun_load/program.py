"""Program `burdockrun-load`."""

import argparse
import asyncio
import contextlib
import json
import random
import sys
from collections.abc import Sequence
from pathlib import Path

import aiohttp
from burdockrun_base import EventLog, set_up_logs
from result import Err

from burdockrun_load.arguments import build_parser
from burdockrun_load.const import (
    EVENT_INTERNAL_FAULT,
    EVENT_LOAD_FINISHED,
    EVENT_LOAD_STARTED,
    EVENT_TARGET_UNREACHABLE,
    EXIT_BAD_INPUT,
    EXIT_DONE,
    EXIT_UNREACHABLE,
    EXIT_VIOLATION,
)
from burdockrun_load.direct import DirectTarget
from burdockrun_load.driver import Driver
from burdockrun_load.primaries import PrimaryTracker
from burdockrun_load.recorder import Recorder
from burdockrun_load.report import write_report
from burdockrun_load.scenario import Scenario, load_scenario
from burdockrun_load.sessions import SessionPool
from burdockrun_load.streams import ProxyTarget, Target


def main(argv: Sequence[str] | None = None) -> int:
    """Run the load program and return its exit status."""
    arguments = build_parser().parse_args(argv)
    if not arguments.proxies and arguments.direct is None:
        print("--proxies or --direct is missing", file=sys.stderr)
        return EXIT_BAD_INPUT
    scenario = load_scenario(arguments.scenario)
    if isinstance(scenario, Err):
        print(scenario.err_value, file=sys.stderr)
        return EXIT_BAD_INPUT
    events = set_up_logs(arguments.log_format, without_prefix=True)
    try:
        return asyncio.run(_async_run(arguments, scenario.ok_value, events))
    except KeyboardInterrupt:
        return EXIT_UNREACHABLE
    except Exception as error:
        events.write(EVENT_INTERNAL_FAULT, fault=type(error).__name__, reason=str(error))
        return EXIT_UNREACHABLE


async def _async_run(arguments: argparse.Namespace, scenario: Scenario, events: EventLog) -> int:
    runs: dict[str, Recorder] = {}
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        program = _LoadProgram(arguments, scenario, session, events)
        targets = program.list_targets()
        for name, target in targets:
            recorder = await program.async_drive(name, target)
            if recorder is not None:
                runs[name] = recorder
    if not runs:
        return EXIT_UNREACHABLE
    mode = f"closed {arguments.closed}" if arguments.closed else "open"
    report = write_report(Path(arguments.report), scenario, mode, runs)
    print(json.dumps(report))
    if any(recorder.violations for recorder in runs.values()):
        return EXIT_VIOLATION
    return EXIT_DONE if len(runs) == len(targets) else EXIT_UNREACHABLE


class _LoadProgram:
    """Runs the scenario against each target of the command line."""

    def __init__(
        self,
        arguments: argparse.Namespace,
        scenario: Scenario,
        session: aiohttp.ClientSession,
        events: EventLog,
    ) -> None:
        self._arguments = arguments
        self._scenario = scenario
        self._session = session
        self._events = events

    def list_targets(self) -> list[tuple[str, Target]]:
        """Return the targets of the command line with their names: proxies, member, or both."""
        arguments = self._arguments
        targets: list[tuple[str, Target]] = []
        if arguments.proxies:
            proxies = ProxyTarget(
                arguments.proxies, arguments.connections, self._session, self._events
            )
            targets.append(("proxy", proxies))
        if arguments.direct:
            direct = DirectTarget(
                arguments.direct,
                connections=arguments.direct_connections,
                term=arguments.direct_term,
                session=self._session,
                events=self._events,
            )
            targets.append(("direct", direct))
        return targets

    async def async_drive(self, name: str, target: Target) -> Recorder | None:
        """Run the scenario against a target; return None when it cannot be reached."""
        if not await target.async_open():
            self._events.write(EVENT_TARGET_UNREACHABLE, target=name)
            return None
        # Keys and request ids must differ from those of earlier runs against the same databases.
        run_id = f"{random.SystemRandom().getrandbits(48):012x}"
        proxies = self._arguments.proxies if name == "proxy" else []
        primaries = PrimaryTracker(proxies, self._session)
        pool = SessionPool(self._scenario, max(1, len(proxies)), run_id)
        driver = Driver(self._scenario, target, pool, primaries, self._events)
        for address in proxies:
            await primaries.async_poll(address)
        polling = asyncio.create_task(primaries.async_run())
        self._events.write(EVENT_LOAD_STARTED, target=name, run=run_id)
        if self._arguments.closed:
            await driver.async_run_closed(self._arguments.closed, self._scenario.duration_ms)
        else:
            await driver.async_run_open()
        self._events.write(EVENT_LOAD_FINISHED, target=name, run=run_id)
        polling.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await polling
        await target.async_close()
        return driver.recorder


if __name__ == "__main__":
    sys.exit(main())
