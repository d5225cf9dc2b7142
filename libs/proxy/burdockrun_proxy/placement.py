"""Assignment of members to the nodes that hold the connections to them."""

from collections.abc import Callable, Sequence
from typing import Protocol

from burdockrun_base import Registry
from burdockrun_fleet import FleetAgent
from burdockrun_messages import Database, Member, NodeInfo


class Placement(Protocol):
    """Assignment of members to nodes as known to this node."""

    def find_home(self, member: Member) -> NodeInfo | None:
        """Return the node to which requests for a member are sent, or None."""
        ...

    def find_standby(self, member: Member) -> NodeInfo | None:
        """Return the node that takes over from the home, or None."""
        ...

    def list_role_members(self) -> Sequence[str]:
        """Return the names of the members that this node serves or expects to serve."""
        ...

    def connection_budget(self, database: Database, member: Member, now_ms: int) -> int:
        """Return how many connections to a member this node may have open now."""
        ...

    def release_connections(self, member: Member, now_ms: int) -> None:
        """Report that this node has closed its last connection to a member."""
        ...


placements: Registry[Callable[[FleetAgent], Placement]] = Registry("placement")


@placements.register("home")
def place_at_homes(fleet: FleetAgent) -> Placement:
    """Return the placement with one home and one standby for each member."""
    return fleet


@placements.register("direct")
class DirectPlacement:
    """Placement in which every node connects to every member, with equal connection budgets."""

    def __init__(self, fleet: FleetAgent) -> None:
        self._fleet = fleet

    def find_home(self, member: Member) -> NodeInfo | None:
        """Return this node."""
        return self._fleet.node

    def find_standby(self, member: Member) -> NodeInfo | None:
        """Return None, because there is no other node to ask."""
        return None

    def list_role_members(self) -> Sequence[str]:
        """Return the names of all members."""
        services = self._fleet.configuration.services.values()
        return [
            member.name
            for service in services
            for database in service.databases
            for member in database.members
        ]

    def connection_budget(self, database: Database, member: Member, now_ms: int) -> int:
        """Return an equal share of the connections to the member, but at least one."""
        share = database.connections // len(database.members)
        return max(1, share // max(1, len(self._fleet.list_nodes())))

    def release_connections(self, member: Member, now_ms: int) -> None:
        """Do nothing, because no other node waits for the connections."""
