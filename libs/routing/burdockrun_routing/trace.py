"""Seeded traces of sessions that write, read and roam, for the routing experiment."""

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
class Site:
    """Failure domains of a user, with one-way delays in ms."""

    domains: tuple[str, ...]
    one_way_ms: float
    client_ms: float
    near_ms: float = 0.2

    def delay_ms(self, domain: str, other: str) -> float:
        """Return the one-way delay between two failure domains."""
        return self.near_ms if domain == other else self.one_way_ms


@dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """Request of a session that reaches the entry proxy of `domain` at `at_ms`.

    Without `is_bound`, a read leaves the session token out.
    """

    at_ms: float
    session: int
    domain: str
    database: str
    is_write: bool
    is_bound: bool
    max_lag_ms: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Trace:
    """Requests in order of time, and the databases that they use; the first member is primary."""

    site: Site
    databases: dict[str, Database]
    steps: tuple[Step, ...]
    load: "Load"
    seed: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """Number of visits, length, and acknowledgement rule of a trace."""

    visits_per_s: float
    duration_ms: float
    by_majority: bool = True


def make_trace(site: Site, load: Load, seed: int) -> Trace:
    """Return a trace of visits; a visit is some requests of one session to one database."""
    rng = random.Random(f"trace {seed}")
    databases = {
        name: _make_database(name, site, number)
        for number, name in enumerate(f"database-{number}" for number in range(DATABASES))
    }
    steps: list[Step] = []
    at_ms = 0.0
    while (at_ms := at_ms + rng.expovariate(load.visits_per_s / 1_000)) < load.duration_ms:
        steps += _draw_visit(rng, site, at_ms, rng.choice(tuple(databases)))
    steps.sort(key=lambda step: step.at_ms)
    return Trace(site=site, databases=databases, steps=tuple(steps), load=load, seed=seed)


def _draw_visit(rng: random.Random, site: Site, at_ms: float, database: str) -> list[Step]:
    session, domain = rng.randrange(SESSIONS), rng.choice(site.domains)
    steps: list[Step] = []
    for number in range(rng.randint(2, 6)):
        kind = rng.random()
        is_stale = kind < STALE_SHARE
        steps.append(
            Step(
                at_ms=at_ms,
                session=session,
                domain=domain,
                database=database,
                is_write=number < 2 and rng.random() < WRITE_SHARE,
                is_bound=not FRESH_SHARE < kind < STALE_SHARE / 2,
                max_lag_ms=rng.choice(STALENESS_MS) if is_stale and kind > FRESH_SHARE else None,
            )
        )
        at_ms += rng.uniform(*THINK_MS)
        if rng.random() < ROAM_SHARE:
            domain = rng.choice(site.domains)
    return steps


def _make_database(name: str, site: Site, number: int) -> Database:
    members = tuple(
        Member(
            name=f"{name}-{place}",
            domain=site.domains[(number + place) % len(site.domains)],
            host="127.0.0.1",
            port=1,
            control_port=2,
        )
        for place in range(MEMBERS)
    )
    return Database(name=name, members=members, connections=16, slots=2)
