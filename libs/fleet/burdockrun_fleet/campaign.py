"""When a node coordinates its own domain, or one that has lost all its nodes."""

from collections.abc import Callable, Mapping, Sequence

from burdockrun_base.rendezvous import hash_name, rank_nodes
from burdockrun_messages import Digest, KeyEntry, NodeInfo

from burdockrun_fleet.const import (
    ADOPT_AFTER_MS,
    ADOPT_NODES,
    COORDINATOR_SILENCE_MS,
    DOMAIN_CHECK_INTERVAL_MS,
    ELECTION_RANK_DELAY_MS,
    POLL_BATCH,
    POLL_INTERVAL_MS,
    START_JITTER_MS,
    UNKNOWN_VM_PING_BATCH,
)
from burdockrun_fleet.coordinator import Coordinator, Parts
from burdockrun_fleet.membership import Membership


class Campaign:
    """Coordinators that this node runs, and what it knows of its domain's coordinator."""

    def __init__(self, parts: Parts, membership: Membership) -> None:
        self.coordinator = ""
        self.on_tickets: Callable[[Sequence[KeyEntry], int], None] | None = None
        self.on_groups: Callable[[Sequence[KeyEntry], int], None] | None = None
        self._parts = parts
        self._membership = membership
        self._domain = parts.node.domain
        self._own = Coordinator(
            self._domain, parts, self._list_own, self._find_in_force, self._epochs_of
        )
        self._own.on_tickets = self._pass_tickets
        self._own.on_groups = self._pass_groups
        self._adopted: dict[str, Coordinator] = {}
        self._empty_since_ms: dict[str, int] = {}
        self._own_nodes: tuple[NodeInfo, ...] = ()
        self._own_of: tuple[Sequence[NodeInfo], tuple[int, bool]] = ((), (-1, False))
        self._last_contact_ms = 0
        self._vacant_ms: int | None = None
        self._not_before_ms = 0
        self._next_poll_ms = 0
        self._next_look_ms = 0
        self._next_rank_ms = 0
        self._rank = 0
        self._next_introduction_ms = 0
        self._polled_number = -1
        self._poll_from_ms = 0

    def start(self, now_ms: int) -> None:
        """Begin; after a start of the whole fleet the attempts are spread over some seconds."""
        self._not_before_ms = now_ms + self._parts.rng.randint(0, START_JITTER_MS)

    def is_coordinator(self, domain: str, now_ms: int) -> bool:
        """Return whether this node coordinates a domain now."""
        if domain == self._domain:
            return self._own.lease.holds(now_ms)
        adopted = self._adopted.get(domain)
        return adopted is not None and adopted.lease.holds(now_ms)

    def note_digest(self, sender: NodeInfo, digest: Digest, now_ms: int) -> None:
        """Learn from a peer of the same domain who coordinates it."""
        age_ms = digest.confirmed.get(self._domain)
        if sender.domain != self._domain or age_ms is None or not digest.coordinator:
            return
        if now_ms - age_ms >= self._last_contact_ms:
            self._last_contact_ms = now_ms - age_ms
            if not self._own.lease.holds(now_ms):
                self.coordinator = digest.coordinator

    def tick(self, now_ms: int, wall_ms: int) -> None:
        """Run the coordinators and look for domains without one."""
        self._own.tick(now_ms, wanted=self._is_wanted(now_ms), wall_ms=wall_ms)
        if self._own.lease.holds(now_ms):
            self.coordinator = self._parts.node.node
            self._last_contact_ms = now_ms
            self._poll(now_ms)
            self._look_for_empty(now_ms)
            self._introduce(now_ms)
        elif self._own.lease.holder:
            self.coordinator = self._own.lease.holder
            self._own.lease.holder = ""
            self._last_contact_ms = now_ms
        elif self.coordinator == self._parts.node.node:
            self.coordinator = ""
        for domain, adopted in list(self._adopted.items()):
            held = adopted.lease.holds(now_ms)
            adopted.tick(now_ms, wanted=self._own.lease.holds(now_ms), wall_ms=wall_ms)
            if domain not in self._empty_since_ms or (held and not adopted.lease.holds(now_ms)):
                adopted.lease.resign(now_ms)
                del self._adopted[domain]

    def resign(self, now_ms: int) -> None:
        """Give up all leases."""
        self._own.lease.resign(now_ms)
        for adopted in self._adopted.values():
            adopted.lease.resign(now_ms)
        self._adopted.clear()
        self._not_before_ms = 1 << 60

    def _is_wanted(self, now_ms: int) -> bool:
        if now_ms < self._not_before_ms or self._own.lease.holds(now_ms):
            return False
        silent = now_ms - self._last_contact_ms >= 2 * COORDINATOR_SILENCE_MS
        known = self.coordinator and self.coordinator != self._parts.node.node
        if known and not silent and not self._membership.is_dead(self.coordinator):
            self._vacant_ms = None
            return False
        if self._vacant_ms is None:
            self._vacant_ms = now_ms
        if now_ms >= self._next_rank_ms:
            self._next_rank_ms = now_ms + DOMAIN_CHECK_INTERVAL_MS
            own_hash = hash_name(self._parts.node.node)
            self._rank = sum(hash_name(info.node) < own_hash for info in self._list_own())
        return now_ms - self._vacant_ms >= self._rank * ELECTION_RANK_DELAY_MS

    def _list_own(self) -> tuple[NodeInfo, ...]:
        """Return the live nodes of the domain that stay, by name; kept until something changes."""
        alive, vms = self._membership.list_alive(), self._parts.vms
        state = (vms.version, self._membership.leaving)
        if alive is self._own_of[0] and state == self._own_of[1]:
            return self._own_nodes
        nodes = [info for info in alive if info.domain == self._domain]
        if not self._membership.leaving:
            nodes.append(self._parts.node)
        staying = [info for info in nodes if not vms.is_leaving(info.node)]
        self._own_of = (alive, state)
        self._own_nodes = tuple(sorted(staying, key=lambda info: info.node))
        return self._own_nodes

    def _list_substitutes(self, domain: str) -> tuple[NodeInfo, ...]:
        nodes = {info.node: info for info in self._membership.list_alive()}
        nodes[self._parts.node.node] = self._parts.node
        chosen = rank_nodes(f"adopt/{domain}", nodes, ADOPT_NODES)
        return tuple(nodes[name] for name in sorted(chosen))

    def _find_in_force(self) -> tuple[int, int]:
        numbers = [self._parts.applier.number]
        for info in self._list_own():
            peer = self._membership.peers.get(info.node)
            if peer is not None:
                numbers.append(peer.ticket)
        return min(numbers), len(numbers)

    def _epochs_of(self, name: str) -> Mapping[str, int] | None:
        if name == self._parts.node.node:
            return self._parts.rosters.epochs
        peer = self._membership.peers.get(name)
        return peer.roster_epochs if peer is not None else None

    def _poll(self, now_ms: int) -> None:
        """Ask nodes whose ticket or roster epoch is not known to be current."""
        if now_ms < self._next_poll_ms:
            return
        self._next_poll_ms = now_ms + POLL_INTERVAL_MS
        number = self._parts.applier.number
        if number != self._polled_number:
            # Nodes need about a second to get the ticket; asking earlier would be repeated.
            self._polled_number = number
            self._poll_from_ms = now_ms + 2 * POLL_INTERVAL_MS
        wanted: dict[str, NodeInfo] = {}
        for domain in (self._domain, *self._adopted):
            roster = self._parts.rosters.rosters.get(domain)
            if roster is not None and not roster.sealed:
                unmoved = self._own.writer.list_unmoved(roster, now_ms)
                wanted.update((info.node, info) for info in unmoved)
        if now_ms >= self._poll_from_ms:
            for info in self._list_own():
                peer = self._membership.peers.get(info.node)
                if peer is not None and peer.ticket < number:
                    wanted[info.node] = info
        wanted.pop(self._parts.node.node, None)
        reachable = [info for info in wanted.values() if self._membership.is_alive(info.node)]
        chosen = self._parts.rng.sample(reachable, min(POLL_BATCH, len(reachable)))
        for info in chosen:
            self._membership.send_ping(info, now_ms)

    def _introduce(self, now_ms: int) -> None:
        """Ping VMs that are not known yet: those of the domain, and a few of unseen domains."""
        if now_ms < self._next_introduction_ms:
            return
        self._next_introduction_ms = now_ms + POLL_INTERVAL_MS
        seen = {info.domain for info in self._membership.list_alive()} - {self._domain}
        unknown = [
            info
            for info in self._parts.vms.list_nodes()
            if info.domain not in seen and self._membership.is_unknown(info.node)
        ]
        for info in self._parts.rng.sample(unknown, min(UNKNOWN_VM_PING_BATCH, len(unknown))):
            self._membership.send_ping(info, now_ms)

    def _look_for_empty(self, now_ms: int) -> None:
        if now_ms < self._next_look_ms:
            return
        self._next_look_ms = now_ms + DOMAIN_CHECK_INTERVAL_MS
        alive = {info.domain for info in self._membership.list_alive()} | {self._domain}
        for domain, roster in self._parts.rosters.rosters.items():
            if domain in alive:
                self._empty_since_ms.pop(domain, None)
                continue
            since_ms = self._empty_since_ms.setdefault(domain, now_ms)
            if domain in self._adopted or now_ms - since_ms < ADOPT_AFTER_MS:
                continue
            vms = self._parts.vms
            if all(vms.is_gone(i.node, now_ms) for i in roster.nodes if i.domain == domain):
                self._adopt(domain)

    def _adopt(self, domain: str) -> None:
        self._adopted[domain] = Coordinator(
            domain,
            self._parts,
            lambda: self._list_substitutes(domain),
            self._find_in_force,
            self._epochs_of,
            whole=False,
        )

    def _pass_tickets(self, entries: Sequence[KeyEntry], now_ms: int) -> None:
        if self.on_tickets is not None:
            self.on_tickets(entries, now_ms)

    def _pass_groups(self, entries: Sequence[KeyEntry], now_ms: int) -> None:
        if self.on_groups is not None:
            self.on_groups(entries, now_ms)
