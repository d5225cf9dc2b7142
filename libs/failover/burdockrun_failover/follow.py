"""Makes members follow the primary of the active term."""

from burdockrun_messages import (
    ActiveTerm,
    ControlReply,
    Follow,
    Member,
    MemberRole,
    MemberStatus,
    Outbox,
)

from burdockrun_failover.const import (
    CONTROL_TIMEOUT_MS,
    FOLLOW_REPEAT_MS,
    MEMBER_TOLD_TO_FOLLOW,
)
from burdockrun_failover.detector import FailureDetector
from burdockrun_failover.group import Group


class FollowRepeater:
    """Repeats `Follow` to each observed member until its status shows that it follows."""

    def __init__(self, group: Group, detector: FailureDetector, outbox: Outbox) -> None:
        self._group = group
        self._detector = detector
        self._outbox = outbox
        self._sent_at_ms: dict[str, int] = {}

    def tick(self, now_ms: int) -> None:
        """Send the `Follow` operations that are due; none while a new term is being prepared."""
        active = self._group.active
        if active is None or not self._group.is_active:
            return
        primary = self._group.addresses.get(active.primary)
        if primary is None:
            return
        for member in self._group.observed:
            if member.name != active.primary and member.name in active.members:
                self._send_if_needed(member, primary, active, now_ms)

    def _send_if_needed(
        self, member: Member, primary: Member, active: ActiveTerm, now_ms: int
    ) -> None:
        status = self._detector.find_fresh_status(member.name, now_ms)
        if status is None or not needs_follow(status, active.term):
            return
        sent_at_ms = self._sent_at_ms.get(member.name)
        if sent_at_ms is not None and now_ms - sent_at_ms < FOLLOW_REPEAT_MS:
            return
        self._sent_at_ms[member.name] = now_ms
        self._outbox.log(
            MEMBER_TOLD_TO_FOLLOW,
            database=self._group.database.name,
            term=active.term,
            member=member.name,
        )

        def on_reply(reply: ControlReply | None, now_ms: int) -> None:
            if isinstance(reply, MemberStatus):
                self._detector.note_status(member.name, reply, now_ms)

        self._outbox.call_control(
            member,
            Follow(
                term=active.term,
                primary=primary.name,
                host=primary.host,
                control_port=primary.control_port,
            ),
            timeout_ms=CONTROL_TIMEOUT_MS,
            on_reply=on_reply,
        )


def needs_follow(status: MemberStatus, term: int) -> bool:
    """Return whether a member that is not the primary must be told to follow in `term`."""
    if status.term != term:
        return status.term < term
    return status.role is not MemberRole.REPLICA
