"""State of a member that its statements and its control operations share."""

from burdockrun_messages import Follow, LogPosition, MemberRole

from burdockrun_endpoint.log import EntryLog
from burdockrun_endpoint.models import LogEntry
from burdockrun_endpoint.replication import HeldEntries


class MemberState:
    """Log, term and role of a member.

    `last_contact_ms` is when a replica last heard its primary, `fresh_ms` the time whose data it
    holds completely, `held` what a primary knows about its replicas, `round` the last one that a
    replica received.
    """

    def __init__(self) -> None:
        self.log = EntryLog()
        self.term = 0
        self.role = MemberRole.FENCED
        self.upstream: Follow | None = None
        self.confirmed_index = 0
        self.held: HeldEntries | None = None
        self.last_contact_ms: int | None = None
        self.fresh_ms: int | None = None
        self.round = 0

    def take_role(self, role: MemberRole) -> None:
        """Take a role without an upstream or known replicas."""
        self.role = role
        self.upstream = None
        self.held = None
        self.last_contact_ms = None
        self.fresh_ms = None
        self.round = 0

    def append(self, entry: LogEntry, now_ms: int) -> LogPosition:
        """Add an entry as primary."""
        position = self.log.append(entry, now_ms)
        self.update_confirmed()
        return position

    def update_confirmed(self) -> None:
        """Advance the confirmed index to what a majority holds."""
        if self.held is not None:
            self.confirmed_index = self.held.confirmed(self.log.last, self.confirmed_index)

    def lag_ms(self, now_ms: int) -> int | None:
        """Return the age of the data, or None when it is not known."""
        if self.role is MemberRole.PRIMARY:
            return 0
        if self.role is MemberRole.FENCED or self.fresh_ms is None:
            return None
        return max(0, now_ms - self.fresh_ms)
