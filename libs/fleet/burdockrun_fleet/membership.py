"""Membership by random probes, suspicion and piggybacked updates (SWIM)."""

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from burdockrun_messages import (
    Digest,
    MemberUpdate,
    NodeInfo,
    NodeState,
    Outbox,
    Ping,
    PingAck,
    PingRequest,
)

from burdockrun_fleet.const import (
    FORGET_DEAD_MS,
    HURRY_MS,
    INDIRECT_AFTER_MS,
    INDIRECT_PEERS,
    JOIN_PEERS,
    JOIN_RETRY_MS,
    LOST_PING_MS,
    MAX_UPDATES,
    OTHER_DOMAIN_EVERY,
    PING_PERIOD_MS,
    PROBE_TIMEOUT_MS,
    REPEAT_FACTOR,
    SUSPECT_MS,
)

REACHABLE = frozenset({NodeState.ALIVE, NodeState.SUSPECT})
# Order of states within one incarnation.
_STRENGTH = {
    NodeState.ALIVE: 0,
    NodeState.SUSPECT: 1,
    NodeState.LEAVING: 2,
    NodeState.DEAD: 3,
}


@dataclass(slots=True)
class Peer:
    """What this node believes about another."""

    info: NodeInfo
    state: NodeState
    incarnation: int
    since_ms: int
    ticket: int = 0
    roster_epochs: dict[str, int] | None = None


@dataclass(slots=True)
class _Probe:
    target: NodeInfo
    sent_ms: int
    asked_others: bool = False
    on_behalf_of: tuple[NodeInfo, int] | None = None
    counts: bool = True


@dataclass(slots=True)
class _News:
    update: MemberUpdate
    sends: int = 0


class Membership:
    """View of the live nodes; `digest` supplies what travels on each probe."""

    def __init__(
        self,
        node: NodeInfo,
        outbox: Outbox,
        rng: random.Random,
        digest: Callable[[int], Digest],
        on_change: Callable[[NodeInfo, NodeState, int], None],
    ) -> None:
        self.node = node
        self.peers: dict[str, Peer] = {}
        self.incarnation = 0
        self.leaving = False
        self.on_ack: Callable[[PingAck, int, int], None] | None = None
        self._outbox = outbox
        self._rng = rng
        self._digest = digest
        self._on_change = on_change
        self._sequence = 0
        self._probes: dict[int, _Probe] = {}
        self._news: dict[str, _News] = {}
        self._suspects: dict[str, int] = {}
        self._dead: dict[str, int] = {}
        self._near: list[str] = []
        self._far: list[str] = []
        self._periods = 0
        self._next_ping_ms = 0
        self._next_lost_ms = 0
        self._hurry = False
        self._next_hurry_ms = 0
        self._next_join_ms = 0
        self._contacts: dict[str, NodeInfo] = {}
        self._alive: list[NodeInfo] | None = None

    def start(self, seeds: Iterable[NodeInfo], now_ms: int) -> None:
        """Begin to probe, with `seeds` as first contacts."""
        self.add_contacts(seeds)
        self._next_ping_ms = now_ms + self._rng.randint(0, PING_PERIOD_MS)
        self._next_join_ms = now_ms

    def add_contacts(self, contacts: Iterable[NodeInfo]) -> None:
        """Note nodes that may exist; they count as members once they answer."""
        for info in contacts:
            if info.node != self.node.node:
                self._contacts[info.node] = info

    def expect(self, nodes: Iterable[NodeInfo], now_ms: int) -> None:
        """Take unknown nodes of a roster as members until a probe shows otherwise."""
        for info in nodes:
            if info.node != self.node.node and info.node not in self.peers:
                self._set_state(info, NodeState.ALIVE, 0, now_ms, spread=False)

    def list_alive(self) -> Sequence[NodeInfo]:
        """Return the peers believed to be alive, without this node, in order of name."""
        if self._alive is None:
            found = [peer for peer in self.peers.values() if peer.state in REACHABLE]
            self._alive = sorted((peer.info for peer in found), key=lambda info: info.node)
        return self._alive

    def find(self, name: str) -> NodeInfo | None:
        """Return the address of a peer, alive or not."""
        peer = self.peers.get(name)
        return peer.info if peer is not None else self._contacts.get(name)

    def is_alive(self, name: str) -> bool:
        """Return whether a node counts as alive; this node does unless it leaves."""
        if name == self.node.node:
            return not self.leaving
        peer = self.peers.get(name)
        return peer is not None and peer.state in REACHABLE

    def is_dead(self, name: str) -> bool:
        """Return whether a node was declared dead or has left."""
        peer = self.peers.get(name)
        return peer is not None and peer.state not in REACHABLE

    def is_unknown(self, name: str) -> bool:
        """Return whether nothing was ever heard of a node."""
        return name not in self.peers and name != self.node.node

    def choose(self, count: int, *, without: str = "") -> list[NodeInfo]:
        """Return up to `count` random live peers."""
        alive = self.list_alive()
        picked = self._rng.sample(alive, min(count + 1, len(alive)))
        return [info for info in picked if info.node != without][:count]

    def leave(self, now_ms: int) -> None:
        """Tell some peers that this node goes away."""
        self.leaving = True
        self.incarnation += 1
        self._add_news(self.node, NodeState.LEAVING, self.incarnation)
        for info in self.choose(JOIN_PEERS):
            self.send_ping(info, now_ms)

    def pause(self) -> None:
        """Forget outstanding probes, whose answers may have been missed while paused."""
        self._probes.clear()
        self._suspects = dict.fromkeys(self._suspects, 0)

    def tick(self, now_ms: int) -> None:
        """Send the probes that are due and judge those that got no answer."""
        self._judge_probes(now_ms)
        self._judge_suspects(now_ms)
        if now_ms >= self._next_ping_ms:
            self._next_ping_ms = max(self._next_ping_ms + PING_PERIOD_MS, now_ms + 1)
            self._ping_next(now_ms)
        if self._hurry and now_ms >= self._next_hurry_ms:
            self._hurry = False
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
        self._learn_sender(ping.sender, ping.incarnation, now_ms)
        self._learn_all(ping.updates, now_ms)
        ack = PingAck(
            sequence=ping.sequence,
            sender=self.node,
            incarnation=self.incarnation,
            digest=self._digest(now_ms),
            updates=self._take_updates(ping.sender, ping.incarnation),
        )
        self._outbox.send_peer(ping.sender, ack)

    def receive_ack(self, ack: PingAck, now_ms: int) -> None:
        """Match the answer to a probe."""
        self._learn_sender(ack.sender, ack.incarnation, now_ms)
        self._learn_all(ack.updates, now_ms)
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
            updates=self._take_updates(probe.target, peer.incarnation if peer else 0),
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
            peer = self.peers.get(probe.target.node)
            if probe.counts and peer is not None and peer.state is NodeState.ALIVE:
                self._set_state(peer.info, NodeState.SUSPECT, peer.incarnation, now_ms)
                self.send_ping(peer.info, now_ms)

    def _judge_suspects(self, now_ms: int) -> None:
        for name, since_ms in list(self._suspects.items()):
            if since_ms == 0:
                self._suspects[name] = now_ms
            elif now_ms - since_ms >= SUSPECT_MS:
                peer = self.peers[name]
                self._set_state(peer.info, NodeState.DEAD, peer.incarnation, now_ms)

    def _ping_next(self, now_ms: int) -> None:
        self._periods += 1
        far_first = self._periods % OTHER_DOMAIN_EVERY == 0
        info = self._take_next(far=far_first) or self._take_next(far=not far_first)
        if info is not None:
            self.send_ping(info, now_ms, counts=True)

    def _take_next(self, *, far: bool) -> NodeInfo | None:
        queue = self._far if far else self._near
        for _ in range(2):
            while queue:
                peer = self.peers.get(queue.pop())
                if peer is not None and peer.state in REACHABLE:
                    return peer.info
            own = self.node.domain
            queue.extend(p.node for p in self.list_alive() if (p.domain != own) == far)
            self._rng.shuffle(queue)
        return None

    def _ping_lost(self, now_ms: int) -> None:
        for name, since_ms in list(self._dead.items()):
            if now_ms - since_ms < FORGET_DEAD_MS:
                break
            del self._dead[name]
            del self.peers[name]
        lost = [name for name in self._dead if self.peers[name].state is NodeState.DEAD]
        if lost:
            self.send_ping(self.peers[self._rng.choice(lost)].info, now_ms)

    def _ping_contacts(self, now_ms: int) -> None:
        if len(self.list_alive()) >= JOIN_PEERS:
            self._next_join_ms = now_ms + 10 * JOIN_RETRY_MS
            return
        unknown = [info for info in self._contacts.values() if not self.is_alive(info.node)]
        for info in self._rng.sample(unknown, min(JOIN_PEERS, len(unknown))):
            self.send_ping(info, now_ms)

    def _learn_sender(self, sender: NodeInfo, incarnation: int, now_ms: int) -> None:
        peer = self.peers.get(sender.node)
        if peer is not None and peer.info == sender and peer.incarnation == incarnation:
            if peer.state is NodeState.SUSPECT:
                self._set_state(sender, NodeState.ALIVE, incarnation, now_ms, spread=False)
            return
        update = MemberUpdate(info=sender, state=NodeState.ALIVE, incarnation=incarnation)
        self._learn(update, now_ms)

    def _learn_all(self, updates: Sequence[MemberUpdate], now_ms: int) -> None:
        for update in updates:
            self._learn(update, now_ms)

    def _learn(self, update: MemberUpdate, now_ms: int) -> None:
        if update.info.node == self.node.node:
            self._refute(update)
            return
        peer = self.peers.get(update.info.node)
        if peer is None:
            if update.state in REACHABLE:
                self._set_state(update.info, update.state, update.incarnation, now_ms)
            return
        if update.incarnation < peer.incarnation:
            return
        weaker = _STRENGTH[update.state] <= _STRENGTH[peer.state]
        moved = update.info != peer.info and update.state is NodeState.ALIVE
        if update.incarnation == peer.incarnation and weaker and not moved:
            return
        self._set_state(update.info, update.state, update.incarnation, now_ms)

    def _refute(self, update: MemberUpdate) -> None:
        if update.incarnation < self.incarnation or self.leaving:
            return
        if update.state is NodeState.ALIVE and update.info == self.node:
            self.incarnation = max(self.incarnation, update.incarnation)
            return
        self.incarnation = update.incarnation + 1
        self._add_news(self.node, NodeState.ALIVE, self.incarnation)

    def _set_state(
        self,
        info: NodeInfo,
        state: NodeState,
        incarnation: int,
        now_ms: int,
        *,
        spread: bool = True,
    ) -> None:
        peer = self.peers.get(info.node)
        before = peer.state if peer is not None else NodeState.DEAD
        if peer is None:
            self.peers[info.node] = Peer(info, state, incarnation, now_ms)
        else:
            peer.info, peer.state, peer.incarnation = info, state, incarnation
            peer.since_ms = now_ms
        self._suspects.pop(info.node, None)
        self._dead.pop(info.node, None)
        if state is NodeState.SUSPECT:
            self._suspects[info.node] = now_ms
        elif state not in REACHABLE:
            self._dead[info.node] = now_ms
        self._alive = None
        if spread:
            self._add_news(info, state, incarnation)
        if (before in REACHABLE) != (state in REACHABLE):
            self._on_change(info, state, now_ms)

    def _add_news(self, info: NodeInfo, state: NodeState, incarnation: int) -> None:
        update = MemberUpdate(info=info, state=state, incarnation=incarnation)
        self._news[info.node] = _News(update)
        self._hurry = self._hurry or state is not NodeState.ALIVE

    def _take_updates(self, receiver: NodeInfo, incarnation: int) -> tuple[MemberUpdate, ...]:
        """Return the least repeated news, first of all a wrong belief about the receiver itself."""
        updates = []
        known = self.peers.get(receiver.node)
        if (
            known is not None
            and known.state is not NodeState.ALIVE
            and known.incarnation >= incarnation
        ):
            updates.append(
                MemberUpdate(info=known.info, state=known.state, incarnation=known.incarnation)
            )
        if not self._news:
            return tuple(updates)
        limit = REPEAT_FACTOR * len(str(len(self.peers) + 1))
        room = MAX_UPDATES - len(updates)
        for item in sorted(self._news.values(), key=lambda news: news.sends)[:room]:
            item.sends += 1
            updates.append(item.update)
            if item.sends >= limit:
                del self._news[item.update.info.node]
        return tuple(updates)
