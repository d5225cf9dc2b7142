"""Limits, errors and log events of session tokens."""

from enum import StrEnum
from typing import Final

from burdockrun_base import Level, define_event

TOKEN_VERSION: Final = "1"
MAX_TOKEN_DATABASES: Final = 64
MAX_TOKEN_CHARS: Final = 16_384
SIGNATURE_SALT: Final = b"burdockrun.session"

METRIC_TOKEN_REFUSED: Final = "session.refused"

EVENT_TOKEN_REFUSED: Final = define_event(
    201, "session_token_refused", Level.WARNING, "A request carried a session token that is invalid"
)


class TokenErrorKind(StrEnum):
    """Why a token was refused."""

    TOO_LONG = "too_long"
    DAMAGED = "damaged"
    UNKNOWN_VERSION = "unknown_version"
    BAD_SIGNATURE = "bad_signature"
    OTHER_ACCOUNT = "other_account"
