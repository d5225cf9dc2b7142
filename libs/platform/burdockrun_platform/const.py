"""Limits, path and field names of the platform library."""

from typing import Final

PLATFORM_PATH: Final = "/v1/platform"
MAX_VALUE_BYTES: Final = 1_048_576
MAX_TOMBSTONES: Final = 10_000
MAX_LIST_LIMIT: Final = 1_000
FIELD_OPERATION: Final = "operation"
FIELD_ARGUMENTS: Final = "arguments"
FIELD_REPLY: Final = "reply"
FIELD_VALUE: Final = "value"
