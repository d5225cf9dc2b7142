"""Exploration of all orders of answers of members that change their role."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import pytest
from burdockrun_statements import (
    NOT_RUN_CODES,
    Answer,
    Conclusion,
    ConnectionState,
    ErrorCode,
    PreparedShape,
    SessionState,
    Statement,
    StatementKind,
    StatementSequence,
    TransactionState,
    name_shape,
    plan_setup,
)
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule, run_state_machine_as_test

IDLE, OPEN, FAILED = TransactionState.IDLE, TransactionState.OPEN, TransactionState.FAILED
SHAPE = PreparedShape(writes=True, shape="q2c")
MAX_TRIES = 4
# What a member does with a statement: run it, refuse it with a code, run it and answer with a code
# that leaves open whether it ran, run it or not and close the connection, or not answer.
RUNS, CUT_BEFORE, CUT_AFTER, SILENT = "runs", "cut before", "cut after", "silent"
REFUSALS = {
    "BUSY": ErrorCode.BUSY,
    "LAGGING": ErrorCode.LAGGING,
    "READONLY": ErrorCode.READ_ONLY,
    "UNKNOWN": ErrorCode.UNKNOWN_NAME,
    "FAILED": ErrorCode.FAILED,
    "INDOUBT": ErrorCode.IN_DOUBT,
}
IN_DOUBT_AFTER_RUN = "in doubt after a run"
BEHAVIORS = st.sampled_from(
    [RUNS] * 6 + [*REFUSALS, IN_DOUBT_AFTER_RUN, CUT_BEFORE, CUT_AFTER, SILENT]
)
CHANGES = st.sampled_from([False] * 3 + [True])
# Codes with which a client is told that nothing is kept.
PROMISES = {ErrorCode.BUSY, ErrorCode.LAGGING, ErrorCode.READ_ONLY, ErrorCode.ABORTED}

Plan = Callable[..., StatementSequence]
Step = tuple[str, bool]


@dataclass
class Member:
    """Member with one connection, which does what `steps` say before and with each statement."""

    steps: Iterator[Step]
    leads: bool = True
    values: dict[str, str] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)
    state: TransactionState = IDLE
    pending: list[str] = field(default_factory=list)
    log: list[str] = field(default_factory=list)
    # State and values with which each statement of a client ran.
    runs: list[tuple[str, TransactionState, dict[str, str]]] = field(default_factory=list)

    def close(self) -> None:
        """Roll back and forget the session."""
        self.values, self.prepared, self.state, self.pending = {}, set(), IDLE, []

    def handle(self, statement: Statement) -> Answer | None:
        """Return the answer to a statement, or None when the connection has ended."""
        behavior, changes = next(self.steps)
        self.leads = self.leads is not changes
        if behavior in {CUT_BEFORE, SILENT}:
            self.close()
            return None
        if behavior in REFUSALS:
            return self._fail(statement, REFUSALS[behavior])
        answer = self._run(statement)
        if behavior == CUT_AFTER:
            self.close()
            return None
        if behavior == IN_DOUBT_AFTER_RUN and answer.error is None:
            return Answer(state=self.state, error=ErrorCode.IN_DOUBT)
        return answer

    def _fail(self, statement: Statement, code: ErrorCode) -> Answer:
        """Refuse; a setup statement that is refused leaves the transaction as it is."""
        if self.state is OPEN and statement.request_id:
            self.state, self.pending = FAILED, []
        return Answer(state=self.state, error=code)

    def _run(self, statement: Statement) -> Answer:
        match statement.kind:
            case StatementKind.RESET:
                self.values, self.prepared = {}, set()
            case StatementKind.SET:
                self.values[statement.name] = statement.argument or ""
            case StatementKind.PREPARE:
                self.prepared.add(statement.name)
            case StatementKind.BEGIN if not self.leads and not statement.read_only:
                return Answer(state=self.state, error=ErrorCode.READ_ONLY)
            case StatementKind.BEGIN:
                self.state, self.pending = OPEN, []
            case _:
                return self._run_data(statement)
        return Answer(state=self.state)

    def _run_data(self, statement: Statement) -> Answer:
        writes = statement.kind in {StatementKind.WRITE, StatementKind.EXECUTE}
        if statement.kind is StatementKind.EXECUTE and statement.name not in self.prepared:
            return self._fail(statement, ErrorCode.UNKNOWN_NAME)
        if self.state is FAILED:
            return Answer(state=FAILED, error=ErrorCode.MALFORMED)
        if not self.leads and (writes or self.pending):
            return self._fail(statement, ErrorCode.READ_ONLY)
        self.runs.append((statement.request_id, self.state, dict(self.values)))
        if writes and self.state is OPEN:
            self.pending.append(statement.request_id)
        elif writes:
            self.log.append(statement.request_id)
        elif statement.kind is StatementKind.COMMIT:
            self.log += self.pending
            self.state, self.pending = IDLE, []
        return Answer(state=self.state, signature=str(len(self.runs) - 1))


def plan_at_once(
    setup: list[Statement], statements: list[Statement], *, has_effect: bool
) -> StatementSequence:
    """Plan statements in one write with their setup and BEGIN, as if these could not be refused."""
    return StatementSequence(setup, statements, has_effect=False, through_home=True)


class Exploration(RuleBasedStateMachine):
    """Sessions of clients on one member connection; each runs one operation and leaves."""

    plan: Plan = staticmethod(StatementSequence)
    behaviors: st.SearchStrategy[str] = BEHAVIORS
    changes: st.SearchStrategy[bool] = CHANGES

    def __init__(self) -> None:
        super().__init__()
        self.data: st.DataObject | None = None
        self.member = Member(self._draw_steps())
        self.connection = ConnectionState()
        self.operations = 0
        self.asked: set[str] = set()
        self.promised: set[str] = set()
        self.allowed: dict[str, tuple[bool, dict[str, str]]] = {}

    @initialize(data=st.data())
    def start(self, data: st.DataObject) -> None:
        """Take the source of the member's behavior."""
        self.data = data

    def _draw_steps(self) -> Iterator[Step]:
        while True:
            assert self.data is not None
            yield self.data.draw(st.tuples(self.behaviors, self.changes))

    @rule(
        value=st.sampled_from(["", "nbg", "fsn"]),
        kind=st.sampled_from([StatementKind.READ, StatementKind.WRITE, StatementKind.EXECUTE]),
    )
    def run_single(self, value: str, kind: StatementKind) -> None:
        """Run one statement by itself; after a promise the gateway sends it again."""
        session = build_session(value)
        statement = self._build_statement(kind, session, in_transaction=False)
        self.asked.add(statement.request_id)
        for _ in range(MAX_TRIES):
            answer, may_have_run = self._exchange(session, [statement])
            if answer is None and (kind is StatementKind.READ or not may_have_run):
                continue
            self._roll_back(answer)
            if answer is None or answer.error not in PROMISES:
                break
        self._tell(answer, [statement.request_id], may_have_run=may_have_run)
        self._check()

    @rule(
        value=st.sampled_from(["", "nbg", "fsn"]),
        kind=st.sampled_from([StatementKind.READ, StatementKind.WRITE, StatementKind.EXECUTE]),
        late_value=st.sampled_from(["", "", "hel"]),
        commits=st.booleans(),
    )
    def run_transaction(
        self, value: str, kind: StatementKind, late_value: str, commits: bool
    ) -> None:
        """Run a transaction of one statement, with a value set before its COMMIT at times."""
        session = build_session(value)
        statement = self._build_statement(kind, session, in_transaction=True)
        begin = Statement(kind=StatementKind.BEGIN, request_id=f"b{self.operations}")
        for _ in range(MAX_TRIES):
            answer, _ = self._exchange(session, [begin, statement])
            if answer is not None and answer.error not in PROMISES:
                break
            self._roll_back(answer)
        if answer is None or answer.error is not None:
            self._roll_back(answer)
            self._tell(answer, [statement.request_id])
        elif commits:
            self._commit(session, statement, late_value)
        else:
            self._roll_back(answer)
        self._check()

    def _commit(self, session: SessionState, statement: Statement, late_value: str) -> None:
        if late_value:
            session.values["zone"] = late_value
        self.asked.add(statement.request_id)
        commit = Statement(kind=StatementKind.COMMIT, request_id=f"c{self.operations}")
        answer, may_have_run = self._exchange(session, [commit])
        self._roll_back(answer)
        self._tell(answer, [statement.request_id], may_have_run=may_have_run)

    def _build_statement(
        self, kind: StatementKind, session: SessionState, *, in_transaction: bool
    ) -> Statement:
        self.operations += 1
        name = name_shape(SHAPE) if kind is StatementKind.EXECUTE else "ward"
        statement = Statement(kind=kind, request_id=f"q{self.operations}", name=name)
        self.allowed[statement.request_id] = (in_transaction, dict(session.values))
        return statement

    def _exchange(
        self, session: SessionState, statements: list[Statement]
    ) -> tuple[Answer | None, bool]:
        """Send as the gateway does; return the answer, and whether the statement may have run."""
        last = statements[-1].kind
        shape = SHAPE if last is StatementKind.EXECUTE else None
        setup = plan_setup(self.connection, session, shape)
        sequence = self.plan(setup, statements, has_effect=last is not StatementKind.READ)
        before = len(self.member.runs)
        while part := sequence.take_sendable():
            answers = self._send(part)
            if answers is None:
                self.connection = ConnectionState()
                self._check_runs(sequence, None, before)
                return None, sequence.may_have_run
            sequence.add_answers(answers)
        conclusion = sequence.conclude()
        self._check_runs(sequence, conclusion, before)
        if not conclusion.keeps_connection:
            self._close()
        return conclusion.answers[-1], sequence.may_have_run

    def _check_runs(
        self, sequence: StatementSequence, conclusion: Conclusion | None, before: int
    ) -> None:
        """Check what is concluded of the statement that was sent last."""
        runs = self.member.runs[before:]
        assert sequence.may_have_run or not runs, "a statement counts as not run though it ran"
        if conclusion is None:
            return
        answer = conclusion.answers[-1]
        is_unwanted = any(not self._is_allowed(*run) for run in runs)
        assert not (is_unwanted and conclusion.keeps_connection), "an unwanted run may be kept"
        assert not runs or answer.error not in NOT_RUN_CODES, "a statement is refused though it ran"
        if answer.error is None:
            run = self.member.runs[int(answer.signature)]
            assert self._is_allowed(*run), "a statement that ran otherwise is a success"

    def _is_allowed(self, request_id: str, state: TransactionState, values: dict[str, str]) -> bool:
        """Return whether a statement ran in its transaction, if any, with its session's values."""
        if request_id not in self.allowed:
            return True  # a COMMIT
        return self.allowed[request_id] == (state is OPEN, values)

    def _send(self, part: list[Statement]) -> list[Answer] | None:
        answers = []
        for statement in part:
            answer = self.member.handle(statement)
            if answer is None:
                return None
            answers.append(answer)
        return answers

    def _close(self) -> None:
        self.member.close()
        self.connection = ConnectionState()

    def _roll_back(self, answer: Answer | None) -> None:
        """Close a connection that may be in a transaction."""
        if answer is not None and answer.state is not IDLE:
            self._close()

    def _tell(
        self, answer: Answer | None, request_ids: list[str], *, may_have_run: bool = False
    ) -> None:
        """Note what the client is told; without an answer, a statement in doubt is no promise."""
        is_promise = answer.error in PROMISES if answer is not None else not may_have_run
        if is_promise:
            self.promised.update(request_ids)

    def _check(self) -> None:
        log = Counter(self.member.log)
        assert [one for one, times in log.items() if times > 1] == [], "a write ran twice"
        assert set(log) - self.asked == set(), "a write was kept that its client did not ask for"
        assert set(log) & self.promised == set(), "a write was kept though it was refused"
        for request_id, state, values in self.member.runs:
            if request_id in self.allowed:
                in_transaction, expected = self.allowed[request_id]
                assert (state is OPEN) is in_transaction, "a statement ran outside"
                if self.is_strict_about(request_id):
                    assert values == expected, "a statement ran with other values"

    def is_strict_about(self, request_id: str) -> bool:
        """Return whether the statement must have run with the values of its session."""
        return request_id in self.member.log


def build_session(value: str) -> SessionState:
    """Return the state of a session with at most one value."""
    return SessionState(values={"zone": value} if value else {})


class ExplorationOfRoles(Exploration):
    """Statements at once, at a member that only changes its role."""

    plan: Plan = staticmethod(plan_at_once)
    behaviors = st.just(RUNS)


class ExplorationOfBusyMembers(Exploration):
    """Statements at once, at a member that leads and is busy at times."""

    plan: Plan = staticmethod(plan_at_once)
    behaviors = st.sampled_from([RUNS, RUNS, "BUSY"])
    changes = st.just(False)


SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=500,
    stateful_step_count=6,
    suppress_health_check=list(HealthCheck),
)
WITHOUT_SHRINKING = settings(
    SETTINGS,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


def test_no_order_of_answers_makes_a_statement_run_otherwise_than_its_client_is_told() -> None:
    """Guards against statements that run twice, unasked, though refused, outside, or otherwise."""
    run_state_machine_as_test(Exploration, settings=SETTINGS)


@pytest.mark.parametrize("exploration", [ExplorationOfRoles, ExplorationOfBusyMembers])
def test_the_exploration_finds_what_goes_wrong_with_statements_at_once(
    exploration: type[Exploration],
) -> None:
    """Guards against an exploration that would not notice what it asserts."""
    with pytest.raises(AssertionError, match=r"a write|a statement|an unwanted run"):
        run_state_machine_as_test(exploration, settings=WITHOUT_SHRINKING)
