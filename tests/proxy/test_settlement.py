"""Tests of the settlement of writes whose answer was lost."""

from burdockrun_failover import Acknowledger
from burdockrun_messages import (
    Access,
    AckRule,
    ActiveTerm,
    AwaitConfirmed,
    CallControl,
    ControlAnswered,
    GroupRecord,
    GroupState,
    LogPosition,
    MemberRole,
    MemberStatus,
    Outbox,
    Outcome,
    Settle,
    Settled,
    StatementAnswer,
    StatementRequest,
)
from burdockrun_proxy.settlement import Settlement, UnsettledRequest

from tests.proxy.common import SERVICE

DATABASE = SERVICE.databases[0]
PRIMARY = DATABASE.members[0]
ACTIVE = ActiveTerm(
    term=5,
    primary=PRIMARY.name,
    members=tuple(member.name for member in DATABASE.members),
    ack_rule=AckRule.MAJORITY,
)
RECORD = GroupRecord(database=DATABASE.name, term=5, state=GroupState.ACTIVE, active=ACTIVE)
TOMBSTONE = LogPosition(term=5, index=7)


def test_request_settled_as_not_run_moves_the_session_to_its_tombstone() -> None:
    """Guards against a later read from a member that still shows the replaced entry."""
    outbox = Outbox()
    settlement = Settlement(outbox, Acknowledger(outbox), lambda _: (RECORD, PRIMARY))
    answers: list[StatementAnswer] = []
    request = StatementRequest(
        request_id="r1",
        account=SERVICE.account,
        database=DATABASE.name,
        statement="PUT key 1",
        access=Access.WRITE,
    )
    unsettled = UnsettledRequest(
        database=DATABASE.name,
        request=request,
        deadline_ms=1_000,
        on_settled=lambda answer, now_ms: answers.append(answer),
    )
    settlement.start(unsettled, 0)
    status = MemberStatus(
        member=PRIMARY.name,
        term=5,
        role=MemberRole.PRIMARY,
        position=TOMBSTONE,
        confirmed_index=TOMBSTONE.index,
    )
    for kind, reply in ((Settle, Settled(ran=False, position=TOMBSTONE)), (AwaitConfirmed, status)):
        calls = [action for action in outbox.drain() if isinstance(action, CallControl)]
        assert [type(call.operation) for call in calls] == [kind]
        outbox.deliver_control_reply(ControlAnswered(call_id=calls[0].call_id, reply=reply), 10)
    assert [(a.outcome, a.term, a.index) for a in answers] == [(Outcome.NOT_RUN, 5, 7)]
