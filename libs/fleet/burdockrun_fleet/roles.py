"""Roles of this node for members, and the number of connections that each role allows."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from burdockrun_messages import Database, Member, NodeInfo, Outbox, RolesReleased, Roster

from burdockrun_fleet.const import ROLE_EXPIRY_MS
from burdockrun_fleet.evidence import Evidence
from burdockrun_fleet.homes import DomainHomes, HomeTable, split_connections
from burdockrun_fleet.rosters import RosterTable, list_previous

_KEPT_SEALS = 16


class Role(IntEnum):
    """Role of a node for a member; the value is its rank in the rendezvous hash."""

    HOME = 0
    STANDBY = 1


@dataclass(slots=True)
class _Assignment:
    member: Member
    role: Role
    granted: bool = False
    # Whether this node may have open connections to the member.
    used: bool = False
    # Whether the role was lost and its connections must still be closed.
    closing: bool = False
    # The generation that assigned the role to this node, the previous generation, and the node
    # that held the role in the previous generation.
    since: int = 0
    previous: int = 0
    predecessor: str = ""
    # Home role that a granted standby waits for; it keeps the standby's connections until then.
    awaited_home: "_Assignment | None" = None


class RoleManager:
    """Grants this node a role only when no other node can still hold it.

    A generation is settled `ROLE_EXPIRY_MS` after this node learned that it was sealed: by then the
    evidence of every earlier holder has expired. The first generation is settled at once. A role is
    granted once its generation is settled, or as soon as its holder in the previous generation has
    released it and that generation is settled. The rules are in section 3.1 of the design.
    """

    def __init__(
        self, node: NodeInfo, table: RosterTable, evidence: Evidence, outbox: Outbox
    ) -> None:
        self.homes = HomeTable()
        self._node = node
        self._table = table
        self._evidence = evidence
        self._outbox = outbox
        self._members: dict[str, dict[str, Member]] = {}
        self._assignments: dict[str, _Assignment] = {}
        self._pending: set[str] = set()
        self._sealed_ms: dict[str, dict[int, int]] = {}
        self._released: dict[tuple[str, str], RolesReleased] = {}

    def set_members(self, members: Iterable[Member], now_ms: int) -> None:
        """Set the members of a new configuration and reassign the roles where they changed."""
        by_domain: dict[str, dict[str, Member]] = {}
        for member in members:
            by_domain.setdefault(member.domain, {})[member.name] = member
        changed = [
            domain
            for domain in by_domain.keys() | self._members.keys()
            if by_domain.get(domain, {}).keys() != self._members.get(domain, {}).keys()
        ]
        self._members = by_domain
        for domain in changed:
            roster = self._table.rosters.get(domain)
            if roster is not None:
                self._reassign(roster, None, now_ms)

    def roster_changed(self, old: Roster | None, new: Roster, now_ms: int) -> None:
        """Give up roles that a new roster takes from this node and await those it assigns."""
        seals = self._sealed_ms.setdefault(new.domain, {})
        if new.sealed:
            seals.setdefault(new.since, now_ms)
        # A generation is written only after the previous one was sealed.
        seals.setdefault(new.previous, now_ms)
        for since in sorted(seals)[:-_KEPT_SEALS]:
            del seals[since]
        if old is not None and old.since == new.since:
            return
        self.homes.advance(new)
        consecutive = old is not None and old.since == new.previous
        self._reassign(new, old if consecutive else None, now_ms, drop_all=not consecutive)

    def receive_release(self, peer: str, release: RolesReleased, now_ms: int) -> None:
        """Record that a peer has released its roles of earlier generations, except those listed."""
        known = self._released.get((release.domain, peer))
        if known is None or known.epoch <= release.epoch:
            self._released[release.domain, peer] = release
            self.tick(now_ms)

    def tick(self, now_ms: int) -> None:
        """Grant the pending roles that no other node can hold any more."""
        for name in list(self._pending):
            assignment = self._assignments.get(name)
            if assignment is not None and assignment.awaited_home is not None:
                self._become_home(assignment, now_ms)
                continue
            if assignment is None or assignment.granted or assignment.closing:
                self._pending.discard(name)
                continue
            if self._is_free(assignment, now_ms):
                assignment.granted = True
                self._pending.discard(name)

    def budget(self, database: Database, member: Member, now_ms: int) -> int:
        """Return how many connections this node may have open to a member now."""
        assignment = self._assignments.get(member.name)
        if assignment is None or assignment.closing or not assignment.granted:
            return 0
        roster = self._table.rosters.get(assignment.member.domain)
        if roster is None or not self._evidence.is_fresh(roster, now_ms):
            return 0
        count = split_connections(database.connections // len(database.members))[assignment.role]
        assignment.used = assignment.used or count > 0
        return count

    def release(self, member: Member, now_ms: int) -> None:
        """Record that this node has closed its last connection to a member."""
        assignment = self._assignments.get(member.name)
        if assignment is None:
            return
        assignment.used = False
        if assignment.closing:
            del self._assignments[member.name]
            roster = self._table.rosters[assignment.member.domain]
            self._assign(assignment.member, roster, None)
            self._send_release(roster, {assignment.member.name})
            self.tick(now_ms)

    def list_members(self) -> list[str]:
        """Return the names of the members for which this node has or awaits a role."""
        return list(self._assignments)

    def granted_role(self, member: Member) -> Role | None:
        """Return the granted role of this node for a member, or None."""
        assignment = self._assignments.get(member.name)
        if assignment is None or assignment.closing or not assignment.granted:
            return None
        return assignment.role

    def _reassign(
        self, roster: Roster, old: Roster | None, now_ms: int, *, drop_all: bool = False
    ) -> None:
        members = self._members.get(roster.domain, {})
        previous_homes = _build_previous_homes(roster) if old is not None else None
        released = set()
        for name, assignment in list(self._assignments.items()):
            if assignment.member.domain != roster.domain or assignment.closing:
                continue
            role = self._find_role(assignment.member, roster) if name in members else None
            if role is not Role.HOME or drop_all:
                assignment.awaited_home = None
            if role is assignment.role and not drop_all:
                continue
            if assignment.awaited_home is not None:
                continue
            if self._may_become_home(assignment, role) and not drop_all:
                assignment.awaited_home = self._build_assignment(
                    assignment.member, Role.HOME, roster, previous_homes
                )
                self._pending.add(name)
                continue
            if assignment.granted and assignment.used:
                assignment.closing = True
                continue
            del self._assignments[name]
            released.add(name)
        for name, member in members.items():
            if name not in self._assignments:
                self._assign(member, roster, previous_homes)
        self._send_release(roster, released)
        self.tick(now_ms)

    def _assign(self, member: Member, roster: Roster, previous_homes: DomainHomes | None) -> None:
        role = self._find_role(member, roster)
        if role is None or member.name not in self._members.get(roster.domain, {}):
            return
        self._assignments[member.name] = self._build_assignment(
            member, role, roster, previous_homes
        )
        self._pending.add(member.name)

    def _build_assignment(
        self, member: Member, role: Role, roster: Roster, previous_homes: DomainHomes | None
    ) -> _Assignment:
        predecessor = (
            previous_homes.holders(member.name)[role] if previous_homes is not None else ""
        )
        return _Assignment(
            member, role, since=roster.since, previous=roster.previous, predecessor=predecessor
        )

    def _may_become_home(self, assignment: _Assignment, role: Role | None) -> bool:
        return role is Role.HOME and assignment.role is Role.STANDBY and assignment.granted

    def _become_home(self, assignment: _Assignment, now_ms: int) -> None:
        """Make a standby the home once the previous home can no longer hold that role."""
        awaited_home = assignment.awaited_home
        if awaited_home is None or assignment.closing or not self._is_free(awaited_home, now_ms):
            return
        awaited_home.granted = True
        awaited_home.used = assignment.used
        name = assignment.member.name
        self._assignments[name] = awaited_home
        self._pending.discard(name)
        self._send_release(self._table.rosters[assignment.member.domain], {name})

    def _find_role(self, member: Member, roster: Roster) -> Role | None:
        if roster.domain not in self._table.own:
            return None
        home, standby = self.homes.find(member)
        if home is not None and home.node == self._node.node:
            return Role.HOME
        if standby is not None and standby.node == self._node.node:
            return Role.STANDBY
        return None

    def _is_free(self, assignment: _Assignment, now_ms: int) -> bool:
        domain = assignment.member.domain
        if self._is_settled(domain, assignment.since, now_ms):
            return True
        if not self._is_settled(domain, assignment.previous, now_ms):
            return False
        release = self._released.get((domain, assignment.predecessor))
        if release is None or release.epoch < assignment.since:
            return False
        return assignment.member.name not in release.members

    def _is_settled(self, domain: str, since: int, now_ms: int) -> bool:
        if since == 1:
            return True
        sealed_ms = self._sealed_ms.get(domain, {}).get(since)
        return sealed_ms is not None and now_ms - sealed_ms >= ROLE_EXPIRY_MS

    def _send_release(self, roster: Roster, released: set[str]) -> None:
        if not released:
            return
        still_held = tuple(
            name
            for name, assignment in self._assignments.items()
            if assignment.member.domain == roster.domain
            and (assignment.closing or (assignment.granted and assignment.since < roster.since))
        )
        release = RolesReleased(domain=roster.domain, epoch=roster.since, members=still_held)
        members = self._members.get(roster.domain, {})
        receivers: dict[str, NodeInfo] = {}
        for name in released & members.keys():
            for info in self.homes.find(members[name]):
                if info is not None and info.node != self._node.node:
                    receivers[info.node] = info
        for info in receivers.values():
            self._outbox.send_peer(info, release)


def _build_previous_homes(roster: Roster) -> DomainHomes:
    homes = DomainHomes()
    nodes = list_previous(roster)
    homes.advance(Roster(domain=roster.domain, epoch=0, nodes=nodes, since=-1))
    return homes
