"""Determines whether a write whose answer was lost took effect."""

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

from burdockrun_proxy.const import RETRY_INTERVAL_MS, SETTLE_TIMEOUT_MS
from burdockrun_proxy.models import answer_unknown, refuse, scope_request_id

OnSettled = Callable[[StatementAnswer, int], None]
FindPrimary = Callable[[str], tuple[GroupRecord, Member] | None]


@dataclass(frozen=True, kw_only=True, slots=True)
class UnsettledRequest:
    """Write whose effect is unknown; `deadline_ms` is a point in time."""

    database: str
    request: StatementRequest
    deadline_ms: int
    on_settled: OnSettled


class Settlement:
    """Asks the current primary until the deadline whether a request id is in its log.

    If it is not, the primary writes a tombstone, which keeps the request from running later. The
    tombstone counts only once it is confirmed, like any other write.
    """

    def __init__(
        self, outbox: Outbox, acknowledger: Acknowledger, find_primary: FindPrimary
    ) -> None:
        self._outbox = outbox
        self._acknowledger = acknowledger
        self._find_primary = find_primary
        self._retries: list[tuple[int, UnsettledRequest]] = []

    def start(self, unsettled: UnsettledRequest, now_ms: int) -> None:
        """Settle a request; `on_settled` is called once, with `unknown` if the deadline passes."""
        if now_ms >= unsettled.deadline_ms:
            answer = answer_unknown(unsettled.request, "effect not known at the deadline")
            unsettled.on_settled(answer, now_ms)
            return
        found = self._find_primary(unsettled.database)
        if found is None:
            self._retry_later(unsettled, now_ms)
            return
        self._query_primary(unsettled, *found)

    def tick(self, now_ms: int) -> None:
        """Start the retries that are due."""
        due = [unsettled for at_ms, unsettled in self._retries if at_ms <= now_ms]
        if not due:
            return
        self._retries = [item for item in self._retries if item[0] > now_ms]
        for unsettled in due:
            self.start(unsettled, now_ms)

    def _query_primary(
        self, unsettled: UnsettledRequest, record: GroupRecord, member: Member
    ) -> None:
        term = record.active.term if record.active is not None else 0

        def replied(reply: ControlReply | None, now_ms: int) -> None:
            if not isinstance(reply, Settled):
                self._retry_later(unsettled, now_ms)
                return
            self._confirm(unsettled, reply, member, term)

        self._outbox.call_control(
            member,
            Settle(term=term, request_id=scope_request_id(unsettled.request)),
            timeout_ms=SETTLE_TIMEOUT_MS,
            on_reply=replied,
        )

    def _confirm(
        self, unsettled: UnsettledRequest, settled: Settled, member: Member, term: int
    ) -> None:
        def confirmed(is_confirmed: bool, now_ms: int) -> None:
            if not is_confirmed:
                self._retry_later(unsettled, now_ms)
                return
            unsettled.on_settled(_build_answer(unsettled.request, settled, member.name), now_ms)

        self._acknowledger.wait(
            member, term, settled.position.index, unsettled.deadline_ms, confirmed
        )

    def _retry_later(self, unsettled: UnsettledRequest, now_ms: int) -> None:
        self._retries.append((now_ms + RETRY_INTERVAL_MS, unsettled))
        self._outbox.wake_at(now_ms + RETRY_INTERVAL_MS)


def _build_answer(request: StatementRequest, settled: Settled, member: str) -> StatementAnswer:
    if not settled.ran:
        # The answer carries the position of the tombstone, because a member without the tombstone
        # may still show the entry that it replaces, and the session must not read from there.
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
