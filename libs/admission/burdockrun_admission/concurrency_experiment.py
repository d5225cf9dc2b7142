"""Compares limits of concurrency: `python -m burdockrun_admission.concurrency_experiment`."""

import argparse
import json
import random
import sys
from collections.abc import Callable
from typing import Final

from burdockrun_admission.concurrency import ConcurrencyLimit
from burdockrun_admission.concurrency_methods import AimdLimit, GradientLimit, KneeLimit
from burdockrun_admission.concurrency_simulation import (
    KINDS,
    ConcurrencyScenario,
    ConcurrencySimulation,
    KindResult,
)
from burdockrun_admission.models import FixedLimit, WorkLimit

METHODS: Final[dict[str, Callable[[int, random.Random], WorkLimit]]] = {
    "fixed": lambda slots, _: FixedLimit(slots),
    "aimd": lambda slots, _: AimdLimit(slots),
    "gradient": lambda slots, _: GradientLimit(slots),
    "knee": lambda slots, _: KneeLimit(slots),
    "chosen": ConcurrencyLimit,
}
# Loads are multiples of the capacity of a healthy member.
SCENARIOS: Final = (
    ConcurrencyScenario(name="low demand", load=0.2),
    ConcurrencyScenario(name="healthy", load=0.8),
    ConcurrencyScenario(name="overload", load=1.5),
    ConcurrencyScenario(name="overload from the start", load=1.5, quiet_ms=0),
    ConcurrencyScenario(name="slow member", load=0.8, slow=((8_000, 14_000, 5.0),)),
    ConcurrencyScenario(name="slow under load", load=0.45, crowding=0.5),
    ConcurrencyScenario(name="slow under load, steep", load=0.45, crowding=1.0),
    ConcurrencyScenario(
        name="slow under load, steep, from the start", load=0.45, crowding=1.0, quiet_ms=0
    ),
    ConcurrencyScenario(name="flapping member", load=0.4, flap_ms=1_400),
    ConcurrencyScenario(name="cold start", load=0.8, slow=((0, 5_000, 1.6),)),
    ConcurrencyScenario(name="uneven machines", load=0.8, slow=((0, 30_000, 1.5),)),
    ConcurrencyScenario(name="more slots than announced", load=1.2, real_slots=8),
    ConcurrencyScenario(name="slow kind", load=0.8, slow_kind=((8_000, 14_000, 5.0),)),
    ConcurrencyScenario(name="3 homes", load=0.9, homes=3),
    ConcurrencyScenario(name="3 homes, overload", load=1.5, homes=3),
    ConcurrencyScenario(name="3 homes, from the start", load=1.5, homes=3, quiet_ms=0),
    ConcurrencyScenario(name="8 homes, overload", load=1.5, homes=8),
    ConcurrencyScenario(
        name="3 homes, slow member", load=0.8, homes=3, slow=((8_000, 14_000, 5.0),)
    ),
)


def measure(scenario: ConcurrencyScenario, method: str, seed: int) -> ConcurrencySimulation:
    """Run one scenario with one method and return the finished simulation."""
    limits = [
        METHODS[method](scenario.slots, random.Random(f"limit {seed} {home}"))
        for home in range(scenario.homes)
    ]
    simulation = ConcurrencySimulation(scenario, limits, seed)
    simulation.run()
    return simulation


def summarise(runs: list[ConcurrencySimulation]) -> dict[str, object]:
    """Return shares of all work, times by kind in ms, and the sum of the limits over time."""
    results = [[run.results[kind] for run in runs] for kind in KINDS]
    everything = KindResult.join([result for kind in results for result in kind])
    sums = [value for run in runs for at_ms, value in run.limits if at_ms >= 2_000]
    return {
        **everything.describe_shares(),
        "kinds": {
            kind.rank: KindResult.join(result).describe_times()
            for kind, result in zip(KINDS, results, strict=True)
        },
        "limit": [min(sums), round(sum(sums) / len(sums), 1), max(sums)],
    }


def main(argv: list[str] | None = None) -> int:
    """Print one JSON line for each scenario and method."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds, from 1")
    parser.add_argument("--scenario", default="", help="run only this scenario")
    parser.add_argument("--method", default="", help="run only this method")
    options = parser.parse_args(argv)
    for scenario in SCENARIOS:
        if options.scenario not in ("", scenario.name):
            continue
        for method in [options.method] if options.method else METHODS:
            runs = [measure(scenario, method, seed) for seed in range(1, options.seeds + 1)]
            row = {"scenario": scenario.name, "method": method, **summarise(runs)}
            sys.stdout.write(json.dumps(row) + "\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
