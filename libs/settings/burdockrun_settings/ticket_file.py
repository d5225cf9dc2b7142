"""Format of a ticket file and its conversion to a change ticket."""

from typing import Annotated

from burdockrun_messages import Database, Member, Rank, Service
from pydantic import Field

from burdockrun_settings.const import (
    MAX_CONNECTIONS,
    MAX_MEMBERS,
    MAX_RANKS,
    MAX_SLOTS,
    MAX_STALENESS_MS,
    MAX_TARGET_MS,
)
from burdockrun_settings.models import Ticket
from burdockrun_settings.schema import FileModel, IpAddress, Name, Number, Port, PrintableLine


class RankEntry(FileModel):
    """Work rank in a ticket file."""

    name: Name
    order: Annotated[int, Field(strict=True, ge=0)]
    target_ms: Annotated[int, Field(strict=True, ge=1, le=MAX_TARGET_MS)]
    worth: Annotated[Number, Field(gt=0)]
    floor: Annotated[Number, Field(ge=0, le=1)]


class MemberEntry(FileModel):
    """Database member in a ticket file."""

    domain: Name
    host: IpAddress
    port: Port
    control_port: Port
    leaving: bool = False


class DatabaseEntry(FileModel):
    """Database in a ticket file."""

    connections: Annotated[int, Field(strict=True, ge=1, le=MAX_CONNECTIONS)]
    slots: Annotated[int, Field(strict=True, ge=1, le=MAX_SLOTS)]
    members: Annotated[dict[Name, MemberEntry], Field(min_length=1, max_length=MAX_MEMBERS)]


class ServiceEntry(FileModel):
    """Service in a ticket file."""

    account: Name
    ranks: Annotated[list[RankEntry], Field(min_length=1, max_length=MAX_RANKS)]
    databases: Annotated[dict[Name, DatabaseEntry], Field(min_length=1)]
    stale_reads_ms: dict[Name, Annotated[int, Field(strict=True, ge=0, le=MAX_STALENESS_MS)]] = (
        Field(default_factory=dict)
    )


class TicketEntry(FileModel):
    """Whole ticket file."""

    author: PrintableLine
    reason: PrintableLine
    services: Annotated[dict[Name, ServiceEntry | None], Field(min_length=1)]
    number: Annotated[int, Field(strict=True, ge=1)] | None = None


def build_ticket(entry: TicketEntry) -> Ticket:
    """Return the change ticket of a valid ticket file."""
    return Ticket(
        author=entry.author,
        reason=entry.reason,
        number=entry.number,
        services={
            name: None if service is None else _build_service(name, service)
            for name, service in entry.services.items()
        },
    )


def _build_service(name: str, entry: ServiceEntry) -> Service:
    ranks = (Rank(**rank.model_dump()) for rank in entry.ranks)
    return Service(
        name=name,
        account=entry.account,
        ranks=tuple(sorted(ranks, key=lambda rank: rank.order)),
        databases=tuple(
            _build_database(database, content) for database, content in entry.databases.items()
        ),
        stale_reads_ms=dict(entry.stale_reads_ms),
    )


def _build_database(name: str, entry: DatabaseEntry) -> Database:
    members = (
        Member(name=member, **content.model_dump()) for member, content in entry.members.items()
    )
    return Database(
        name=name, members=tuple(members), connections=entry.connections, slots=entry.slots
    )
