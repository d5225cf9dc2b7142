"""Processor time and memory of the measuring process."""

import resource
from pathlib import Path

from burdockrun_fleet.simulation import SimNode, Simulation

_PAGE_BYTES = resource.getpagesize()


def read_processor_s() -> float:
    """Return the processor time of this process in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def read_resident_bytes() -> int:
    """Return the resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * _PAGE_BYTES


class Meter:
    """Measures the processor time that each simulated node spends on events."""

    def __init__(self, simulation: Simulation) -> None:
        self.spent_s: dict[str, float] = {}
        self._started_s = 0.0
        simulation.before_handling = self._start
        simulation.on_handled = self._stop

    def _start(self) -> None:
        self._started_s = read_processor_s()

    def _stop(self, node: SimNode) -> None:
        name = node.info.node
        self.spent_s[name] = self.spent_s.get(name, 0.0) + read_processor_s() - self._started_s
