"""Data of routing decisions."""

from dataclasses import dataclass

from burdockrun_messages import Database, LogPosition, Member

from burdockrun_routing.const import DEFAULT_ROUND_TRIP_MS


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberView:
    """What a node knows about a member.

    `lag_ms` is the age of the member's data at `observed_ms`, None when unknown; `advance_per_ms`
    is the rate at which its log grew, `stalled` says that the log stood still while the lag grew.
    """

    position: LogPosition
    lag_ms: int | None
    observed_ms: int
    advance_per_ms: float = 0.0
    stalled: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadQuery:
    """Read that needs a member.

    `required` None with `max_lag_ms` None means current data, which only the primary has.
    `domain` is the failure domain of the asking node, `unavailable` names members not to choose,
    `round_trip_ms` the time to the primary and back.
    """

    database: Database
    primary: str | None
    required: LogPosition | None
    max_lag_ms: int | None
    domain: str
    unavailable: frozenset[str] = frozenset()
    round_trip_ms: int = DEFAULT_ROUND_TRIP_MS


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadChoice:
    """Chosen member; `expected_current` says whether it should satisfy the read at once."""

    member: Member | None
    expected_current: bool
