"""Membership by random probes, suspicion and piggybacked updates (SWIM)."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from burdockrun_messages import (
    Digest,
    NodeInfo,
    NodeState,
    Outbox,
    Ping,
    PingAck,
    PingRequest,
)

from burdockrun_fleet.const import (
    HURRY_MS,
    INDIRECT_AFTER_MS,
    INDIRECT_PEERS,
    JOIN_PEERS,
    JOIN_RETRY_MS,
    LOST_PING_MS,
    PING_PERIOD_MS,
    PROBE_TIMEOUT_MS,
)
from burdockrun_fleet.peer_table import PeerTable
from burdockrun_fleet.ping_order import PingOrder


@dataclass(slots=True)
class _Probe:
    target: NodeInfo
    sent_ms: int
    asked_others: bool = False
    on_behalf_of: tuple[NodeInfo, int] | None = None
    counts: bool = True


class Membership(PeerTable):
    """Probes the others and answers their probes; `digest` supplies what travels on each."""

    def __init__(
        self,
        node: NodeInfo,
        outbox: Outbox,
        rng: random.Random,
        digest: Callable[[int], Digest],
        on_change: Callable[[NodeInfo, NodeState, int], None],
    ) -> None:
        super().__init__(node, rng, on_change)
        self.on_ack: Callable[[PingAck, int, int], None] | None = None
        self._outbox = outbox
        self._digest = digest
        self._sequence = 0
        self._probes: dict[int, _Probe] = {}
        self._order = PingOrder(node.domain, rng, self.list_alive)
        self._next_ping_ms = 0
        self._next_lost_ms = 0
        self._next_hurry_ms = 0
        self._next_join_ms = 0

    def start(self, seeds: Iterable[NodeInfo], now_ms: int) -> None:
        """Begin to probe, with `seeds` as first contacts."""
        self.add_contacts(seeds)
        self._next_ping_ms = now_ms + self._rng.randint(0, PING_PERIOD_MS)
        self._next_join_ms = now_ms

    def add_contacts(self, contacts: Iterable[NodeInfo]) -> None:
        """Note nodes that may exist; they count as members once they answer."""
        for info in contacts:
            if info.node != self.node.node:
                self.contacts[info.node] = info

    def leave(self, now_ms: int) -> None:
        """Tell some peers that this node goes away."""
        self.leaving = True
        self.incarnation += 1
        self.news.add(self.node, NodeState.LEAVING, self.incarnation)
        for info in self.choose(JOIN_PEERS):
            self.send_ping(info, now_ms)

    def handle_pause(self, now_ms: int) -> None:
        """Forget outstanding probes, whose answers may have been missed while paused."""
        self._probes.clear()
        self.restart_suspicion(now_ms)

    def tick(self, now_ms: int) -> None:
        """Send the probes that are due and judge those that got no answer."""
        self._judge_probes(now_ms)
        for info in self.list_to_check(now_ms):
            self.send_ping(info, now_ms)
        self.judge_suspects(now_ms)
        if now_ms >= self._next_ping_ms:
            self._next_ping_ms = max(self._next_ping_ms + PING_PERIOD_MS, now_ms + 1)
            target = self._order.next(self.find_alive)
            if target is not None:
                self.send_ping(target, now_ms, counts=True)
        if self.news.urgent and now_ms >= self._next_hurry_ms:
            self.news.urgent = False
            self._next_hurry_ms = now_ms + HURRY_MS
            for info in self.choose(1):
                self.send_ping(info, now_ms)
        if now_ms >= self._next_lost_ms:
            self._next_lost_ms = now_ms + LOST_PING_MS
            self._ping_lost(now_ms)
        if now_ms >= self._next_join_ms:
            self._next_join_ms = now_ms + JOIN_RETRY_MS
            self._ping_contacts(now_ms)

    def send_ping(self, info: NodeInfo, now_ms: int, *, counts: bool = False) -> None:
        """Probe a node; only when `counts` is set does silence raise suspicion."""
        self._start_probe(_Probe(info, now_ms, counts=counts), now_ms)

    def receive_ping(self, ping: Ping, now_ms: int) -> None:
        """Answer a probe and learn from it."""
        self.learn_sender(ping.sender, ping.incarnation, now_ms)
        self.learn_all(ping.updates, now_ms)
        ack = PingAck(
            sequence=ping.sequence,
            sender=self.node,
            incarnation=self.incarnation,
            digest=self._digest(now_ms),
            updates=self.take_updates(ping.sender, ping.incarnation),
        )
        self._outbox.send_peer(ping.sender, ack)

    def receive_ack(self, ack: PingAck, now_ms: int) -> None:
        """Match the answer to a probe."""
        self.learn_sender(ack.sender, ack.incarnation, now_ms)
        self.learn_all(ack.updates, now_ms)
        probe = self._probes.pop(ack.sequence, None)
        if probe is None or probe.target.node != ack.sender.node:
            return
        if probe.on_behalf_of is not None:
            asker, sequence = probe.on_behalf_of
            relayed = PingAck(
                sequence=sequence,
                sender=ack.sender,
                incarnation=ack.incarnation,
                digest=ack.digest,
            )
            self._outbox.send_peer(asker, relayed)
            return
        if self.on_ack is not None:
            self.on_ack(ack, probe.sent_ms, now_ms)

    def receive_request(self, peer: str, request: PingRequest, now_ms: int) -> None:
        """Probe a node on behalf of another."""
        asker = self.find(peer)
        if asker is None:
            return
        probe = _Probe(request.target, now_ms, on_behalf_of=(asker, request.sequence), counts=False)
        self._start_probe(probe, now_ms)

    def _start_probe(self, probe: _Probe, now_ms: int) -> None:
        self._sequence += 1
        self._probes[self._sequence] = probe
        peer = self.peers.get(probe.target.node)
        ping = Ping(
            sequence=self._sequence,
            sender=self.node,
            incarnation=self.incarnation,
            digest=self._digest(now_ms),
            updates=self.take_updates(probe.target, peer.incarnation if peer else 0),
        )
        self._outbox.send_peer(probe.target, ping)

    def _judge_probes(self, now_ms: int) -> None:
        done = []
        for sequence, probe in self._probes.items():
            waited = now_ms - probe.sent_ms
            if waited < INDIRECT_AFTER_MS:
                break
            if waited >= PROBE_TIMEOUT_MS:
                done.append(sequence)
            elif probe.counts and not probe.asked_others:
                probe.asked_others = True
                for helper in self.choose(INDIRECT_PEERS, without=probe.target.node):
                    self._outbox.send_peer(
                        helper, PingRequest(sequence=sequence, target=probe.target)
                    )
        for sequence in done:
            probe = self._probes.pop(sequence)
            if probe.counts and self.suspect(probe.target.node, now_ms):
                # The suspect learns of it at once and can refute.
                self.send_ping(probe.target, now_ms)

    def _ping_lost(self, now_ms: int) -> None:
        lost = self.list_lost(now_ms)
        if lost:
            self.send_ping(self._rng.choice(lost), now_ms)

    def _ping_contacts(self, now_ms: int) -> None:
        if len(self.list_alive()) >= JOIN_PEERS:
            self._next_join_ms = now_ms + 10 * JOIN_RETRY_MS
            return
        unknown = [info for info in self.contacts.values() if not self.is_alive(info.node)]
        for info in self._rng.sample(unknown, min(JOIN_PEERS, len(unknown))):
            self.send_ping(info, now_ms)
