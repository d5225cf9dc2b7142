"""JSON forms of tickets and configurations, as kept in the platform's store.

They contain no comments and are not checked against the rules again, so that an accepted ticket
stays readable when a later version has stricter rules.
"""

from typing import Final

from burdockrun_messages import Configuration, describe_validation_error
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from burdockrun_settings.models import Ticket
from burdockrun_settings.tickets import apply_ticket

_TICKETS: Final = TypeAdapter(Ticket)
_CONFIGURATIONS: Final = TypeAdapter(Configuration)


def ticket_to_json(ticket: Ticket) -> str:
    """Return a ticket as JSON text."""
    return _TICKETS.dump_json(ticket, exclude_defaults=True).decode()


def ticket_from_json(text: str) -> Result[Ticket, str]:
    """Return the ticket in JSON text, or the faults found."""
    try:
        return Ok(_TICKETS.validate_json(text))
    except ValidationError as error:
        return Err(describe_validation_error(error))


def configuration_to_json(configuration: Configuration) -> str:
    """Return a configuration as JSON text."""
    return _CONFIGURATIONS.dump_json(configuration, exclude_defaults=True).decode()


def configuration_from_json(text: str) -> Result[Configuration, str]:
    """Return the configuration in JSON text, or the faults found."""
    try:
        return Ok(_CONFIGURATIONS.validate_json(text))
    except ValidationError as error:
        return Err(describe_validation_error(error))


def apply_ticket_text(configuration: Configuration, text: str) -> Result[Configuration, str]:
    """Return the configuration after an accepted ticket in JSON text, or the faults found."""
    return ticket_from_json(text).map(lambda ticket: apply_ticket(configuration, ticket))
