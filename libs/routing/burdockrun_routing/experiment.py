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
from burdockrun_routing.trace import Load, Topology, Trace, TraceRequest, make_trace

TOPOLOGIES = {
    "bayern": Topology(domains=("muc-nord", "nbg", "rgb", "aug"), one_way_ms=5.0, client_ms=3.0),
    "andes": Topology(
        domains=("medellin-a", "bogota-b", "manizales-c"), one_way_ms=4.0, client_ms=1.0
    ),
}
# `usual` is today's load. `sparse` is the load of one database expected in two years, when an entry
# proxy gets less than one read of it per second. `primary_rule` is today's load under the
# acknowledgement rule that does not wait for replicas.
LOADS = {
    "usual": Load(visits_per_s=100.0, duration_ms=180_000.0),
    "sparse": Load(visits_per_s=1.2, duration_ms=7_200_000.0),
    "primary_rule": Load(visits_per_s=100.0, duration_ms=180_000.0, by_majority=False),
}


@dataclass(kw_only=True, slots=True)
class Score:
    """Counts of one run; `behind` counts round trips to replicas that could not serve the read."""

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
    """One replay of a trace; a subclass decides where reads are sent.

    The replication depends only on the writes of the trace, so it is the same in every replay.
    """

    def __init__(self, trace: Trace) -> None:
        self.trace = trace
        self.topology = trace.topology
        self.score = Score()
        self.logs = {name: self._make_log(name) for name in trace.databases}
        self._tokens: dict[tuple[int, str], int] = {}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = 0

    def run(self) -> Score:
        """Replay the trace and return the counts."""
        for request in self.trace.requests:
            self.schedule(request.at_ms, lambda now, request=request: self._start(request, now))  # type: ignore[misc]
        while self._events:
            at_ms, _, call = heapq.heappop(self._events)
            call(at_ms)
        return self.score

    def schedule(self, at_ms: float, call: Callable[[float], None]) -> None:
        """Schedule a call at a virtual time."""
        self._sequence += 1
        heapq.heappush(self._events, (at_ms, self._sequence, call))

    def read(self, request: TraceRequest, required: LogPosition | None, now: float) -> None:
        """Route one read."""
        raise NotImplementedError

    def satisfies(
        self, request: TraceRequest, member: Member, required: LogPosition | None, now: float
    ) -> bool:
        """Return whether a member can serve a read at time `now`."""
        log = self.logs[request.database]
        if required is not None and log.index_at(member.name, now) < required.index:
            return False
        return request.max_lag_ms is None or log.lag_at(member.name, now) <= request.max_lag_ms

    def answer(self, request: TraceRequest, member: Member, now: float) -> None:
        """Complete a read that a member served at time `now`."""
        self.score.reads += 1
        self.score.at_replica += member.name in self.logs[request.database].replicas
        back_ms = now + self.topology.delay_ms(member.domain, request.domain)
        self.score.latencies_ms.append(back_ms - request.at_ms)
        index = self.logs[request.database].safe_index_at(member.name, now)
        self._advance_token(request, index, back_ms)

    def primary_of(self, request: TraceRequest) -> Member:
        """Return the primary of the database of a request."""
        return self.trace.databases[request.database].members[0]

    def _make_log(self, name: str) -> DatabaseLog:
        topology = self.topology
        rng = random.Random(f"replication {self.trace.seed} {name}")
        primary, *replicas = self.trace.databases[name].members
        logs = {
            member.name: ReplicaLog(
                topology.delay_ms(primary.domain, member.domain), self.trace.load.duration_ms, rng
            )
            for member in replicas
        }
        return DatabaseLog(logs, topology.one_way_ms, by_majority=self.trace.load.by_majority)

    def _start(self, request: TraceRequest, now: float) -> None:
        if request.is_write:
            one_way_ms = self.topology.delay_ms(request.domain, self.primary_of(request).domain)
            self.schedule(now + one_way_ms, lambda at_ms: self._write(request, at_ms))
            return
        index = (
            self._tokens.get((request.session, request.database)) if request.sends_token else None
        )
        self.read(request, None if index is None else LogPosition(term=1, index=index), now)

    def _write(self, request: TraceRequest, now: float) -> None:
        index, confirmed_ms = self.logs[request.database].append(now)
        back_ms = self.topology.delay_ms(request.domain, self.primary_of(request).domain)
        self._advance_token(request, index, confirmed_ms + back_ms)

    def _advance_token(self, request: TraceRequest, index: int, back_ms: float) -> None:
        key = (request.session, request.database)

        def update_token(_: float) -> None:
            self._tokens[key] = max(index, self._tokens.get(key, 0))

        self.schedule(back_ms + self.topology.client_ms, update_token)


class OracleRun(Run):
    """Knows for each replica whether it will satisfy the read when the read arrives there."""

    def read(self, request: TraceRequest, required: LogPosition | None, now: float) -> None:
        """Choose once the read would have reached every replica, so that their logs are known."""
        self.schedule(
            now + self.topology.one_way_ms, lambda _: self._choose_replica(request, required, now)
        )

    def _choose_replica(
        self, request: TraceRequest, required: LogPosition | None, now: float
    ) -> None:
        primary, *replicas = self.trace.databases[request.database].members
        if required is not None or request.max_lag_ms is not None:
            for member in replicas:
                arrival_ms = now + self.topology.delay_ms(request.domain, member.domain)
                if self.satisfies(request, member, required, arrival_ms):
                    self.answer(request, member, arrival_ms)
                    return
        self.answer(request, primary, now + self.topology.delay_ms(request.domain, primary.domain))


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """Read that was sent to a member, which may delay its answer until `give_up_ms`."""

    request: TraceRequest
    required: LogPosition | None
    behind: frozenset[str]
    member: Member
    arrival_ms: float
    give_up_ms: float


class RoutedRun(Run):
    """Routes by the positions that each entry proxy knows from answers, without probes."""

    def __init__(self, trace: Trace) -> None:
        super().__init__(trace)
        self._rng = random.Random(f"routing {trace.seed}")
        self._entry_tables = {domain: PositionTable() for domain in self.topology.domains}
        self._home_positions = PositionTable()

    def read(self, request: TraceRequest, required: LogPosition | None, now: float) -> None:
        """Choose a member and send the read there."""
        self._send(request, required, frozenset(), now)

    def _send(
        self,
        request: TraceRequest,
        required: LogPosition | None,
        behind: frozenset[str],
        now: float,
    ) -> None:
        query = ReadQuery(
            database=self.trace.databases[request.database],
            primary=self.primary_of(request).name,
            required=required,
            max_lag_ms=request.max_lag_ms,
            domain=request.domain,
            unavailable=behind,
        )
        choice = choose_read_member(query, self._entry_tables[request.domain], int(now), self._rng)
        member = choice.member or self.primary_of(request)
        arrival_ms = now + self.topology.delay_ms(request.domain, member.domain)
        attempt = Attempt(
            request=request,
            required=required,
            behind=behind,
            member=member,
            arrival_ms=arrival_ms,
            give_up_ms=arrival_ms + 2 * self.topology.one_way_ms,
        )
        self.schedule(arrival_ms, lambda at_ms: self._arrive(attempt, at_ms))

    def _arrive(self, attempt: Attempt, now: float) -> None:
        request, member = attempt.request, attempt.member
        if member == self.primary_of(request) or self.satisfies(
            request, member, attempt.required, now
        ):
            self.score.waited += now > attempt.arrival_ms
            self._record_answer(request, member, now)
            self.answer(request, member, now)
            return
        wait_ms = self._estimate_wait(request, member, attempt.required, now)
        if wait_ms is not None and now + wait_ms <= attempt.give_up_ms:
            self.schedule(now + wait_ms, lambda at_ms: self._arrive(attempt, at_ms))
            return
        self.score.behind += 1
        self._record_answer(request, member, now)
        back_ms = now + self.topology.delay_ms(member.domain, request.domain)
        excluded = attempt.behind | {member.name}
        self.schedule(back_ms, lambda at_ms: self._send(request, attempt.required, excluded, at_ms))

    def _estimate_wait(
        self, request: TraceRequest, member: Member, required: LogPosition | None, now: float
    ) -> int | None:
        log = self.logs[request.database]
        position = LogPosition(term=1, index=log.index_at(member.name, now))
        lag_ms = log.lag_at(member.name, now)
        if request.max_lag_ms is not None and lag_ms > request.max_lag_ms:
            return None
        self._home_positions.observe(request.database, member.name, position, lag_ms, int(now))
        view = self._home_positions.find_view(request.database, member.name)
        return None if view is None else estimate_catch_up_ms(view, required, int(now))

    def _record_answer(self, request: TraceRequest, member: Member, now: float) -> None:
        log = self.logs[request.database]
        position = LogPosition(term=1, index=log.index_at(member.name, now))
        lag_ms = log.lag_at(member.name, now)
        table = self._entry_tables[request.domain]
        back_ms = now + self.topology.delay_ms(member.domain, request.domain)
        self.schedule(
            back_ms,
            lambda at_ms: table.observe(
                request.database, member.name, position, lag_ms, int(at_ms)
            ),
        )


def measure(topology: Topology, load: Load, seed: int) -> dict[str, float]:
    """Replay one trace with the oracle and with routing; return shares, rates and latencies."""
    trace = make_trace(topology, load, seed)
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
    """Print one JSON line with the shares for each client account, load and seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds, from 1")
    options = parser.parse_args(argv)
    report = {
        account: {
            name: [measure(topology, load, seed) for seed in range(1, options.seeds + 1)]
            for name, load in LOADS.items()
        }
        for account, topology in TOPOLOGIES.items()
    }
    sys.stdout.write(json.dumps(report) + "\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
