"""Coordinator of a failure domain."""

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
from burdockrun_fleet.backoff import Backoff, PlatformClient
from burdockrun_fleet.const import (
    GROUP_PREFIX,
    TICKET_PREFIX,
    VM_LIST_INTERVAL_MS,
    VM_LIST_INTERVAL_MS_PER_VM,
)
from burdockrun_fleet.evidence import Evidence
from burdockrun_fleet.lease import CoordinatorLease
from burdockrun_fleet.loader import PrefixFollower, SnapshotReader, read_ticket, ticket_key
from burdockrun_fleet.records import RecordTable
from burdockrun_fleet.reports import AuditWriter, InForceWriter
from burdockrun_fleet.roster_writer import RosterReader, RosterWriter
from burdockrun_fleet.rosters import RosterTable
from burdockrun_fleet.snapshots import SnapshotWriter
from burdockrun_fleet.tickets import TicketApplier
from burdockrun_fleet.vms import VmList


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeComponents:
    """Components that the coordinators, bootstrap loader and witness prober of a node share."""

    node: NodeInfo
    outbox: Outbox
    rng: random.Random
    platform: PlatformClient
    applier: TicketApplier
    records: RecordTable
    rosters: RosterTable
    evidence: Evidence
    vms: VmList
    trail: AuditTrail


class Coordinator:
    """Coordinates one domain while it holds the lease.

    `find_nodes` returns the live nodes for the roster, sorted by name, `find_in_force` the smallest
    ticket number among the live nodes of this node's domain and their count, `find_epochs` the
    roster epochs that a node last reported.
    Without `full_duties` the coordinator only maintains the roster of the domain.
    """

    def __init__(
        self,
        domain: str,
        components: NodeComponents,
        find_nodes: Callable[[], tuple[NodeInfo, ...]],
        find_in_force: Callable[[], tuple[int, int]],
        find_epochs: Callable[[str], Mapping[str, int] | None],
        *,
        full_duties: bool = True,
    ) -> None:
        self.lease = CoordinatorLease(
            components.node, domain, components.platform, components.outbox, components.rng
        )
        self.lease.on_acquired = self._start_work
        self.lease.on_lost = self._stop_work
        self.domain = domain
        self._components = components
        self._find_nodes = find_nodes
        self._find_in_force = find_in_force
        self._full_duties = full_duties
        holds = self.lease.holds
        platform, rng = components.platform, components.rng
        self.reader = RosterReader(
            domain,
            platform=platform,
            table=components.rosters,
            evidence=components.evidence,
            outbox=components.outbox,
            rng=rng,
        )
        self.writer = RosterWriter(
            domain,
            platform=platform,
            table=components.rosters,
            reader=self.reader,
            vms=components.vms,
            may_act=holds,
        )
        self.writer.find_epochs = find_epochs
        self._tickets = PrefixFollower(
            TICKET_PREFIX, platform, rng, self._next_ticket_key, self._receive_tickets
        )
        self._groups = PrefixFollower(GROUP_PREFIX, platform, rng, lambda: "", self._receive_groups)
        self._snapshot = SnapshotReader(components.applier, platform, rng)
        self._snapshots = SnapshotWriter(components.applier, platform, Backoff(rng), holds)
        self._in_force = InForceWriter(domain, platform, Backoff(rng), holds)
        self._audit = AuditWriter(domain, components.trail, platform, Backoff(rng), holds)
        self._recorded_in_force = -1
        self._vm_backoff = Backoff(rng)
        self._vms_waiting = False
        self._next_vms_ms = 0
        self.on_tickets: Callable[[Sequence[KeyEntry], int], None] = _ignore_entries
        self.on_groups: Callable[[Sequence[KeyEntry], int], None] = _ignore_entries

    def tick(self, now_ms: int, *, wanted: bool, wall_ms: int) -> None:
        """Renew or seek the lease and do the work of the coordinator that is due."""
        self.lease.tick(now_ms, wanted=wanted)
        if not self.lease.holds(now_ms):
            return
        self.writer.tick(self._find_nodes, now_ms)
        if not self._full_duties:
            return
        self._snapshot.tick(now_ms)
        if self._snapshot.done:
            self._tickets.tick(now_ms)
        self._groups.tick(now_ms)
        self._list_vms(now_ms)
        if self._tickets.listed:
            earlier_domains = [
                name for name in self._components.rosters.epochs if name < self.domain
            ]
            self._snapshots.tick(now_ms, len(earlier_domains))
            self._in_force.tick(self._find_in_force, now_ms, wall_ms)
            self._record_in_force(now_ms)
        self._audit.tick(now_ms)

    def _start_work(self, now_ms: int) -> None:
        self._components.trail.record("lease_taken", now_ms, {"domain": self.domain})
        self.writer.restart(now_ms)
        self._snapshot.restart()
        self._tickets.start()
        self._groups.start()
        self._snapshots.restart()
        self._in_force.restart()
        self._audit.restart()
        self._vms_waiting = False

    def _stop_work(self, now_ms: int) -> None:
        self._tickets.stop()
        self._groups.stop()
        self._audit.stop()
        self._components.trail.record("lease_lost", now_ms, {"domain": self.domain})

    def _record_in_force(self, now_ms: int) -> None:
        number = self._in_force.written
        if number > self._recorded_in_force >= 0:
            fields = {"domain": self.domain, "ticket": number}
            self._components.trail.record("ticket_in_force", now_ms, fields)
        self._recorded_in_force = number

    def _next_ticket_key(self) -> str:
        return ticket_key(self._components.applier.number)

    def _receive_tickets(self, entries: Sequence[KeyEntry], now_ms: int) -> None:
        before = self._components.applier.number
        self.on_tickets(entries, now_ms)
        tickets = [ticket for entry in entries if (ticket := read_ticket(entry)) is not None]
        numbers = [ticket.number for ticket in tickets]
        if numbers and self._components.applier.number == before and min(numbers) > before + 1:
            # The tickets in between were deleted or are missing in this reply.
            self._snapshot.restart()
            self._tickets.retry_later(now_ms)

    def _receive_groups(self, entries: Sequence[KeyEntry], now_ms: int) -> None:
        self.on_groups(entries, now_ms)

    def _list_vms(self, now_ms: int) -> None:
        if self._vms_waiting or now_ms < self._next_vms_ms:
            return
        if not self._vm_backoff.is_ready(now_ms):
            return
        # The part above the minimum interval is random, so that coordinators do not all call at the
        # same time.
        extra_ms = max(
            0, VM_LIST_INTERVAL_MS_PER_VM * len(self._components.vms) - VM_LIST_INTERVAL_MS
        )
        self._next_vms_ms = (
            now_ms + VM_LIST_INTERVAL_MS + self._components.rng.randint(0, 2 * extra_ms)
        )
        self._vms_waiting = self._components.platform.call(ListVms(), self._receive_vms, now_ms)

    def _receive_vms(self, reply: PlatformReply, now_ms: int) -> None:
        self._vms_waiting = False
        if not isinstance(reply, VmsReply):
            self._vm_backoff.fail(now_ms)
            return
        self._vm_backoff.succeed()
        self._components.vms.update(reply.vms, now_ms)


def _ignore_entries(entries: Sequence[KeyEntry], now_ms: int) -> None:
    """Ignore entries until the agent sets its own callback."""
