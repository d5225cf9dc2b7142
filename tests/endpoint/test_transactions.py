"""Tests of transactions on the data connections of a member."""

from burdockrun_messages import ExecuteStatus, Fence, TransactionStep

from tests.endpoint.common import Group


def _begin(group: Group) -> int:
    connection = group.open("m0")
    group.send("m0", connection, "BEGIN", step=TransactionStep.BEGIN)
    assert group.wait("m0")[connection].status is ExecuteStatus.OK
    return connection


def _run_statement(group: Group, connection: int, statement: str) -> ExecuteStatus:
    group.send("m0", connection, statement, step=TransactionStep.STATEMENT)
    return group.wait("m0")[connection].status


def _commit(group: Group, connection: int, request_id: str) -> ExecuteStatus:
    group.send("m0", connection, "COMMIT", request_id, step=TransactionStep.COMMIT)
    return group.wait("m0")[connection].status


def test_writes_are_invisible_until_the_commit_appends_one_entry() -> None:
    """Guards against a log that contains only a part of a transaction."""
    group = Group()
    group.start_term(1, "m0")
    connection = _begin(group)
    _run_statement(group, connection, "PUT a 1")
    _run_statement(group, connection, "ADD b 2")
    assert group.run("m0", "GET a").result is None
    before = group.members["m0"].log.last.index
    assert _commit(group, connection, "c1") is ExecuteStatus.OK
    log = group.members["m0"].log
    assert (log.last.index, log.data) == (before + 1, {"a": "1", "b": 2})
    assert _commit(group, connection, "c1") is ExecuteStatus.OK
    assert log.last.index == before + 1


def test_second_of_two_transactions_on_one_key_fails() -> None:
    """Guards against a lost update between two transactions."""
    group = Group()
    group.start_term(1, "m0")
    first, second = _begin(group), _begin(group)
    for connection in (first, second):
        assert _run_statement(group, connection, "ADD a 1") is ExecuteStatus.OK
    assert _commit(group, first, "c1") is ExecuteStatus.OK
    assert _commit(group, second, "c2") is ExecuteStatus.ERROR
    assert group.members["m0"].log.data == {"a": 1}


def test_closed_connection_and_new_term_roll_back() -> None:
    """Guards against a transaction that outlives its connection or its term."""
    group = Group()
    group.start_term(1, "m0")
    closed, fenced = _begin(group), _begin(group)
    _run_statement(group, closed, "PUT a 1")
    _run_statement(group, fenced, "PUT b 1")
    group.members["m0"].close(closed)
    group.members["m0"].control(Fence(term=2), group.now_ms)
    assert _commit(group, fenced, "c1") is ExecuteStatus.WRONG_TERM
    assert group.members["m0"].log.data == {}


def test_connection_limit_is_enforced_and_counted() -> None:
    """Guards against a proxy that exceeds a member's connection limit unnoticed."""
    group = Group()
    member = group.members["m0"]
    opened = [member.open(number) for number in range(10, 16)]
    assert opened == [True] * 4 + [False] * 2
    assert (member.connections.peak_open, member.connections.refused) == (4, 2)
