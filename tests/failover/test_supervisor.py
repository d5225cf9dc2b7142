"""Tests of the supervisor in a virtual-time world."""

import pytest

from tests.failover.common import FakeNode, World


def start(seed: int, *, spare: int = 0) -> World:
    """Return a world with an active term and a writer in the domain without a member."""
    world = World(seed=seed, spare=spare)
    world.run_until(1_000)
    world.start_writes(world.nodes[3], 10)
    world.run_until(2_000)
    assert world.active.term == 1
    return world


def ask_for_change(world: World) -> None:
    for node in world.nodes:
        node.supervisor.request_primary_change("test", world.now_ms)


def find_promoter(world: World) -> FakeNode:
    name = world.store.history[-1].promoter.split("#")[0]
    return next(node for node in world.nodes if node.info.node == name)


def test_first_promotion_activates_term_one() -> None:
    """Guards against a database without a record that never gets a primary."""
    world = start(1)
    assert world.members[world.active.primary].role == "primary"
    assert {node.supervisor.record for node in world.nodes} == {world.store.history[-1]}


def test_replica_takes_over_from_a_dead_primary() -> None:
    """Guards against a failed primary that is never replaced, and lost acknowledged writes."""
    world = start(2)
    old = world.active
    world.members[old.primary].alive = False
    world.run_for(3_000)
    assert (world.active.term, world.active.primary != old.primary) == (2, True)
    assert world.acknowledged[-1].term == 2
    assert world.list_missing() == []


def test_returned_primary_follows_and_loses_its_unconfirmed_tail() -> None:
    """Guards against an old primary that stays outside the group or keeps its own entries."""
    world = start(3)
    old = world.members[world.active.primary]
    old.alive = False
    old.log.append((1, "never confirmed"))
    world.run_for(2_000)
    old.alive = True
    world.run_for(2_000)
    assert (old.term, old.role) == (2, "replica")
    assert (1, "never confirmed") not in old.log


def test_stuck_primary_is_replaced_and_a_slow_one_is_not() -> None:
    """Guards against a primary that answers probes for ever, and against promotion in a flood."""
    world = start(4)
    primary = world.members[world.active.primary]
    for _ in range(100):
        primary.pending = 50
        world.run_for(100)
    assert world.active.term == 1
    primary.stuck = True
    world.run_for(4_000)
    assert world.active.primary != primary.member.name


def test_no_promotion_under_loss_of_messages() -> None:
    """Guards against a false promotion when 30% of all messages are lost."""
    world = start(5)
    world.links.loss = 0.3
    world.run_for(20_000)
    assert world.active.term == 1


@pytest.mark.parametrize("far", ["p0", "m1 m2"], ids=["home", "replicas"])
def test_primary_cut_off_from_some_is_replaced(far: str) -> None:
    """Guards against writes that stop for good because only some links of the primary work."""
    world = start(17)
    old, started_ms = world.active.primary, world.now_ms
    world.links.cuts = {frozenset((old, other)) for other in far.split()}
    world.run_for(10_000)
    assert world.active.primary != old
    assert world.find_gap_ms(started_ms) <= 3_000
    assert world.list_missing() == []


def test_platform_outage_delays_the_promotion() -> None:
    """Guards against a promotion without the record, and one that never comes afterwards."""
    world = start(6)
    world.store.down = True
    old = world.members[world.active.primary]
    old.alive = False
    world.run_for(10_000)
    assert all(member.term == 1 for member in world.members.values())
    world.store.down = False
    world.run_for(30_000)
    assert world.active.primary != old.member.name
    assert world.acknowledged[-1].at_ms > world.now_ms - 100


def test_claim_is_dropped_when_the_primary_returns_during_an_outage() -> None:
    """Guards against a promotion on evidence from before a long outage of the platform."""
    world = start(7)
    world.store.down = True
    old = world.members[world.active.primary]
    old.alive = False
    world.run_for(2_000)
    old.alive = True
    world.run_for(2_000)
    world.store.down = False
    world.run_for(40_000)
    assert world.active.term == 1


def test_lost_platform_answers_are_recognised() -> None:
    """Guards against a promoter that does not know its own record and starts another term."""
    world = start(8)
    world.members[world.active.primary].alive = False
    world.store.answer_loss_rate = 1.0
    world.run_for(1_200)
    assert [record.state for record in world.store.history[2:]] == ["fencing"]
    world.store.answer_loss_rate = 0.0
    world.run_for(2_000)
    assert world.active.term == 2
    assert len(world.store.history) == 4


@pytest.mark.parametrize("pause_after_ms", [0, 6, 14])
def test_paused_promoter_is_superseded_and_does_not_go_on(pause_after_ms: int) -> None:
    """Guards against two primaries and against steps on a record that has moved on."""
    world = start(9)
    world.members[world.active.primary].alive = False
    while world.store.history[-1].state == "active":
        world.run_for(1)
    promoter = find_promoter(world)
    world.run_for(pause_after_ms)
    promoter.paused_since_ms = world.now_ms
    world.run_for(4_000)
    assert world.active.term == 3
    assert world.store.history[2].active == world.store.history[3].active
    promoter.resume()
    world.run_for(2_000)
    assert world.active.term == 3
    assert "term_activated" not in promoter.events
    assert promoter.supervisor.record == world.store.history[-1]


@pytest.mark.parametrize("dead_ms", [590, 1_500])
def test_paused_home_ignores_evidence_from_before_the_pause(dead_ms: int) -> None:
    """Guards against a promotion on silence and verdicts that a pause has made stale."""
    world = start(10)
    primary = world.members[world.active.primary]
    primary.alive = False
    world.store.down = True
    world.run_for(dead_ms)
    for node in world.nodes:
        node.paused_since_ms = world.now_ms
    world.run_for(3_000)
    primary.alive = True
    world.store.down = False
    world.run_for(300)
    for node in world.nodes:
        node.events.clear()
        node.resume()
    world.run_for(3_000)
    assert world.active.term == 1
    seen = {event for node in world.nodes for event in node.events}
    assert not seen & {"primary_suspected", "suspicion_cleared", "promotion_started"}


def test_planned_change_moves_the_primary_with_a_short_gap() -> None:
    """Guards against a planned change that loses writes or stops them for over 100 ms."""
    world = start(11)
    old, started_ms = world.active.primary, world.now_ms
    ask_for_change(world)
    world.run_for(1_000)
    assert (world.active.term, world.active.primary != old) == (2, True)
    assert world.find_gap_ms(started_ms) <= 100
    assert world.list_missing() == []


def test_abandoned_change_keeps_the_old_primary() -> None:
    """Guards against writes that stop because no replica can take over any more."""
    world = start(12)
    old = world.active.primary
    replicas = [member for name, member in world.members.items() if name != old]
    ask_for_change(world)
    while world.store.history[-1].state == "active":
        world.run_for(1)
    for member in replicas:
        member.alive = False
    world.run_for(150)
    assert (world.active.term, world.active.primary) == (2, old)
    assert "change_abandoned" in world.homes[old].events
    for member in replicas:
        member.restart()
    world.run_for(500)
    assert world.acknowledged[-1].term == 2


def test_planned_change_does_not_need_entries_of_a_fenced_member() -> None:
    """Guards against a change that always fails where a fenced primary sends no entries."""
    world = start(16)
    for member in world.members.values():
        member.ships_when_fenced = False
    old, started_ms = world.active.primary, world.now_ms
    ask_for_change(world)
    world.run_for(1_000)
    assert (world.active.term, world.active.primary != old) == (2, True)
    assert world.find_gap_ms(started_ms) <= 100
    assert world.list_missing() == []


def test_leaving_primary_and_replaced_members_change_in_terms() -> None:
    """Guards against a ticket that leaves a member without its place or loses writes."""
    world = start(13, spare=1)
    world.set_members("m1", "m2", "m3")
    world.run_for(20_000)
    assert set(world.active.members) == {"m1", "m2", "m3"}
    copy, log = world.members["m3"].log, world.members[world.active.primary].log
    assert copy == log[: len(copy)]
    assert len(log) - len(copy) < 10
    assert world.list_missing() == []


def test_rule_primary_is_entered_and_left_by_new_terms() -> None:
    """Guards against writes that nobody can acknowledge while both replicas are far behind."""
    world = start(14)
    for member in world.members.values():
        member.pull_ms, member.pull_limit = 500, 10
    world.run_for(14_000)
    assert (world.active.term, world.active.ack_rule) == (2, "primary")
    assert world.acknowledged[-1].at_ms > world.now_ms - 100
    primary = world.members[world.active.primary]
    primary.alive = False
    world.run_for(3_000)
    assert world.active.term == 2
    primary.alive = True
    for member in world.members.values():
        member.hurry()
    world.run_for(20_000)
    assert world.active.ack_rule == "majority"
    assert world.list_missing() == []


@pytest.mark.parametrize("dead", ["m1", "m2"])
def test_promotion_waits_until_a_majority_is_back(dead: str) -> None:
    """Guards against a promotion without the acknowledged writes after a double failure."""
    world = start(15)
    old = world.members[world.active.primary]
    old.alive = world.members[dead].alive = False
    world.run_for(5_000)
    assert world.active.primary == old.member.name
    world.members[dead].restart()
    world.run_for(3_000)
    assert world.active.primary not in (old.member.name, None)
    assert world.list_missing() == []


def test_new_members_take_over_only_with_the_whole_log() -> None:
    """Guards against a term whose majority lacks writes that the old members acknowledged."""
    world = start(18, spare=1)
    old = world.active
    database = world.set_members("m0", "m1", "m3")
    while world.store.history[-1].state == "active":
        world.run_for(1)
    world.links.cuts = {frozenset((old.primary, other)) for other in ("m1", "m3")}
    world.run_for(1_000)
    assert (world.active.primary, world.active.members) == (old.primary, old.members)
    assert world.acknowledged[-1].at_ms > world.now_ms - 100
    world.links.cuts = set()
    world.run_for(15_000)
    assert set(world.active.members) == {member.name for member in database.members}
    assert world.list_missing() == []
