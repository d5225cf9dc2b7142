"""Simulated fleet for the measurements, with helpers that they share."""

import gc
from collections.abc import Callable, Sequence

from burdockrun_messages import PutKey

from burdockrun_fleet.experiment_load import (
    DOMAINS,
    SharedTicketFunctions,
    make_endpoint_vms,
    make_records,
    make_ticket,
)
from burdockrun_fleet.loader import ticket_key
from burdockrun_fleet.meter import Meter, read_resident_bytes
from burdockrun_fleet.simulation import SimNode, Simulation, place_nodes

MAX_NODES = 780
MAX_DATABASES = 910


class MeasuredFleet:
    """Fleet started without stored rosters, with databases in proportion to its nodes."""

    def __init__(self, size: int, seed: int) -> None:
        self.size = size
        self.databases = max(1, round(MAX_DATABASES * size / MAX_NODES))
        self.ticket_functions = SharedTicketFunctions()
        gc.collect()
        self.base_bytes = read_resident_bytes()
        self.simulation = Simulation(seed, self.ticket_functions.make())
        self.meter = Meter(self.simulation)
        self.number = 0
        for first in range(0, self.databases, 10):
            self.submit(range(first, min(first + 10, self.databases)))
        for key, value in make_records(self.databases):
            self.simulation.apply(PutKey(key=key, value=value))
        self.simulation.endpoint_vms = make_endpoint_vms(self.databases)
        infos = place_nodes(size, DOMAINS)
        for info in infos:
            self.simulation.add(info, infos[:3])

    def submit(self, databases: Sequence[int] = range(10)) -> None:
        """Commit the next ticket."""
        self.number += 1
        text = make_ticket(self.number, databases)
        self.simulation.apply(PutKey(key=ticket_key(self.number), value=text, expected_revision=0))

    def run_and_find_peak(self, duration_ms: int) -> int:
        """Run for a while and return the largest number of platform calls in one second."""
        self.simulation.calls_per_s.clear()
        self.simulation.run(duration_ms)
        return max(self.simulation.calls_per_s.values(), default=0)

    def count_ready(self) -> int:
        """Return how many nodes have the newest ticket and know all nodes."""
        return sum(
            node.agent.configuration.number == self.number
            and len(node.agent.list_nodes()) == self.size
            for node in self.simulation.nodes.values()
        )

    def wait_until(self, is_done: Callable[[], bool]) -> int:
        """Run in steps of 50 ms until `is_done`, at most 30 s; return the time taken in ms."""
        start_ms = self.simulation.now_ms
        while not is_done() and self.simulation.now_ms < start_ms + 30_000:
            self.simulation.run(50)
        return self.simulation.now_ms - start_ms

    def count_sent(self) -> tuple[int, int]:
        """Return the messages and bytes sent so far."""
        nodes = self.simulation.nodes.values()
        return sum(n.sent_messages for n in nodes), sum(n.sent_bytes for n in nodes)

    @property
    def nodes(self) -> list[SimNode]:
        """Return the running nodes."""
        return list(self.simulation.nodes.values())

    def is_coordinator(self, node: SimNode) -> bool:
        """Return whether a node coordinates its domain."""
        return node.agent.is_coordinator(node.info.domain, self.simulation.now_ms)

    def count_current(self) -> int:
        """Return how many nodes have the newest ticket."""
        return sum(node.agent.configuration.number == self.number for node in self.nodes)

    def all_current(self) -> bool:
        """Return whether all nodes have the newest ticket."""
        nodes = self.simulation.nodes.values()
        return all(node.agent.configuration.number == self.number for node in nodes)
