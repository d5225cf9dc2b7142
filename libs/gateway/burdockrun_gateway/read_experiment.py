"""Compares choices of read members in virtual time: `python -m burdockrun_gateway.read_experiment`.

One service with a primary and two replicas, one in each of three failure domains, each reached
through one home with a queue. Nodes know only what answers to their own statements tell.
"""

import argparse
import heapq
import json
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from burdockrun_base import LogPosition
from burdockrun_groups import MemberLoad, ReadOption, ReadRequest, Requirement, choose_by_load

from burdockrun_gateway.home_loads import HomeLoads
from burdockrun_gateway.ports import HomeLoad

MEMBERS = ("primary", "near", "far")
SLOTS = 4
# Mean work and one-way delay between domains of the deployments in accounts-and-load.md.
WORK_MS = 18.0
ONE_WAY_MS = 5.4
LOCAL_MS = 0.2
# Longest wait in the queue of a home.
MAX_WAIT_MS = 400.0
READ, WRITE, REFUSED = "read", "write", "refused"
_REACHED = Requirement(0, LogPosition(term=1, index=1))


@dataclass(frozen=True, kw_only=True, slots=True)
class Phase:
    """Constant load until `until_ms`; `slow` multiplies the work of members.

    `domains` are the relative loads of the failure domains.
    """

    until_ms: float
    reads_per_s: float = 240.0
    writes_per_s: float = 90.0
    slow: dict[str, float] = field(default_factory=dict)
    domains: tuple[float, float, float] = (1.0, 1.0, 1.0)


SCENARIOS: dict[str, tuple[Phase, ...]] = {
    "usual": (Phase(until_ms=30_000),),
    "burst": (
        Phase(until_ms=8_000),
        Phase(until_ms=14_000, reads_per_s=576.0, writes_per_s=216.0),
        Phase(until_ms=30_000),
    ),
    "shifted demand": (
        Phase(until_ms=8_000),
        Phase(until_ms=22_000, reads_per_s=360.0, domains=(0.1, 1.0, 0.1)),
        Phase(until_ms=30_000),
    ),
    "uneven machines": (Phase(until_ms=30_000, slow={"near": 2.0}),),
    "slow member": (
        Phase(until_ms=8_000),
        Phase(until_ms=18_000, slow={"far": 5.0}),
        Phase(until_ms=30_000),
    ),
    "hot key": (Phase(until_ms=30_000, writes_per_s=215.0),),
}


@dataclass(kw_only=True, slots=True)
class _Work:
    kind: str
    node: int
    arrived_ms: float
    sent_ms: float
    expected_ms: float
    refused_at: str = ""


@dataclass(slots=True)
class _Home:
    """Queue of one member in the order of arrival."""

    name: str
    running: int = 0
    work_ms: float = WORK_MS
    queue: deque[_Work] = field(default_factory=deque)

    def load(self) -> HomeLoad:
        full = self.running >= SLOTS
        wait_ms = self.work_ms * (len(self.queue) + 1) / SLOTS if full else 0.0
        return HomeLoad(
            wait_ms=round(wait_ms), running=self.running, limit=SLOTS, waiting=len(self.queue)
        )


@dataclass(kw_only=True, slots=True)
class Score:
    """Response times of the reads in ms by time of arrival, and counts."""

    reads: list[tuple[float, float]] = field(default_factory=list)
    writes: list[tuple[float, float]] = field(default_factory=list)
    refused: int = 0
    served: dict[str, list[float]] = field(default_factory=dict)

    def percentile(self, share: float, from_ms: float = 0.0, until_ms: float = 1e9) -> float:
        """Return a percentile of the reads that arrived in a period."""
        times = sorted(ms for at_ms, ms in self.reads if from_ms <= at_ms < until_ms)
        return round(times[min(int(share * len(times)), len(times) - 1)], 1)

    def mean(self) -> float:
        """Return the mean response time of the reads."""
        return round(sum(ms for _, ms in self.reads) / len(self.reads), 1)


class ReadSimulation:
    """One run of a scenario with `nodes` nodes and a number of compared members."""

    def __init__(self, phases: tuple[Phase, ...], *, nodes: int, samples: int, seed: int) -> None:
        self._phases = phases
        self._nodes = nodes
        self._samples = samples
        self._rng = Random(f"load {seed}")
        self._choice_rng = Random(f"choice {seed}")
        self._homes = {name: _Home(name) for name in MEMBERS}
        self._loads = [
            {name: HomeLoads(12.0 + 2 * self._delay(node, name)) for name in MEMBERS}
            for node in range(nodes)
        ]
        self._unanswered: dict[tuple[int, str], int] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._now_ms = 0.0
        self.score = Score()

    def run(self) -> Score:
        """Return the score of the run."""
        for kind in (READ, WRITE):
            self._arrive(kind, at_ms=0.0)
        while self._events:
            self._now_ms, _, call = heapq.heappop(self._events)
            call()
        return self.score

    def _after(self, delay_ms: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now_ms + delay_ms, next(self._order), call))

    def _phase(self) -> Phase:
        return next((one for one in self._phases if self._now_ms < one.until_ms), self._phases[-1])

    def _delay(self, node: int, member: str) -> float:
        return LOCAL_MS if node % 3 == MEMBERS.index(member) else ONE_WAY_MS

    def _arrive(self, kind: str, at_ms: float) -> None:
        if at_ms >= self._phases[-1].until_ms:
            return
        phase = self._phase()
        if at_ms > 0.0:
            (domain,) = self._rng.choices(range(3), phase.domains)
            node = domain + 3 * self._rng.randrange(self._nodes // 3)
            work = _Work(kind=kind, node=node, arrived_ms=at_ms, sent_ms=at_ms, expected_ms=0.0)
            self._send(work, "primary" if kind == WRITE else self._choose(work))
        rate = phase.reads_per_s if kind == READ else phase.writes_per_s
        next_ms = self._rng.expovariate(rate / 1_000)
        self._after(next_ms, lambda: self._arrive(kind, self._now_ms))

    def _choose(self, work: _Work) -> str:
        now_ms = int(self._now_ms)
        options = [
            ReadOption(
                member_id=name,
                is_primary=name == "primary",
                position=_REACHED.position,
                expected_ms=0.0,
                load=self._describe(work.node, name),
            )
            for name in MEMBERS
            if name != work.refused_at
        ]
        request = ReadRequest(required=_REACHED, replicas_allowed=True)
        choice = choose_by_load(options, request, now_ms, self._choice_rng, samples=self._samples)
        assert choice is not None
        return choice.option.member_id

    def _describe(self, node: int, name: str) -> MemberLoad:
        loads, now_ms = self._loads[node][name], int(self._now_ms)
        return MemberLoad(
            response_ms=loads.response_ms(name, now_ms),
            delay_ms=0.0 if node % 3 == MEMBERS.index(name) else 2 * ONE_WAY_MS,
            wait_ms=loads.expected_wait_ms(name, 1.0, now_ms),
            utilization=loads.utilization(name, now_ms),
            age_ms=loads.response_age_ms(name, now_ms),
            unanswered=self._unanswered.get((node, name), 0),
        )

    def _send(self, work: _Work, member: str) -> None:
        loads, now_ms = self._loads[work.node][member], int(self._now_ms)
        work.sent_ms = self._now_ms
        work.expected_ms = loads.expected_wait_ms(member, 1.0, now_ms)
        loads.note_sent(member)
        key = work.node, member
        self._unanswered[key] = self._unanswered.get(key, 0) + 1
        home = self._homes[member]
        self._after(self._delay(work.node, member), lambda: self._offer(home, work))

    def _offer(self, home: _Home, work: _Work) -> None:
        if home.running < SLOTS:
            self._start(home, work)
        elif home.load().wait_ms > MAX_WAIT_MS:
            self._answer(home, work, refused=True)
        else:
            home.queue.append(work)

    def _start(self, home: _Home, work: _Work) -> None:
        home.running += 1
        slow = self._phase().slow.get(home.name, 1.0)
        work_ms = self._rng.gammavariate(4.0, WORK_MS * slow / 4.0)
        self._after(work_ms, lambda: self._finish(home, work, work_ms))

    def _finish(self, home: _Home, work: _Work, work_ms: float) -> None:
        home.running -= 1
        home.work_ms += 0.1 * (work_ms - home.work_ms)
        self.score.served.setdefault(home.name, []).append(self._now_ms)
        if home.queue:
            self._start(home, home.queue.popleft())
        self._answer(home, work, refused=False)

    def _answer(self, home: _Home, work: _Work, *, refused: bool) -> None:
        load = home.load()

        def receive() -> None:
            loads, now_ms = self._loads[work.node][home.name], int(self._now_ms)
            self._unanswered[work.node, home.name] -= 1
            loads.note_load(home.name, load, now_ms)
            if not refused:
                duration_ms = self._now_ms - work.sent_ms
                loads.note_response(home.name, duration_ms, work.expected_ms, now_ms)
                times = self.score.reads if work.kind == READ else self.score.writes
                times.append((work.arrived_ms, self._now_ms - work.arrived_ms))
            elif work.kind == READ and not work.refused_at:
                work.refused_at = home.name
                self._send(work, self._choose(work))
            else:
                self.score.refused += 1

        self._after(self._delay(work.node, home.name), receive)


def main(argv: list[str] | None = None) -> int:
    """Print one JSON line for each scenario and number of nodes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds, from 1")
    options = parser.parse_args(argv)
    for name, phases in SCENARIOS.items():
        for nodes in (30, 300):
            report: dict[str, object] = {"scenario": name, "nodes": nodes}
            for samples in (0, 2):
                scores = [
                    ReadSimulation(phases, nodes=nodes, samples=samples, seed=seed).run()
                    for seed in range(1, options.seeds + 1)
                ]
                report["two" if samples else "least"] = [
                    (one.mean(), one.percentile(0.5), one.percentile(0.99), one.refused)
                    for one in scores
                ]
            sys.stdout.write(json.dumps(report) + "\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
