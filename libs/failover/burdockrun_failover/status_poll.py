"""Asks members of a group for their status once."""

from collections.abc import Callable, Iterable

from burdockrun_messages import AskStatus, ControlReply, Member, MemberStatus, Outbox

from burdockrun_failover.const import CONTROL_TIMEOUT_MS

OnPollDone = Callable[[dict[str, MemberStatus], int], None]


class StatusPoll:
    """One round of status calls; `on_done` gets the statuses once all calls have ended."""

    def __init__(self, members: Iterable[Member], outbox: Outbox, on_done: OnPollDone) -> None:
        self._on_done = on_done
        self._statuses: dict[str, MemberStatus] = {}
        self._unanswered: set[str] = set()
        for member in members:
            self._unanswered.add(member.name)
            self._ask(member, outbox)

    def _ask(self, member: Member, outbox: Outbox) -> None:
        def on_reply(reply: ControlReply | None, now_ms: int) -> None:
            self._receive(member.name, reply, now_ms)

        outbox.call_control(member, AskStatus(), timeout_ms=CONTROL_TIMEOUT_MS, on_reply=on_reply)

    def _receive(self, member: str, reply: ControlReply | None, now_ms: int) -> None:
        if isinstance(reply, MemberStatus):
            self._statuses[member] = reply
        self._unanswered.discard(member)
        if not self._unanswered:
            self._on_done(self._statuses, now_ms)
