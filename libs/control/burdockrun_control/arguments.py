"""Command line of `burdockrunctl`."""

import argparse
from typing import Final, TypeAlias

from burdockrun_control.const import (
    DEFAULT_AROUND_MS,
    DEFAULT_LISTED_TICKETS,
    DEFAULT_TIMEOUT_MS,
    FORMAT_JSON,
    FORMAT_TEXT,
    MAX_PORT,
    VERSION,
)

EXIT_STATUSES: Final = """\
exit statuses:
  0  done
  1  refused, or not in force in every failure domain
  2  errors in the command line, the settings or the ticket
  3  platform or proxy not reachable, or outcome unknown
"""

ROUTE_EXIT_STATUSES: Final = """\
exit statuses:
  0  explained, also when the request would be refused
  1  node not reachable
  2  errors in the command line, or an unknown database or account
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    common = _build_common(suppress=True)
    parser = argparse.ArgumentParser(
        prog="burdockrunctl",
        description="Submits change tickets to burdockrun and reads back its state.",
        epilog=EXIT_STATUSES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        parents=[_build_common(suppress=False)],
    )
    parser.add_argument("--version", action="version", version=f"burdockrunctl {VERSION}")
    groups = parser.add_subparsers(dest="group", required=True, metavar="COMMAND")
    _add_ticket(groups, common)
    _add_audit(groups, common)
    status = _add(groups, "status", "show the state of a proxy", common)
    status.add_argument("--proxy", type=parse_address, required=True, metavar="HOST:PORT")
    explain = _add(groups, "explain", "show from logs how a request was handled", common)
    explain.add_argument("request", metavar="ID", help="id of the request")
    explain.add_argument("--log", action="append", required=True, metavar="FILE")
    explain.add_argument(
        "--around-ms",
        type=_parse_positive_int,
        default=DEFAULT_AROUND_MS,
        metavar="MS",
        help=f"also show state changes this long before and after it (default {DEFAULT_AROUND_MS})",
    )
    _add_route(groups, common)
    settings = groups.add_parser("settings", help="check settings files")
    actions = settings.add_subparsers(dest="action", required=True, metavar="ACTION")
    check = _add(actions, "check", "check a settings file of a proxy", common)
    check.add_argument("file", metavar="FILE")
    return parser


def parse_address(text: str) -> str:
    """Return HOST:PORT when it has both parts, IPv6 hosts in brackets.

    >>> parse_address("[::1]:80")
    '[::1]:80'
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        raise argparse.ArgumentTypeError(f"expected HOST:PORT, found {text!r}")
    return text


def _parse_positive_int(text: str) -> int:
    if not text.isdecimal() or int(text) < 1:
        raise argparse.ArgumentTypeError(f"expected a whole number of at least 1, found {text!r}")
    return int(text)


def _build_common(*, suppress: bool) -> argparse.ArgumentParser:
    """Return a parser of the options that may stand before or after the command.

    With `suppress`, the options have no defaults. This is for those after the command, whose
    defaults would overwrite the values given before it.
    """

    def default(value: object) -> object:
        return argparse.SUPPRESS if suppress else value

    common = argparse.ArgumentParser(add_help=False)
    common.add_argument(
        "--platform",
        type=parse_address,
        metavar="HOST:PORT",
        default=default(None),
        help="address of the platform",
    )
    common.add_argument(
        "--format",
        choices=(FORMAT_TEXT, FORMAT_JSON),
        default=default(FORMAT_TEXT),
        help="format of the output",
    )
    common.add_argument(
        "--log-format",
        choices=(FORMAT_TEXT, FORMAT_JSON),
        default=default(FORMAT_TEXT),
        help="format of the log on the standard error stream",
    )
    common.add_argument(
        "--timeout-ms",
        type=_parse_positive_int,
        default=default(DEFAULT_TIMEOUT_MS),
        metavar="MS",
        help=f"longest wait of `ticket submit` and `status` (default {DEFAULT_TIMEOUT_MS})",
    )
    return common


Subparsers: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"


def _add(
    actions: Subparsers, name: str, description: str, common: argparse.ArgumentParser
) -> argparse.ArgumentParser:
    return actions.add_parser(
        name,
        help=description,
        description=f"{description[0].upper()}{description[1:]}.",
        epilog=EXIT_STATUSES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        parents=[common],
    )


def _add_ticket(groups: Subparsers, common: argparse.ArgumentParser) -> None:
    ticket = groups.add_parser("ticket", help="check, submit and list change tickets")
    actions = ticket.add_subparsers(dest="action", required=True, metavar="ACTION")
    check = _add(
        actions,
        "check",
        "check a ticket file, with --platform also against the current configuration",
        common,
    )
    check.add_argument("file", metavar="FILE")
    submit = _add(actions, "submit", "submit a ticket file", common)
    submit.add_argument("file", metavar="FILE")
    submit.add_argument(
        "--wait-in-force-ms",
        type=_parse_positive_int,
        metavar="MS",
        help="wait until the ticket is in force in every failure domain, at most this long",
    )
    submit.add_argument(
        "--submission-id",
        metavar="ID",
        help="id of an earlier attempt, to look up its outcome or to complete it",
    )
    in_force = _add(actions, "in-force", "show the ticket in force in each domain", common)
    in_force.add_argument(
        "--number",
        type=_parse_positive_int,
        help="ticket that must be in force (default: the last one accepted)",
    )
    listing = _add(actions, "list", "list accepted tickets, the last one first", common)
    listing.add_argument(
        "--last",
        type=_parse_positive_int,
        default=DEFAULT_LISTED_TICKETS,
        metavar="COUNT",
        help=f"number of tickets (default {DEFAULT_LISTED_TICKETS})",
    )


def _add_route(groups: Subparsers, common: argparse.ArgumentParser) -> None:
    route = _add(groups, "route", "show where a gateway would send a request now, and why", common)
    route.epilog = ROUTE_EXIT_STATUSES
    route.add_argument(
        "--node", type=parse_address, required=True, metavar="HOST:PORT", help="metrics address"
    )
    route.add_argument("--database", required=True, metavar="D", help="name that clients use")
    route.add_argument("--account", required=True, metavar="A", help="name of the account")
    route.add_argument("--kind", required=True, choices=("read", "write"))
    route.add_argument("--item", default="", metavar="I", help="item of the request")
    route.add_argument(
        "--after",
        type=_parse_position,
        metavar="POSITION",
        help="position TERM.NUMBER of the last commit of the session",
    )
    route.add_argument("--json", action="store_true", help="the same as --format json")


def _parse_position(text: str) -> str:
    term, _, number = text.partition(".")
    if not term.isdecimal() or not number.isdecimal():
        raise argparse.ArgumentTypeError("expected TERM.NUMBER")
    return text


def _add_audit(groups: Subparsers, common: argparse.ArgumentParser) -> None:
    audit = _add(groups, "audit", "show the audit trail", common)
    audit.add_argument(
        "--follow",
        choices=("yes", "no"),
        default="no",
        help="wait for further records until interrupted (default no)",
    )
