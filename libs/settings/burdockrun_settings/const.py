"""Keys and limits of settings and ticket files."""

from typing import Final

CONF_CONNECTIONS: Final = "connections"
CONF_CONTROL_PORT: Final = "control_port"
CONF_DATABASES: Final = "databases"
CONF_FLOOR: Final = "floor"
CONF_HOST: Final = "host"
CONF_LEAVING: Final = "leaving"
CONF_MEMBERS: Final = "members"
CONF_NAME: Final = "name"
CONF_NUMBER: Final = "number"
CONF_ORDER: Final = "order"
CONF_PORT: Final = "port"
CONF_RANKS: Final = "ranks"
CONF_SERVICES: Final = "services"
CONF_SESSION_KEYS: Final = "session_keys"
CONF_STALE_READS_MS: Final = "stale_reads_ms"

NAME_PATTERN: Final = r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$"
NAME_DESCRIPTION: Final = "a name of 1 to 63 letters, digits, '_', '.' and '-'"

MAX_FILE_BYTES: Final = 256 * 1024
MAX_PORT: Final = 65_535
MAX_FLOOR_SUM: Final = 0.9
# Sums of decimal shares such as 0.1 + 0.2 differ from the written sum in the last binary digits.
FLOOR_SUM_TOLERANCE: Final = 1e-9
MAX_RANKS: Final = 16
MAX_MEMBERS: Final = 9
MAX_CONNECTIONS: Final = 10_000
MAX_SLOTS: Final = 1_000
MAX_TARGET_MS: Final = 600_000
MAX_STALENESS_MS: Final = 86_400_000
MAX_TEXT_LENGTH: Final = 2_000
MAX_FOUND_LENGTH: Final = 80
MIN_SESSION_KEY_LENGTH: Final = 16
# The home of a member and its standby need one connection each.
MIN_CONNECTIONS_PER_MEMBER: Final = 2

DEFAULT_DRAIN_TIMEOUT_MS: Final = 30_000
DEFAULT_MAX_IN_FLIGHT: Final = 2_048
DEFAULT_STATSD_PORT: Final = 8_125
