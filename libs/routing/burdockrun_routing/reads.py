"""Choice of the member that serves a read."""

import math
import random

from burdockrun_messages import LogPosition, Member

from burdockrun_routing.const import HEALTHY_LAG_MS, RETRY_BEHIND_MS
from burdockrun_routing.models import MemberView, ReadChoice, ReadQuery
from burdockrun_routing.positions import PositionTable


def estimate_catch_up_ms(view: MemberView, required: LogPosition | None, now_ms: int) -> int | None:
    """Return in how many ms a member reaches `required`: 0 if it already has, None if unknown.

    A member that keeps up has each entry about `lag_ms` after it was written. It thus reaches
    `required`, which is already written, within that time. A member that catches up does so at the
    rate at which its log grows.
    """
    if view.position.has_reached(required):
        return 0
    if required is None or required.term > view.position.term or view.lag_ms is None:
        return None
    elapsed_ms = max(0, now_ms - view.observed_ms)
    if view.lag_ms <= HEALTHY_LAG_MS:
        return max(1, view.lag_ms)
    if view.advance_per_ms <= 0.0 or view.lag_per_ms is None or view.lag_per_ms >= 0.0:
        return None
    missing_entries = required.index - view.position.index
    return max(1, math.ceil(missing_entries / view.advance_per_ms) - elapsed_ms)


def estimate_lag_ms(view: MemberView, now_ms: int) -> int | None:
    """Return the expected age of a member's data, None when unknown.

    A member that keeps up or catches up is assumed to continue; the data of any other member ages.
    """
    if view.lag_ms is None:
        return None
    if view.lag_ms <= HEALTHY_LAG_MS or (view.lag_per_ms is not None and view.lag_per_ms < 0.0):
        return view.lag_ms
    return view.lag_ms + max(0, now_ms - view.observed_ms)


def choose_read_member(
    query: ReadQuery, positions: PositionTable, now_ms: int, rng: random.Random
) -> ReadChoice:
    """Return the member to read from.

    Replicas that should satisfy the read come first. Next come replicas without a recent
    observation, since only a request shows their state; a replica that was behind is thus tried
    again after `RETRY_BEHIND_MS`. The primary comes last. Replicas in the failure domain of the
    requesting node are preferred over others.
    """
    members = [
        member
        for member in query.database.members
        if not member.leaving and member.name not in query.unavailable
    ]
    primary = next((member for member in members if member.name == query.primary), None)
    if query.required is None and query.max_lag_ms is None:
        return ReadChoice(member=primary, expected_current=primary is not None)
    expected: list[Member] = []
    unknown: list[Member] = []
    for member in members:
        if member is primary:
            continue
        view = positions.find_view(query.database.name, member.name)
        if view is not None and _should_satisfy(view, query, now_ms):
            expected.append(member)
        elif view is None or now_ms - view.observed_ms >= RETRY_BEHIND_MS:
            unknown.append(member)
    if expected:
        return ReadChoice(member=_choose_from(expected, query.domain, rng), expected_current=True)
    if unknown:
        return ReadChoice(member=_choose_from(unknown, query.domain, rng), expected_current=False)
    return ReadChoice(member=primary, expected_current=primary is not None)


def _should_satisfy(view: MemberView, query: ReadQuery, now_ms: int) -> bool:
    if query.max_lag_ms is not None:
        lag_ms = estimate_lag_ms(view, now_ms)
        if lag_ms is None or lag_ms > query.max_lag_ms:
            return False
    catch_up_ms = estimate_catch_up_ms(view, query.required, now_ms)
    return catch_up_ms is not None and catch_up_ms <= HEALTHY_LAG_MS


def _choose_from(members: list[Member], domain: str, rng: random.Random) -> Member:
    same_domain = [member for member in members if member.domain == domain]
    choices = same_domain or members
    return choices[0] if len(choices) == 1 else rng.choice(choices)
