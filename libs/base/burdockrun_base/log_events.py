"""Numbered log events; `docs/EVENTS.md` lists them all."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from absl import logging

from burdockrun_base.clock import Clock
from burdockrun_base.log_limits import LogRateLimiter

FORMAT_JSON: Final = "json"
FORMAT_TEXT: Final = "text"
# Keys of spaced events that are remembered, so that their number does not grow without a bound.
MAX_SPACED_KEYS: Final = 1_000


class Level(IntEnum):
    """Severity of a log event."""

    DEBUG = logging.DEBUG
    INFO = logging.INFO
    WARNING = logging.WARNING
    ERROR = logging.ERROR


@dataclass(frozen=True, kw_only=True, slots=True)
class LogEvent:
    """Kind of log event; a `number` is never reused for another meaning."""

    number: int
    name: str
    level: Level
    meaning: str


_events: dict[int, LogEvent] = {}


def define_event(number: int, name: str, level: Level, meaning: str) -> LogEvent:
    """Add a log event to the catalogue.

    Raises ValueError if the number or the name is already in use.
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
        rate_limiter: LogRateLimiter | None = None,
        clock: Clock | None = None,
        common: Mapping[str, object] | None = None,
    ) -> None:
        """Write in `log_format`; JSON lines get the `common` fields and, with a clock, the time."""
        self._log_format = log_format
        self._rate_limiter = rate_limiter
        self._clock = clock
        self._common = dict(common or {})
        # By event and key, when it was last written, and how often it was left out since then.
        self._spaced: dict[tuple[int, str], tuple[int, int]] = {}

    def write_spaced(
        self, event: LogEvent, key: str, interval_ms: int, /, **fields: object
    ) -> None:
        """Write an event, at most once per interval for each key if there is a clock.

        The field `repeated` counts the events that were left out since the last one.
        """
        if self._clock is not None:
            now_ms = self._clock.now_ms()
            written_ms, repeated = self._spaced.get((event.number, key), (None, 0))
            if written_ms is not None and now_ms < written_ms + interval_ms:
                self._spaced[event.number, key] = (written_ms, repeated + 1)
                return
            if len(self._spaced) >= MAX_SPACED_KEYS:
                self._spaced.clear()
            self._spaced[event.number, key] = (now_ms, 0)
            if repeated:
                fields["repeated"] = repeated
        self.write(event, **fields)

    def write(self, event: LogEvent, **fields: object) -> None:
        """Write one event with its fields, unless the rate limit of its kind is exceeded."""
        if self._rate_limiter is not None and self._clock is not None:
            dropped = self._rate_limiter.acquire(event.number, self._clock.now_ms())
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
