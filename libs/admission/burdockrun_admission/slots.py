"""Work in service and the expected wait for a slot."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from burdockrun_admission.models import Work


class StartedWork(NamedTuple):
    """Work in service.

    `cost_ms` is the slot time charged in advance. `blocks` tells whether more urgent work could
    miss its target while it waits for this work.
    """

    work: Work
    started_ms: int
    cost_ms: float
    expected_end_ms: float
    blocks: bool


def estimate_slot_wait(
    started: Iterable[StartedWork], slots: int, ahead_ms: float, now_ms: int
) -> float:
    """Return after how many ms new work gets a slot, with `ahead_ms` of slot time queued before it.

    Each slot in use takes its part of the work ahead from the time at which it becomes free.

    >>> estimate_slot_wait((), 2, 12.0, 0)
    6.0
    >>> work = Work(work_id=1, rank="a", account="b", arrived_ms=0, deadline_ms=9)
    >>> busy = [StartedWork(work, 0, 4.0, end_ms, False) for end_ms in (4.0, 40.0)]
    >>> estimate_slot_wait(busy, 2, 12.0, 0)
    16.0
    """
    total_ms, longest_ms = ahead_ms, 0.0
    busy_ms: list[float] = []
    for work in started:
        remaining_ms = work.expected_end_ms - now_ms
        busy_ms.append(remaining_ms)
        if remaining_ms > 0.0:
            total_ms += remaining_ms
            longest_ms = longest_ms if longest_ms > remaining_ms else remaining_ms
    if longest_ms * slots <= total_ms and len(busy_ms) <= slots:
        return total_ms / slots
    free = slots - len(busy_ms)
    wait_ms = ahead_ms / free if free > 0 else math.inf
    for remaining_ms in sorted(busy_ms):
        if remaining_ms >= wait_ms:
            break
        ahead_ms += max(0.0, remaining_ms)
        free += 1
        if free > 0:
            wait_ms = ahead_ms / free
    return wait_ms
