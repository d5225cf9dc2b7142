"""Operators in virtual time, who submit change tickets, possibly concurrently."""

import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from burdockrun_fleet import SubmissionResult, TicketFunctions, TicketSubmission
from burdockrun_messages import CallPlatform, Outbox, PlatformAnswered, PlatformReply, Service
from burdockrun_settings import Ticket, ticket_to_json

from burdockrun_bench.const import TICK_MS
from burdockrun_bench.links import Location
from burdockrun_bench.loop import VirtualLoop
from burdockrun_bench.store_host import StoreHost

SUBMIT_DEADLINE_MS = 10_000


class Submitter:
    """Carries out ticket submissions; each operator has a link to the platform only."""

    def __init__(
        self,
        loop: VirtualLoop,
        store: StoreHost,
        rng: random.Random,
        ticket_functions: TicketFunctions,
    ) -> None:
        self._loop = loop
        self._store = store
        self._rng = rng
        self._ticket_functions = ticket_functions
        self._count = 0

    def submit(
        self, services: dict[str, Service], on_result: Callable[[SubmissionResult, int], None]
    ) -> None:
        """Submit one ticket with the full definitions of some services."""
        self._count += 1
        name = f"operator-{self._count}"
        ticket = Ticket(
            author=name, reason="soak", services=dict(services), submission_id=f"s{self._count}"
        )
        outbox = Outbox()
        finished = False

        def finish(result: SubmissionResult, now_ms: int) -> None:
            nonlocal finished
            finished = True
            self._loop.record("ticket", name, result)
            on_result(result, now_ms)

        submission = TicketSubmission(
            ticket_to_json(ticket),
            outbox,
            self._rng,
            self._ticket_functions,
            check=lambda configuration, text: "",
            deadline_ms=self._loop.now_ms + SUBMIT_DEADLINE_MS,
            on_result=finish,
        )
        location = Location(name=name, domain="operators")

        def perform() -> None:
            for action in outbox.drain():
                if isinstance(action, CallPlatform):
                    self._store.call(location, action, partial(answer, action.call_id))

        def answer(call_id: int, reply: PlatformReply) -> None:
            event = PlatformAnswered(call_id=call_id, reply=reply)
            outbox.deliver_platform_reply(event, self._loop.now_ms)
            perform()

        def tick() -> None:
            if finished:
                return
            submission.tick(self._loop.now_ms)
            perform()
            self._loop.after(TICK_MS, tick)

        tick()


def change_target(service: Service, target_ms: int) -> Service:
    """Return a service whose least urgent rank has another target latency."""
    last = replace(service.ranks[-1], target_ms=target_ms)
    return replace(service, ranks=(*service.ranks[:-1], last))


def mark_leaving(service: Service, member: str, leaving: bool) -> Service:
    """Return a service in which a member is marked as leaving or not leaving."""
    databases = tuple(
        replace(
            database,
            members=tuple(
                replace(other, leaving=leaving) if other.name == member else other
                for other in database.members
            ),
        )
        for database in service.databases
    )
    return replace(service, databases=databases)
