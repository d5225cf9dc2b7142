"""Enforcer of limits, which counts operations against the shares that owners lease to it."""

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from random import Random

from burdockrun_limits.buckets import Bucket, build_emergency_bucket
from burdockrun_limits.const import (
    ASK_INTERVAL_MS,
    DEMAND_CHANGE,
    DEMAND_KEPT_MS,
    FORMER_OWNER_MS,
    LEASE_MS,
    MAX_RETRY_MS,
    MAX_WAIT_MS,
    MIN_LEASE_DEMAND_PER_S,
    PRECISION,
    RENEWAL_MS,
    REPEAT_MS,
    RETRY_JITTER,
    SILENT_MS,
    TOKEN_MS,
)
from burdockrun_limits.enforced_account import EnforcedAccount
from burdockrun_limits.models import (
    AccountAsk,
    AccountGrant,
    AccountLimit,
    Ask,
    Decision,
    Grant,
    Held,
    HeldShare,
    Limited,
    MustAsk,
    Query,
    Taken,
    Tolerance,
)


class LimitEnforcer:
    """Decides whether operations of accounts may run at this node."""

    def __init__(
        self, node: str, process: int, tolerance: Tolerance, rng: Random, now_ms: int
    ) -> None:
        self.node = node
        self.process = process
        self.accounts: dict[str, EnforcedAccount] = {}
        # Accounts that had demand lately, or hold a lease.
        self._active: set[str] = set()
        self._tolerance = tolerance
        self._rng = rng
        self._started_ms = now_ms
        self._enforcers = 1
        self._last_number = 0
        self._last_answer = 0
        # Asks that may still be answered: number, node and time, and by number.
        self._sent: deque[tuple[int, str, int]] = deque()
        self._sent_ms: dict[int, tuple[str, int]] = {}

    def set_limits(self, limits: Mapping[str, AccountLimit], enforcers: int, now_ms: int) -> None:
        """Limit exactly these accounts; emergency tokens are divided among the enforcers."""
        self._enforcers = max(1, enforcers)
        for name in self.accounts.keys() - limits.keys():
            del self.accounts[name]
            self._active.discard(name)
        for name, limit in limits.items():
            emergency = self._build_emergency(limit, now_ms)
            account = self.accounts.get(name)
            if account is None:
                self.accounts[name] = EnforcedAccount(
                    limit=limit, emergency=emergency, first_number=self._last_number + 1
                )
            else:
                account.advance(now_ms)
                account.set_limit(limit, emergency)

    def set_owners(self, owners: Mapping[str, str]) -> None:
        """Ask these nodes about the accounts from now on."""
        for name, owner in owners.items():
            account = self.accounts.get(name)
            if account is not None and account.owner != owner:
                account.owner = owner
                account.successor_until_ms = 0
                account.unanswered_ms = None
                if account.answered_query is None or account.answered_query[0] != owner:
                    account.reject_former(self._last_number + 1)

    def try_take(self, name: str, now_ms: int, *, is_new: bool = True) -> Decision:
        """Count an operation if it may run; `is_new` says that it was not tried before."""
        account = self.accounts.get(name)
        if account is None:
            return Taken()
        account.advance(now_ms)
        if is_new:
            account.note_demand(now_ms)
            self._active.add(name)
        if account.try_take():
            return Taken()
        if now_ms < account.refuse_until_ms:
            return self._refuse(account, now_ms)
        if account.unanswered_ms is not None and now_ms >= account.unanswered_ms + SILENT_MS:
            return self._take_emergency(account, now_ms)
        return MustAsk()

    def give_up(self, name: str, now_ms: int) -> Decision:
        """Decide about an operation that has waited for the owner as long as it could."""
        account = self.accounts.get(name)
        if account is None:
            return Taken()
        account.advance(now_ms)
        if account.try_take():
            return Taken()
        answered = account.unanswered_ms is None and account.find_target(now_ms) != ""
        if not answered or account.taking_over or not account.known:
            return self._take_emergency(account, now_ms)
        return self._refuse(account, now_ms)

    def give_back(self, name: str, now_ms: int) -> None:
        """Return the token of an operation that was not sent, as far as the lease has room."""
        account = self.accounts.get(name)
        if account is not None:
            account.advance(now_ms)
            account.lease.tokens = min(account.lease.burst, account.lease.tokens + 1.0)

    def count_leases(self) -> int:
        """Return how many leases this node holds."""
        return sum(self.accounts[name].lease.burst > 0 for name in self._active)

    def must_report(self, name: str) -> bool:
        """Return whether the owner should soon learn that a lease was lowered.

        Until then the owner counts the former lease, and others cannot use the difference.
        """
        account = self.accounts.get(name)
        return account is not None and account.must_report

    def add_waiting(self, name: str, count: int) -> None:
        """Note that operations begin (positive) or cease (negative) to wait for the owner."""
        account = self.accounts.get(name)
        if account is not None:
            account.waiting = max(0, account.waiting + count)

    def build_asks(
        self, now_ms: int, names: Iterable[str] | None = None
    ) -> dict[str, list[AccountAsk]]:
        """Return by owner what is due to be asked.

        With `names` these are asks for operations that wait, and reports that a lease was lowered.
        `note_sent` numbers the asks that are then sent.
        """
        asks: dict[str, list[AccountAsk]] = {}
        for name in tuple(self._active) if names is None else names:
            account = self.accounts.get(name)
            if account is None or not (target := account.find_target(now_ms)):
                continue
            account.advance(now_ms)
            needed = account.waiting
            if now_ms < account.asked_ms + REPEAT_MS:
                needed = max(0, needed - account.asked_needed)
            if needed or account.must_report or (names is None and _is_due(account, now_ms)):
                asks.setdefault(target, []).append(_build_ask(name, account, needed, now_ms))
            elif account.is_idle(now_ms):
                self._active.discard(name)
        return asks

    def note_sent(self, target: str, asks: tuple[AccountAsk, ...], now_ms: int) -> Ask:
        """Return the ask to send to a node now."""
        self._last_number += 1
        number = self._last_number
        while self._sent and now_ms >= self._sent[0][2] + LEASE_MS:
            del self._sent_ms[self._sent.popleft()[0]]
        self._sent.append((number, target, now_ms))
        self._sent_ms[number] = (target, now_ms)
        for one in asks:
            account = self.accounts[one.account]
            if now_ms >= account.asked_ms + REPEAT_MS:
                account.asked_needed = 0
            account.asked_ms, account.asked_demand = now_ms, one.demand
            account.asked_needed += one.needed
            account.returned, account.must_report = 0.0, False
            if account.unanswered_ms is None:
                account.unanswered_ms = now_ms
        return Ask(node=self.node, process=self.process, number=number, accounts=asks)

    def apply_grant(self, grant: Grant, now_ms: int) -> list[str]:
        """Apply what an owner has granted; return the accounts for which it was accepted."""
        sent = self._sent_ms.get(grant.number)
        if grant.to_process != self.process or sent is None or sent[0] != grant.node:
            return []
        return [
            one.account
            for one in grant.accounts
            if self._apply(one, grant, sent_ms=sent[1], now_ms=now_ms)
        ]

    def handle_query(
        self, query: Query, released: Mapping[str, float], now_ms: int
    ) -> list[HeldShare]:
        """Return what this node holds of accounts, and accept no grants of earlier owners.

        `released` has the tokens of accounts that this node owned.
        """
        shares: list[HeldShare] = []
        for name in query.accounts:
            account = self.accounts.get(name)
            known, remaining_ms = name in released, 0
            if account is not None:
                account.advance(now_ms)
                known = known or account.known
                remaining_ms = max(0, account.expires_ms - now_ms)
                self._follow(account, query, now_ms)
            if known or remaining_ms:
                lease = account.lease if account is not None else Bucket()
                sequence = account.sequence if account is not None else 0
                tokens = released.get(name, 0.0)
                shares.append(
                    HeldShare(name, sequence, lease.rate, lease.burst, remaining_ms, known, tokens)
                )
        return shares

    def build_held(
        self, query: Query, parts: Sequence[tuple[HeldShare, ...]], now_ms: int
    ) -> list[Held]:
        """Return the answer to a query in these parts."""
        self._last_answer += 1
        return [
            Held(
                node=self.node,
                process=self.process,
                to_process=query.process,
                number=query.number,
                uptime_ms=now_ms - self._started_ms,
                answer=self._last_answer,
                shares=shares,
                part=number,
                parts=len(parts),
            )
            for number, shares in enumerate(parts)
        ]

    def find_target(self, name: str, now_ms: int) -> str:
        """Return the node to ask about an account, "" if there is none."""
        account = self.accounts.get(name)
        return account.find_target(now_ms) if account is not None else ""

    def note_pause(self, now_ms: int) -> int:
        """Drop all leases and tokens after a pause; return how many leases there were."""
        dropped = 0
        for account in self.accounts.values():
            dropped += account.lease.burst > 0
            account.drop_lease()
            account.must_report = True
            account.unanswered_ms = None
            account.reject_former(self._last_number + 1)
            account.emergency.tokens, account.emergency.updated_ms = 0.0, now_ms
        return dropped

    def _apply(self, one: AccountGrant, grant: Grant, *, sent_ms: int, now_ms: int) -> bool:
        account = self.accounts.get(one.account)
        if account is None or grant.number < account.first_number:
            return False
        if grant.number <= account.sequence or grant.node != account.find_target(now_ms):
            return False
        if account.is_former(grant.node, grant.process):
            return False
        account.follow(grant.node, grant.process)
        account.advance(now_ms)
        account.sequence = grant.number
        account.granted_ms = now_ms
        account.unanswered_ms, account.asked_needed = None, 0
        account.set_lease(one.rate, one.burst, one.filled, sent_ms)
        if now_ms < sent_ms + TOKEN_MS and one.tokens:
            account.single_tokens += one.tokens
            account.single_until_ms = sent_ms + TOKEN_MS
        account.refuse_until_ms = now_ms + one.retry_ms if one.retry_ms else 0
        account.taking_over = one.taking_over
        account.known = account.known or not one.taking_over
        account.leased_to_others = one.leased
        account.advance(now_ms)
        return True

    def _follow(self, account: EnforcedAccount, query: Query, now_ms: int) -> None:
        asker = (query.node, query.process, query.number)
        if account.answered_query == asker:
            return
        account.answered_query = asker
        account.reject_former(self._last_number + 1)
        account.follow(query.node, query.process)
        if query.node != account.owner:
            account.successor = query.node
            account.successor_until_ms = now_ms + FORMER_OWNER_MS

    def _take_emergency(self, account: EnforcedAccount, now_ms: int) -> Decision:
        if account.emergency.try_take():
            return Taken(emergency=True)
        return self._refuse(account, now_ms)

    def _refuse(self, account: EnforcedAccount, now_ms: int) -> Limited:
        wait_ms = account.lease.wait_ms()
        if now_ms < account.refuse_until_ms:
            wait_ms = min(wait_ms, float(account.refuse_until_ms - now_ms))
        elif account.unanswered_ms is not None:
            wait_ms = min(wait_ms, account.emergency.wait_ms())
        wait_ms = min(max(wait_ms, float(MAX_WAIT_MS)), float(MAX_RETRY_MS))
        return Limited(int(wait_ms * (1 + RETRY_JITTER * self._rng.random())))

    def _build_emergency(self, limit: AccountLimit, now_ms: int) -> Bucket:
        allowed = limit.rate_per_s * self._tolerance.window_s + limit.burst
        budget = self._tolerance.excess * allowed + self._tolerance.slack
        bucket = build_emergency_bucket(budget / self._enforcers, self._tolerance.window_s)
        bucket.updated_ms = now_ms
        return bucket


def _is_due(account: EnforcedAccount, now_ms: int) -> bool:
    """Return whether a lease has to be renewed or changed."""
    if now_ms < account.asked_ms + ASK_INTERVAL_MS:
        return False
    if now_ms >= account.demand_ms + DEMAND_KEPT_MS:
        return account.lease.burst > 0
    if account.unanswered_ms is not None:
        return True
    demand = account.find_demand(now_ms)
    if account.lease.burst <= 0:
        return demand >= MIN_LEASE_DEMAND_PER_S
    changed = abs(demand - account.asked_demand) >= max(1.0, DEMAND_CHANGE * account.asked_demand)
    return changed or now_ms >= account.asked_ms + RENEWAL_MS


def _build_ask(name: str, account: EnforcedAccount, needed: int, now_ms: int) -> AccountAsk:
    return AccountAsk(
        name,
        round(account.find_demand(now_ms), 3),
        needed,
        round(account.lease.tokens, 3),
        account.sequence,
        account.lease.rate,
        account.lease.burst,
        max(0, account.expires_ms - now_ms),
        int(account.returned * PRECISION) / PRECISION,
    )
