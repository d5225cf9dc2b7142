"""Virtual-time simulation of nodes, members, links and store for the failover tests."""

import dataclasses
import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from burdockrun_failover import Acknowledger, GroupSupervisor, decode_record
from burdockrun_messages import (
    ActiveTerm,
    AskStatus,
    AwaitConfirmed,
    CallControl,
    CallPlatform,
    ControlAnswered,
    Database,
    Fence,
    Follow,
    GetKey,
    GroupRecord,
    KeyEntry,
    LogPosition,
    Member,
    MemberRole,
    MemberStatus,
    NodeInfo,
    Outbox,
    PlatformAnswered,
    PlatformFailure,
    Promote,
    PutKey,
    PutReply,
    RecordLog,
    SendPeer,
    TermsPush,
    Verdict,
    WakeAt,
)

BAYERN = ("muc-nord", "nbg", "rgb", "aug")
ANDES = ("medellin-a", "bogota-b", "manizales-c")
ONE_WAY_MS = {BAYERN: 5, ANDES: 4}
DATABASE = "orders"


class Links:
    """Links between locations; a location is a name and a failure domain.

    `blocked_links` holds pairs of names or domains between which messages are lost.
    """

    def __init__(self, rng: random.Random, one_way_ms: int) -> None:
        self.loss_rate = 0.0
        self.blocked_links: set[frozenset[str]] = set()
        self._rng = rng
        self._one_way_ms = one_way_ms

    def delay_ms(self, source: tuple[str, str], target: tuple[str, str]) -> int | None:
        """Return the delay of one message, or None when it is lost."""
        if any(frozenset((a, b)) in self.blocked_links for a in source for b in target):
            return None
        if self._rng.random() < self.loss_rate:
            return None
        base = 1 if source[1] == target[1] else self._one_way_ms
        return base + (self._rng.randint(0, base) if self._rng.random() < 0.1 else 0)


class FakeStore:
    """Compare-and-swap store that can be down, or lose answers to operations that took effect."""

    def __init__(self) -> None:
        self.down = False
        self.answer_loss_rate = 0.0
        self.entries: dict[str, KeyEntry] = {}
        self.history: list[GroupRecord] = []

    def apply(self, operation: Any, rng: random.Random) -> Any:
        """Apply one operation; None means that the answer is lost or the store is down."""
        if self.down:
            return None
        missing = KeyEntry(key=operation.key, value="", revision=0)
        present = self.entries.get(operation.key, missing)
        reply: Any = present
        if isinstance(operation, PutKey):
            accepted = operation.expected_revision in (None, present.revision)
            if accepted:
                present = KeyEntry(
                    key=operation.key, value=operation.value, revision=len(self.history) + 1
                )
                self.entries[operation.key] = present
                self.history.append(decode_record(present).unwrap())  # type: ignore[arg-type]
            reply = PutReply(accepted=accepted, entry=present)
        else:
            assert isinstance(operation, GetKey)
        return None if rng.random() < self.answer_loss_rate else reply


class FakeMember:
    """Simulated database member with the operations fence, promote, follow and confirm."""

    def __init__(self, simulation: "Simulation", member: Member) -> None:
        self.simulation = simulation
        self.member = member
        self.alive = True
        self.stuck = False
        self.sends_when_fenced = True
        self.pull_ms = 0
        self.pull_limit = 10_000
        self.term = 0
        self.role = MemberRole.REPLICA
        self.log: list[tuple[int, str]] = []
        self.members: tuple[str, ...] = ()
        self.serves_term = 0
        self.upstream: str | None = None
        self.last_contact_ms = 0
        self.matched: dict[str, int] = {}
        self.completed = 0
        self.pending = 0
        self.waiting: list[tuple[int, int, int, Callable[[MemberStatus], None]]] = []
        self.pulls = 0

    @property
    def location(self) -> tuple[str, str]:
        """Return the name and the failure domain."""
        return (self.member.name, self.member.domain)

    @property
    def position(self) -> LogPosition:
        """Return the position of the last entry."""
        return LogPosition(term=self.log[-1][0] if self.log else 0, index=len(self.log))

    @property
    def confirmed_index(self) -> int:
        """Return the index held by a majority, or 0 while its entry is from an earlier term."""
        if self.role is not MemberRole.PRIMARY:
            return 0
        indexes = sorted([len(self.log), *(self.matched.get(name, 0) for name in self.members)])
        index = indexes[-(len(indexes) // 2 + 1)]
        return index if index and self.log[index - 1][0] == self.term else 0

    def status(self) -> MemberStatus:
        """Return the status as the control port reports it."""
        replica = self.role is MemberRole.REPLICA and self.upstream is not None
        return MemberStatus(
            member=self.member.name,
            term=self.term,
            role=self.role,
            position=self.position,
            upstream_silent_ms=self.simulation.now_ms - self.last_contact_ms if replica else None,
            confirmed_index=self.confirmed_index,
            pending=self.pending,
            completed=self.completed,
        )

    def control(self, operation: Any, reply: Callable[[MemberStatus], None]) -> None:
        """Handle one control operation."""
        if isinstance(operation, AwaitConfirmed):
            until_ms = self.simulation.now_ms + operation.wait_ms
            self.waiting.append((operation.term, operation.index, until_ms, reply))
            self.simulation.after(operation.wait_ms, self.answer_waiting)
            self.answer_waiting()
            return
        if isinstance(operation, Fence) and operation.term > self.term:
            self.term, self.role, self.upstream = operation.term, MemberRole.FENCED, None
        fenced = self.role is MemberRole.FENCED
        if isinstance(operation, Promote) and operation.term == self.term and fenced:
            self.simulation.check_single_primary(self.term, self.member.name)
            self.role, self.members, self.matched = MemberRole.PRIMARY, operation.members, {}
            self.serves_term = self.term
            self.log.append((self.term, f"start {self.term}"))
        if isinstance(operation, Follow) and operation.primary != self.member.name:
            already_follows = self.role is MemberRole.REPLICA and self.term == operation.term
            is_primary_of_term = operation.term == self.term and self.role is MemberRole.PRIMARY
            if operation.term >= self.term and not already_follows and not is_primary_of_term:
                self.term, self.role = operation.term, MemberRole.REPLICA
                self.upstream, self.last_contact_ms = operation.primary, self.simulation.now_ms
                self.pull()
        assert isinstance(operation, AskStatus | Fence | Promote | Follow)
        reply(self.status())
        self.answer_waiting()

    def write(self, term: int, text: str) -> int | None:
        """Append a write and return its index, or None if the member does not accept it."""
        if self.stuck:
            self.pending += 1
            return None
        if self.role is not MemberRole.PRIMARY or term != self.term:
            return None
        self.log.append((term, text))
        self.completed += 1
        return len(self.log)

    def restart(self) -> None:
        """Restart after a crash with log and term, but without the role of a primary."""
        self.alive = True
        if self.role is MemberRole.PRIMARY:
            self.role = MemberRole.FENCED
        self.pull()

    def restore_pull_speed(self) -> None:
        """Remove the injected replication delay and batch limit."""
        self.pull_ms, self.pull_limit = 0, 10_000

    def clear_stuck(self) -> None:
        """Complete statements again."""
        self.stuck, self.pending = False, 0

    def answer_waiting(self) -> None:
        """Answer the waiting calls that are confirmed, ended or expired."""
        waiting, self.waiting = self.waiting, []
        for item in waiting:
            term, index, until_ms, reply = item
            ended = term != self.term or self.role is not MemberRole.PRIMARY
            if ended or self.confirmed_index >= index or self.simulation.now_ms >= until_ms:
                reply(self.status())
            else:
                self.waiting.append(item)

    def pull(self) -> None:
        """Ask the primary for entries, and ask again after 1 s without an answer."""
        self.pulls += 1
        number, upstream = self.pulls, self.upstream
        if upstream is None or self.role is not MemberRole.REPLICA or not self.alive:
            return
        primary = self.simulation.members[upstream]
        term, position = self.term, self.position

        def arrive() -> None:
            primary.serve_pull(self, term, position, number, self.simulation.now_ms + 100)

        self.simulation.send(self.location, primary.location, arrive)
        self.simulation.after(1_000, lambda: self.pull() if self.pulls == number else None)

    def find_common(self, replica: "FakeMember") -> int:
        """Return the length of the common prefix; a replica drops only the entries after it."""
        pairs = zip(self.log, replica.log, strict=False)
        return next(
            (index for index, (mine, other) in enumerate(pairs) if mine != other),
            min(len(self.log), len(replica.log)),
        )

    def serve_pull(
        self,
        replica: "FakeMember",
        term: int,
        replica_position: LogPosition,
        number: int,
        until_ms: int,
    ) -> None:
        """Answer a pull once there are entries, at the latest after 100 ms."""
        sends = self.term == term or self.sends_when_fenced
        if not self.alive or self.serves_term != term or not sends:
            return
        common = replica_position.index <= len(self.log) and (
            replica_position.index == 0
            or self.log[replica_position.index - 1][0] == replica_position.term
        )
        if common and self.role is MemberRole.PRIMARY:
            name = replica.member.name
            self.matched[name] = max(self.matched.get(name, 0), replica_position.index)
            self.answer_waiting()
        start = replica_position.index if common else self.find_common(replica)
        if start == len(self.log) and self.simulation.now_ms < until_ms:
            self.simulation.after(
                2, lambda: self.serve_pull(replica, term, replica_position, number, until_ms)
            )
            return
        entries = self.log[start : start + replica.pull_limit]

        def arrive() -> None:
            if replica.term != term or replica.role is not MemberRole.REPLICA:
                return
            replica.last_contact_ms = self.simulation.now_ms
            if replica.pulls == number:
                replica.pulls += 1
                replica.log[start:] = entries
                self.simulation.after(replica.pull_ms, replica.pull)

        self.simulation.send(self.location, replica.location, arrive)


class FakeNode:
    """Simulated proxy node with one supervisor; can be paused or dead."""

    def __init__(self, simulation: "Simulation", info: NodeInfo) -> None:
        self.simulation = simulation
        self.info = info
        self.events: list[str] = []
        self.start()

    def start(self) -> None:
        """Start the process, without any state from before a restart."""
        simulation, info = self.simulation, self.info
        self.alive = True
        self.paused_since_ms: int | None = None
        self.queued_steps: list[Callable[[], None]] = []
        self.outbox = Outbox()
        self.acknowledger = Acknowledger(self.outbox)
        self.supervisor = GroupSupervisor(
            simulation.database, info, self, self.outbox, simulation.fork_rng()
        )
        self.supervisor.on_record = self.broadcast

    @property
    def location(self) -> tuple[str, str]:
        """Return the name and the failure domain."""
        return (self.info.node, self.info.domain)

    def find_home(self, member: Member) -> NodeInfo | None:
        """Return the home of a member."""
        return self.simulation.homes[member.name].info

    def is_home(self, member: Member) -> bool:
        """Return whether this node is the home."""
        return self.simulation.homes[member.name] is self

    def list_nodes(self) -> Sequence[NodeInfo]:
        """Return all nodes."""
        return [node.info for node in self.simulation.nodes]

    def broadcast(self, record: GroupRecord, now_ms: int) -> None:
        """Send a record to all other nodes."""
        self.acknowledger.learn_record(record, now_ms)
        for node in self.simulation.nodes:
            if node is not self:
                self.outbox.send_peer(node.info, TermsPush(records=(record,)))

    def run(self, step: Callable[[], None]) -> None:
        """Run one step and its actions, or queue it while the process is paused."""
        if not self.alive:
            return
        if self.paused_since_ms is not None:
            self.queued_steps.append(step)
            return
        step()
        for action in self.outbox.drain():
            self.simulation.perform(self, action)

    def resume(self) -> None:
        """End a pause; the queued steps run after the pause has been handled."""
        gap_ms = self.simulation.now_ms - (self.paused_since_ms or 0)
        self.paused_since_ms = None
        self.run(lambda: self.supervisor.handle_pause(gap_ms, self.simulation.now_ms))
        queued_steps, self.queued_steps = self.queued_steps, []
        for step in queued_steps:
            self.run(step)

    def tick(self) -> None:
        """Pass the current time to the supervisor and the acknowledger."""
        self.supervisor.tick(self.simulation.now_ms)
        self.acknowledger.tick(self.simulation.now_ms)

    def receive(self, message: Any) -> None:
        """Handle a message of a peer."""
        if isinstance(message, Verdict):
            self.supervisor.receive_verdict(message, self.simulation.now_ms)
        elif isinstance(message, TermsPush):
            for record in message.records:
                self.supervisor.learn_record(record, self.simulation.now_ms)


@dataclass(kw_only=True)
class Acknowledged:
    """Write that was acknowledged to the caller."""

    text: str
    term: int
    at_ms: int


@dataclass(kw_only=True)
class Simulation:
    """All nodes, members, links and the store, driven by one virtual clock."""

    seed: int
    domains: tuple[str, ...] = BAYERN
    size: int = 3
    spare: int = 0
    now_ms: int = 0
    acknowledged: list[Acknowledged] = field(default_factory=list)
    primaries: dict[int, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._number = 0
        self.links = Links(self.fork_rng(), ONE_WAY_MS.get(self.domains, 5))
        self.store = FakeStore()
        listed = tuple(self.make_member(number) for number in range(self.size + self.spare))
        self.database = Database(
            name=DATABASE, members=listed[: self.size], connections=16, slots=2
        )
        self.members = {member.name: FakeMember(self, member) for member in listed}
        self.nodes: list[FakeNode] = []
        self.homes: dict[str, FakeNode] = {}
        for number, domain in enumerate(self.domains):
            info = NodeInfo(node=f"p{number}", domain=domain, host="127.0.0.1", port=1)
            self.nodes.append(FakeNode(self, info))
        for number, member in enumerate(listed):
            self.homes[member.name] = self.nodes[number % len(self.nodes)]
        for node in self.nodes:
            self._tick_forever(node)
        self._written = 0

    def make_member(self, number: int) -> Member:
        """Return a new member; consecutive numbers are spread over the domains."""
        domain = self.domains[number % len(self.domains)]
        return Member(name=f"m{number}", domain=domain, host="h", port=1, control_port=2)

    def set_members(self, *names: str) -> Database:
        """Apply a configuration with other members at all nodes."""
        listed = tuple(self.members[name].member for name in names)
        self.database = dataclasses.replace(self.database, members=listed)
        for node in self.nodes:
            node.supervisor.set_database(self.database)
        return self.database

    def fork_rng(self) -> random.Random:
        """Return a separate random source for one component."""
        return random.Random(self.rng.getrandbits(64))

    def after(self, delay_ms: int, step: Callable[[], None]) -> None:
        """Run a step after a delay."""
        self._number += 1
        heapq.heappush(self._queue, (self.now_ms + delay_ms, self._number, step))

    def run_until(self, until_ms: int) -> None:
        """Run all steps up to a time."""
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, step = heapq.heappop(self._queue)
            step()
        self.now_ms = until_ms

    def run_for(self, ms: int) -> None:
        """Run all steps of the next `ms` milliseconds."""
        self.run_until(self.now_ms + ms)

    def send(
        self, source: tuple[str, str], target: tuple[str, str], step: Callable[[], None]
    ) -> None:
        """Run a step after the delay of a link, unless the message is lost."""
        delay_ms = self.links.delay_ms(source, target)
        if delay_ms is not None:
            self.after(delay_ms, step)

    def _tick_forever(self, node: FakeNode) -> None:
        node.run(node.tick)
        self.after(self.rng.randint(20, 50), lambda: self._tick_forever(node))

    def check_single_primary(self, term: int, name: str) -> None:
        """Check that no other member was promoted in the same term."""
        assert self.primaries.setdefault(term, name) == name, f"two primaries in term {term}"

    def perform(self, node: FakeNode, action: Any) -> None:
        """Carry out an action of a node."""
        if isinstance(action, CallControl):
            self._call_control(node, action)
        elif isinstance(action, CallPlatform):
            self._call_platform(node, action)
        elif isinstance(action, SendPeer):
            peer = next(other for other in self.nodes if other.info == action.peer)
            message = action.message
            self.send(node.location, peer.location, lambda: peer.run(lambda: peer.receive(message)))
        elif isinstance(action, WakeAt):
            self.after(max(0, action.at_ms - self.now_ms), lambda: node.run(node.tick))
        elif isinstance(action, RecordLog):
            node.events.append(action.event.name)

    def _call_control(self, node: FakeNode, call: CallControl) -> None:
        member, outbox = self.members[call.member.name], node.outbox

        def finish(reply: MemberStatus | None) -> None:
            event = ControlAnswered(call_id=call.call_id, reply=reply)
            if node.outbox is outbox:
                node.run(lambda: outbox.deliver_control_reply(event, self.now_ms))

        def answer(status: MemberStatus) -> None:
            self.send(member.location, node.location, lambda: finish(status))

        def arrive() -> None:
            if member.alive:
                member.control(call.operation, answer)

        self.send(node.location, member.location, arrive)
        self.after(call.timeout_ms, lambda: finish(None))

    def _call_platform(self, node: FakeNode, call: CallPlatform) -> None:
        location, outbox = ("platform", "platform"), node.outbox

        def finish(reply: Any) -> None:
            event = PlatformAnswered(call_id=call.call_id, reply=reply)
            if node.outbox is outbox:
                node.run(lambda: outbox.deliver_platform_reply(event, self.now_ms))

        def arrive() -> None:
            reply = self.store.apply(call.operation, self.rng)
            if reply is not None:
                self.send(location, node.location, lambda: finish(reply))

        self.send(node.location, location, arrive)
        self.after(call.timeout_ms, lambda: finish(PlatformFailure(reason="timeout")))

    def start_writes(self, node: FakeNode, every_ms: int) -> None:
        """Write periodically to the primary that the node knows."""
        self._write(node)
        self.after(every_ms, lambda: self.start_writes(node, every_ms))

    def _write(self, node: FakeNode) -> None:
        active = self.active_at(node)
        if active is None or not node.alive:
            return
        self._written += 1
        text = f"w{self._written}"
        member = self.members[active.primary]

        def acknowledge(confirmed: bool, now_ms: int) -> None:
            if confirmed:
                write = Acknowledged(text=text, term=active.term, at_ms=now_ms)
                self.acknowledged.append(write)
                self.check_retained(write)

        def confirm(index: int) -> None:
            deadline_ms = self.now_ms + 2_000
            node.acknowledger.wait(member.member, active.term, index, deadline_ms, acknowledge)

        def arrive() -> None:
            index = member.write(active.term, text) if member.alive else None
            if index is not None:
                self.send(member.location, node.location, lambda: node.run(lambda: confirm(index)))

        self.send(node.location, member.location, arrive)

    def active_at(self, node: FakeNode) -> ActiveTerm | None:
        """Return the active term known to a node."""
        record = node.supervisor.record
        return record.active if record is not None else None

    @property
    def active(self) -> ActiveTerm:
        """Return the active term in the store."""
        active = self.store.history[-1].active
        assert active is not None
        return active

    def check_retained(self, write: Acknowledged) -> None:
        """Check that an acknowledged write is in the log of the active primary."""
        log = self.members[self.active.primary].log
        entries = reversed(log) if self.active.term == write.term else log
        assert any(text == write.text for _, text in entries), f"{write} is not in {self.active}"

    def list_missing(self) -> list[str]:
        """Return the acknowledged writes that the log of the active primary lacks."""
        log = {text for _, text in self.members[self.active.primary].log}
        return [item.text for item in self.acknowledged if item.text not in log]

    def find_write_gap_ms(self, from_ms: int) -> int:
        """Return the longest time without an acknowledged write from `from_ms` on."""
        times = [from_ms, *(item.at_ms for item in self.acknowledged if item.at_ms >= from_ms)]
        return max(later - earlier for earlier, later in pairwise(times))
