"""Probes the members of which this node is home and forms their verdicts on the primary."""

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
    DEAF_MS,
    DIRECT_SILENT_MS,
    PRIMARY_SUSPECTED,
    PROBE_DOUBT_MS,
    PROBE_MAX_MS,
    PROBE_MIN_MS,
    PROBE_SILENT_MS,
    PROBE_TIMEOUT_MS,
    SUSPECT_AFTER_MS,
    SUSPICION_CLEARED,
    UPSTREAM_DOUBT_MS,
    UPSTREAM_LOST_MS,
    UPSTREAM_LOST_ON_LOSSY_PATH_MS,
    VERDICT_REPEAT_MS,
)
from burdockrun_failover.detector import FailureDetector
from burdockrun_failover.group import Group
from burdockrun_failover.probes import ProbeBudget
from burdockrun_failover.verdicts import VerdictTable

OnStatus = Callable[[str, MemberStatus | None, int], None]


class Observer:
    """Observations of one node; `on_status` gets the outcome of each probe."""

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
        self._life_at_ms: dict[str, int] = {}
        self._suspecting: dict[str, int] = {}
        self._generation = 0
        self._deaf_until_ms = 0

    def clear(self, now_ms: int) -> None:
        """Forget all evidence, and ignore what was sent before and arrives only now."""
        self._deaf_until_ms = now_ms + DEAF_MS
        self._generation += 1
        self.detector.clear()
        self.verdicts.clear()
        self._suspecting.clear()
        self._probe_at_ms.clear()

    def receive_verdict(self, verdict: Verdict, now_ms: int) -> None:
        """Note the verdict of another home unless it may be from before a pause."""
        if now_ms >= self._deaf_until_ms:
            self.verdicts.note(verdict, now_ms)

    def considers_failed(self, active: ActiveTerm, now_ms: int) -> bool:
        """Return whether this node and the homes of a majority hold the primary for failed.

        A leader acts only when evidence of its own agrees with the verdicts of the others.
        """
        if not any(member.name in self._suspecting for member in self._group.observed):
            return False
        return self.verdicts.has_majority(active, now_ms)

    def note_response(self, member: str, now_ms: int) -> None:
        """Note that a member finished a statement."""
        self._life_at_ms[member] = now_ms
        self.detector.note_completion(member)

    def tick(self, now_ms: int) -> None:
        """Send the probes and verdicts that are due."""
        observed = self._group.observed
        self._forget_others(observed)
        self._budget.note_observed(self._group.database.name, len(observed), now_ms)
        for member in observed:
            self._probe_if_due(member, now_ms)
        active = self._group.active
        if active is None or not self._group.is_active:
            return
        accused = bool(self.verdicts.list_failed(active, now_ms))
        self._probe_doubted_primary(active, observed, accused=accused, now_ms=now_ms)
        for member in observed:
            if member.name in active.members:
                self._judge(member.name, active, accused=accused, now_ms=now_ms)

    def _forget_others(self, observed: list[Member]) -> None:
        """Drop the evidence about members whose home this node no longer is."""
        names = {member.name for member in observed}
        for name in [name for name in self._probe_at_ms if name not in names]:
            active = self._group.active
            if not observed or active is None or name != active.primary:
                self.detector.forget(name)
                del self._probe_at_ms[name]
                self._suspecting.pop(name, None)

    def _probe_doubted_primary(
        self, active: ActiveTerm, observed: list[Member], *, accused: bool, now_ms: int
    ) -> None:
        """Probe the primary from the homes of its replicas while there is doubt about it."""
        primary = self._group.addresses.get(active.primary)
        if primary is None or not observed or primary in observed:
            return
        silent_ms = max(
            self.detector.measure_upstream_silent_ms(member.name, active, now_ms)
            for member in observed
        )
        if accused or silent_ms >= UPSTREAM_DOUBT_MS:
            self._probe_if_due(primary, now_ms, doubted=True)
        else:
            self.detector.note_response(primary.name)

    def _probe_if_due(self, member: Member, now_ms: int, *, doubted: bool = False) -> None:
        due_ms = self._probe_at_ms.get(member.name)
        if due_ms is None:
            due_ms = now_ms + self._rng.randint(0, self._budget.find_interval_ms(now_ms) // 2)
            self._probe_at_ms[member.name] = due_ms
        if doubted or self.detector.is_unsure(member.name, self._group.active, now_ms):
            doubted = True
            probed_at_ms = self._probed_at_ms.get(member.name, 0)
            due_ms = min(due_ms, probed_at_ms + self._find_doubt_interval_ms(member.name))
        elif self._is_busy_primary(member.name, now_ms):
            due_ms = max(due_ms, self._probed_at_ms.get(member.name, 0) + PROBE_MAX_MS)
        if now_ms < due_ms:
            return
        self._probed_at_ms[member.name] = now_ms
        self._probe_at_ms[member.name] = now_ms + self._budget.find_interval_ms(now_ms)
        if doubted:
            self._outbox.wake_at(now_ms + self._find_doubt_interval_ms(member.name))
        self.detector.note_probe(member.name, now_ms)
        self._outbox.count("failover.probes")
        generation = self._generation

        def on_reply(reply: ControlReply | None, now_ms: int) -> None:
            if generation != self._generation:
                return
            status = reply if isinstance(reply, MemberStatus) else None
            self._on_status(member.name, status, now_ms)

        self._outbox.call_control(
            member, AskStatus(), timeout_ms=PROBE_TIMEOUT_MS, on_reply=on_reply
        )

    def _find_doubt_interval_ms(self, member: str) -> int:
        active = self._group.active
        if active is None or member != active.primary or self.detector.is_idle(member):
            return PROBE_SILENT_MS
        return PROBE_DOUBT_MS

    def _is_busy_primary(self, member: str, now_ms: int) -> bool:
        """Return whether answers to statements already show that the primary lives."""
        active = self._group.active
        if active is None or member != active.primary:
            return False
        life_at_ms = self._life_at_ms.get(member)
        return life_at_ms is not None and now_ms - life_at_ms < PROBE_MIN_MS

    def _judge(self, member: str, active: ActiveTerm, *, accused: bool, now_ms: int) -> None:
        failed = self._holds_failed(member, active, accused=accused, now_ms=now_ms)
        if not failed:
            if self._suspecting.pop(member, None) is not None:
                self._outbox.log(SUSPICION_CLEARED, database=self._group.database.name)
                self._send(member, active, failed=False, now_ms=now_ms)
            return
        said_at_ms = self._suspecting.get(member)
        if said_at_ms is None:
            self._outbox.log(
                PRIMARY_SUSPECTED,
                database=self._group.database.name,
                term=active.term,
                primary=active.primary,
                observer=member,
            )
            self._outbox.count("failover.suspicions")
        if said_at_ms is None or now_ms - said_at_ms >= VERDICT_REPEAT_MS:
            self._suspecting[member] = now_ms
            self._send(member, active, failed=True, now_ms=now_ms)

    def _holds_failed(self, member: str, active: ActiveTerm, *, accused: bool, now_ms: int) -> bool:
        detector = self.detector
        if member == active.primary:
            return detector.is_silent(member, now_ms) or detector.is_stuck(
                member, active, now_ms, confirming=False
            )
        lost_ms = detector.measure_upstream_silent_ms(member, active, now_ms)
        if lost_ms >= UPSTREAM_LOST_ON_LOSSY_PATH_MS:
            return True
        if lost_ms >= UPSTREAM_LOST_MS and detector.has_clean_path(active.primary):
            return True
        if lost_ms >= SUSPECT_AFTER_MS and detector.is_silent(
            active.primary, now_ms, DIRECT_SILENT_MS
        ):
            return True
        return accused and (
            detector.is_silent(active.primary, now_ms)
            or detector.is_stuck(active.primary, active, now_ms, confirming=True)
        )

    def _send(self, member: str, active: ActiveTerm, *, failed: bool, now_ms: int) -> None:
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
