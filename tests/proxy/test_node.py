"""Behaviour of proxy nodes together, in virtual time with the checks of the bench on."""

from random import Random

import pytest
from burdockrun_bench.node_host import NodeHost
from burdockrun_messages import DrainRequested, Outcome, TransactionStep
from burdockrun_proxy import NAIVE_POLICIES

from tests.proxy.common import DATABASE, Bayern


def find_primary(bayern: Bayern) -> str:
    """Return the name of the present primary."""
    host = bayern.cluster.find_primary(DATABASE)
    assert host is not None
    return host.place.name


def test_session_reads_its_write_from_lagging_replicas() -> None:
    """Guards against a replica that answers before it has the session's write."""
    bayern = Bayern()
    for host in bayern.cluster.members.values():
        host.member.lag_ms = 40
    session = None
    for number in range(30):
        nodes = bayern.cluster.nodes
        wrote = bayern.ask(nodes[number % 7], f"PUT key {number}", session=session)
        read = bayern.ask(nodes[(number + 3) % 7], "GET key", session=wrote.session)
        assert read.result == str(number)
        session = read.session


def test_read_without_token_is_never_served_by_a_cut_off_primary() -> None:
    """Guards against an old row from a primary that was superseded without knowing."""
    bayern = Bayern()
    name = find_primary(bayern)
    member = bayern.cluster.members[name]
    inside = bayern.find_node(member.place.domain)
    outside = next(h for h in bayern.cluster.nodes if h.info.domain != member.place.domain)
    assert bayern.ask(inside, "PUT key old").outcome is Outcome.DONE
    for domain in bayern.cluster.plan.domains:
        if domain != member.place.domain:
            bayern.cluster.links.cut(member.place.domain, domain)
    wrote = bayern.ask(outside, "PUT key new", deadline_ms=10_000)
    assert wrote.outcome is Outcome.DONE
    read = bayern.ask(inside, "GET key", deadline_ms=1_000)
    assert read.outcome is not Outcome.DONE or read.result == "new"


def test_urgent_write_waits_out_a_failover() -> None:
    """Guards against urgent work that is refused while the primary is being replaced."""
    bayern = Bayern()
    bayern.cluster.members[find_primary(bayern)].kill()
    answers = [
        bayern.send(bayern.cluster.nodes[n % 7], bayern.build(f"PUT k{n} 1")) for n in range(20)
    ]
    bayern.run(3_000)
    outcomes = [answer() for answer in answers]
    assert all(found is not None and found.outcome is Outcome.DONE for found in outcomes), outcomes


def test_lost_answer_of_a_write_is_settled() -> None:
    """Guards against a doubled or unknown write when the member's answer is lost."""
    bayern = Bayern()
    host = bayern.cluster.members[find_primary(bayern)]
    host.loses_answers = 1.0
    answer = bayern.send(bayern.cluster.nodes[0], bayern.build("ADD visits 1"))
    bayern.run(200)
    host.loses_answers = 0.0
    bayern.run(2_000)
    found = answer()
    assert found is not None
    assert found.outcome in (Outcome.DONE, Outcome.NOT_RUN)
    read = bayern.ask(bayern.cluster.nodes[1], "GET visits")
    assert read.result == (1 if found.outcome is Outcome.DONE else None)


def test_repeat_through_another_proxy_runs_once() -> None:
    """Guards against a visit that is billed twice when its caller repeats the request."""
    bayern = Bayern()
    request = bayern.build("ADD visits 1")
    first = bayern.send(bayern.cluster.nodes[0], request)
    second = bayern.send(bayern.cluster.nodes[4], request)
    bayern.run(1_000)
    for answer in (first(), second()):
        assert answer is not None
        assert (answer.outcome, answer.result) == (Outcome.DONE, 1)
    assert bayern.ask(bayern.cluster.nodes[2], "GET visits").result == 1


def test_transaction_of_a_dead_proxy_is_rolled_back() -> None:
    """Guards against half a transaction that stays after its proxy died."""
    bayern = Bayern()
    home = bayern.find_home(find_primary(bayern))
    other = next(host for host in bayern.cluster.nodes if host is not home)
    begun = bayern.ask(other, "BEGIN", step=TransactionStep.BEGIN)
    assert begun.transaction is not None
    step = {"transaction": begun.transaction, "step": TransactionStep.STATEMENT}
    assert bayern.ask(other, "PUT half 1", **step).outcome is Outcome.DONE
    bayern.cluster.stop_node(home)
    commit = bayern.ask(other, "COMMIT", transaction=begun.transaction, step=TransactionStep.COMMIT)
    assert commit.outcome is not Outcome.DONE
    bayern.run(12_000)
    assert bayern.ask(other, "GET half").result is None


def measure_writes(bayern: Bayern, host: NodeHost, duration_ms: int) -> int:
    """Write through a node for a while and return the longest time to an answer in ms."""
    worst_ms = 0
    end_ms = bayern.cluster.loop.now_ms + duration_ms
    number = 0
    while bayern.cluster.loop.now_ms < end_ms:
        number += 1
        begin_ms = bayern.cluster.loop.now_ms
        answer = bayern.ask(host, f"PUT drain {number}", deadline_ms=30_000)
        assert answer.outcome is Outcome.DONE, answer
        worst_ms = max(worst_ms, bayern.cluster.loop.now_ms - begin_ms)
        bayern.run(30)
    return worst_ms


def place_primary(bayern: Bayern, domain: str) -> None:
    """Fail primaries until one is in a failure domain."""
    for _ in range(10):
        host = bayern.cluster.members[find_primary(bayern)]
        if host.place.domain == domain:
            return
        host.kill()
        bayern.run(4_000)
        host.start()
        bayern.run(4_000)
    raise AssertionError(f"no primary in {domain}")


@pytest.mark.parametrize("domain", ["nbg", "muc-nord"])
@pytest.mark.parametrize("graceful", [True, False])
def test_loss_of_a_home_does_not_stop_writes_for_long(domain: str, graceful: bool) -> None:
    """Guards against a proxy that is replaced and stops writes until its roles lapse.

    In muc-nord the home is the only node of its failure domain.
    """
    bayern = Bayern()
    place_primary(bayern, domain)
    home = bayern.find_home(find_primary(bayern))
    assert home.info.domain == domain
    other = next(h for h in bayern.cluster.nodes if h.info.domain not in (domain, "aug"))
    if graceful:
        home.deliver(DrainRequested())
        bayern.cluster.loop.after(6_000, lambda: bayern.cluster.stop_node(home))
    else:
        bayern.cluster.stop_node(home)
    assert measure_writes(bayern, other, 20_000) <= 11_000


def test_answers_equal_those_of_the_naive_version() -> None:
    """Guards against results that differ from plain access to the primary."""
    results = []
    for policies in (None, NAIVE_POLICIES):
        bayern = Bayern(seed=3) if policies is None else Bayern(seed=3, policies=policies)
        rng = Random(7)
        session = None
        answers = []
        for _ in range(120):
            key = f"k{rng.randrange(4)}"
            statement = rng.choice((f"GET {key}", f"PUT {key} {rng.random()}", "ADD n 1"))
            node = bayern.cluster.nodes[rng.randrange(7)]
            answer = bayern.ask(node, statement, session=session)
            session = answer.session
            answers.append((statement, answer.outcome, answer.result))
        results.append(answers)
    assert results[0] == results[1]


def test_restarted_home_opens_nothing_before_its_old_connections_are_gone() -> None:
    """Guards against a connection limit exceeded by a process that replaces one of its name."""
    bayern = Bayern()
    place_primary(bayern, "nbg")
    home = bayern.find_home(find_primary(bayern))
    other = next(h for h in bayern.cluster.nodes if h.info.domain == "rgb")
    bayern.cluster.stop_node(home)
    seeds = [host.info for host in bayern.cluster.nodes]

    def restart() -> None:
        bayern.cluster.start_node(home.info, seeds)

    bayern.cluster.loop.after(200, restart)
    assert measure_writes(bayern, other, 8_000) <= 1_000
