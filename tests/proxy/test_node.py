"""Tests of several proxy nodes in virtual time, with the invariant checks of the bench."""

from random import Random

import pytest
from burdockrun_bench.links import PLATFORM
from burdockrun_bench.node_host import NodeHost
from burdockrun_messages import (
    Code,
    DrainExpired,
    DrainRequested,
    Forward,
    ForwardAnswer,
    ForwardStatus,
    Outcome,
    PeerLost,
    PeerReceived,
    SendExecute,
    SendPeer,
    StatementRequest,
    TransactionStep,
)
from burdockrun_proxy import NAIVE_POLICIES

from tests.proxy.common import DATABASE, SERVICE, VirtualDeployment


def find_primary(deployment: VirtualDeployment) -> str:
    """Return the name of the present primary."""
    host = deployment.cluster.find_primary(DATABASE)
    assert host is not None
    return host.location.name


def test_session_reads_its_write_from_lagging_replicas() -> None:
    """Guards against a replica that answers before it has replicated the write of the session."""
    deployment = VirtualDeployment()
    for host in deployment.cluster.members.values():
        host.member.lag_ms = 40
    session = None
    for number in range(30):
        nodes = deployment.cluster.nodes
        wrote = deployment.execute(nodes[number % 7], f"PUT key {number}", session=session)
        read = deployment.execute(nodes[(number + 3) % 7], "GET key", session=wrote.session)
        assert read.result == str(number)
        session = read.session


def test_read_without_token_is_never_served_by_a_cut_off_primary() -> None:
    """Guards against a stale row from a primary that does not know it was superseded."""
    deployment = VirtualDeployment()
    name = find_primary(deployment)
    member = deployment.cluster.members[name]
    inside = deployment.find_node(member.location.domain)
    outside = next(h for h in deployment.cluster.nodes if h.info.domain != member.location.domain)
    assert deployment.execute(inside, "PUT key old").outcome is Outcome.DONE
    for domain in deployment.cluster.plan.domains:
        if domain != member.location.domain:
            deployment.cluster.links.partition(member.location.domain, domain)
    wrote = deployment.execute(outside, "PUT key new", deadline_ms=10_000)
    assert wrote.outcome is Outcome.DONE
    read = deployment.execute(inside, "GET key", deadline_ms=1_000)
    assert read.outcome is not Outcome.DONE or read.result == "new"


def test_urgent_write_waits_out_a_failover() -> None:
    """Guards against urgent work that is refused while the primary is being replaced."""
    deployment = VirtualDeployment()
    deployment.cluster.members[find_primary(deployment)].kill()
    answers = [
        deployment.send(deployment.cluster.nodes[n % 7], deployment.build(f"PUT k{n} 1"))
        for n in range(20)
    ]
    deployment.run(3_000)
    outcomes = [answer() for answer in answers]
    assert all(found is not None and found.outcome is Outcome.DONE for found in outcomes), outcomes


def test_lost_answer_of_a_write_is_settled() -> None:
    """Guards against a duplicated or unsettled write when the answer of the member is lost."""
    deployment = VirtualDeployment()
    host = deployment.cluster.members[find_primary(deployment)]
    host.answer_loss_rate = 1.0
    answer = deployment.send(deployment.cluster.nodes[0], deployment.build("ADD visits 1"))
    deployment.run(200)
    host.answer_loss_rate = 0.0
    deployment.run(2_000)
    found = answer()
    assert found is not None
    assert found.outcome in (Outcome.DONE, Outcome.NOT_RUN)
    read = deployment.execute(deployment.cluster.nodes[1], "GET visits")
    assert read.result == (1 if found.outcome is Outcome.DONE else None)


@pytest.mark.parametrize("statement", ["PUT key 1", "GET key"])
def test_request_without_time_left_is_never_forwarded(statement: str) -> None:
    """Guards against a request whose deadline is 0 ms that is forwarded in its first millisecond.

    Its outcome was then unknown, although it should not have run at all.
    """
    deployment = VirtualDeployment()
    for host in deployment.cluster.nodes:
        answer = deployment.execute(host, statement, deadline_ms=0)
        assert (answer.outcome, answer.code) == (Outcome.NOT_RUN, Code.DEADLINE)
    assert deployment.execute(deployment.cluster.nodes[0], "GET key").result is None


def test_request_repeated_through_another_proxy_runs_once() -> None:
    """Guards against a duplicate write when a caller repeats its request."""
    deployment = VirtualDeployment()
    request = deployment.build("ADD visits 1")
    first = deployment.send(deployment.cluster.nodes[0], request)
    second = deployment.send(deployment.cluster.nodes[4], request)
    deployment.run(1_000)
    for answer in (first(), second()):
        assert answer is not None
        assert (answer.outcome, answer.result) == (Outcome.DONE, 1)
    assert deployment.execute(deployment.cluster.nodes[2], "GET visits").result == 1


def test_transaction_of_a_dead_proxy_is_rolled_back() -> None:
    """Guards against a partial transaction that remains after its proxy has died."""
    deployment = VirtualDeployment()
    home = deployment.find_home(find_primary(deployment))
    other = next(host for host in deployment.cluster.nodes if host is not home)
    begun = deployment.execute(other, "BEGIN", step=TransactionStep.BEGIN)
    assert begun.transaction is not None
    step = {"transaction": begun.transaction, "step": TransactionStep.STATEMENT}
    assert deployment.execute(other, "PUT half 1", **step).outcome is Outcome.DONE
    deployment.cluster.stop_node(home)
    commit = deployment.execute(
        other, "COMMIT", transaction=begun.transaction, step=TransactionStep.COMMIT
    )
    assert commit.outcome is not Outcome.DONE
    deployment.run(12_000)
    assert deployment.execute(other, "GET half").result is None


def measure_longest_write_ms(
    deployment: VirtualDeployment, host: NodeHost, duration_ms: int
) -> int:
    """Write through a node repeatedly and return the longest response time in ms."""
    worst_ms = 0
    end_ms = deployment.cluster.loop.now_ms + duration_ms
    number = 0
    while deployment.cluster.loop.now_ms < end_ms:
        number += 1
        begin_ms = deployment.cluster.loop.now_ms
        answer = deployment.execute(host, f"PUT drain {number}", deadline_ms=30_000)
        assert answer.outcome is Outcome.DONE, answer
        worst_ms = max(worst_ms, deployment.cluster.loop.now_ms - begin_ms)
        deployment.run(30)
    return worst_ms


def move_primary_to(deployment: VirtualDeployment, domain: str) -> None:
    """Kill primaries until the new one is in the given failure domain."""
    for _ in range(10):
        host = deployment.cluster.members[find_primary(deployment)]
        if host.location.domain == domain:
            return
        host.kill()
        deployment.run(4_000)
        host.start()
        deployment.run(4_000)
    raise AssertionError(f"no primary in {domain}")


@pytest.mark.parametrize("domain", ["nbg", "muc-nord"])
@pytest.mark.parametrize("graceful", [True, False])
def test_loss_of_a_home_does_not_stop_writes_for_long(domain: str, graceful: bool) -> None:
    """Guards against writes that stop until the roles of a replaced proxy expire.

    In muc-nord the home is the only node of its failure domain.
    """
    deployment = VirtualDeployment()
    move_primary_to(deployment, domain)
    home = deployment.find_home(find_primary(deployment))
    assert home.info.domain == domain
    other = next(h for h in deployment.cluster.nodes if h.info.domain not in (domain, "aug"))
    if graceful:
        home.deliver(DrainRequested())
        deployment.cluster.loop.after(6_000, lambda: deployment.cluster.stop_node(home))
    else:
        deployment.cluster.stop_node(home)
    assert measure_longest_write_ms(deployment, other, 20_000) <= 11_000


def test_a_drain_that_ends_too_early_answers_all_callers() -> None:
    """Guards against requests that end without an answer when a member outlasts the drain.

    A request that has not been sent to the member is refused as not run, and it never runs.
    """
    deployment = VirtualDeployment()
    name = find_primary(deployment)
    home = deployment.find_home(name)
    begun = deployment.execute(home, "BEGIN", step=TransactionStep.BEGIN)
    deployment.cluster.members[name].member.queue.stuck = True
    answers = [deployment.send(home, deployment.build(f"PUT k{n} 1")) for n in range(60)]
    deployment.run(50)
    home.deliver(DrainRequested())
    deployment.run(50)
    assert any(answer() is None for answer in answers)
    home.deliver(DrainExpired())
    deployment.run(10)
    found = [answer() for answer in answers]
    assert {one.outcome for one in found if one is not None} == {Outcome.NOT_RUN, Outcome.UNKNOWN}
    assert None not in found
    commit = deployment.execute(
        home, "COMMIT", transaction=begun.transaction, step=TransactionStep.COMMIT
    )
    assert (commit.outcome, commit.code) == (Outcome.NOT_RUN, Code.DRAINING)
    deployment.cluster.stop_node(home)
    deployment.cluster.members[name].member.queue.stuck = False
    deployment.run(20_000)
    other = next(host for host in deployment.cluster.nodes if host is not home)
    for number, one in enumerate(found):
        if one is not None and one.outcome is Outcome.NOT_RUN:
            assert deployment.execute(other, f"GET k{number}").result is None


def forward(
    deployment: VirtualDeployment, home: NodeHost, member: str, request: StatementRequest
) -> tuple[list[ForwardStatus], int]:
    """Let another node forward a request; return the answers and the number of statements sent."""
    sender = next(host.info for host in deployment.cluster.nodes if host is not home)
    message = Forward(
        forward_id=7, member=member, request=request, deadline_ms=1_000, sender=sender
    )
    event = PeerReceived(peer=sender.node, message=message)
    actions = home.node.handle(event, deployment.cluster.loop.now_ms)
    answers = [one.message for one in actions if isinstance(one, SendPeer)]
    statuses = [one.status for one in answers if isinstance(one, ForwardAnswer)]
    return statuses, sum(isinstance(one, SendExecute) for one in actions)


@pytest.mark.parametrize("has_timed_out", [True, False])
@pytest.mark.parametrize("statement", ["PUT key 1", "GET key"])
def test_a_home_whose_drain_has_ended_runs_nothing_for_other_nodes(
    statement: str, has_timed_out: bool
) -> None:
    """Guards against statements that are sent to a member just before all links close."""
    deployment = VirtualDeployment()
    # The only node of its failure domain ends its drain as soon as nothing is in flight.
    move_primary_to(deployment, "muc-nord")
    name = find_primary(deployment)
    home = deployment.find_home(name)
    home.deliver(DrainRequested())
    if has_timed_out:
        assert forward(deployment, home, name, deployment.build(statement)) == ([], 1)
        home.deliver(DrainExpired())
    else:
        while not home.drained:
            deployment.run(1)
    refused = forward(deployment, home, name, deployment.build(statement))
    assert refused == ([ForwardStatus.NOT_HOME], 0)


@pytest.mark.parametrize("step", [TransactionStep.STATEMENT, TransactionStep.COMMIT])
def test_a_transaction_at_a_home_whose_drain_has_timed_out_is_refused(
    step: TransactionStep,
) -> None:
    """Guards against a statement of another node's caller whose outcome nobody knows."""
    deployment = VirtualDeployment()
    name = find_primary(deployment)
    home = deployment.find_home(name)
    other = next(host for host in deployment.cluster.nodes if host.info.domain != home.info.domain)
    begun = deployment.execute(other, "BEGIN", step=TransactionStep.BEGIN)
    deployment.cluster.members[name].member.queue.stuck = True
    home.deliver(DrainRequested())
    home.deliver(DrainExpired())
    request = deployment.build("PUT t 1", transaction=begun.transaction, step=step)
    answer = deployment.send(other, request)
    deployment.cluster.loop.after(100, lambda: deployment.cluster.stop_node(home))
    deployment.run(50)
    found = answer()
    assert found is not None
    assert (found.outcome, found.code) == (Outcome.NOT_RUN, Code.UNKNOWN_TRANSACTION)
    deployment.run(1_000)
    deployment.cluster.members[name].member.queue.stuck = False
    deployment.run(20_000)
    assert deployment.execute(other, "GET t").result is None


@pytest.mark.parametrize("is_forwarded", [True, False])
def test_a_transaction_that_waits_at_a_home_does_not_begin_there_during_its_drain(
    is_forwarded: bool,
) -> None:
    """Guards against a drain that waits for transactions which began after it."""
    deployment = VirtualDeployment()
    move_primary_to(deployment, "nbg")
    name = find_primary(deployment)
    home = deployment.find_home(name)
    entry = deployment.find_node("rgb") if is_forwarded else home
    member = deployment.cluster.members[name]
    member.member.queue.stuck = True
    writes = [deployment.send(entry, deployment.build(f"PUT k{n} 1")) for n in range(20)]
    begin = deployment.send(entry, deployment.build("BEGIN", step=TransactionStep.BEGIN))
    deployment.run(50)
    assert begin() is None
    home.deliver(DrainRequested())
    member.member.queue.stuck = False
    member.deliver_due_answers()
    deployment.run(4_000)
    begun = begin()
    assert begun is not None and begun.transaction is not None
    assert not begun.transaction.startswith(f"{home.info.node}/")
    written = [write() for write in writes]
    assert all(one is not None and one.outcome is Outcome.DONE for one in written)


def test_answers_equal_those_of_the_naive_baseline() -> None:
    """Guards against results that differ from those of direct access to the primary."""
    results = []
    for policies in (None, NAIVE_POLICIES):
        deployment = (
            VirtualDeployment(seed=3)
            if policies is None
            else VirtualDeployment(seed=3, policies=policies)
        )
        rng = Random(7)
        session = None
        answers = []
        for _ in range(120):
            key = f"k{rng.randrange(4)}"
            statement = rng.choice((f"GET {key}", f"PUT {key} {rng.random()}", "ADD n 1"))
            node = deployment.cluster.nodes[rng.randrange(7)]
            answer = deployment.execute(node, statement, session=session)
            session = answer.session
            answers.append((statement, answer.outcome, answer.result))
        results.append(answers)
    assert results[0] == results[1]


def test_restarted_home_opens_no_connections_while_old_ones_are_counted() -> None:
    """Guards against exceeding the connection limit after a restart under the same name."""
    deployment = VirtualDeployment()
    move_primary_to(deployment, "nbg")
    home = deployment.find_home(find_primary(deployment))
    other = next(h for h in deployment.cluster.nodes if h.info.domain == "rgb")
    deployment.cluster.stop_node(home)
    seeds = [host.info for host in deployment.cluster.nodes]

    def restart() -> None:
        deployment.cluster.start_node(home.info, seeds)

    deployment.cluster.loop.after(200, restart)
    assert measure_longest_write_ms(deployment, other, 8_000) <= 1_000


@pytest.mark.parametrize("is_link_lost", [False, True])
def test_statement_that_may_have_run_in_a_transaction_is_not_refused(is_link_lost: bool) -> None:
    """Guards against `not_run` for a statement that a later commit applies.

    The answer is lost with the link or comes after the deadline, but the home and the transaction
    live on.
    """
    deployment = VirtualDeployment()
    home = deployment.find_home(find_primary(deployment))
    domain = home.info.domain
    other = next(host for host in deployment.cluster.nodes if host.info.domain != domain)
    begun = deployment.execute(other, "BEGIN", step=TransactionStep.BEGIN)
    assert begun.transaction is not None
    step = {"transaction": begun.transaction, "step": TransactionStep.STATEMENT}
    deadline_ms = 4_000 if is_link_lost else 1_000
    answer = deployment.send(other, deployment.build("PUT t 1", deadline_ms=deadline_ms, **step))
    deployment.run(10)
    deployment.cluster.links.partition(domain, other.info.domain)
    if is_link_lost:
        deployment.run(200)
        other.deliver(PeerLost(peer=home.info.node))
    deployment.run(1_500)
    deployment.cluster.links.heal(domain, other.info.domain)
    commit = deployment.execute(
        other, "COMMIT", transaction=begun.transaction, step=TransactionStep.COMMIT
    )
    read = deployment.execute(other, "GET t")
    found = answer()
    assert found is not None
    assert (commit.outcome, read.result) == (Outcome.DONE, "1")
    assert found.outcome is Outcome.UNKNOWN


def test_accepted_staleness_is_not_exceeded_by_a_cut_off_primary() -> None:
    """Guards against an old row from a primary that does not know that it was superseded.

    Both replicas are behind, so the read goes to the primary, which runs it only seconds later.
    """
    deployment = VirtualDeployment()
    member = deployment.cluster.members[find_primary(deployment)]
    domain = member.location.domain
    inside = deployment.find_node(domain)
    outside = next(h for h in deployment.cluster.nodes if h.info.domain != domain)
    replicas = [host for host in deployment.cluster.members.values() if host is not member]
    for host in replicas:
        host.member.lag_ms = 600
    assert deployment.execute(inside, "PUT key old").outcome is Outcome.DONE
    deployment.run(1_000)
    fields = {"rank": SERVICE.ranks[1].name, "accepted_staleness_ms": 300, "deadline_ms": 20_000}
    assert deployment.execute(inside, "GET key", **fields).result == "old"
    member.member.queue.stuck = True
    read = deployment.send(inside, deployment.build("GET key", **fields))
    deployment.run(50)
    for other in (*deployment.cluster.plan.domains, PLATFORM.domain):
        if other != domain:
            deployment.cluster.links.partition(domain, other)
    for host in replicas:
        host.member.lag_ms = 0
    wrote = deployment.execute(outside, "PUT key new", deadline_ms=10_000)
    assert wrote.outcome is Outcome.DONE
    deployment.run(1_000)
    member.member.queue.stuck = False
    member.deliver_due_answers()
    deployment.run(1_000)
    found = read()
    assert found is None or found.result != "old"


def test_primary_without_replicas_serves_accepted_staleness_for_as_long_as_accepted() -> None:
    """Guards against reads that end with the replicas, or that a lone primary serves for ever."""
    deployment = VirtualDeployment()
    member = deployment.cluster.members[find_primary(deployment)]
    inside = deployment.find_node(member.location.domain)
    assert deployment.execute(inside, "PUT key 1").outcome is Outcome.DONE
    database = deployment.cluster.databases[DATABASE]
    for other in database.members:
        if other.name != member.location.name:
            deployment.cluster.members[other.name].kill()
    fields = {"rank": SERVICE.ranks[1].name, "accepted_staleness_ms": 8_000, "deadline_ms": 1_000}
    deployment.run(3_000)
    assert deployment.execute(inside, "GET key", **fields).result == "1"
    deployment.run(7_000)
    assert deployment.execute(inside, "GET key", **fields).outcome is not Outcome.DONE
