"""Starts planned changes: another primary, other members, another acknowledgement rule."""

from collections.abc import Callable

from burdockrun_messages import ActiveTerm, MemberStatus, Outbox

from burdockrun_failover.ack_rule import AckRuleAdvisor
from burdockrun_failover.changes import PlannedChange, choose_target, find_change, is_feasible
from burdockrun_failover.const import (
    ACK_RULE_CHANGED,
    CHANGE_MAX_TRIES,
    CHANGE_REPEAT_MAX_MS,
    CHANGE_REPEAT_MS,
    STALL_AFTER_MS,
    UNREACHABLE_AT_HOME_MS,
)
from burdockrun_failover.group import Group
from burdockrun_failover.status_poll import StatusPoll
from burdockrun_failover.verdicts import VerdictTable

StartChange = Callable[[PlannedChange, str, int], bool]


class ChangeScheduler:
    """Decides when a planned change starts at this node.

    The home of the primary acts at once. Each further home in the lead order waits another
    `STALL_AFTER_MS`, and acts only if the homes before it have not. All members are asked for their
    status first, so that a change starts only when it can succeed. `start` gets the change, the
    member that shall be primary and the time in ms, and returns whether the change was started.
    """

    def __init__(
        self,
        group: Group,
        advisor: AckRuleAdvisor,
        verdicts: VerdictTable,
        outbox: Outbox,
        start: StartChange,
    ) -> None:
        self._group = group
        self._advisor = advisor
        self._verdicts = verdicts
        self._outbox = outbox
        self._start = start
        self._poll: StatusPoll | None = None
        self._due_since_ms: int | None = None
        self._next_at_ms = 0
        self._tries = 0
        self._requested: str | None = None

    def request(self, reason: str) -> None:
        """Request another primary; ignored while an earlier request is open."""
        if self._requested is None:
            self._requested = reason

    def clear(self) -> None:
        """Discard the poll in progress, as after a pause or with a new record."""
        self._poll = None
        self._due_since_ms = None

    def note_active(self, active: ActiveTerm, previous: ActiveTerm | None) -> None:
        """Note a new active term; a request is fulfilled when the primary has changed."""
        if previous is not None and previous.primary != active.primary:
            self._requested = None
            self._tries = 0

    def tick(self, now_ms: int) -> None:
        """Poll the members for a change that is due, if any; called while the record is active."""
        active = self._group.active
        if active is None or self._poll is not None or now_ms < self._next_at_ms:
            return
        if self._find_change(active, now_ms) is None:
            self._due_since_ms = None
            self._tries = 0
            return
        if self._due_since_ms is None:
            self._due_since_ms = now_ms
        lead_order = self._group.find_lead_order(primary_first=True)
        if lead_order is None or now_ms - self._due_since_ms < lead_order * STALL_AFTER_MS:
            return
        self._poll_members(active, now_ms)

    def _poll_members(self, active: ActiveTerm, now_ms: int) -> None:
        self._tries += 1
        if self._tries >= CHANGE_MAX_TRIES:
            self._requested = None
        doublings = min(self._tries - 1, 8)
        self._next_at_ms = now_ms + min(CHANGE_REPEAT_MS << doublings, CHANGE_REPEAT_MAX_MS)
        addresses = self._group.addresses
        members = [addresses[name] for name in active.members if name in addresses]

        def on_done(statuses: dict[str, MemberStatus], now_ms: int) -> None:
            if self._poll is poll:
                self._poll = None
                self._start_if_feasible(active, statuses, now_ms)

        poll = StatusPoll(members, self._outbox, on_done)
        self._poll = poll

    def _find_change(self, active: ActiveTerm, now_ms: int) -> PlannedChange | None:
        unreachable_ms = self._verdicts.measure_failed_ms(active.primary, active, now_ms)
        unreachable = unreachable_ms >= UNREACHABLE_AT_HOME_MS
        return find_change(
            active,
            self._group.database,
            requested="home cannot reach the primary" if unreachable else self._requested,
            advised=self._advisor.advise(active.ack_rule),
        )

    def _start_if_feasible(
        self, active: ActiveTerm, statuses: dict[str, MemberStatus], now_ms: int
    ) -> None:
        change = self._find_change(active, now_ms)
        if change is None or active != self._group.active or active.primary not in statuses:
            return
        target: str | None = active.primary
        if change.move_primary:
            target = choose_target(active, self._group.database, statuses)
        if target is None or not is_feasible(change, active, statuses):
            return
        if self._start(change, target, now_ms) and change.ack_rule is not active.ack_rule:
            self._outbox.log(
                ACK_RULE_CHANGED,
                database=self._group.database.name,
                rule=change.ack_rule.value,
                trail_ms=self._advisor.confirmation_lag_ms,
            )
