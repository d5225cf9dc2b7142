"""Evidence that no later roster generation can have given this node's roles to another node."""

from collections.abc import Iterable

from burdockrun_base.rendezvous import rank_nodes
from burdockrun_messages import NodeInfo, PingAck, Roster

from burdockrun_fleet.const import EVIDENCE_TTL_MS, WITNESS_COUNT

# Ages above this are too old to be of use to a receiver.
_MAX_USEFUL_AGE_MS = 30_000


def list_witnesses(node: str, nodes: Iterable[NodeInfo]) -> list[str]:
    """Return the names of the witnesses of `node` among the nodes of a roster."""
    others = [info.node for info in nodes if info.node != node]
    return rank_nodes(f"witness/{node}", others, WITNESS_COUNT)


def count_needed(witnesses: int) -> int:
    """Return how many witnesses make a majority."""
    return witnesses // 2 + 1


def find_supported(outdated: Iterable[str], previous_nodes: Iterable[NodeInfo]) -> set[str]:
    """Return the outdated nodes that could still gather evidence from other outdated nodes.

    A node needs answers from a majority of its witnesses, each of which needs answers from a
    majority of its own witnesses. With one level alone, two nodes of a failed rack could keep each
    other supported.
    """
    nodes = tuple(previous_nodes)
    supported = set(outdated)
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
    """Latest time, per domain, as of which no generation after the known one was sealed.

    There are two sources. One is a read that found the known roster in the platform's store. A peer
    may relay such a read as an age; this node counts it back from the time at which it sent its
    ping, which can only make the read look older. The other is a majority of this node's witnesses,
    in the same generation, that answered a ping with the age of their own evidence, which comes
    from a majority of their witnesses. A generation is sealed only when `find_supported` returns
    nothing, so evidence stays valid when this node advances to the next generation.

    A restarted process has lost its state and may have known a later generation before. It acts as
    a witness only after a read that was sent after its start confirmed its roster.
    """

    def __init__(self, node: NodeInfo) -> None:
        self._node = node
        self._start_ms = 0
        self._confirmed_ms: dict[str, int] = {}
        self._carried_over_ms: dict[str, int] = {}
        # By domain and witness: when the latest answered ping was sent, and the latest time as of
        # which the witness vouched.
        self._answered_ms: dict[str, dict[str, int]] = {}
        self._vouched_ms: dict[str, dict[str, int]] = {}
        self._witnesses: dict[str, tuple[int, list[str]]] = {}

    def start(self, now_ms: int) -> None:
        """Set the start of the process; confirmations from before it are ignored."""
        self._start_ms = now_ms

    def witnesses(self, roster: Roster) -> list[str]:
        """Return this node's witnesses in a roster; none if the roster does not list the node."""
        known = self._witnesses.get(roster.domain)
        if known is not None and known[0] == roster.since:
            return known[1]
        found = []
        if self._node in roster.nodes:
            found = list_witnesses(self._node.node, roster.nodes)
        self._witnesses[roster.domain] = (roster.since, found)
        return found

    def advance(self, old: Roster, new: Roster) -> None:
        """Keep the evidence of a generation for a later one."""
        if old.since == new.since:
            return
        time_ms = self.find_latest(old)
        if time_ms is not None:
            self._carried_over_ms[old.domain] = time_ms
        self._answered_ms.pop(old.domain, None)
        self._vouched_ms.pop(old.domain, None)

    def note_confirmation(self, domain: str, sent_ms: int) -> None:
        """Record that a read sent at `sent_ms` found the known roster in the platform's store."""
        if sent_ms > self._confirmed_ms.get(domain, self._start_ms):
            self._confirmed_ms[domain] = sent_ms

    def note_ack(self, ack: PingAck, sent_ms: int, rosters: dict[str, Roster]) -> None:
        """Take the evidence from the answer to a ping that was sent at `sent_ms`."""
        for domain, age_ms in ack.digest.confirmed.items():
            roster = rosters.get(domain)
            if roster is not None and ack.digest.roster_epochs.get(domain, 0) <= roster.epoch:
                self.note_confirmation(domain, sent_ms - age_ms)
        for domain, age_ms in ack.digest.vouches.items():
            roster = rosters.get(domain)
            epoch = ack.digest.roster_epochs.get(domain, 0)
            if roster is None or not roster.since <= epoch <= roster.epoch:
                continue
            name = ack.sender.node
            if name not in self.witnesses(roster):
                continue
            _raise_time(self._answered_ms.setdefault(domain, {}), name, sent_ms)
            if age_ms < _MAX_USEFUL_AGE_MS:
                _raise_time(self._vouched_ms.setdefault(domain, {}), name, sent_ms - age_ms)

    def find_latest(self, roster: Roster) -> int | None:
        """Return the latest time for which there is evidence, or None."""
        return self._latest(roster, self._vouched_ms, self._carried_over_ms.get(roster.domain))

    def is_fresh(self, roster: Roster, now_ms: int) -> bool:
        """Return whether the evidence allows this node to use its roles under a roster."""
        time_ms = self.find_latest(roster)
        return time_ms is not None and now_ms - time_ms < EVIDENCE_TTL_MS

    def list_confirmed(self, rosters: Iterable[Roster], now_ms: int) -> dict[str, int]:
        """Return, by domain, the ages of confirmations by the platform, for relay to peers."""
        times = {r.domain: self._confirmed_ms.get(r.domain) for r in rosters}
        return {
            domain: now_ms - time_ms
            for domain, time_ms in times.items()
            if time_ms is not None and now_ms - time_ms < _MAX_USEFUL_AGE_MS
        }

    def list_vouches(self, rosters: Iterable[Roster], now_ms: int) -> dict[str, int]:
        """Return the age of this node's evidence for each domain in which it may be a witness."""
        vouches = {}
        for roster in rosters:
            if roster.domain in self._confirmed_ms:
                time_ms = self._latest(roster, self._answered_ms, None)
                age_ms = _MAX_USEFUL_AGE_MS if time_ms is None else now_ms - time_ms
                vouches[roster.domain] = min(age_ms, _MAX_USEFUL_AGE_MS)
        return vouches

    def _latest(
        self, roster: Roster, times: dict[str, dict[str, int]], carried_over_ms: int | None
    ) -> int | None:
        found = [self._confirmed_ms.get(roster.domain), carried_over_ms]
        witnesses = self.witnesses(roster)
        if witnesses:
            times_descending = sorted(times.get(roster.domain, {}).values(), reverse=True)
            needed = count_needed(len(witnesses))
            found.append(times_descending[needed - 1] if len(times_descending) >= needed else None)
        return max((time_ms for time_ms in found if time_ms is not None), default=None)


def _raise_time(times: dict[str, int], name: str, time_ms: int) -> None:
    times[name] = max(times.get(name, time_ms), time_ms)
