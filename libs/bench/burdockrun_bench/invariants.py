"""Invariant checks made while a virtual cluster runs.

I1: a session reads its own writes. I2: an acknowledged write is never lost. I3: a transaction is
applied whole. I4: each request gets one answer, which holds its own result. I5: a request answered
`not_run` has not run. I6: a write is applied at most once. I7: a leaving member gets no new work.
I8: a drain ends without requests in flight. I9: a ticket comes into force in time and never
reverts. I10: a term has one primary, and tickets are numbered without gaps. I11: a database never
has more connections than its limit.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from burdockrun_endpoint import EntryLog
from burdockrun_messages import (
    Access,
    Code,
    JsonValue,
    LogPosition,
    Outcome,
    StatementAnswer,
    StatementRequest,
    TransactionStep,
)

from burdockrun_bench.loop import VirtualLoop

Changes = tuple[tuple[str, JsonValue], ...]


class InvariantError(AssertionError):
    """Raised for the first violation when the checks are strict."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Violation:
    """Violated invariant with the trace of the last events."""

    invariant: str
    at_ms: int
    text: str
    trace: tuple[str, ...]


@dataclass(kw_only=True, slots=True)
class RequestHistory:
    """Requests to one database and the outcomes reported to their callers.

    Keys are request ids as the database stores them. `expected` holds the changes that a request
    makes, or None when they depend on the data.
    """

    expected: dict[str, Changes | None] = field(default_factory=dict)
    acknowledged: dict[str, LogPosition] = field(default_factory=dict)
    not_run: set[str] = field(default_factory=set)
    unknown: set[str] = field(default_factory=set)


class Invariants:
    """Counts violations; `strict` raises at the first one.

    `checked` counts how often each invariant was checked, so that a run shows what it covers.

    `find_log` returns the log of the primary with the highest confirmed term of a database.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        find_log: Callable[[str], EntryLog | None],
        *,
        strict: bool = False,
    ) -> None:
        self.violations: list[Violation] = []
        self.outcomes: Counter[Outcome] = Counter()
        self.codes: Counter[str] = Counter()
        self.checked: Counter[str] = Counter()
        self.acknowledged_writes = 0
        self.failovers = 0
        self._loop = loop
        self._find_log = find_log
        self._strict = strict
        self._histories: dict[str, RequestHistory] = {}
        self._primaries: dict[tuple[str, int], str] = {}
        self._tickets: dict[int, str] = {}
        self._seen_tickets: dict[int, int] = {}
        self._answered: set[int] = set()

    def report(self, invariant: str, text: str) -> None:
        """Count a violation, once for each text."""
        if any(item.text == text for item in self.violations):
            return
        trace = tuple(self._loop.format_trace())
        violation = Violation(invariant=invariant, at_ms=self._loop.now_ms, text=text, trace=trace)
        self.violations.append(violation)
        if self._strict:
            raise InvariantError(f"{invariant} at {self._loop.now_ms} ms: {text}")

    def register_request(self, request: StatementRequest, changes: Changes | None) -> None:
        """Register a request before it is sent, with the changes that it makes."""
        self._history(request.database).expected[scope_request_id(request)] = changes

    def check_answer(
        self, caller_id: int, request: StatementRequest, answer: StatementAnswer
    ) -> None:
        """Check one answer when a node sends it (I2, I4, I5)."""
        if caller_id in self._answered:
            self.report("I4", f"{scope_request_id(request)} was answered twice")
        self._answered.add(caller_id)
        if answer.request_id != request.request_id:
            self.report("I4", f"{scope_request_id(request)} got the answer to {answer.request_id}")
        self.outcomes[answer.outcome] += 1
        self.codes[answer.code] += 1
        if not is_recorded(request):
            return
        history = self._history(request.database)
        identifier = scope_request_id(request)
        if answer.outcome is Outcome.DONE:
            self._check_acknowledged(history, request, answer)
        elif answer.outcome is Outcome.UNKNOWN:
            history.unknown.add(identifier)
        elif answer.code is not Code.DUPLICATE_CONFLICT and identifier not in history.unknown:
            history.not_run.add(identifier)

    def record_lost_answer(self, request: StatementRequest) -> None:
        """Record a request whose caller never learns its outcome."""
        self._history(request.database).unknown.add(scope_request_id(request))

    def check_read(self, text: str, result: JsonValue, allowed: set[JsonValue]) -> None:
        """Check that a session reads its own writes (I1)."""
        self.checked["I1"] += 1
        if result not in allowed:
            self.report("I1", f"{text} returned {result!r}, allowed {sorted(map(str, allowed))}")

    def check_result(self, text: str, result: JsonValue, expected: JsonValue) -> None:
        """Check that an answer holds the result of its own request (I4)."""
        self.checked["I4"] += 1
        if result != expected:
            self.report("I4", f"{text} returned {result!r}, expected {expected!r}")

    def check_promotion(self, database: str, member: str, term: int, log: EntryLog) -> None:
        """Check a new primary: one for each term, with every acknowledged write (I2, I6, I10)."""
        known = self._primaries.setdefault((database, term), member)
        if known != member:
            self.report("I10", f"{database} term {term} has primaries {known} and {member}")
        if any(name == database and other < term for name, other in self._primaries):
            self.failovers += 1
        self._check_log(database, f"primary {member} of term {term}", log)

    def check_ticket(self, number: int, text: str) -> None:
        """Check a committed ticket: no gap and only one for each number (I10)."""
        self.checked["I10"] += 1
        if number in self._tickets:
            self.report("I10", f"ticket {number} was committed twice")
        if self._tickets and number != max(self._tickets) + 1:
            self.report("I10", f"ticket {number} follows ticket {max(self._tickets)}")
        self._tickets[number] = text

    def check_ticket_in_force(self, process_id: int, node: str, number: int) -> None:
        """Check that the ticket in force at a process never reverts (I9)."""
        self.checked["I9"] += 1
        if number < self._seen_tickets.get(process_id, 0):
            self.report(
                "I9", f"{node} went back from ticket {self._seen_tickets[process_id]} to {number}"
            )
        self._seen_tickets[process_id] = number

    def report_late_ticket(self, node: str, number: int, late_ms: int) -> None:
        """Report a ticket that is not in force in time (I9)."""
        self.report("I9", f"{node} does not have ticket {number} after {late_ms} ms")

    def check_connections(self, database: str, count: int, limit: int) -> None:
        """Check the number of connections open to a database (I11)."""
        self.checked["I11"] += 1
        if count > limit:
            self.report("I11", f"{database} has {count} connections, limit {limit}")

    def report_late_work(self, member: str, late_ms: int, statement: str) -> None:
        """Report work sent to a member that has been leaving for too long (I7)."""
        self.report("I7", f"{member} got {statement!r} {late_ms} ms after it began to leave")

    def check_end(self, database: str, log: EntryLog) -> None:
        """Check the log of the last primary after all faults have ended (I2, I3, I5, I6)."""
        self._check_log(database, "last primary", log)
        history = self._history(database)
        for identifier in sorted(history.not_run):
            self.checked["I5"] += 1
            index = log.find_request(identifier)
            if index is not None and not log.entry(index).tombstone:
                self.report("I5", f"{identifier} was answered not_run and is log entry {index}")

    def _check_acknowledged(
        self, history: RequestHistory, request: StatementRequest, answer: StatementAnswer
    ) -> None:
        identifier = scope_request_id(request)
        position = LogPosition(term=answer.term or 0, index=answer.index or 0)
        if identifier not in history.acknowledged:
            self.acknowledged_writes += 1
        history.acknowledged[identifier] = position
        log = self._find_log(request.database)
        # Just after a primary has failed, the highest confirmed term left may be an earlier one.
        if log is None or log.last.term < position.term:
            return
        self.checked["I2"] += 1
        index = log.find_request(identifier)
        if index is None:
            self.report("I2", f"{identifier} acknowledged by a superseded primary at {position}")
        elif index != position.index:
            self.report("I2", f"{identifier} acknowledged at {position}, stored at {index}")

    def _check_log(self, database: str, owner: str, log: EntryLog) -> None:
        history = self._history(database)
        for identifier, position in history.acknowledged.items():
            if log.find_request(identifier) is None:
                self.report(
                    "I2", f"{identifier} acknowledged at {position}, not in the log of the {owner}"
                )
        seen: set[str] = set()
        for entry in log.entries:
            identifier = entry.request_id or ""
            if not identifier:
                continue
            if identifier in seen:
                self.report("I6", f"{identifier} is twice in the log of the {owner}")
            seen.add(identifier)
            if entry.tombstone:
                continue
            if identifier not in history.expected:
                self.report("I6", f"{identifier} in the log of the {owner} was never requested")
                continue
            expected = history.expected[identifier]
            self.checked["I3" if len(expected or ()) > 1 else "I6"] += 1
            found = tuple((change.key, change.value) for change in entry.changes)
            if expected is not None and found != expected:
                self.report("I3", f"{identifier} changed {found}, expected {expected}")

    def _history(self, database: str) -> RequestHistory:
        return self._histories.setdefault(database, RequestHistory())


def scope_request_id(request: StatementRequest) -> str:
    """Return the request id as the database stores it."""
    return f"{request.account}:{request.request_id}"


def is_recorded(request: StatementRequest) -> bool:
    """Return whether the request gets an entry of its own in the log."""
    if request.step is not None:
        return request.step is TransactionStep.COMMIT
    return request.access is Access.WRITE
