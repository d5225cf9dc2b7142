"""Inputs and results of routing decisions."""

from dataclasses import dataclass

from burdockrun_messages import Database, LogPosition, Member


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberView:
    """What a node knows about a member.

    `lag_ms` is the age of the member's data at `observed_ms`, None when unknown. `advance_per_ms`
    is the rate at which its log grew, and `lag_per_ms` the rate at which its lag grew: 1 when the
    member has stopped, negative while it catches up, None when unknown.
    """

    position: LogPosition
    lag_ms: int | None
    observed_ms: int
    advance_per_ms: float = 0.0
    lag_per_ms: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadQuery:
    """Read that needs a member.

    `required` is the log position that the member must have reached, `max_lag_ms` the accepted age
    of its data; when both are set, both apply. Without either, the read needs current data, which
    only the primary has. `domain` is the failure domain of the requesting node. Members in
    `unavailable` are not chosen.
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

    The member itself decides whether it does. When it is behind, the caller records its position
    and chooses again with the member in `unavailable`.
    """

    member: Member | None
    expected_current: bool
