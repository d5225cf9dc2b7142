"""Simulated fleet in virtual time: agents, lossy links and a platform that can fail."""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import count

from burdockrun_messages import (
    CallPlatform,
    KeysReply,
    NodeInfo,
    Outbox,
    PeerMessage,
    PlatformAnswered,
    PlatformFailure,
    PlatformOperation,
    PlatformReply,
    RecordLog,
    SendPeer,
    VmEntry,
    WatchKeys,
    decode_message,
    encode_message,
)
from burdockrun_platform import KeyValueStore

from burdockrun_fleet.agent import FleetAgent
from burdockrun_fleet.models import GossipOptions, TicketFunctions

TICK_MS = 50
# The ids of each process begin at a multiple of two to this power.
_ID_BITS = 40


@dataclass(slots=True)
class SimNode:
    """Node of the simulation; a paused node handles its events after the pause."""

    info: NodeInfo
    agent: FleetAgent
    outbox: Outbox
    running: bool = True
    paused_until_ms: int = 0
    sent_bytes: int = 0
    sent_messages: int = 0
    received_bytes: int = 0
    platform_calls: int = 0
    platform_bytes: int = 0
    logged: Counter[str] = field(default_factory=Counter)


@dataclass(kw_only=True, slots=True)
class Network:
    """Conditions of the network, which may be changed during the simulation.

    `blocks` returns whether messages between two nodes are lost, `platform_blocks` whether a node
    cannot reach the platform. `answer_loss_rate` is the share of platform calls that take effect
    but whose answer is lost.
    """

    message_loss_rate: float = 0.0
    same_domain_ms: int = 1
    cross_domain_ms: int = 5
    platform_ms: int = 3
    platform_up: bool = True
    answer_loss_rate: float = 0.0
    blocks: Callable[[NodeInfo, NodeInfo], bool] = lambda a, b: False
    platform_blocks: Callable[[NodeInfo], bool] = lambda a: False


class Simulation:
    """Runs agents on one virtual clock; the same seed gives the same run."""

    def __init__(
        self, seed: int, ticket_functions: TicketFunctions, options: GossipOptions | None = None
    ) -> None:
        self.now_ms = 1_000
        self.rng = random.Random(seed)
        self._started = 0
        self.store = KeyValueStore(vm_list_lag_ms=5_000)
        self.network = Network()
        self.nodes: dict[str, SimNode] = {}
        self.endpoint_vms: list[VmEntry] = []
        self.calls_per_s: Counter[int] = Counter()
        self.on_handled: Callable[[SimNode], None] | None = None
        self.before_handling: Callable[[], None] | None = None
        self._ticket_functions = ticket_functions
        self._options = options
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0

    def add(self, info: NodeInfo, seeds: Sequence[NodeInfo]) -> SimNode:
        """Start a node, or start it again under the same name."""
        outbox = Outbox()
        rng = random.Random(self.rng.getrandbits(64))
        self._started += 1
        agent = FleetAgent(
            info,
            seeds,
            outbox,
            rng,
            self._ticket_functions,
            ids=count(self._started << _ID_BITS),
            options=self._options,
        )
        node = self.nodes[info.node] = SimNode(info, agent, outbox)
        self.update_vm_list()
        agent.start(self.now_ms)
        self._schedule(self.now_ms + rng.randint(1, TICK_MS), lambda: self._tick(node))
        return node

    def stop(self, name: str) -> None:
        """Kill a node; its VM leaves the platform's list."""
        self.nodes.pop(name).running = False
        self.update_vm_list()

    def pause(self, name: str, duration_ms: int) -> None:
        """Pause a node's process for a while."""
        node = self.nodes[name]
        node.paused_until_ms = self.now_ms + duration_ms

        def resume() -> None:
            node.agent.handle_pause(duration_ms, self.now_ms)

        self._schedule(node.paused_until_ms, resume)

    def update_vm_list(self, leaving: frozenset[str] = frozenset()) -> None:
        """Set the platform's VM list to the running nodes and the endpoint VMs."""
        entries = [
            VmEntry(
                name=node.info.node,
                domain=node.info.domain,
                host=node.info.host,
                port=node.info.port,
                kind="entry",
                leaving=node.info.node in leaving,
            )
            for node in self.nodes.values()
        ]
        self.store.set_vms((*entries, *self.endpoint_vms), self.now_ms)

    def run(self, duration_ms: int, until: Callable[[], bool] | None = None) -> int:
        """Advance the clock, at most until `until` returns true; return the time taken in ms."""
        start_ms = self.now_ms
        end_ms = start_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            at_ms = self._queue[0][0]
            if at_ms > self.now_ms:
                if until is not None and until():
                    return self.now_ms - start_ms
                self.now_ms = at_ms
            heapq.heappop(self._queue)[2]()
        self.now_ms = end_ms
        return duration_ms

    def apply(self, operation: PlatformOperation) -> PlatformReply:
        """Apply an operation to the store directly."""
        return self.store.apply(operation, self.now_ms)

    def call_later(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Run a function after a delay."""
        self._schedule(self.now_ms + delay_ms, action)

    def perform(self, node: SimNode) -> None:
        """Perform the actions in a node's outbox."""
        for action in node.outbox.drain():
            if isinstance(action, SendPeer):
                self._send(node, action.peer, action.message)
            elif isinstance(action, CallPlatform):
                self._call(node, action)
            elif isinstance(action, RecordLog):
                node.logged[action.event.name] += 1

    def _schedule(self, at_ms: int, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (at_ms, self._sequence, action))

    def _handle(self, node: SimNode, action: Callable[[], None]) -> None:
        if not node.running:
            return
        if self.now_ms < node.paused_until_ms:
            self._schedule(node.paused_until_ms, lambda: self._handle(node, action))
            return
        if self.before_handling is not None:
            self.before_handling()
        action()
        self.perform(node)
        if self.on_handled is not None:
            self.on_handled(node)

    def _tick(self, node: SimNode) -> None:
        if not node.running:
            return
        self._handle(node, lambda: node.agent.tick(self.now_ms))
        self._schedule(max(self.now_ms, node.paused_until_ms) + TICK_MS, lambda: self._tick(node))

    def _send(self, node: SimNode, peer: NodeInfo, message: PeerMessage) -> None:
        data = encode_message(message)
        node.sent_bytes += len(data)
        node.sent_messages += 1
        network = self.network
        if self.rng.random() < network.message_loss_rate or network.blocks(node.info, peer):
            return
        same_domain = peer.domain == node.info.domain
        delay_ms = network.same_domain_ms if same_domain else network.cross_domain_ms
        sender, kind = node.info.node, type(message)

        def deliver() -> None:
            target = self.nodes.get(peer.node)
            if target is None or target.info != peer:
                return
            target.received_bytes += len(data)
            self._handle(target, lambda: self._receive(target, sender, kind, data))

        self._schedule(self.now_ms + delay_ms + self.rng.randint(0, 1), deliver)

    def _receive(self, target: SimNode, sender: str, kind: type[PeerMessage], data: bytes) -> None:
        target.agent.receive(sender, decode_message(kind, data).unwrap(), self.now_ms)

    def _call(self, node: SimNode, call: CallPlatform) -> None:
        node.platform_calls += 1
        self.calls_per_s[self.now_ms // 1_000] += 1
        network = self.network

        def answer(reply: PlatformReply) -> None:
            data = encode_message(reply)
            node.platform_bytes += len(data)
            self._handle(node, lambda: self._finish(node, call.call_id, type(reply), data))

        def fail() -> None:
            answer(PlatformFailure(reason="no answer"))

        def arrive() -> None:
            if not network.platform_up or network.platform_blocks(node.info):
                self._schedule(self.now_ms + min(call.timeout_ms, 1_000), fail)
                return
            reply = self.store.apply(call.operation, self.now_ms)
            if self.rng.random() < network.answer_loss_rate:
                self._schedule(self.now_ms + call.timeout_ms, fail)
                return
            if isinstance(call.operation, WatchKeys) and not _has_entries(reply):
                self._watch(call.operation, self.now_ms + call.operation.wait_ms, answer, fail)
                return
            self._schedule(self.now_ms + network.platform_ms, lambda: answer(reply))

        self._schedule(self.now_ms + network.platform_ms, arrive)

    def _finish(self, node: SimNode, call_id: int, kind: type[PlatformReply], data: bytes) -> None:
        event = PlatformAnswered(call_id=call_id, reply=decode_message(kind, data).unwrap())
        node.outbox.deliver_platform_reply(event, self.now_ms)

    def _watch(
        self,
        watch: WatchKeys,
        end_ms: int,
        answer: Callable[[PlatformReply], None],
        fail: Callable[[], None],
    ) -> None:
        def poll() -> None:
            if not self.network.platform_up:
                fail()
                return
            reply = self.store.read_changes(watch.prefix, watch.after_revision)
            if reply.entries or self.now_ms >= end_ms:
                answer(reply)
                return
            self._schedule(self.now_ms + 20, poll)

        self._schedule(self.now_ms + 20, poll)


def _has_entries(reply: PlatformReply) -> bool:
    return isinstance(reply, KeysReply) and bool(reply.entries)


def place_nodes(count: int, domains: Sequence[str]) -> list[NodeInfo]:
    """Return nodes that are distributed evenly over domains."""
    return [
        NodeInfo(
            node=f"proxy-{number:04d}",
            domain=domains[number % len(domains)],
            host=f"10.0.{number // 250}.{number % 250 + 1}",
            port=7000,
        )
        for number in range(count)
    ]
