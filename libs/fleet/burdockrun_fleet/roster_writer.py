"""Maintenance of a domain's roster by its coordinator."""

import random
from collections.abc import Callable, Mapping
from dataclasses import replace

from burdockrun_messages import (
    GetKey,
    KeyEntry,
    NodeInfo,
    Outbox,
    PlatformReply,
    PutKey,
    PutReply,
    Roster,
    decode_message,
    encode_message,
)
from result import Err

from burdockrun_fleet.backoff import Backoff, PlatformClient
from burdockrun_fleet.const import (
    RECORD_UNUSABLE,
    ROSTER_BATCH_DELAY_MS,
    ROSTER_CHECK_INTERVAL_MS,
    ROSTER_MIN_GAP_MS,
    ROSTER_PREFIX,
    ROSTER_READ_INTERVAL_MS,
)
from burdockrun_fleet.evidence import Evidence, find_supported
from burdockrun_fleet.rosters import RosterTable, list_previous, next_generation
from burdockrun_fleet.vms import VmList


class RosterReader:
    """Reads one roster from the platform and records the read as evidence for this node."""

    def __init__(
        self,
        domain: str,
        *,
        platform: PlatformClient,
        table: RosterTable,
        evidence: Evidence,
        outbox: Outbox,
        rng: random.Random,
    ) -> None:
        self.revision: int | None = None
        self.waiting = False
        self._domain = domain
        self._platform = platform
        self._table = table
        self._evidence = evidence
        self._outbox = outbox
        self._backoff = Backoff(rng)

    def read(self, now_ms: int) -> None:
        """Start a read unless one is outstanding or a backoff is running."""
        if self.waiting or not self._backoff.is_ready(now_ms):
            return

        def finish(reply: PlatformReply, then_ms: int) -> None:
            self.waiting = False
            if not isinstance(reply, KeyEntry):
                self._backoff.fail(then_ms)
                return
            self._backoff.succeed()
            if self.learn_entry(reply, then_ms):
                self._evidence.note_confirmation(self._domain, now_ms)

        operation = GetKey(key=ROSTER_PREFIX + self._domain)
        self.waiting = self._platform.call(operation, finish, now_ms)

    def learn_entry(self, entry: KeyEntry, now_ms: int) -> bool:
        """Learn the roster in a store entry; return whether the entry holds a valid one."""
        self.revision = entry.revision
        if entry.revision == 0:
            return False
        roster = decode_message(Roster, entry.value)
        if isinstance(roster, Err):
            self._outbox.log(RECORD_UNUSABLE, key=entry.key, reason=roster.err_value)
            return False
        self._table.learn(roster.ok_value, now_ms)
        return True


class RosterWriter:
    """Writes a new roster generation when the set of nodes changes, and seals each generation.

    The next generation is written only after the current one is sealed. A node of the previous
    generation is outdated until it has reported the current generation or is gone from the
    platform's VM list. The current generation is sealed once no outdated node can still gather
    evidence.
    """

    def __init__(
        self,
        domain: str,
        *,
        platform: PlatformClient,
        table: RosterTable,
        reader: RosterReader,
        vms: VmList,
        may_act: Callable[[int], bool],
    ) -> None:
        self.find_epochs: Callable[[str], Mapping[str, int] | None] = _no_epochs
        self._domain = domain
        self._platform = platform
        self._table = table
        self._reader = reader
        self._vms = vms
        self._may_act = may_act
        self._waiting = False
        self._next_check_ms = 0
        self._next_read_ms = 0
        self._differs_since_ms: int | None = None
        self._changed_ms: int | None = None

    def restart(self, now_ms: int) -> None:
        """Start over with a read of the roster, after the lease was acquired."""
        self._reader.revision = None
        self._waiting = False
        self._differs_since_ms = None
        self._next_read_ms = now_ms

    def tick(self, find_nodes: Callable[[], tuple[NodeInfo, ...]], now_ms: int) -> None:
        """Read, change or seal the roster when due.

        `find_nodes` returns the live nodes, sorted by name.
        """
        if now_ms >= self._next_read_ms:
            self._next_read_ms = now_ms + ROSTER_READ_INTERVAL_MS
            self._reader.read(now_ms)
        if now_ms < self._next_check_ms or self._waiting or self._reader.revision is None:
            return
        self._next_check_ms = now_ms + ROSTER_CHECK_INTERVAL_MS
        roster = self._table.rosters.get(self._domain)
        if (roster is None) != (self._reader.revision == 0):
            return
        leaving = self._vms.list_leaving()
        if roster is not None and roster.leaving != leaving:
            self._write(replace(roster, epoch=roster.epoch + 1, leaving=leaving), now_ms)
        elif roster is not None and not roster.sealed:
            if not find_supported(self._list_outdated_names(roster, now_ms), list_previous(roster)):
                self._write(replace(roster, epoch=roster.epoch + 1, sealed=True), now_ms)
        else:
            self._write_next_generation(roster, find_nodes(), now_ms)

    def list_outdated(self, roster: Roster, now_ms: int) -> list[NodeInfo]:
        """Return the previous generation's nodes that neither reported `roster` nor are gone."""
        return [
            info
            for info in list_previous(roster)
            if not self._has_advanced(info.node, roster)
            and not self._vms.is_gone(info.node, now_ms)
        ]

    def _list_outdated_names(self, roster: Roster, now_ms: int) -> list[str]:
        return [info.node for info in self.list_outdated(roster, now_ms)]

    def _write_next_generation(
        self, roster: Roster | None, nodes: tuple[NodeInfo, ...], now_ms: int
    ) -> None:
        if not nodes or (roster is not None and roster.nodes == nodes):
            self._differs_since_ms = None
            return
        if self._differs_since_ms is None:
            self._differs_since_ms = now_ms
        if roster is not None and now_ms - self._differs_since_ms < ROSTER_BATCH_DELAY_MS:
            return
        if self._changed_ms is not None and now_ms - self._changed_ms < ROSTER_MIN_GAP_MS:
            return
        self._differs_since_ms = None
        self._changed_ms = now_ms
        next_roster = next_generation(roster, self._domain, nodes)
        self._write(replace(next_roster, leaving=self._vms.list_leaving()), now_ms)

    def _has_advanced(self, name: str, roster: Roster) -> bool:
        epochs = self.find_epochs(name)
        return epochs is not None and epochs.get(self._domain, 0) >= roster.since

    def _write(self, roster: Roster, now_ms: int) -> None:
        if not self._may_act(now_ms):
            return

        def finish(reply: PlatformReply, then_ms: int) -> None:
            self._waiting = False
            if not isinstance(reply, PutReply):
                self._reader.revision = None
                self._next_read_ms = then_ms
                return
            self._reader.learn_entry(reply.entry, then_ms)

        operation = PutKey(
            key=ROSTER_PREFIX + self._domain,
            value=encode_message(roster).decode(),
            expected_revision=self._reader.revision,
        )
        self._waiting = self._platform.call(operation, finish, now_ms)


def _no_epochs(name: str) -> Mapping[str, int] | None:
    """Return no epochs for any node."""
    return None
