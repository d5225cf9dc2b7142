"""Validation of settings and ticket files, and the configuration that results from tickets."""

from burdockrun_settings.codec import (
    apply_ticket_text,
    configuration_from_json,
    configuration_to_json,
    ticket_from_json,
    ticket_to_json,
)
from burdockrun_settings.documents import parse_document, read_document
from burdockrun_settings.loader import check_settings, load_settings
from burdockrun_settings.models import (
    Address,
    ProxySettings,
    SeedSettings,
    StatsdSettings,
    Ticket,
)
from burdockrun_settings.schema import (
    FileModel,
    IpAddress,
    Name,
    Number,
    Port,
    add_validation_errors,
)
from burdockrun_settings.tickets import apply_ticket, check_ticket, check_ticket_against

__all__ = [
    "Address",
    "FileModel",
    "IpAddress",
    "Name",
    "Number",
    "Port",
    "ProxySettings",
    "SeedSettings",
    "StatsdSettings",
    "Ticket",
    "add_validation_errors",
    "apply_ticket",
    "apply_ticket_text",
    "check_settings",
    "check_ticket",
    "check_ticket_against",
    "configuration_from_json",
    "configuration_to_json",
    "load_settings",
    "parse_document",
    "read_document",
    "ticket_from_json",
    "ticket_to_json",
]
