"""Commands that check files: `ticket check` and `settings check`."""

from pathlib import Path

from burdockrun_base import Findings
from burdockrun_settings import (
    Ticket,
    check_ticket,
    check_ticket_against,
    load_settings,
    read_document,
)
from result import Err, Result

from burdockrun_control.configuration import ConfigurationReader
from burdockrun_control.const import (
    EXIT_BAD_INPUT,
    EXIT_DONE,
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
)
from burdockrun_control.output import Output
from burdockrun_control.store_reader import PlatformCaller


def load_ticket(path: str) -> Result[Ticket, Findings]:
    """Return the ticket in a file, or all errors found."""
    text = read_document(Path(path))
    if isinstance(text, Err):
        return text
    return check_ticket(text.ok_value, path)


def run_ticket_check(path: str, output: Output) -> int:
    """Check a ticket file without the platform."""
    ticket = load_ticket(path)
    if isinstance(ticket, Err):
        return refuse_file(ticket.err_value, output)
    return _accept(path, ticket.ok_value, output)


async def async_run_ticket_check(path: str, platform: PlatformCaller, output: Output) -> int:
    """Check a ticket file by itself and against the current configuration."""
    ticket = load_ticket(path)
    if isinstance(ticket, Err):
        return refuse_file(ticket.err_value, output)
    current = await ConfigurationReader(platform).async_read()
    if isinstance(current, Err):
        output.write_unreachable(current.err_value)
        return EXIT_UNREACHABLE
    findings = check_ticket_against(ticket.ok_value, current.ok_value)
    if findings:
        summary = f"ticket does not fit the configuration at ticket {current.ok_value.number}"
        output.write_findings(findings, summary)
        return EXIT_REFUSED
    return _accept(path, ticket.ok_value, output)


def refuse_file(findings: Findings, output: Output) -> int:
    """Report the errors of a ticket file."""
    output.write_findings(findings, "the ticket has faults and changes nothing")
    return EXIT_BAD_INPUT


def _accept(path: str, ticket: Ticket, output: Output) -> int:
    names = list(ticket.services)
    output.write(
        f"{path}: valid ticket for {', '.join(names)}", {"result": "valid", "services": names}
    )
    return EXIT_DONE


def run_settings_check(path: str, output: Output) -> int:
    """Check a settings file of a proxy."""
    settings = load_settings(path)
    if isinstance(settings, Err):
        output.write_findings(settings.err_value, "settings have faults")
        return EXIT_BAD_INPUT
    node = settings.ok_value.node
    output.write(f"{path}: valid settings of {node}", {"result": "valid", "node": node})
    return EXIT_DONE
