"""Tests of the scheduler for the slots of a member."""

from dataclasses import replace

from burdockrun_admission import RankScheduler
from burdockrun_messages import Code
from hypothesis import given, settings
from hypothesis import strategies as st

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
    """Guards against more concurrent statements at a member than it has slots."""
    scheduler = RankScheduler(RANKS, slots=2)
    for work_id in range(4):
        scheduler.offer(make_work(work_id), 0)
    assert scheduler.take(0).work
    assert scheduler.take(0).work
    assert scheduler.take(0).work is None
    assert (scheduler.in_service, scheduler.waiting) == (2, 2)


def test_work_that_cannot_be_served_in_time_is_refused() -> None:
    """Guards against a queue that grows until no request is served in time."""
    scheduler = RankScheduler(RANKS, slots=2)
    answers = [scheduler.offer(make_work(work_id), 0) for work_id in range(200)]
    admitted = sum(answer.is_ok() for answer in answers)
    assert 4 <= admitted <= 25
    refusal = answers[-1].unwrap_err()
    assert refusal.code is Code.OVERLOADED
    assert refusal.retry_after_ms > 0


def test_refusals_have_a_code_for_their_reason() -> None:
    """Guards against callers that retry requests which can never succeed."""
    scheduler = RankScheduler(RANKS[:1], slots=1)
    assert scheduler.offer(make_work(1, URGENT), 0).unwrap_err().code is Code.UNKNOWN_RANK
    late = make_work(2, ROUTE, deadline_ms=10)
    assert scheduler.offer(late, 10).unwrap_err().code is Code.DEADLINE


def test_expired_work_takes_no_slot() -> None:
    """Guards against slots spent on requests whose caller has stopped waiting."""
    scheduler = RankScheduler(RANKS, slots=1)
    early = make_work(1, VISIT, deadline_ms=100)
    scheduler.offer(early, 0)
    scheduler.offer(make_work(2, VISIT), 0)
    take = scheduler.take(100)
    assert take.expired == (early,)
    assert take.work is not None
    assert take.work.work_id == 2


def test_cancelled_work_is_not_served() -> None:
    """Guards against work done for a caller that has disconnected."""
    scheduler = RankScheduler(RANKS, slots=1)
    scheduler.offer(make_work(1), 0)
    assert scheduler.cancel(1)
    assert not scheduler.cancel(1)
    assert scheduler.take(0).work is None
    assert scheduler.waiting == 0


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 2), st.integers(1, 900))))
def test_admitted_work_is_finished_exactly_once(steps: list[tuple[int, int, int]]) -> None:
    """Guards against work that is lost, served twice, or dropped and served."""
    scheduler = RankScheduler(RANKS, slots=2)
    now_ms, admitted, started, ended = 0, set[int](), list[int](), list[int]()
    for work_id, (action, rank, number) in enumerate(steps):
        if action <= 2:
            work = make_work(
                work_id,
                RANKS[rank],
                account=f"account-{action}",
                arrived_ms=now_ms,
                deadline_ms=now_ms + number,
            )
            if scheduler.offer(work, now_ms, deadline_only=number % 5 == 0).is_ok():
                admitted.add(work_id)
        elif action == 3:
            now_ms += number // 10
        elif action == 4 and started:
            scheduler.complete(started.pop(0), now_ms)
        elif scheduler.cancel(number % (work_id + 1)):
            ended.append(number % (work_id + 1))
        take = scheduler.take(now_ms)
        ended += [work.work_id for work in take.expired]
        if take.work is not None:
            assert take.work.deadline_ms > now_ms
            started.append(take.work.work_id)
            ended.append(take.work.work_id)
        assert len(started) == scheduler.in_service <= 2
        assert scheduler.waiting == len(admitted) - len(ended)
    assert len(ended) == len(set(ended))
    assert set(ended) <= admitted


def test_accounts_share_a_rank_by_weight() -> None:
    """Guards against an account that crowds out another within the same rank."""
    scheduler = RankScheduler((ROUTE,), slots=2, account_weights={"andes": 3.0})
    served = {"bayern": 0, "andes": 0}
    for step in range(2_000):
        for account in ("bayern", "andes"):
            for copy in range(5):
                work_id = step * 10 + copy + (5 if account == "andes" else 0)
                work = make_work(
                    work_id, ROUTE, account=account, arrived_ms=step * 4, deadline_ms=step * 4 + 999
                )
                scheduler.offer(work, step * 4)
        for _ in range(2):
            taken = scheduler.take(step * 4).work
            assert taken is not None
            served[taken.account] += 1
            scheduler.complete(taken.work_id, step * 4 + 4)
    assert 0.22 < served["bayern"] / sum(served.values()) < 0.28


def test_account_is_admitted_during_a_flood_of_another() -> None:
    """Guards against one account that fills the queue of a rank for all others."""
    scheduler = RankScheduler((URGENT,), slots=2)
    flood = [scheduler.offer(make_work(number), 0) for number in range(100)]
    assert flood[-1].is_err()
    assert scheduler.offer(make_work(1_000, account="andes"), 0).is_ok()
    served = [scheduler.take(0).work for _ in range(2)]
    assert "andes" in {work.account for work in served if work}


def serve(scheduler: RankScheduler, service_ms: int, count: int, now_ms: int = 0) -> int:
    for number in range(count):
        scheduler.offer(
            make_work(-number - 1, arrived_ms=now_ms, deadline_ms=now_ms + 9_999), now_ms
        )
        work = scheduler.take(now_ms).work
        assert work is not None
        now_ms += service_ms
        scheduler.complete(work.work_id, now_ms)
    return now_ms


def count_admitted(scheduler: RankScheduler, now_ms: int) -> int:
    works = [
        make_work(number, arrived_ms=now_ms, deadline_ms=now_ms + 9_999) for number in range(50)
    ]
    return sum(scheduler.offer(work, now_ms).is_ok() for work in works)


def test_service_time_estimate_follows_samples_but_not_an_outlier() -> None:
    """Guards against one slow statement that makes the scheduler refuse ordinary load."""
    usual, slow, outlier = (RankScheduler(RANKS, slots=2) for _ in range(3))
    usual_count = count_admitted(usual, serve(usual, 4, 100))
    slow_count = count_admitted(slow, serve(slow, 12, 100))
    now_ms = serve(outlier, 10_000, 1, serve(outlier, 4, 100))
    outlier_count = count_admitted(outlier, now_ms)
    assert slow_count < usual_count / 2
    assert outlier_count >= usual_count - 2


def test_stalled_slots_refuse_work_until_they_accept_it_again() -> None:
    """Guards against urgent requests that are admitted during a stall and miss their target."""
    scheduler = RankScheduler(RANKS, slots=2)
    now_ms = serve(scheduler, 4, 100)
    scheduler.offer(make_work(1, ROUTE, arrived_ms=now_ms, deadline_ms=now_ms + 60_000), now_ms)
    later_ms = now_ms + 30
    urgent = make_work(2, arrived_ms=later_ms, deadline_ms=later_ms + 5_000)
    assert scheduler.offer(urgent, later_ms).unwrap_err().code is Code.OVERLOADED
    assert scheduler.offer(urgent, later_ms, deadline_only=True).is_ok()
    again_ms = now_ms + 1_500
    fresh = make_work(3, arrived_ms=again_ms, deadline_ms=again_ms + 5_000)
    first = scheduler.take(again_ms).work
    assert first is not None
    assert first.work_id == 2
    assert scheduler.offer(fresh, again_ms).is_ok()


def test_refusals_end_although_no_work_is_taken() -> None:
    """Guards against a scheduler that refuses all work after a stall has emptied its queue."""
    scheduler = RankScheduler(RANKS, slots=2)
    now_ms = serve(scheduler, 4, 100)
    scheduler.offer(make_work(1, arrived_ms=now_ms, deadline_ms=now_ms + 50), now_ms)
    admitted = 0
    for step in range(0, 2_000, 10):
        at_ms = now_ms + 100 + step
        scheduler.expire(at_ms)
        work = make_work(10 + step, arrived_ms=at_ms, deadline_ms=at_ms + 50)
        admitted += scheduler.offer(work, at_ms).is_ok()
    assert 2 <= admitted <= 10


def test_deadline_only_work_is_served_by_rank_after_a_stall() -> None:
    """Guards against requests that wait out a stall and are then served by arrival, or never."""
    scheduler = RankScheduler([replace(rank, floor=0.0) for rank in RANKS], slots=1)
    for work_id, rank in enumerate((ROUTE, URGENT, VISIT, URGENT)):
        assert scheduler.offer(make_work(work_id, rank), 100, deadline_only=True).is_ok()
    assert scheduler.expire(1_600) == ()
    order = []
    while (work := scheduler.take(1_600).work) is not None:
        order.append(work.work_id)
        scheduler.complete(work.work_id, 1_600)
    assert order == [1, 3, 2, 0]


def test_new_settings_keep_waiting_work() -> None:
    """Guards against a change ticket that loses requests or exceeds the slots."""
    scheduler = RankScheduler(RANKS, slots=1)
    for work_id, rank in enumerate((URGENT, URGENT, VISIT, ROUTE)):
        assert scheduler.offer(make_work(work_id, rank), 0).is_ok()
    assert scheduler.take(0).work is not None
    removed = scheduler.configure((URGENT, ROUTE), slots=2)
    assert [work.rank for work in removed] == [VISIT.name]
    assert scheduler.count_waiting() == {URGENT.name: 1, ROUTE.name: 1}
    assert scheduler.take(0).work is not None
    assert scheduler.take(0).work is None
    assert scheduler.waiting == 1


def test_slow_statements_leave_a_slot_to_urgent_work() -> None:
    """Guards against slow routine statements that occupy all slots and block urgent work."""
    scheduler = RankScheduler((URGENT, ROUTE), slots=2)
    ends: dict[int, tuple[int, str]] = {}
    refused = slow = 0
    for now_ms in range(6_000):
        for work_id in [key for key, (end_ms, _) in ends.items() if end_ms <= now_ms]:
            scheduler.complete(work_id, now_ms)
            del ends[work_id]
        for rank, every_ms in ((URGENT, 20), (ROUTE, 10)):
            if now_ms % every_ms == 0:
                work_id = now_ms * 2 + rank.order
                work = make_work(work_id, rank, arrived_ms=now_ms, deadline_ms=now_ms + 3_000)
                is_refused = scheduler.offer(work, now_ms).is_err()
                refused += is_refused and rank is URGENT and now_ms > 3_000
        while (taken := scheduler.take(now_ms).work) is not None:
            service_ms = 4 if taken.rank == URGENT.name else 60
            ends[taken.work_id] = (now_ms + service_ms, taken.rank)
        if now_ms > 3_000:
            slow = max(slow, sum(rank == ROUTE.name for _, rank in ends.values()))
    assert slow == 1
    assert refused == 0
