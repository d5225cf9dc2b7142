"""Ranks and work for the tests of admission."""

from burdockrun_admission import Work
from burdockrun_messages import Rank

URGENT = Rank(name="urgent-booking", order=0, target_ms=50, worth=10, floor=0)
VISIT = Rank(name="visit-log", order=1, target_ms=400, worth=3, floor=0.1)
ROUTE = Rank(name="route-pull", order=2, target_ms=2_000, worth=1, floor=0.05)
RANKS = (ROUTE, URGENT, VISIT)


def make_work(
    work_id: int,
    rank: Rank = URGENT,
    *,
    account: str = "bayern",
    arrived_ms: int = 0,
    deadline_ms: int = 5_000,
) -> Work:
    """Return work whose deadline is 5 s away by default."""
    return Work(
        work_id=work_id,
        rank=rank.name,
        account=account,
        arrived_ms=arrived_ms,
        deadline_ms=deadline_ms,
    )
