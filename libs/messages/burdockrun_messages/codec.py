"""JSON codecs for messages; malformed input is an error value, never an exception."""

from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

T = TypeVar("T")


_adapters: dict[Any, TypeAdapter[Any]] = {}


def _find_adapter(kind: Any) -> TypeAdapter[Any]:
    adapter = _adapters.get(kind)
    if adapter is None:
        adapter = _adapters[kind] = TypeAdapter(kind)
    return adapter


def encode_message(message: object) -> bytes:
    """Return a message as JSON.

    >>> from burdockrun_base import LogPosition
    >>> encode_message(LogPosition(term=1, index=2))
    b'{"term":1,"index":2}'
    """
    return _find_adapter(type(message)).dump_json(message)


def decode_message(kind: type[T], data: bytes | str) -> Result[T, str]:
    """Return the message of type `kind` in JSON `data`, or the faults found as text."""
    try:
        return Ok(_find_adapter(kind).validate_json(data))
    except ValidationError as error:
        return Err(describe_validation_error(error))


def decode_union(union: Any, data: bytes | str) -> Result[Any, str]:
    """Return the value of type `union` in JSON `data`, or the faults found as text."""
    try:
        return Ok(_find_adapter(union).validate_json(data))
    except ValidationError as error:
        return Err(describe_validation_error(error))


def describe_validation_error(error: ValidationError) -> str:
    """Return the faults with their key paths as one line."""
    return "; ".join(
        f"{'.'.join(str(part) for part in item['loc']) or 'message'}: {item['msg']}"
        for item in error.errors(include_url=False, include_input=False)
    )
