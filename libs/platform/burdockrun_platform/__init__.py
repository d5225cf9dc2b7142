"""HTTP client and JSON envelope of the platform, and the key-value store of its stand-in."""

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
