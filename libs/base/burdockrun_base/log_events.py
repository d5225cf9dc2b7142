"""Numbered log events; `docs/EVENTS.md` lists them all."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from absl import logging

from burdockrun_base.clock import Clock
from burdockrun_base.log_budget import LogBudget

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

    def __init__(
        self,
        log_format: str = FORMAT_TEXT,
        *,
        budget: LogBudget | None = None,
        clock: Clock | None = None,
        common: Mapping[str, object] | None = None,
    ) -> None:
        """Write in a format; with a clock each JSON line has its time, and the `common` fields."""
        self._log_format = log_format
        self._budget = budget
        self._clock = clock
        self._common = dict(common or {})

    def write(self, event: LogEvent, **fields: object) -> None:
        """Write one event with its fields, unless the budget of its kind is spent."""
        if self._budget is not None and self._clock is not None:
            dropped = self._budget.spend(event.number, self._clock.now_ms())
            if dropped is None:
                return
            if dropped:
                fields["dropped"] = dropped
        if self._log_format == FORMAT_JSON:
            record = {"event": event.number, "name": event.name, **fields, **self._common}
            if self._clock is not None:
                record["at_ms"] = self._clock.wall_ms()
            logging.log(event.level, "%s", json.dumps(record, default=str))
            return
        details = " ".join(f"{key}={value}" for key, value in fields.items())
        logging.log(event.level, "[%d] %s %s", event.number, event.name, details)
