"""Configuration and group records for the measurements of the fleet."""

from collections.abc import Iterator, Sequence

from burdockrun_messages import (
    ActiveTerm,
    Configuration,
    Database,
    GroupRecord,
    GroupState,
    Member,
    Rank,
    Service,
    VmEntry,
    encode_message,
)
from burdockrun_settings import (
    Ticket,
    apply_ticket,
    configuration_from_json,
    configuration_to_json,
    ticket_from_json,
    ticket_to_json,
)
from result import Err, Ok, Result

from burdockrun_fleet.models import TicketFunctions

DOMAINS = ("domain-a", "domain-b", "domain-c", "domain-d")
_RANKS = tuple(
    Rank(name=name, order=order, target_ms=200 * 5**order, worth=10.0 / 3**order, floor=0.1)
    for order, name in enumerate(("urgent", "routine", "report"))
)


class SharedTicketFunctions:
    """Ticket functions that give all nodes of one process the same configuration objects."""

    def __init__(self) -> None:
        self._applied: dict[tuple[int, str], Configuration] = {}
        self._loaded: dict[str, Configuration] = {}

    def make(self) -> TicketFunctions:
        """Return the functions, which build each configuration only once."""
        return TicketFunctions(apply=self._apply, dump=configuration_to_json, load=self._load)

    def _apply(self, configuration: Configuration, text: str) -> Result[Configuration, str]:
        key = (configuration.number, text)
        if key not in self._applied:
            ticket = ticket_from_json(text)
            if isinstance(ticket, Err):
                return ticket
            self._applied[key] = apply_ticket(configuration, ticket.ok_value)
        return Ok(self._applied[key])

    def _load(self, text: str) -> Result[Configuration, str]:
        if text not in self._loaded:
            loaded = configuration_from_json(text)
            if isinstance(loaded, Err):
                return loaded
            self._loaded[text] = loaded.ok_value
        return Ok(self._loaded[text])


def make_database(number: int) -> Database:
    """Return a database with three members in three domains."""
    members = tuple(
        Member(
            name=f"database-{number:04d}-{index}",
            domain=DOMAINS[(number + index) % len(DOMAINS)],
            host=f"10.1.{number // 250}.{number % 250 + 1}",
            port=10_000 + index,
            control_port=20_000 + index,
        )
        for index in range(3)
    )
    return Database(name=f"database-{number:04d}", members=members, connections=16, slots=2)


def make_endpoint_vms(databases: int) -> list[VmEntry]:
    """Return the VMs of all members as the platform lists them."""
    return [
        VmEntry(
            name=member.name,
            domain=member.domain,
            host=member.host,
            port=member.port,
            kind="endpoint",
        )
        for number in range(databases)
        for member in make_database(number).members
    ]


def make_ticket(number: int, databases: Sequence[int]) -> str:
    """Return the text of a ticket that sets the service of some databases."""
    name = f"service-{databases[0] // 10:03d}"
    service = Service(
        name=name,
        account=f"account-{databases[0] // 10:03d}",
        ranks=_RANKS,
        databases=tuple(make_database(at) for at in databases),
        stale_reads_ms={"report": 5_000 + number},
    )
    return ticket_to_json(
        Ticket(
            author="operator",
            reason="measurement",
            services={name: service},
            submission_id=f"submission-{number}",
        )
    )


def make_records(databases: int) -> Iterator[tuple[str, str]]:
    """Yield key and value of the group record of each database."""
    for number in range(databases):
        database = make_database(number)
        names = tuple(member.name for member in database.members)
        record = GroupRecord(
            database=database.name,
            term=1,
            state=GroupState.ACTIVE,
            active=ActiveTerm(term=1, primary=names[0], members=names),
        )
        yield f"groups/{database.name}", encode_message(record).decode()
