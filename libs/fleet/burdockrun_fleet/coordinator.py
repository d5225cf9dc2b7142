"""Work of the coordinator of a failure domain."""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from burdockrun_messages import (
    KeyEntry,
    ListVms,
    NodeInfo,
    Outbox,
    PlatformReply,
    VmsReply,
)

from burdockrun_fleet.audit import AuditTrail
from burdockrun_fleet.backoff import Backoff, PlatformPort
from burdockrun_fleet.const import (
    GROUP_PREFIX,
    TICKET_PREFIX,
    VM_LIST_INTERVAL_MS,
    VM_LIST_INTERVAL_MS_PER_VM,
)
from burdockrun_fleet.evidence import Evidence
from burdockrun_fleet.lease import CoordinatorLease
from burdockrun_fleet.loader import PrefixFollower, SnapshotReader, ticket_key
from burdockrun_fleet.records import RecordTable
from burdockrun_fleet.reports import AuditWriter, InForceWriter
from burdockrun_fleet.roster_writer import RosterReader, RosterWriter
from burdockrun_fleet.rosters import RosterTable
from burdockrun_fleet.snapshots import SnapshotWriter
from burdockrun_fleet.tickets import TicketApplier
from burdockrun_fleet.vms import VmView


@dataclass(frozen=True, kw_only=True, slots=True)
class Parts:
    """Decisions of a node that its coordinators work with."""

    node: NodeInfo
    outbox: Outbox
    rng: random.Random
    port: PlatformPort
    applier: TicketApplier
    records: RecordTable
    rosters: RosterTable
    evidence: Evidence
    vms: VmView
    trail: AuditTrail


class Coordinator:
    """Coordinates one domain while it holds the lease.

    `find_nodes` returns the live nodes for the roster by name, `find_in_force` the smallest ticket
    number among them and their count, `epochs_of` the roster epochs that a node last reported.
    """

    def __init__(
        self,
        domain: str,
        parts: Parts,
        find_nodes: Callable[[], tuple[NodeInfo, ...]],
        find_in_force: Callable[[], tuple[int, int]],
        epochs_of: Callable[[str], Mapping[str, int] | None],
        *,
        whole: bool = True,
    ) -> None:
        self.lease = CoordinatorLease(parts.node, domain, parts.port, parts.outbox, parts.rng)
        self.lease.on_taken = self._begin
        self.lease.on_lost = self._end
        self.domain = domain
        self._parts = parts
        self._find_nodes = find_nodes
        self._find_in_force = find_in_force
        self._whole = whole
        holds = self.lease.holds
        port, rng = parts.port, parts.rng
        self.reader = RosterReader(
            domain,
            port=port,
            table=parts.rosters,
            evidence=parts.evidence,
            outbox=parts.outbox,
            rng=rng,
        )
        self.writer = RosterWriter(
            domain,
            port=port,
            table=parts.rosters,
            reader=self.reader,
            vms=parts.vms,
            may_act=holds,
        )
        self.writer.epochs_of = epochs_of
        self._tickets = PrefixFollower(
            TICKET_PREFIX, port, rng, self._next_ticket_key, self._receive_tickets
        )
        self._groups = PrefixFollower(GROUP_PREFIX, port, rng, lambda: "", self._receive_groups)
        self._snapshot = SnapshotReader(parts.applier, port, rng)
        self._snapshots = SnapshotWriter(parts.applier, port, Backoff(rng), holds)
        self._in_force = InForceWriter(domain, port, Backoff(rng), holds)
        self._audit = AuditWriter(domain, parts.trail, port, Backoff(rng), holds)
        self._announced = -1
        self._vm_backoff = Backoff(rng)
        self._vm_waiting = False
        self._next_vms_ms = 0
        self.on_tickets: Callable[[Sequence[KeyEntry], int], None] = _ignore_entries
        self.on_groups: Callable[[Sequence[KeyEntry], int], None] = _ignore_entries

    def tick(self, now_ms: int, *, wanted: bool, wall_ms: int) -> None:
        """Keep or seek the lease and do the work that is due."""
        self.lease.tick(now_ms, wanted=wanted)
        if not self.lease.holds(now_ms):
            return
        self.writer.tick(self._find_nodes, now_ms)
        if not self._whole:
            return
        self._snapshot.tick(now_ms)
        if self._snapshot.done:
            self._tickets.tick(now_ms)
        self._groups.tick(now_ms)
        self._list_vms(now_ms)
        if self._tickets.listed:
            earlier = [name for name in self._parts.rosters.epochs if name < self.domain]
            self._snapshots.tick(now_ms, len(earlier))
            self._in_force.tick(self._find_in_force, now_ms, wall_ms)
            self._record_in_force(now_ms)
        self._audit.tick(now_ms)

    def _begin(self, now_ms: int) -> None:
        self._parts.trail.record("lease_taken", now_ms, {"domain": self.domain})
        self.writer.restart(now_ms)
        self._snapshot.restart()
        self._tickets.start()
        self._groups.start()
        self._snapshots.restart()
        self._in_force.restart()
        self._audit.restart()
        self._vm_waiting = False

    def _end(self, now_ms: int) -> None:
        self._tickets.stop()
        self._groups.stop()
        self._audit.stop()
        self._parts.trail.record("lease_lost", now_ms, {"domain": self.domain})

    def _record_in_force(self, now_ms: int) -> None:
        number = self._in_force.written
        if number > self._announced >= 0:
            fields = {"domain": self.domain, "ticket": number}
            self._parts.trail.record("ticket_in_force", now_ms, fields)
        self._announced = number

    def _next_ticket_key(self) -> str:
        return ticket_key(self._parts.applier.number)

    def _receive_tickets(self, entries: Sequence[KeyEntry], now_ms: int) -> None:
        before = self._parts.applier.number
        self.on_tickets(entries, now_ms)
        numbers = [int(e.key[-10:]) for e in entries if e.revision and e.key[-10:].isdigit()]
        if numbers and self._parts.applier.number == before and min(numbers) > before + 1:
            # The tickets in between are deleted or were not in this answer.
            self._snapshot.restart()
            self._tickets.retry_later(now_ms)

    def _receive_groups(self, entries: Sequence[KeyEntry], now_ms: int) -> None:
        self.on_groups(entries, now_ms)

    def _list_vms(self, now_ms: int) -> None:
        if self._vm_waiting or now_ms < self._next_vms_ms:
            return
        if not self._vm_backoff.is_ready(now_ms):
            return
        # The part above the least period is random, so that coordinators do not read in step.
        more_ms = max(0, VM_LIST_INTERVAL_MS_PER_VM * len(self._parts.vms) - VM_LIST_INTERVAL_MS)
        self._next_vms_ms = now_ms + VM_LIST_INTERVAL_MS + self._parts.rng.randint(0, 2 * more_ms)
        self._vm_waiting = self._parts.port.call(ListVms(), self._receive_vms, now_ms)

    def _receive_vms(self, reply: PlatformReply, now_ms: int) -> None:
        self._vm_waiting = False
        if not isinstance(reply, VmsReply):
            self._vm_backoff.fail(now_ms)
            return
        self._vm_backoff.succeed()
        self._parts.vms.update(reply.vms, now_ms)


def _ignore_entries(entries: Sequence[KeyEntry], now_ms: int) -> None:
    """Do nothing until the agent has connected its own function."""
