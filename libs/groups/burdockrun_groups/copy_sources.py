"""Which nodes ask the shared store for changes, and which follow their copies."""

from collections.abc import Iterable

from burdockrun_base.rendezvous import rank_nodes

from burdockrun_groups.const import FOLLOWERS_OF_AN_ASKER, SMALL_DOMAIN
from burdockrun_groups.models import NodeEntry


def find_copy_sources(nodes: Iterable[NodeEntry], node: str) -> tuple[NodeEntry, ...]:
    """Return the nodes whose copies `node` follows, in its order; empty when it asks the store.

    They are of its own failure domain, so that a domain that is cut off does not lose its source
    alone.
    """
    entries = {entry.node: entry for entry in nodes}
    own = entries.get(node)
    if own is None:
        return ()
    near = [
        entry.node
        for entry in entries.values()
        if entry.domain == own.domain and entry.copy_port and not entry.leaving
    ]
    if len(near) <= SMALL_DOMAIN:
        return ()
    copy_sources = rank_nodes(own.domain, near, -(-len(near) // FOLLOWERS_OF_AN_ASKER))
    if node in copy_sources:
        return ()
    return tuple(entries[name] for name in rank_nodes(node, copy_sources, len(copy_sources)))
