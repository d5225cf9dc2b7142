"""Tests of the supervisor in a virtual-time world."""

from tests.failover.common import World


def test_first_promotion_activates_term_one() -> None:
    """Guards against a database without a record that never gets a primary."""
    world = World(seed=1)
    world.run_until(500)
    assert world.active.term == 1
    assert world.members[world.active.primary].role == "primary"


def test_replica_takes_over_from_a_dead_primary() -> None:
    """Guards against a failed primary that is never replaced, and lost acknowledged writes."""
    world = World(seed=2)
    world.run_until(1_000)
    world.start_writes(world.nodes[3], 10)
    world.run_until(2_000)
    old = world.active
    world.members[old.primary].alive = False
    world.run_until(5_000)
    assert (world.active.term, world.active.primary != old.primary) == (2, True)
    assert world.acknowledged[-1].term == 2
    assert world.list_missing() == []


def test_returned_primary_follows_and_loses_its_unconfirmed_tail() -> None:
    """Guards against an old primary that stays outside the group or keeps its own entries."""
    world = World(seed=3)
    world.run_until(1_000)
    world.start_writes(world.nodes[3], 10)
    old = world.members[world.active.primary]
    old.alive = False
    old.log.append((1, "never confirmed"))
    world.run_until(4_000)
    old.alive = True
    world.run_until(6_000)
    assert (old.term, old.role) == (2, "replica")
    assert (1, "never confirmed") not in old.log
