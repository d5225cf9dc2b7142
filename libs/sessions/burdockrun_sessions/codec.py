"""Signed text form of session tokens."""

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from collections.abc import Sequence
from typing import Any

import orjson
from burdockrun_messages import LogPosition
from itsdangerous import Signer
from itsdangerous.signer import SigningAlgorithm
from result import Err, Ok, Result

from burdockrun_sessions.const import (
    MAX_TOKEN_CHARS,
    MAX_TOKEN_DATABASES,
    SIGNATURE_SALT,
    TOKEN_VERSION,
    TokenErrorKind,
)
from burdockrun_sessions.models import SessionToken, TokenError

_SEPARATOR = "."
_PREFIX = TOKEN_VERSION + _SEPARATOR


class _HmacSha256(SigningAlgorithm):
    """HMAC in one call of the C library, several times as fast as `hmac.new`."""

    def get_signature(self, key: bytes, value: bytes) -> bytes:
        return hmac.digest(key, value, "sha256")


class TokenCodec:
    """Encodes tokens as signed text and decodes them.

    The text is `<version>.<payload>.<signature>`. The payload is the base64 form of a JSON array of
    the client account, `unlisted_at_primary` and the positions `{database: [term, index]}`. The
    first key signs and all keys verify, so a key is rotated by inserting a new one in front. Raises
    ValueError when there is no key or a key is empty.
    """

    def __init__(self, keys: Sequence[str]) -> None:
        if not keys or not all(keys):
            raise ValueError("session tokens need at least one key, and no key may be empty")
        self._signer = Signer(
            [hmac.digest(key.encode(), SIGNATURE_SALT, "sha256") for key in reversed(keys)],
            sep=_SEPARATOR,
            key_derivation="none",
            algorithm=_HmacSha256(),
        )

    def encode(self, token: SessionToken, account: str) -> str:
        """Return the token as text that only `account` can use.

        Databases are dropped until the text has at most `MAX_TOKEN_CHARS` characters.
        """
        text = self._sign(token, account)
        while len(text) > MAX_TOKEN_CHARS:
            token = _keep_half(token)
            text = self._sign(token, account)
        return text

    def decode(self, text: str, account: str) -> Result[SessionToken, TokenError]:
        """Return the token in `text`, or why it is refused."""
        if len(text) > MAX_TOKEN_CHARS:
            return _refuse(TokenErrorKind.TOO_LONG, f"longer than {MAX_TOKEN_CHARS} characters")
        version, separator, _ = text.partition(_SEPARATOR)
        if not separator or not text.isascii():
            return _refuse(TokenErrorKind.DAMAGED, "not a session token")
        if version != TOKEN_VERSION:
            return _refuse(TokenErrorKind.UNKNOWN_VERSION, "of a version that is not supported")
        signed, _, signature = text.rpartition(_SEPARATOR)
        if not self._signer.verify_signature(signed, signature):
            return _refuse(TokenErrorKind.BAD_SIGNATURE, "not signed with a current key")
        try:
            payload = orjson.loads(urlsafe_b64decode(signed[len(_PREFIX) :]))
            owner, token = _read_payload(payload)
        except (ValueError, TypeError):
            return _refuse(TokenErrorKind.DAMAGED, "signed, but its content is malformed")
        if owner != account:
            return _refuse(TokenErrorKind.OTHER_ACCOUNT, "issued to another client account")
        return Ok(token)

    def _sign(self, token: SessionToken, account: str) -> str:
        positions = {
            name: (position.term, position.index) for name, position in token.positions.items()
        }
        payload = orjson.dumps([account, token.unlisted_at_primary, positions])
        signed = _PREFIX + urlsafe_b64encode(payload).decode()
        return signed + _SEPARATOR + self._signer.get_signature(signed).decode()


def _refuse(kind: TokenErrorKind, reason: str) -> Err[TokenError]:
    return Err(TokenError(kind=kind, message=f"the session token is {reason}"))


def _keep_half(token: SessionToken) -> SessionToken:
    kept = sorted(token.positions)[: len(token.positions) // 2]
    return SessionToken(
        positions={name: token.positions[name] for name in kept}, unlisted_at_primary=True
    )


def _read_payload(payload: Any) -> tuple[str, SessionToken]:
    owner, unlisted_at_primary, entries = payload
    if not isinstance(entries, dict) or len(entries) > MAX_TOKEN_DATABASES:
        raise ValueError("positions are not an object of at most 64 databases")
    positions = {
        name: LogPosition(term=int(term), index=int(index))
        for name, (term, index) in entries.items()
    }
    return owner, SessionToken(positions=positions, unlisted_at_primary=bool(unlisted_at_primary))
