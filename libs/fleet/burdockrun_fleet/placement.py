"""Choice of the node that serves the requests for a member."""

from burdockrun_messages import Member, NodeInfo

from burdockrun_fleet.membership import Membership
from burdockrun_fleet.roles import Role, RoleManager


class Placement:
    """Home and standby of members as seen by one node."""

    def __init__(self, node: NodeInfo, roles: RoleManager, membership: Membership) -> None:
        self._node = node
        self._roles = roles
        self._membership = membership

    def find_home(self, member: Member) -> NodeInfo | None:
        """Return the node to which requests for a member go.

        That is the standby while the home is dead, or while this node is assigned as home but was
        granted no role yet. A granted standby that waits to become home already serves, with the
        connections of the standby.
        """
        home, standby = self._roles.homes.find(member)
        if home is None or standby is None:
            return home or standby
        if home.node == self._node.node:
            return home if self._roles.granted_role(member) is not None else standby
        if not self._membership.is_alive(home.node) and self._membership.is_alive(standby.node):
            return standby
        return home

    def find_standby(self, member: Member) -> NodeInfo | None:
        """Return the standby of a member."""
        return self._roles.homes.find(member)[1]

    def is_home(self, member: Member) -> bool:
        """Return whether this node serves a member: as home, or as standby of a dead home."""
        role = self._roles.granted_role(member)
        if role is not Role.STANDBY:
            return role is Role.HOME
        home, _ = self._roles.homes.find(member)
        if home is None or home.node == self._node.node:
            return True
        return not self._membership.is_alive(home.node)
