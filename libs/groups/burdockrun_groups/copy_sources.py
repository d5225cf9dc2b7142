"""Choice of the nodes that poll the shared store; the others follow their copies of it."""

from collections.abc import Iterable

from burdockrun_base.rendezvous import rank_nodes

from burdockrun_groups.const import FOLLOWERS_PER_SOURCE, SMALL_DOMAIN_NODES
from burdockrun_groups.models import NodeEntry


def find_copy_sources(nodes: Iterable[NodeEntry], node: str) -> tuple[NodeEntry, ...]:
    """Return the nodes whose copies `node` may follow, preferred first.

    The result is empty if `node` polls the store itself. The nodes are in its own failure domain: a
    source in another one would be lost in a partition between the domains, although the store may
    still be reachable.
    """
    entries = {entry.node: entry for entry in nodes}
    own = entries.get(node)
    if own is None:
        return ()
    candidates = [
        entry.node
        for entry in entries.values()
        if entry.domain == own.domain and entry.copy_port and not entry.leaving
    ]
    if len(candidates) <= SMALL_DOMAIN_NODES:
        return ()
    copy_sources = rank_nodes(own.domain, candidates, -(-len(candidates) // FOLLOWERS_PER_SOURCE))
    if node in copy_sources:
        return ()
    return tuple(entries[name] for name in rank_nodes(node, copy_sources, len(copy_sources)))
