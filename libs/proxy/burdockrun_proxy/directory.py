"""What the entry side asks about other nodes."""

from collections.abc import Sequence
from typing import Protocol

from burdockrun_messages import NodeInfo


class NodeDirectory(Protocol):
    """Nodes of the fleet, as this node knows them."""

    def find_node(self, name: str) -> NodeInfo | None:
        """Return a node by its name, also one that drains, or None."""
        ...

    def list_nodes(self) -> Sequence[NodeInfo]:
        """Return the live nodes, with this one."""
        ...
