"""Tests of the submission of tickets."""

import random
from collections import Counter

import pytest
from burdockrun_base import ManualClock
from burdockrun_fleet import (
    Accepted,
    Conflict,
    Rejected,
    SubmissionResult,
    TicketSubmission,
    Unknown,
    ticket_key,
)
from burdockrun_fleet.const import TICKET_HEAD
from burdockrun_messages import Configuration, KeysReply, ListKeys, Outbox

from tests.fleet.common import TICKET_FUNCTIONS, StoreDriver, make_ticket


class Client:
    """Operator's client with one submission in progress."""

    def __init__(
        self, driver: StoreDriver, number: int, seed: int, *, findings: str = "", limit_ms: int
    ) -> None:
        self.text = make_ticket(number, 1)
        self.outbox = Outbox()
        self.results: list[SubmissionResult] = []
        self.checked: list[Configuration] = []

        def check(configuration: Configuration, text: str) -> str:
            self.checked.append(configuration)
            return findings

        self.submission = TicketSubmission(
            self.text,
            self.outbox,
            random.Random(seed),
            TICKET_FUNCTIONS,
            check=check,
            deadline_ms=driver.clock.now_ms() + limit_ms,
            on_result=lambda result, now_ms: self.results.append(result),
        )

    def step(self, driver: StoreDriver) -> None:
        """Tick the submission and perform the calls that it made."""
        self.submission.tick(driver.clock.now_ms())
        driver.answer(self.outbox)


def run_clients(driver: StoreDriver, clients: list[Client], duration_ms: int = 40_000) -> None:
    """Step the clients, each time in a random order, until all have a result."""
    end_ms = driver.clock.now_ms() + duration_ms
    while driver.clock.now_ms() < end_ms and not all(client.results for client in clients):
        driver.clock.advance(10)
        for client in driver.rng.sample(clients, len(clients)):
            client.step(driver)


def list_texts(driver: StoreDriver) -> list[str]:
    """Return the texts of all tickets, and check that their numbers have no gap."""
    reply = driver.apply(ListKeys(prefix="tickets/0"))
    assert isinstance(reply, KeysReply)
    count = len(reply.entries)
    assert [entry.key for entry in reply.entries] == [ticket_key(n + 1) for n in range(count)]
    return [entry.value for entry in reply.entries]


@pytest.mark.parametrize("seed", range(20))
def test_competing_submissions_with_lost_calls_leave_no_gap_and_one_winner(seed: int) -> None:
    """Guards against gaps, tickets committed twice and wrong results for a submitter (I10)."""
    driver = StoreDriver(ManualClock(), seed)
    driver.request_loss_rate, driver.answer_loss_rate = 0.2, 0.3
    clients = [Client(driver, n + 1, seed * 100 + n, limit_ms=30_000) for n in range(5)]
    run_clients(driver, clients)
    texts = list_texts(driver)
    assert Counter(texts).most_common(1)[0][1] == 1
    for client in clients:
        (result,) = client.results
        if isinstance(result, Accepted):
            assert texts[result.number - 1] == client.text
        elif isinstance(result, Conflict):
            assert client.text not in texts
            assert texts[result.number - 1] != client.text
            assert result.author == "operator"
        else:
            assert isinstance(result, Unknown) or client.text not in texts


def test_a_repeated_submission_is_recognised() -> None:
    """Guards against a ticket that is committed twice because its client was restarted."""
    driver = StoreDriver(ManualClock())
    for number in (1, 1, 2, 1):
        client = Client(driver, number, 1, limit_ms=30_000)
        run_clients(driver, [client])
        assert client.results == [Accepted(number=number)]
    assert len(list_texts(driver)) == 2


def test_a_ticket_with_findings_is_not_committed() -> None:
    """Guards against a commit despite findings, and a check against an outdated configuration."""
    driver = StoreDriver(ManualClock())
    run_clients(driver, [Client(driver, 1, 1, limit_ms=30_000)])
    client = Client(driver, 2, 1, findings="ticket: expected x", limit_ms=30_000)
    run_clients(driver, [client])
    assert client.results == [Rejected(findings="ticket: expected x")]
    assert set(client.checked[0].services) == {"s-1"}
    assert len(list_texts(driver)) == 1


@pytest.mark.parametrize(
    ("key", "value"),
    [(TICKET_HEAD, "²"), (TICKET_HEAD, "9" * 5_000), ("tickets/²", make_ticket(9))],
)
def test_a_submission_does_not_rest_on_an_odd_value_of_another_writer(key: str, value: str) -> None:
    """Guards against an error, or a wrong number, in place of the result of a submission."""
    driver = StoreDriver(ManualClock())
    driver.put(key, value)
    client = Client(driver, 1, seed=1, limit_ms=5_000)
    run_clients(driver, [client])
    assert client.results == [Accepted(number=1)]


def test_a_submission_without_platform_ends_at_its_deadline() -> None:
    """Guards against a client that hangs, or reports a committed ticket as rejected."""
    driver = StoreDriver(ManualClock())
    driver.request_loss_rate = 1.0
    client = Client(driver, 1, 1, limit_ms=5_000)
    run_clients(driver, [client])
    assert isinstance(client.results[0], Rejected)
    assert driver.clock.now_ms() <= 5_100
    driver.request_loss_rate, driver.answer_loss_rate = 0.0, 0.0
    late = Client(driver, 2, 1, limit_ms=5_000)
    for _ in range(3):
        late.step(driver)
        driver.answer_loss_rate = 1.0
    run_clients(driver, [late])
    assert isinstance(late.results[0], Accepted | Unknown | Rejected)
    if isinstance(late.results[0], Rejected):
        assert not list_texts(driver)
