"""Roles of this node for members, and the connections that they allow."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from burdockrun_messages import Database, Member, NodeInfo, Outbox, RolesReleased, Roster

from burdockrun_fleet.const import ROLE_EXPIRY_MS
from burdockrun_fleet.evidence import Evidence
from burdockrun_fleet.homes import DomainHomes, HomeTable, split_share
from burdockrun_fleet.rosters import RosterTable, list_previous

_KEPT_SEALS = 16


class Role(IntEnum):
    """Role of a node for a member; the value is its place in the hash order."""

    HOME = 0
    STANDBY = 1


@dataclass(slots=True)
class _Holding:
    member: Member
    role: Role
    granted: bool = False
    used: bool = False
    closing: bool = False
    # Generation since which this node has been the holder, the one before, and its holder.
    since: int = 0
    previous: int = 0
    predecessor: str = ""
    # Role of home that a granted standby waits for, while it goes on with the reserve.
    successor: "_Holding | None" = None


class RoleKeeper:
    """Grants this node a role only when nobody else can hold it.

    A role of a new generation is granted when its holder in the generation before has released it
    and that generation was itself settled, or `ROLE_LAPSE_MS` after this node saw the generation
    sealed: by then the evidence of every earlier holder has run out. Rules: design, 3.1.
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
        self._holdings: dict[str, _Holding] = {}
        self._pending: set[str] = set()
        self._sealed_ms: dict[str, dict[int, int]] = {}
        self._released: dict[tuple[str, str], RolesReleased] = {}

    def set_members(self, members: Iterable[Member], now_ms: int) -> None:
        """Take over the members of a new configuration."""
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
                self._review(roster, None, now_ms)

    def roster_changed(self, old: Roster | None, new: Roster, now_ms: int) -> None:
        """Give up and wait for roles as a new roster demands."""
        seals = self._sealed_ms.setdefault(new.domain, {})
        if new.sealed:
            seals.setdefault(new.since, now_ms)
        # A generation is written only after the one before was sealed.
        seals.setdefault(new.previous, now_ms)
        for since in sorted(seals)[:-_KEPT_SEALS]:
            del seals[since]
        if old is not None and old.since == new.since:
            return
        self.homes.advance(new)
        consecutive = old is not None and old.since == new.previous
        self._review(new, old if consecutive else None, now_ms, dropped=not consecutive)

    def receive_release(self, peer: str, release: RolesReleased, now_ms: int) -> None:
        """Note that a peer has given up its roles of earlier generations."""
        known = self._released.get((release.domain, peer))
        if known is None or known.epoch <= release.epoch:
            self._released[release.domain, peer] = release
            self.tick(now_ms)

    def tick(self, now_ms: int) -> None:
        """Grant the roles that have become free."""
        for name in list(self._pending):
            holding = self._holdings.get(name)
            if holding is not None and holding.successor is not None:
                self._step_up(holding, now_ms)
                continue
            if holding is None or holding.granted or holding.closing:
                self._pending.discard(name)
                continue
            if self._is_free(holding, now_ms):
                holding.granted = True
                self._pending.discard(name)

    def budget(self, database: Database, member: Member, now_ms: int) -> int:
        """Return how many connections this node may have open to a member now."""
        holding = self._holdings.get(member.name)
        if holding is None or holding.closing or not holding.granted:
            return 0
        roster = self._table.rosters.get(holding.member.domain)
        if roster is None or not self._evidence.is_fresh(roster, now_ms):
            return 0
        count = split_share(database.connections // len(database.members))[holding.role]
        holding.used = holding.used or count > 0
        return count

    def release(self, member: Member, now_ms: int) -> None:
        """Note that this node has closed its last connection to a member."""
        holding = self._holdings.get(member.name)
        if holding is None:
            return
        holding.used = False
        if holding.closing:
            del self._holdings[member.name]
            roster = self._table.rosters[holding.member.domain]
            self._take(holding.member, roster, None)
            self._send_release(roster, {holding.member.name})
            self.tick(now_ms)

    def list_members(self) -> list[str]:
        """Return the names of the members for which this node has or expects a role."""
        return list(self._holdings)

    def held_role(self, member: Member) -> Role | None:
        """Return the role that was granted to this node for a member."""
        holding = self._holdings.get(member.name)
        if holding is None or holding.closing or not holding.granted:
            return None
        return holding.role

    def _review(
        self, roster: Roster, old: Roster | None, now_ms: int, *, dropped: bool = False
    ) -> None:
        members = self._members.get(roster.domain, {})
        before = _homes_of(roster) if old is not None else None
        freed = set()
        for name, holding in list(self._holdings.items()):
            if holding.member.domain != roster.domain or holding.closing:
                continue
            role = self._find_role(holding.member, roster) if name in members else None
            if role is not Role.HOME or dropped:
                holding.successor = None
            if role is holding.role and not dropped:
                continue
            if holding.successor is not None:
                continue
            if self._can_step_up(holding, role) and not dropped:
                holding.successor = self._build_holding(holding.member, Role.HOME, roster, before)
                self._pending.add(name)
                continue
            if holding.granted and holding.used:
                holding.closing = True
                continue
            del self._holdings[name]
            freed.add(name)
        for name, member in members.items():
            if name not in self._holdings:
                self._take(member, roster, before)
        self._send_release(roster, freed)
        self.tick(now_ms)

    def _take(self, member: Member, roster: Roster, before: DomainHomes | None) -> None:
        role = self._find_role(member, roster)
        if role is None or member.name not in self._members.get(roster.domain, {}):
            return
        self._holdings[member.name] = self._build_holding(member, role, roster, before)
        self._pending.add(member.name)

    def _build_holding(
        self, member: Member, role: Role, roster: Roster, before: DomainHomes | None
    ) -> _Holding:
        predecessor = before.top(member.name)[role] if before is not None else ""
        return _Holding(
            member, role, since=roster.since, previous=roster.previous, predecessor=predecessor
        )

    def _can_step_up(self, holding: _Holding, role: Role | None) -> bool:
        return role is Role.HOME and holding.role is Role.STANDBY and holding.granted

    def _step_up(self, holding: _Holding, now_ms: int) -> None:
        """Make a standby the home once the former home is gone for certain."""
        successor = holding.successor
        if successor is None or holding.closing or not self._is_free(successor, now_ms):
            return
        successor.granted = True
        successor.used = holding.used
        name = holding.member.name
        self._holdings[name] = successor
        self._pending.discard(name)
        self._send_release(self._table.rosters[holding.member.domain], {name})

    def _find_role(self, member: Member, roster: Roster) -> Role | None:
        if roster.domain not in self._table.own:
            return None
        home, standby = self.homes.find(member)
        if home is not None and home.node == self._node.node:
            return Role.HOME
        if standby is not None and standby.node == self._node.node:
            return Role.STANDBY
        return None

    def _is_free(self, holding: _Holding, now_ms: int) -> bool:
        domain = holding.member.domain
        if self._is_settled(domain, holding.since, now_ms):
            return True
        if not self._is_settled(domain, holding.previous, now_ms):
            return False
        release = self._released.get((domain, holding.predecessor))
        if release is None or release.epoch < holding.since:
            return False
        return holding.member.name not in release.members

    def _is_settled(self, domain: str, since: int, now_ms: int) -> bool:
        if since == 1:
            return True
        sealed_ms = self._sealed_ms.get(domain, {}).get(since)
        return sealed_ms is not None and now_ms - sealed_ms >= ROLE_EXPIRY_MS

    def _send_release(self, roster: Roster, freed: set[str]) -> None:
        if not freed:
            return
        kept = tuple(
            name
            for name, holding in self._holdings.items()
            if holding.member.domain == roster.domain
            and (holding.closing or (holding.granted and holding.since < roster.since))
        )
        release = RolesReleased(domain=roster.domain, epoch=roster.since, members=kept)
        members = self._members.get(roster.domain, {})
        receivers: dict[str, NodeInfo] = {}
        for name in freed & members.keys():
            for info in self.homes.find(members[name]):
                if info is not None and info.node != self._node.node:
                    receivers[info.node] = info
        for info in receivers.values():
            self._outbox.send_peer(info, release)


def _homes_of(roster: Roster) -> DomainHomes:
    homes = DomainHomes()
    nodes = list_previous(roster)
    homes.advance(Roster(domain=roster.domain, epoch=0, nodes=nodes, since=-1))
    return homes
