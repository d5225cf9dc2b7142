"""Open-loop load: requests are sent at their arrival times, answered or not."""

import random
from collections import Counter
from dataclasses import dataclass, field
from functools import partial

from burdockrun_messages import (
    Access,
    Outcome,
    Rank,
    Service,
    StatementAnswer,
    StatementRequest,
)

from burdockrun_bench.cluster import Cluster

DEADLINE_FACTOR = 4
MIN_DEADLINE_MS = 1_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Stream:
    """Poisson arrivals of requests of one rank for one database; `rate` is per ms."""

    rank: Rank
    database: str
    rate: float
    write_share: float
    start_ms: int
    end_ms: int
    sessions: int = 50
    deadline_ms: int | None = None


@dataclass(kw_only=True, slots=True)
class Tally:
    """Counts for one rank; `latencies_ms` and `done_at_ms` hold completed requests only."""

    offered: int = 0
    done: int = 0
    in_target: int = 0
    codes: Counter[str] = field(default_factory=Counter)
    latencies_ms: list[int] = field(default_factory=list)
    done_at_ms: list[int] = field(default_factory=list)

    @property
    def admitted(self) -> int:
        """Return how many requests were not answered `overloaded`."""
        return self.offered - self.codes["overloaded"]

    def count_done_by(self, end_ms: int) -> int:
        """Return how many requests were completed by a time."""
        return sum(at_ms <= end_ms for at_ms in self.done_at_ms)

    def find_percentile(self, share: float) -> int:
        """Return a percentile of the latencies in ms, 0 when there are none."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(int(len(ordered) * share), len(ordered) - 1)] if ordered else 0


class Arrivals:
    """Sends the requests of streams to random nodes and tallies the answers by rank.

    Latency is measured from the arrival at the entry proxy to its answer and excludes the network
    delay between caller and proxy.
    """

    def __init__(self, cluster: Cluster, service: Service, rng: random.Random) -> None:
        self.tallies: dict[str, Tally] = {rank.name: Tally() for rank in service.ranks}
        self.replica_reads = 0
        self.primary_reads = 0
        self.acknowledged_ms: dict[str, list[int]] = {}
        self._cluster = cluster
        self._service = service
        self._rng = rng
        self._tokens: dict[str, str] = {}
        self._count = 0

    def add(self, stream: Stream) -> None:
        """Schedule the requests of a stream."""
        self._cluster.loop.at(stream.start_ms, partial(self._arrive, stream))

    def _arrive(self, stream: Stream) -> None:
        now_ms = self._cluster.loop.now_ms
        if now_ms >= stream.end_ms:
            return
        at_ms = float(now_ms)
        while at_ms < now_ms + 1:
            self._send(stream)
            at_ms += self._rng.expovariate(stream.rate)
        self._cluster.loop.at(int(at_ms), partial(self._arrive, stream))

    def _send(self, stream: Stream) -> None:
        self._count += 1
        session = f"{stream.rank.name}-{self._rng.randrange(stream.sessions)}"
        write = self._rng.random() < stream.write_share
        deadline_ms = stream.deadline_ms or max(
            MIN_DEADLINE_MS, DEADLINE_FACTOR * stream.rank.target_ms
        )
        request = StatementRequest(
            request_id=f"{session}-{self._count}",
            account=self._service.account,
            database=stream.database,
            statement=f"PUT {session} {self._count}" if write else f"GET {session}",
            access=Access.WRITE if write else Access.READ,
            rank=stream.rank.name,
            deadline_ms=deadline_ms,
            session=self._tokens.get(session),
        )
        if write:
            changes = ((session, str(self._count)),)
            self._cluster.invariants.register_request(request, changes)
        self.tallies[stream.rank.name].offered += 1
        host = self._rng.choice(self._cluster.nodes)
        sent_ms = self._cluster.loop.now_ms
        self._cluster.send(
            host, request, partial(self._record_answer, stream, request, session, sent_ms)
        )

    def _record_answer(
        self,
        stream: Stream,
        request: StatementRequest,
        session: str,
        sent_ms: int,
        answer: StatementAnswer | None,
    ) -> None:
        tally = self.tallies[stream.rank.name]
        if answer is None:
            tally.codes["lost"] += 1
            return
        tally.codes[answer.code] += 1
        if answer.outcome is not Outcome.DONE:
            return
        if answer.session is not None:
            self._tokens[session] = answer.session
        now_ms = self._cluster.loop.now_ms
        latency_ms = now_ms - sent_ms - 2 * self._cluster.plan.client_ms
        tally.done += 1
        tally.latencies_ms.append(latency_ms)
        tally.done_at_ms.append(now_ms)
        tally.in_target += latency_ms <= stream.rank.target_ms
        if request.access is Access.WRITE:
            self.acknowledged_ms.setdefault(request.database, []).append(now_ms)
        else:
            self._count_read(request.database, answer)

    def _count_read(self, database: str, answer: StatementAnswer) -> None:
        primary = self._cluster.find_primary(database)
        if primary is not None and primary.location.name == answer.member:
            self.primary_reads += 1
        else:
            self.replica_reads += 1
