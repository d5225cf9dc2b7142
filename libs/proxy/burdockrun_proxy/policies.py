"""Policies in which the proxy and its naive baseline differ."""

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

from burdockrun_proxy.models import PendingRequest
from burdockrun_proxy.placement import DirectPlacement, Placement, place_at_homes


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadContext:
    """Read for which a member is to be chosen; `domain` is that of the entry proxy."""

    pending: PendingRequest
    database: Database
    primary: str | None
    positions: PositionTable
    domain: str

    def find_primary(self) -> Member | None:
        """Return the primary, or None while it is not known."""
        return self.database.find_member(self.primary) if self.primary is not None else None


ChooseReadMember = Callable[[ReadContext, int, Random], Member | None]


# Statements queued at the member beyond its slots, so that no slot is idle for a round trip.
PIPELINED_STATEMENTS: Final = 2


class WorkScheduler(Protocol):
    """Queue that decides in which order the statements for a member run."""

    def configure(self, ranks: Sequence[Rank], slots: int) -> tuple[Work, ...]:
        """Change ranks and slots; return the waiting work of removed ranks."""
        ...

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        ...

    def offer(
        self, work: Work, now_ms: int, *, deadline_only: bool = False
    ) -> Result[None, Refusal]:
        """Queue or refuse a request; with `deadline_only` it may miss the target of its rank."""
        ...

    def take(self, now_ms: int) -> TakeResult:
        """Give the next request a slot, if one is free."""
        ...

    def expire(self, now_ms: int) -> tuple[Work, ...]:
        """Remove and return the work that cannot finish before its deadline."""
        ...

    def complete(self, work_id: int, now_ms: int) -> None:
        """Free the slot of a request."""
        ...

    def cancel(self, work_id: int) -> bool:
        """Remove a waiting request; return whether it was queued."""
        ...


BuildScheduler = Callable[[Service, Database], WorkScheduler]


@dataclass(frozen=True, kw_only=True, slots=True)
class Policies:
    """Choice of a member for reads, order of work at a member, and placement of connections."""

    read: ChooseReadMember
    scheduler: BuildScheduler
    placement: Callable[[FleetAgent], Placement]


read_policies: Registry[ChooseReadMember] = Registry("read policy")
scheduler_policies: Registry[BuildScheduler] = Registry("scheduler policy")


@read_policies.register("replica")
def choose_replica_first(context: ReadContext, now_ms: int, rng: Random) -> Member | None:
    """Choose a replica that is current enough, or else the primary."""
    pending = context.pending
    if pending.required is None and pending.max_lag_ms is None:
        token = pending.token
        if not token.positions or token.unlisted_at_primary:
            return context.find_primary()
    query = ReadQuery(
        database=context.database,
        primary=context.primary,
        required=pending.required,
        max_lag_ms=pending.max_lag_ms,
        domain=context.domain,
        unavailable=frozenset(pending.avoid),
    )
    return choose_read_member(query, context.positions, now_ms, rng).member


@read_policies.register("primary")
def choose_primary(context: ReadContext, now_ms: int, rng: Random) -> Member | None:
    """Choose the primary for every read."""
    return context.find_primary()


def max_statements_in_flight(database: Database) -> int:
    """Return how many statements may be in flight at a member."""
    return database.slots + PIPELINED_STATEMENTS


@scheduler_policies.register("ranks")
def build_rank_scheduler(service: Service, database: Database) -> RankScheduler:
    """Return a scheduler that serves urgent ranks first."""
    return RankScheduler(service.ranks, max_statements_in_flight(database))


@scheduler_policies.register("first_come")
def build_first_come(service: Service, database: Database) -> FirstComeQueue:
    """Return a queue that serves in order of arrival and refuses nothing."""
    return FirstComeQueue(max_statements_in_flight(database))


DEFAULT_POLICIES: Final = Policies(
    read=choose_replica_first, scheduler=build_rank_scheduler, placement=place_at_homes
)

# The naive baseline: reads at the primary, first come first served, no homes or shared budget.
NAIVE_POLICIES: Final = Policies(
    read=choose_primary, scheduler=build_first_come, placement=DirectPlacement
)
