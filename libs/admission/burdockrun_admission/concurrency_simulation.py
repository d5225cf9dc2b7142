"""Virtual-time simulation of homes that share one member with a limit of concurrency each."""

import heapq
import math
import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final, Self

from burdockrun_admission.models import Outcome, WorkKind, WorkLimit

# Kinds in the order of their ranks, with mean work, target and share of the statements.
KINDS: Final = (
    WorkKind(rank="short", writes=True),
    WorkKind(rank="middle", writes=False),
    WorkKind(rank="long", writes=False),
)
WORK_MS: Final = (6.0, 18.0, 30.0)
TARGET_MS: Final = (100.0, 200.0, 400.0)
KIND_SHARES: Final = (0.3, 0.4, 0.3)
MEAN_WORK_MS: Final = sum(w * s for w, s in zip(WORK_MS, KIND_SHARES, strict=True))
SPREAD: Final = 0.5
# Part of the time limit after which a statement that has not been sent is refused.
MAX_WAIT_MS: Final = 1_000.0
MEMBER_QUEUE: Final = 32
ROUND_TRIP_MS: Final = 0.6
SAMPLE_MS: Final = 50
QUIET_LOAD: Final = 0.3


@dataclass(frozen=True, kw_only=True, slots=True)
class ConcurrencyScenario:
    """Load in multiples of the healthy capacity, and what happens to the member.

    For the first `quiet_ms` the load is `QUIET_LOAD` at most.
    `slow` and `slow_kind` are periods `(from_ms, to_ms, factor)`, the latter for the middle kind.
    With `crowding`, a statement takes `1 + crowding * (n - 2)` times as long with n in progress.
    A flapping member runs for `flap_ms` and then stands still for as long.
    """

    name: str
    load: float
    quiet_ms: int = 4_000
    slots: int = 4
    real_slots: int = 4
    homes: int = 1
    slow: tuple[tuple[int, int, float], ...] = ()
    slow_kind: tuple[tuple[int, int, float], ...] = ()
    crowding: float = 0.0
    flap_ms: int = 0
    duration_ms: int = 24_000


@dataclass(kw_only=True, slots=True)
class KindResult:
    """Counts of one kind; `times_ms` of what was answered, from the arrival at the home."""

    offered: int = 0
    in_target: int = 0
    late: int = 0
    refused: int = 0
    times_ms: list[float] = field(default_factory=list)

    @classmethod
    def join(cls, results: Sequence[Self]) -> Self:
        """Return the sum of several results."""
        return cls(
            offered=sum(result.offered for result in results),
            in_target=sum(result.in_target for result in results),
            late=sum(result.late for result in results),
            refused=sum(result.refused for result in results),
            times_ms=sorted(time for result in results for time in result.times_ms),
        )

    def describe_shares(self) -> dict[str, float]:
        """Return the shares of the offered statements."""
        counts = {"in_target": self.in_target, "late": self.late, "refused": self.refused}
        return {name: round(count / max(1, self.offered), 4) for name, count in counts.items()}

    def describe_times(self) -> dict[str, float]:
        """Return share in target, mean and 99th percentile of the answer times in ms."""
        times = self.times_ms or [math.nan]
        return {
            "in_target": round(self.in_target / max(1, self.offered), 4),
            "mean_ms": round(sum(times) / len(times), 1),
            "p99_ms": round(times[int(len(times) * 0.99)], 1),
        }


@dataclass(frozen=True, kw_only=True, slots=True)
class _Statement:
    number: int
    kind: int
    home: int
    arrived_ms: float
    work_ms: float


class ConcurrencySimulation:
    """One run; the same seed gives the same arrivals and the same work."""

    def __init__(
        self, scenario: ConcurrencyScenario, limits: Sequence[WorkLimit], seed: int
    ) -> None:
        self.results = {kind: KindResult() for kind in KINDS}
        self.limits: list[tuple[float, int]] = []
        self.by_home: list[list[int]] = [[] for _ in limits]
        self._scenario = scenario
        self._homes = limits
        self._rng = random.Random(f"work {seed}")
        self._waiting = [tuple(deque[_Statement]() for _ in KINDS) for _ in limits]
        self._running = [0] * len(limits)
        self._member_queue: deque[_Statement] = deque()
        self._in_service = 0
        self._events: list[tuple[float, int, str, _Statement | None]] = []
        self._sequence = 0

    def run(self) -> None:
        """Run until all statements have been answered or refused."""
        self._draw_arrivals()
        for sample_ms in range(0, self._scenario.duration_ms, SAMPLE_MS):
            self._push(float(sample_ms), "sample", None)
        while self._events:
            at_ms, _, event, statement = heapq.heappop(self._events)
            if statement is None:
                self.limits.append((at_ms, sum(home.limit for home in self._homes)))
                for values, home in zip(self.by_home, self._homes, strict=True):
                    values.append(home.limit)
                continue
            if event == "arrive":
                self._waiting[statement.home][statement.kind].append(statement)
                self.results[KINDS[statement.kind]].offered += 1
            elif event == "member":
                self._reach_member(statement, at_ms)
            elif event == "served":
                self._in_service -= 1
                self._push(at_ms + ROUND_TRIP_MS / 2, "answer", statement)
                self._serve(at_ms)
            else:
                self._answer(statement, at_ms, event)
            self._send(statement.home, at_ms)

    def _draw_arrivals(self) -> None:
        scenario = self._scenario
        at_ms = 0.0
        while at_ms < scenario.duration_ms:
            quiet = at_ms < scenario.quiet_ms
            load = min(QUIET_LOAD, scenario.load) if quiet else scenario.load
            at_ms += self._rng.expovariate(load * scenario.slots / MEAN_WORK_MS)
            kind = self._rng.choices(range(len(KINDS)), KIND_SHARES)[0]
            mean_log = math.log(WORK_MS[kind]) - SPREAD**2 / 2
            statement = _Statement(
                number=self._sequence,
                kind=kind,
                home=self._rng.randrange(len(self._homes)),
                arrived_ms=at_ms,
                work_ms=self._rng.lognormvariate(mean_log, SPREAD),
            )
            self._push(at_ms, "arrive", statement)

    def _send(self, home: int, now_ms: float) -> None:
        """Send statements of a home up to its limit, the most urgent kind first."""
        limit = self._homes[home]
        while (statement := self._find_next(home, now_ms)) is not None:
            if self._running[home] >= limit.limit:
                return
            self._waiting[home][statement.kind].popleft()
            self._running[home] += 1
            queued = any(self._waiting[home])
            limit.start(statement.number, KINDS[statement.kind], int(now_ms), queued=queued)
            self._push(now_ms + ROUND_TRIP_MS / 2, "member", statement)

    def _find_next(self, home: int, now_ms: float) -> _Statement | None:
        for kind, queue in enumerate(self._waiting[home]):
            while queue and now_ms - queue[0].arrived_ms > MAX_WAIT_MS:
                queue.popleft()
                self.results[KINDS[kind]].refused += 1
            if queue:
                return queue[0]
        return None

    def _reach_member(self, statement: _Statement, now_ms: float) -> None:
        if len(self._member_queue) >= MEMBER_QUEUE:
            self._push(now_ms + ROUND_TRIP_MS / 2, "not run", statement)
            return
        self._member_queue.append(statement)
        self._serve(now_ms)

    def _serve(self, now_ms: float) -> None:
        while self._member_queue and self._in_service < self._scenario.real_slots:
            statement = self._member_queue.popleft()
            self._in_service += 1
            service_ms = statement.work_ms * self._find_slowness(statement.kind, now_ms)
            self._push(self._find_end(now_ms, service_ms), "served", statement)

    def _find_slowness(self, kind: int, now_ms: float) -> float:
        scenario = self._scenario
        in_progress = self._in_service + len(self._member_queue)
        factor: float = 1.0 + scenario.crowding * max(0, in_progress - 2)
        periods = scenario.slow + (scenario.slow_kind if kind == 1 else ())
        for from_ms, to_ms, slowness in periods:
            if from_ms <= now_ms < to_ms:
                factor *= slowness
        return factor

    def _find_end(self, now_ms: float, service_ms: float) -> float:
        flap_ms = self._scenario.flap_ms
        if not flap_ms:
            return now_ms + service_ms
        while True:
            phase_ms = now_ms % (2 * flap_ms)
            if phase_ms >= flap_ms:
                now_ms += 2 * flap_ms - phase_ms
                phase_ms = 0.0
            if service_ms <= flap_ms - phase_ms:
                return now_ms + service_ms
            service_ms -= flap_ms - phase_ms
            now_ms += flap_ms - phase_ms

    def _answer(self, statement: _Statement, now_ms: float, event: str) -> None:
        result = self.results[KINDS[statement.kind]]
        self._running[statement.home] -= 1
        done = event == "answer"
        outcome = Outcome.DONE if done else Outcome.NOT_RUN
        self._homes[statement.home].finish(statement.number, int(now_ms), outcome)
        if not done:
            result.refused += 1
            return
        time_ms = now_ms - statement.arrived_ms
        result.times_ms.append(time_ms)
        if time_ms <= TARGET_MS[statement.kind]:
            result.in_target += 1
        else:
            result.late += 1

    def _push(self, at_ms: float, event: str, statement: _Statement | None) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_ms, self._sequence, event, statement))
