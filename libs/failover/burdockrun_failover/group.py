"""What a supervisor knows of its group, shared by its parts."""

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
    """Which node is home of a member."""

    def find_home(self, member: Member) -> NodeInfo | None:
        """Return the home of a member, or None when no node can be."""
        ...

    def is_home(self, member: Member) -> bool:
        """Return whether this node is home of a member."""
        ...

    def list_nodes(self) -> Sequence[NodeInfo]:
        """Return the live nodes."""
        ...


class Group:
    """Database group as configured and as recorded, seen from one node."""

    def __init__(self, database: Database, directory: Directory) -> None:
        self.database = database
        self.directory = directory
        self.record: GroupRecord | None = None
        self.addresses: dict[str, Member] = {}
        self.observed: list[Member] = []
        self.set_database(database)

    def set_database(self, database: Database) -> None:
        """Take a new configuration; members that left stay addressable for their fencing."""
        self.database = database
        self.addresses.update({member.name: member for member in database.members})

    @property
    def active(self) -> ActiveTerm | None:
        """Return the last active term, in force while a later one is being prepared."""
        return self.record.active if self.record is not None else None

    @property
    def is_active(self) -> bool:
        """Return whether the record is active, with no later term being prepared."""
        return self.record is not None and self.record.state is GroupState.ACTIVE

    def refresh(self) -> None:
        """Find the members of which this node is home; done once for each tick."""
        names = [member.name for member in self.database.members]
        if self.active is not None:
            names.extend(self.active.members)
        members = [self.addresses[name] for name in dict.fromkeys(names) if name in self.addresses]
        self.observed = [member for member in members if self.directory.is_home(member)]

    def find_rank(self, *, primary_first: bool) -> int | None:
        """Return this node's place in the order in which homes take the lead, or None."""
        active = self.active
        names = [member.name for member in self.database.members]
        if active is not None:
            names = [name for name in active.members if name != active.primary]
            names.insert(0 if primary_first else len(names), active.primary)
        observed = {member.name for member in self.observed}
        return next((rank for rank, name in enumerate(names) if name in observed), None)
