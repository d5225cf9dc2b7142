"""Exit statuses, keys, limits and log events of `burdockrunctl`."""

from typing import Final

from burdockrun_base import Level, define_event

VERSION: Final = "0.1.0"

EXIT_DONE: Final = 0
EXIT_REFUSED: Final = 1
EXIT_BAD_INPUT: Final = 2
EXIT_UNREACHABLE: Final = 3

FORMAT_JSON: Final = "json"
FORMAT_TEXT: Final = "text"

KEY_TICKETS: Final = "tickets/"
KEY_TICKETS_HEAD: Final = "tickets/head"
KEY_IN_FORCE: Final = "in_force/"
KEY_AUDIT: Final = "audit/"
KEY_ROSTERS: Final = "rosters/"
KEY_SNAPSHOT_HEAD: Final = "snapshots/head"
SUBMISSION_ID_BITS: Final = 64

DEFAULT_TIMEOUT_MS: Final = 10_000
CALL_TIMEOUT_MS: Final = 2_000
TICK_INTERVAL_MS: Final = 20
AUDIT_POLL_INTERVAL_MS: Final = 1_000
IN_FORCE_POLL_INTERVAL_MS: Final = 250
LIST_PAGE_KEYS: Final = 100
# An audit batch has up to 64 KB, so a page stays under 1 MB.
AUDIT_PAGE_KEYS: Final = 10
DEFAULT_AROUND_MS: Final = 2_000
DEFAULT_LISTED_TICKETS: Final = 20
MAX_PORT: Final = 65_535
# End of the year 9999, the last that `datetime` supports.
MAX_UNIX_TIME_MS: Final = 253_402_300_799_000

PATH_STATUS: Final = "/v1/status"
PATH_HEALTH: Final = "/healthz"
PATH_ROUTE: Final = "/route"

EVENT_TICKET_ACCEPTED: Final = define_event(
    1000, "ctl_ticket_accepted", Level.INFO, "A submitted change ticket was accepted."
)
EVENT_TICKET_REFUSED: Final = define_event(
    1001, "ctl_ticket_refused", Level.WARNING, "A change ticket was refused and changed nothing."
)
EVENT_PLATFORM_FAULT: Final = define_event(
    1002, "ctl_platform_fault", Level.ERROR, "The platform gave no usable answer."
)
EVENT_OUTCOME_UNKNOWN: Final = define_event(
    1003,
    "ctl_outcome_unknown",
    Level.ERROR,
    "It is not known whether the submitted change ticket was accepted.",
)
EVENT_INTERNAL_FAULT: Final = define_event(
    1004, "ctl_internal_fault", Level.ERROR, "The command failed with an internal error."
)
