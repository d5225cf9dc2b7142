"""Lease under which this node may use a member as the primary of its group.

A node holds the lease in one of two ways:

- It has read the group record within the last `PRIMARY_LEASE_MS`. A promotion starts only when the
  previous primary no longer leads, when all nodes have acknowledged the change, or when the record
  has named no primary for longer than that.
- A majority of the known members, the primary among them, has reported within that time, and no
  member has reported since the record was confirmed that it is paused for a new term or knows a
  later one. A promotion pauses a majority for the new term before it waits for the leases to end.
  A member that is resumed or restarts does not report that it was paused. Its reports therefore
  count only if the node has heard of it, or of the record, at intervals shorter than any pause.
  A pause that ends with a restart may be as short as the wait of a promotion for the leases to end.
  When the store has not confirmed the members for `KNOWN_MEMBERS_MS`, all of them must report,
  since a promotion no longer counts those that have lapsed.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from burdockrun_base import LogPosition
from burdockrun_statements import MemberStatus

from burdockrun_groups.const import KNOWN_MEMBERS_MS, MAX_REPORT_GAP_MS, PRIMARY_LEASE_MS
from burdockrun_groups.models import GroupRecord, MemberEntry, StatusReport


def find_reported_primary(statuses: Mapping[str, MemberStatus], needed: int) -> str:
    """Return the only member that can lead according to its group, or an empty string.

    At least `needed` members must have reported, and none may be paused for a later term or know
    one.
    """
    leaders = [(status.term, name) for name, status in statuses.items() if status.is_primary]
    if not leaders or len(statuses) < needed:
        return ""
    term, leader = max(leaders)
    if any(max(status.held_term, status.term) > term for status in statuses.values()):
        return ""
    return leader


def _build_epoch(primary: str, term: int) -> str:
    """Return an identifier for a leadership that no record names."""
    return f"{primary}@{term}"


@dataclass(kw_only=True, slots=True)
class _Report:
    sent_ms: int
    status: MemberStatus
    # Whether the member cannot have been paused unseen since the record was confirmed.
    continuous: bool


@dataclass(kw_only=True, slots=True)
class PrimaryLease:
    """Lease on the primary of one group; all times are those at which a request was sent."""

    record: GroupRecord | None = None
    record_sent_ms: int = -PRIMARY_LEASE_MS
    members_sent_ms: int = -KNOWN_MEMBERS_MS
    # Whether promotions wait for the end of leases that this node holds by reports.
    may_use_reports: bool = True
    members: dict[str, MemberEntry] = field(default_factory=dict)
    reports: dict[str, _Report] = field(default_factory=dict)
    # Newest term that a member has reported since the record was confirmed last, and when.
    reported_term: int = 0
    reported_ms: int = 0

    def learn_record(self, record: GroupRecord) -> bool:
        """Accept a record unless a newer one is known; return whether it was accepted."""
        if self.record is not None and record.version() < self.record.version():
            return False
        self.record = record
        return True

    def confirm_record(self, record: GroupRecord | None, sent_ms: int) -> None:
        """Learn `record`, if given, and mark the known record as current as of `sent_ms`."""
        if record is not None:
            self.learn_record(record)
        self.record_sent_ms = max(self.record_sent_ms, sent_ms)
        self.confirm_members(sent_ms)
        if sent_ms > self.reported_ms:
            self.reported_term = 0

    def confirm_members(self, sent_ms: int) -> None:
        """Mark the known members as current as of `sent_ms`."""
        self.members_sent_ms = max(self.members_sent_ms, sent_ms)

    def add_report(self, member_id: str, report: StatusReport, received_ms: int) -> None:
        """Keep the status that a member has reported at some time between sending and receipt.

        Its term is kept for longer: a member that restarts, or is resumed before it follows the
        next primary, no longer reports the term for which it was paused.
        """
        status = report.status
        term = max(status.held_term, status.term)
        if term >= self.reported_term:
            self.reported_term, self.reported_ms = term, max(self.reported_ms, report.sent_ms)
        previous = self.reports.get(member_id)
        known_ms = self.record_sent_ms
        if previous is not None and previous.continuous:
            known_ms = max(known_ms, previous.sent_ms)
        since_ms = report.running_since_ms
        is_same_process = since_ms is not None and since_ms <= known_ms
        gap_ms = MAX_REPORT_GAP_MS if is_same_process else PRIMARY_LEASE_MS
        self.reports[member_id] = _Report(
            sent_ms=report.sent_ms, status=status, continuous=received_ms - known_ms < gap_ms
        )

    def forget_report(self, member_id: str) -> None:
        """Drop the report of a member whose process has been replaced."""
        self.reports.pop(member_id, None)

    def set_members(self, members: dict[str, MemberEntry]) -> None:
        """Replace the known members and drop the reports of those that are gone."""
        self.members = members
        for member_id in [known for known in self.reports if known not in members]:
            del self.reports[member_id]

    def has_record_lease(self, now_ms: int) -> bool:
        """Return whether the record was confirmed recently enough to act on it."""
        return self.record is not None and now_ms < self.record_sent_ms + PRIMARY_LEASE_MS

    def primary(self, now_ms: int) -> str:
        """Return the member that may be used as primary now, or an empty string."""
        if self.has_record_lease(now_ms):
            assert self.record is not None
            return self.record.primary
        return self._primary_by_reports(now_ms)

    def basis(self, now_ms: int) -> str:
        """Return what the primary follows from: `record`, `reports` (of members) or `none`."""
        if self.has_record_lease(now_ms):
            return "record"
        return "reports" if self._primary_by_reports(now_ms) else "none"

    def may_read(self, now_ms: int) -> bool:
        """Return whether the primary may be read: it leads, or has every acknowledged commit.

        One that is only named may never lead, and then the previous primary, whose last commits it
        may lack, leads again.
        """
        record = self.record
        if record is None or not self.has_record_lease(now_ms):
            return bool(self._primary_by_reports(now_ms))
        return bool(record.primary) and (record.promoted or record.complete)

    def floor(self, member_id: str) -> LogPosition | None:
        """Return the position that a member must apply before reads use it as the primary."""
        record = self.record
        return record.floor if record is not None and record.primary == member_id else None

    def epoch(self, now_ms: int) -> str:
        """Return an identifier for the leadership of the current primary, empty without one."""
        primary = self.primary(now_ms)
        if not primary:
            return ""
        if self.record is not None and self.record.primary == primary:
            return self.record.leadership()
        return _build_epoch(primary, self.reports[primary].status.term)

    def leads_still(self, epoch: str, now_ms: int) -> bool:
        """Return whether the leadership that `epoch` has identified goes on.

        One that was known by reports alone, by its term, may meanwhile have the first record of its
        group, which says for which term it was written. No member leads the same term twice.
        """
        current = self.epoch(now_ms)
        if current == epoch:
            return current != ""
        record = self.record
        if record is None or record.previous or record.primary != self.primary(now_ms):
            return False
        return current == record.leadership() and epoch == _build_epoch(
            record.primary, record.held_term
        )

    def _primary_by_reports(self, now_ms: int) -> str:
        """Return the only member that can lead according to recent reports of a majority."""
        recent = {
            member_id: report.status
            for member_id, report in self.reports.items()
            if now_ms < report.sent_ms + PRIMARY_LEASE_MS
            and (report.continuous or report.status.is_primary)
        }
        known_lately = now_ms < self.members_sent_ms + KNOWN_MEMBERS_MS
        needed = len(self.members) // 2 + 1 if known_lately else len(self.members)
        leader = find_reported_primary(recent, needed) if self.may_use_reports else ""
        if not leader:
            return ""
        term = recent[leader].term
        if self.record is not None and term < self.record.held_term:
            return ""
        if term < self.reported_term:
            return ""
        return leader
