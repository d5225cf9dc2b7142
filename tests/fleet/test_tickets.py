"""Tests of tickets: order, gossip, snapshots and new nodes."""

import pytest
from burdockrun_base import ManualClock
from burdockrun_fleet import TicketApplier, snapshot_key, ticket_key
from burdockrun_fleet.backoff import Backoff, PlatformClient
from burdockrun_fleet.const import SNAPSHOT_HEAD
from burdockrun_fleet.simulation import Simulation, place_nodes
from burdockrun_fleet.snapshots import SnapshotWriter
from burdockrun_fleet.tickets import split_shards
from burdockrun_messages import (
    CallPlatform,
    GetKey,
    KeyEntry,
    KeysReply,
    ListKeys,
    NodeInfo,
    Outbox,
    PutKey,
    SendPeer,
    SnapshotPush,
    TicketRecord,
    TicketsPull,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.fleet.common import (
    DOMAINS,
    TICKET_FUNCTIONS,
    HeldCalls,
    StoreDriver,
    make_ticket,
    numbers_in_force,
    put_tickets,
    start_fleet,
)

PEER = NodeInfo(node="peer", domain="aug", host="10.0.0.9", port=1)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.lists(st.integers(1, 12), max_size=4), max_size=25))
def test_tickets_come_into_force_in_order_whatever_the_order_of_arrival(
    batches: list[list[int]],
) -> None:
    """Guards against gaps, repeats and older numbers when pushes arrive out of order."""
    applier = TicketApplier(TICKET_FUNCTIONS, Outbox())
    applied = []
    for batch in batches:
        before = applier.number
        records = [TicketRecord(number=n, text=make_ticket(n, 1)) for n in batch]
        applied += [ticket.number for ticket in applier.receive(records, 0)]
        assert applier.number >= before
    assert applied == list(range(1, applier.number + 1))
    assert set(applier.configuration.services) == {f"s-{n}" for n in applied}


def test_an_invalid_ticket_only_advances_the_number() -> None:
    """Guards against one invalid ticket in the store that blocks all later ones."""
    applier = TicketApplier(TICKET_FUNCTIONS, Outbox())
    applier.receive(
        [TicketRecord(number=1, text="{"), TicketRecord(number=2, text=make_ticket(2))], 0
    )
    assert applier.number == 2
    assert set(applier.configuration.services) == {"s-2"}


def test_a_committed_text_that_is_not_a_ticket_does_not_stop_nodes() -> None:
    """Guards against nodes that fail on a value that was not written by the operator's client."""
    simulation = start_fleet(seed=15, count=8)
    simulation.apply(PutKey(key=ticket_key(2), value="{", expected_revision=0))
    put_tickets(simulation, 3, 3)
    simulation.run(4_000)
    assert numbers_in_force(simulation) == {3}


DEEP = '{"submission_id": ' + "[" * 100_000 + "]" * 100_000 + "}"


@pytest.mark.parametrize("key", ["²", "²" * 10, "9" * 150, "2", "٠٠٠٠٠٠٠٠٠٢", "-000000002"])
def test_an_odd_key_among_the_tickets_does_not_stop_nodes(key: str) -> None:
    """Guards against a key of another writer that hides tickets, or counts as one."""
    simulation = start_fleet(seed=16, count=8)
    simulation.apply(PutKey(key=f"tickets/{key}", value=make_ticket(9)))
    simulation.run(2_000)
    put_tickets(simulation, 2, 2)
    simulation.run(4_000)
    assert numbers_in_force(simulation) == {2}
    for node in simulation.nodes.values():
        assert set(node.agent.configuration.services) == {"s-1", "s-2"}


@pytest.mark.parametrize("text", [DEEP, '{"author": ' + "9" * 5_000 + "}", '{"author": "\\ud800"}'])
def test_a_ticket_that_no_decoder_can_read_does_not_stop_nodes(text: str) -> None:
    """Guards against a ticket whose author cannot be read and that keeps others from being told."""
    simulation = start_fleet(seed=17, count=8)
    simulation.apply(PutKey(key=ticket_key(2), value=text, expected_revision=0))
    simulation.run(4_000)
    put_tickets(simulation, 3, 3)
    simulation.run(4_000)
    assert numbers_in_force(simulation) == {3}


def test_an_older_snapshot_never_replaces_newer_tickets() -> None:
    """Guards against a late snapshot that reverts newer tickets."""
    old, new = TicketApplier(TICKET_FUNCTIONS, Outbox()), TicketApplier(TICKET_FUNCTIONS, Outbox())
    old.receive([TicketRecord(number=1, text=make_ticket(1))], 0)
    new.receive([TicketRecord(number=n, text=make_ticket(n)) for n in (1, 2)], 0)
    push = SnapshotPush(number=1, text=old.dump())
    assert not new.receive_shard(push, 0)
    assert new.number == 2


def test_a_peer_far_behind_gets_a_snapshot_in_shards_that_fit_a_message() -> None:
    """Guards against a message that exceeds the size limit because it holds all tickets."""
    outbox = Outbox()
    applier = TicketApplier(TICKET_FUNCTIONS, outbox)
    for number in range(1, 301):
        applier.receive([TicketRecord(number=number, text=make_ticket(number, 2))], 0)
    applier.answer_pull(PEER, TicketsPull(after_number=0), 0)
    sent = [action.message for action in outbox.drain() if isinstance(action, SendPeer)]
    new_node = TicketApplier(TICKET_FUNCTIONS, Outbox())
    for message in reversed(sent):
        assert isinstance(message, SnapshotPush)
        assert len(message.text.encode()) <= 256 * 1024
        new_node.receive_shard(message, 0)
    assert len(sent) > 1
    assert new_node.configuration == applier.configuration


def test_a_ticket_is_in_force_within_4_s_with_loss_and_a_domain_without_platform() -> None:
    """Guards against a domain that lags because it cannot reach the platform (I9)."""
    simulation = start_fleet(seed=11, count=24)
    simulation.network.message_loss_rate = 0.05
    simulation.network.platform_blocks = lambda info: info.domain == DOMAINS[0]
    simulation.run(20_000)
    for number in range(2, 12):
        put_tickets(simulation, number, number)
        simulation.run(4_000)
        assert numbers_in_force(simulation) == {number}


def test_in_force_is_published_for_every_domain_and_never_ahead_of_a_node() -> None:
    """Guards against a published ticket number that some node has not applied yet."""
    simulation = start_fleet(seed=12, count=8)
    slow = simulation.nodes["proxy-0001"]
    put_tickets(simulation, 2, 2)
    simulation.network.blocks = lambda a, b: slow.info in (a, b)
    simulation.network.platform_blocks = lambda info: info == slow.info
    simulation.run(1_500)
    key = f"in_force/{slow.info.domain}"
    entry = simulation.apply(GetKey(key=key))
    assert isinstance(entry, KeyEntry)
    assert '"number":1' in entry.value
    simulation.network.blocks = lambda a, b: False
    simulation.run(4_000)
    for domain in DOMAINS:
        entry = simulation.apply(GetKey(key=f"in_force/{domain}"))
        assert isinstance(entry, KeyEntry)
        assert '"number":2' in entry.value


def test_a_new_node_loads_from_peers_while_the_platform_is_down() -> None:
    """Guards against a domain whose new nodes get no configuration during an outage."""
    simulation = start_fleet(seed=13, count=8)
    simulation.network.platform_up = False
    simulation.run(10_000)
    seed_node = simulation.nodes["proxy-0001"].info
    for name in ("proxy-0000", "proxy-0004"):
        simulation.stop(name)
    new_node = simulation.add(
        NodeInfo(node="new", domain=DOMAINS[0], host="10.0.9.9", port=1), [seed_node]
    )
    simulation.run(3_000)
    assert new_node.agent.configuration.number == 1


def test_new_nodes_load_a_snapshot_in_place_of_deleted_tickets() -> None:
    """Guards against a new node that needs tickets which were deleted."""
    clock = ManualClock()
    driver = StoreDriver(clock)
    applier = TicketApplier(TICKET_FUNCTIONS, driver.outbox)
    for number in range(1, 31):
        driver.put(ticket_key(number), make_ticket(number, 1))
    applier.receive([TicketRecord(number=n, text=make_ticket(n, 1)) for n in range(1, 31)], 0)
    platform = PlatformClient(driver.outbox)
    writer = SnapshotWriter(
        applier, platform, Backoff(driver.rng), lambda now_ms: True, every=10, retained=5
    )
    driver.run(30_000, writer.tick)
    left = driver.apply(ListKeys(prefix="tickets/"))
    assert isinstance(left, KeysReply)
    assert [entry.key for entry in left.entries] == [ticket_key(n) for n in range(26, 31)]
    assert driver.read(SNAPSHOT_HEAD) == '{"number":30,"shards":1}'
    assert driver.read(snapshot_key(30, 0)) == applier.dump()
    simulation = Simulation(14, TICKET_FUNCTIONS)
    simulation.store = driver.store
    infos = place_nodes(3, ("aug",))
    for info in infos:
        simulation.add(info, infos)
    simulation.run(15_000)
    assert numbers_in_force(simulation) == {30}


def test_a_late_answer_from_before_a_lost_lease_does_not_count_for_the_next_snapshot() -> None:
    """Guards against a head that names a snapshot of which a shard was never written."""
    driver = StoreDriver(ManualClock())
    calls = HeldCalls(driver)
    applier = TicketApplier(TICKET_FUNCTIONS, Outbox())
    applier.receive([TicketRecord(number=1, text=make_ticket(1, 300))], 0)
    platform = PlatformClient(driver.outbox)
    writer = SnapshotWriter(applier, platform, Backoff(driver.rng), lambda now_ms: True, every=1)
    writer.tick(1)
    calls.execute(calls.take())
    writer.tick(1)
    earlier = calls.take()
    assert isinstance(earlier.operation, PutKey) and earlier.operation.key == snapshot_key(1, 0)
    applier.receive([TicketRecord(number=2, text=make_ticket(2, 1))], 0)
    writer.restart()
    writer.tick(1)
    calls.execute(calls.take())
    writer.tick(1)
    first = calls.take()
    calls.execute(earlier)
    writer.tick(1)
    sent_early = [one for one in driver.outbox.drain() if isinstance(one, CallPlatform)]
    calls.execute(first)
    for call in sent_early:
        calls.lose(call)
    driver.run(20_000, writer.tick)
    shards = split_shards(applier.dump())
    assert len(shards) > 1
    assert driver.read(SNAPSHOT_HEAD) == f'{{"number":2,"shards":{len(shards)}}}'
    stored = [driver.read(snapshot_key(2, at)) for at in range(len(shards))]
    assert [len(text) for text in stored] == [len(text) for text in shards]
    assert stored == shards
