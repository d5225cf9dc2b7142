"""Measures the scheduler in overload: `python -m burdockrun_admission.experiment [--seeds N]`."""

import argparse
import json
import sys
from dataclasses import dataclass

from burdockrun_base import Rank

from burdockrun_admission.first_come import FirstComeQueue
from burdockrun_admission.scheduler import RankScheduler
from burdockrun_admission.simulation import (
    SLOTS,
    Phase,
    Scenario,
    Scheduler,
    Simulation,
    SimulationResult,
)

# Loads are multiples of the capacity of the member, one for each rank, most urgent first.
FLOOD_LOAD = 10.0
URGENT_FLOOD = (FLOOD_LOAD, 0.5, 0.5)
ROUTINE_FLOOD = (0.5, 0.3, FLOOD_LOAD)
STOP_MS = 1_500
SLOW_FACTOR = 6.0

DEPLOYMENTS: dict[str, tuple[Rank, ...]] = {
    "bayern": (
        Rank(name="urgent-booking", order=0, target_ms=50, worth=10, floor=0.0),
        Rank(name="visit-log", order=1, target_ms=400, worth=3, floor=0.10),
        Rank(name="route-pull", order=2, target_ms=2_000, worth=1, floor=0.05),
    ),
    "andes": (
        Rank(name="rescue-query", order=0, target_ms=40, worth=10, floor=0.0),
        Rank(name="ascent", order=1, target_ms=400, worth=3, floor=0.10),
        Rank(name="marker", order=2, target_ms=1_500, worth=1, floor=0.05),
    ),
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Score:
    """Result of one run, measured against the goals of admission.

    `urgent_in_target` is the share of the admitted requests of the most urgent rank that met their
    target, `useful` the share of the available slot time spent on work done before its deadline.
    `floor_kept` is the lowest ratio of slot time to floor among the other ranks in any phase; where
    a rank offered less than its floor, the ratio is to the offered slot time.
    """

    urgent_admitted: int
    urgent_in_target: float
    useful: float
    floor_kept: float
    worth_per_s: float


def make_scenarios(duration_ms: int) -> tuple[Scenario, ...]:
    """Return overload scenarios.

    In `urgent` the most urgent rank overloads the member, in `routine` the least urgent one, and in
    `turning` first the least and then the most urgent one. Each is also run with a stop of the
    member. In `slow-routine` each routine statement takes `SLOW_FACTOR` times as long.
    """
    half_ms = duration_ms // 2
    urgent = (Phase(duration_ms=duration_ms, loads=URGENT_FLOOD),)
    routine = (Phase(duration_ms=duration_ms, loads=ROUTINE_FLOOD),)
    turning = (
        Phase(duration_ms=half_ms, loads=ROUTINE_FLOOD),
        Phase(duration_ms=half_ms, loads=URGENT_FLOOD),
    )
    stop = (half_ms + 1_000, half_ms + 1_000 + STOP_MS)
    scenarios = [
        Scenario(name=name + suffix, phases=phases, stops=stops)
        for name, phases in (("urgent", urgent), ("routine", routine), ("turning", turning))
        for suffix, stops in (("", ()), ("-stop", (stop,)))
    ]
    return (
        *scenarios,
        Scenario(name="slow-routine", phases=routine, slowness=(1.0, 1.0, SLOW_FACTOR)),
    )


def measure(scheduler: Scheduler, ranks: tuple[Rank, ...], scenario: Scenario, seed: int) -> Score:
    """Run one scenario and return its score."""
    result = Simulation(scheduler, ranks, scenario, seed).run()
    urgent = result.ranks[ranks[0].name]
    worth = sum(rank.worth * result.ranks[rank.name].in_target for rank in ranks)
    return Score(
        urgent_admitted=urgent.admitted,
        urgent_in_target=urgent.in_target / max(1, urgent.admitted),
        useful=result.useful_ms / sum(result.available_ms),
        floor_kept=_find_lowest_floor_ratio(result, ranks, scenario),
        worth_per_s=worth / scenario.duration_ms * 1_000,
    )


def _find_lowest_floor_ratio(
    result: SimulationResult, ranks: tuple[Rank, ...], scenario: Scenario
) -> float:
    return min(
        busy_ms / available_ms / min(rank.floor, load)
        for rank in ranks
        if rank.floor
        for busy_ms, available_ms, load in zip(
            result.ranks[rank.name].busy_ms,
            result.available_ms,
            (phase.loads[rank.order] for phase in scenario.phases),
            strict=True,
        )
    )


def _summarise(scores: list[Score]) -> dict[str, float]:
    """Return `urgent_in_target` over all seeds, the worst seed of each share and the mean worth."""
    admitted = sum(score.urgent_admitted for score in scores)
    in_target = sum(score.urgent_admitted * score.urgent_in_target for score in scores)
    return {
        "urgent_admitted": admitted,
        "urgent_in_target": round(in_target / admitted, 5),
        "urgent_in_target_worst": round(min(score.urgent_in_target for score in scores), 5),
        "useful": round(min(score.useful for score in scores), 4),
        "floor_kept": round(min(score.floor_kept for score in scores), 3),
        "worth_per_s": round(sum(score.worth_per_s for score in scores) / len(scores)),
    }


def main(argv: list[str] | None = None) -> int:
    """Print one JSON line that compares the scheduler with first come, first served."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds, from 1")
    parser.add_argument("--duration-ms", type=int, default=30_000, help="length of a scenario")
    options = parser.parse_args(argv)
    seeds = range(1, options.seeds + 1)
    report: dict[str, dict[str, dict[str, dict[str, float]]]] = {}
    for deployment, ranks in DEPLOYMENTS.items():
        rows = report[deployment] = {}
        for scenario in make_scenarios(options.duration_ms):
            rows[scenario.name] = {
                "ranked": _summarise(
                    [measure(RankScheduler(ranks, SLOTS), ranks, scenario, s) for s in seeds]
                ),
                "first_come": _summarise(
                    [measure(FirstComeQueue(SLOTS), ranks, scenario, s) for s in seeds]
                ),
            }
    sys.stdout.write(json.dumps(report) + "\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
