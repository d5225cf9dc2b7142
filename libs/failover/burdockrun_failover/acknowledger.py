"""Waits for the confirmation of writes under their own term before they are acknowledged."""

from collections.abc import Callable
from dataclasses import dataclass, field

from burdockrun_messages import (
    AckRule,
    AwaitConfirmed,
    ControlReply,
    GroupRecord,
    Member,
    MemberRole,
    MemberStatus,
    Outbox,
)

from burdockrun_failover.const import (
    AWAIT_MAX_CALLS,
    AWAIT_MAX_WAIT_MS,
    AWAIT_REPLY_MARGIN_MS,
    AWAIT_RETRY_MS,
)

OnDone = Callable[[bool, int], None]


@dataclass(kw_only=True, slots=True)
class Waiter:
    """Write that waits for its confirmation, until `deadline_ms` (an absolute time)."""

    index: int
    deadline_ms: int
    on_done: OnDone


@dataclass(kw_only=True, slots=True)
class ConfirmationQueue:
    """Writes that wait for one member and term, and the indexes of the calls in flight."""

    member: Member
    term: int
    waiters: list[Waiter] = field(default_factory=list)
    in_flight: set[int] = field(default_factory=set)
    confirmed_index: int = 0
    retry_at_ms: int | None = None


class Acknowledger:
    """Waits until the primary of a term reports an index as held by a majority under that term.

    In a term with rule `primary`, known from `learn_record`, the answer of the primary suffices.
    At most `AWAIT_MAX_CALLS` calls are in flight for each member and term; a reply confirms all
    writes up to its confirmed index.
    """

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._queues: dict[tuple[str, int], ConfirmationQueue] = {}
        self._now_ms = 0
        self._primary_rule_terms: dict[str, tuple[str, int]] = {}

    def learn_record(self, record: GroupRecord, now_ms: int) -> None:
        """Note the acknowledgement rule of a database's last active term."""
        self._now_ms = max(self._now_ms, now_ms)
        active = record.active
        if active is not None and active.ack_rule is AckRule.PRIMARY:
            self._primary_rule_terms[record.database] = (active.primary, active.term)
        else:
            self._primary_rule_terms.pop(record.database, None)

    def wait(
        self, member: Member, term: int, index: int, deadline_ms: int, on_done: OnDone
    ) -> None:
        """Request the confirmation of a write; `on_done` gets False when it stays unconfirmed."""
        key = (member.name, term)
        if key in self._primary_rule_terms.values():
            on_done(True, self._now_ms)
            return
        queue = self._queues.setdefault(key, ConfirmationQueue(member=member, term=term))
        queue.waiters.append(Waiter(index=index, deadline_ms=deadline_ms, on_done=on_done))
        self._send_call(queue)

    def tick(self, now_ms: int) -> None:
        """Expire the writes whose deadline has passed and repeat lost calls."""
        self._now_ms = now_ms
        for key, queue in list(self._queues.items()):
            expired = [waiter for waiter in queue.waiters if waiter.deadline_ms <= now_ms]
            queue.waiters = [waiter for waiter in queue.waiters if waiter.deadline_ms > now_ms]
            if not queue.waiters:
                del self._queues[key]
            elif queue.retry_at_ms is not None and queue.retry_at_ms <= now_ms:
                queue.retry_at_ms = None
                self._send_call(queue)
            for waiter in expired:
                waiter.on_done(False, now_ms)

    def _send_call(self, queue: ConfirmationQueue) -> None:
        if queue.retry_at_ms is not None or len(queue.in_flight) >= AWAIT_MAX_CALLS:
            return
        uncalled_waiters = [
            waiter for waiter in queue.waiters if waiter.index not in queue.in_flight
        ]
        if not uncalled_waiters:
            return
        waiter = min(uncalled_waiters, key=lambda item: item.index)
        remaining_ms = waiter.deadline_ms - self._now_ms
        wait_ms = max(1, min(AWAIT_MAX_WAIT_MS, remaining_ms))
        index = waiter.index
        queue.in_flight.add(index)
        self._outbox.call_control(
            queue.member,
            AwaitConfirmed(term=queue.term, index=index, wait_ms=wait_ms),
            timeout_ms=wait_ms + AWAIT_REPLY_MARGIN_MS,
            on_reply=lambda reply, now_ms: self._receive(queue, index, reply, now_ms),
        )

    def _receive(
        self, queue: ConfirmationQueue, index: int, reply: ControlReply | None, now_ms: int
    ) -> None:
        self._now_ms = max(self._now_ms, now_ms)
        queue.in_flight.discard(index)
        if not isinstance(reply, MemberStatus) or reply.term < queue.term:
            self._retry_later(queue, now_ms)
            return
        if reply.term > queue.term or reply.role is not MemberRole.PRIMARY:
            self._finish(queue, queue.waiters, confirmed=False, now_ms=now_ms)
            return
        confirmed = [waiter for waiter in queue.waiters if waiter.index <= reply.confirmed_index]
        self._finish(queue, confirmed, confirmed=True, now_ms=now_ms)
        if reply.confirmed_index >= index:
            self._send_call(queue)
        else:
            self._retry_later(queue, now_ms)

    def _retry_later(self, queue: ConfirmationQueue, now_ms: int) -> None:
        if not queue.waiters:
            return
        queue.retry_at_ms = now_ms + AWAIT_RETRY_MS
        self._outbox.wake_at(queue.retry_at_ms)

    def _finish(
        self, queue: ConfirmationQueue, waiters: list[Waiter], *, confirmed: bool, now_ms: int
    ) -> None:
        done = {id(waiter) for waiter in waiters}
        queue.waiters = [waiter for waiter in queue.waiters if id(waiter) not in done]
        key = (queue.member.name, queue.term)
        if not queue.waiters and self._queues.get(key) is queue:
            del self._queues[key]
        for waiter in waiters:
            waiter.on_done(confirmed, now_ms)
