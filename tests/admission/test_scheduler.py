"""Tests of the scheduler of a member's slots."""

from burdockrun_admission import RankScheduler
from burdockrun_messages import Code

from tests.admission.common import RANKS, ROUTE, URGENT, VISIT, make_work


def test_urgent_work_goes_first() -> None:
    """Guards against urgent requests that wait behind routine ones."""
    scheduler = RankScheduler(RANKS, slots=1)
    for work_id, rank in enumerate((ROUTE, VISIT, URGENT)):
        assert scheduler.offer(make_work(work_id, rank), 0).is_ok()
    order = []
    while (work := scheduler.take(0).work) is not None:
        order.append(work.rank)
        scheduler.complete(work.work_id, 0)
    assert order[0] == URGENT.name
    assert sorted(order) == sorted(rank.name for rank in RANKS)


def test_slots_are_never_exceeded() -> None:
    """Guards against more statements at a member than it executes at once."""
    scheduler = RankScheduler(RANKS, slots=2)
    for work_id in range(4):
        scheduler.offer(make_work(work_id), 0)
    assert scheduler.take(0).work
    assert scheduler.take(0).work
    assert scheduler.take(0).work is None
    assert (scheduler.in_service, scheduler.waiting) == (2, 2)


def test_work_that_cannot_be_served_in_time_is_refused() -> None:
    """Guards against a queue that grows until nobody is served in time."""
    scheduler = RankScheduler(RANKS, slots=2)
    answers = [scheduler.offer(make_work(work_id), 0) for work_id in range(200)]
    admitted = sum(answer.is_ok() for answer in answers)
    assert 4 <= admitted <= 25
    refusal = answers[-1].unwrap_err()
    assert refusal.code is Code.OVERLOADED
    assert refusal.retry_after_ms > 0


def test_refusals_name_their_reason() -> None:
    """Guards against callers that retry what can never succeed."""
    scheduler = RankScheduler(RANKS[:1], slots=1)
    assert scheduler.offer(make_work(1, URGENT), 0).unwrap_err().code is Code.UNKNOWN_RANK
    late = make_work(2, ROUTE, deadline_ms=10)
    assert scheduler.offer(late, 10).unwrap_err().code is Code.DEADLINE


def test_expired_work_takes_no_slot() -> None:
    """Guards against slots that are spent on answers nobody waits for."""
    scheduler = RankScheduler(RANKS, slots=1)
    early = make_work(1, VISIT, deadline_ms=100)
    scheduler.offer(early, 0)
    scheduler.offer(make_work(2, VISIT), 0)
    take = scheduler.take(100)
    assert take.expired == (early,)
    assert take.work is not None
    assert take.work.work_id == 2


def test_cancelled_work_is_not_served() -> None:
    """Guards against work that is done for a caller who has gone."""
    scheduler = RankScheduler(RANKS, slots=1)
    scheduler.offer(make_work(1), 0)
    assert scheduler.cancel(1)
    assert not scheduler.cancel(1)
    assert scheduler.take(0).work is None
    assert scheduler.waiting == 0
