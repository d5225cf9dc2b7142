"""Interface through which the request router looks up nodes."""

from collections.abc import Sequence
from typing import Protocol

from burdockrun_messages import NodeInfo


class NodeDirectory(Protocol):
    """Nodes of the fleet as known to this node."""

    def find_node(self, name: str) -> NodeInfo | None:
        """Return the node called `name`, which may be draining, or None."""
        ...

    def list_nodes(self) -> Sequence[NodeInfo]:
        """Return the live nodes, including this one."""
        ...
