"""Finds out whether a write took effect whose answer was lost."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from burdockrun_failover import Acknowledger
from burdockrun_messages import (
    Code,
    ControlReply,
    GroupRecord,
    Member,
    Outbox,
    Outcome,
    Settle,
    Settled,
    StatementAnswer,
    StatementRequest,
)

from burdockrun_proxy.const import HELD_RECHECK_MS, SETTLE_TIMEOUT_MS
from burdockrun_proxy.models import answer_unknown, refuse, scope_request_id

OnSettled = Callable[[StatementAnswer, int], None]
FindPrimary = Callable[[str], tuple[GroupRecord, Member] | None]


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenQuestion:
    """Request whose effect is not known; `deadline_ms` is a point in time."""

    database: str
    request: StatementRequest
    deadline_ms: int
    on_settled: OnSettled


class Settlement:
    """Asks the current primary until the deadline whether a request id is in its log.

    The primary writes a tombstone when it is not, so "not run" stays true afterwards. A tombstone
    counts only once it is confirmed like any other write.
    """

    def __init__(
        self, outbox: Outbox, acknowledger: Acknowledger, find_primary: FindPrimary
    ) -> None:
        self._outbox = outbox
        self._acknowledger = acknowledger
        self._find_primary = find_primary
        self._retries: list[tuple[int, OpenQuestion]] = []

    def start(self, question: OpenQuestion, now_ms: int) -> None:
        """Settle a request; its `on_settled` is called once, at the deadline with `unknown`."""
        if now_ms >= question.deadline_ms:
            answer = answer_unknown(question.request, "effect not known at the deadline")
            question.on_settled(answer, now_ms)
            return
        found = self._find_primary(question.database)
        if found is None:
            self._retry_later(question, now_ms)
            return
        self._ask(question, *found)

    def tick(self, now_ms: int) -> None:
        """Start the retries that are due."""
        due = [question for at_ms, question in self._retries if at_ms <= now_ms]
        if not due:
            return
        self._retries = [item for item in self._retries if item[0] > now_ms]
        for question in due:
            self.start(question, now_ms)

    def _ask(self, question: OpenQuestion, record: GroupRecord, member: Member) -> None:
        term = record.active.term if record.active is not None else 0

        def replied(reply: ControlReply | None, now_ms: int) -> None:
            if not isinstance(reply, Settled):
                self._retry_later(question, now_ms)
                return
            self._confirm(question, reply, member, term)

        self._outbox.call_control(
            member,
            Settle(term=term, request_id=scope_request_id(question.request)),
            timeout_ms=SETTLE_TIMEOUT_MS,
            on_reply=replied,
        )

    def _confirm(self, question: OpenQuestion, settled: Settled, member: Member, term: int) -> None:
        def confirmed(held: bool, now_ms: int) -> None:
            if not held:
                self._retry_later(question, now_ms)
                return
            question.on_settled(_build_answer(question.request, settled, member.name), now_ms)

        self._acknowledger.wait(
            member, term, settled.position.index, question.deadline_ms, confirmed
        )

    def _retry_later(self, question: OpenQuestion, now_ms: int) -> None:
        self._retries.append((now_ms + HELD_RECHECK_MS, question))
        self._outbox.wake_at(now_ms + HELD_RECHECK_MS)


def _build_answer(request: StatementRequest, settled: Settled, member: str) -> StatementAnswer:
    if not settled.ran:
        # The session must not read from a member that lacks the tombstone: such a member may still
        # show the entry that the tombstone replaces.
        return replace(
            refuse(request, Code.ANSWER_LOST, "the request did not run and can no longer run"),
            term=settled.position.term,
            index=settled.position.index,
        )
    return StatementAnswer(
        request_id=request.request_id,
        outcome=Outcome.DONE,
        result=settled.result,
        member=member,
        term=settled.position.term,
        index=settled.position.index,
    )
