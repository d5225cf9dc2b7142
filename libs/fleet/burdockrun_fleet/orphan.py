"""Direct loading from the platform by a node that no peer could help."""

from collections.abc import Callable, Sequence

from burdockrun_messages import KeyEntry, ListVms, PlatformReply, VmsReply

from burdockrun_fleet.backoff import Backoff
from burdockrun_fleet.const import BOOTSTRAP_DELAY_MS, TICKET_PREFIX
from burdockrun_fleet.coordinator import Parts
from burdockrun_fleet.loader import PrefixFollower, SnapshotReader, ticket_key
from burdockrun_fleet.membership import Membership

_RETRY_MS = 30_000


class OrphanLoader:
    """Loads the VM list while no peer is known, and tickets while none has any."""

    def __init__(
        self,
        parts: Parts,
        membership: Membership,
        on_tickets: Callable[[Sequence[KeyEntry], int], None],
    ) -> None:
        self._parts = parts
        self._membership = membership
        self._snapshot = SnapshotReader(parts.applier, parts.port, parts.rng)
        self._tickets = PrefixFollower(
            TICKET_PREFIX,
            parts.port,
            parts.rng,
            lambda: ticket_key(parts.applier.number),
            on_tickets,
        )
        self._tickets.watch = False
        self._backoff = Backoff(parts.rng)
        self._vms_waiting = False
        self._due_ms = 0

    def start(self, now_ms: int) -> None:
        """Begin; the first load comes only after peers had time to answer."""
        self._due_ms = now_ms + BOOTSTRAP_DELAY_MS + self._parts.rng.randint(0, BOOTSTRAP_DELAY_MS)

    def tick(self, now_ms: int) -> None:
        """Load what is missing when it is due."""
        if self._parts.applier.number > 0:
            self._tickets.stop()
        elif self._tickets.running:
            self._load(now_ms)
        if now_ms < self._due_ms:
            return
        alone = not self._membership.list_alive()
        if alone and not self._vms_waiting and self._backoff.is_ready(now_ms):
            self._vms_waiting = self._parts.port.call(ListVms(), self._receive_vms, now_ms)
        if self._parts.applier.number == 0 and not self._tickets.running and self._is_unaided():
            self._snapshot.restart()
            self._tickets.start()
        if not alone or self._parts.applier.number > 0:
            self._due_ms = now_ms + _RETRY_MS + self._parts.rng.randint(0, _RETRY_MS)

    def _load(self, now_ms: int) -> None:
        self._snapshot.tick(now_ms)
        if self._snapshot.done:
            self._tickets.tick(now_ms)
        if self._tickets.listed:
            self._tickets.stop()

    def _is_unaided(self) -> bool:
        return all(peer.ticket == 0 for peer in self._membership.peers.values())

    def _receive_vms(self, reply: PlatformReply, now_ms: int) -> None:
        self._vms_waiting = False
        if not isinstance(reply, VmsReply):
            self._backoff.fail(now_ms)
            return
        self._backoff.succeed()
        self._parts.vms.update(reply.vms, now_ms)
        self._membership.add_contacts(self._parts.vms.list_nodes())
        self._due_ms = now_ms + BOOTSTRAP_DELAY_MS
