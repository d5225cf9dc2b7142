"""Proof that a primary had not been superseded when a read arrived."""

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

OnProof = Callable[[bool, int], None]


@dataclass(kw_only=True, slots=True)
class Rounds:
    """Reads that wait for the running round, and those that came after it began."""

    member: Member
    term: int
    running: list[OnProof] = field(default_factory=list)
    waiting: list[OnProof] = field(default_factory=list)


class FreshnessCheck:
    """Asks a primary whether a majority still follows it, one call at a time for each member.

    A read that arrives during a call waits for the next one, because the proof must begin after
    the read arrived. The rule is ReadIndex of Raft (D. Ongaro, J. Ousterhout, 2014).
    """

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._rounds: dict[tuple[str, int], Rounds] = {}

    def prove(self, member: Member, term: int, on_proof: OnProof) -> None:
        """Start a proof; `on_proof` gets whether the member was primary after this call."""
        key = (member.name, term)
        rounds = self._rounds.setdefault(key, Rounds(member=member, term=term))
        rounds.waiting.append(on_proof)
        if not rounds.running:
            self._begin(rounds)

    def _begin(self, rounds: Rounds) -> None:
        rounds.running, rounds.waiting = rounds.waiting, []

        def replied(reply: ControlReply | None, now_ms: int) -> None:
            self._end(rounds, is_proof(reply, rounds.term), now_ms)

        self._outbox.call_control(
            rounds.member,
            AwaitConfirmed(term=rounds.term, index=0, wait_ms=FRESHNESS_WAIT_MS, fresh=True),
            timeout_ms=FRESHNESS_WAIT_MS + FRESHNESS_REPLY_MARGIN_MS,
            on_reply=replied,
        )

    def _end(self, rounds: Rounds, proven: bool, now_ms: int) -> None:
        done, rounds.running = rounds.running, []
        if rounds.waiting:
            self._begin(rounds)
        else:
            self._rounds.pop((rounds.member.name, rounds.term), None)
        for on_proof in done:
            on_proof(proven, now_ms)


def is_proof(reply: ControlReply | None, term: int) -> bool:
    """Return whether a reply shows that its sender is still the primary of `term`."""
    return (
        isinstance(reply, MemberStatus)
        and reply.fresh
        and reply.term == term
        and reply.role is MemberRole.PRIMARY
    )
