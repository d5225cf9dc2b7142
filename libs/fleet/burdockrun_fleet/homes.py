"""Home and standby of each member by rendezvous hashing over the roster of its domain."""

from burdockrun_base.rendezvous import compute_weight, hash_name
from burdockrun_messages import Member, NodeInfo, Roster

RoleHolders = tuple[str, str]


def split_connections(share: int) -> tuple[int, int]:
    """Split a member's share of connections into those of its home and of its standby.

    >>> split_connections(5), split_connections(2), split_connections(1)
    ((4, 1), (1, 1), (1, 0))
    """
    standby = max(1, share // 3) if share > 1 else 0
    return share - standby, standby


def _choose_holders(member: str, nodes: dict[str, int]) -> RoleHolders:
    key = hash_name(member)
    first = second = ""
    first_weight = second_weight = -1
    for name, node_hash in nodes.items():
        weight = compute_weight(node_hash, key)
        if weight > first_weight:
            first, first_weight, second, second_weight = name, weight, first, first_weight
        elif weight > second_weight:
            second, second_weight = name, weight
    return first, second


class DomainHomes:
    """Role holders of the members of one domain, computed on demand and cached.

    A change of the roster affects only members whose holders were removed or rank below an added
    node, so it costs one hash for each cached member and added node.
    """

    def __init__(self) -> None:
        self._since = 0
        self._nodes: dict[str, NodeInfo] = {}
        self._hashes: dict[str, int] = {}
        self._holders: dict[str, RoleHolders] = {}

    def advance(self, roster: Roster) -> None:
        """Move to a newer roster."""
        if roster.since == self._since:
            return
        consecutive = roster.previous == self._since and self._since > 0
        self._since = roster.since
        self._nodes = {info.node: info for info in roster.nodes}
        self._hashes = {info.node: hash_name(info.node) for info in roster.nodes}
        if not consecutive:
            self._holders = {}
            return
        added = [info.node for info in roster.added]
        for member, holders in list(self._holders.items()):
            if holders[0] not in self._nodes or holders[1] not in self._nodes:
                del self._holders[member]
            elif added:
                candidates = {name: self._hashes[name] for name in (*holders, *added)}
                self._holders[member] = _choose_holders(member, candidates)

    def holders(self, member: str) -> RoleHolders:
        """Return the names of home and standby of a member, empty if there is none."""
        holders = self._holders.get(member)
        if holders is None:
            holders = self._holders[member] = _choose_holders(member, self._hashes)
        return holders

    def find_node(self, name: str) -> NodeInfo | None:
        """Return a node of the roster."""
        return self._nodes.get(name)


class HomeTable:
    """Role holders of the members of all domains."""

    def __init__(self) -> None:
        self._domains: dict[str, DomainHomes] = {}

    def advance(self, roster: Roster) -> None:
        """Move one domain to a newer roster."""
        self._domains.setdefault(roster.domain, DomainHomes()).advance(roster)

    def find(self, member: Member) -> tuple[NodeInfo | None, NodeInfo | None]:
        """Return home and standby of a member."""
        homes = self._domains.get(member.domain)
        if homes is None:
            return None, None
        home, standby = homes.holders(member.name)
        return homes.find_node(home), homes.find_node(standby)
