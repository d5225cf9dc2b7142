"""Tests of the catalogue of log events."""

import importlib
from pathlib import Path

from burdockrun_base import list_events

ROOT = Path(__file__).resolve().parent.parent
FIRST_NUMBERS = {
    "settings": 100,
    "sessions": 200,
    "routing": 300,
    "admission": 400,
    "failover": 500,
    "fleet": 600,
    "platform": 700,
    "endpoint": 800,
    "proxy": 900,
    "control": 1000,
    "load": 1100,
    "bench": 1200,
    "gateway": 1300,
}


def _import_const_modules() -> None:
    for path in ROOT.glob("libs/*/burdockrun_*/const.py"):
        importlib.import_module(f"{path.parent.name}.const")


def _read_catalogue() -> list[list[str]]:
    lines = (ROOT / "docs" / "EVENTS.md").read_text().splitlines()
    rows = [
        [cell.strip() for cell in line.strip("|").split("|")] for line in lines if line[:1] == "|"
    ]
    return [row for row in rows if row[0].isdecimal()]


def test_catalogue_and_code_have_the_same_events() -> None:
    """Guards against logged events that are not in docs/EVENTS.md; run script/events."""
    _import_const_modules()
    defined = [
        [str(event.number), event.name, event.level.name.lower(), event.meaning]
        for event in list_events()
    ]
    assert [row[:4] for row in _read_catalogue()] == defined


def test_each_event_has_advice_for_operators() -> None:
    """Guards against events without advice to the operator."""
    assert [row[0] for row in _read_catalogue() if len(row) != 5 or not row[4]] == []


def test_numbers_lie_in_the_range_of_their_library() -> None:
    """Guards against two libraries that use the same numbers."""
    misplaced = []
    for path in ROOT.glob("libs/*/burdockrun_*/const.py"):
        first = FIRST_NUMBERS.get(path.parent.parent.name)
        module = importlib.import_module(f"{path.parent.name}.const")
        for event in vars(module).values():
            number = getattr(event, "number", None)
            if isinstance(number, int) and (first is None or not first <= number < first + 100):
                misplaced.append(f"{path.parent.name}: {number}")
    assert misplaced == []
