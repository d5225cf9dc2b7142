"""Tests of answers of peers that arrive after the next process of a node has begun."""

from random import Random

import pytest
from burdockrun_bench.soak import SESSION_KEY, TICKET_FUNCTIONS
from burdockrun_fleet.rosters import next_generation
from burdockrun_fleet.simulation import place_nodes
from burdockrun_messages import (
    Digest,
    PeerMessage,
    PeerReceived,
    Ping,
    PingAck,
    RosterPush,
    SendPeer,
    Started,
    TimerFired,
)
from burdockrun_proxy import ProxyNode

NODE, PEER, *_ = NODES = tuple(place_nodes(4, ("aug",)))
START_MS = 10_000
TICK_MS = 10


class Process:
    """One process of `NODE`, which knows one roster; the store and the other nodes are silent."""

    def __init__(self, seed: int) -> None:
        self._now_ms = START_MS
        self._node = ProxyNode(
            node=NODE,
            seeds=NODES,
            session_keys=(SESSION_KEY,),
            ticket_functions=TICKET_FUNCTIONS,
            rng=Random(seed),
            strict=True,
        )
        self._receive(RosterPush(rosters=(next_generation(None, "aug", NODES),)))
        self._node.handle(Started(), START_MS)

    def ping_peer(self) -> Ping:
        """Advance the time until the process pings `PEER`, and return the ping."""
        for _ in range(2_000):
            self._now_ms += TICK_MS
            for action in self._node.handle(TimerFired(), self._now_ms):
                if not isinstance(action, SendPeer) or action.peer != PEER:
                    continue
                if isinstance(action.message, Ping):
                    return action.message
        raise AssertionError("the process does not ping its peer")

    def receive_ack(self, sequence: int) -> None:
        """Receive an answer of `PEER`, which has just read the roster in the store."""
        digest = Digest(ticket=0, roster_epochs={"aug": 1}, terms_hash=0, confirmed={"aug": 0})
        self._receive(PingAck(sequence=sequence, sender=PEER, incarnation=0, digest=digest))

    def _receive(self, message: PeerMessage) -> None:
        self._node.handle(PeerReceived(peer=PEER.node, message=message), self._now_ms)


@pytest.mark.parametrize("seed", range(4))
def test_a_late_answer_to_a_ping_of_the_earlier_process_proves_nothing(seed: int) -> None:
    """Guards against old proof of a roster that the next process of a node takes for a new one."""
    earlier, later = Process(seed), Process(seed + 100)
    late, _ = earlier.ping_peer().sequence, later.ping_peer()
    later.receive_ack(late)
    digest = later.ping_peer().digest
    assert "aug" not in digest.confirmed
    assert "aug" not in digest.vouches
    later.receive_ack(later.ping_peer().sequence)
    assert "aug" in later.ping_peer().digest.confirmed
