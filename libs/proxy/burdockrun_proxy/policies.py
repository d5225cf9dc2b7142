"""Behaviour that differs between the proxy and its naive version."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final, Protocol

from burdockrun_admission import RankScheduler, Refusal, TakeResult, Work
from burdockrun_admission.first_come import FirstComeQueue
from burdockrun_base import Registry
from burdockrun_fleet import FleetAgent
from burdockrun_messages import Database, Member, Rank, Service
from burdockrun_routing import PositionTable, ReadQuery, choose_read_member
from result import Result

from burdockrun_proxy.models import Pending
from burdockrun_proxy.placement import DirectPlacement, Placement, place_at_homes


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


# Statements that wait at the member, so that a slot is not idle for the round trip to the home.
SENT_AHEAD: Final = 2


class WorkScheduler(Protocol):
    """Order in which the statements for a member run."""

    def configure(self, ranks: Sequence[Rank], slots: int) -> tuple[Work, ...]:
        """Change ranks and slots; return the waiting work whose rank is gone."""
        ...

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        ...

    def offer(
        self, work: Work, now_ms: int, *, deadline_only: bool = False
    ) -> Result[None, Refusal]:
        """Let a request wait, or refuse it; `hold` says that it waited out a gap."""
        ...

    def take(self, now_ms: int) -> TakeResult:
        """Give the next request a slot, if one is free."""
        ...

    def expire(self, now_ms: int) -> tuple[Work, ...]:
        """Drop and return the work that can no longer be served in time."""
        ...

    def complete(self, work_id: int, now_ms: int) -> None:
        """Free the slot of a request."""
        ...

    def cancel(self, work_id: int) -> bool:
        """Forget a request that waits; return whether there was one."""
        ...


BuildScheduler = Callable[[Service, Database], WorkScheduler]


@dataclass(frozen=True, kw_only=True, slots=True)
class Policies:
    """Choice of a member for reads, order of work at a member, and who holds connections."""

    read: ChooseRead
    scheduler: BuildScheduler
    placement: Callable[[FleetAgent], Placement]


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


def count_in_service(database: Database) -> int:
    """Return how many statements may be at a member at the same time."""
    return database.slots + SENT_AHEAD


@scheduler_policies.register("ranks")
def build_rank_scheduler(service: Service, database: Database) -> RankScheduler:
    """Return a scheduler that serves urgent ranks first."""
    return RankScheduler(service.ranks, count_in_service(database))


@scheduler_policies.register("first_come")
def build_first_come(service: Service, database: Database) -> FirstComeQueue:
    """Return a scheduler that serves in order of arrival and refuses nothing."""
    return FirstComeQueue(count_in_service(database))


DEFAULT_POLICIES: Final = Policies(
    read=choose_replica_first, scheduler=build_rank_scheduler, placement=place_at_homes
)

# Every read at the primary, first come first served, no homes and no shared budget.
NAIVE_POLICIES: Final = Policies(
    read=choose_primary, scheduler=build_first_come, placement=DirectPlacement
)
