"""What the entry side asks of the fleet."""

from typing import Protocol

from burdockrun_failover import Directory
from burdockrun_messages import Member, NodeInfo


class EntryDirectory(Directory, Protocol):
    """Directory that also knows standbys and nodes by name."""

    def find_standby(self, member: Member) -> NodeInfo | None:
        """Return the node that stands in for the home of a member, or None."""
        ...

    def find_node(self, name: str) -> NodeInfo | None:
        """Return a live node by name, or None."""
        ...
