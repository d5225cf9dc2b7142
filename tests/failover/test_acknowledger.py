"""Tests of the acknowledgement of writes."""

from collections.abc import Callable

import pytest
from burdockrun_failover import Acknowledger
from burdockrun_messages import (
    CallControl,
    ControlAnswered,
    LogPosition,
    Member,
    MemberRole,
    MemberStatus,
    Outbox,
)

MEMBER = Member(name="m0", domain="d", host="h", port=1, control_port=2)


class WaitingWrites:
    """Acknowledger with waiting writes; collects its open calls and the outcomes of the writes."""

    def __init__(self, *indexes: int) -> None:
        self.outbox = Outbox()
        self.acknowledger = Acknowledger(self.outbox)
        self.done: dict[int, bool] = {}
        for index in indexes:
            self.acknowledger.wait(MEMBER, 2, index, 1_000, self._record_outcome(index))
        self.calls = self.take_calls()

    def _record_outcome(self, index: int) -> Callable[[bool, int], None]:
        return lambda confirmed, _: self.done.update({index: confirmed})

    def take_calls(self) -> list[CallControl]:
        """Return the calls made since the last call of this method."""
        return [action for action in self.outbox.drain() if isinstance(action, CallControl)]

    def answer(self, term: int, role: MemberRole, confirmed: int) -> None:
        """Answer the first open call."""
        position = LogPosition(term=term, index=100)
        status = MemberStatus(
            member="m0", term=term, role=role, position=position, confirmed_index=confirmed
        )
        call_id = self.calls[0].call_id
        self.outbox.deliver_control_reply(ControlAnswered(call_id=call_id, reply=status), 5)


def test_one_reply_confirms_all_writes_up_to_its_index() -> None:
    """Guards against a call for each write under load, and against confirming later writes."""
    writes = WaitingWrites(*range(1, 21))
    assert len(writes.calls) == 4
    writes.answer(2, MemberRole.PRIMARY, 15)
    assert writes.done == dict.fromkeys(range(1, 16), True)


@pytest.mark.parametrize(
    ("term", "role"),
    [(3, MemberRole.PRIMARY), (3, MemberRole.FENCED), (2, MemberRole.FENCED)],
)
def test_ended_term_confirms_nothing(term: int, role: MemberRole) -> None:
    """Guards against a write acknowledged by a superseded primary."""
    writes = WaitingWrites(1, 2)
    writes.answer(term, role, 50)
    assert writes.done == {1: False, 2: False}


def test_call_is_repeated_after_a_lost_reply_until_the_deadline() -> None:
    """Guards against a write that hangs, or is reported as confirmed without a reply."""
    writes = WaitingWrites(1)
    writes.outbox.deliver_control_reply(
        ControlAnswered(call_id=writes.calls[0].call_id, reply=None), 5
    )
    writes.acknowledger.tick(50)
    assert len(writes.take_calls()) == 1
    writes.acknowledger.tick(999)
    assert writes.done == {}
    writes.acknowledger.tick(1_000)
    assert writes.done == {1: False}
