"""Set-up of a test run: signals, and the tests that KNOWN-RED.txt lists.

Those are expected to fail, and are printed in the report.
"""

import signal
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def read_known_red() -> dict[str, str]:
    """Return the ids of the listed tests with their descriptions.

    A line is `<test id> | <command and seed> | <what was seen> | <issue>`; `#` starts a comment.
    """
    if not KNOWN_RED.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines()]
    entries = [line.split("|", 1) for line in lines if line and not line.startswith("#")]
    return {entry[0].strip(): entry[-1].strip() for entry in entries}


def pytest_configure() -> None:
    """Let SIGHUP have its default action in programs that tests start, also in a run by nohup.

    They would inherit that it is ignored, which the tests of signals take for the program's doing.
    """
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


def pytest_report_header() -> list[str]:
    """Print the known failures in the header of each run."""
    return [f"known red: {test}: {text}" for test, text in read_known_red().items()]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures; one that passes fails the run.

    One whose entry says that it fails sometimes may pass.
    """
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            reason = known[item.nodeid]
            is_strict = "fails sometimes" not in reason
            item.add_marker(pytest.mark.xfail(reason=reason, strict=is_strict))
