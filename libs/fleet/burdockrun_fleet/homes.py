"""Home and standby of each member by rendezvous hashing over the roster of its domain."""

from burdockrun_base.rendezvous import compute_weight, hash_name
from burdockrun_messages import Member, NodeInfo, Roster

Top = tuple[str, str]


def split_share(share: int) -> tuple[int, int]:
    """Return the connections of the home and of the standby out of a member's share.

    >>> split_share(5), split_share(2), split_share(1)
    ((4, 1), (1, 1), (1, 0))
    """
    reserve = max(1, share // 3) if share > 1 else 0
    return share - reserve, reserve


def _rank(member: str, nodes: dict[str, int]) -> Top:
    key = hash_name(member)
    first = second = ""
    first_score = second_score = -1
    for name, node_hash in nodes.items():
        weight = compute_weight(node_hash, key)
        if weight > first_score:
            first, first_score, second, second_score = name, weight, first, first_score
        elif weight > second_score:
            second, second_score = name, weight
    return first, second


class DomainHomes:
    """Role holders of the members of one domain, computed when asked for and kept.

    A change of the roster touches only the members whose holders left or that a new node takes
    over, so it costs one hash for each known member and added node.
    """

    def __init__(self) -> None:
        self._since = 0
        self._nodes: dict[str, NodeInfo] = {}
        self._hashes: dict[str, int] = {}
        self._tops: dict[str, Top] = {}

    def advance(self, roster: Roster) -> None:
        """Move to a newer roster."""
        if roster.since == self._since:
            return
        consecutive = roster.previous == self._since and self._since > 0
        self._since = roster.since
        self._nodes = {info.node: info for info in roster.nodes}
        self._hashes = {info.node: hash_name(info.node) for info in roster.nodes}
        if not consecutive:
            self._tops = {}
            return
        added = [info.node for info in roster.added]
        for member, top in list(self._tops.items()):
            if top[0] not in self._nodes or top[1] not in self._nodes:
                del self._tops[member]
            elif added:
                near = {name: self._hashes[name] for name in (*top, *added)}
                self._tops[member] = _rank(member, near)

    def top(self, member: str) -> Top:
        """Return the names of home and standby of a member, empty where there is none."""
        top = self._tops.get(member)
        if top is None:
            top = self._tops[member] = _rank(member, self._hashes)
        return top

    def find_node(self, name: str) -> NodeInfo | None:
        """Return a node of the roster."""
        return self._nodes.get(name)


class HomeTable:
    """Role holders of all members."""

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
        home, standby = homes.top(member.name)
        return homes.find_node(home), homes.find_node(standby)
