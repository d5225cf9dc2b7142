"""Owner of accounts, which divides their limits among the enforcers."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from burdockrun_limits.const import QUERY_INTERVAL_MS, QUERY_NAME_BYTES, TAKEOVER_MS
from burdockrun_limits.models import AccountLimit, Ask, Grant, Held, Query
from burdockrun_limits.owned_account import OwnedAccount


@dataclass(kw_only=True, slots=True)
class _Takeover:
    """Query about accounts, the nodes that have not answered it, and what the others said."""

    number: int
    accounts: tuple[str, ...]
    started_ms: int
    silent: set[str]
    longest_ms: int
    sent_ms: int | None = None
    # Parts that have arrived, by node, process and number of the answer.
    parts: dict[tuple[str, int, int], set[int]] = field(default_factory=dict)
    # Time from which on all nodes that have answered were running.
    running_since_ms: int = 0
    known: set[str] = field(default_factory=set)
    # By account and node, so that a repeated answer counts once.
    released: dict[tuple[str, str], float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class TakeoverEnd:
    """End of a takeover; `silent` nodes did not answer in time."""

    accounts: int
    waited_ms: int
    silent: tuple[str, ...]


class LimitOwner:
    """Answers the asks of enforcers about the accounts that this node owns.

    It leases nothing of an account until all nodes have said what they hold of it, or until all
    leases of an earlier owner have expired.
    """

    def __init__(self, node: str, process: int, now_ms: int, *, window_s: float = 0.0) -> None:
        """Create an owner of nothing; limits are kept in any window of `window_s` seconds."""
        self.node = node
        self._window_s = window_s
        self.process = process
        # Time since which the fleet is known to be complete: operations of nodes that have left
        # before may have used the limits.
        self.quiet_since_ms = now_ms
        self.accounts: dict[str, OwnedAccount] = {}
        self._takeovers: dict[int, _Takeover] = {}
        self._last_number = 0
        # What was released of accounts that this node owned before, and to which process.
        self._released: dict[str, float] = {}
        self._receivers: dict[str, tuple[str, int]] = {}

    def set_accounts(
        self,
        limits: Mapping[str, AccountLimit],
        nodes: Iterable[str],
        now_ms: int,
        *,
        former_ms: int = 0,
    ) -> tuple[str, ...]:
        """Own exactly these accounts; return those that were taken over.

        `nodes` are all that may hold leases of an earlier owner, and `former_ms` is the time for
        which an earlier owner may go on to grant.
        """
        for name in self.accounts.keys() - limits.keys():
            self._release(name, now_ms)
        for name in self.accounts:
            if self.accounts[name].limit != limits[name]:
                self.accounts[name].set_limit(limits[name], now_ms)
        taken = tuple(name for name in limits if name not in self.accounts)
        for name in taken:
            self.accounts[name] = OwnedAccount(limits[name], self._window_s, now_ms)
            self._released.pop(name, None)
            self._receivers.pop(name, None)
        for names in _split_names(taken):
            self._last_number += 1
            self._takeovers[self._last_number] = _Takeover(
                number=self._last_number,
                accounts=names,
                started_ms=now_ms,
                silent=set(nodes),
                longest_ms=TAKEOVER_MS + former_ms,
            )
        return taken

    def build_queries(self, now_ms: int) -> list[tuple[frozenset[str], Query]]:
        """Return the queries that are due, with the nodes that have not answered them."""
        due: list[tuple[frozenset[str], Query]] = []
        for takeover in self._takeovers.values():
            if takeover.sent_ms is None or now_ms >= takeover.sent_ms + QUERY_INTERVAL_MS:
                takeover.sent_ms = now_ms
                due.append((frozenset(takeover.silent), self._build_query(takeover)))
        return due

    def handle_held(self, held: Held, now_ms: int) -> None:
        """Count what a node holds of the accounts that are being taken over."""
        takeover = self._takeovers.get(held.number)
        if takeover is None or held.to_process != self.process or held.node not in takeover.silent:
            return
        parts = takeover.parts.setdefault((held.node, held.process, held.answer), set())
        parts.add(held.part)
        for share in held.shares:
            account = self.accounts.get(share.account)
            if account is None or share.account not in takeover.accounts:
                continue
            account.adopt((held.node, held.process), share, now_ms)
            if share.known:
                takeover.known.add(share.account)
                takeover.released[share.account, held.node] = share.released
        if len(parts) == held.parts:
            takeover.silent.discard(held.node)
            takeover.running_since_ms = max(takeover.running_since_ms, now_ms - held.uptime_ms)

    def end_takeovers(self, now_ms: int) -> list[TakeoverEnd]:
        """End the takeovers that all nodes have answered, or that have lasted long enough."""
        ended: list[TakeoverEnd] = []
        for takeover in list(self._takeovers.values()):
            waited_ms = now_ms - takeover.started_ms
            if takeover.silent and waited_ms < takeover.longest_ms:
                continue
            del self._takeovers[takeover.number]
            since_ms = max(self.quiet_since_ms, takeover.running_since_ms)
            released: defaultdict[str, float] = defaultdict(float)
            for (name, _), tokens in takeover.released.items():
                released[name] += tokens
            for name in takeover.accounts:
                account = self.accounts.get(name)
                if account is not None and account.taking_over:
                    unknown = bool(takeover.silent) or name in takeover.known
                    account.begin(
                        now_ms,
                        released=released[name],
                        since_ms=None if unknown else since_ms,
                    )
            ended.append(
                TakeoverEnd(
                    accounts=len(takeover.accounts),
                    waited_ms=waited_ms,
                    silent=tuple(sorted(takeover.silent)),
                )
            )
        return ended

    def keep_nodes(self, nodes: AbstractSet[str]) -> None:
        """Wait for no answers of other nodes than these; the others have ended."""
        for takeover in self._takeovers.values():
            takeover.silent &= nodes

    def is_taking_over(self) -> bool:
        """Return whether a takeover is in progress."""
        return bool(self._takeovers)

    def handle_ask(self, ask: Ask, now_ms: int) -> Grant | None:
        """Return new leases and tokens; None if this node owns none of the accounts."""
        answers = (
            self.accounts[one.account].answer((ask.node, ask.process), ask.number, one, now_ms)
            for one in ask.accounts
            if one.account in self.accounts
        )
        grants = tuple(one for one in answers if one is not None)
        if not grants:
            return None
        return Grant(
            node=self.node,
            process=self.process,
            to_process=ask.process,
            number=ask.number,
            accounts=grants,
        )

    def release(self, query: Query, now_ms: int) -> dict[str, float]:
        """Give up accounts to a new owner; return the tokens of each that this node owned."""
        receiver = (query.node, query.process)
        if receiver == (self.node, self.process):
            return {}
        released: dict[str, float] = {}
        for name in query.accounts:
            account = self.accounts.get(name)
            if account is not None:
                self._release(name, now_ms)
            if name in self._released:
                first = self._receivers.setdefault(name, receiver)
                released[name] = self._released[name] if first == receiver else 0.0
        return released

    def _release(self, name: str, now_ms: int) -> None:
        account = self.accounts.pop(name)
        if not account.taking_over:
            self._released[name] = account.end(now_ms)
            self._receivers.pop(name, None)

    def _build_query(self, takeover: _Takeover) -> Query:
        return Query(
            node=self.node,
            process=self.process,
            number=takeover.number,
            accounts=takeover.accounts,
        )


def _split_names(names: Sequence[str]) -> Iterator[tuple[str, ...]]:
    """Divide names into groups, each of which fits into one query."""
    group: list[str] = []
    size = 0
    for name in names:
        name_size = len(name.encode()) + 3  # quotes and comma
        if group and size + name_size > QUERY_NAME_BYTES:
            yield tuple(group)
            group, size = [], 0
        group.append(name)
        size += name_size
    if group:
        yield tuple(group)
