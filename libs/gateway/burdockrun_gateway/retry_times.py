"""When a client whose statement was refused should send it again."""

from dataclasses import dataclass
from enum import Enum
from random import Random

from burdockrun_gateway.const import MAX_RETRY_AFTER_MS, RETRY_AFTER_MS, RETRY_JITTER


class RefusalCause(Enum):
    """Why a statement was refused before it ran."""

    NO_MEMBER = "no_member"
    MEMBER_FULL = "member_full"
    ACCOUNT_LIMITED = "account_limited"


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusalFacts:
    """What is known when a statement is refused; times are in ms.

    `told_ms` is the time that a home gave, 0 without one. `wait_ms` is the expected wait of the
    rank at the member, `allowed_ms` the wait with which it would have been accepted, and `step_ms`
    the time in which the member serves one statement; None if unknown. `rank` 0 is served first.
    """

    cause: RefusalCause
    member_id: str = ""
    rank: int = 0
    told_ms: int = 0
    wait_ms: float | None = None
    allowed_ms: float = 0.0
    step_ms: float | None = None


class RetryTimes:
    """Decides the times that the refused clients of one service are told.

    The time of a home is passed on unchanged: the home knows all that waits and has randomized it.
    Otherwise the clients refused in one burst are told consecutive times, one for each statement
    that the member serves; a rank comes after all more urgent ones. Up to 50% are added at random.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        # By member and rank, up to when refused work is expected to occupy the member.
        self._booked_ms: dict[tuple[str, int], float] = {}

    def choose_ms(self, facts: RefusalFacts, now_ms: int) -> int:
        """Return after how many ms the client should retry, at least 1."""
        if facts.told_ms > 0:
            return facts.told_ms
        if facts.cause is not RefusalCause.MEMBER_FULL or facts.wait_ms is None:
            return self._randomize(RETRY_AFTER_MS)
        room_ms = max(facts.wait_ms - facts.allowed_ms, 0.0)
        if facts.step_ms is None:
            return self._randomize(max(room_ms, RETRY_AFTER_MS))
        return self._randomize(min(self._book(facts, room_ms, now_ms), MAX_RETRY_AFTER_MS))

    def _book(self, facts: RefusalFacts, room_ms: float, now_ms: int) -> float:
        """Return when the member can serve one more statement of the rank, and reserve it."""
        self._booked_ms = {key: ms for key, ms in self._booked_ms.items() if ms > now_ms}
        before = [
            until_ms
            for (member_id, rank), until_ms in self._booked_ms.items()
            if member_id == facts.member_id and rank <= facts.rank
        ]
        at_ms = max([now_ms + room_ms, *before]) + (facts.step_ms or 0.0)
        if at_ms - now_ms <= MAX_RETRY_AFTER_MS:
            self._booked_ms[facts.member_id, facts.rank] = at_ms
        return at_ms - now_ms

    def _randomize(self, retry_ms: float) -> int:
        return max(1, round(retry_ms * (1.0 + RETRY_JITTER * self._rng.random())))
