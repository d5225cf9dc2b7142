"""Connections of clients, by account, and the revocation of their sessions."""

from collections.abc import Iterator
from typing import Protocol

from burdockrun_base import Clock
from burdockrun_groups import Configuration

from burdockrun_gateway.client_session import ClientSession


class ClientChannel(Protocol):
    """Connection of a client."""

    session: ClientSession

    def is_busy(self) -> bool:
        """Return whether a request has no answer yet."""
        ...

    def has_partial_request(self) -> bool:
        """Return whether a request has arrived in part."""
        ...

    def close(self) -> None:
        """Send what has been written, then close the connection in order."""
        ...

    def close_idle(self) -> None:
        """Close a connection whose last answer has arrived, unless a request waits to be read.

        A request that comes later is not read, and its client is told so by a reset.
        """
        ...

    def deny(self) -> None:
        """Tell the client that its key is not valid any more, and close the connection."""
        ...


class ClientChannels:
    """Connections of clients, and those whose sessions are revoked but not yet closed."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_account: dict[str, set[ClientChannel]] = {}
        self._revoked: set[ClientChannel] = set()

    def __len__(self) -> int:
        return sum(map(len, self._by_account.values()))

    def __iter__(self) -> Iterator[ClientChannel]:
        """Yield the connections that are open now."""
        return (channel for channels in list(self._by_account.values()) for channel in [*channels])

    def add(self, channel: ClientChannel) -> None:
        """Add a connection."""
        self._by_account.setdefault(channel.session.account, set()).add(channel)

    def discard(self, channel: ClientChannel) -> None:
        """Remove a connection."""
        account = channel.session.account
        channels = self._by_account.get(account, set())
        channels.discard(channel)
        if not channels:
            self._by_account.pop(account, None)
        self._revoked.discard(channel)

    def revoke(self, before: Configuration, after: Configuration) -> None:
        """Revoke the sessions whose keys do not belong to their accounts any more.

        Only sessions of accounts whose keys have changed are visited.
        """
        if after.accounts is None:
            return
        for account in list(self._by_account):
            if not _may_be_affected(account, before, after):
                continue
            for channel in list(self._by_account.get(account, ())):
                if not _is_entitled(channel.session, after):
                    self._revoke(channel)

    def _revoke(self, channel: ClientChannel) -> None:
        session = channel.session
        session.revoke(self._clock.now_ms())
        if channel.is_busy() or session.in_transaction:
            self._revoked.add(channel)
        else:
            channel.close()

    def close_revoked(self, now_ms: int) -> None:
        """Close connections of revoked sessions that have ended or used up their time."""
        for channel in [one for one in self._revoked if not one.is_busy()]:
            session = channel.session
            if not session.in_transaction:
                channel.close()
            elif session.is_denied(now_ms):
                session.close()
                channel.deny()


def _may_be_affected(account: str, before: Configuration, after: Configuration) -> bool:
    """Return whether a change of the configuration can revoke sessions of an account."""
    assert after.accounts is not None
    if account and before.accounts is not None:
        return not after.accounts.has_same_keys(before.accounts, account)
    return bool(account) or before.accounts is None or before.routes != after.routes


def _is_entitled(session: ClientSession, configuration: Configuration) -> bool:
    """Return whether the key of a session still entitles it to its account and route.

    A session without an account needs a public route. If the route is gone, its statements are
    refused for that reason.
    """
    assert configuration.accounts is not None
    if session.account:
        return configuration.accounts.find_by_digest(session.key_digest) == session.account
    route = configuration.routes.get(session.database)
    return route is None or route.public
