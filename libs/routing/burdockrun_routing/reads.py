"""Choice of the member that serves a read."""

import random

from burdockrun_messages import LogPosition, Member

from burdockrun_routing.const import VIEW_LIFE_MS
from burdockrun_routing.models import MemberView, ReadChoice, ReadQuery
from burdockrun_routing.positions import PositionTable


def estimate_catch_up_ms(view: MemberView, required: LogPosition | None, now_ms: int) -> int | None:
    """Return in how many ms a member reaches `required`: 0 when it has, None when unknown."""
    if view.position.has_reached(required):
        return 0
    if required is None or required.term > view.position.term or view.lag_ms is None:
        return None
    return max(1, view.lag_ms - max(0, now_ms - view.observed_ms))


def choose_read_member(
    query: ReadQuery, positions: PositionTable, now_ms: int, rng: random.Random
) -> ReadChoice:
    """Return the member to read from, preferring a current replica of the own failure domain."""
    usable = [
        member
        for member in query.database.members
        if member.name not in query.unavailable and not member.leaving
    ]
    primary = next((member for member in usable if member.name == query.primary), None)
    current = [
        member
        for member in usable
        if member is not primary and _is_current(query, positions, member, now_ms)
    ]
    if not current:
        return ReadChoice(member=primary, expected_current=primary is not None)
    near = [member for member in current if member.domain == query.domain]
    return ReadChoice(member=rng.choice(near or current), expected_current=True)


def _is_current(query: ReadQuery, positions: PositionTable, member: Member, now_ms: int) -> bool:
    if query.required is None and query.max_lag_ms is None:
        return False
    view = positions.view(query.database.name, member.name)
    if view is None or now_ms - view.observed_ms > VIEW_LIFE_MS:
        return False
    if query.max_lag_ms is not None and (view.lag_ms is None or view.lag_ms > query.max_lag_ms):
        return False
    return view.position.has_reached(query.required)
