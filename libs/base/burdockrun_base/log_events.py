"""Numbered log events; `docs/EVENTS.md` lists them all."""

import json
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from absl import logging

FORMAT_JSON: Final = "json"
FORMAT_TEXT: Final = "text"


class Level(IntEnum):
    """Severity of a log event."""

    DEBUG = logging.DEBUG
    INFO = logging.INFO
    WARNING = logging.WARNING
    ERROR = logging.ERROR


@dataclass(frozen=True, kw_only=True, slots=True)
class LogEvent:
    """Kind of log event; `number` never changes its meaning."""

    number: int
    name: str
    level: Level
    meaning: str


_events: dict[int, LogEvent] = {}


def define_event(number: int, name: str, level: Level, meaning: str) -> LogEvent:
    """Add a log event to the catalogue.

    Raises ValueError when the number or the name is taken.
    """
    if number in _events or any(event.name == name for event in _events.values()):
        raise ValueError(f"log event {number} {name!r} is defined twice")
    event = LogEvent(number=number, name=name, level=level, meaning=meaning)
    _events[number] = event
    return event


def list_events() -> tuple[LogEvent, ...]:
    """Return all defined log events by number."""
    return tuple(_events[number] for number in sorted(_events))


class EventLog:
    """Writes numbered events through absl logging, as JSON or text."""

    def __init__(self, log_format: str = FORMAT_TEXT) -> None:
        self._log_format = log_format

    def write(self, event: LogEvent, **fields: object) -> None:
        """Write one event with its fields."""
        if self._log_format == FORMAT_JSON:
            record = {"event": event.number, "name": event.name, **fields}
            logging.log(event.level, "%s", json.dumps(record, default=str))
            return
        details = " ".join(f"{key}={value}" for key, value in fields.items())
        logging.log(event.level, "[%d] %s %s", event.number, event.name, details)
