"""Agent through which a node takes part in the fleet."""

import random
from collections.abc import Callable, Iterator, Mapping, Sequence

from burdockrun_messages import (
    AuditPush,
    Configuration,
    Database,
    Digest,
    GroupRecord,
    Member,
    NodeInfo,
    NodeState,
    Outbox,
    PeerMessage,
    Ping,
    PingAck,
    PingRequest,
    RolesReleased,
    Roster,
    RosterPush,
    SnapshotPush,
    TermsPush,
    TicketRecord,
    TicketsPush,
)

from burdockrun_fleet.audit import AuditTrail
from burdockrun_fleet.backoff import PlatformClient
from burdockrun_fleet.bootstrap import BootstrapLoader
from burdockrun_fleet.const import (
    AUDIT_FLUSH_INTERVAL_MS,
    MAX_AUDITED_TICKETS,
    MEMBER_IN,
    MEMBER_OUT,
    ROSTER_CHANGED,
)
from burdockrun_fleet.coordinator import NodeComponents
from burdockrun_fleet.election import CoordinatorElection
from burdockrun_fleet.evidence import Evidence
from burdockrun_fleet.gossip import Gossip
from burdockrun_fleet.membership import Membership
from burdockrun_fleet.models import GossipOptions, TicketFunctions
from burdockrun_fleet.placement import Placement
from burdockrun_fleet.records import RecordTable
from burdockrun_fleet.roles import RoleManager
from burdockrun_fleet.rosters import RosterTable
from burdockrun_fleet.submission import read_author
from burdockrun_fleet.tickets import TicketApplier
from burdockrun_fleet.vms import VmList
from burdockrun_fleet.witnesses import WitnessProber


class FleetAgent:
    """Membership, homes, tickets, terms and audit trail of one node; also its `Directory`.

    `ids` gives numbers that no earlier process of the node has used. `wall_offset_ms` is added to
    the time of the node's clock to get Unix time in ms, for values that operators read. Callbacks
    get the time of the node's clock in ms.
    """

    def __init__(
        self,
        node: NodeInfo,
        seeds: Sequence[NodeInfo],
        outbox: Outbox,
        rng: random.Random,
        ticket_functions: TicketFunctions,
        *,
        ids: Iterator[int],
        options: GossipOptions | None = None,
        wall_offset_ms: int = 0,
    ) -> None:
        self.node = node
        self.on_configuration: Callable[[Configuration, int], None] | None = None
        self.on_records: Callable[[Sequence[GroupRecord], int], None] | None = None
        self._seeds = tuple(seeds)
        self._outbox = outbox
        self._wall_offset_ms = wall_offset_ms
        self._platform = PlatformClient(outbox)
        self._applier = TicketApplier(ticket_functions, outbox)
        self._applier.on_configuration = self._configuration_changed
        self._records = RecordTable(outbox)
        self._records.on_records = self._records_learned
        self._rosters = RosterTable(node, outbox)
        self._rosters.on_roster = self._roster_changed
        self._evidence = Evidence(node)
        self._roles = RoleManager(node, self._rosters, self._evidence, outbox)
        self._vms = VmList(node)
        self._trail = AuditTrail(node, outbox, wall_offset_ms=wall_offset_ms)
        self._membership = Membership(
            node, outbox, rng, self._build_digest, self._peer_changed, ids=ids
        )
        self._membership.on_ack = lambda ack, sent_ms, now_ms: self._evidence.note_ack(
            ack, sent_ms, self._rosters.rosters
        )
        components = NodeComponents(
            node=node,
            outbox=outbox,
            rng=rng,
            platform=self._platform,
            applier=self._applier,
            records=self._records,
            rosters=self._rosters,
            evidence=self._evidence,
            vms=self._vms,
            trail=self._trail,
        )
        self._placement = Placement(node, self._roles, self._membership)
        self._gossip = Gossip(self._membership, outbox, self._applier, self._records, self._rosters)
        self._gossip.on_applied = self._audit_tickets
        self.options = options or GossipOptions()
        self._election = CoordinatorElection(components, self._membership)
        self._election.on_tickets = self._gossip.receive_ticket_entries
        self._election.on_groups = self._gossip.receive_group_entries
        self._bootstrap = BootstrapLoader(
            components, self._membership, self._gossip.receive_ticket_entries
        )
        self._witness_prober = WitnessProber(components, self._membership)
        self._next_audit_ms = 0

    @property
    def options(self) -> GossipOptions:
        """Return the options of gossip."""
        return self._gossip.options

    @options.setter
    def options(self, options: GossipOptions) -> None:
        self._gossip.options = options

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force on this node."""
        return self._applier.configuration

    @property
    def records(self) -> Mapping[str, GroupRecord]:
        """Return the known group records by database."""
        return self._records.records

    @property
    def rosters(self) -> Mapping[str, Roster]:
        """Return the known rosters by domain."""
        return self._rosters.rosters

    def start(self, now_ms: int) -> None:
        """Start membership, the election, bootstrap and the pings to witnesses."""
        self._evidence.start(now_ms)
        self._membership.start(self._seeds, now_ms)
        self._election.start(now_ms)
        self._bootstrap.start(now_ms)
        self._witness_prober.start(now_ms)

    def tick(self, now_ms: int) -> None:
        """Run the periodic work that is due."""
        self._membership.tick(now_ms)
        self._witness_prober.tick(now_ms)
        self._election.tick(now_ms, now_ms + self._wall_offset_ms)
        self._bootstrap.tick(now_ms)
        self._roles.tick(now_ms)
        if now_ms >= self._next_audit_ms:
            self._next_audit_ms = now_ms + AUDIT_FLUSH_INTERVAL_MS
            self._forward_audit(now_ms)

    def receive(self, peer: str, message: PeerMessage, now_ms: int) -> None:
        """Handle a peer message that is neither a forward nor a verdict."""
        match message:
            case Ping():
                self._membership.receive_ping(message, now_ms)
                self._receive_digest(message.sender, message.digest, now_ms)
            case PingAck():
                self._membership.receive_ack(message, now_ms)
                self._receive_digest(message.sender, message.digest, now_ms)
            case PingRequest():
                self._membership.receive_request(peer, message, now_ms)
            case TicketsPush():
                self._gossip.receive_tickets(message.tickets, peer, now_ms)
            case SnapshotPush():
                self._applier.receive_shard(message, now_ms)
            case TermsPush():
                self._gossip.receive_records(message.records, peer, now_ms)
            case RosterPush():
                for roster in message.rosters:
                    self._rosters.learn(roster, now_ms)
            case RolesReleased():
                self._roles.receive_release(peer, message, now_ms)
            case _:
                self._receive_other(peer, message, now_ms)

    def drain(self, now_ms: int) -> None:
        """Leave the fleet; other nodes get the roles once the roster has changed."""
        self.audit("drain", now_ms)
        self._election.resign(now_ms)
        self._membership.leave(now_ms)
        self._forward_audit(now_ms)

    def handle_pause(self, gap_ms: int, now_ms: int) -> None:
        """Handle a pause of the process, during which answers of peers may have been missed."""
        self._membership.handle_pause(now_ms)

    def find_home(self, member: Member) -> NodeInfo | None:
        """Return the node to which requests for a member go."""
        return self._placement.find_home(member)

    def find_standby(self, member: Member) -> NodeInfo | None:
        """Return the standby of a member."""
        return self._placement.find_standby(member)

    def find_node(self, name: str) -> NodeInfo | None:
        """Return a node by its name, even if it is draining, or None."""
        return self.node if name == self.node.node else self._membership.find(name)

    def has_no_live_home(self, member: Member) -> bool:
        """Return whether the home and the standby of a member are known and have died or left."""
        holders = [info for info in self._roles.homes.find(member) if info is not None]
        return bool(holders) and all(self._is_gone(info.node) for info in holders)

    def _is_gone(self, name: str) -> bool:
        if name == self.node.node:
            return self._membership.leaving
        return self._membership.is_dead(name)

    def is_home(self, member: Member) -> bool:
        """Return whether this node serves a member: as home, or as standby of a dead home."""
        return self._placement.is_home(member)

    def list_nodes(self) -> Sequence[NodeInfo]:
        """Return the live nodes, including this one."""
        return (self.node, *self._membership.list_alive())

    def list_role_members(self) -> Sequence[str]:
        """Return the names of the members for which this node has or awaits a role."""
        return self._roles.list_members()

    def is_alive(self, name: str) -> bool:
        """Return whether this node considers a node alive."""
        return self._membership.is_alive(name)

    def is_coordinator(self, domain: str, now_ms: int) -> bool:
        """Return whether this node holds the lease of a domain now."""
        return self._election.is_coordinator(domain, now_ms)

    def connection_budget(self, database: Database, member: Member, now_ms: int) -> int:
        """Return how many connections this node may have open to a member now."""
        return self._roles.budget(database, member, now_ms)

    def release_connections(self, member: Member, now_ms: int) -> None:
        """Record that this node has closed its last connection to a member."""
        self._roles.release(member, now_ms)

    def publish_record(self, record: GroupRecord, now_ms: int) -> None:
        """Learn a group record that this node produced and push it to peers."""
        self._gossip.receive_records((record,), "", now_ms)

    def audit(self, kind: str, now_ms: int, **fields: object) -> None:
        """Record an event in the audit trail."""
        self._trail.record(kind, now_ms, fields)

    def is_leaving(self, member: Member) -> bool:
        """Return whether a ticket or the platform says that a member is leaving."""
        rosters = self._rosters.rosters.values()
        return member.leaving or any(member.name in roster.leaving for roster in rosters)

    def _build_digest(self, now_ms: int) -> Digest:
        rosters = self._rosters.own.values()
        return Digest(
            ticket=self._applier.number,
            roster_epochs=self._rosters.epochs,
            terms_hash=self._records.total_hash,
            confirmed=self._evidence.list_confirmed(rosters, now_ms),
            vouches=self._evidence.list_vouches(rosters, now_ms),
            coordinator=self._election.coordinator,
        )

    def _receive_digest(self, sender: NodeInfo, digest: Digest, now_ms: int) -> None:
        peer = self._membership.peers.get(sender.node)
        if peer is None:
            return
        peer.ticket = digest.ticket
        peer.roster_epochs = digest.roster_epochs
        self._election.note_digest(sender, digest, now_ms)
        self._gossip.compare(sender, digest, now_ms)

    def _receive_other(self, peer: str, message: PeerMessage, now_ms: int) -> None:
        if isinstance(message, AuditPush):
            self._trail.add(message.entries)
            return
        info = self._membership.find(peer)
        if info is not None:
            self._gossip.answer_pull(info, message, now_ms)

    def _configuration_changed(self, configuration: Configuration, now_ms: int) -> None:
        services = configuration.services.values()
        members = [m for s in services for d in s.databases for m in d.members]
        self._roles.set_members(members, now_ms)
        if self.on_configuration is not None:
            self.on_configuration(configuration, now_ms)

    def _audit_tickets(self, tickets: Sequence[TicketRecord], now_ms: int) -> None:
        """Record applied tickets; only the coordinator does, so that each domain has one entry."""
        if not self._election.is_coordinator(self.node.domain, now_ms):
            return
        for ticket in tickets[-MAX_AUDITED_TICKETS:]:
            author, reason = read_author(ticket.text)
            self.audit("ticket", now_ms, ticket=ticket.number, author=author, reason=reason)

    def _records_learned(self, records: Sequence[GroupRecord], now_ms: int) -> None:
        if self.on_records is not None:
            self.on_records(records, now_ms)

    def _roster_changed(self, old: Roster | None, new: Roster, now_ms: int) -> None:
        if old is not None:
            self._evidence.advance(old, new)
        self._roles.roster_changed(old, new, now_ms)
        self._membership.assume_alive(new.nodes, now_ms)
        self._witness_prober.ping_soon(now_ms)
        if new.domain != self.node.domain:
            return
        self._outbox.log(ROSTER_CHANGED, domain=new.domain, epoch=new.epoch, nodes=len(new.nodes))
        self._gossip.push_roster(new)

    def _peer_changed(self, info: NodeInfo, state: NodeState, now_ms: int) -> None:
        event = MEMBER_IN if state is NodeState.ALIVE else MEMBER_OUT
        if state is NodeState.ALIVE:
            self._vms.note_alive(info.node)
        self._outbox.log(event, node=info.node, domain=info.domain, state=state.value)
        if self._election.is_coordinator(info.domain, now_ms):
            self.audit(event.name, now_ms, node=info.node, state=state.value)

    def _forward_audit(self, now_ms: int) -> None:
        if self._election.is_coordinator(self.node.domain, now_ms):
            return
        coordinator = self._membership.find(self._election.coordinator)
        if coordinator is not None:
            self._trail.forward_to(coordinator)
