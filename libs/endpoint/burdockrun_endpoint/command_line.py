"""Command-line options that the stand-in programs share."""

import argparse
from importlib import metadata

from burdockrun_base import FORMAT_JSON, FORMAT_TEXT

from burdockrun_endpoint.const import EXIT_CANNOT_LISTEN, EXIT_STOPPED, EXIT_USAGE

_EXIT_STATUSES = f"""exit status:
  {EXIT_STOPPED}  stopped by SIGTERM or SIGINT
  {EXIT_CANNOT_LISTEN}  cannot listen on the address
  {EXIT_USAGE}  bad arguments or files"""


def make_parser(program: str, description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that every program has."""
    parser = argparse.ArgumentParser(
        prog=program,
        description=description,
        epilog=_EXIT_STATUSES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    version = f"{program} {metadata.version('burdockrun-endpoint')}"
    parser.add_argument("--version", action="version", version=version)
    parser.add_argument("--log-format", choices=(FORMAT_JSON, FORMAT_TEXT), default=FORMAT_TEXT)
    parser.add_argument("--host", default="127.0.0.1", help="address to listen on")
    parser.add_argument(
        "--port", type=parse_count, required=True, help="port; 0 selects a free one"
    )
    return parser


def parse_count(text: str) -> int:
    """Return the number in `text`, which must be at least 0.

    Raises ValueError, which argparse reports with the names of the option and of this function.
    """
    number = int(text)
    if number < 0:
        raise ValueError(f"expected a number of at least 0, found {text}")
    return number
