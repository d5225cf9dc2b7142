"""Observations of the members of a group by one node, and detection of a failed primary."""

from dataclasses import dataclass

from burdockrun_messages import ActiveTerm, MemberRole, MemberStatus

from burdockrun_failover.const import (
    FAST_PROBE_AFTER_MS,
    PROBE_INTERVAL_MAX_MS,
    RELIABLE_PATH_PROBES,
    STATUS_FRESH_MS,
    STUCK_AFTER_MS,
    STUCK_CONFIRM_MS,
    STUCK_MIN_ANSWERS,
    SUSPECT_AFTER_MS,
    SUSPECT_MIN_PROBES,
    UPSTREAM_SILENT_MS,
)


@dataclass(kw_only=True, slots=True)
class Evidence:
    """Observations of one member.

    `silent_since_ms` is when the first probe after the last response was sent, and
    `unanswered_probes` the number of probes since then. `no_progress_since_ms` is the time since
    which the member has had pending statements and completed none, `no_progress_answers` the number
    of statuses that showed it. `non_primary_answers` counts consecutive statuses with another role
    than primary, `consecutive_answers` the statuses since the last lost probe.
    """

    status: MemberStatus | None = None
    status_at_ms: int = 0
    silent_since_ms: int | None = None
    unanswered_probes: int = 0
    no_progress_since_ms: int | None = None
    no_progress_answers: int = 0
    non_primary_answers: int = 0
    consecutive_answers: int = 0


class FailureDetector:
    """Evidence about the members of one group, and whether its primary has failed."""

    def __init__(self) -> None:
        self._members: dict[str, Evidence] = {}

    def clear(self) -> None:
        """Discard all evidence, as after a pause of the process."""
        self._members.clear()

    def forget(self, member: str) -> None:
        """Discard the evidence about one member."""
        self._members.pop(member, None)

    def find_status(self, member: str) -> MemberStatus | None:
        """Return the last status of a member, however old."""
        evidence = self._members.get(member)
        return evidence.status if evidence is not None else None

    def find_fresh_status(self, member: str, now_ms: int) -> MemberStatus | None:
        """Return the last status of a member unless it is older than `STATUS_FRESH_MS`."""
        evidence = self._members.get(member)
        if evidence is None or now_ms - evidence.status_at_ms > STATUS_FRESH_MS:
            return None
        return evidence.status

    def note_probe(self, member: str, now_ms: int) -> None:
        """Note that a probe was sent."""
        evidence = self._get_evidence(member)
        evidence.unanswered_probes += 1
        if evidence.silent_since_ms is None:
            evidence.silent_since_ms = now_ms

    def note_lost(self, member: str) -> None:
        """Note that a probe was not answered."""
        self._get_evidence(member).consecutive_answers = 0

    def note_response(self, member: str) -> None:
        """Note a response of any kind."""
        evidence = self._get_evidence(member)
        evidence.silent_since_ms = None
        evidence.unanswered_probes = 0

    def note_statement_answer(self, member: str) -> None:
        """Note that a member answered a statement, which counts as progress."""
        self.note_response(member)
        evidence = self._get_evidence(member)
        evidence.no_progress_since_ms = None
        evidence.no_progress_answers = 0

    def note_status(self, member: str, status: MemberStatus, now_ms: int) -> None:
        """Note the status of a member."""
        self.note_response(member)
        evidence = self._get_evidence(member)
        previous, previous_at_ms = evidence.status, evidence.status_at_ms
        evidence.status, evidence.status_at_ms = status, now_ms
        evidence.consecutive_answers += 1
        not_primary = status.role is not MemberRole.PRIMARY
        evidence.non_primary_answers = evidence.non_primary_answers + 1 if not_primary else 0
        no_progress = (
            previous is not None
            and status.pending > 0
            and previous.pending > 0
            and status.completed == previous.completed
            and status.term == previous.term
        )
        if not no_progress:
            evidence.no_progress_since_ms = None
            evidence.no_progress_answers = 0
            return
        evidence.no_progress_answers += 1
        if evidence.no_progress_since_ms is None:
            recent = now_ms - previous_at_ms <= PROBE_INTERVAL_MAX_MS
            evidence.no_progress_since_ms = previous_at_ms if recent else now_ms

    def has_no_progress(self, member: str) -> bool:
        """Return whether a member with pending statements completed none between two statuses."""
        evidence = self._members.get(member)
        return evidence is not None and evidence.no_progress_answers > 0

    def needs_fast_probes(self, member: str, active: ActiveTerm | None, now_ms: int) -> bool:
        """Return whether a member should be probed at the fast rate."""
        evidence = self._members.get(member)
        if evidence is None:
            return False
        silent_since_ms = evidence.silent_since_ms
        if silent_since_ms is not None and now_ms - silent_since_ms >= FAST_PROBE_AFTER_MS:
            return True
        status = evidence.status
        if evidence.no_progress_answers > 1:
            return True
        if status is None or active is None:
            return False
        silent_ms = status.upstream_silent_ms or 0
        return status.term < active.term or silent_ms >= UPSTREAM_SILENT_MS

    def is_silent(self, member: str, now_ms: int, limit_ms: int = SUSPECT_AFTER_MS) -> bool:
        """Return whether a member was silent for `limit_ms` and for `SUSPECT_MIN_PROBES` probes."""
        evidence = self._members.get(member)
        if evidence is None or evidence.silent_since_ms is None:
            return False
        silent_ms = now_ms - evidence.silent_since_ms
        return silent_ms >= limit_ms and evidence.unanswered_probes >= SUSPECT_MIN_PROBES

    def has_reliable_path(self, member: str) -> bool:
        """Return whether a member has answered enough probes in a row to rule out message loss."""
        evidence = self._members.get(member)
        return evidence is not None and evidence.consecutive_answers >= RELIABLE_PATH_PROBES

    def is_stuck(self, member: str, active: ActiveTerm, now_ms: int, *, confirming: bool) -> bool:
        """Return whether a primary answers probes but does not serve its term.

        `confirming` selects the shorter limit, for homes of replicas that confirm a failure.
        """
        evidence = self._members.get(member)
        if evidence is None:
            return False
        status = self.find_fresh_status(member, now_ms)
        if status is None:
            return False
        if status.term == active.term and evidence.non_primary_answers >= STUCK_MIN_ANSWERS:
            return True
        if (
            evidence.no_progress_since_ms is None
            or evidence.no_progress_answers < STUCK_MIN_ANSWERS
        ):
            return False
        limit_ms = STUCK_CONFIRM_MS if confirming else STUCK_AFTER_MS
        return now_ms - evidence.no_progress_since_ms >= limit_ms

    def measure_upstream_silent_ms(self, member: str, active: ActiveTerm, now_ms: int) -> int:
        """Return how long a replica of the active term has received nothing from its primary."""
        status = self.find_fresh_status(member, now_ms)
        if status is None or status.term != active.term or status.role is not MemberRole.REPLICA:
            return 0
        return status.upstream_silent_ms or 0

    def _get_evidence(self, member: str) -> Evidence:
        return self._members.setdefault(member, Evidence())
