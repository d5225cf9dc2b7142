"""Statement language of the stand-in: GET, PUT, ADD and APPEND."""

import hashlib
import json
import math
from collections.abc import Callable
from dataclasses import dataclass

from burdockrun_messages import Access, JsonValue
from result import Err, Ok, Result

from burdockrun_endpoint.models import Change

ReadValue = Callable[[str], JsonValue]


@dataclass(frozen=True, kw_only=True, slots=True)
class Effect:
    """Result of a statement, and its change if it writes."""

    key: str
    result: JsonValue
    change: Change | None = None


def evaluate(
    statement: str, parameters: tuple[JsonValue, ...], access: Access, read: ReadValue
) -> Result[Effect, str]:
    """Return the effect of a statement; `read` returns the current value of a key.

    Each word `?` is a placeholder; the parameters replace the placeholders in order.

    >>> evaluate("ADD visits ?", (2,), Access.WRITE, {"visits": 5}.get).unwrap().result
    7
    """
    words = _bind(statement, parameters)
    if isinstance(words, Err):
        return words
    match words.ok_value:
        case ["GET", key]:
            return Ok(Effect(key=str(key), result=read(str(key))))
        case ["PUT" | "ADD" | "APPEND" as verb, key, value]:
            if access is Access.READ:
                return Err(f"{verb} in a statement that is marked as a read")
            return _evaluate_write(str(verb), str(key), value, read)
    return Err("expected GET key, PUT key value, ADD key number or APPEND key value")


def fingerprint(statement: str, parameters: tuple[JsonValue, ...]) -> str:
    """Return a short digest of a statement with its parameters."""
    text = json.dumps([statement, list(parameters)], sort_keys=True)
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def _bind(statement: str, parameters: tuple[JsonValue, ...]) -> Result[list[JsonValue], str]:
    words = statement.split()
    if words.count("?") != len(parameters):
        return Err(f"{words.count('?')} places for {len(parameters)} parameters")
    values = iter(parameters)
    return Ok([next(values) if word == "?" else word for word in words])


def _evaluate_write(verb: str, key: str, value: JsonValue, read: ReadValue) -> Result[Effect, str]:
    if verb == "ADD":
        total = _add(read(key), value)
        if total is None:
            return Err(f"ADD needs numbers, {key} and its operand are not")
        value = total
    if verb == "APPEND":
        current = read(key)
        items = current if isinstance(current, list) else [] if current is None else [current]
        value = [*items, value]
    return Ok(Effect(key=key, result=value, change=Change(key=key, value=value)))


def _add(current: JsonValue, operand: JsonValue) -> int | float | None:
    total = 0 if current is None else _read_number(current)
    number = _read_number(operand)
    return None if total is None or number is None else total + number


def _read_number(value: JsonValue) -> int | float | None:
    if isinstance(value, str):
        return _parse_number(value)
    return value if isinstance(value, int | float) else None


def _parse_number(text: str) -> int | float | None:
    try:
        return int(text)
    except ValueError:
        pass
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None
