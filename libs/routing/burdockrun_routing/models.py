"""Data of routing decisions."""

from dataclasses import dataclass

from burdockrun_messages import Database, LogPosition, Member


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberView:
    """What a node knows about a member.

    `lag_ms` is the age of the member's data at `observed_ms`, None when unknown. `advance_per_ms`
    is the rate at which its log grew, and `lag_per_ms` that at which its lag grew (1 when it stands
    still, negative while it catches up, None when not known yet).
    """

    position: LogPosition
    lag_ms: int | None
    observed_ms: int
    advance_per_ms: float = 0.0
    lag_per_ms: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadQuery:
    """Read that needs a member.

    `required` None with `max_lag_ms` None means current data, which only the primary has; when both
    are set, both must hold. `domain` is the failure domain of the asking node, `unavailable` names
    members not to choose.
    """

    database: Database
    primary: str | None
    required: LogPosition | None
    max_lag_ms: int | None
    domain: str
    unavailable: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadChoice:
    """Chosen member; `expected_current` says whether it should satisfy the read.

    The member itself has the last word. When it is behind, the caller observes its position and
    chooses again with the member in `unavailable`.
    """

    member: Member | None
    expected_current: bool
