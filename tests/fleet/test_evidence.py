"""Tests of the evidence that a node needs to use its roles."""

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
    """Return the answer of a witness whose own evidence is `vouches` ms old."""
    digest = Digest(
        ticket=1,
        roster_epochs={"aug": epoch},
        terms_hash=0,
        vouches={} if vouches is None else {"aug": vouches},
    )
    return PingAck(sequence=1, sender=sender, incarnation=0, digest=digest)


def find_witnesses() -> list[NodeInfo]:
    """Return the witnesses of `OWN`."""
    names = list_witnesses(OWN.node, NODES)
    return [info for info in NODES if info.node in names]


def deliver_acks(evidence: Evidence, roster: Roster, acks: list[PingAck], sent_ms: int) -> None:
    """Deliver acknowledgements to a node that knows a roster."""
    for ack in acks:
        evidence.note_ack(ack, sent_ms, {"aug": roster})


def test_evidence_is_as_old_as_the_second_youngest_answer() -> None:
    """Guards against roles that are kept by one witness alone, or by its old answer."""
    evidence = Evidence(OWN)
    evidence.start(0)
    first, second, _ = find_witnesses()
    deliver_acks(evidence, FIRST, [make_ack(first, 1)], 1_000)
    assert not evidence.is_fresh(FIRST, 1_000)
    deliver_acks(evidence, FIRST, [make_ack(second, 1, vouches=3_000)], 5_000)
    assert evidence.find_latest(FIRST) == 1_000
    assert evidence.is_fresh(FIRST, 1_000 + EVIDENCE_TTL_MS - 1)
    assert not evidence.is_fresh(FIRST, 1_000 + EVIDENCE_TTL_MS)


def test_a_witness_in_a_later_generation_or_that_may_not_vouch_does_not_count() -> None:
    """Guards against roles that are kept after a later generation was sealed."""
    evidence = Evidence(OWN)
    evidence.start(0)
    first, second, third = find_witnesses()
    acks = [make_ack(first, 2), make_ack(second, 1, vouches=None), make_ack(third, 1)]
    deliver_acks(evidence, FIRST, acks, 1_000)
    assert evidence.find_latest(FIRST) is None


def test_a_restarted_process_vouches_only_after_a_confirmation_since_its_start() -> None:
    """Guards against a witness that lost its state and vouches for an outdated generation."""
    evidence = Evidence(OWN)
    evidence.start(10_000)
    evidence.note_confirmation("aug", 9_999)
    assert evidence.list_vouches([FIRST], 10_500) == {}
    evidence.note_confirmation("aug", 10_001)
    assert set(evidence.list_vouches([FIRST], 10_500)) == {"aug"}


def test_evidence_carries_over_to_the_next_generation_and_then_ages() -> None:
    """Guards against a home that closes its connections at every change of the roster."""
    evidence = Evidence(OWN)
    evidence.start(0)
    deliver_acks(evidence, FIRST, [make_ack(info, 1) for info in find_witnesses()], 1_000)
    following = next_generation(FIRST, "aug", NODES[:-1])
    evidence.advance(FIRST, following)
    assert evidence.find_latest(following) == 1_000


def test_two_silent_nodes_cannot_block_the_sealing_of_a_generation() -> None:
    """Guards against a pair of failed nodes that blocks the sealing of a generation."""
    names = [info.node for info in NODES]
    pairs = list(combinations(names, 2))
    assert all(not find_supported(pair, NODES) for pair in pairs)
    assert find_supported(names, NODES) == set(names)
