"""Virtual cluster to which tests send single requests."""

from collections.abc import Callable, Sequence
from functools import partial
from random import Random

from burdockrun_bench import Cluster
from burdockrun_bench.node_host import Node, NodeHost
from burdockrun_bench.soak import (
    SESSION_KEY,
    TICKET_FUNCTIONS,
    read_ticket_number,
    submit_first_ticket,
)
from burdockrun_bench.topologies import plan_bayern
from burdockrun_messages import Access, NodeInfo, StatementAnswer, StatementRequest, TransactionStep
from burdockrun_proxy import DEFAULT_POLICIES, Policies, ProxyNode

WARM_UP_MS = 25_000
SERVICE = plan_bayern(1).services[0]
DATABASE = "wendedb-0"


def make_node(
    policies: Policies, info: NodeInfo, seeds: Sequence[NodeInfo], now_ms: int, rng: Random
) -> Node:
    """Return a proxy node with the given policies."""
    return ProxyNode(
        node=info,
        seeds=seeds,
        session_keys=(SESSION_KEY,),
        ticket_functions=TICKET_FUNCTIONS,
        rng=rng,
        policies=policies,
        strict=True,
    )


class VirtualDeployment:
    """Running virtual deployment of client account bayern with one database."""

    def __init__(
        self, seed: int = 1, policies: Policies = DEFAULT_POLICIES, *, checks: bool = True
    ) -> None:
        """Start; without `checks`, a violated guarantee of the whole deployment is no error."""
        self.cluster = Cluster(
            plan_bayern(1),
            seed,
            partial(make_node, policies),
            read_ticket_number=read_ticket_number,
            # The naive baseline has no connection budget, which strict checks would report.
            strict=checks and policies is DEFAULT_POLICIES,
        )
        submit_first_ticket(self.cluster)
        self.cluster.start_nodes()
        self.run(WARM_UP_MS)
        self._count = 0

    def run(self, duration_ms: int) -> None:
        """Advance the virtual time."""
        self.cluster.loop.run_until(self.cluster.loop.now_ms + duration_ms)

    def find_node(self, domain: str) -> NodeHost:
        """Return a node of a failure domain."""
        return next(host for host in self.cluster.nodes if host.info.domain == domain)

    def find_home(self, member: str) -> NodeHost:
        """Return the node with the most connections to a member."""

        def count(host: NodeHost) -> int:
            assert isinstance(host.node, ProxyNode)
            homes = host.node.read_status(self.cluster.loop.now_ms).homes
            return sum(home.connections for home in homes if home.member == member)

        return max(self.cluster.nodes, key=count)

    def build(self, statement: str, **fields: object) -> StatementRequest:
        """Return a request with a new id; statements that start with GET are reads."""
        self._count += 1
        defaults: dict[str, object] = {
            "request_id": f"r{self._count}",
            "account": "bayern",
            "database": DATABASE,
            "statement": statement,
            "access": Access.READ if statement.startswith("GET") else Access.WRITE,
            "rank": "urgent-booking",
            "deadline_ms": 5_000,
        }
        return StatementRequest(**{**defaults, **fields})  # type: ignore[arg-type]

    def send(
        self, host: NodeHost, request: StatementRequest
    ) -> Callable[[], StatementAnswer | None]:
        """Send a request and return a function that returns its answer, or None before that."""
        if request.access is Access.WRITE and request.step in (None, TransactionStep.COMMIT):
            self.cluster.invariants.register_request(request, None)
        answers: list[StatementAnswer | None] = []
        self.cluster.send(host, request, answers.append)
        return lambda: answers[0] if answers else None

    def execute(self, host: NodeHost, statement: str, **fields: object) -> StatementAnswer:
        """Send a statement and advance the time until it is answered."""
        request = self.build(statement, **fields)
        answer = self.send(host, request)
        for _ in range(request.deadline_ms + 1_000):
            found = answer()
            if found is not None:
                return found
            self.run(1)
        raise AssertionError(f"no answer to {request}")
