"""Election of domain coordinators, also for domains that have lost all their nodes."""

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
from burdockrun_fleet.coordinator import Coordinator, NodeComponents
from burdockrun_fleet.membership import Membership


class CoordinatorElection:
    """Decides when this node coordinates its own domain, or adopts one without live nodes.

    `coordinator` is the name of the known coordinator of the node's own domain, empty if unknown.
    """

    def __init__(self, components: NodeComponents, membership: Membership) -> None:
        self.coordinator = ""
        self.on_tickets: Callable[[Sequence[KeyEntry], int], None] | None = None
        self.on_groups: Callable[[Sequence[KeyEntry], int], None] | None = None
        self._components = components
        self._membership = membership
        self._domain = components.node.domain
        self._own_coordinator = Coordinator(
            self._domain, components, self._list_own_nodes, self._find_in_force, self._find_epochs
        )
        self._own_coordinator.on_tickets = self._forward_tickets
        self._own_coordinator.on_groups = self._forward_groups
        self._adopted: dict[str, Coordinator] = {}
        self._empty_since_ms: dict[str, int] = {}
        self._own_nodes: tuple[NodeInfo, ...] = ()
        self._own_nodes_key: tuple[Sequence[NodeInfo], tuple[int, bool]] = ((), (-1, False))
        self._last_contact_ms = 0
        self._vacant_since_ms: int | None = None
        self._not_before_ms = 0
        self._next_poll_ms = 0
        self._next_domain_check_ms = 0
        self._next_rank_ms = 0
        self._rank = 0
        self._next_unknown_ping_ms = 0
        self._polled_number = -1
        self._poll_from_ms = 0

    def start(self, now_ms: int) -> None:
        """Delay the first attempt at random, to spread the calls when the whole fleet starts."""
        self._not_before_ms = now_ms + self._components.rng.randint(0, START_JITTER_MS)

    def is_coordinator(self, domain: str, now_ms: int) -> bool:
        """Return whether this node coordinates a domain now."""
        if domain == self._domain:
            return self._own_coordinator.lease.holds(now_ms)
        adopted = self._adopted.get(domain)
        return adopted is not None and adopted.lease.holds(now_ms)

    def note_digest(self, sender: NodeInfo, digest: Digest, now_ms: int) -> None:
        """Learn the coordinator of the own domain from the digest of a peer in it."""
        age_ms = digest.confirmed.get(self._domain)
        if sender.domain != self._domain or age_ms is None or not digest.coordinator:
            return
        if now_ms - age_ms >= self._last_contact_ms:
            self._last_contact_ms = now_ms - age_ms
            if not self._own_coordinator.lease.holds(now_ms):
                self.coordinator = digest.coordinator

    def tick(self, now_ms: int, wall_ms: int) -> None:
        """Run the coordinators of the own and of adopted domains."""
        self._own_coordinator.tick(now_ms, wanted=self._is_wanted(now_ms), wall_ms=wall_ms)
        if self._own_coordinator.lease.holds(now_ms):
            self.coordinator = self._components.node.node
            self._last_contact_ms = now_ms
            self._poll(now_ms)
            self._check_empty_domains(now_ms)
            self._ping_unknown_vms(now_ms)
        elif self._own_coordinator.lease.holder:
            self.coordinator = self._own_coordinator.lease.holder
            self._own_coordinator.lease.holder = ""
            self._last_contact_ms = now_ms
        elif self.coordinator == self._components.node.node:
            self.coordinator = ""
        for domain, adopted in list(self._adopted.items()):
            held = adopted.lease.holds(now_ms)
            adopted.tick(now_ms, wanted=self._own_coordinator.lease.holds(now_ms), wall_ms=wall_ms)
            if domain not in self._empty_since_ms or (held and not adopted.lease.holds(now_ms)):
                adopted.lease.resign(now_ms)
                del self._adopted[domain]

    def resign(self, now_ms: int) -> None:
        """Give up all leases and seek none from now on."""
        self._own_coordinator.lease.resign(now_ms)
        for adopted in self._adopted.values():
            adopted.lease.resign(now_ms)
        self._adopted.clear()
        self._not_before_ms = 1 << 60

    def _is_wanted(self, now_ms: int) -> bool:
        if now_ms < self._not_before_ms or self._own_coordinator.lease.holds(now_ms):
            return False
        is_silent = now_ms - self._last_contact_ms >= 2 * COORDINATOR_SILENCE_MS
        is_known = self.coordinator and self.coordinator != self._components.node.node
        if is_known and not is_silent and not self._membership.is_dead(self.coordinator):
            self._vacant_since_ms = None
            return False
        if self._vacant_since_ms is None:
            self._vacant_since_ms = now_ms
        if now_ms >= self._next_rank_ms:
            self._next_rank_ms = now_ms + DOMAIN_CHECK_INTERVAL_MS
            own_hash = hash_name(self._components.node.node)
            self._rank = sum(hash_name(info.node) < own_hash for info in self._list_own_nodes())
        return now_ms - self._vacant_since_ms >= self._rank * ELECTION_RANK_DELAY_MS

    def _list_own_nodes(self) -> tuple[NodeInfo, ...]:
        """Return the live nodes of the own domain that are not leaving, sorted by name; cached."""
        alive, vms = self._membership.list_alive(), self._components.vms
        cache_state = (vms.version, self._membership.leaving)
        if alive is self._own_nodes_key[0] and cache_state == self._own_nodes_key[1]:
            return self._own_nodes
        nodes = [info for info in alive if info.domain == self._domain]
        if not self._membership.leaving:
            nodes.append(self._components.node)
        staying = [info for info in nodes if not vms.is_leaving(info.node)]
        self._own_nodes_key = (alive, cache_state)
        self._own_nodes = tuple(sorted(staying, key=lambda info: info.node))
        return self._own_nodes

    def _list_adopters(self, domain: str) -> tuple[NodeInfo, ...]:
        nodes = {info.node: info for info in self._membership.list_alive()}
        nodes[self._components.node.node] = self._components.node
        chosen = rank_nodes(f"adopt/{domain}", nodes, ADOPT_NODES)
        return tuple(nodes[name] for name in sorted(chosen))

    def _find_in_force(self) -> tuple[int, int]:
        numbers = [self._components.applier.number]
        for info in self._list_own_nodes():
            peer = self._membership.peers.get(info.node)
            if peer is not None:
                numbers.append(peer.ticket)
        return min(numbers), len(numbers)

    def _find_epochs(self, name: str) -> Mapping[str, int] | None:
        if name == self._components.node.node:
            return self._components.rosters.epochs
        peer = self._membership.peers.get(name)
        return peer.roster_epochs if peer is not None else None

    def _poll(self, now_ms: int) -> None:
        """Ping nodes whose ticket or roster epoch is not known to be current."""
        if now_ms < self._next_poll_ms:
            return
        self._next_poll_ms = now_ms + POLL_INTERVAL_MS
        number = self._components.applier.number
        if number != self._polled_number:
            # Nodes need about a second to receive the ticket; earlier pings would be repeated.
            self._polled_number = number
            self._poll_from_ms = now_ms + 2 * POLL_INTERVAL_MS
        targets: dict[str, NodeInfo] = {}
        for domain in (self._domain, *self._adopted):
            roster = self._components.rosters.rosters.get(domain)
            if roster is not None and not roster.sealed:
                outdated = self._own_coordinator.writer.list_outdated(roster, now_ms)
                targets.update((info.node, info) for info in outdated)
        if now_ms >= self._poll_from_ms:
            for info in self._list_own_nodes():
                peer = self._membership.peers.get(info.node)
                if peer is not None and peer.ticket < number:
                    targets[info.node] = info
        targets.pop(self._components.node.node, None)
        reachable = [info for info in targets.values() if self._membership.is_alive(info.node)]
        chosen = self._components.rng.sample(reachable, min(POLL_BATCH, len(reachable)))
        for info in chosen:
            self._membership.send_ping(info, now_ms)

    def _ping_unknown_vms(self, now_ms: int) -> None:
        """Ping unknown VMs of the own domain, and of domains without a live peer."""
        if now_ms < self._next_unknown_ping_ms:
            return
        self._next_unknown_ping_ms = now_ms + POLL_INTERVAL_MS
        other_domains_alive = {info.domain for info in self._membership.list_alive()} - {
            self._domain
        }
        unknown = [
            info
            for info in self._components.vms.list_nodes()
            if info.domain not in other_domains_alive and self._membership.is_unknown(info.node)
        ]
        for info in self._components.rng.sample(unknown, min(UNKNOWN_VM_PING_BATCH, len(unknown))):
            self._membership.send_ping(info, now_ms)

    def _check_empty_domains(self, now_ms: int) -> None:
        if now_ms < self._next_domain_check_ms:
            return
        self._next_domain_check_ms = now_ms + DOMAIN_CHECK_INTERVAL_MS
        alive = {info.domain for info in self._membership.list_alive()} | {self._domain}
        for domain, roster in self._components.rosters.rosters.items():
            if domain in alive:
                self._empty_since_ms.pop(domain, None)
                continue
            since_ms = self._empty_since_ms.setdefault(domain, now_ms)
            if domain in self._adopted or now_ms - since_ms < ADOPT_AFTER_MS:
                continue
            vms = self._components.vms
            names = [info.node for info in roster.nodes if info.domain == domain]
            # Each node is asked about, since the time of an unlisted one counts from then on.
            if sum(vms.is_gone(name, now_ms) for name in names) == len(names):
                self._adopt(domain)

    def _adopt(self, domain: str) -> None:
        self._adopted[domain] = Coordinator(
            domain,
            self._components,
            lambda: self._list_adopters(domain),
            self._find_in_force,
            self._find_epochs,
            full_duties=False,
        )

    def _forward_tickets(self, entries: Sequence[KeyEntry], now_ms: int) -> None:
        if self.on_tickets is not None:
            self.on_tickets(entries, now_ms)

    def _forward_groups(self, entries: Sequence[KeyEntry], now_ms: int) -> None:
        if self.on_groups is not None:
            self.on_groups(entries, now_ms)
