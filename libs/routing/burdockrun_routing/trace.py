"""Seeded traces of sessions that write, read and change domains, for the routing experiment."""

import random
from dataclasses import dataclass

from burdockrun_messages import Database, Member

DATABASES = 3
MEMBERS = 3
SESSIONS = 300
WRITE_SHARE = 0.35
STALE_SHARE = 0.3
FRESH_SHARE = 0.03
ROAM_SHARE = 0.2
STALENESS_MS = (250, 1_000, 5_000, 30_000)
THINK_MS = (15.0, 400.0)


@dataclass(frozen=True, kw_only=True, slots=True)
class Topology:
    """Failure domains of a client account, with one-way network delays in ms."""

    domains: tuple[str, ...]
    one_way_ms: float
    client_ms: float
    same_domain_ms: float = 0.2

    def delay_ms(self, domain: str, other: str) -> float:
        """Return the one-way delay between two failure domains."""
        return self.same_domain_ms if domain == other else self.one_way_ms


@dataclass(frozen=True, kw_only=True, slots=True)
class TraceRequest:
    """Request of a session that reaches the entry proxy of `domain` at `at_ms`.

    A read without `sends_token` carries no session token.
    """

    at_ms: float
    session: int
    domain: str
    database: str
    is_write: bool
    sends_token: bool
    max_lag_ms: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Trace:
    """Requests in order of time, and their databases; the first member of each is the primary."""

    topology: Topology
    databases: dict[str, Database]
    requests: tuple[TraceRequest, ...]
    load: "Load"
    seed: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """Rate of visits, duration and acknowledgement rule of a trace."""

    visits_per_s: float
    duration_ms: float
    by_majority: bool = True


def make_trace(topology: Topology, load: Load, seed: int) -> Trace:
    """Return a trace of visits; a visit is a few requests of one session to one database."""
    rng = random.Random(f"trace {seed}")
    databases = {
        name: _make_database(name, topology, number)
        for number, name in enumerate(f"database-{number}" for number in range(DATABASES))
    }
    requests: list[TraceRequest] = []
    at_ms = 0.0
    while (at_ms := at_ms + rng.expovariate(load.visits_per_s / 1_000)) < load.duration_ms:
        requests += _draw_visit(rng, topology, at_ms, rng.choice(tuple(databases)))
    requests.sort(key=lambda request: request.at_ms)
    return Trace(
        topology=topology, databases=databases, requests=tuple(requests), load=load, seed=seed
    )


def _draw_visit(
    rng: random.Random, topology: Topology, at_ms: float, database: str
) -> list[TraceRequest]:
    session, domain = rng.randrange(SESSIONS), rng.choice(topology.domains)
    requests: list[TraceRequest] = []
    for number in range(rng.randint(2, 6)):
        draw = rng.random()
        is_stale = draw < STALE_SHARE
        requests.append(
            TraceRequest(
                at_ms=at_ms,
                session=session,
                domain=domain,
                database=database,
                is_write=number < 2 and rng.random() < WRITE_SHARE,
                sends_token=not FRESH_SHARE < draw < STALE_SHARE / 2,
                max_lag_ms=rng.choice(STALENESS_MS) if is_stale and draw > FRESH_SHARE else None,
            )
        )
        at_ms += rng.uniform(*THINK_MS)
        if rng.random() < ROAM_SHARE:
            domain = rng.choice(topology.domains)
    return requests


def _make_database(name: str, topology: Topology, number: int) -> Database:
    members = tuple(
        Member(
            name=f"{name}-{position}",
            domain=topology.domains[(number + position) % len(topology.domains)],
            host="127.0.0.1",
            port=1,
            control_port=2,
        )
        for position in range(MEMBERS)
    )
    return Database(name=name, members=members, connections=16, slots=2)
