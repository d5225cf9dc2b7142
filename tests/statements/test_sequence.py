"""Tests of what the answers to statements prove of each."""

import pytest
from burdockrun_statements import (
    Answer,
    ErrorCode,
    PreparedShape,
    Statement,
    StatementKind,
    StatementSequence,
    TransactionState,
)

IDLE, OPEN, FAILED = TransactionState.IDLE, TransactionState.OPEN, TransactionState.FAILED
SHAPE = PreparedShape(writes=True, shape="q2c")
BEGIN = Statement(kind=StatementKind.BEGIN, request_id="q1")
READ = Statement(kind=StatementKind.READ, request_id="q2", name="ward")
WRITE = Statement(kind=StatementKind.WRITE, request_id="q2", name="ward", argument="v1")
EXECUTE = Statement(kind=StatementKind.EXECUTE, request_id="q2", name="w_q2c")
COMMIT = Statement(kind=StatementKind.COMMIT, request_id="q3")
RESET = Statement(kind=StatementKind.RESET)
SET = Statement(kind=StatementKind.SET, name="zone", argument="nbg")
PREPARE = Statement(kind=StatementKind.PREPARE, name="w_q2c", shape=SHAPE)


def answer(state: TransactionState = IDLE, error: ErrorCode | None = None) -> Answer:
    """Return an answer."""
    return Answer(state=state, error=error)


@pytest.mark.parametrize(
    ("setup", "statements", "has_effect", "parts"),
    [
        ([], [WRITE], True, [[WRITE]]),
        ([SET], [READ], False, [[SET, READ]]),
        ([RESET, SET], [WRITE], True, [[RESET, SET], [WRITE]]),
        ([SET], [COMMIT], True, [[SET], [COMMIT]]),
        ([PREPARE], [EXECUTE], True, [[PREPARE, EXECUTE]]),
        ([SET, PREPARE], [EXECUTE], True, [[SET, PREPARE], [EXECUTE]]),
        ([], [BEGIN, READ], False, [[BEGIN], [READ]]),
        ([SET], [BEGIN, READ], False, [[SET, BEGIN], [READ]]),
        ([SET], [BEGIN, WRITE], True, [[SET, BEGIN], [WRITE]]),
    ],
)
def test_a_statement_waits_for_what_must_precede_it(
    setup: list[Statement],
    statements: list[Statement],
    has_effect: bool,
    parts: list[list[Statement]],
) -> None:
    """Guards against a statement that a member runs without its BEGIN or its values."""
    sequence = StatementSequence(setup, statements, has_effect=has_effect)
    assert list_parts(sequence, OPEN if BEGIN in statements else IDLE) == parts


@pytest.mark.parametrize(
    ("setup", "statements", "has_effect", "parts"),
    [
        ([SET], [BEGIN, READ], False, [[SET, BEGIN, READ]]),
        ([RESET, SET], [WRITE], True, [[RESET, SET, WRITE]]),
        ([SET], [BEGIN, WRITE], True, [[SET, BEGIN], [WRITE]]),
    ],
)
def test_only_a_write_behind_a_begin_waits_at_the_node_that_uses_a_home(
    setup: list[Statement],
    statements: list[Statement],
    has_effect: bool,
    parts: list[list[Statement]],
) -> None:
    """Guards against a round trip between nodes for what the home does itself."""
    sequence = StatementSequence(setup, statements, has_effect=has_effect, through_home=True)
    assert list_parts(sequence, OPEN if BEGIN in statements else IDLE) == parts


def list_parts(sequence: StatementSequence, state: TransactionState) -> list[list[Statement]]:
    """Return what is sent in one write each, when a member answers all with success."""
    sent = []
    while part := sequence.take_sendable():
        sent.append(part)
        sequence.add_answers([answer(state)] * len(part))
    return sent


def test_a_read_waits_for_a_begin_that_may_be_refused() -> None:
    """Guards against a read outside of its transaction at a member that does not lead."""
    sequence = StatementSequence([], [BEGIN, READ], has_effect=False)
    assert sequence.take_sendable() == [BEGIN]
    sequence.add_answers([answer(IDLE, ErrorCode.READ_ONLY)])
    assert sequence.take_sendable() == []
    assert not sequence.may_have_run
    assert sequence.conclude().answers[-1] == answer(IDLE, ErrorCode.READ_ONLY)


@pytest.mark.parametrize(
    ("prepared", "executed", "told"),
    [
        (ErrorCode.BUSY, ErrorCode.UNKNOWN_NAME, ErrorCode.BUSY),
        (ErrorCode.FAILED, ErrorCode.UNKNOWN_NAME, ErrorCode.BUSY),
        (ErrorCode.FAILED, None, None),
        (ErrorCode.IN_DOUBT, ErrorCode.FAILED, ErrorCode.FAILED),
        (ErrorCode.BUSY, ErrorCode.IN_DOUBT, ErrorCode.IN_DOUBT),
    ],
)
def test_a_statement_behind_a_refused_prepare_is_judged_by_its_own_answer(
    prepared: ErrorCode, executed: ErrorCode | None, told: ErrorCode | None
) -> None:
    """Guards against a write that ran and is repeated, or is refused to its client."""
    sequence = StatementSequence([PREPARE], [EXECUTE], has_effect=True)
    sequence.take_sendable()
    sequence.add_answers([answer(IDLE, prepared), answer(IDLE, executed)])
    assert sequence.conclude().answers[-1].error is told


@pytest.mark.parametrize("state", [IDLE, FAILED])
def test_a_begin_that_opens_no_transaction_is_refused(state: TransactionState) -> None:
    """Guards against the answer to a BEGIN that is taken for that to the write behind it."""
    sequence = StatementSequence([], [BEGIN, WRITE], has_effect=True)
    sequence.take_sendable()
    sequence.add_answers([answer(state)])
    assert sequence.take_sendable() == []
    conclusion = sequence.conclude()
    assert conclusion.answers[-1].error is ErrorCode.BUSY
    assert not conclusion.keeps_connection


@pytest.mark.parametrize(
    ("statement", "told"), [(WRITE, ErrorCode.IN_DOUBT), (READ, ErrorCode.FAILED)]
)
def test_a_statement_that_ran_outside_of_its_transaction_is_no_success(
    statement: Statement, told: ErrorCode
) -> None:
    """Guards against a success, or a promise, for a write that committed by itself."""
    sequence = StatementSequence([], [BEGIN, statement], has_effect=statement is WRITE)
    for state in (OPEN, IDLE):
        sequence.take_sendable()
        sequence.add_answers([answer(state)])
    conclusion = sequence.conclude()
    assert conclusion.answers[-1].error is told
    assert not conclusion.keeps_connection


def test_a_read_that_ran_with_other_values_has_failed() -> None:
    """Guards against rows that a client gets, or a refusal of a read that has run."""
    sequence = StatementSequence([SET], [READ], has_effect=False)
    sequence.take_sendable()
    sequence.add_answers([answer(IDLE, ErrorCode.BUSY), answer()])
    conclusion = sequence.conclude()
    assert conclusion.answers[-1].error is ErrorCode.FAILED
    assert not conclusion.keeps_connection
