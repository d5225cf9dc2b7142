"""Assignment of accounts to the nodes that own their limits."""

from collections.abc import Mapping

from burdockrun_base import Application
from burdockrun_groups import NodeEntry
from burdockrun_limits import AccountLimit, LimitEnforcer, Limiters, LimitOwner

from burdockrun_gateway.const import (
    LIMIT_LAPSED_OWNER_MS,
    LIMIT_OWNER_CONFIRMATION_MS,
    LIMITS_TAKEN,
    NODES_PREFIX,
)
from burdockrun_gateway.directory import Directory


class LimitAssignment:
    """Tells an enforcer whom to ask, and an owner which accounts it has, by the registrations."""

    def __init__(
        self, app: Application, directory: Directory, enforcer: LimitEnforcer, owner: LimitOwner
    ) -> None:
        self._app = app
        self._directory = directory
        self._enforcer = enforcer
        self._owner = owner
        self._node = owner.node
        self._limiters = Limiters()
        # Era of the store and revision at which the registration of this node was created.
        self._tenure = (0, 0)

    def update_nodes(self, changes: Mapping[str, NodeEntry | None]) -> bool:
        """Apply registrations; return whether accounts may have to be assigned anew."""
        stays = {
            name: entry is not None and not entry.leaving and entry.copy_port > 0
            for name, entry in changes.items()
        }
        return self._limiters.update(stays) or self._node in changes

    def assign(self, limits: Mapping[str, AccountLimit], now_ms: int) -> bool:
        """Assign the limited accounts; return whether this node takes some over."""
        if not limits and not self._owner.accounts:
            return False
        directory = self._directory
        owners = {name: self._limiters.find_owner(name) for name in limits}
        before = {one.owner for one in self._enforcer.accounts.values()} - {self._node}
        self._enforcer.set_owners(owners)
        owned: dict[str, AccountLimit] = {}
        if self._node in directory.nodes:
            owned = {name: limits[name] for name in owners if owners[name] == self._node}
        nodes = self._find_nodes()
        # A former owner that is registered may not have learned yet that it is replaced.
        is_granting = "" in before or not before.isdisjoint(directory.nodes)
        former_ms = LIMIT_OWNER_CONFIRMATION_MS if is_granting else LIMIT_LAPSED_OWNER_MS
        taken = self._owner.set_accounts(owned, nodes, now_ms, former_ms=former_ms)
        if taken:
            self._app.events.write(LIMITS_TAKEN, accounts=len(taken), nodes=len(nodes))
        return bool(taken)

    def follow_nodes(self) -> None:
        """Wait in takeovers only for nodes that have not ended."""
        self._owner.quiet_since_ms = self._directory.last_node_left_ms
        self._owner.keep_nodes(self._find_nodes())

    def may_grant(self, now_ms: int) -> bool:
        """Return whether no other node can have taken over this node's accounts."""
        confirmed_ms = self._directory.store_copy.confirmed_ms
        return (
            self._node in self._directory.nodes
            and confirmed_ms is not None
            and now_ms <= confirmed_ms + LIMIT_OWNER_CONFIRMATION_MS
        )

    def check_tenure(self, now_ms: int) -> bool:
        """Give up all accounts if this node was unregistered for a while without noticing it."""
        copy = self._directory.store_copy
        item = copy.items.get(NODES_PREFIX + self._node)
        tenure = (copy.era, item.created if item is not None else 0)
        if tenure == self._tenure:
            return False
        self._tenure = tenure
        self._owner.set_accounts({}, (), now_ms)
        return True

    def count_enforcers(self) -> int:
        """Return how many nodes enforce limits: one for each member, if there are as many."""
        return max(1, min(self._directory.count_members(), len(self._directory.nodes)))

    def _find_nodes(self) -> set[str]:
        return {self._node, *self._directory.nodes, *self._directory.present}
