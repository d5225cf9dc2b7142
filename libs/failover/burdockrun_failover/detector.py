"""What one node has seen of the members of a group, and its verdict about the primary."""

from dataclasses import dataclass

from burdockrun_messages import ActiveTerm, MemberRole, MemberStatus

from burdockrun_failover.const import (
    CLEAN_PATH_PROBES,
    DOUBT_AFTER_MS,
    PROBE_MAX_MS,
    STATUS_FRESH_MS,
    STUCK_AFTER_MS,
    STUCK_CONFIRM_MS,
    STUCK_MIN_ANSWERS,
    SUSPECT_AFTER_MS,
    SUSPECT_MIN_PROBES,
    UPSTREAM_DOUBT_MS,
)


@dataclass(kw_only=True, slots=True)
class Evidence:
    """Signs of life of one member.

    `silent_since_ms` is when the first probe without an answer since the last sign of life was
    sent; `idle_since_ms` since when the member has work waiting and finishes nothing;
    `deposed_answers` counts statuses in a row that show another role than primary,
    `answered_in_row` answered probes since the last lost one.
    """

    status: MemberStatus | None = None
    status_at_ms: int = 0
    silent_since_ms: int | None = None
    unanswered: int = 0
    idle_since_ms: int | None = None
    idle_answers: int = 0
    deposed_answers: int = 0
    answered_in_row: int = 0


class FailureDetector:
    """Evidence about the members of one group, and whether its primary has failed."""

    def __init__(self) -> None:
        self._members: dict[str, Evidence] = {}

    def clear(self) -> None:
        """Forget all evidence, as after a pause of the process."""
        self._members.clear()

    def forget(self, member: str) -> None:
        """Forget the evidence about one member."""
        self._members.pop(member, None)

    def find_status(self, member: str) -> MemberStatus | None:
        """Return the last status of a member, however old."""
        evidence = self._members.get(member)
        return evidence.status if evidence is not None else None

    def find_fresh_status(self, member: str, now_ms: int) -> MemberStatus | None:
        """Return the last status of a member unless it is too old to judge by."""
        evidence = self._members.get(member)
        if evidence is None or now_ms - evidence.status_at_ms > STATUS_FRESH_MS:
            return None
        return evidence.status

    def note_probe(self, member: str, now_ms: int) -> None:
        """Note that a probe was sent."""
        evidence = self._find(member)
        evidence.unanswered += 1
        if evidence.silent_since_ms is None:
            evidence.silent_since_ms = now_ms

    def note_lost(self, member: str) -> None:
        """Note that a probe had no answer."""
        self._find(member).answered_in_row = 0

    def note_response(self, member: str) -> None:
        """Note an answer of any kind."""
        evidence = self._find(member)
        evidence.silent_since_ms = None
        evidence.unanswered = 0

    def note_completion(self, member: str) -> None:
        """Note that the member finished a statement."""
        self.note_response(member)
        evidence = self._find(member)
        evidence.idle_since_ms = None
        evidence.idle_answers = 0

    def note_status(self, member: str, status: MemberStatus, now_ms: int) -> None:
        """Note the status of a member."""
        self.note_response(member)
        evidence = self._find(member)
        previous, previous_at_ms = evidence.status, evidence.status_at_ms
        evidence.status, evidence.status_at_ms = status, now_ms
        evidence.answered_in_row += 1
        deposed = status.role is not MemberRole.PRIMARY
        evidence.deposed_answers = evidence.deposed_answers + 1 if deposed else 0
        idle = (
            previous is not None
            and status.pending > 0
            and previous.pending > 0
            and status.completed == previous.completed
            and status.term == previous.term
        )
        if not idle:
            evidence.idle_since_ms = None
            evidence.idle_answers = 0
            return
        evidence.idle_answers += 1
        if evidence.idle_since_ms is None:
            recent = now_ms - previous_at_ms <= PROBE_MAX_MS
            evidence.idle_since_ms = previous_at_ms if recent else now_ms

    def is_idle(self, member: str) -> bool:
        """Return whether a member with work waiting finished nothing between two statuses."""
        evidence = self._members.get(member)
        return evidence is not None and evidence.idle_answers > 0

    def is_unsure(self, member: str, active: ActiveTerm | None, now_ms: int) -> bool:
        """Return whether a member should be probed at the faster rate."""
        evidence = self._members.get(member)
        if evidence is None:
            return False
        silent_since_ms = evidence.silent_since_ms
        if silent_since_ms is not None and now_ms - silent_since_ms >= DOUBT_AFTER_MS:
            return True
        status = evidence.status
        if evidence.idle_answers > 1:
            return True
        if status is None or active is None:
            return False
        silent_ms = status.upstream_silent_ms or 0
        return status.term < active.term or silent_ms >= UPSTREAM_DOUBT_MS

    def is_silent(self, member: str, now_ms: int, limit_ms: int = SUSPECT_AFTER_MS) -> bool:
        """Return whether a member has left enough probes unanswered for `limit_ms`."""
        evidence = self._members.get(member)
        if evidence is None or evidence.silent_since_ms is None:
            return False
        silent_ms = now_ms - evidence.silent_since_ms
        return silent_ms >= limit_ms and evidence.unanswered >= SUSPECT_MIN_PROBES

    def has_clean_path(self, member: str) -> bool:
        """Return whether a member has answered many probes in a row."""
        evidence = self._members.get(member)
        return evidence is not None and evidence.answered_in_row >= CLEAN_PATH_PROBES

    def is_stuck(self, member: str, active: ActiveTerm, now_ms: int, *, confirming: bool) -> bool:
        """Return whether a primary answers probes but does not serve its term."""
        evidence = self._members.get(member)
        if evidence is None:
            return False
        status = self.find_fresh_status(member, now_ms)
        if status is None:
            return False
        if status.term == active.term and evidence.deposed_answers >= STUCK_MIN_ANSWERS:
            return True
        if evidence.idle_since_ms is None or evidence.idle_answers < STUCK_MIN_ANSWERS:
            return False
        limit_ms = STUCK_CONFIRM_MS if confirming else STUCK_AFTER_MS
        return now_ms - evidence.idle_since_ms >= limit_ms

    def measure_upstream_silent_ms(self, member: str, active: ActiveTerm, now_ms: int) -> int:
        """Return for how long a replica of the active term has not heard its primary."""
        status = self.find_fresh_status(member, now_ms)
        if status is None or status.term != active.term or status.role is not MemberRole.REPLICA:
            return 0
        return status.upstream_silent_ms or 0

    def _find(self, member: str) -> Evidence:
        return self._members.setdefault(member, Evidence())
