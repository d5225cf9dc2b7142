"""Choice of the member that serves a read."""

from collections.abc import Iterable
from dataclasses import dataclass

from burdockrun_base import LogPosition

from burdockrun_groups.const import PRIMARY_PENALTY_MS
from burdockrun_groups.watermarks import Requirement


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadOption:
    """Member that could serve a read.

    `expected_ms` is the expected response time, `position` the newest position that it is known to
    have applied. `keeps_up` allows a read there although `position` is too old, once the member has
    probably applied more.
    """

    member_id: str
    is_primary: bool
    position: LogPosition | None
    expected_ms: float
    keeps_up: bool = False


def choose_member(
    options: Iterable[ReadOption],
    required: Requirement | None,
    now_ms: int,
    *,
    replicas_allowed: bool,
) -> ReadOption | None:
    """Return the option with the shortest expected time among those that may serve the read.

    A replica qualifies if it has applied `required`, or probably has. The primary always qualifies,
    but with a penalty that keeps it free for the work that only it can do.
    """
    allowed = [
        option
        for option in options
        if option.is_primary
        or (replicas_allowed and required is not None and _may_serve(option, required, now_ms))
    ]
    return min(
        allowed,
        key=lambda option: option.expected_ms + PRIMARY_PENALTY_MS * option.is_primary,
        default=None,
    )


def _may_serve(option: ReadOption, required: Requirement, now_ms: int) -> bool:
    if option.position is not None and option.position.has_reached(required.position):
        return True
    return option.keeps_up and required.is_likely_applied(now_ms)
