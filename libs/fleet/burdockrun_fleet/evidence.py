"""Evidence that no later roster generation can have handed this node's roles to another."""

from collections.abc import Iterable

from burdockrun_base.rendezvous import rank_nodes
from burdockrun_messages import NodeInfo, PingAck, Roster

from burdockrun_fleet.const import EVIDENCE_TTL_MS, WITNESS_COUNT

# Relayed ages above this say nothing that a receiver could use.
_NO_USE_MS = 30_000


def list_witnesses(node: str, nodes: Iterable[NodeInfo]) -> list[str]:
    """Return the nodes of a roster that witness for `node`."""
    others = [info.node for info in nodes if info.node != node]
    return rank_nodes(f"witness/{node}", others, WITNESS_COUNT)


def count_needed(witnesses: int) -> int:
    """Return how many of the witnesses make a majority."""
    return witnesses // 2 + 1


def find_supported(unmoved: Iterable[str], before: Iterable[NodeInfo]) -> set[str]:
    """Return the unmoved nodes that could still gather evidence from other unmoved nodes.

    A node needs a majority of its witnesses, each of which has itself heard a majority of its own
    witnesses. One level alone would let two nodes of a lost rack keep each other up.
    """
    nodes = tuple(before)
    supported = set(unmoved)
    witnesses = {name: list_witnesses(name, nodes) for name in supported}
    for _ in range(2):
        supported = {
            name
            for name in supported
            if witnesses[name]
            and sum(w in supported for w in witnesses[name]) >= count_needed(len(witnesses[name]))
        }
    return supported


class Evidence:
    """Times as of which no generation later than the known one was sealed, for each domain.

    There are two sources. The platform held the known roster when it was read (a peer may relay
    that as an age, counted from when this node sent its ping, which can only make it look older).
    Or a majority of this node's witnesses, in the same generation, answered a ping with the age of
    their own evidence, which they have from a majority of their witnesses. A generation is sealed
    only when `find_supported` is empty, so evidence stays valid when this node moves on.

    A restarted process may have forgotten that it moved. It witnesses only after the platform has
    confirmed its roster at a time after its start.
    """

    def __init__(self, node: NodeInfo) -> None:
        self._node = node
        self._start_ms = 0
        self._platform: dict[str, int] = {}
        self._carried: dict[str, int] = {}
        self._heard: dict[str, dict[str, int]] = {}
        self._vouched: dict[str, dict[str, int]] = {}
        self._witnesses: dict[str, tuple[int, list[str]]] = {}

    def start(self, now_ms: int) -> None:
        """Begin; what was confirmed before does not count."""
        self._start_ms = now_ms

    def witnesses(self, roster: Roster) -> list[str]:
        """Return this node's witnesses in a roster; none when the roster lacks it."""
        known = self._witnesses.get(roster.domain)
        if known is not None and known[0] == roster.since:
            return known[1]
        found = []
        if self._node in roster.nodes:
            found = list_witnesses(self._node.node, roster.nodes)
        self._witnesses[roster.domain] = (roster.since, found)
        return found

    def move_on(self, old: Roster, new: Roster) -> None:
        """Carry the evidence of a generation over to a later one."""
        if old.since == new.since:
            return
        time_ms = self.time_of(old)
        if time_ms is not None:
            self._carried[old.domain] = time_ms
        self._heard.pop(old.domain, None)
        self._vouched.pop(old.domain, None)

    def note_platform(self, domain: str, sent_ms: int) -> None:
        """Note that the platform held the known roster in answer to a read sent at `sent_ms`."""
        if sent_ms > self._platform.get(domain, self._start_ms):
            self._platform[domain] = sent_ms

    def note_ack(self, ack: PingAck, sent_ms: int, rosters: dict[str, Roster]) -> None:
        """Learn from the answer to a ping that was sent at `sent_ms`."""
        for domain, age_ms in ack.digest.confirmed.items():
            roster = rosters.get(domain)
            if roster is not None and ack.digest.roster_epochs.get(domain, 0) <= roster.epoch:
                self.note_platform(domain, sent_ms - age_ms)
        for domain, age_ms in ack.digest.vouches.items():
            roster = rosters.get(domain)
            epoch = ack.digest.roster_epochs.get(domain, 0)
            if roster is None or not roster.since <= epoch <= roster.epoch:
                continue
            name = ack.sender.node
            if name not in self.witnesses(roster):
                continue
            _raise_time(self._heard.setdefault(domain, {}), name, sent_ms)
            if age_ms < _NO_USE_MS:
                _raise_time(self._vouched.setdefault(domain, {}), name, sent_ms - age_ms)

    def time_of(self, roster: Roster) -> int | None:
        """Return the newest time for which there is evidence, or None."""
        return self._latest(roster, self._vouched, self._carried.get(roster.domain))

    def is_fresh(self, roster: Roster, now_ms: int) -> bool:
        """Return whether this node may still use its roles under a roster."""
        time_ms = self.time_of(roster)
        return time_ms is not None and now_ms - time_ms < EVIDENCE_TTL_MS

    def list_confirmed(self, rosters: Iterable[Roster], now_ms: int) -> dict[str, int]:
        """Return the ages of the platform's confirmations, to be relayed."""
        times = {r.domain: self._platform.get(r.domain) for r in rosters}
        return {
            domain: now_ms - time_ms
            for domain, time_ms in times.items()
            if time_ms is not None and now_ms - time_ms < _NO_USE_MS
        }

    def list_vouches(self, rosters: Iterable[Roster], now_ms: int) -> dict[str, int]:
        """Return the domains for which this process may witness, with its evidence's age."""
        vouches = {}
        for roster in rosters:
            if roster.domain in self._platform:
                time_ms = self._latest(roster, self._heard, None)
                age_ms = _NO_USE_MS if time_ms is None else now_ms - time_ms
                vouches[roster.domain] = min(age_ms, _NO_USE_MS)
        return vouches

    def _latest(
        self, roster: Roster, times: dict[str, dict[str, int]], carried: int | None
    ) -> int | None:
        found = [self._platform.get(roster.domain), carried]
        witnesses = self.witnesses(roster)
        if witnesses:
            heard = sorted(times.get(roster.domain, {}).values(), reverse=True)
            needed = count_needed(len(witnesses))
            found.append(heard[needed - 1] if len(heard) >= needed else None)
        return max((time_ms for time_ms in found if time_ms is not None), default=None)


def _raise_time(times: dict[str, int], name: str, time_ms: int) -> None:
    times[name] = max(times.get(name, time_ms), time_ms)
