"""Command line of `burdockrun-load`."""

import argparse
from typing import Final

from burdockrun_load.const import (
    DEFAULT_DIRECT_CONNECTIONS,
    FORMAT_JSON,
    FORMAT_TEXT,
    MAX_PORT,
    VERSION,
)

EXIT_STATUSES: Final = """\
exit statuses:
  0  done
  1  consistency violation (a session did not read its own write, or a request ran twice)
  2  errors in the command line or the scenario
  3  proxies or member not reachable (the report covers the reachable target), or internal error
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="burdockrun-load",
        description="Sends the requests of a scenario to running proxies and writes a report.",
        epilog=EXIT_STATUSES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=f"burdockrun-load {VERSION}")
    parser.add_argument("--scenario", required=True, metavar="FILE", help="JSON with comments")
    parser.add_argument("--report", required=True, metavar="DIR", help="directory for the report")
    parser.add_argument(
        "--proxies",
        type=_parse_addresses,
        default=[],
        metavar="HOST:PORT[,..]",
        help="proxies to send requests to",
    )
    parser.add_argument(
        "--connections",
        type=_parse_positive_int,
        default=1,
        help="streams to each proxy (default 1)",
    )
    parser.add_argument(
        "--closed",
        type=_parse_positive_int,
        metavar="N",
        help="closed loop: N callers that wait for each answer, in place of timed arrivals",
    )
    parser.add_argument(
        "--direct",
        type=_parse_address,
        metavar="HOST:PORT",
        help="data port of a member; with --proxies, both paths are measured and compared",
    )
    parser.add_argument(
        "--direct-connections",
        type=_parse_positive_int,
        default=DEFAULT_DIRECT_CONNECTIONS,
        metavar="N",
        help=f"data connections to the member (default {DEFAULT_DIRECT_CONNECTIONS})",
    )
    parser.add_argument(
        "--direct-term",
        type=_parse_positive_int,
        default=1,
        metavar="TERM",
        help="term of the writes sent to the member (default 1)",
    )
    parser.add_argument(
        "--log-format",
        choices=(FORMAT_TEXT, FORMAT_JSON),
        default=FORMAT_TEXT,
        help="format of the log on the standard error stream",
    )
    return parser


def _parse_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        raise argparse.ArgumentTypeError(f"expected HOST:PORT, found {text!r}")
    return text


def _parse_addresses(text: str) -> list[str]:
    return [_parse_address(part) for part in text.split(",")]


def _parse_positive_int(text: str) -> int:
    if not text.isdecimal() or int(text) < 1:
        raise argparse.ArgumentTypeError(f"expected a whole number of at least 1, found {text!r}")
    return int(text)
