"""Submission of a change ticket by an operator's client."""

import json
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, auto

from burdockrun_messages import (
    Configuration,
    GetKey,
    KeyEntry,
    KeysReply,
    ListKeys,
    Outbox,
    PlatformOperation,
    PlatformReply,
    PutKey,
    PutReply,
)

from burdockrun_fleet.backoff import Backoff, PlatformClient
from burdockrun_fleet.const import KEPT_TICKETS, TICKET_HEAD, TICKET_PREFIX
from burdockrun_fleet.loader import SnapshotReader, read_ticket, ticket_key
from burdockrun_fleet.models import TicketFunctions
from burdockrun_fleet.numbers import read_number
from burdockrun_fleet.tickets import TicketApplier

_LIST_LIMIT = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The ticket is committed under this number."""

    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """Another ticket was committed under the number; this one was not committed."""

    number: int
    author: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejected:
    """The ticket was not committed, because of faults in it or because nothing was sent."""

    findings: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The platform did not say in time whether the ticket was committed."""

    reason: str


SubmissionResult = Accepted | Conflict | Rejected | Unknown


class _Step(Enum):
    HEAD = auto()
    LOAD = auto()
    CREATE = auto()
    READ_BACK = auto()
    DONE = auto()


class TicketSubmission:
    """Commits one ticket under the number that follows the newest.

    The commit is the creation of the ticket's key if it is absent, so nothing has to be undone
    after a failure. The text holds a `submission_id` and an `author`, by which the submitter
    recognises its own ticket after a lost answer or a repeated submission. `check` gets the
    configuration that the ticket would change and returns findings as text, empty if there are
    none. `on_result` is called once, at the latest at `deadline_ms`.
    """

    def __init__(
        self,
        text: str,
        outbox: Outbox,
        rng: random.Random,
        ticket_functions: TicketFunctions,
        *,
        check: Callable[[Configuration, str], str],
        deadline_ms: int,
        on_result: Callable[[SubmissionResult, int], None],
    ) -> None:
        self._text = text
        self._submission_id, _ = read_identity(text)
        self._platform = PlatformClient(outbox)
        self._applier = TicketApplier(ticket_functions, outbox)
        self._snapshot = SnapshotReader(self._applier, self._platform, rng)
        self._backoff = Backoff(rng)
        self._check = check
        self._deadline_ms = deadline_ms
        self._on_result = on_result
        self._step = _Step.HEAD
        self._waiting = False
        self._head = 0
        self._list_after = 0
        self._sent = False
        self._reason = "no answer from the platform"

    def tick(self, now_ms: int) -> None:
        """Perform the next step that is due, or end at the deadline."""
        if self._step is _Step.DONE:
            return
        if now_ms >= self._deadline_ms:
            self._finish(self._build_timeout_result(), now_ms)
            return
        if self._step is _Step.LOAD and not self._snapshot.done:
            self._snapshot.tick(now_ms)
            return
        if self._waiting or not self._backoff.is_ready(now_ms):
            return
        self._waiting = self._platform.call(self._next_operation(), self._receive, now_ms)

    def _next_operation(self) -> PlatformOperation:
        key = ticket_key(self._applier.number + 1)
        if self._step is _Step.HEAD:
            return GetKey(key=TICKET_HEAD)
        if self._step is _Step.LOAD:
            # Tickets before the snapshot are read too, to find an earlier submission of this one.
            after = self._list_after or max(0, self._applier.number - KEPT_TICKETS)
            start = ticket_key(after)
            return ListKeys(prefix=TICKET_PREFIX, start_after=start, limit=_LIST_LIMIT)
        if self._step is _Step.READ_BACK:
            return GetKey(key=key)
        self._sent = True
        return PutKey(key=key, value=self._text, expected_revision=0)

    def _receive(self, reply: PlatformReply, now_ms: int) -> None:
        self._waiting = False
        if self._step is _Step.DONE:
            return
        if isinstance(reply, KeysReply):
            self._receive_list(reply.entries, now_ms)
        elif isinstance(reply, PutReply):
            self._receive_put(reply, now_ms)
        elif isinstance(reply, KeyEntry):
            self._receive_key(reply, now_ms)
        else:
            self._backoff.fail(now_ms)
            if self._step is _Step.CREATE:
                self._step = _Step.READ_BACK
            return
        self._backoff.succeed()
        self.tick(now_ms)

    def _receive_key(self, entry: KeyEntry, now_ms: int) -> None:
        if self._step is _Step.HEAD:
            self._head = read_number(entry.value) or 0
            self._step = _Step.LOAD
        elif entry.revision == 0:
            self._step = _Step.CREATE
        else:
            self._check_stored(entry, now_ms)

    def _receive_list(self, entries: Sequence[KeyEntry], now_ms: int) -> None:
        tickets = [ticket for entry in entries if (ticket := read_ticket(entry)) is not None]
        for ticket in tickets:
            if self._submission_id and read_identity(ticket.text)[0] == self._submission_id:
                self._finish(Accepted(number=ticket.number), now_ms)
                return
        self._applier.receive(tickets, now_ms)
        if len(entries) >= _LIST_LIMIT and tickets:
            self._list_after = tickets[-1].number
            return
        if tickets and tickets[-1].number > self._applier.number:
            self._reason = f"tickets before {tickets[-1].number} are missing"
            self._restart(now_ms)
            return
        findings = self._check(self._applier.configuration, self._text)
        if findings:
            self._finish(Rejected(findings=findings), now_ms)
            return
        self._step = _Step.CREATE

    def _receive_put(self, reply: PutReply, now_ms: int) -> None:
        if reply.accepted:
            self._finish_committed(now_ms)
            return
        self._check_stored(reply.entry, now_ms)

    def _check_stored(self, entry: KeyEntry, now_ms: int) -> None:
        submission, author = read_identity(entry.value)
        if submission == self._submission_id and entry.value == self._text:
            self._finish_committed(now_ms)
            return
        self._finish(Conflict(number=self._applier.number + 1, author=author), now_ms)

    def _finish_committed(self, now_ms: int) -> None:
        number = self._applier.number + 1
        if number > self._head:
            # The head is only a hint; the list of tickets determines the newest number.
            self._platform.call(PutKey(key=TICKET_HEAD, value=str(number)), _ignore, now_ms)
        self._finish(Accepted(number=number), now_ms)

    def _restart(self, now_ms: int) -> None:
        self._backoff.fail(now_ms)
        self._snapshot.restart()
        self._list_after = 0

    def _build_timeout_result(self) -> SubmissionResult:
        if self._sent:
            return Unknown(reason=self._reason)
        return Rejected(findings=f"not submitted: {self._reason}")

    def _finish(self, result: SubmissionResult, now_ms: int) -> None:
        self._step = _Step.DONE
        self._on_result(result, now_ms)


def read_identity(text: str) -> tuple[str, str]:
    """Return submission id and author in the text of a ticket, empty where they are missing.

    >>> read_identity('{"submission_id": "s-1", "author": "eva"}')
    ('s-1', 'eva')
    >>> read_identity("[]")
    ('', '')
    """
    return _read_texts(text, "submission_id", "author")


def read_author(text: str) -> tuple[str, str]:
    """Return author and reason in the text of a ticket, empty where they are missing.

    >>> read_author('{"author": "eva", "reason": "move"}'), read_author("{")
    (('eva', 'move'), ('', ''))
    """
    return _read_texts(text, "author", "reason")


def _read_texts(text: str, first: str, second: str) -> tuple[str, str]:
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        return "", ""
    if not isinstance(document, dict):
        return "", ""
    return str(document.get(first, "")), str(document.get(second, ""))


def _ignore(reply: PlatformReply, now_ms: int) -> None:
    """Ignore the reply; the head is only a hint."""
