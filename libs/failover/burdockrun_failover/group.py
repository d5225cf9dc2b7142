"""State of one database group, shared by the parts of its supervisor."""

from collections.abc import Sequence
from typing import Protocol

from burdockrun_messages import (
    ActiveTerm,
    Database,
    GroupRecord,
    GroupState,
    Member,
    NodeInfo,
)


class Directory(Protocol):
    """Lookup of the home of a member and of the live nodes."""

    def find_home(self, member: Member) -> NodeInfo | None:
        """Return the home of a member, or None when there is none."""
        ...

    def is_home(self, member: Member) -> bool:
        """Return whether this node is home of a member."""
        ...

    def list_nodes(self) -> Sequence[NodeInfo]:
        """Return the live nodes."""
        ...


class Group:
    """Configuration and record of a database group as known to one node.

    `observed` are the members of which this node is home.
    """

    def __init__(self, database: Database, directory: Directory) -> None:
        self.database = database
        self.directory = directory
        self.record: GroupRecord | None = None
        self.addresses: dict[str, Member] = {}
        self.observed: list[Member] = []
        self.set_database(database)

    def set_database(self, database: Database) -> None:
        """Apply a new configuration; removed members stay addressable, for fencing."""
        self.database = database
        self.addresses.update({member.name: member for member in database.members})

    @property
    def active(self) -> ActiveTerm | None:
        """Return the last active term; it is kept while a later one is being prepared."""
        return self.record.active if self.record is not None else None

    @property
    def is_active(self) -> bool:
        """Return whether the record is active, with no later term being prepared."""
        return self.record is not None and self.record.state is GroupState.ACTIVE

    def refresh(self) -> None:
        """Update the members of which this node is home; called at each tick."""
        names = [member.name for member in self.database.members]
        if self.active is not None:
            names.extend(self.active.members)
        members = [self.addresses[name] for name in dict.fromkeys(names) if name in self.addresses]
        self.observed = [member for member in members if self.directory.is_home(member)]

    def find_lead_order(self, *, primary_first: bool) -> int | None:
        """Return this node's place in the order in which homes act, or None if it is no home.

        The home at place 0 acts at once; each further home acts later, if those before it have not.
        """
        active = self.active
        names = [member.name for member in self.database.members]
        if active is not None:
            names = [name for name in active.members if name != active.primary]
            names.insert(0 if primary_first else len(names), active.primary)
        observed = {member.name for member in self.observed}
        return next((lead_order for lead_order, name in enumerate(names) if name in observed), None)
