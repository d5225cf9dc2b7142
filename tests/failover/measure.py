"""Measures the write gap over many seeds: `python -m tests.failover.measure [--seeds 200]`."""

import argparse
import statistics
import sys
from collections.abc import Callable

from tests.failover.common import ANDES, BAYERN, World

PLACES = {"bayern": BAYERN, "andes": ANDES}
WRITE_EVERY_MS = 5


def start_world(seed: int, domains: tuple[str, ...]) -> World:
    """Return a world whose group is active and written from another domain, at a random phase."""
    world = World(seed=seed, domains=domains)
    world.run_until(1_000)
    writer = next(
        node for node in reversed(world.nodes) if node is not world.homes[world.active.primary]
    )
    world.start_writes(writer, WRITE_EVERY_MS)
    world.run_until(2_000 + world.rng.randint(0, 1_000))
    return world


def check(world: World, terms: int) -> None:
    """Check that the number of terms is as expected and that no acknowledged write is missing."""
    assert world.active.term == terms, f"seed {world.seed}: term {world.active.term}"
    assert not world.list_missing(), f"seed {world.seed}: {world.list_missing()[:3]}"


def measure_crash(seed: int, domains: tuple[str, ...]) -> int:
    """Return the write gap in ms after the primary has died."""
    world = start_world(seed, domains)
    started_ms = world.now_ms
    world.members[world.active.primary].alive = False
    world.run_for(5_000)
    check(world, 2)
    return world.find_gap_ms(started_ms)


def measure_cut(seed: int, domains: tuple[str, ...]) -> int:
    """Return the write gap in ms after the primary's domain was cut off from the others."""
    world = start_world(seed, domains)
    started_ms = world.now_ms
    home = world.members[world.active.primary].member.domain
    others = [domain for domain in (*domains, "platform") if domain != home]
    world.links.cuts = {frozenset((home, other)) for other in others}
    world.run_for(5_000)
    check(world, 2)
    return world.find_gap_ms(started_ms)


def measure_stuck(seed: int, domains: tuple[str, ...]) -> int:
    """Return the write gap in ms after the primary has stopped finishing statements."""
    world = start_world(seed, domains)
    started_ms = world.now_ms
    world.members[world.active.primary].stuck = True
    world.run_for(6_000)
    check(world, 2)
    return world.find_gap_ms(started_ms)


def measure_double(seed: int, domains: tuple[str, ...]) -> int:
    """Return the write gap in ms after the primary and the home of a replica have died."""
    world = start_world(seed, domains)
    started_ms = world.now_ms
    world.members[world.active.primary].alive = False
    world.homes["m1"].alive = False
    world.run_for(6_000)
    check(world, 2)
    return world.find_gap_ms(started_ms)


def measure_planned(seed: int, domains: tuple[str, ...]) -> int:
    """Return the write gap in ms of a planned change of the primary."""
    world = start_world(seed, domains)
    started_ms = world.now_ms
    for node in world.nodes:
        node.supervisor.request_primary_change("test", world.now_ms)
    world.run_for(3_000)
    check(world, 2)
    return world.find_gap_ms(started_ms)


def measure_loss(seed: int, domains: tuple[str, ...]) -> int:
    """Return the number of promotions in 20 s with 30% of all messages lost."""
    world = start_world(seed, domains)
    world.links.loss = 0.3
    world.run_for(20_000)
    assert not world.list_missing(), f"seed {seed}"
    return world.active.term - 1


KINDS: dict[str, Callable[[int, tuple[str, ...]], int]] = {
    "crash": measure_crash,
    "cut": measure_cut,
    "stuck": measure_stuck,
    "double": measure_double,
    "planned": measure_planned,
    "loss": measure_loss,
}


def main() -> None:
    """Print one line for each place and kind of fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--kind", choices=sorted(KINDS), action="append")
    options = parser.parse_args()
    for place, domains in PLACES.items():
        for kind in options.kind or KINDS:
            values = sorted(KINDS[kind](seed, domains) for seed in range(1, options.seeds + 1))
            line = (
                f"{place} {kind} seeds=1..{options.seeds} median={statistics.median(values)} "
                f"p95={values[len(values) * 95 // 100]} worst={values[-1]} sum={sum(values)}\n"
            )
            sys.stdout.write(line)
            sys.stdout.flush()


if __name__ == "__main__":
    main()
