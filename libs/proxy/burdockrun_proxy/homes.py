"""Homes of all members that this node serves."""

from collections.abc import Callable, Iterator, Mapping

from burdockrun_messages import (
    Configuration,
    Database,
    GroupRecord,
    Member,
    Service,
)

from burdockrun_proxy.const import CONNECTION_LINGER_MS
from burdockrun_proxy.home import MemberHome
from burdockrun_proxy.placement import Placement

BuildHome = Callable[[Service, Database, Member], MemberHome]


class MemberHomes:
    """Opens and closes homes according to the placement of the members."""

    def __init__(
        self,
        placement: Placement,
        records: Mapping[str, GroupRecord],
        build_home: BuildHome,
        is_leaving: Callable[[Member], bool],
    ) -> None:
        self._placement = placement
        self._records = records
        self._build_home = build_home
        self._is_leaving = is_leaving
        self._homes: dict[str, MemberHome] = {}
        self._members: dict[str, tuple[Service, Database, Member]] = {}
        self._not_before_ms = 0

    def start(self, now_ms: int) -> None:
        """Delay the opening of homes.

        Endpoints may still count connections of an earlier process of this name.
        """
        self._not_before_ms = now_ms + CONNECTION_LINGER_MS

    def __iter__(self) -> Iterator[MemberHome]:
        return iter(tuple(self._homes.values()))

    @property
    def by_member(self) -> Mapping[str, MemberHome]:
        """Return the homes by the name of their member."""
        return self._homes

    @property
    def in_flight(self) -> int:
        """Return the number of requests and transactions in flight at all homes."""
        return sum(home.in_flight for home in self._homes.values())

    def find(self, member: str) -> MemberHome | None:
        """Return the home of a member, or None when this node does not serve it."""
        return self._homes.get(member)

    def find_owner(self, connection_id: int) -> MemberHome | None:
        """Return the home that owns a data connection, or None."""
        for home in self._homes.values():
            if home.pool.find(connection_id) is not None or home.pool.is_closing(connection_id):
                return home
        return None

    def list_databases(self) -> set[str]:
        """Return the names of the databases of which this node serves at least one member."""
        return {home.database.name for home in self._homes.values() if home.has_budget}

    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Apply a new configuration."""
        self._members = {
            member.name: (service, database, member)
            for service in configuration.services.values()
            for database in service.databases
            for member in database.members
        }
        for name, home in self._homes.items():
            if name in self._members:
                home.configure(*self._members[name], now_ms)
        self.resize(now_ms)

    def learn_record(self, record: GroupRecord, now_ms: int) -> None:
        """Pass a newer record to the homes of its database."""
        for home in self:
            if home.database.name == record.database:
                home.learn_record(record, now_ms)

    def resize(self, now_ms: int) -> None:
        """Open and close homes and apply the connection budget of each."""
        if now_ms < self._not_before_ms:
            return
        roles = self._placement.list_role_members()
        for name in roles:
            if name in self._members:
                self._resize_home(*self._members[name], now_ms)
        kept = self._members.keys() & set(roles)
        for name, home in tuple(self._homes.items()):
            if name not in kept:
                home.set_budget(0, now_ms)
            self._close_unused(name, home, now_ms)

    def tick(self, now_ms: int) -> None:
        """Do the periodic work of each home."""
        for home in self:
            home.tick(now_ms)

    def _resize_home(
        self, service: Service, database: Database, member: Member, now_ms: int
    ) -> None:
        budget = self._placement.connection_budget(database, member, now_ms)
        if self._is_leaving(member) and not self._is_primary(database, member):
            budget = 0
        home = self._homes.get(member.name)
        if home is None and budget > 0:
            home = self._homes[member.name] = self._build_home(service, database, member)
            home.record = self._records.get(database.name)
        if home is not None:
            home.set_budget(budget, now_ms)

    def _is_primary(self, database: Database, member: Member) -> bool:
        record = self._records.get(database.name)
        active = record.active if record is not None else None
        return active is not None and active.primary == member.name

    def _close_unused(self, name: str, home: MemberHome, now_ms: int) -> None:
        if home.has_budget:
            return
        home.return_queued(now_ms)
        if home.is_unused:
            del self._homes[name]
            self._placement.release_connections(home.member, now_ms)
