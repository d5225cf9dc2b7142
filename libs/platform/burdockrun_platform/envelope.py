"""JSON envelope of `POST /v1/platform`."""

import json
from typing import Any, Final, get_args

from burdockrun_messages import (
    PlatformOperation,
    PlatformReply,
    decode_message,
    encode_message,
)
from result import Err, Ok, Result

from burdockrun_platform.const import (
    FIELD_ARGUMENTS,
    FIELD_OPERATION,
    FIELD_REPLY,
    FIELD_VALUE,
)

_OPERATIONS: Final[dict[str, Any]] = {kind.__name__: kind for kind in get_args(PlatformOperation)}
_REPLIES: Final[dict[str, Any]] = {kind.__name__: kind for kind in get_args(PlatformReply)}


def encode_operation(operation: PlatformOperation) -> bytes:
    """Return the request body of an operation.

    >>> from burdockrun_messages import GetKey
    >>> encode_operation(GetKey(key="a"))
    b'{"operation":"GetKey","arguments":{"key":"a"}}'
    """
    return _encode(FIELD_OPERATION, FIELD_ARGUMENTS, operation)


def decode_operation(data: bytes | str) -> Result[PlatformOperation, str]:
    """Return the operation in a request body, or a text that says what is wrong with it."""
    return _decode(_OPERATIONS, FIELD_OPERATION, FIELD_ARGUMENTS, data)


def encode_reply(reply: PlatformReply) -> bytes:
    """Return the response body of a reply."""
    return _encode(FIELD_REPLY, FIELD_VALUE, reply)


def decode_reply(data: bytes | str) -> Result[PlatformReply, str]:
    """Return the reply in a response body, or a text that says what is wrong with it."""
    return _decode(_REPLIES, FIELD_REPLY, FIELD_VALUE, data)


def _encode(name_field: str, value_field: str, message: object) -> bytes:
    name = type(message).__name__.encode()
    value = encode_message(message)
    return b'{"%s":"%s","%s":%s}' % (name_field.encode(), name, value_field.encode(), value)


def _decode(
    kinds: dict[str, Any], name_field: str, value_field: str, data: bytes | str
) -> Result[Any, str]:
    try:
        envelope = json.loads(data)
    except (ValueError, RecursionError):
        return Err("body is not JSON")
    if not isinstance(envelope, dict):
        return Err("body is not a JSON object")
    name = envelope.get(name_field)
    kind = kinds.get(name) if isinstance(name, str) else None
    if kind is None:
        return Err(f"{name_field}: unknown name")
    if value_field not in envelope:
        return Err(f"{value_field}: missing")
    decoded = decode_message(kind, json.dumps(envelope[value_field]))
    if isinstance(decoded, Ok):
        return Ok(decoded.ok_value)
    return Err(decoded.err_value)
