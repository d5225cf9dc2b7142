"""Choice of the member that serves a read."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from burdockrun_base import LogPosition

from burdockrun_groups.const import (
    AVOIDED_FACTOR,
    KEEP_MEMBER_FACTOR,
    MIN_SERVICE_MS,
    PRIMARY_PENALTY_MS,
    PROBE_READ_AGE_MS,
    PROBE_READ_SHARE,
    READ_SAMPLES,
)
from burdockrun_groups.watermarks import Requirement


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberLoad:
    """Expected times of a read at a member that is reached through its home, in ms.

    `response_ms` is the own measured time without waits, of which `delay_ms` is network delay;
    `wait_ms` the expected wait at the home. `utilization` is the number of statements there for
    each one that the member works on at a time. The last answer came `age_ms` ago, and
    `unanswered` statements of this node are there.
    """

    response_ms: float
    delay_ms: float
    wait_ms: float
    utilization: float
    age_ms: float | None = None
    unanswered: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadOption:
    """Member that could serve a read.

    `expected_ms` is the expected response time, `position` the newest position that it is known to
    have applied. `keeps_up` allows a read there although `position` is too old, once the member has
    probably applied more. `lag_ms` is the lag of a replica that is seldom exceeded, None if
    unknown. `load` is known for members that have homes.
    """

    member_id: str
    is_primary: bool
    position: LogPosition | None
    expected_ms: float
    keeps_up: bool = False
    lag_ms: float | None = None
    load: MemberLoad | None = None


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


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRequest:
    """Read that needs a member.

    It may wait `max_wait_ms` for a replica to apply the position. `kept` is the member that served
    the previous read of the session. A read that is not `repeatable` is never used as a probe.
    """

    required: Requirement | None
    replicas_allowed: bool
    max_wait_ms: float = 0.0
    kept: str = ""
    repeatable: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadChoice:
    """Member for a read, and how long until it is expected to have the required position."""

    option: ReadOption
    wait_ms: float = 0.0


def choose_by_load(
    options: Iterable[ReadOption],
    request: ReadRequest,
    now_ms: int,
    rng: Random,
    *,
    samples: int = READ_SAMPLES,
) -> ReadChoice | None:
    """Return the member for a read in a group whose members have homes.

    Compares the primary, replicas that have the required position, and those that are expected to
    have it within the accepted wait, by expected time. With `samples`, only so many randomly
    sampled members that need no wait are compared, otherwise all. A small share of the reads goes
    to a replica that is avoided, so that its recovery is noticed.
    """
    allowed = [
        ReadChoice(option=option, wait_ms=wait_ms)
        for option in options
        if (wait_ms := _find_wait(option, request, now_ms)) is not None
    ]
    ready = [choice for choice in allowed if choice.wait_ms <= 0.0]
    sampled = rng.sample(ready, samples) if 0 < samples < len(ready) else ready
    waiting = [choice for choice in allowed if choice.wait_ms > 0.0]
    chosen = min([*sampled, *waiting], key=estimate_time, default=None)
    if chosen is None:
        return None
    if chosen.wait_ms > 0.0:
        return chosen
    kept = next((choice for choice in ready if choice.option.member_id == request.kept), None)
    if kept is not None and estimate_time(kept) <= KEEP_MEMBER_FACTOR * estimate_time(chosen):
        chosen = kept
    avoided = [choice for choice in ready if _is_avoided(choice.option, chosen.option)]
    if avoided and request.repeatable and rng.random() < PROBE_READ_SHARE:
        return rng.choice(avoided)
    return chosen


def estimate_time(choice: ReadChoice) -> float:
    """Return the expected time of a read in ms, with a penalty for the primary.

    The penalty grows with the queue of the primary, whose slots only its own work can use.
    """
    option, load = choice.option, choice.option.load
    if load is None:
        return option.expected_ms + choice.wait_ms + PRIMARY_PENALTY_MS * option.is_primary
    time_ms = load.response_ms + load.wait_ms + _find_service_ms(load) * load.utilization
    if option.is_primary:
        time_ms += PRIMARY_PENALTY_MS * (1.0 + load.utilization) + load.wait_ms
    return time_ms + choice.wait_ms


def _find_service_ms(load: MemberLoad) -> float:
    return max(load.response_ms - load.delay_ms, MIN_SERVICE_MS)


def _find_wait(option: ReadOption, request: ReadRequest, now_ms: int) -> float | None:
    """Return how long until a member may serve the read; None if that is too long or unknown."""
    if option.is_primary:
        return 0.0
    required = request.required
    if not request.replicas_allowed or required is None:
        return None
    if option.position is not None and option.position.has_reached(required.position):
        return 0.0
    if option.lag_ms is None:
        return 0.0 if _may_serve(option, required, now_ms) else None
    wait_ms = max(required.known_ms + option.lag_ms - now_ms, 0.0)
    return wait_ms if wait_ms <= max(request.max_wait_ms, 0.0) else None


def _is_avoided(option: ReadOption, chosen: ReadOption) -> bool:
    """Return whether a replica is slow or full compared with the chosen member, and unobserved."""
    load, other = option.load, chosen.load
    if option.is_primary or load is None or other is None or load.unanswered:
        return False
    if load.age_ms is not None and load.age_ms < PROBE_READ_AGE_MS:
        return False
    time_ms = _find_service_ms(load) + load.wait_ms
    return time_ms > AVOIDED_FACTOR * (_find_service_ms(other) + other.wait_ms)
