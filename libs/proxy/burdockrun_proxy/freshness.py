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
        # By member: a term, and the latest time as of which a majority followed it in that term.
        self._confirmed: dict[str, tuple[int, int]] = {}
        self._reads: dict[tuple[str, int], WaitingReads] = {}

    def find_confirmed_ms(self, member: str, term: int) -> int | None:
        """Return the latest time at which a member was certainly the primary, or None."""
        known_term, at_ms = self._confirmed.get(member, (0, 0))
        return at_ms if known_term == term else None

    def note_confirmed(self, member: str, term: int, at_ms: int) -> None:
        """Note that a member was the primary of a term at a time in ms."""
        self._confirmed[member] = max(self._confirmed.get(member, (0, 0)), (term, at_ms))

    def verify(self, member: Member, term: int, on_verified: OnVerified, now_ms: int) -> None:
        """Tell `on_verified` whether a control call begun from now on confirms the primary."""
        key = (member.name, term)
        reads = self._reads.setdefault(key, WaitingReads(member=member, term=term))
        reads.waiting.append(on_verified)
        if not reads.running:
            self._start_call(reads, now_ms)

    def _start_call(self, reads: WaitingReads, begun_ms: int) -> None:
        reads.running, reads.waiting = reads.waiting, []

        def replied(reply: ControlReply | None, now_ms: int) -> None:
            is_verified = confirms_primary(reply, reads.term)
            if is_verified:
                self.note_confirmed(reads.member.name, reads.term, begun_ms)
            self._finish_call(reads, is_verified, now_ms)

        self._outbox.call_control(
            reads.member,
            AwaitConfirmed(term=reads.term, index=0, wait_ms=FRESHNESS_WAIT_MS, fresh=True),
            timeout_ms=FRESHNESS_WAIT_MS + FRESHNESS_REPLY_MARGIN_MS,
            on_reply=replied,
        )

    def _finish_call(self, reads: WaitingReads, is_verified: bool, now_ms: int) -> None:
        done, reads.running = reads.running, []
        if reads.waiting:
            self._start_call(reads, now_ms)
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
