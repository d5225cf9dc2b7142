"""Key-value operations, the store logic of the stand-in, and the HTTP client of the platform."""

from burdockrun_platform.client import PlatformClient
from burdockrun_platform.const import MAX_VALUE_BYTES, PLATFORM_PATH
from burdockrun_platform.envelope import (
    decode_operation,
    decode_reply,
    encode_operation,
    encode_reply,
)
from burdockrun_platform.store import KeyValueStore

__all__ = [
    "MAX_VALUE_BYTES",
    "PLATFORM_PATH",
    "KeyValueStore",
    "PlatformClient",
    "decode_operation",
    "decode_reply",
    "encode_operation",
    "encode_reply",
]
