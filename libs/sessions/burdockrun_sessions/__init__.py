"""Session tokens: read-your-writes consistency across proxies."""

from burdockrun_sessions.codec import TokenCodec
from burdockrun_sessions.const import (
    EVENT_TOKEN_REFUSED,
    MAX_TOKEN_CHARS,
    MAX_TOKEN_DATABASES,
    METRIC_TOKEN_REFUSED,
    TokenErrorKind,
)
from burdockrun_sessions.models import SessionToken, TokenError, join_positions

__all__ = [
    "EVENT_TOKEN_REFUSED",
    "MAX_TOKEN_CHARS",
    "MAX_TOKEN_DATABASES",
    "METRIC_TOKEN_REFUSED",
    "SessionToken",
    "TokenCodec",
    "TokenError",
    "TokenErrorKind",
    "join_positions",
]
