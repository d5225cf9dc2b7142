"""Loading of the VM list and of tickets from the platform when no peer can help."""

from collections.abc import Callable, Sequence

from burdockrun_messages import KeyEntry, ListVms, PlatformReply, VmsReply

from burdockrun_fleet.backoff import Backoff
from burdockrun_fleet.const import BOOTSTRAP_DELAY_MS, TICKET_PREFIX
from burdockrun_fleet.coordinator import NodeComponents
from burdockrun_fleet.loader import PrefixFollower, SnapshotReader, ticket_key
from burdockrun_fleet.membership import Membership

_RETRY_MS = 30_000


class BootstrapLoader:
    """Loads the VM list while no peer is alive, and tickets while no peer has any."""

    def __init__(
        self,
        components: NodeComponents,
        membership: Membership,
        on_tickets: Callable[[Sequence[KeyEntry], int], None],
    ) -> None:
        self._components = components
        self._membership = membership
        self._snapshot = SnapshotReader(components.applier, components.platform, components.rng)
        self._tickets = PrefixFollower(
            TICKET_PREFIX,
            components.platform,
            components.rng,
            lambda: ticket_key(components.applier.number),
            on_tickets,
        )
        self._tickets.watch = False
        self._backoff = Backoff(components.rng)
        self._vms_waiting = False
        self._due_ms = 0

    def start(self, now_ms: int) -> None:
        """Schedule the first load for a time by which peers should have answered."""
        self._due_ms = (
            now_ms + BOOTSTRAP_DELAY_MS + self._components.rng.randint(0, BOOTSTRAP_DELAY_MS)
        )

    def tick(self, now_ms: int) -> None:
        """Load the VM list or tickets if they are missing and a load is due."""
        if self._components.applier.number > 0:
            self._tickets.stop()
        elif self._tickets.running:
            self._load_tickets(now_ms)
        if now_ms < self._due_ms:
            return
        has_no_peers = not self._membership.list_alive()
        if has_no_peers and not self._vms_waiting and self._backoff.is_ready(now_ms):
            self._vms_waiting = self._components.platform.call(ListVms(), self._receive_vms, now_ms)
        if (
            self._components.applier.number == 0
            and not self._tickets.running
            and self._no_peer_has_tickets()
        ):
            self._snapshot.restart()
            self._tickets.start()
        if not has_no_peers or self._components.applier.number > 0:
            self._due_ms = now_ms + _RETRY_MS + self._components.rng.randint(0, _RETRY_MS)

    def _load_tickets(self, now_ms: int) -> None:
        self._snapshot.tick(now_ms)
        if self._snapshot.done:
            self._tickets.tick(now_ms)
        if self._tickets.listed:
            self._tickets.stop()

    def _no_peer_has_tickets(self) -> bool:
        return all(peer.ticket == 0 for peer in self._membership.peers.values())

    def _receive_vms(self, reply: PlatformReply, now_ms: int) -> None:
        self._vms_waiting = False
        if not isinstance(reply, VmsReply):
            self._backoff.fail(now_ms)
            return
        self._backoff.succeed()
        self._components.vms.update(reply.vms, now_ms)
        self._membership.add_contacts(self._components.vms.list_nodes())
        self._due_ms = now_ms + BOOTSTRAP_DELAY_MS
