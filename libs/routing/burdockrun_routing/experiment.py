"""Compares read routing with an oracle: `python -m burdockrun_routing.experiment [--seeds N]`."""

import argparse
import heapq
import json
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field

from burdockrun_messages import LogPosition, Member

from burdockrun_routing.models import ReadQuery
from burdockrun_routing.positions import PositionTable
from burdockrun_routing.reads import choose_read_member, estimate_catch_up_ms
from burdockrun_routing.replication import DatabaseLog, ReplicaLog
from burdockrun_routing.trace import Load, Site, Step, Trace, make_trace

SITES = {
    "bayern": Site(domains=("muc-nord", "nbg", "rgb", "aug"), one_way_ms=5.0, client_ms=3.0),
    "andes": Site(domains=("medellin-a", "bogota-b", "manizales-c"), one_way_ms=4.0, client_ms=1.0),
}
# Today's load; that of one database in two years, when an entry proxy sees less than one read of it
# per second; and today's load under the acknowledgement rule that does not wait for replicas.
LOADS = {
    "usual": Load(visits_per_s=100.0, duration_ms=180_000.0),
    "sparse": Load(visits_per_s=1.2, duration_ms=7_200_000.0),
    "primary_rule": Load(visits_per_s=100.0, duration_ms=180_000.0, by_majority=False),
}


@dataclass(kw_only=True, slots=True)
class Score:
    """Counts of one run; `behind` are round trips to replicas that could not serve."""

    reads: int = 0
    at_replica: int = 0
    waited: int = 0
    behind: int = 0
    latencies_ms: list[float] = field(default_factory=list)

    @property
    def share(self) -> float:
        """Share of the reads that replicas served."""
        return self.at_replica / self.reads


class Run:
    """One pass over a trace; a subclass decides where reads go.

    The replication of a trace depends on its writes alone, so it is the same in every pass.
    """

    def __init__(self, trace: Trace) -> None:
        self.trace = trace
        self.site = trace.site
        self.score = Score()
        self.logs = {name: self._make_log(name) for name in trace.databases}
        self._tokens: dict[tuple[int, str], int] = {}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = 0

    def run(self) -> Score:
        """Play the trace and return the counts."""
        for step in self.trace.steps:
            self.at(step.at_ms, lambda now, step=step: self._begin(step, now))  # type: ignore[misc]
        while self._events:
            at_ms, _, call = heapq.heappop(self._events)
            call(at_ms)
        return self.score

    def at(self, at_ms: float, call: Callable[[float], None]) -> None:
        """Call something at a time."""
        self._sequence += 1
        heapq.heappush(self._events, (at_ms, self._sequence, call))

    def read(self, step: Step, required: LogPosition | None, now: float) -> None:
        """Route one read."""
        raise NotImplementedError

    def satisfies(
        self, step: Step, member: Member, required: LogPosition | None, now: float
    ) -> bool:
        """Return whether a member can serve a read at a time."""
        log = self.logs[step.database]
        if required is not None and log.index_at(member.name, now) < required.index:
            return False
        return step.max_lag_ms is None or log.lag_at(member.name, now) <= step.max_lag_ms

    def answer(self, step: Step, member: Member, now: float) -> None:
        """Finish a read that a member served at a time."""
        self.score.reads += 1
        self.score.at_replica += member.name in self.logs[step.database].replicas
        back_ms = now + self.site.delay_ms(member.domain, step.domain)
        self.score.latencies_ms.append(back_ms - step.at_ms)
        index = self.logs[step.database].safe_index_at(member.name, now)
        self._advance(step, index, back_ms)

    def primary_of(self, step: Step) -> Member:
        """Return the primary of the database of a request."""
        return self.trace.databases[step.database].members[0]

    def _make_log(self, name: str) -> DatabaseLog:
        site = self.site
        rng = random.Random(f"replication {self.trace.seed} {name}")
        primary, *replicas = self.trace.databases[name].members
        logs = {
            member.name: ReplicaLog(
                site.delay_ms(primary.domain, member.domain), self.trace.load.duration_ms, rng
            )
            for member in replicas
        }
        return DatabaseLog(logs, site.one_way_ms, by_majority=self.trace.load.by_majority)

    def _begin(self, step: Step, now: float) -> None:
        if step.is_write:
            travel_ms = self.site.delay_ms(step.domain, self.primary_of(step).domain)
            self.at(now + travel_ms, lambda at_ms: self._write(step, at_ms))
            return
        index = self._tokens.get((step.session, step.database)) if step.is_bound else None
        self.read(step, None if index is None else LogPosition(term=1, index=index), now)

    def _write(self, step: Step, now: float) -> None:
        index, confirmed_ms = self.logs[step.database].append(now)
        back_ms = self.site.delay_ms(step.domain, self.primary_of(step).domain)
        self._advance(step, index, confirmed_ms + back_ms)

    def _advance(self, step: Step, index: int, back_ms: float) -> None:
        key = (step.session, step.database)

        def learn(_: float) -> None:
            self._tokens[key] = max(index, self._tokens.get(key, 0))

        self.at(back_ms + self.site.client_ms, learn)


class OracleRun(Run):
    """Knows at once whether any replica will satisfy a read when it gets there."""

    def read(self, step: Step, required: LogPosition | None, now: float) -> None:
        """Look at all replicas once the read has reached the last of them."""
        self.at(now + self.site.one_way_ms, lambda _: self._settle(step, required, now))

    def _settle(self, step: Step, required: LogPosition | None, now: float) -> None:
        primary, *replicas = self.trace.databases[step.database].members
        if required is not None or step.max_lag_ms is not None:
            for member in replicas:
                arrival_ms = now + self.site.delay_ms(step.domain, member.domain)
                if self.satisfies(step, member, required, arrival_ms):
                    self.answer(step, member, arrival_ms)
                    return
        self.answer(step, primary, now + self.site.delay_ms(step.domain, primary.domain))


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """Read on its way to a member, which may hold it back until `give_up_ms`."""

    step: Step
    required: LogPosition | None
    behind: frozenset[str]
    member: Member
    arrival_ms: float
    give_up_ms: float


class RoutedRun(Run):
    """Routes by what each entry proxy has learned from answers, without any probe."""

    def __init__(self, trace: Trace) -> None:
        super().__init__(trace)
        self._rng = random.Random(f"routing {trace.seed}")
        self._entries = {domain: PositionTable() for domain in self.site.domains}
        self._homes = PositionTable()

    def read(self, step: Step, required: LogPosition | None, now: float) -> None:
        """Choose a member and send the read there."""
        self._send(step, required, frozenset(), now)

    def _send(
        self, step: Step, required: LogPosition | None, behind: frozenset[str], now: float
    ) -> None:
        query = ReadQuery(
            database=self.trace.databases[step.database],
            primary=self.primary_of(step).name,
            required=required,
            max_lag_ms=step.max_lag_ms,
            domain=step.domain,
            unavailable=behind,
        )
        choice = choose_read_member(query, self._entries[step.domain], int(now), self._rng)
        member = choice.member or self.primary_of(step)
        arrival_ms = now + self.site.delay_ms(step.domain, member.domain)
        attempt = Attempt(
            step=step,
            required=required,
            behind=behind,
            member=member,
            arrival_ms=arrival_ms,
            give_up_ms=arrival_ms + 2 * self.site.one_way_ms,
        )
        self.at(arrival_ms, lambda at_ms: self._arrive(attempt, at_ms))

    def _arrive(self, attempt: Attempt, now: float) -> None:
        step, member = attempt.step, attempt.member
        if member == self.primary_of(step) or self.satisfies(step, member, attempt.required, now):
            self.score.waited += now > attempt.arrival_ms
            self._learn(step, member, now)
            self.answer(step, member, now)
            return
        wait_ms = self._estimate_wait(step, member, attempt.required, now)
        if wait_ms is not None and now + wait_ms <= attempt.give_up_ms:
            self.at(now + wait_ms, lambda at_ms: self._arrive(attempt, at_ms))
            return
        self.score.behind += 1
        self._learn(step, member, now)
        back_ms = now + self.site.delay_ms(member.domain, step.domain)
        excluded = attempt.behind | {member.name}
        self.at(back_ms, lambda at_ms: self._send(step, attempt.required, excluded, at_ms))

    def _estimate_wait(
        self, step: Step, member: Member, required: LogPosition | None, now: float
    ) -> int | None:
        log = self.logs[step.database]
        position = LogPosition(term=1, index=log.index_at(member.name, now))
        lag_ms = log.lag_at(member.name, now)
        if step.max_lag_ms is not None and lag_ms > step.max_lag_ms:
            return None
        self._homes.observe(step.database, member.name, position, lag_ms, int(now))
        view = self._homes.view(step.database, member.name)
        return None if view is None else estimate_catch_up_ms(view, required, int(now))

    def _learn(self, step: Step, member: Member, now: float) -> None:
        log = self.logs[step.database]
        position = LogPosition(term=1, index=log.index_at(member.name, now))
        lag_ms = log.lag_at(member.name, now)
        table = self._entries[step.domain]
        back_ms = now + self.site.delay_ms(member.domain, step.domain)
        self.at(
            back_ms,
            lambda at_ms: table.observe(step.database, member.name, position, lag_ms, int(at_ms)),
        )


def measure(site: Site, load: Load, seed: int) -> dict[str, float]:
    """Return the shares of reads served by replicas, of the oracle and as routed, on one trace."""
    trace = make_trace(site, load, seed)
    oracle, routed = OracleRun(trace).run(), RoutedRun(trace).run()
    latencies = sorted(routed.latencies_ms)
    return {
        "reads": routed.reads,
        "oracle_share": round(oracle.share, 4),
        "replica_read_share": round(routed.share, 4),
        "of_oracle": round(routed.share / oracle.share, 4),
        "behind_per_read": round(routed.behind / routed.reads, 4),
        "waited_per_read": round(routed.waited / routed.reads, 4),
        "p50_ms": round(latencies[len(latencies) // 2], 1),
        "p99_ms": round(latencies[len(latencies) * 99 // 100], 1),
    }


def main(argv: list[str] | None = None) -> int:
    """Print one JSON line with the shares for each user, load and seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds, from 1")
    options = parser.parse_args(argv)
    report = {
        user: {
            name: [measure(site, load, seed) for seed in range(1, options.seeds + 1)]
            for name, load in LOADS.items()
        }
        for user, site in SITES.items()
    }
    sys.stdout.write(json.dumps(report) + "\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
