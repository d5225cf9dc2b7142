"""Verification that a primary had not been superseded when a read arrived."""

from collections.abc import Callable
from dataclasses import dataclass, field

from burdockrun_messages import (
    AwaitConfirmed,
    ControlReply,
    Member,
    MemberRole,
    MemberStatus,
    Outbox,
)

from burdockrun_proxy.const import FRESHNESS_REPLY_MARGIN_MS, FRESHNESS_WAIT_MS

OnVerified = Callable[[bool, int], None]


@dataclass(kw_only=True, slots=True)
class WaitingReads:
    """Reads that wait for the current control call, and reads that need the next one."""

    member: Member
    term: int
    running: list[OnVerified] = field(default_factory=list)
    waiting: list[OnVerified] = field(default_factory=list)


class FreshnessCheck:
    """Asks a primary whether a majority still follows it, one call at a time for each member.

    A read that arrives during a call waits for the next one, because the call must begin after the
    read has arrived. This is ReadIndex of Raft (D. Ongaro, J. Ousterhout, 2014).
    """

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._reads: dict[tuple[str, int], WaitingReads] = {}

    def verify(self, member: Member, term: int, on_verified: OnVerified) -> None:
        """Tell `on_verified` whether a control call begun from now on confirms the primary."""
        key = (member.name, term)
        reads = self._reads.setdefault(key, WaitingReads(member=member, term=term))
        reads.waiting.append(on_verified)
        if not reads.running:
            self._start_call(reads)

    def _start_call(self, reads: WaitingReads) -> None:
        reads.running, reads.waiting = reads.waiting, []

        def replied(reply: ControlReply | None, now_ms: int) -> None:
            self._finish_call(reads, confirms_primary(reply, reads.term), now_ms)

        self._outbox.call_control(
            reads.member,
            AwaitConfirmed(term=reads.term, index=0, wait_ms=FRESHNESS_WAIT_MS, fresh=True),
            timeout_ms=FRESHNESS_WAIT_MS + FRESHNESS_REPLY_MARGIN_MS,
            on_reply=replied,
        )

    def _finish_call(self, reads: WaitingReads, is_verified: bool, now_ms: int) -> None:
        done, reads.running = reads.running, []
        if reads.waiting:
            self._start_call(reads)
        else:
            self._reads.pop((reads.member.name, reads.term), None)
        for on_verified in done:
            on_verified(is_verified, now_ms)


def confirms_primary(reply: ControlReply | None, term: int) -> bool:
    """Return whether a reply confirms that its sender is still the primary of `term`."""
    return (
        isinstance(reply, MemberStatus)
        and reply.fresh
        and reply.term == term
        and reply.role is MemberRole.PRIMARY
    )
