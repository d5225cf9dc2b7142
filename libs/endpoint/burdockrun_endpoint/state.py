"""State of a member that its statements and its control operations share."""

from burdockrun_messages import Follow, LogPosition, MemberRole

from burdockrun_endpoint.log import EntryLog
from burdockrun_endpoint.models import LogEntry
from burdockrun_endpoint.replication import ReplicationProgress


class MemberState:
    """Log, term and role of a member.

    For a replica, `last_contact_ms` is when it last received a batch from its primary or began to
    follow it, `complete_until_ms` the time up to which it has all entries of the primary, and
    `round` the number of the last leadership check that it received. For a primary, `progress` is
    the replication progress of its term.
    """

    def __init__(self) -> None:
        self.log = EntryLog()
        self.term = 0
        self.role = MemberRole.FENCED
        self.upstream: Follow | None = None
        self.confirmed_index = 0
        self.progress: ReplicationProgress | None = None
        self.last_contact_ms: int | None = None
        self.complete_until_ms: int | None = None
        self.round = 0

    def change_role(self, role: MemberRole) -> None:
        """Change the role and clear the replication state of the previous one."""
        self.role = role
        self.upstream = None
        self.progress = None
        self.last_contact_ms = None
        self.complete_until_ms = None
        self.round = 0

    def append(self, entry: LogEntry, now_ms: int) -> LogPosition:
        """Append an entry as primary."""
        position = self.log.append(entry, now_ms)
        self.update_confirmed()
        return position

    def update_confirmed(self) -> None:
        """Advance the confirmed index to what a majority holds."""
        if self.progress is not None:
            self.confirmed_index = self.progress.compute_confirmed_index(
                self.log.last, self.confirmed_index
            )

    def lag_ms(self, now_ms: int) -> int | None:
        """Return the replication lag of the data, or None when it is not known."""
        if self.role is MemberRole.PRIMARY:
            return 0
        if self.role is MemberRole.FENCED or self.complete_until_ms is None:
            return None
        return max(0, now_ms - self.complete_until_ms)
