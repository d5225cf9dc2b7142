"""Behaviour that differs between the proxy and its naive version."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from burdockrun_admission import RankScheduler
from burdockrun_base import Registry
from burdockrun_messages import Database, Member, Service
from burdockrun_routing import PositionTable, ReadQuery, choose_read_member

from burdockrun_proxy.models import Pending


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadSituation:
    """Read that needs a member; `domain` is that of the entry proxy."""

    pending: Pending
    database: Database
    primary: str | None
    positions: PositionTable
    domain: str

    def find_primary(self) -> Member | None:
        """Return the primary, or None while it is not known."""
        return self.database.find_member(self.primary) if self.primary is not None else None


ChooseRead = Callable[[ReadSituation, int, Random], Member | None]
BuildScheduler = Callable[[Service, Database], RankScheduler]


@dataclass(frozen=True, kw_only=True, slots=True)
class Policies:
    """Choice of a member for reads, and order of work at a member."""

    read: ChooseRead
    scheduler: BuildScheduler


read_policies: Registry[ChooseRead] = Registry("read policy")
scheduler_policies: Registry[BuildScheduler] = Registry("scheduler policy")


@read_policies.register("replica")
def choose_replica_first(situation: ReadSituation, now_ms: int, rng: Random) -> Member | None:
    """Choose a replica that is current enough, else the primary."""
    pending = situation.pending
    if pending.required is None and pending.max_lag_ms is None:
        token = pending.token
        if not token.positions or token.unlisted_at_primary:
            return situation.find_primary()
    query = ReadQuery(
        database=situation.database,
        primary=situation.primary,
        required=pending.required,
        max_lag_ms=pending.max_lag_ms,
        domain=situation.domain,
        unavailable=frozenset(pending.avoid),
    )
    return choose_read_member(query, situation.positions, now_ms, rng).member


@read_policies.register("primary")
def choose_primary(situation: ReadSituation, now_ms: int, rng: Random) -> Member | None:
    """Choose the primary for every read."""
    return situation.find_primary()


@scheduler_policies.register("ranks")
def build_rank_scheduler(service: Service, database: Database) -> RankScheduler:
    """Return a scheduler that serves urgent ranks first."""
    return RankScheduler(service.ranks, database.slots)
