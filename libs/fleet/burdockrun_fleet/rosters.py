"""Rosters of the failure domains, their generations and the deltas between them."""

from collections.abc import Callable
from dataclasses import replace

from burdockrun_messages import NodeInfo, Outbox, Roster, RosterPush

OnRoster = Callable[[Roster | None, Roster, int], None]


def list_previous(roster: Roster) -> tuple[NodeInfo, ...]:
    """Return the nodes of the generation that precedes that of `roster`."""
    added = {info.node for info in roster.added}
    kept = [info for info in roster.nodes if info.node not in added]
    return (*kept, *roster.removed)


def next_generation(old: Roster | None, domain: str, nodes: tuple[NodeInfo, ...]) -> Roster:
    """Return the next generation after `old`, with `nodes`; the first generation is sealed at once.

    >>> a = NodeInfo(node="a", domain="nbg", host="h", port=1)
    >>> first = next_generation(None, "nbg", (a,))
    >>> first.epoch, first.sealed
    (1, True)
    >>> list_previous(next_generation(first, "nbg", ())) == (a,)
    True
    """
    if old is None:
        return Roster(domain=domain, epoch=1, nodes=nodes, since=1, sealed=True)
    before, after = set(old.nodes), set(nodes)
    return Roster(
        domain=domain,
        epoch=old.epoch + 1,
        nodes=nodes,
        since=old.epoch + 1,
        previous=old.since,
        added=tuple(info for info in nodes if info not in before),
        removed=tuple(info for info in old.nodes if info not in after),
        leaving=old.leaving,
    )


class RosterTable:
    """Newest known roster of each domain; epochs only grow.

    `own` has only the rosters that list this node.
    """

    def __init__(self, node: NodeInfo, outbox: Outbox) -> None:
        self.rosters: dict[str, Roster] = {}
        self.own: dict[str, Roster] = {}
        self.epochs: dict[str, int] = {}
        self.on_roster: OnRoster | None = None
        self._node = node
        self._outbox = outbox

    def learn(self, roster: Roster, now_ms: int) -> bool:
        """Store a newer roster; a delta applies only to its own or the previous generation."""
        old = self.rosters.get(roster.domain)
        if old is not None and roster.epoch <= old.epoch:
            return False
        full = _apply_delta(old, roster) if roster.delta else roster
        if full is None:
            return False
        self.rosters[roster.domain] = full
        self.own.pop(roster.domain, None)
        if self._node in full.nodes:
            self.own[roster.domain] = full
        self.epochs = {**self.epochs, roster.domain: roster.epoch}
        if self.on_roster is not None:
            self.on_roster(old, full, now_ms)
        return True

    def answer_digest(self, peer: NodeInfo, epochs: dict[str, int]) -> None:
        """Send a peer the rosters of which it has an older epoch, as deltas where possible."""
        if epochs == self.epochs:
            return
        for domain, roster in self.rosters.items():
            epoch = epochs.get(domain, 0)
            if epoch < roster.epoch:
                self._outbox.send_peer(peer, RosterPush(rosters=(make_delta(roster, epoch),)))

    def is_behind(self, epochs: dict[str, int]) -> bool:
        """Return whether `epochs` shows a newer roster than is known here."""
        return any(epoch > self.epochs.get(domain, 0) for domain, epoch in epochs.items())


def make_delta(roster: Roster, epoch: int) -> Roster:
    """Return `roster` as a delta if a receiver at `epoch` can rebuild its nodes from that."""
    if epoch >= roster.since or epoch >= roster.previous > 0:
        return replace(roster, nodes=(), delta=True)
    return roster


def _apply_delta(old: Roster | None, delta: Roster) -> Roster | None:
    if old is None:
        return None
    if old.since == delta.since:
        return replace(delta, nodes=old.nodes, delta=False)
    if old.since != delta.previous:
        return None
    removed = {info.node for info in delta.removed}
    kept = [info for info in old.nodes if info.node not in removed]
    nodes = sorted((*kept, *delta.added), key=lambda info: info.node)
    return replace(delta, nodes=tuple(nodes), delta=False)
