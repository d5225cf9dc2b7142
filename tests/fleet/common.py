"""Shared helpers of the tests of the fleet library."""

import random
from collections.abc import Callable

from burdockrun_base import ManualClock
from burdockrun_fleet import TicketFunctions
from burdockrun_fleet.simulation import Simulation, place_nodes
from burdockrun_messages import (
    CallPlatform,
    Configuration,
    Database,
    GetKey,
    KeyEntry,
    Member,
    NodeInfo,
    Outbox,
    PlatformAnswered,
    PlatformFailure,
    PlatformOperation,
    PlatformReply,
    PutKey,
    Rank,
    Service,
)
from burdockrun_platform import KeyValueStore
from burdockrun_settings import (
    Ticket,
    apply_ticket,
    configuration_from_json,
    configuration_to_json,
    ticket_from_json,
    ticket_to_json,
)
from result import Err, Ok, Result

DOMAINS = ("aug", "muc", "nbg", "rgb")
RANK = Rank(name="urgent", order=0, target_ms=100, worth=1.0, floor=0.5)


def apply_text(configuration: Configuration, text: str) -> Result[Configuration, str]:
    """Apply the text of a ticket."""
    ticket = ticket_from_json(text)
    return ticket if isinstance(ticket, Err) else Ok(apply_ticket(configuration, ticket.ok_value))


TICKET_FUNCTIONS = TicketFunctions(
    apply=apply_text, dump=configuration_to_json, load=configuration_from_json
)


def make_database(number: int, connections: int = 16) -> Database:
    """Return a database with three members in three domains."""
    members = tuple(
        Member(
            name=f"db-{number}-{index}",
            domain=DOMAINS[(number + index) % len(DOMAINS)],
            host="10.1.0.1",
            port=10_000 + 3 * number + index,
            control_port=20_000 + 3 * number + index,
        )
        for index in range(3)
    )
    return Database(name=f"db-{number}", members=members, connections=connections, slots=2)


def make_ticket(number: int, databases: int = 2) -> str:
    """Return the text of a ticket that sets one service."""
    chosen = tuple(make_database(number * 100 + at) for at in range(databases))
    service = Service(name=f"s-{number}", account="account", ranks=(RANK,), databases=chosen)
    return ticket_to_json(
        Ticket(
            author="operator",
            reason="test",
            services={service.name: service},
            submission_id=f"submission-{number}",
        )
    )


def put_tickets(simulation: Simulation, first: int, last: int, databases: int = 2) -> None:
    """Write tickets to the store as an operator's client does."""
    for number in range(first, last + 1):
        text = make_ticket(number, databases)
        key = f"tickets/{number:010d}"
        simulation.apply(PutKey(key=key, value=text, expected_revision=0))


def start_fleet(seed: int, count: int, domains: tuple[str, ...] = DOMAINS) -> Simulation:
    """Return a running fleet with one ticket in force."""
    simulation = Simulation(seed, TICKET_FUNCTIONS)
    put_tickets(simulation, 1, 1)
    nodes: list[NodeInfo] = place_nodes(count, domains)
    for info in nodes:
        simulation.add(info, nodes[:3])
    simulation.run(20_000)
    return simulation


def numbers_in_force(simulation: Simulation) -> set[int]:
    """Return the distinct ticket numbers in force on the nodes."""
    return {node.agent.configuration.number for node in simulation.nodes.values()}


class StoreDriver:
    """Runs components against a store on a manual clock, with a share of calls lost."""

    def __init__(self, clock: ManualClock, seed: int = 1) -> None:
        self.clock = clock
        self.rng = random.Random(seed)
        self.store = KeyValueStore()
        self.outbox = Outbox()
        self.request_loss_rate = 0.0
        self.answer_loss_rate = 0.0

    def apply(self, operation: PlatformOperation) -> PlatformReply:
        """Apply an operation to the store."""
        return self.store.apply(operation, self.clock.now_ms())

    def put(self, key: str, value: str) -> None:
        """Write a key."""
        self.apply(PutKey(key=key, value=value))

    def read(self, key: str) -> str:
        """Return the value of a key."""
        entry = self.apply(GetKey(key=key))
        assert isinstance(entry, KeyEntry)
        return entry.value

    def answer(self, outbox: Outbox) -> None:
        """Perform the platform calls in an outbox and deliver their replies."""
        for action in outbox.drain():
            if not isinstance(action, CallPlatform):
                continue
            reply: PlatformReply = PlatformFailure(reason="lost")
            if self.rng.random() >= self.request_loss_rate:
                done = self.apply(action.operation)
                reply = done if self.rng.random() >= self.answer_loss_rate else reply
            event = PlatformAnswered(call_id=action.call_id, reply=reply)
            outbox.deliver_platform_reply(event, self.clock.now_ms())

    def run(self, duration_ms: int, tick: Callable[[int], None]) -> None:
        """Tick a component that uses this driver's outbox every 50 ms."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(50)
            tick(self.clock.now_ms())
            self.answer(self.outbox)


class HeldCalls:
    """Calls of a component to the store, each executed or lost when the test says so."""

    def __init__(self, driver: StoreDriver) -> None:
        self._driver = driver

    def take(self) -> CallPlatform:
        """Return the one call that the component has made."""
        (call,) = [one for one in self._driver.outbox.drain() if isinstance(one, CallPlatform)]
        return call

    def execute(self, call: CallPlatform) -> None:
        """Execute a call and deliver the reply."""
        event = PlatformAnswered(call_id=call.call_id, reply=self._driver.apply(call.operation))
        self._driver.outbox.deliver_platform_reply(event, self._driver.clock.now_ms())

    def lose(self, call: CallPlatform) -> None:
        """End a call without executing it."""
        event = PlatformAnswered(call_id=call.call_id, reply=PlatformFailure(reason="lost"))
        self._driver.outbox.deliver_platform_reply(event, self._driver.clock.now_ms())
