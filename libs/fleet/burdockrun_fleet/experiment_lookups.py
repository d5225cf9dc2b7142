"""Processor time of single operations on one node of a measured fleet."""

from collections.abc import Callable
from dataclasses import replace

from burdockrun_messages import Database, Member, RosterPush, TicketRecord, TicketsPush

from burdockrun_fleet.experiment_fleet import MeasuredFleet
from burdockrun_fleet.experiment_load import make_ticket
from burdockrun_fleet.meter import read_processor_s
from burdockrun_fleet.rosters import next_generation

_ROUNDS = 20


def measure_lookups(fleet: MeasuredFleet) -> dict[str, object]:
    """Time what a node does for each request, each ticket and each change of its roster.

    The node receives a ticket and a roster that the other nodes lack, so this must run last.
    """
    node = fleet.nodes[0]
    agent, now_ms = node.agent, fleet.simulation.now_ms
    services = agent.configuration.services.values()
    pairs = [(d, m) for s in services for d in s.databases for m in d.members]
    number = agent.configuration.number + 1
    ticket = TicketRecord(number=number, text=make_ticket(number, range(10)))
    roster = agent.rosters[node.info.domain]
    fewer = tuple(info for info in roster.nodes if info != fleet.nodes[4].info)
    change = replace(next_generation(roster, roster.domain, fewer), nodes=(), delta=True)
    push = TicketsPush(tickets=(ticket,))
    rosters = RosterPush(rosters=(change,))
    return {
        "find_home_us": round(_time_us(lambda d, m: agent.find_home(m), pairs), 2),
        "budget_us": round(_time_us(lambda d, m: agent.connection_budget(d, m, now_ms), pairs), 2),
        "ticket_cpu_ms": _time_ms(lambda: agent.receive("peer", push, now_ms)),
        "roster_cpu_ms": _time_ms(lambda: agent.receive("peer", rosters, now_ms)),
    }


def _time_us(
    call: Callable[[Database, Member], object], pairs: list[tuple[Database, Member]]
) -> float:
    started_s = read_processor_s()
    for _ in range(_ROUNDS):
        for database, member in pairs:
            call(database, member)
    return 1e6 * (read_processor_s() - started_s) / (_ROUNDS * len(pairs))


def _time_ms(call: Callable[[], object]) -> float:
    started_s = read_processor_s()
    call()
    return round(1_000 * (read_processor_s() - started_s), 2)
