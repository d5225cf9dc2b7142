"""Tests of the home of one member and of its connection pool."""

from dataclasses import replace
from itertools import count

import pytest
from burdockrun_failover import Acknowledger
from burdockrun_messages import (
    Access,
    ActiveTerm,
    CloseConnection,
    ExecuteAnswer,
    ExecuteStatus,
    ForwardStatus,
    GroupRecord,
    GroupState,
    LogPosition,
    OpenConnection,
    Outbox,
    SendExecute,
    StatementRequest,
)
from burdockrun_proxy.const import CONNECTION_LINGER_MS
from burdockrun_proxy.freshness import FreshnessCheck
from burdockrun_proxy.home import MemberHome
from burdockrun_proxy.invariants import InvariantChecker, InvariantViolatedError
from burdockrun_proxy.models import HomeReply, HomeRequest
from burdockrun_proxy.policies import build_rank_scheduler
from burdockrun_proxy.pool import ConnectionPool
from burdockrun_proxy.settlement import Settlement
from burdockrun_routing import PositionTable

from tests.proxy.common import SERVICE

DATABASE = SERVICE.databases[0]
MEMBER = DATABASE.members[0]


def make_home(outbox: Outbox, primary: str, positions: PositionTable | None = None) -> MemberHome:
    """Return a home with one open connection and a record with `primary` in term 3."""
    ids = count(1)
    acknowledger = Acknowledger(outbox)
    home = MemberHome(
        database=DATABASE,
        member=MEMBER,
        node="vm1",
        outbox=outbox,
        ids=ids,
        positions=positions or PositionTable(),
        acknowledger=acknowledger,
        settlement=Settlement(outbox, acknowledger, lambda _: None),
        freshness=FreshnessCheck(outbox),
        invariants=InvariantChecker(outbox, strict=True),
        scheduler=build_rank_scheduler(SERVICE, DATABASE),
        on_response=lambda member, now_ms: None,
    )
    active = ActiveTerm(term=3, primary=primary, members=tuple(m.name for m in DATABASE.members))
    record = GroupRecord(database=DATABASE.name, term=3, state=GroupState.ACTIVE, active=active)
    home.learn_record(record, 0)
    home.set_budget(1, 0)
    for action in outbox.drain():
        if isinstance(action, OpenConnection):
            home.connection_opened(action.connection_id, 12)
    return home


def execute(home: MemberHome, access: Access, *, max_lag_ms: int | None = None) -> list[HomeReply]:
    """Send the home a request without a session token and return the list of its replies."""
    replies: list[HomeReply] = []
    request = StatementRequest(
        request_id="r1",
        account=SERVICE.account,
        database=DATABASE.name,
        statement="GET key",
        access=access,
    )
    home.accept(
        HomeRequest(
            request=request,
            rank=SERVICE.ranks[0].name,
            deadline_ms=1_000,
            required=None,
            max_lag_ms=max_lag_ms,
            on_reply=lambda reply, now_ms: replies.append(reply),
        ),
        20,
    )
    return replies


def test_current_read_is_not_run_at_a_member_that_is_no_longer_primary() -> None:
    """Guards against an unverified read when entry and home know different primaries."""
    outbox = Outbox()
    home = make_home(outbox, DATABASE.members[1].name)
    assert [reply.status for reply in execute(home, Access.READ)] == [ForwardStatus.NOT_PRIMARY]
    assert not any(isinstance(action, SendExecute) for action in outbox.drain())


def test_current_read_waits_for_the_verification_of_the_primary() -> None:
    """Guards against an answer of a primary that may have been superseded."""
    outbox = Outbox()
    home = make_home(outbox, MEMBER.name)
    assert execute(home, Access.READ) == []
    assert any(isinstance(action, SendExecute) for action in outbox.drain())


def test_closing_connection_counts_until_its_close_is_confirmed() -> None:
    """Guards against exceeding the connection limit while an old connection is closing."""
    outbox = Outbox()
    pool = ConnectionPool(MEMBER, outbox, count(1))
    pool.resize(2, 0)
    opened = [action for action in outbox.drain() if isinstance(action, OpenConnection)]
    assert len(opened) == 2
    pool.close(opened[0].connection_id)
    pool.resize(2, 10)
    assert [type(action) for action in outbox.drain()] == [CloseConnection]
    pool.confirm_closed(opened[0].connection_id)
    pool.resize(2, 20)
    assert [type(action) for action in outbox.drain()] == [OpenConnection]


def test_lost_connection_counts_until_the_endpoint_has_noticed() -> None:
    """Guards against exceeding the connection limit because of half-open connections."""
    outbox = Outbox()
    pool = ConnectionPool(MEMBER, outbox, count(1))
    pool.resize(1, 0)
    opened = [action for action in outbox.drain() if isinstance(action, OpenConnection)]
    pool.mark_open(opened[0].connection_id)
    pool.remove(opened[0].connection_id)
    pool.note_failure(1_000)
    pool.resize(1, 1_000 + CONNECTION_LINGER_MS - 1)
    assert outbox.drain() == []
    pool.resize(1, 1_000 + CONNECTION_LINGER_MS)
    assert [type(action) for action in outbox.drain()] == [OpenConnection]


def test_reuse_of_a_busy_connection_violates_an_invariant() -> None:
    """Guards against statements that share a connection unnoticed by the invariant check."""
    outbox = Outbox()
    home = make_home(outbox, MEMBER.name)
    execute(home, Access.WRITE)
    for connection in home.pool:
        home.pool.release(connection)
        connection.transaction = "vm1/other/1"
    with pytest.raises(InvariantViolatedError):
        execute(home, Access.WRITE)


def test_no_statement_runs_at_the_old_address_of_a_member() -> None:
    """Guards against statements at an endpoint that the ticket in force no longer names.

    The connection was busy when the address changed, and a tick passes before it is idle.
    """
    outbox = Outbox()
    home = make_home(outbox, MEMBER.name)
    execute(home, Access.WRITE)
    (sent,) = [action for action in outbox.drain() if isinstance(action, SendExecute)]
    moved = replace(MEMBER, host="10.9.9.9")
    home.configure(SERVICE, DATABASE, moved, 30)
    home.tick(50)
    answer = ExecuteAnswer(
        execution_id=sent.message.execution_id,
        status=ExecuteStatus.OK,
        position=LogPosition(term=3, index=2),
    )
    home.execute_answered(sent.connection_id, answer, 60)
    execute(home, Access.WRITE)
    reused = [action for action in outbox.drain() if isinstance(action, SendExecute)]
    assert sent.connection_id not in {action.connection_id for action in reused}


@pytest.mark.parametrize(
    ("term", "status"), [(2, ForwardStatus.BEHIND), (3, ForwardStatus.ANSWERED)]
)
def test_lag_of_a_member_without_entries_of_the_term_does_not_count(
    term: int, status: ForwardStatus
) -> None:
    """Guards against an old row from a superseded primary, which reports that it has no lag."""
    outbox = Outbox()
    home = make_home(outbox, DATABASE.members[1].name)
    replies = execute(home, Access.READ, max_lag_ms=500)
    (sent,) = [action for action in outbox.drain() if isinstance(action, SendExecute)]
    answer = ExecuteAnswer(
        execution_id=sent.message.execution_id,
        status=ExecuteStatus.OK,
        position=LogPosition(term=term, index=9),
        lag_ms=0,
    )
    home.execute_answered(sent.connection_id, answer, 60)
    assert [reply.status for reply in replies] == [status]


def test_a_read_that_waits_for_its_replica_is_returned_with_the_queue() -> None:
    """Guards against a read that has not run but is told as `unknown`, or to a link that closes."""
    outbox = Outbox()
    positions = PositionTable()
    for index, now_ms in ((1, 0), (100, 1_000)):
        position = LogPosition(term=3, index=index)
        positions.observe(DATABASE.name, MEMBER.name, position, 0, now_ms)
    home = make_home(outbox, DATABASE.members[1].name, positions)
    request = StatementRequest(
        request_id="r1",
        account=SERVICE.account,
        database=DATABASE.name,
        statement="GET key",
        access=Access.READ,
    )
    replies: list[HomeReply] = []
    waiting = HomeRequest(
        request=request,
        rank=SERVICE.ranks[0].name,
        deadline_ms=3_000,
        required=LogPosition(term=3, index=101),
        max_lag_ms=None,
        on_reply=lambda reply, now_ms: replies.append(reply),
    )
    home.accept(waiting, 1_001)
    assert (home.in_flight, replies) == (1, [])
    home.return_queued(1_002)
    assert [reply.status for reply in replies] == [ForwardStatus.NOT_HOME]
    home.tick(1_500)
    assert home.in_flight == 0
    assert not any(isinstance(action, SendExecute) for action in outbox.drain())
