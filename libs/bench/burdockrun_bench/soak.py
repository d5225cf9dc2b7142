"""Soak run: sessions and faults of one seed against real proxy nodes, with all checks."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial

from burdockrun_fleet import TicketFunctions
from burdockrun_messages import NodeInfo, Outcome, PutKey
from burdockrun_proxy import ProxyNode
from burdockrun_settings import (
    Ticket,
    apply_ticket_text,
    configuration_from_json,
    configuration_to_json,
    ticket_to_json,
)

from burdockrun_bench.chaos import Chaos
from burdockrun_bench.cluster import Cluster, ClusterPlan
from burdockrun_bench.const import ANSWER_MARGIN_MS, SETTLE_MS, START_MS, STEP_MS
from burdockrun_bench.invariants import Violation
from burdockrun_bench.node_host import Node
from burdockrun_bench.submitter import Submitter
from burdockrun_bench.topologies import plan_andes, plan_bayern
from burdockrun_bench.workload import Flood, Session

SESSION_COUNT = 24
THINK_TIME_MS = 120
SESSION_KEY = "soak-key-of-at-least-32-characters"

TICKET_FUNCTIONS = TicketFunctions(
    apply=apply_ticket_text, dump=configuration_to_json, load=configuration_from_json
)


@dataclass(frozen=True, kw_only=True, slots=True)
class SoakResult:
    """Counts of one soak run."""

    seed: int
    steps: int
    violations: tuple[Violation, ...]
    acknowledged_writes: int
    failovers: int
    refused_not_run: int
    unknown: int
    events: int
    codes: dict[str, int]
    checked: dict[str, int]

    def __str__(self) -> str:
        """Return the summary line of the run."""
        return (
            f"soak seed={self.seed} steps={self.steps} violations={len(self.violations)}"
            f" acknowledged_writes={self.acknowledged_writes} failovers={self.failovers}"
            f" refused_not_run={self.refused_not_run} unknown={self.unknown}"
        )


def make_proxy_node(
    info: NodeInfo, seeds: Sequence[NodeInfo], now_ms: int, rng: random.Random
) -> Node:
    """Return a real proxy node."""
    return ProxyNode(
        node=info,
        seeds=seeds,
        session_keys=(SESSION_KEY,),
        ticket_functions=TICKET_FUNCTIONS,
        rng=rng,
        strict=True,
    )


def read_ticket_number(node: Node) -> int:
    """Return the number of the ticket in force at a proxy node."""
    assert isinstance(node, ProxyNode)
    return node.fleet.configuration.number


def submit_first_ticket(cluster: Cluster) -> None:
    """Commit the first ticket before the nodes start."""
    services = {service.name: service for service in cluster.plan.services}
    ticket = Ticket(author="bench", reason="first", services=dict(services), submission_id="first")
    put = PutKey(key="tickets/0000000001", value=ticket_to_json(ticket), expected_revision=0)
    cluster.store.store.apply(put, cluster.loop.now_ms)
    cluster.invariants.check_ticket(1, put.value)
    head = PutKey(key="tickets/head", value="1")
    cluster.store.store.apply(head, cluster.loop.now_ms)


def run_soak(seed: int, steps: int, *, strict: bool = False) -> SoakResult:
    """Run one seed for `steps` steps of 10 ms of virtual time, then 20 s without faults."""
    cluster = make_soak_cluster(plan_bayern() if seed % 2 else plan_andes(), seed, strict=strict)
    rng = random.Random(seed)
    service = cluster.plan.services[0]
    sessions = [
        Session(cluster, f"s{number}", service, random.Random(rng.getrandbits(64)))
        for number in range(SESSION_COUNT)
    ]
    submitter = Submitter(cluster.loop, cluster.store, random.Random(seed + 3), TICKET_FUNCTIONS)
    flood = Flood(cluster, service, random.Random(seed + 4))
    chaos = Chaos(cluster, submitter, flood, random.Random(seed + 5))
    for session in sessions:
        cluster.loop.after(rng.randint(0, 5_000), partial(session.start, THINK_TIME_MS))
    chaos.start()
    cluster.loop.run_until(START_MS + steps * STEP_MS)
    chaos.stop()
    cluster.loop.run_until(cluster.loop.now_ms + SETTLE_MS // 2)
    for session in sessions:
        session.stop()
    cluster.loop.run_until(cluster.loop.now_ms + SETTLE_MS // 2)
    check_end(cluster)
    invariants = cluster.invariants
    return SoakResult(
        seed=seed,
        steps=steps,
        violations=tuple(invariants.violations),
        acknowledged_writes=invariants.acknowledged_writes,
        failovers=invariants.failovers,
        refused_not_run=invariants.outcomes[Outcome.NOT_RUN],
        unknown=invariants.outcomes[Outcome.UNKNOWN],
        events=cluster.loop.events,
        codes=dict(sorted(invariants.codes.items())),
        checked=dict(sorted(invariants.checked.items())),
    )


def make_soak_cluster(plan: ClusterPlan, seed: int, *, strict: bool) -> Cluster:
    """Return a started cluster of real proxy nodes."""
    cluster = Cluster(
        plan, seed, make_proxy_node, read_ticket_number=read_ticket_number, strict=strict
    )
    submit_first_ticket(cluster)
    cluster.start_nodes()
    return cluster


def check_end(cluster: Cluster) -> None:
    """Check that each database has a primary, its log, and that each request was answered."""
    invariants = cluster.invariants
    for database in cluster.databases:
        log = cluster.find_primary_log(database)
        if log is None:
            invariants.report("I2", f"{database} has no primary after all faults have ended")
        else:
            invariants.check_end(database, log)
    for request in cluster.list_overdue(ANSWER_MARGIN_MS):
        invariants.report("I4", f"{request.request_id} was never answered")
