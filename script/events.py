"""Writes the catalogue of log events, docs/EVENTS.md."""

import importlib
from pathlib import Path
from typing import Final

from burdockrun_base import Level, LogEvent, list_events

ROOT: Final = Path(__file__).resolve().parent.parent
PAGE: Final = ROOT / "docs" / "EVENTS.md"
COLUMNS: Final = 5
DEFAULT_ADVICE: Final = {
    Level.DEBUG: "Nothing.",
    Level.INFO: "Nothing.",
    Level.WARNING: "Nothing at once; look for the cause when it repeats.",
    Level.ERROR: "Find the cause from the fields of the event.",
}
HEAD: Final = """\
# Log events

Each log event has a number that never changes its meaning. With `--log-format json` a line is one JSON object with `event`
(the number), `name` and the fields of the event, at proxies and gateways also the time as `at_ms`; with `text` it is
`[number] name field=value ...`. Repetitions of events 910 and 911 are left out for up to 10 s; `repeated` or `left_out` counts them.

`script/events` writes this page from the code and keeps the column "what to do"; `tests/test_events.py` checks that
they agree. Numbers: settings 1xx, sessions 2xx, routing 3xx, admission 4xx, failover 5xx, fleet 6xx, platform 7xx,
endpoint 8xx, proxy 9xx, control 10xx, load 11xx, bench 12xx, gateway 13xx.

| number | name | level | meaning | what to do |
| --- | --- | --- | --- | --- |
"""


def import_events() -> tuple[LogEvent, ...]:
    """Import the `const` module of every library and return the events that they define."""
    for path in sorted(ROOT.glob("libs/*/burdockrun_*/const.py")):
        importlib.import_module(f"{path.parent.name}.const")
    return list_events()


def read_rows(text: str) -> dict[int, list[str]]:
    """Return the cells of each row of the page, by number of the event."""
    rows = {}
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if line.startswith("|") and len(cells) == COLUMNS and cells[0].isdecimal():
            rows[int(cells[0])] = cells
    return rows


def build_page(events: tuple[LogEvent, ...], rows: dict[int, list[str]]) -> str:
    """Return the page for the events, with the advice from the existing rows."""
    lines = []
    for event in events:
        existing = rows.get(event.number)
        advice = existing[-1] if existing else DEFAULT_ADVICE[event.level]
        level = event.level.name.lower()
        lines.append(f"| {event.number} | {event.name} | {level} | {event.meaning} | {advice} |\n")
    return HEAD + "".join(lines)


if __name__ == "__main__":
    existing_text = PAGE.read_text() if PAGE.exists() else ""
    PAGE.write_text(build_page(import_events(), read_rows(existing_text)))
