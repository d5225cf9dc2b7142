"""Tests of the evidence that protects roles."""

from itertools import combinations

from burdockrun_fleet.const import EVIDENCE_TTL_MS
from burdockrun_fleet.evidence import Evidence, find_supported, list_witnesses
from burdockrun_fleet.rosters import next_generation
from burdockrun_fleet.simulation import place_nodes
from burdockrun_messages import Digest, NodeInfo, PingAck, Roster

NODES = tuple(place_nodes(20, ("aug",)))
OWN = NODES[0]
FIRST = next_generation(None, "aug", NODES)


def make_ack(sender: NodeInfo, epoch: int, vouches: int | None = 0) -> PingAck:
    """Return the answer of a witness whose own evidence has an age."""
    digest = Digest(
        ticket=1,
        roster_epochs={"aug": epoch},
        terms_hash=0,
        vouches={} if vouches is None else {"aug": vouches},
    )
    return PingAck(sequence=1, sender=sender, incarnation=0, digest=digest)


def find_witnesses() -> list[NodeInfo]:
    """Return the witnesses of the own node."""
    names = list_witnesses(OWN.node, NODES)
    return [info for info in NODES if info.node in names]


def hear(evidence: Evidence, roster: Roster, acks: list[PingAck], sent_ms: int) -> None:
    """Let a node hear acknowledgements under a roster."""
    for ack in acks:
        evidence.note_ack(ack, sent_ms, {"aug": roster})


def test_evidence_is_as_old_as_the_second_youngest_answer() -> None:
    """Guards against one witness, or an old answer of one, keeping a node's roles."""
    evidence = Evidence(OWN)
    evidence.start(0)
    first, second, _ = find_witnesses()
    hear(evidence, FIRST, [make_ack(first, 1)], 1_000)
    assert not evidence.is_fresh(FIRST, 1_000)
    hear(evidence, FIRST, [make_ack(second, 1, vouches=3_000)], 5_000)
    assert evidence.time_of(FIRST) == 1_000
    assert evidence.is_fresh(FIRST, 1_000 + EVIDENCE_TTL_MS - 1)
    assert not evidence.is_fresh(FIRST, 1_000 + EVIDENCE_TTL_MS)


def test_a_witness_that_has_moved_on_or_may_not_vouch_does_not_count() -> None:
    """Guards against roles kept after a later roster was sealed."""
    evidence = Evidence(OWN)
    evidence.start(0)
    first, second, third = find_witnesses()
    acks = [make_ack(first, 2), make_ack(second, 1, vouches=None), make_ack(third, 1)]
    hear(evidence, FIRST, acks, 1_000)
    assert evidence.time_of(FIRST) is None


def test_a_restarted_process_vouches_only_after_a_later_confirmation() -> None:
    """Guards against a witness that has forgotten that it moved to a later roster."""
    evidence = Evidence(OWN)
    evidence.start(10_000)
    evidence.note_platform("aug", 9_999)
    assert evidence.list_vouches([FIRST], 10_500) == {}
    evidence.note_platform("aug", 10_001)
    assert set(evidence.list_vouches([FIRST], 10_500)) == {"aug"}


def test_evidence_carries_over_to_the_next_generation_and_then_ages() -> None:
    """Guards against a home that closes its connections at every change of the roster."""
    evidence = Evidence(OWN)
    evidence.start(0)
    hear(evidence, FIRST, [make_ack(info, 1) for info in find_witnesses()], 1_000)
    following = next_generation(FIRST, "aug", NODES[:-1])
    evidence.move_on(FIRST, following)
    assert evidence.time_of(following) == 1_000


def test_two_or_three_silent_nodes_cannot_hold_up_a_roster() -> None:
    """Guards against a small lost group whose members might keep each other's roles."""
    names = [info.node for info in NODES]
    pairs = list(combinations(names, 2))
    assert all(not find_supported(pair, NODES) for pair in pairs)
    assert find_supported(names, NODES) == set(names)
