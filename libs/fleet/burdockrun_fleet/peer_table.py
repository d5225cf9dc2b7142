"""States of the other nodes as seen by one node."""

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from burdockrun_messages import MemberUpdate, NodeInfo, NodeState

from burdockrun_fleet.const import (
    DEAD_RETENTION_MS,
    MAX_UPDATES,
    SUSPECT_RECHECKS_MS,
    SUSPECT_TIMEOUT_MS,
)
from burdockrun_fleet.update_queue import UpdateQueue

REACHABLE = frozenset({NodeState.ALIVE, NodeState.SUSPECT})
# Within one incarnation a state overrides those of lower precedence.
_STATE_PRECEDENCE = {
    NodeState.ALIVE: 0,
    NodeState.SUSPECT: 1,
    NodeState.LEAVING: 2,
    NodeState.DEAD: 3,
}


@dataclass(slots=True)
class Peer:
    """State of another node as known to this node."""

    info: NodeInfo
    state: NodeState
    incarnation: int
    since_ms: int
    ticket: int = 0
    roster_epochs: dict[str, int] | None = None


class PeerTable:
    """States of all known nodes; `on_change` is called when one becomes reachable or not."""

    def __init__(
        self,
        node: NodeInfo,
        rng: random.Random,
        on_change: Callable[[NodeInfo, NodeState, int], None],
    ) -> None:
        self.node = node
        self.peers: dict[str, Peer] = {}
        self.contacts: dict[str, NodeInfo] = {}
        self.incarnation = 0
        self.leaving = False
        self.update_queue = UpdateQueue()
        self._rng = rng
        self._on_change = on_change
        self._suspects: dict[str, int] = {}
        self._rechecks_sent: dict[str, int] = {}
        self._dead: dict[str, int] = {}
        self._alive: list[NodeInfo] | None = None

    def assume_alive(self, nodes: Iterable[NodeInfo], now_ms: int) -> None:
        """Add unknown nodes of a roster as alive until a probe shows otherwise."""
        for info in nodes:
            if info.node != self.node.node and info.node not in self.peers:
                self._set_state(info, NodeState.ALIVE, 0, now_ms, spread=False)

    def list_alive(self) -> Sequence[NodeInfo]:
        """Return the reachable peers, without this node, in order of name."""
        if self._alive is None:
            found = [peer for peer in self.peers.values() if peer.state in REACHABLE]
            self._alive = sorted((peer.info for peer in found), key=lambda info: info.node)
        return self._alive

    def find(self, name: str) -> NodeInfo | None:
        """Return the address of a peer, alive or not, or of a contact."""
        peer = self.peers.get(name)
        return peer.info if peer is not None else self.contacts.get(name)

    def is_alive(self, name: str) -> bool:
        """Return whether a node is reachable; this node is unless it is leaving."""
        if name == self.node.node:
            return not self.leaving
        peer = self.peers.get(name)
        return peer is not None and peer.state in REACHABLE

    def is_dead(self, name: str) -> bool:
        """Return whether a node was declared dead or has left."""
        peer = self.peers.get(name)
        return peer is not None and peer.state not in REACHABLE

    def is_unknown(self, name: str) -> bool:
        """Return whether the table has no entry for a node."""
        return name not in self.peers and name != self.node.node

    def sample_alive(self, count: int, *, exclude: str = "") -> list[NodeInfo]:
        """Return up to `count` random live peers other than `exclude`."""
        alive = self.list_alive()
        sampled = self._rng.sample(alive, min(count + 1, len(alive)))
        return [info for info in sampled if info.node != exclude][:count]

    def find_alive(self, name: str) -> NodeInfo | None:
        """Return the address of a live peer, or None."""
        peer = self.peers.get(name)
        return peer.info if peer is not None and peer.state in REACHABLE else None

    def list_dead(self, now_ms: int) -> list[NodeInfo]:
        """Forget peers that died or left `DEAD_RETENTION_MS` ago; return the other dead ones.

        Peers that left are kept until then but not returned.
        """
        for name, since_ms in list(self._dead.items()):
            if now_ms - since_ms < DEAD_RETENTION_MS:
                break
            del self._dead[name]
            del self.peers[name]
        return [
            self.peers[name].info for name in self._dead if self.peers[name].state is NodeState.DEAD
        ]

    def restart_suspicion_timers(self, now_ms: int) -> None:
        """Give all suspects the full time to refute again."""
        self._suspects = dict.fromkeys(self._suspects, now_ms)
        self._rechecks_sent.clear()

    def suspect(self, name: str, now_ms: int) -> bool:
        """Suspect a peer; return False if its state is not alive."""
        peer = self.peers.get(name)
        if peer is None or peer.state is not NodeState.ALIVE:
            return False
        self._set_state(peer.info, NodeState.SUSPECT, peer.incarnation, now_ms)
        return True

    def list_to_recheck(self, now_ms: int) -> list[NodeInfo]:
        """Return the suspects for which another probe at `SUSPECT_RECHECKS_MS` is due."""
        found = []
        for name, since_ms in self._suspects.items():
            sent = self._rechecks_sent.get(name, 0)
            if sent < len(SUSPECT_RECHECKS_MS) and now_ms - since_ms >= SUSPECT_RECHECKS_MS[sent]:
                self._rechecks_sent[name] = sent + 1
                found.append(self.peers[name].info)
        return found

    def expire_suspects(self, now_ms: int) -> None:
        """Declare the peers dead that have been suspects for `SUSPECT_TIMEOUT_MS`."""
        for name, since_ms in list(self._suspects.items()):
            if now_ms - since_ms >= SUSPECT_TIMEOUT_MS:
                peer = self.peers[name]
                self._set_state(peer.info, NodeState.DEAD, peer.incarnation, now_ms)

    def learn_sender(self, sender: NodeInfo, incarnation: int, now_ms: int) -> None:
        """Mark the sender of a message as alive."""
        peer = self.peers.get(sender.node)
        if peer is not None and peer.info == sender and peer.incarnation == incarnation:
            if peer.state is NodeState.SUSPECT:
                self._set_state(sender, NodeState.ALIVE, incarnation, now_ms, spread=False)
            return
        update = MemberUpdate(info=sender, state=NodeState.ALIVE, incarnation=incarnation)
        self._learn(update, now_ms)

    def learn_all(self, updates: Sequence[MemberUpdate], now_ms: int) -> None:
        """Apply updates; the greater incarnation wins, then the state of higher precedence."""
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
        does_not_override = _STATE_PRECEDENCE[update.state] <= _STATE_PRECEDENCE[peer.state]
        address_changed = update.info != peer.info and update.state is NodeState.ALIVE
        if update.incarnation == peer.incarnation and does_not_override and not address_changed:
            return
        self._set_state(update.info, update.state, update.incarnation, now_ms)

    def _refute(self, update: MemberUpdate) -> None:
        if update.incarnation < self.incarnation or self.leaving:
            return
        if update.state is NodeState.ALIVE and update.info == self.node:
            self.incarnation = max(self.incarnation, update.incarnation)
            return
        self.incarnation = update.incarnation + 1
        self.update_queue.add(self.node, NodeState.ALIVE, self.incarnation)

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
        previous_state = peer.state if peer is not None else NodeState.DEAD
        if peer is None:
            self.peers[info.node] = Peer(info, state, incarnation, now_ms)
        else:
            peer.info, peer.state, peer.incarnation = info, state, incarnation
            peer.since_ms = now_ms
        self._suspects.pop(info.node, None)
        self._rechecks_sent.pop(info.node, None)
        self._dead.pop(info.node, None)
        if state is NodeState.SUSPECT:
            self._suspects[info.node] = now_ms
        elif state not in REACHABLE:
            self._dead[info.node] = now_ms
        self._alive = None
        if spread:
            self.update_queue.add(info, state, incarnation)
        if (previous_state in REACHABLE) != (state in REACHABLE):
            self._on_change(info, state, now_ms)

    def take_updates(self, receiver: NodeInfo, incarnation: int) -> tuple[MemberUpdate, ...]:
        """Return up to `MAX_UPDATES` updates, the least sent ones first.

        If this node does not know the receiver as alive, an update that says so comes first, for
        the receiver to refute.
        """
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
        remaining = MAX_UPDATES - len(updates)
        return (*updates, *self.update_queue.take(remaining, len(self.peers) + 1))
