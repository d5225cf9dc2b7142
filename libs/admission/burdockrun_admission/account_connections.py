"""Connections of a home to one member, each of which belongs to one account."""

from collections import Counter
from dataclasses import dataclass
from itertools import count

from burdockrun_admission.const import YOUNG_CONNECTION_MS


@dataclass(slots=True)
class _Connection:
    """Connection that is open; `in_use` includes that its last answer is being passed on."""

    account: str
    opened_ms: int
    used: int
    in_use: bool = False
    is_ending: bool = False
    in_transaction: bool = False


class AccountConnections:
    """Decides which connection serves an account, and which one is closed in favor of another.

    Connections with an empty account belong to the gateway itself, or to everybody if there are no
    accounts. Times are in ms.
    """

    def __init__(self) -> None:
        self.quota = 1
        # Number of connections up to which new ones are opened now, and from when on.
        self.open_limit = 1
        self.open_after_ms = 0
        self.open_transactions = 0
        self._connections: dict[int, _Connection] = {}
        # Idle connections by account, least recently used first.
        self._idle: dict[str, dict[int, _Connection]] = {}
        self._idle_count = 0
        self._opening: dict[int, str] = {}
        self._opening_by_account: Counter[str] = Counter()
        # Connections by account that become idle once their last answer has been passed on.
        self._ending: Counter[str] = Counter()
        # Connections by account that are in use or being opened.
        self._held: Counter[str] = Counter()
        self._uses = count(1)

    @property
    def total(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._connections) + len(self._opening)

    @property
    def opened(self) -> int:
        """Number of connections that are open."""
        return len(self._connections)

    def find_account(self, connection_id: int) -> str | None:
        """Return the account of a connection, None if it is not open."""
        known = self._connections.get(connection_id)
        return known.account if known is not None else None

    def has_idle(self, account: str) -> bool:
        """Return whether an account has an idle connection."""
        return account in self._idle

    def find_opening(self, connection_id: int) -> str | None:
        """Return the account for which a connection is being opened, None if it is not."""
        return self._opening.get(connection_id)

    def is_in_transaction(self, connection_id: int) -> bool:
        """Return whether a transaction is open on a connection."""
        known = self._connections.get(connection_id)
        return known is not None and known.in_transaction

    def can_serve(
        self, account: str, waiting: int, now_ms: int, *, others_wait: bool = False
    ) -> bool:
        """Return whether work of an account has a connection now, or may have one opened.

        `waiting` is how many requests of the account wait. None is opened while as many become
        available without.
        """
        if account in self._idle:
            return True
        if waiting <= self._opening_by_account[account] + self._ending[account]:
            return False
        if others_wait and account and self._held[account] >= max(1, self.quota // 2):
            return False
        return self.may_open(account, now_ms)

    def may_open(self, account: str, now_ms: int) -> bool:
        """Return whether a connection may be opened now, if need be in place of an idle one."""
        if now_ms < self.open_after_ms or self.quota <= 0:
            return False
        if self.total < min(self.open_limit, self.quota):
            return True
        return self.total <= self.quota and self._find_replaceable(account, now_ms) is not None

    def take_idle(self, account: str) -> int | None:
        """Return the most recently used idle connection of an account, which is then in use."""
        idle = self._idle.get(account)
        if not idle:
            return None
        connection_id = next(reversed(idle))
        self._remove_idle(connection_id, account)
        known = self._connections[connection_id]
        known.in_use = True
        known.used = next(self._uses)
        self._held[account] += 1
        return connection_id

    def start_opening(self, connection_id: int, account: str, now_ms: int) -> int | None:
        """Note that a connection is opened; return the idle one that is closed for it, if any."""
        replaced = None
        if self.total >= min(self.open_limit, self.quota):
            replaced = self._find_replaceable(account, now_ms)
            if replaced is not None:
                self.remove(replaced)
        self._opening[connection_id] = account
        self._opening_by_account[account] += 1
        self._held[account] += 1
        return replaced

    def add(self, connection_id: int, account: str, now_ms: int, *, in_use: bool = False) -> None:
        """Add an open connection."""
        self._end_opening(connection_id)
        known = _Connection(account, now_ms, next(self._uses))
        self._connections[connection_id] = known
        if in_use:
            known.in_use = True
            self._held[account] += 1
        else:
            self._add_idle(connection_id, known)

    def remove(self, connection_id: int) -> bool:
        """Remove a connection that was closed or not opened; return whether it was known."""
        if self._end_opening(connection_id):
            return True
        known = self._connections.get(connection_id)
        if known is None:
            return False
        self.note_transaction(connection_id, is_open=False)
        if known.in_use:
            self._lower(self._held, known.account)
            if known.is_ending:
                self._lower(self._ending, known.account)
        else:
            self._remove_idle(connection_id, known.account)
        del self._connections[connection_id]
        return True

    def note_ending(self, connection_id: int) -> None:
        """Note that the last statement on a connection has been answered."""
        known = self._connections.get(connection_id)
        if known is not None and known.in_use and not known.is_ending:
            known.is_ending = True
            self._ending[known.account] += 1

    def note_sent(self, connection_id: int) -> None:
        """Note that another statement is sent on a connection in use."""
        known = self._connections.get(connection_id)
        if known is not None and known.is_ending:
            known.is_ending = False
            self._lower(self._ending, known.account)

    def release(self, connection_id: int) -> bool:
        """Make a connection idle; return whether it was in use."""
        known = self._connections.get(connection_id)
        if known is None or not known.in_use:
            return False
        self.note_sent(connection_id)
        self.note_transaction(connection_id, is_open=False)
        known.in_use = False
        known.used = next(self._uses)
        self._lower(self._held, known.account)
        self._add_idle(connection_id, known)
        return True

    def note_transaction(self, connection_id: int, *, is_open: bool) -> None:
        """Note whether a transaction is open on a connection."""
        known = self._connections.get(connection_id)
        if known is not None and known.in_transaction != is_open:
            known.in_transaction = is_open
            self.open_transactions += 1 if is_open else -1

    def find_excess(self, now_ms: int) -> int | None:
        """Return an idle connection to close because there are more than the quota allows."""
        if self.total <= self.quota or not self._idle_count:
            return None
        return self._find_replaceable(None, now_ms)

    def _find_replaceable(self, account: str | None, now_ms: int) -> int | None:
        """Return the idle connection that is missed least, and not one of `account`.

        It is the least recently used one of the account with the most idle connections. The last
        control connection is kept, so that accounts cannot delay the detection of a lost member.
        """
        best: tuple[bool, int, int] | None = None
        found = None
        for other, idle in self._idle.items():
            is_kept = not other and account is not None and len(idle) == 1 and self.quota > 1
            if other == account or is_kept:
                continue
            connection_id, known = next(iter(idle.items()))
            is_young = now_ms < known.opened_ms + YOUNG_CONNECTION_MS
            key = (is_young, -len(idle), known.used)
            if best is None or key < best:
                best, found = key, connection_id
        return found

    def _add_idle(self, connection_id: int, known: _Connection) -> None:
        self._idle.setdefault(known.account, {})[connection_id] = known
        self._idle_count += 1

    def _remove_idle(self, connection_id: int, account: str) -> None:
        idle = self._idle[account]
        del idle[connection_id]
        self._idle_count -= 1
        if not idle:
            del self._idle[account]

    def _end_opening(self, connection_id: int) -> bool:
        account = self._opening.pop(connection_id, None)
        if account is None:
            return False
        self._lower(self._opening_by_account, account)
        self._lower(self._held, account)
        return True

    @staticmethod
    def _lower(counts: Counter[str], account: str) -> None:
        left = counts[account] - 1
        if left > 0:
            counts[account] = left
        else:
            del counts[account]
