"""Measures the run time of the scheduler: `python -m burdockrun_admission.cost`."""

import json
import random
import sys
import timeit

from burdockrun_base import Rank

from burdockrun_admission.member_queue import MemberQueue
from burdockrun_admission.models import (
    FixedLimit,
    OpenConnection,
    Outcome,
    QueueRequest,
    StartWork,
    Work,
    WorkKind,
)
from burdockrun_admission.scheduler import RankScheduler

WAITING = 5_000
ROUNDS = 20
STEPS_PER_ROUND = 5_000
DISTANT_FUTURE_MS = 10**9
RANKS = tuple(
    Rank(name=name, order=order, target_ms=DISTANT_FUTURE_MS, worth=1, floor=floor)
    for order, (name, floor) in enumerate((("urgent", 0.0), ("visit", 0.1), ("route", 0.05)))
)


def measure(accounts: int) -> dict[str, float]:
    """Return the time in µs of one offer, take and complete with `WAITING` requests queued."""
    rng = random.Random(1)
    works = iter(
        [
            Work(
                work_id=number,
                rank=RANKS[number % len(RANKS)].name,
                account=f"account-{rng.randrange(accounts)}",
                arrived_ms=0,
                deadline_ms=rng.randrange(DISTANT_FUTURE_MS // 2, DISTANT_FUTURE_MS),
            )
            for number in range(WAITING + ROUNDS * STEPS_PER_ROUND)
        ]
    )
    scheduler = RankScheduler(RANKS, slots=2)
    for _ in range(WAITING):
        scheduler.offer(next(works), 0)
    now_ms = 0

    def step() -> None:
        nonlocal now_ms
        now_ms += 2
        scheduler.offer(next(works), now_ms)
        taken = scheduler.take(now_ms).work
        if taken is not None:
            scheduler.complete(taken.work_id, now_ms + 4)

    rounds = sorted(timeit.repeat(step, number=STEPS_PER_ROUND, repeat=ROUNDS))
    least, median = rounds[0], rounds[ROUNDS // 2]
    return {
        "accounts": accounts,
        "waiting": scheduler.waiting,
        "least_us": round(least / STEPS_PER_ROUND * 1e6, 1),
        "median_us": round(median / STEPS_PER_ROUND * 1e6, 1),
    }


def measure_home(accounts: int, waiting: int) -> dict[str, float]:
    """Return the time in µs for one statement at a home: offer, three advances and complete.

    `waiting` statements are queued all the time. Connections that are opened count as open at once.
    """
    rng = random.Random(1)
    queue = MemberQueue(FixedLimit(4), random.Random(2))
    queue.configure(RANKS, 4, 43)
    kinds = {rank.name: WorkKind(rank=rank.name, writes=False) for rank in RANKS}
    running: list[int] = []
    now_ms, work_id = 0, 0

    def advance() -> None:
        for action in queue.advance(now_ms):
            if isinstance(action, StartWork):
                running.append(action.work_id)
            elif isinstance(action, OpenConnection):
                queue.note_opened(action.connection_id, now_ms)
                advance()

    def offer() -> None:
        nonlocal work_id
        work_id += 1
        rank = RANKS[work_id % len(RANKS)].name
        request = QueueRequest(
            work_id=work_id,
            rank=rank,
            account=f"account-{rng.randrange(accounts)}",
            kind=kinds[rank],
            arrived_ms=now_ms,
            deadline_ms=now_ms + DISTANT_FUTURE_MS // 2,
        )
        queue.offer(request, now_ms)
        advance()

    def step() -> None:
        nonlocal now_ms
        now_ms += 2
        offer()
        queue.describe(now_ms)
        if running:
            queue.complete(running.pop(0), now_ms, Outcome.DONE)
            advance()
            advance()

    for _ in range(waiting):
        offer()
    rounds = sorted(timeit.repeat(step, number=STEPS_PER_ROUND, repeat=ROUNDS // 2))
    least, median = rounds[0], rounds[len(rounds) // 2]
    return {
        "home_accounts": accounts,
        "waiting": queue.describe(now_ms).waiting,
        "least_us": round(least / STEPS_PER_ROUND * 1e6, 1),
        "median_us": round(median / STEPS_PER_ROUND * 1e6, 1),
    }


def main() -> int:
    """Print one JSON line with the times for some numbers of client accounts."""
    figures = [measure(accounts) for accounts in (1, 20)]
    figures += [measure_home(accounts, waiting) for waiting in (0, 40) for accounts in (1, 80)]
    sys.stdout.write(json.dumps(figures) + "\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
