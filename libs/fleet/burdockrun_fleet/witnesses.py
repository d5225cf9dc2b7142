"""Regular pings to witnesses, and reads of the roster when these do not suffice."""

from burdockrun_fleet.const import EVIDENCE_LOST, EVIDENCE_READ_AFTER_MS, WITNESS_PING_INTERVAL_MS
from burdockrun_fleet.coordinator import NodeComponents
from burdockrun_fleet.membership import Membership
from burdockrun_fleet.roster_writer import RosterReader

# A new process gets its first confirmation from peers within about this time.
_FIRST_READ_MS = 6_000
_READ_SPREAD_MS = 2_000
_CHECK_MS = 250


class WitnessRounds:
    """Keeps this node's evidence fresh for each roster that lists it."""

    def __init__(self, components: NodeComponents, membership: Membership) -> None:
        self._components = components
        self._membership = membership
        self._readers: dict[str, RosterReader] = {}
        self._next_ping_ms: dict[str, int] = {}
        self._next_check_ms: dict[str, int] = {}
        self._turn: dict[str, int] = {}
        self._next_read_ms = 0
        self._fresh: dict[str, bool] = {}

    def start(self, now_ms: int) -> None:
        """Begin; no read of the platform happens while peers may still help."""
        self._next_read_ms = (
            now_ms + _FIRST_READ_MS + self._components.rng.randint(0, _FIRST_READ_MS)
        )

    def hasten(self, now_ms: int) -> None:
        """Ping soon, because a new generation needs new evidence."""
        soon_ms = now_ms + self._components.rng.randint(100, 600)
        for domain, due_ms in self._next_ping_ms.items():
            self._next_ping_ms[domain] = min(due_ms, soon_ms)

    def tick(self, now_ms: int) -> None:
        """Ping the next witness of each roster and read rosters without fresh evidence."""
        for roster in list(self._components.rosters.own.values()):
            witnesses = self._components.evidence.witnesses(roster)
            domain = roster.domain
            if witnesses and now_ms >= self._next_ping_ms.get(domain, 0):
                turn = self._turn[domain] = self._turn.get(domain, -1) + 1
                self._next_ping_ms[domain] = now_ms + WITNESS_PING_INTERVAL_MS // len(witnesses)
                info = self._membership.find(witnesses[turn % len(witnesses)])
                if info is not None:
                    self._membership.send_ping(info, now_ms)
            if now_ms >= self._next_check_ms.get(domain, 0):
                self._next_check_ms[domain] = now_ms + _CHECK_MS
                self._check(domain, now_ms)

    def _check(self, domain: str, now_ms: int) -> None:
        roster = self._components.rosters.rosters[domain]
        fresh = self._components.evidence.is_fresh(roster, now_ms)
        if self._fresh.get(domain, False) and not fresh:
            self._components.outbox.log(EVIDENCE_LOST, domain=domain, epoch=roster.epoch)
        self._fresh[domain] = fresh
        if now_ms < self._next_read_ms:
            return
        time_ms = self._components.evidence.time_of(roster)
        if time_ms is not None and now_ms - time_ms < EVIDENCE_READ_AFTER_MS:
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
