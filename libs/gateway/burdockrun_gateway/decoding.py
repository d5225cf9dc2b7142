"""Decoding of JSON that other programs have written, whatever it contains."""

import re
from ipaddress import AddressValueError, IPv4Address
from typing import Annotated, Final, TypeVar

import msgspec
from burdockrun_base import shorten_reason
from result import Err, Ok, Result

# Largest integer of 64 bits; no counter, revision or time in ms of a sound value exceeds it.
MAX_COUNT: Final = 2**63 - 1
# Amounts and durations are floats, which are exact up to this whole number.
MAX_AMOUNT: Final = 2**53
MAX_PORT: Final = 65_535
# A store key has at most this many bytes.
MAX_NAME_CHARS: Final = 200
# Printable ASCII without blanks, as a field of a line needs it.
NAME_PATTERN: Final = r"\A[!-~]+\Z"

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
# 0 stands for no port.
Port = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]
Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN, max_length=MAX_NAME_CHARS)]

T = TypeVar("T")


def decode_json(value: bytes | str, kind: type[T], *, strict: bool = True) -> Result[T, str]:
    """Decode JSON as a type; Err has a short reason, whatever the value contains.

    Without `strict`, numbers may be given as text.
    """
    try:
        return Ok(msgspec.json.decode(value, type=kind, strict=strict))
    # A value may be nested too deeply, or have a number with too many digits.
    except (msgspec.MsgspecError, ValueError, RecursionError, OverflowError) as error:
        return Err(shorten_reason(str(error)))


def is_host_address(host: str) -> bool:
    """Return whether a host is an IPv4 address of one host; names are not looked up.

    >>> is_host_address("10.128.0.9"), is_host_address("a..b"), is_host_address("0.0.0.0")
    (True, False, False)
    """
    try:
        address = IPv4Address(host)
    except AddressValueError:
        return False
    return not (address.is_unspecified or address.is_multicast)


def is_name(text: str) -> bool:
    """Return whether a text can be a field of a line.

    >>> is_name("i-7f3a91c2"), is_name("a b"), is_name("")
    (True, False, False)
    """
    return len(text) <= MAX_NAME_CHARS and re.search(NAME_PATTERN, text) is not None
