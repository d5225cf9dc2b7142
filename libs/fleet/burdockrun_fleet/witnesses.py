"""Regular pings to witnesses, and reads of the roster when the pings yield no evidence."""

from burdockrun_fleet.const import EVIDENCE_LOST, EVIDENCE_READ_AFTER_MS, WITNESS_PING_INTERVAL_MS
from burdockrun_fleet.coordinator import NodeComponents
from burdockrun_fleet.membership import Membership
from burdockrun_fleet.roster_writer import RosterReader

# Peers relay the first confirmation to a new process within about this time.
_FIRST_READ_MS = 6_000
_READ_SPREAD_MS = 2_000
_CHECK_MS = 250


class WitnessProber:
    """Keeps this node's evidence fresh for each roster that lists it."""

    def __init__(self, components: NodeComponents, membership: Membership) -> None:
        self._components = components
        self._membership = membership
        self._readers: dict[str, RosterReader] = {}
        self._next_ping_ms: dict[str, int] = {}
        self._next_check_ms: dict[str, int] = {}
        self._turns: dict[str, int] = {}
        self._next_read_ms = 0
        self._was_fresh: dict[str, bool] = {}

    def start(self, now_ms: int) -> None:
        """Delay the first read from the platform until peers had time to relay a confirmation."""
        self._next_read_ms = (
            now_ms + _FIRST_READ_MS + self._components.rng.randint(0, _FIRST_READ_MS)
        )

    def ping_soon(self, now_ms: int) -> None:
        """Ping the witnesses soon, because a new generation needs new evidence."""
        soon_ms = now_ms + self._components.rng.randint(100, 600)
        for domain, due_ms in self._next_ping_ms.items():
            self._next_ping_ms[domain] = min(due_ms, soon_ms)

    def tick(self, now_ms: int) -> None:
        """Ping the next witness for each roster that lists this node, and check the evidence."""
        for roster in list(self._components.rosters.own.values()):
            witnesses = self._components.evidence.witnesses(roster)
            domain = roster.domain
            if witnesses and now_ms >= self._next_ping_ms.get(domain, 0):
                turn = self._turns[domain] = self._turns.get(domain, -1) + 1
                self._next_ping_ms[domain] = now_ms + WITNESS_PING_INTERVAL_MS // len(witnesses)
                info = self._membership.find(witnesses[turn % len(witnesses)])
                if info is not None:
                    self._membership.send_ping(info, now_ms)
            if now_ms >= self._next_check_ms.get(domain, 0):
                self._next_check_ms[domain] = now_ms + _CHECK_MS
                self._check(domain, now_ms)

    def _check(self, domain: str, now_ms: int) -> None:
        roster = self._components.rosters.rosters[domain]
        is_fresh = self._components.evidence.is_fresh(roster, now_ms)
        if self._was_fresh.get(domain, False) and not is_fresh:
            self._components.outbox.log(EVIDENCE_LOST, domain=domain, epoch=roster.epoch)
        self._was_fresh[domain] = is_fresh
        if now_ms < self._next_read_ms:
            return
        evidence_ms = self._components.evidence.find_latest(roster)
        if evidence_ms is not None and now_ms - evidence_ms < EVIDENCE_READ_AFTER_MS:
            return
        self._next_read_ms = (
            now_ms + _READ_SPREAD_MS + self._components.rng.randint(0, _READ_SPREAD_MS)
        )
        reader = self._readers.get(domain)
        if reader is None:
            components = self._components
            reader = self._readers[domain] = RosterReader(
                domain,
                platform=components.platform,
                table=components.rosters,
                evidence=components.evidence,
                outbox=components.outbox,
                rng=components.rng,
            )
        reader.read(now_ms)
