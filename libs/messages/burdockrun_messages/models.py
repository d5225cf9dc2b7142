"""Types that several messages share: configuration, group records and node addresses."""

from dataclasses import dataclass, field
from math import isfinite
from typing import Annotated

import pydantic
from burdockrun_base import LogPosition, Rank

from burdockrun_messages.const import MAX_COUNT, MAX_VALUE_DEPTH, AckRule, GroupState

# With a recursive alias defined here, pydantic raises RecursionError when it builds a codec.
JsonValue = pydantic.JsonValue


def _check_value(value: JsonValue) -> JsonValue:
    """Refuse a value that another node could not read, or would read as another one."""
    if value is None or isinstance(value, str | int):
        return value
    level: list[JsonValue] = [value]
    for _ in range(MAX_VALUE_DEPTH + 1):
        inner: list[JsonValue] = []
        for item in level:
            if isinstance(item, float) and not isfinite(item):
                raise ValueError("a number is too large or none")
            if isinstance(item, list):
                inner.extend(item)
            elif isinstance(item, dict):
                inner.extend(item.values())
        if not inner:
            return value
        level = inner
    raise ValueError(f"nested in more than {MAX_VALUE_DEPTH} levels")


PassedValue = Annotated[JsonValue, pydantic.AfterValidator(_check_value)]
Count = Annotated[int, pydantic.Field(ge=0, le=MAX_COUNT)]


def _check_position(position: LogPosition) -> LogPosition:
    if not (0 <= position.term <= MAX_COUNT and 0 <= position.index <= MAX_COUNT):
        raise ValueError("term or index out of range")
    return position


KnownPosition = Annotated[LogPosition, pydantic.AfterValidator(_check_position)]


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """Endpoint that serves a database."""

    name: str
    domain: str
    host: str
    port: int
    control_port: int
    leaving: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Database:
    """Replicated database; `connections` is the limit over all its members together."""

    name: str
    members: tuple[Member, ...]
    connections: int
    slots: int

    def find_member(self, name: str) -> Member | None:
        """Return the member called `name`, or None."""
        return next((member for member in self.members if member.name == name), None)


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """Database service of one client account.

    `stale_reads_ms` gives, for each rank name, the greatest accepted age of data.
    """

    name: str
    account: str
    ranks: tuple[Rank, ...]
    databases: tuple[Database, ...]
    stale_reads_ms: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """State after all change tickets up to `number`; database names are unique in it."""

    number: int = 0
    services: dict[str, Service] = field(default_factory=dict)

    def find_database(self, name: str) -> tuple[Service, Database] | None:
        """Return the database called `name` with its service, or None."""
        for service in self.services.values():
            for database in service.databases:
                if database.name == name:
                    return service, database
        return None


@dataclass(frozen=True, kw_only=True, slots=True)
class TermStart:
    """Log index at which a term started."""

    term: int
    index: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ActiveTerm:
    """Primary, members and acknowledgement rule of one active term."""

    term: int
    primary: str
    members: tuple[str, ...]
    ack_rule: AckRule = AckRule.MAJORITY


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupRecord:
    """Agreed state of a database group, kept in the platform's store.

    While `state` is `fencing`, `active` is the previous active term and `term` the one being
    prepared.
    """

    database: str
    term: int
    state: GroupState
    active: ActiveTerm | None
    promoter: str = ""
    starts: tuple[TermStart, ...] = ()
    revision: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeInfo:
    """Proxy node with its address and failure domain."""

    node: str
    domain: str
    host: str
    port: int
