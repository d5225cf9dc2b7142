"""Loads that the homes of one member reported, and the response times measured through them."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from burdockrun_gateway.const import (
    ESTIMATE_WEIGHT,
    LOAD_FRESH_MS,
    LOAD_HALF_LIFE_MS,
    RESPONSE_MEMORY_MS,
    USUAL_WEIGHT,
)
from burdockrun_gateway.ports import HomeLoad


@dataclass(kw_only=True, slots=True)
class _HomeState:
    """What is known about the member through one home; times are in ms."""

    load: HomeLoad | None = None
    load_at_ms: int = 0
    # Statements that this node has sent since the load was reported.
    sent: int = 0
    # Ranks with at least this share are refused until then.
    refused_share: float = 1.0
    refused_until_ms: int = 0
    response_ms: float
    usual_ms: float
    response_at_ms: int | None = None


class HomeLoads:
    """Last load of a member as each of its homes reported it, with its age.

    `rank_share` is the position of a rank among those of the service: 0 for the most urgent and 1
    for the lowest, for which homes report the wait. What one home reported says nothing about
    another one, and a new instance belongs to each process of the member.
    """

    def __init__(self, default_response_ms: float) -> None:
        self._default_response_ms = default_response_ms
        self._states: dict[str, _HomeState] = {}

    def keep_only(self, homes: Iterable[str]) -> None:
        """Forget all homes but these."""
        kept = set(homes)
        self._states = {home: state for home, state in self._states.items() if home in kept}

    def forget(self, home: str) -> None:
        """Forget a home that has failed; its queue starts anew if it returns."""
        self._states.pop(home, None)

    def note_load(self, home: str, load: HomeLoad, now_ms: int) -> None:
        """Record a load that came with an answer of a home."""
        state = self._get(home)
        state.load, state.load_at_ms, state.sent = load, now_ms, 0

    def note_sent(self, home: str) -> None:
        """Count a statement that the last load cannot include."""
        self._get(home).sent += 1

    def note_refused(self, home: str, rank_share: float, retry_ms: int, now_ms: int) -> None:
        """Record that a home refused a rank, and when it expects to have room for it."""
        state = self._get(home)
        if now_ms >= state.refused_until_ms or rank_share <= state.refused_share:
            state.refused_share, state.refused_until_ms = rank_share, now_ms + retry_ms

    def note_response(self, home: str, duration_ms: float, wait_ms: float, now_ms: int) -> None:
        """Record the time that an answer took; `wait_ms` of it was expected when it was sent.

        A sample weighs more, the longer ago the previous one is, so that the first answer of a
        member that got few reads shows whether it has recovered.
        """
        state = self._get(home)
        own_ms = max(duration_ms - wait_ms, 0.0)
        if state.response_at_ms is None:
            state.response_ms = state.usual_ms = own_ms
        else:
            age_ms = now_ms - state.response_at_ms
            weight = max(ESTIMATE_WEIGHT, 1.0 - math.exp(-age_ms / RESPONSE_MEMORY_MS))
            state.response_ms += weight * (own_ms - state.response_ms)
            state.usual_ms += USUAL_WEIGHT * (own_ms - state.usual_ms)
        state.response_at_ms = now_ms

    def has_load(self, home: str) -> bool:
        """Return whether a home reports loads, and thus has a queue that refuses by itself."""
        state = self._states.get(home)
        return state is not None and state.load is not None

    def response_ms(self, home: str, now_ms: int) -> float:
        """Return the expected time of an answer without a wait, network delay included.

        A measurement older than `LOAD_FRESH_MS` approaches the usual value.
        """
        state = self._states.get(home)
        if state is None or state.response_at_ms is None:
            return self._default_response_ms
        weight = weigh_by_age(now_ms - state.response_at_ms)
        return state.usual_ms + weight * (state.response_ms - state.usual_ms)

    def response_age_ms(self, home: str, now_ms: int) -> int | None:
        """Return how long ago the last answer came, None without one."""
        state = self._states.get(home)
        if state is None or state.response_at_ms is None:
            return None
        return now_ms - state.response_at_ms

    def expected_wait_ms(self, home: str, rank_share: float, now_ms: int) -> float:
        """Return the expected wait of a new statement in the queue of the home, 0 if unknown.

        The wait of the lowest rank is reported. The most urgent rank waits for one statement to
        end; ranks between them are interpolated.
        """
        state = self._states.get(home)
        if state is None:
            return 0.0
        left_ms = state.refused_until_ms - now_ms if rank_share >= state.refused_share else 0
        if state.load is None:
            return float(max(left_ms, 0))
        load = state.load
        is_full = load.wait_ms > 0 or load.running + state.sent > load.limit
        step_ms = _estimate_step_ms(load, state.response_ms) if is_full else 0.0
        longest_ms = load.wait_ms + state.sent * step_ms
        wait_ms = step_ms + max(longest_ms - step_ms, 0.0) * rank_share
        return max(wait_ms * weigh_by_age(now_ms - state.load_at_ms), left_ms, 0.0)

    def least_wait_ms(self, home: str, rank_share: float, now_ms: int) -> float:
        """Return the wait that is left even if nothing was queued since the load was reported.

        It is known for the lowest rank only, and 0 for the others.
        """
        state = self._states.get(home)
        if state is None or state.load is None or rank_share < 1.0:
            return 0.0
        return float(max(state.load.wait_ms - (now_ms - state.load_at_ms), 0))

    def step_ms(self, home: str, now_ms: int) -> float | None:
        """Return the time in which one statement of the queue is served, None if unknown."""
        state = self._states.get(home)
        if state is None or state.load is None or now_ms - state.load_at_ms > LOAD_FRESH_MS:
            return None
        return _estimate_step_ms(state.load, state.response_ms)

    def utilization(self, home: str, now_ms: int) -> float:
        """Return statements at the member and in its queue for each one that it works on."""
        state = self._states.get(home)
        if state is None or state.load is None:
            return 0.0
        load = state.load
        share = (load.running + load.waiting) / max(load.limit, 1)
        return share * weigh_by_age(now_ms - state.load_at_ms) + state.sent / max(load.limit, 1)

    def _get(self, home: str) -> _HomeState:
        default_ms = self._default_response_ms
        return self._states.setdefault(
            home, _HomeState(response_ms=default_ms, usual_ms=default_ms)
        )


def weigh_by_age(age_ms: float) -> float:
    """Return the weight of a fact: 1 while it is fresh, then halved in each half-life.

    >>> weigh_by_age(500), weigh_by_age(2_000)
    (1.0, 0.5)
    """
    half_lives: float = max(age_ms - LOAD_FRESH_MS, 0.0) / LOAD_HALF_LIFE_MS
    return math.pow(0.5, half_lives)


def _estimate_step_ms(load: HomeLoad, response_ms: float) -> float:
    """Return the time between two statements that leave the queue."""
    if load.wait_ms > 0:
        return load.wait_ms / (load.waiting + 1)
    return response_ms / max(load.limit, 1)
