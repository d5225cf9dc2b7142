"""Fake proxy node with selectable faults, for tests of the invariant checks."""

import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from itertools import count

from burdockrun_bench import Cluster, ClusterPlan, Node, make_service
from burdockrun_bench.chaos import Chaos
from burdockrun_bench.invariants import is_recorded, scope_request_id
from burdockrun_bench.soak import TICKET_FUNCTIONS
from burdockrun_bench.submitter import Submitter
from burdockrun_bench.topologies import BAYERN_RANKS
from burdockrun_bench.workload import Flood, Session
from burdockrun_messages import (
    Access,
    Action,
    AwaitConfirmed,
    CallControl,
    CallPlatform,
    CloseConnection,
    Code,
    ConnectionClosed,
    ConnectionOpened,
    ControlAnswered,
    ControlReply,
    DrainFinished,
    DrainRequested,
    Event,
    Execute,
    ExecuteAnswer,
    ExecuteAnswered,
    ExecuteStatus,
    Fence,
    Follow,
    Member,
    MemberStatus,
    NodeInfo,
    OpenConnection,
    Outcome,
    Promote,
    PutKey,
    RequestReceived,
    SendAnswer,
    SendExecute,
    Started,
    StatementAnswer,
    StatementRequest,
    TimerFired,
    TransactionStep,
)

DOMAINS = ("a", "b", "c")
SERVICE = make_service("db", "test", BAYERN_RANKS, DOMAINS, databases=1, connections=16)
DATABASE = SERVICE.databases[0]
PLAN = ClusterPlan(domains=DOMAINS, nodes=1, one_way_ms=5, client_ms=3, services=(SERVICE,))
PRIMARY, REPLICA, OTHER = DATABASE.members


class FakeNode:
    """Serves a database whose first member is primary of term 1; `fault` breaks an invariant."""

    def __init__(self, fault: str) -> None:
        self.fault = fault
        self.ticket = 1
        self._actions: list[Action] = []
        self._ids = count(1)
        self._members: dict[int, Member] = {}
        self._idle: dict[str, list[int]] = {member.name: [] for member in DATABASE.members}
        self._queues: dict[str, deque[tuple[int, StatementRequest]]] = {
            member.name: deque() for member in DATABASE.members
        }
        self._running: dict[int, tuple[int, StatementRequest]] = {}
        self._control_callbacks: dict[int, Callable[[ControlReply | None], None]] = {}
        self._transactions: dict[str, int] = {}
        self._begun_ms: dict[str, int] = {}
        self._previous_answer: tuple[int, StatementRequest, StatementAnswer] | None = None

    def handle(self, event: Event, now_ms: int) -> list[Action]:
        """Take one event and return the actions that follow from it."""
        match event:
            case Started():
                self._start()
            case RequestReceived():
                self._receive(event.caller_id, event.request)
            case ConnectionClosed():
                self._open(self._members[event.connection_id])
            case ConnectionOpened():
                self._release(event.connection_id)
            case ExecuteAnswered():
                self._handle_answer(event.connection_id, event.answer)
            case ControlAnswered():
                self._control_callbacks.pop(event.call_id)(event.reply)
            case DrainRequested():
                self._actions.append(DrainFinished())
            case TimerFired():
                if self.fault == "ticket reverts" and now_ms > 101_000:
                    self.ticket = 0
                self._close_idle_transactions(now_ms)
            case _:
                pass
        actions, self._actions = self._actions, []
        return actions

    def _start(self) -> None:
        for member in DATABASE.members:
            for _ in range(20 if self.fault == "too many connections" else 5):
                self._open(member)
        if self.fault == "ticket gap":
            put = PutKey(key="tickets/0000000003", value="", expected_revision=0)
            self._actions.append(CallPlatform(call_id=0, operation=put, timeout_ms=500))

    def _open(self, member: Member) -> None:
        number = next(self._ids)
        self._members[number] = member
        self._actions.append(OpenConnection(connection_id=number, member=member))

    def _close_idle_transactions(self, now_ms: int) -> None:
        """Close the connections of idle transactions that began more than a second ago."""
        for name, connection in list(self._transactions.items()):
            begun_ms = self._begun_ms.setdefault(name, now_ms)
            if now_ms - begun_ms > 1_000 and connection not in self._running:
                del self._transactions[name]
                self._actions.append(CloseConnection(connection_id=connection))

    def _receive(self, caller_id: int, request: StatementRequest) -> None:
        if request.transaction is not None:
            connection = self._transactions.get(request.transaction)
            if connection is None or connection in self._running:
                self._refuse(caller_id, request)
                return
            self._execute(connection, caller_id, request)
            return
        if (
            request.step is TransactionStep.BEGIN
            and self.fault == "shared transaction"
            and self._transactions
        ):
            shared = next(iter(self._transactions.values()))
            self._open_transaction(shared, caller_id, request)
            return
        member = PRIMARY
        if self.fault == "stale read" and request.access is Access.READ:
            member = REPLICA
        if self.fault == "early refusal" and is_recorded(request):
            self._refuse(caller_id, request)
        self._queues[member.name].append((caller_id, request))
        self._send_waiting(member.name)

    def _release(self, connection: int) -> None:
        name = self._members[connection].name
        self._idle[name].append(connection)
        self._send_waiting(name)

    def _send_waiting(self, name: str) -> None:
        while self._idle[name] and self._queues[name]:
            caller_id, request = self._queues[name].popleft()
            self._execute(self._idle[name].pop(), caller_id, request)

    def _execute(self, connection: int, caller_id: int, request: StatementRequest) -> None:
        self._running[connection] = (caller_id, request)
        message = Execute(
            execution_id=next(self._ids),
            statement=request.statement,
            parameters=request.parameters,
            access=request.access,
            request_id=scope_request_id(request) if is_recorded(request) else None,
            term=1,
            step=request.step,
        )
        self._actions.append(SendExecute(connection_id=connection, message=message))

    def _handle_answer(self, connection: int, answer: ExecuteAnswer) -> None:
        caller_id, request = self._running.pop(connection)
        if request.step is TransactionStep.BEGIN and answer.status is ExecuteStatus.OK:
            self._open_transaction(connection, caller_id, request)
            return
        if request.step in (TransactionStep.COMMIT, TransactionStep.ROLLBACK):
            for name in [n for n, other in self._transactions.items() if other == connection]:
                del self._transactions[name]
        if connection not in self._transactions.values():
            self._release(connection)
        if answer.status is not ExecuteStatus.OK:
            self._refuse(caller_id, request)
            return
        if self.fault == "repeated write" and request.statement.startswith("ADD"):
            duplicate = replace(request, request_id=f"{request.request_id}-again")
            self._queues[PRIMARY.name].append((0, duplicate))
            self._send_waiting(PRIMARY.name)
        self._await_confirmation(caller_id, request, answer)

    def _open_transaction(self, connection: int, caller_id: int, request: StatementRequest) -> None:
        name = f"t{next(self._ids)}"
        self._transactions[name] = connection
        done = Outcome.DONE
        answer = StatementAnswer(request_id=request.request_id, outcome=done, transaction=name)
        self._actions.append(SendAnswer(caller_id=caller_id, answer=answer))

    def _await_confirmation(
        self, caller_id: int, request: StatementRequest, answer: ExecuteAnswer
    ) -> None:
        if not is_recorded(request) or self.fault == "unconfirmed write":
            self._finish(caller_id, request, answer)
            return
        call_id = next(self._ids)
        wait = AwaitConfirmed(term=1, index=answer.position.index, wait_ms=500)

        def on_confirmed(reply: ControlReply | None) -> None:
            confirmed = reply.confirmed_index if isinstance(reply, MemberStatus) else 0
            if confirmed >= answer.position.index:
                self._finish(caller_id, request, answer)

        self._control_callbacks[call_id] = on_confirmed
        self._actions.append(
            CallControl(call_id=call_id, member=PRIMARY, operation=wait, timeout_ms=10_000)
        )

    def _finish(self, caller_id: int, request: StatementRequest, answer: ExecuteAnswer) -> None:
        reply = StatementAnswer(
            request_id=request.request_id,
            outcome=Outcome.DONE,
            result=answer.result,
            term=answer.position.term,
            index=answer.position.index,
        )
        if self.fault == "swapped answers":
            chosen = (caller_id, request, reply)
            chosen, self._previous_answer = self._previous_answer or chosen, chosen
            reply = replace(chosen[2], request_id=request.request_id)
        self._actions.append(SendAnswer(caller_id=caller_id, answer=reply))

    def _refuse(self, caller_id: int, request: StatementRequest) -> None:
        answer = StatementAnswer(
            request_id=request.request_id, outcome=Outcome.NOT_RUN, code=Code.DEADLINE
        )
        self._actions.append(SendAnswer(caller_id=caller_id, answer=answer))


def make_cluster(fault: str = "") -> Cluster:
    """Return a cluster of one fake node whose database serves term 1."""

    def make_node(
        info: NodeInfo, seeds: Sequence[NodeInfo], now_ms: int, rng: random.Random
    ) -> Node:
        return FakeNode(fault)

    def read_ticket_number(node: Node) -> int:
        return node.ticket if isinstance(node, FakeNode) else 0

    cluster = Cluster(PLAN, 1, make_node, read_ticket_number=read_ticket_number)
    cluster.invariants.check_ticket(1, "")
    promote(cluster, PRIMARY, 1, (PRIMARY, REPLICA, OTHER))
    cluster.start_nodes()
    return cluster


def promote(cluster: Cluster, primary: Member, term: int, fenced: Sequence[Member]) -> None:
    """Fence some members, promote one and let the other fenced ones follow."""
    hosts = [cluster.members[member.name] for member in fenced]
    for host in hosts:
        host.control(Fence(term=term), lambda reply: None)
    names = tuple(member.name for member in DATABASE.members if member is not primary)
    cluster.members[primary.name].control(Promote(term=term, members=names), lambda reply: None)
    follow = Follow(term=term, primary=primary.name, host="", control_port=0)
    for host in hosts:
        if host.location.name != primary.name:
            host.control(follow, lambda reply: None)


def run_sessions(cluster: Cluster, duration_ms: int, sessions: int = 6) -> None:
    """Run some sessions for some time and check the log at the end."""
    for number in range(sessions):
        Session(cluster, f"s{cluster.take_id()}", SERVICE, random.Random(number)).start(think_ms=30)
    cluster.loop.run_until(cluster.loop.now_ms + duration_ms)
    log = cluster.find_primary_log(DATABASE.name)
    assert log is not None
    cluster.invariants.check_end(DATABASE.name, log)


def make_chaos(cluster: Cluster) -> Chaos:
    """Return a fault schedule for a cluster that has not been started."""
    submitter = Submitter(cluster.loop, cluster.store, random.Random(1), TICKET_FUNCTIONS)
    return Chaos(cluster, submitter, Flood(cluster, SERVICE, random.Random(2)), random.Random(3))


def list_violated(cluster: Cluster) -> set[str]:
    """Return which invariants were violated."""
    return {violation.invariant for violation in cluster.invariants.violations}
