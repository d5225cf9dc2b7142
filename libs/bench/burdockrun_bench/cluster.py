"""Virtual cluster: nodes, database members, platform, links and callers."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from burdockrun_endpoint import DatabaseMember, EntryLog
from burdockrun_messages import (
    CallerGone,
    Database,
    Member,
    MemberRole,
    NodeInfo,
    RequestReceived,
    SendExecute,
    Service,
    StatementAnswer,
    StatementRequest,
    TransactionStep,
    VmEntry,
)

from burdockrun_bench.const import LEAVING_LIMIT_MS
from burdockrun_bench.invariants import Invariants
from burdockrun_bench.links import Links
from burdockrun_bench.loop import VirtualLoop
from burdockrun_bench.member_host import MemberHost
from burdockrun_bench.node_host import Node, NodeHost
from burdockrun_bench.store_host import StoreHost

OnAnswer = Callable[[StatementAnswer | None], None]
MakeNode = Callable[[NodeInfo, Sequence[NodeInfo], int, random.Random], Node]
ReadTicketNumber = Callable[[Node], int]


@dataclass(kw_only=True, slots=True)
class PendingRequest:
    """Request whose caller waits for the answer."""

    host: NodeHost
    request: StatementRequest
    on_answer: OnAnswer
    sent_ms: int
    arrived: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ClusterPlan:
    """Domains, services, number of nodes and delays of a cluster.

    `one_way_ms` is the one-way delay between domains, `client_ms` that between a caller and a
    node, `service_ms` the mean time in which a member runs a statement.
    """

    domains: tuple[str, ...]
    nodes: int
    one_way_ms: int
    client_ms: int
    services: tuple[Service, ...]
    service_ms: float = 4.0


class Cluster:
    """All processes of one run; `make_node` builds a node from its address and its seed nodes."""

    def __init__(
        self,
        plan: ClusterPlan,
        seed: int,
        make_node: MakeNode,
        *,
        read_ticket_number: ReadTicketNumber | None = None,
        strict: bool = False,
        start_ms: int = 100_000,
    ) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.loop = VirtualLoop(start_ms)
        self.links = Links(random.Random(seed + 1), plan.one_way_ms)
        self.store = StoreHost(self.loop, self.links, random.Random(seed + 2))
        self.invariants = Invariants(self.loop, self.find_primary_log, strict=strict)
        self.databases: dict[str, Database] = {}
        self.members: dict[str, MemberHost] = {}
        self.nodes: list[NodeHost] = []
        self.leaving_since_ms: dict[str, int] = {}
        self.last_fault_ms = 0
        self._make_node = make_node
        self._read_ticket_number = read_ticket_number
        self._pending: dict[int, PendingRequest] = {}
        self._next_id = 1
        self._next_node = 1
        for service in plan.services:
            for database in service.databases:
                self._add_database(database)
        self.store.on_put = self._check_put

    def start_nodes(self) -> None:
        """Start the planned nodes, spread over the domains."""
        infos = [self.make_info() for _ in range(self.plan.nodes)]
        for info in infos:
            self.start_node(info, infos)

    def make_info(self, domain: str | None = None) -> NodeInfo:
        """Return the address of a new node."""
        number, self._next_node = self._next_node, self._next_node + 1
        domains = self.plan.domains
        return NodeInfo(
            node=f"vm{number}",
            domain=domain or domains[number % len(domains)],
            host=f"10.1.{number // 250}.{number % 250 + 1}",
            port=7000,
        )

    def start_node(self, info: NodeInfo, seeds: Sequence[NodeInfo]) -> NodeHost:
        """Start one node."""
        others = [seed for seed in seeds if seed.node != info.node]
        node_rng = random.Random(self.rng.getrandbits(64))
        node = self._make_node(info, others, self.loop.now_ms, node_rng)
        host = NodeHost(self, info, node)
        self.nodes.append(host)
        self.loop.record("node up", info.node, info.domain)
        host.start()
        self.publish_vms()
        return host

    def stop_node(self, host: NodeHost) -> None:
        """Kill a node; its callers lose their answers."""
        host.kill()
        self.nodes.remove(host)
        self.publish_vms()
        for caller_id, pending in list(self._pending.items()):
            if pending.host is host:
                self._lose_answer(caller_id)

    def publish_vms(self) -> None:
        """Update the platform's list of VMs."""
        vms = [
            VmEntry(
                name=host.info.node,
                domain=host.info.domain,
                host=host.info.host,
                port=host.info.port,
                kind="entry",
            )
            for host in self.nodes
        ]
        for database in self.databases.values():
            vms += [
                VmEntry(
                    name=member.name,
                    domain=member.domain,
                    host=member.host,
                    port=member.port,
                    kind="endpoint",
                    leaving=member.name in self.leaving_since_ms,
                )
                for member in database.members
            ]
        self.store.store.set_vms(tuple(vms), self.loop.now_ms)

    def send(self, host: NodeHost, request: StatementRequest, on_answer: OnAnswer) -> None:
        """Send a caller's request to a node; `on_answer` gets None when the answer is lost."""
        caller_id = self.take_id()
        pending = self._pending[caller_id] = PendingRequest(
            host=host, request=request, on_answer=on_answer, sent_ms=self.loop.now_ms
        )

        def arrive() -> None:
            if not host.alive:
                self._lose_answer(caller_id)
                return
            pending.arrived = True
            self.loop.record("request", host.info.node, request.request_id, request.statement)
            host.deliver(RequestReceived(caller_id=caller_id, request=request))

        self.loop.after(self.plan.client_ms, arrive)

    def disconnect_caller(self, host: NodeHost, caller_id: int) -> None:
        """Tell a node that a caller has disconnected."""
        host.deliver(CallerGone(caller_id=caller_id))

    def list_overdue(self, margin_ms: int) -> list[StatementRequest]:
        """Return the requests that are unanswered `margin_ms` after their deadline."""
        now_ms = self.loop.now_ms
        return [
            pending.request
            for pending in self._pending.values()
            if now_ms > pending.sent_ms + pending.request.deadline_ms + margin_ms
        ]

    def count_waiting(self, host: NodeHost) -> int:
        """Return how many requests a node has received and not answered."""
        pending_requests = self._pending.values()
        return sum(1 for pending in pending_requests if pending.host is host and pending.arrived)

    def find_primary(self, database: str) -> MemberHost | None:
        """Return the primary with the highest confirmed term, even if its process is paused."""
        found: MemberHost | None = None
        for member in self.databases[database].members:
            host = self.members[member.name]
            if host.member.role is not MemberRole.PRIMARY or not is_term_confirmed(host.member):
                continue
            if found is None or host.member.term > found.member.term:
                found = host
        return found

    def find_primary_log(self, database: str) -> EntryLog | None:
        """Return the log of the current primary."""
        host = self.find_primary(database)
        return None if host is None else host.member.log

    def find_member(self, name: str) -> MemberHost | None:
        """Return the host of a member."""
        return self.members.get(name)

    def find_node(self, info: NodeInfo) -> NodeHost | None:
        """Return the live host with this address."""
        return next((host for host in self.nodes if host.info == info), None)

    def take_id(self) -> int:
        """Return an id that is unique in the cluster."""
        self._next_id += 1
        return self._next_id

    def connection_opened(self, host: MemberHost) -> None:
        """Check the connection limit of the member's database (I11)."""
        database = self.databases[host.database]
        count = sum(len(self.members[m.name].member.connections) for m in database.members)
        if count > database.connections:
            for member in database.members:
                peer = self.members[member.name]
                self.loop.record("connections", member.name, peer.describe_connections())
        self.invariants.check_connections(host.database, count, database.connections)

    def statement_sent(self, host: NodeHost, action: SendExecute, member: str) -> None:
        """Check that a leaving member gets no new work after `LEAVING_LIMIT_MS` (I7).

        New work is a statement outside a transaction, or the start of a transaction. Skip the
        check when a fault was active within `LEAVING_LIMIT_MS` before the member began to leave,
        or since then.
        """
        since_ms = self.leaving_since_ms.get(member)
        if since_ms is None or self.last_fault_ms >= since_ms - LEAVING_LIMIT_MS:
            return
        if action.message.step not in (None, TransactionStep.BEGIN):
            return
        self.invariants.checked["I7"] += 1
        late_ms = self.loop.now_ms - since_ms
        if late_ms > LEAVING_LIMIT_MS:
            self.invariants.report_late_work(member, late_ms, action.message.statement)

    def answer_sent(self, host: NodeHost, caller_id: int, answer: StatementAnswer) -> None:
        """Check an answer and pass it to its caller; ignore it when no caller waits for it."""
        pending = self._pending.pop(caller_id, None)
        if pending is None:
            return
        self.loop.record("answer", host.info.node, answer)
        self.invariants.check_answer(caller_id, pending.request, answer)
        self.loop.after(self.plan.client_ms, lambda: pending.on_answer(answer))

    def event_handled(self, host: NodeHost) -> None:
        """Check the ticket in force at a node (I9)."""
        if self._read_ticket_number is not None:
            self.invariants.check_ticket_in_force(
                host.process_id, host.info.node, self.read_ticket_number(host)
            )

    def read_ticket_number(self, host: NodeHost) -> int:
        """Return the number of the ticket in force at a node, 0 without a `read_ticket_number`."""
        return 0 if self._read_ticket_number is None else self._read_ticket_number(host.node)

    def _lose_answer(self, caller_id: int) -> None:
        pending = self._pending.pop(caller_id, None)
        if pending is None:
            return
        self.invariants.record_lost_answer(pending.request)
        self.loop.after(self.plan.client_ms, lambda: pending.on_answer(None))

    def _add_database(self, database: Database) -> None:
        self.databases[database.name] = database
        for member in database.members:
            self.members[member.name] = self._make_member(database, member)

    def _make_member(self, database: Database, member: Member) -> MemberHost:
        model = DatabaseMember(
            member.name,
            member.domain,
            database.slots,
            self.plan.service_ms,
            random.Random(self.rng.getrandbits(64)),
        )
        host = MemberHost(database.name, model, self.loop, self.links, self.find_member)
        host.on_promoted = self._check_promotion
        return host

    def _check_promotion(self, host: MemberHost) -> None:
        member = host.member
        self.invariants.check_promotion(host.database, member.name, member.term, member.log)

    def _check_put(self, key: str, value: str) -> None:
        prefix, _, number = key.partition("/")
        if prefix == "tickets" and number.isdigit():
            self.invariants.check_ticket(int(number), value)


def is_term_confirmed(member: DatabaseMember) -> bool:
    """Return whether a majority holds the start entry of a primary's term."""
    if member.confirmed_index == 0:
        return False
    return member.log.position(member.confirmed_index).term == member.term
