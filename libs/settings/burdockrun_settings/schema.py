"""Types of values in files, and conversion of validation errors into findings."""

import ipaddress
from collections.abc import Sequence
from typing import Annotated, Any, Final

from burdockrun_base import Findings
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError
from pydantic_core import ErrorDetails, PydanticCustomError

from burdockrun_settings.const import (
    CONF_SESSION_KEYS,
    MAX_FOUND_LENGTH,
    MAX_PORT,
    MAX_TEXT_LENGTH,
    NAME_DESCRIPTION,
    NAME_PATTERN,
)

_SECRET_KEYS: Final = frozenset({CONF_SESSION_KEYS})


def _check_ip_address(text: str) -> str:
    try:
        address = ipaddress.IPv4Address(text)
    except ValueError:
        raise PydanticCustomError("ip_address", "a numeric IPv4 address") from None
    if address.is_unspecified or address.is_multicast:
        raise PydanticCustomError("ip_address", "the numeric IPv4 address of one host")
    return text


def _check_printable_line(text: str) -> str:
    if not text.strip() or not text.isprintable():
        raise PydanticCustomError("line", "a line of printable text that is not blank")
    return text


Text = Annotated[str, Field(strict=True)]
Name = Annotated[Text, Field(pattern=NAME_PATTERN)]
PrintableLine = Annotated[
    Text, Field(max_length=MAX_TEXT_LENGTH), AfterValidator(_check_printable_line)
]
IpAddress = Annotated[Text, AfterValidator(_check_ip_address)]
Port = Annotated[int, Field(strict=True, ge=1, le=MAX_PORT)]
Number = Annotated[float, Field(strict=True, allow_inf_nan=False)]


class FileModel(BaseModel):
    """Base class of file sections; rejects unknown keys and does not convert types."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


def join_path(parts: Sequence[str | int]) -> str:
    """Return a key path as text.

    >>> join_path(("services", "wendedb", "ranks", 0, "floor"))
    'services.wendedb.ranks[0].floor'
    """
    path = ""
    for part in parts:
        path += f"[{part}]" if isinstance(part, int) else f".{part}" if path else part
    return path


def describe_value(value: object) -> str:
    """Return a value of a file as short text.

    >>> describe_value("x" * 500) == "'" + "x" * 79 + "..."
    True
    """
    text = repr(value)
    return text if len(text) <= MAX_FOUND_LENGTH else f"{text[:MAX_FOUND_LENGTH]}..."


def add_validation_errors(error: ValidationError, place: str, findings: Findings) -> None:
    """Add each fault in a validation error to the findings."""
    for item in error.errors(include_url=False):
        parts = [part for part in item["loc"] if part != "[key]"]
        findings.add(
            f"{place}: {join_path(parts)}",
            expected=_describe_expected(item),
            found=_describe_found(item, parts),
        )


def _describe_expected(item: ErrorDetails) -> str:
    if item["type"] == "extra_forbidden":
        return "no unknown key"
    if item["type"] == "missing":
        return "a value"
    if item["type"] == "string_pattern_mismatch":
        return NAME_DESCRIPTION
    return item["msg"].removeprefix("Input should be ").replace(" should have ", " with ")


def _describe_found(item: ErrorDetails, parts: Sequence[Any]) -> str:
    if item["type"] == "missing":
        return "nothing"
    if _SECRET_KEYS.intersection(parts):
        return "a value that is not shown"
    return describe_value(item["input"])
