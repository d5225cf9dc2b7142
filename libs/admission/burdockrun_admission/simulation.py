"""Virtual-time simulation of the slots of one member under open-loop load."""

import heapq
import random
from dataclasses import dataclass, field
from typing import Protocol

from burdockrun_base import Rank
from result import Result

from burdockrun_admission.models import Refusal, TakeResult, Work

SLOTS = 2
SERVICE_MS = 4.0
# Gamma distribution with a coefficient of variation of 0.5.
SERVICE_SHAPE = 4.0
OUTLIER_SHARE = 0.000_2
OUTLIER_FACTOR = 20.0
# Deadlines as multiples of the target of the rank, equally likely.
DEADLINE_FACTORS = (1, 3)


class Scheduler(Protocol):
    """Part of the scheduler interface that the simulation uses."""

    def offer(self, work: Work, now_ms: int) -> Result[None, Refusal]:
        """Admit or refuse a request."""
        ...

    def take(self, now_ms: int) -> TakeResult:
        """Give a request a slot."""
        ...

    def complete(self, work_id: int, now_ms: int) -> None:
        """Free a slot."""
        ...


@dataclass(frozen=True, kw_only=True, slots=True)
class Phase:
    """Period of constant load; `loads` are the loads of each rank in multiples of the capacity."""

    duration_ms: int
    loads: tuple[float, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """Load in phases, and stops `(from_ms, to_ms)` during which the member accepts no work.

    `slowness` gives the mean service time of each rank in multiples of `SERVICE_MS`.
    """

    name: str
    phases: tuple[Phase, ...]
    stops: tuple[tuple[int, int], ...] = ()
    slowness: tuple[float, ...] = (1.0, 1.0, 1.0)

    @property
    def duration_ms(self) -> int:
        """Total length of all phases."""
        return sum(phase.duration_ms for phase in self.phases)


@dataclass(kw_only=True, slots=True)
class RankResult:
    """Counts of one rank; `busy_ms` is the slot time of the work started in each phase."""

    offered: int = 0
    admitted: int = 0
    in_target: int = 0
    busy_ms: list[float] = field(default_factory=list)


@dataclass(kw_only=True, slots=True)
class SimulationResult:
    """Outcome of one run.

    `available_ms` is the slot time of each phase without stops, `useful_ms` the slot time of work
    done before its deadline. Work in service at the start of a stop or at the end of the phases
    finishes afterwards, so the slot time used can exceed the available one by a few service times.
    """

    ranks: dict[str, RankResult]
    available_ms: list[float]
    useful_ms: float = 0.0


class Simulation:
    """One run of a scheduler under a scenario; the same seed gives the same arrivals."""

    def __init__(
        self, scheduler: Scheduler, ranks: tuple[Rank, ...], scenario: Scenario, seed: int
    ) -> None:
        self._scheduler = scheduler
        self._ranks = ranks
        self._scenario = scenario
        self._arrivals = random.Random(f"arrivals {seed}")
        self._services = random.Random(f"services {seed}")
        self._events: list[tuple[float, int, Work | None, float]] = []
        self._sequence = 0
        self._result = _make_result(ranks, scenario)
        self._slowness = {
            rank.name: factor for rank, factor in zip(ranks, scenario.slowness, strict=True)
        }
        self._targets = {rank.name: rank.target_ms for rank in ranks}

    def run(self) -> SimulationResult:
        """Run until the phases are over and all admitted work has been served or dropped."""
        self._draw_arrivals()
        for _, to_ms in self._scenario.stops:
            self._push(float(to_ms), None, 0.0)
        while self._events:
            at_ms, _, work, started_ms = heapq.heappop(self._events)
            if work is not None and started_ms >= 0.0:
                self._finish(work, started_ms, at_ms)
            elif work is not None:
                self._offer(work, at_ms)
            self._start(at_ms)
        return self._result

    def _draw_arrivals(self) -> None:
        start_ms = 0.0
        for phase in self._scenario.phases:
            for rank, load in zip(self._ranks, phase.loads, strict=True):
                rate = load * SLOTS / (SERVICE_MS * self._slowness[rank.name])
                at_ms = start_ms
                while rate and (at_ms := at_ms + self._arrivals.expovariate(rate)) < (
                    start_ms + phase.duration_ms
                ):
                    self._push(at_ms, self._draw_work(rank, at_ms), -1.0)
            start_ms += phase.duration_ms

    def _draw_work(self, rank: Rank, at_ms: float) -> Work:
        factor = self._arrivals.choice(DEADLINE_FACTORS)
        arrived_ms = int(at_ms)
        return Work(
            work_id=self._sequence,
            rank=rank.name,
            account="account",
            arrived_ms=arrived_ms,
            deadline_ms=arrived_ms + factor * rank.target_ms,
        )

    def _offer(self, work: Work, at_ms: float) -> None:
        counts = self._result.ranks[work.rank]
        counts.offered += 1
        if self._scheduler.offer(work, int(at_ms)).is_ok():
            counts.admitted += 1

    def _start(self, at_ms: float) -> None:
        if any(from_ms <= at_ms < to_ms for from_ms, to_ms in self._scenario.stops):
            return
        while (work := self._scheduler.take(int(at_ms)).work) is not None:
            service_ms = self._draw_service_ms() * self._slowness[work.rank]
            self._push(at_ms + service_ms, work, at_ms)

    def _finish(self, work: Work, started_ms: float, at_ms: float) -> None:
        self._scheduler.complete(work.work_id, int(at_ms))
        counts = self._result.ranks[work.rank]
        if at_ms <= work.arrived_ms + self._targets[work.rank]:
            counts.in_target += 1
        phase = self._find_phase(started_ms)
        if phase is None:
            return
        counts.busy_ms[phase] += at_ms - started_ms
        if at_ms <= work.deadline_ms:
            self._result.useful_ms += at_ms - started_ms

    def _find_phase(self, at_ms: float) -> int | None:
        end_ms = 0
        for number, phase in enumerate(self._scenario.phases):
            end_ms += phase.duration_ms
            if at_ms < end_ms:
                return number
        return None

    def _draw_service_ms(self) -> float:
        service_ms = self._services.gammavariate(SERVICE_SHAPE, SERVICE_MS / SERVICE_SHAPE)
        if self._services.random() < OUTLIER_SHARE:
            return service_ms * OUTLIER_FACTOR
        return service_ms

    def _push(self, at_ms: float, work: Work | None, started_ms: float) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_ms, self._sequence, work, started_ms))


def _make_result(ranks: tuple[Rank, ...], scenario: Scenario) -> SimulationResult:
    available: list[float] = []
    start_ms = 0
    for phase in scenario.phases:
        end_ms = start_ms + phase.duration_ms
        stopped_ms = sum(
            max(0, min(end_ms, to_ms) - max(start_ms, from_ms)) for from_ms, to_ms in scenario.stops
        )
        available.append(float(SLOTS * (phase.duration_ms - stopped_ms)))
        start_ms = end_ms
    results = {rank.name: RankResult(busy_ms=[0.0] * len(scenario.phases)) for rank in ranks}
    return SimulationResult(ranks=results, available_ms=available)
