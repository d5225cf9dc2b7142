"""SWIM membership: random probes, suspicion and updates piggybacked on the probes."""

import random
from collections.abc import Callable, Iterable, Iterator
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
    DEAD_PING_INTERVAL_MS,
    FAILURE_PING_INTERVAL_MS,
    INDIRECT_AFTER_MS,
    INDIRECT_PEERS,
    JOIN_PEERS,
    JOIN_RETRY_MS,
    PING_PERIOD_MS,
    PROBE_TIMEOUT_MS,
)
from burdockrun_fleet.peer_table import PeerTable
from burdockrun_fleet.ping_order import PingOrder


@dataclass(slots=True)
class _Probe:
    target: NodeInfo
    sent_ms: int
    indirect_sent: bool = False
    on_behalf_of: tuple[NodeInfo, int] | None = None
    raises_suspicion: bool = True


class Membership(PeerTable):
    """Probes the peers and answers theirs; `build_digest` makes the digest sent with each.

    `ids` gives numbers that no earlier process of the node has used, so that a late answer to one
    of its probes matches none of this process.
    """

    def __init__(
        self,
        node: NodeInfo,
        outbox: Outbox,
        rng: random.Random,
        build_digest: Callable[[int], Digest],
        on_change: Callable[[NodeInfo, NodeState, int], None],
        *,
        ids: Iterator[int],
    ) -> None:
        super().__init__(node, rng, on_change)
        self.on_ack: Callable[[PingAck, int, int], None] | None = None
        self._outbox = outbox
        self._build_digest = build_digest
        self._ids = ids
        self._probes: dict[int, _Probe] = {}
        self._order = PingOrder(node.domain, rng, self.list_alive)
        self._next_ping_ms = 0
        self._next_dead_ping_ms = 0
        self._next_failure_ping_ms = 0
        self._next_join_ms = 0

    def start(self, seeds: Iterable[NodeInfo], now_ms: int) -> None:
        """Begin to probe, with `seeds` as first contacts."""
        self.add_contacts(seeds)
        self._next_ping_ms = now_ms + self._rng.randint(0, PING_PERIOD_MS)
        self._next_join_ms = now_ms

    def add_contacts(self, contacts: Iterable[NodeInfo]) -> None:
        """Add nodes that may exist as contacts; they become peers once they answer."""
        for info in contacts:
            if info.node != self.node.node:
                self.contacts[info.node] = info

    def leave(self, now_ms: int) -> None:
        """Tell some peers that this node is leaving."""
        self.leaving = True
        self.incarnation += 1
        self.update_queue.add(self.node, NodeState.LEAVING, self.incarnation)
        for info in self.sample_alive(JOIN_PEERS):
            self.send_ping(info, now_ms)

    def handle_pause(self, now_ms: int) -> None:
        """Drop outstanding probes, whose answers a pause of the process may have missed."""
        self._probes.clear()
        self.restart_suspicion_timers(now_ms)

    def tick(self, now_ms: int) -> None:
        """Send the probes that are due and handle those that timed out."""
        self._check_probes(now_ms)
        for info in self.list_to_recheck(now_ms):
            self.send_ping(info, now_ms)
        self.expire_suspects(now_ms)
        if now_ms >= self._next_ping_ms:
            self._next_ping_ms = max(self._next_ping_ms + PING_PERIOD_MS, now_ms + 1)
            target = self._order.next(self.find_alive)
            if target is not None:
                self.send_ping(target, now_ms, raises_suspicion=True)
        if self.update_queue.has_failure and now_ms >= self._next_failure_ping_ms:
            self.update_queue.has_failure = False
            self._next_failure_ping_ms = now_ms + FAILURE_PING_INTERVAL_MS
            for info in self.sample_alive(1):
                self.send_ping(info, now_ms)
        if now_ms >= self._next_dead_ping_ms:
            self._next_dead_ping_ms = now_ms + DEAD_PING_INTERVAL_MS
            self._ping_dead(now_ms)
        if now_ms >= self._next_join_ms:
            self._next_join_ms = now_ms + JOIN_RETRY_MS
            self._ping_contacts(now_ms)

    def send_ping(self, info: NodeInfo, now_ms: int, *, raises_suspicion: bool = False) -> None:
        """Probe a node; it is suspected for not answering only if `raises_suspicion` is set."""
        self._start_probe(_Probe(info, now_ms, raises_suspicion=raises_suspicion), now_ms)

    def receive_ping(self, ping: Ping, now_ms: int) -> None:
        """Answer a probe and apply the updates that it carries."""
        self.learn_sender(ping.sender, ping.incarnation, now_ms)
        self.learn_all(ping.updates, now_ms)
        ack = PingAck(
            sequence=ping.sequence,
            sender=self.node,
            incarnation=self.incarnation,
            digest=self._build_digest(now_ms),
            updates=self.take_updates(ping.sender, ping.incarnation),
        )
        self._outbox.send_peer(ping.sender, ack)

    def receive_ack(self, ack: PingAck, now_ms: int) -> None:
        """Apply the updates in an answer, and relay it if its probe was on behalf of a peer."""
        self.learn_sender(ack.sender, ack.incarnation, now_ms)
        self.learn_all(ack.updates, now_ms)
        probe = self._probes.pop(ack.sequence, None)
        if probe is None or probe.target.node != ack.sender.node:
            return
        if probe.on_behalf_of is not None:
            requester, sequence = probe.on_behalf_of
            relayed = PingAck(
                sequence=sequence,
                sender=ack.sender,
                incarnation=ack.incarnation,
                digest=ack.digest,
            )
            self._outbox.send_peer(requester, relayed)
            return
        if self.on_ack is not None:
            self.on_ack(ack, probe.sent_ms, now_ms)

    def receive_request(self, peer: str, request: PingRequest, now_ms: int) -> None:
        """Probe a node on behalf of another."""
        requester = self.find(peer)
        if requester is None:
            return
        probe = _Probe(
            request.target,
            now_ms,
            on_behalf_of=(requester, request.sequence),
            raises_suspicion=False,
        )
        self._start_probe(probe, now_ms)

    def _start_probe(self, probe: _Probe, now_ms: int) -> None:
        sequence = next(self._ids)
        self._probes[sequence] = probe
        peer = self.peers.get(probe.target.node)
        ping = Ping(
            sequence=sequence,
            sender=self.node,
            incarnation=self.incarnation,
            digest=self._build_digest(now_ms),
            updates=self.take_updates(probe.target, peer.incarnation if peer else 0),
        )
        self._outbox.send_peer(probe.target, ping)

    def _check_probes(self, now_ms: int) -> None:
        expired = []
        for sequence, probe in self._probes.items():
            waited_ms = now_ms - probe.sent_ms
            if waited_ms < INDIRECT_AFTER_MS:
                break
            if waited_ms >= PROBE_TIMEOUT_MS:
                expired.append(sequence)
            elif probe.raises_suspicion and not probe.indirect_sent:
                probe.indirect_sent = True
                for helper in self.sample_alive(INDIRECT_PEERS, exclude=probe.target.node):
                    self._outbox.send_peer(
                        helper, PingRequest(sequence=sequence, target=probe.target)
                    )
        for sequence in expired:
            probe = self._probes.pop(sequence)
            if probe.raises_suspicion and self.suspect(probe.target.node, now_ms):
                # This ping carries the suspicion, so the suspect can refute it at once.
                self.send_ping(probe.target, now_ms)

    def _ping_dead(self, now_ms: int) -> None:
        dead = self.list_dead(now_ms)
        if dead:
            self.send_ping(self._rng.choice(dead), now_ms)

    def _ping_contacts(self, now_ms: int) -> None:
        if len(self.list_alive()) >= JOIN_PEERS:
            self._next_join_ms = now_ms + 10 * JOIN_RETRY_MS
            return
        unknown = [info for info in self.contacts.values() if not self.is_alive(info.node)]
        for info in self._rng.sample(unknown, min(JOIN_PEERS, len(unknown))):
            self.send_ping(info, now_ms)
