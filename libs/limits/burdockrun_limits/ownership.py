"""Owners of the accounts, worked out from the registrations of the nodes."""

from bisect import bisect_left, insort
from collections.abc import Mapping

from burdockrun_base.rendezvous import compute_weight, hash_name, rank_nodes

from burdockrun_limits.const import MIN_LIMITERS, NODES_PER_LIMITER

_LIMITERS = "limiters"


class Limiters:
    """Small set of nodes that own all accounts, kept up to date one registration at a time.

    >>> limiters = Limiters()
    >>> limiters.update({"a": True, "b": True, "c": True, "d": True})
    True
    >>> len(limiters.nodes)
    3
    >>> limiters.update({"a": True})
    False
    """

    def __init__(self) -> None:
        self.nodes: tuple[str, ...] = ()
        self._ranked: list[tuple[int, str]] = []

    def update(self, changes: Mapping[str, bool]) -> bool:
        """Add nodes (true) and remove nodes (false); return whether the set has changed."""
        for name, stays in changes.items():
            one = (-compute_weight(hash_name(name), hash_name(_LIMITERS)), name)
            place = bisect_left(self._ranked, one)
            known = place < len(self._ranked) and self._ranked[place] == one
            if stays and not known:
                insort(self._ranked, one)
            elif known and not stays:
                del self._ranked[place]
        count = max(MIN_LIMITERS, -(-len(self._ranked) // NODES_PER_LIMITER))
        before, self.nodes = self.nodes, tuple(name for _, name in self._ranked[:count])
        return before != self.nodes

    def find_owner(self, account: str) -> str:
        """Return the node that owns an account, "" while no node is registered."""
        return next(iter(rank_nodes(account, self.nodes, 1)), "")
