"""Tests of the coordinator: lease, calls to the platform and the audit trail in the store."""

import json
from collections import Counter

import pytest
from burdockrun_base import ManualClock
from burdockrun_fleet import AuditTrail, audit_key
from burdockrun_fleet.backoff import Backoff, PlatformClient
from burdockrun_fleet.const import (
    AUDIT_BATCH_BYTES,
    AUDIT_HEAD_PREFIX,
    BACKOFF_MAX_MS,
    LEASE_TTL_MS,
)
from burdockrun_fleet.lease import CoordinatorLease
from burdockrun_fleet.reports import AuditWriter
from burdockrun_fleet.simulation import Simulation
from burdockrun_messages import (
    CallPlatform,
    GrantLease,
    KeysReply,
    LeaseReply,
    ListKeys,
    NodeInfo,
    Outbox,
    PlatformAnswered,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.fleet.chaos import DOMAINS, Chaos
from tests.fleet.common import HeldCalls, StoreDriver, put_tickets, start_fleet

NODE = NodeInfo(node="node", domain="aug", host="10.0.0.1", port=1)


def count_coordinators(simulation: Simulation, domain: str) -> int:
    """Return how many nodes consider themselves the coordinator of a domain."""
    now_ms = simulation.now_ms
    return sum(n.agent.is_coordinator(domain, now_ms) for n in simulation.nodes.values())


@pytest.mark.parametrize("seed", range(4))
def test_a_domain_never_has_two_coordinators_under_random_faults(seed: int) -> None:
    """Guards against a paused or partitioned coordinator that acts after its lease ended."""
    chaos = Chaos(seed + 100)
    most: Counter[str] = Counter()
    for _ in range(1_200):
        chaos.run(100)
        chaos.simulation.run(0)
        for domain in DOMAINS:
            most[domain] = max(most[domain], count_coordinators(chaos.simulation, domain))
        if chaos.rng.random() < 0.04:
            chaos.rng.choice(chaos.faults)()
    assert most == Counter(dict.fromkeys(DOMAINS, 1))


def test_a_renewal_that_is_answered_too_late_is_ignored() -> None:
    """Guards against accepting a late renewal that created a new lease without the key."""
    outbox = Outbox()
    platform = PlatformClient(outbox)
    driver = StoreDriver(ManualClock())
    lease = CoordinatorLease(NODE, "aug", platform, outbox, driver.rng)
    driver.outbox = outbox
    driver.run(1_000, lambda now_ms: lease.tick(now_ms, wanted=True))
    assert lease.holds(driver.clock.now_ms())
    while lease.holds(driver.clock.now_ms() + 100):
        driver.clock.advance(50)
    lease.tick(driver.clock.now_ms(), wanted=True)
    (call,) = [action for action in outbox.drain() if isinstance(action, CallPlatform)]
    assert isinstance(call.operation, GrantLease)
    driver.clock.advance(LEASE_TTL_MS // 4)
    late = PlatformAnswered(call_id=call.call_id, reply=LeaseReply(held=True))
    outbox.deliver_platform_reply(late, driver.clock.now_ms())
    assert not lease.holds(driver.clock.now_ms())


def test_another_node_takes_over_within_seconds_of_a_coordinator_s_death() -> None:
    """Guards against a domain without coordinator for longer than lease and detection take."""
    simulation = start_fleet(seed=21, count=8, domains=("aug", "muc"))
    name = next(
        name
        for name, node in simulation.nodes.items()
        if node.agent.is_coordinator(node.info.domain, simulation.now_ms)
    )
    domain = simulation.nodes[name].info.domain
    simulation.stop(name)
    taken_ms = simulation.run(20_000, until=lambda: count_coordinators(simulation, domain) == 1)
    assert taken_ms < 15_000


def test_calls_to_the_platform_do_not_grow_with_the_nodes() -> None:
    """Guards against nodes that each poll the platform."""
    rates = []
    for count in (8, 32):
        simulation = start_fleet(seed=22, count=count)
        simulation.run(10_000)
        simulation.calls_per_s.clear()
        simulation.run(20_000)
        rates.append(sum(simulation.calls_per_s.values()) / 20)
    assert rates[1] < rates[0] + 1


def test_an_outage_and_its_end_cause_no_burst_of_calls() -> None:
    """Guards against all nodes calling at once when the platform fails or comes back."""
    simulation = start_fleet(seed=23, count=32)
    simulation.run(15_000)
    simulation.network.platform_up = False
    simulation.calls_per_s.clear()
    simulation.run(60_000)
    simulation.network.platform_up = True
    simulation.run(40_000)
    assert max(simulation.calls_per_s.values()) <= 2 * 32
    assert all(count_coordinators(simulation, domain) == 1 for domain in ("aug", "muc"))


@settings(derandomize=True, max_examples=50)
@given(st.integers(0, 1_000), st.integers(1, 40))
def test_the_backoff_stays_within_its_limit(seed: int, failures: int) -> None:
    """Guards against unbounded waits after a long outage."""
    backoff = Backoff(StoreDriver(ManualClock(), seed).rng)
    for _ in range(failures):
        backoff.fail(1_000)
    assert not backoff.is_ready(1_000)
    assert backoff.is_ready(1_000 + BACKOFF_MAX_MS)
    backoff.succeed()
    assert backoff.is_ready(1_000)


def test_a_full_audit_queue_drops_the_oldest_and_counts_them() -> None:
    """Guards against an audit trail that grows without bound or blocks its callers."""
    trail = AuditTrail(NODE, Outbox(), limit=3)
    for number in range(5):
        trail.record("ticket", number, {"ticket": number})
    assert trail.dropped == 2
    assert [json.loads(entry.fields)["ticket"] for entry in trail.take(9)] == [2, 3, 4]


@pytest.mark.parametrize("seed", range(5))
def test_audit_batches_are_written_once_in_sequence_despite_lost_answers(seed: int) -> None:
    """Guards against batches that overwrite each other, are written twice or exceed 64 KB."""
    driver = StoreDriver(ManualClock(), seed)
    driver.request_loss_rate, driver.answer_loss_rate = 0.2, 0.3
    trail = AuditTrail(NODE, driver.outbox, limit=1_000)
    for number in range(40):
        trail.record("ticket", number, {"ticket": number, "reason": "x" * 10_000})
    writer = AuditWriter("aug", trail, PlatformClient(driver.outbox), Backoff(driver.rng), _always)
    driver.run(200_000, writer.tick)
    seen, sequence = [], 1
    while value := driver.read(audit_key("aug", sequence)):
        assert len(value.encode()) <= AUDIT_BATCH_BYTES
        seen += [entry["fields"]["ticket"] for entry in json.loads(value)]
        sequence += 1
    assert seen == list(range(40))


def test_a_late_answer_from_before_a_lost_lease_does_not_count_for_the_next_batch() -> None:
    """Guards against audit events that are dropped though their batch was not stored."""
    driver = StoreDriver(ManualClock())
    calls = HeldCalls(driver)
    trail = AuditTrail(NODE, Outbox())
    writer = AuditWriter("aug", trail, PlatformClient(driver.outbox), Backoff(driver.rng), _always)
    trail.record("ticket", 0, {"ticket": 1})
    writer.tick(1)
    calls.execute(calls.take())
    writer.tick(1)
    earlier = calls.take()
    writer.stop()
    writer.restart()
    trail.record("ticket", 1, {"ticket": 2})
    writer.tick(1)
    calls.execute(calls.take())
    writer.tick(1)
    later = calls.take()
    calls.execute(earlier)
    calls.execute(later)
    driver.run(20_000, writer.tick)
    stored = [driver.read(audit_key("aug", sequence)) for sequence in (1, 2, 3)]
    kept = [entry["fields"]["ticket"] for text in stored if text for entry in json.loads(text)]
    assert set(kept) == {1, 2}


@pytest.mark.parametrize("head", ["²", "9" * 5_000])
def test_an_odd_head_of_the_audit_trail_does_not_stop_it(head: str) -> None:
    """Guards against an audit trail that ends at a value of another writer."""
    driver = StoreDriver(ManualClock())
    driver.put(AUDIT_HEAD_PREFIX + "aug", head)
    trail = AuditTrail(NODE, driver.outbox)
    trail.record("ticket", 1, {"ticket": 1})
    writer = AuditWriter("aug", trail, PlatformClient(driver.outbox), Backoff(driver.rng), _always)
    driver.run(20_000, writer.tick)
    assert json.loads(driver.read(audit_key("aug", 1)))[0]["fields"] == {"ticket": 1}


def _always(now_ms: int) -> bool:
    return True


def test_accepted_tickets_and_failed_nodes_reach_the_audit_trail_in_the_store() -> None:
    """Guards against changes that are missing in the audit trail in the store."""
    simulation = start_fleet(seed=24, count=8)
    put_tickets(simulation, 2, 2)
    simulation.stop("proxy-0006")
    simulation.run(25_000)
    reply = simulation.apply(ListKeys(prefix="audit/"))
    assert isinstance(reply, KeysReply)
    records = [record for entry in reply.entries for record in json.loads(entry.value)]
    accepted = [r["fields"] for r in records if r["kind"] == "ticket"]
    assert {"ticket": 2, "author": "operator", "reason": "test"} in accepted
    assert any(r["kind"] == "ticket_in_force" and r["fields"]["ticket"] == 2 for r in records)
    assert any(r["fields"].get("node") == "proxy-0006" for r in records)
