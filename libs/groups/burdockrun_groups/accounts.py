"""Accounts of clients, and the keys that belong to them."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from hmac import compare_digest
from typing import Final

# Keys are compared by keyed digests of this size.
DIGEST_BYTES: Final = 32
# Bytes of a digest by which it is looked up before it is compared as a whole.
LOOKUP_BYTES: Final = 8
# A longer key belongs to no account.
MAX_KEY_BYTES: Final = 256


@dataclass(frozen=True, kw_only=True, slots=True)
class Account:
    """Account of a client.

    It may run `rate_per_s` operations per second on average, without limit if None, and `burst`
    operations at once.
    """

    name: str
    rate_per_s: float | None = None
    burst: float = 0.0


class AccountTable:
    """Accounts of a ticket by name, with digests of their keys.

    Only digests are kept, made with `secret`, which tables that are compared with each other must
    share. Keys are byte strings: those of a ticket in UTF-8, those of clients as they were sent.
    """

    def __init__(
        self, accounts: Iterable[Account], keys: Mapping[str, Iterable[bytes]], *, secret: bytes
    ) -> None:
        """Build the table; `keys` has the keys by account name, none of two accounts."""
        self.accounts = {account.name: account for account in accounts}
        self._secret = secret
        self._digests = {
            name: frozenset(self.compute_digest(key) for key in keys.get(name, ()))
            for name in self.accounts
        }
        self._lookup: dict[bytes, list[tuple[bytes, str]]] = {}
        for name, digests in self._digests.items():
            for digest in digests:
                self._lookup.setdefault(digest[:LOOKUP_BYTES], []).append((digest, name))

    def __repr__(self) -> str:
        return f"AccountTable({len(self.accounts)} accounts)"

    def compute_digest(self, key: bytes) -> bytes:
        """Return the keyed digest of a key."""
        return blake2b(key, key=self._secret, digest_size=DIGEST_BYTES).digest()

    def find(self, key: bytes) -> str | None:
        """Return the name of the account that a key belongs to, None for an unknown key."""
        if not key or len(key) > MAX_KEY_BYTES:
            return None
        return self.find_by_digest(self.compute_digest(key))

    def find_by_digest(self, digest: bytes) -> str | None:
        """Return the name of the account that the key with a digest belongs to.

        The lookup by the first bytes reveals nothing about a key, since the digest is keyed with a
        secret. Whole digests are compared in constant time.
        """
        for known, name in self._lookup.get(digest[:LOOKUP_BYTES], ()):
            if compare_digest(known, digest):
                return name
        return None

    def has_same_keys(self, other: "AccountTable", name: str) -> bool:
        """Return whether an account has the same keys in both tables."""
        return self._digests.get(name) == other._digests.get(name)
