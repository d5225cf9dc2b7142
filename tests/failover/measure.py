"""Measures the write gap over many seeds: `python -m tests.failover.measure [--seeds 200]`."""

import argparse
import statistics
import sys
from collections.abc import Callable

from tests.failover.common import ANDES, BAYERN, Simulation

TOPOLOGIES = {"bayern": BAYERN, "andes": ANDES}
WRITE_EVERY_MS = 5


def start_simulation(seed: int, domains: tuple[str, ...]) -> Simulation:
    """Return a simulation with an active group, written from another domain, at a random time."""
    simulation = Simulation(seed=seed, domains=domains)
    simulation.run_until(1_000)
    writer = next(
        node
        for node in reversed(simulation.nodes)
        if node is not simulation.homes[simulation.active.primary]
    )
    simulation.start_writes(writer, WRITE_EVERY_MS)
    simulation.run_until(2_000 + simulation.rng.randint(0, 1_000))
    return simulation


def check(simulation: Simulation, expected_term: int) -> None:
    """Check the number of the active term, and that no acknowledged write is missing."""
    assert (
        simulation.active.term == expected_term
    ), f"seed {simulation.seed}: term {simulation.active.term}"
    assert not simulation.list_missing(), f"seed {simulation.seed}: {simulation.list_missing()[:3]}"


def measure_crash(seed: int, domains: tuple[str, ...]) -> int:
    """Return the write gap in ms after a crash of the primary."""
    simulation = start_simulation(seed, domains)
    started_ms = simulation.now_ms
    simulation.members[simulation.active.primary].alive = False
    simulation.run_for(5_000)
    check(simulation, 2)
    return simulation.find_write_gap_ms(started_ms)


def measure_isolation(seed: int, domains: tuple[str, ...]) -> int:
    """Return the write gap in ms after the primary's domain was isolated from the others."""
    simulation = start_simulation(seed, domains)
    started_ms = simulation.now_ms
    home = simulation.members[simulation.active.primary].member.domain
    others = [domain for domain in (*domains, "platform") if domain != home]
    simulation.links.blocked_links = {frozenset((home, other)) for other in others}
    simulation.run_for(5_000)
    check(simulation, 2)
    return simulation.find_write_gap_ms(started_ms)


def measure_stuck(seed: int, domains: tuple[str, ...]) -> int:
    """Return the write gap in ms after the primary has stopped completing statements."""
    simulation = start_simulation(seed, domains)
    started_ms = simulation.now_ms
    simulation.members[simulation.active.primary].stuck = True
    simulation.run_for(6_000)
    check(simulation, 2)
    return simulation.find_write_gap_ms(started_ms)


def measure_double_crash(seed: int, domains: tuple[str, ...]) -> int:
    """Return the write gap in ms after a crash of the primary and of the home of a replica."""
    simulation = start_simulation(seed, domains)
    started_ms = simulation.now_ms
    simulation.members[simulation.active.primary].alive = False
    simulation.homes["m1"].alive = False
    simulation.run_for(6_000)
    check(simulation, 2)
    return simulation.find_write_gap_ms(started_ms)


def measure_planned(seed: int, domains: tuple[str, ...]) -> int:
    """Return the write gap in ms of a planned change of the primary."""
    simulation = start_simulation(seed, domains)
    started_ms = simulation.now_ms
    for node in simulation.nodes:
        node.supervisor.request_primary_change("test", simulation.now_ms)
    simulation.run_for(3_000)
    check(simulation, 2)
    return simulation.find_write_gap_ms(started_ms)


def measure_loss(seed: int, domains: tuple[str, ...]) -> int:
    """Return the number of promotions in 20 s with 30% of all messages lost."""
    simulation = start_simulation(seed, domains)
    simulation.links.loss_rate = 0.3
    simulation.run_for(20_000)
    assert not simulation.list_missing(), f"seed {seed}"
    return simulation.active.term - 1


KINDS: dict[str, Callable[[int, tuple[str, ...]], int]] = {
    "crash": measure_crash,
    "cut": measure_isolation,
    "stuck": measure_stuck,
    "double": measure_double_crash,
    "planned": measure_planned,
    "loss": measure_loss,
}


def main() -> None:
    """Print one line for each topology and kind of fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--kind", choices=sorted(KINDS), action="append")
    options = parser.parse_args()
    for topology, domains in TOPOLOGIES.items():
        for kind in options.kind or KINDS:
            values = sorted(KINDS[kind](seed, domains) for seed in range(1, options.seeds + 1))
            line = (
                f"{topology} {kind} seeds=1..{options.seeds} median={statistics.median(values)} "
                f"p95={values[len(values) * 95 // 100]} worst={values[-1]} sum={sum(values)}\n"
            )
            sys.stdout.write(line)
            sys.stdout.flush()


if __name__ == "__main__":
    main()
