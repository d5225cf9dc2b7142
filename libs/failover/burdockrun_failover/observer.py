"""Probes the members of which this node is home and decides their verdicts on the primary."""

import random
from collections.abc import Callable

from burdockrun_messages import (
    ActiveTerm,
    AskStatus,
    ControlReply,
    Member,
    MemberStatus,
    NodeInfo,
    Outbox,
    Verdict,
)

from burdockrun_failover.const import (
    DIRECT_SILENT_MS,
    FAST_PROBE_INTERVAL_MS,
    PRIMARY_FAST_PROBE_INTERVAL_MS,
    PRIMARY_SUSPECTED,
    PROBE_INTERVAL_MAX_MS,
    PROBE_INTERVAL_MIN_MS,
    PROBE_TIMEOUT_MS,
    STALE_VERDICT_MS,
    SUSPECT_AFTER_MS,
    SUSPICION_CLEARED,
    UPSTREAM_LOST_MS,
    UPSTREAM_LOST_ON_LOSSY_PATH_MS,
    UPSTREAM_SILENT_MS,
    VERDICT_REPEAT_MS,
)
from burdockrun_failover.detector import FailureDetector
from burdockrun_failover.group import Group
from burdockrun_failover.probes import ProbeBudget
from burdockrun_failover.verdicts import VerdictTable

OnStatus = Callable[[str, MemberStatus | None, int], None]


class Observer:
    """Probes the observed members of one group and exchanges verdicts with other homes.

    `on_status` gets the status that a probe returned, or None when the probe was not answered.
    """

    def __init__(
        self,
        group: Group,
        *,
        outbox: Outbox,
        budget: ProbeBudget,
        rng: random.Random,
        on_status: OnStatus,
    ) -> None:
        self.detector = FailureDetector()
        self.verdicts = VerdictTable()
        self._group = group
        self._outbox = outbox
        self._budget = budget
        self._rng = rng
        self._on_status = on_status
        self._probe_at_ms: dict[str, int] = {}
        self._probed_at_ms: dict[str, int] = {}
        self._answered_at_ms: dict[str, int] = {}
        self._suspicion_sent_at_ms: dict[str, int] = {}
        self._probe_generation = 0
        self._ignore_verdicts_until_ms = 0

    def clear(self, now_ms: int) -> None:
        """Discard all evidence after a pause, and ignore replies and verdicts from before it."""
        self._ignore_verdicts_until_ms = now_ms + STALE_VERDICT_MS
        self._probe_generation += 1
        self.detector.clear()
        self.verdicts.clear()
        self._suspicion_sent_at_ms.clear()
        self._probe_at_ms.clear()

    def receive_verdict(self, verdict: Verdict, now_ms: int) -> None:
        """Note the verdict of another home unless it may have been sent before a pause."""
        if now_ms >= self._ignore_verdicts_until_ms:
            self.verdicts.note(verdict, now_ms)

    def is_failure_confirmed(self, active: ActiveTerm, now_ms: int) -> bool:
        """Return whether this node and the homes of a majority consider the primary failed.

        A node starts a promotion only when its own evidence agrees with the verdicts of the others.
        """
        if not any(member.name in self._suspicion_sent_at_ms for member in self._group.observed):
            return False
        return self.verdicts.has_majority(active, now_ms)

    def note_response(self, member: str, now_ms: int) -> None:
        """Note that a member answered a statement."""
        self._answered_at_ms[member] = now_ms
        self.detector.note_statement_answer(member)

    def tick(self, now_ms: int) -> None:
        """Send the probes and verdicts that are due."""
        observed = self._group.observed
        self._forget_unobserved(observed)
        self._budget.note_observed(self._group.database.name, len(observed), now_ms)
        for member in observed:
            self._probe_if_due(member, now_ms)
        active = self._group.active
        if active is None or not self._group.is_active:
            return
        reported_failed = bool(self.verdicts.list_suspecting_observers(active, now_ms))
        self._probe_uncertain_primary(
            active, observed, reported_failed=reported_failed, now_ms=now_ms
        )
        for member in observed:
            if member.name in active.members:
                self._update_verdict(
                    member.name, active, reported_failed=reported_failed, now_ms=now_ms
                )

    def _forget_unobserved(self, observed: list[Member]) -> None:
        """Discard the evidence about members that this node no longer observes.

        The evidence about the primary is kept while the node is home of another member.
        """
        names = {member.name for member in observed}
        for name in [name for name in self._probe_at_ms if name not in names]:
            active = self._group.active
            if not observed or active is None or name != active.primary:
                self.detector.forget(name)
                del self._probe_at_ms[name]
                self._suspicion_sent_at_ms.pop(name, None)

    def _probe_uncertain_primary(
        self, active: ActiveTerm, observed: list[Member], *, reported_failed: bool, now_ms: int
    ) -> None:
        """Probe the primary from the homes of its replicas while its state is uncertain."""
        primary = self._group.addresses.get(active.primary)
        if primary is None or not observed or primary in observed:
            return
        silent_ms = max(
            self.detector.measure_upstream_silent_ms(member.name, active, now_ms)
            for member in observed
        )
        if reported_failed or silent_ms >= UPSTREAM_SILENT_MS:
            self._probe_if_due(primary, now_ms, fast=True)
        else:
            self.detector.note_response(primary.name)

    def _probe_if_due(self, member: Member, now_ms: int, *, fast: bool = False) -> None:
        due_ms = self._probe_at_ms.get(member.name)
        if due_ms is None:
            due_ms = now_ms + self._rng.randint(0, self._budget.find_interval_ms(now_ms) // 2)
            self._probe_at_ms[member.name] = due_ms
        if fast or self.detector.needs_fast_probes(member.name, self._group.active, now_ms):
            fast = True
            probed_at_ms = self._probed_at_ms.get(member.name, 0)
            due_ms = min(due_ms, probed_at_ms + self._find_fast_interval_ms(member.name))
        elif self._is_busy_primary(member.name, now_ms):
            due_ms = max(due_ms, self._probed_at_ms.get(member.name, 0) + PROBE_INTERVAL_MAX_MS)
        if now_ms < due_ms:
            return
        self._probed_at_ms[member.name] = now_ms
        self._probe_at_ms[member.name] = now_ms + self._budget.find_interval_ms(now_ms)
        if fast:
            self._outbox.wake_at(now_ms + self._find_fast_interval_ms(member.name))
        self.detector.note_probe(member.name, now_ms)
        self._outbox.count("failover.probes")
        probe_generation = self._probe_generation

        def on_reply(reply: ControlReply | None, now_ms: int) -> None:
            if probe_generation != self._probe_generation:
                return
            status = reply if isinstance(reply, MemberStatus) else None
            self._on_status(member.name, status, now_ms)

        self._outbox.call_control(
            member, AskStatus(), timeout_ms=PROBE_TIMEOUT_MS, on_reply=on_reply
        )

    def _find_fast_interval_ms(self, member: str) -> int:
        active = self._group.active
        if active is None or member != active.primary or self.detector.has_no_progress(member):
            return FAST_PROBE_INTERVAL_MS
        return PRIMARY_FAST_PROBE_INTERVAL_MS

    def _is_busy_primary(self, member: str, now_ms: int) -> bool:
        """Return whether answered statements already show that the primary works."""
        active = self._group.active
        if active is None or member != active.primary:
            return False
        completed_at_ms = self._answered_at_ms.get(member)
        return completed_at_ms is not None and now_ms - completed_at_ms < PROBE_INTERVAL_MIN_MS

    def _update_verdict(
        self, member: str, active: ActiveTerm, *, reported_failed: bool, now_ms: int
    ) -> None:
        failed = self._considers_failed(
            member, active, reported_failed=reported_failed, now_ms=now_ms
        )
        if not failed:
            if self._suspicion_sent_at_ms.pop(member, None) is not None:
                self._outbox.log(SUSPICION_CLEARED, database=self._group.database.name)
                self._send_verdict(member, active, failed=False, now_ms=now_ms)
            return
        sent_at_ms = self._suspicion_sent_at_ms.get(member)
        if sent_at_ms is None:
            self._outbox.log(
                PRIMARY_SUSPECTED,
                database=self._group.database.name,
                term=active.term,
                primary=active.primary,
                observer=member,
            )
            self._outbox.count("failover.suspicions")
        if sent_at_ms is None or now_ms - sent_at_ms >= VERDICT_REPEAT_MS:
            self._suspicion_sent_at_ms[member] = now_ms
            self._send_verdict(member, active, failed=True, now_ms=now_ms)

    def _considers_failed(
        self, member: str, active: ActiveTerm, *, reported_failed: bool, now_ms: int
    ) -> bool:
        detector = self.detector
        if member == active.primary:
            return detector.is_silent(member, now_ms) or detector.is_stuck(
                member, active, now_ms, confirming=False
            )
        upstream_silent_ms = detector.measure_upstream_silent_ms(member, active, now_ms)
        if upstream_silent_ms >= UPSTREAM_LOST_ON_LOSSY_PATH_MS:
            return True
        if upstream_silent_ms >= UPSTREAM_LOST_MS and detector.has_reliable_path(active.primary):
            return True
        if upstream_silent_ms >= SUSPECT_AFTER_MS and detector.is_silent(
            active.primary, now_ms, DIRECT_SILENT_MS
        ):
            return True
        return reported_failed and (
            detector.is_silent(active.primary, now_ms)
            or detector.is_stuck(active.primary, active, now_ms, confirming=True)
        )

    def _send_verdict(self, member: str, active: ActiveTerm, *, failed: bool, now_ms: int) -> None:
        status = self.detector.find_status(member)
        verdict = Verdict(
            database=self._group.database.name,
            term=active.term,
            primary=active.primary,
            observer=member,
            failed=failed,
            position=status.position if status is not None else None,
        )
        self.verdicts.note(verdict, now_ms)
        for home in self._list_other_homes(active):
            self._outbox.send_peer(home, verdict)

    def _list_other_homes(self, active: ActiveTerm) -> list[NodeInfo]:
        homes: dict[str, NodeInfo] = {}
        for name in active.members:
            member = self._group.addresses.get(name)
            if member is None or self._group.directory.is_home(member):
                continue
            home = self._group.directory.find_home(member)
            if home is not None:
                homes[home.node] = home
        return list(homes.values())
