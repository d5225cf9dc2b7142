"""Validation and application of change tickets."""

from dataclasses import replace

from burdockrun_base import Findings
from burdockrun_messages import Configuration, Database, Service
from pydantic import ValidationError
from result import Err, Ok, Result

from burdockrun_settings.const import CONF_DATABASES, CONF_MEMBERS, CONF_NUMBER, CONF_SERVICES
from burdockrun_settings.documents import parse_document
from burdockrun_settings.models import Ticket
from burdockrun_settings.rules import check_rules
from burdockrun_settings.schema import add_validation_errors
from burdockrun_settings.ticket_file import TicketEntry, build_ticket

TICKET_PLACE = "ticket"


def check_ticket(text: str, place: str) -> Result[Ticket, Findings]:
    """Return the ticket in a JSON document with comments, or all faults found in it.

    `place` names the document in the findings.
    """
    document = parse_document(text, place)
    if isinstance(document, Err):
        return document
    findings = Findings()
    ticket: Ticket | None = None
    try:
        ticket = build_ticket(TicketEntry.model_validate(document.ok_value))
    except ValidationError as error:
        add_validation_errors(error, place, findings)
    check_rules(document.ok_value, place, findings)
    return Err(findings) if findings or ticket is None else Ok(ticket)


def apply_ticket(configuration: Configuration, ticket: Ticket) -> Configuration:
    """Return the configuration after a ticket; a ticket without a number gets the next one."""
    services = dict(configuration.services)
    for name, service in ticket.services.items():
        if service is None:
            services.pop(name, None)
        else:
            services[name] = service
    number = configuration.number + 1 if ticket.number is None else ticket.number
    return replace(configuration, number=number, services=services)


def check_ticket_against(ticket: Ticket, configuration: Configuration) -> Findings:
    """Return the faults of a ticket that depend on the configuration it would change."""
    findings = Findings()
    next_number = configuration.number + 1
    if ticket.number not in (None, next_number):
        findings.add(
            f"{TICKET_PLACE}: {CONF_NUMBER}",
            expected=f"{next_number}, the next number",
            found=str(ticket.number),
        )
    _check_removals(ticket, configuration, findings)
    _check_names_in_use(ticket, configuration, findings)
    _check_addresses_in_use(ticket, configuration, findings)
    for name, service in ticket.services.items():
        current = configuration.services.get(name)
        if service is not None and current is not None:
            _check_kept_members(current, service, findings)
    return findings


def _check_removals(ticket: Ticket, configuration: Configuration, findings: Findings) -> None:
    for name, service in ticket.services.items():
        if service is None and name not in configuration.services:
            findings.add(
                f"{TICKET_PLACE}: {CONF_SERVICES}.{name}",
                expected="a service that exists, to remove it",
                found="no service of this name",
            )


def _list_unchanged_services(ticket: Ticket, configuration: Configuration) -> list[Service]:
    return [
        service for name, service in configuration.services.items() if name not in ticket.services
    ]


def _list_ticket_databases(ticket: Ticket) -> list[tuple[str, Database]]:
    return [
        (
            f"{TICKET_PLACE}: {CONF_SERVICES}.{service.name}.{CONF_DATABASES}.{database.name}",
            database,
        )
        for service in ticket.services.values()
        if service is not None
        for database in service.databases
    ]


def _check_names_in_use(ticket: Ticket, configuration: Configuration, findings: Findings) -> None:
    owners = {
        database.name: service.name
        for service in _list_unchanged_services(ticket, configuration)
        for database in service.databases
    }
    for path, database in _list_ticket_databases(ticket):
        if database.name in owners:
            findings.add(
                path,
                expected="a database name that no other service uses",
                found=f"the name of a database of service {owners[database.name]!r}",
            )


def _check_addresses_in_use(
    ticket: Ticket, configuration: Configuration, findings: Findings
) -> None:
    owners = {
        (member.host, port): f"{service.name}.{database.name}.{member.name}"
        for service in _list_unchanged_services(ticket, configuration)
        for database in service.databases
        for member in database.members
        for port in (member.port, member.control_port)
    }
    for path, database in _list_ticket_databases(ticket):
        for member in database.members:
            for port in (member.port, member.control_port):
                owner = owners.get((member.host, port))
                if owner is not None:
                    findings.add(
                        f"{path}.{CONF_MEMBERS}.{member.name}",
                        expected="an address that is used once",
                        found=f"{member.host}:{port}, also of {owner}",
                    )


def _check_kept_members(current: Service, service: Service, findings: Findings) -> None:
    """Require that the new members include one of every majority of the present members.

    Under `AckRule.MAJORITY` a write is acknowledged once a majority holds it, so at least one of
    the new members holds it. This is not checked for writes acknowledged by the primary alone.
    """
    current_databases = {database.name: database for database in current.databases}
    for database in service.databases:
        current_database = current_databases.get(database.name)
        if current_database is None:
            continue
        names = {member.name for member in current_database.members}
        kept = names & {member.name for member in database.members}
        minimum = len(names) - len(names) // 2
        if len(kept) < minimum:
            findings.add(
                f"{TICKET_PLACE}: {CONF_SERVICES}.{service.name}.{CONF_DATABASES}.{database.name}"
                f".{CONF_MEMBERS}",
                expected=f"at least {minimum} of the present members {', '.join(sorted(names))}",
                found=f"{len(kept)}",
            )
