"""Bucket of an account at its owner, and the shares that it has leased to enforcers."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import ceil, exp

from burdockrun_limits.buckets import MS_PER_SECOND, Bucket
from burdockrun_limits.const import (
    CLOCK_RATE_ERROR,
    DEFAULT_WINDOW_S,
    DEMAND_KEPT_MS,
    DEMAND_MEAN_MS,
    KEPT_CHANGE,
    LEASE_MARGIN_MS,
    LEASE_MS,
    LEASED_BURST_SHARE,
    LEASED_SPARE_SHARE,
    MIN_LEASE_DEMAND_PER_S,
    OVERFLOW_BURST,
    PRECISION,
    REVIEW_MS,
    TAKEOVER_MS,
    TOKEN_HOLD_MS,
    USED_UP_MS,
)
from burdockrun_limits.models import AccountAsk, AccountGrant, AccountLimit, HeldShare

# Node and process of an enforcer.
Enforcer = tuple[str, int]


@dataclass(frozen=True, slots=True)
class _Lease:
    sequence: int
    rate: float
    burst: float
    expires_ms: int


@dataclass(kw_only=True, slots=True)
class _Holder:
    """Enforcer of the account; any of its `leases` may be the one in use."""

    demand: float = 0.0
    seen_ms: int = 0
    number: int = 0
    leases: list[_Lease] = field(default_factory=list)

    def knows(self, sequence: int) -> bool:
        return any(lease.sequence == sequence for lease in self.leases)

    def rate(self) -> float:
        return max((lease.rate for lease in self.leases), default=0.0)

    def burst(self) -> float:
        return max((lease.burst for lease in self.leases), default=0.0)


class OwnedAccount:
    """Divides the limit of an account among enforcers.

    Tokens are only ever moved: those at the owner and those that leases may hold are together at
    most the burst of the limit, and together increase at most at `rate`. A lease counts until the
    enforcer has reported a later one, or until it has expired. A single token is used at most
    `TOKEN_HOLD_MS` after it was granted. The operations of a window are therefore at most the burst
    and what `rate` yields in the window and this time, so `rate` is that much below the limit.
    """

    def __init__(self, limit: AccountLimit, window_s: float, now_ms: int) -> None:
        self.limit = limit
        window_ms = (window_s or DEFAULT_WINDOW_S) * MS_PER_SECOND
        self._share = window_ms / (window_ms + TOKEN_HOLD_MS)
        self.rate = limit.rate_per_s * self._share
        self.taking_over = True
        self.taken_ms = now_ms
        self._bucket = Bucket(updated_ms=now_ms)
        self._holders: dict[Enforcer, _Holder] = {}
        self._expiries: list[tuple[int, Enforcer]] = []
        self._leased_rate = 0.0
        self._leased_burst = 0.0
        self._demand = 0.0
        self._level = 0.0
        self._reviewed_ms = now_ms
        self._asks = 0

    def set_limit(self, limit: AccountLimit, now_ms: int) -> None:
        """Change the limit; leases are lowered as their holders ask."""
        self._advance(now_ms)
        self.limit = limit
        self.rate = limit.rate_per_s * self._share
        self._resize()
        self._review(now_ms)

    def adopt(self, enforcer: Enforcer, share: HeldShare | AccountAsk, now_ms: int) -> None:
        """Count a lease of an earlier owner that an enforcer has reported.

        An enforcer may get one after its first ask to this owner, while it does not know of it.
        """
        holder = self._holders.get(enforcer, _Holder())
        if share.remaining_ms <= 0 or share.burst <= 0 or holder.knows(share.sequence):
            return
        self._advance(now_ms)
        expires_ms = now_ms + _hold_ms(min(share.remaining_ms, LEASE_MS))
        lease = _Lease(share.sequence, share.rate, share.burst, expires_ms)
        self._lease(enforcer, self._holders.setdefault(enforcer, holder), lease)

    def begin(self, now_ms: int, *, released: float, since_ms: int | None) -> None:
        """Start to lease what is not reported, with the tokens that an earlier owner released.

        `since_ms` is the time from which on nobody has used the limit, None if that is not known.
        """
        self._advance(now_ms)
        self.taking_over = False
        self._resize()
        unused_ms = max(0, now_ms - since_ms) if since_ms is not None else 0
        gained = self._bucket.rate * unused_ms / MS_PER_SECOND
        self._bucket.resize(self._bucket.rate, self._bucket.burst, released + gained)

    def end(self, now_ms: int) -> float:
        """Return the tokens that a later owner may use."""
        self._advance(now_ms)
        return _floor(self._bucket.tokens)

    def spare_rate(self) -> float:
        """Return the rate of what is not leased, in operations per second."""
        return self._bucket.rate

    def answer(
        self, enforcer: Enforcer, number: int, ask: AccountAsk, now_ms: int
    ) -> AccountGrant | None:
        """Return the new lease of an enforcer, and tokens for the operations that wait there.

        None if the ask is a copy, or if a later one was answered before.
        """
        self._advance(now_ms)
        holder = self._holders.setdefault(enforcer, _Holder())
        if number <= holder.number:
            return None
        self.adopt(enforcer, ask, now_ms)
        holder.number = number
        # What the lease had beyond its new size was part of the one that still counts.
        returned = min(ask.returned, max(0.0, holder.burst() - ask.tokens))
        self._confirm(holder, ask.sequence)
        self._bucket.resize(self._bucket.rate, self._bucket.burst, returned)
        self._demand += ask.demand - holder.demand
        holder.demand, holder.seen_ms = ask.demand, now_ms
        self._asks += 1
        if 4 * self._asks > len(self._holders) or now_ms >= self._reviewed_ms + REVIEW_MS:
            self._review(now_ms)
        if self.taking_over:
            rate, burst = self._fit(holder, min(ask.rate, holder.rate()), holder.burst())
            self._grant_lease(enforcer, holder, _Lease(number, rate, burst, 0), now_ms)
            return AccountGrant(
                ask.account, rate, burst, 0.0, 0, 0, True, self._leased_rate - holder.rate()
            )
        tokens = self._send_tokens(ask.needed)
        rate, burst = self._find_share(holder)
        self._grant_lease(enforcer, holder, _Lease(number, rate, burst, 0), now_ms)
        filled = self._fill_lease(burst - ask.tokens)
        retry_ms = self._find_retry_ms(holder) if tokens < ask.needed else 0
        leased = max(0.0, self._leased_rate - holder.rate())
        return AccountGrant(
            ask.account, rate, burst, filled, tokens, retry_ms, False, round(leased, 3)
        )

    def _send_tokens(self, needed: int) -> int:
        tokens = max(0, min(needed, int(self._bucket.tokens)))
        self._bucket.tokens -= tokens
        return tokens

    def _find_share(self, holder: _Holder) -> tuple[float, float]:
        """Return rate and burst of the lease of a holder."""
        has_lease = holder.burst() > 0
        min_demand = MIN_LEASE_DEMAND_PER_S * (0.5 if has_lease else 1.0)
        if holder.demand < min_demand:
            return 0.0, 0.0
        demand, limit = max(self._demand, holder.demand), self.rate
        if demand <= limit:
            fair = holder.demand * (1 + LEASED_SPARE_SHARE * (limit / demand - 1))
            part = holder.demand / demand
        else:
            fair = min(holder.demand, self._level)
            part = fair / limit if limit > 0 else 0.0
        burst = max(1.0, part * self.limit.capacity() * LEASED_BURST_SHARE)
        _, burst = self._fit(holder, 0.0, burst)
        if burst < 1.0:
            return 0.0, 0.0
        rate = fair * burst / (burst + OVERFLOW_BURST)
        last = holder.leases[-1] if holder.leases else None
        if last is not None and _is_near(rate, last.rate) and _is_near(burst, last.burst):
            rate, burst = last.rate, last.burst
        return self._fit(holder, rate, burst)

    def _fit(self, holder: _Holder, rate: float, burst: float) -> tuple[float, float]:
        """Return how much of a rate and burst is not leased to others."""
        capacity = self.limit.capacity()
        keep = 0.0 if self.taking_over else max(1.0, capacity * (1 - LEASED_BURST_SHARE))
        free_rate = self.rate - (self._leased_rate - holder.rate())
        free_burst = capacity - keep - (self._leased_burst - holder.burst())
        return _floor(max(0.0, min(rate, free_rate))), _floor(max(0.0, min(burst, free_burst)))

    def _fill_lease(self, room: float) -> float:
        """Move tokens to a lease that the owner can spare or has no room for."""
        spare = self._bucket.tokens - max(1.0, self._bucket.burst / 2)
        filled = _floor(max(0.0, min(room, spare)))
        self._bucket.tokens = min(self._bucket.tokens - filled, self._bucket.burst)
        return filled

    def _find_retry_ms(self, holder: _Holder) -> int:
        """Return when the holder should ask again.

        All holders together ask about twice per token, and before the bucket is full.
        """
        rate = max(self._bucket.rate, 1e-3)
        part = holder.demand / max(self._demand, holder.demand, 1e-3)
        own_ms = MS_PER_SECOND / (2 * rate * max(part, 1e-3))
        own_ms = min(own_ms, self._bucket.burst / (2 * rate) * MS_PER_SECOND)
        next_ms = max(0.0, 1.0 - self._bucket.tokens) / rate * MS_PER_SECOND
        return int(min(max(own_ms, next_ms, 1.0), float(USED_UP_MS)))

    def _grant_lease(self, enforcer: Enforcer, holder: _Holder, lease: _Lease, now_ms: int) -> None:
        if lease.burst <= 0 and not holder.leases:
            return
        expires_ms = now_ms + _hold_ms(LEASE_MS)
        self._lease(enforcer, holder, _Lease(lease.sequence, lease.rate, lease.burst, expires_ms))

    def _lease(self, enforcer: Enforcer, holder: _Holder, lease: _Lease) -> None:
        rate, burst = holder.rate(), holder.burst()
        holder.leases.append(lease)
        heappush(self._expiries, (lease.expires_ms, enforcer))
        self._note_changed(holder, rate, burst)

    def _confirm(self, holder: _Holder, sequence: int) -> None:
        """Forget the leases that an enforcer has replaced by one with this sequence."""
        if any(lease.sequence < sequence for lease in holder.leases):
            rate, burst = holder.rate(), holder.burst()
            holder.leases = [lease for lease in holder.leases if lease.sequence >= sequence]
            self._note_changed(holder, rate, burst)

    def _note_changed(self, holder: _Holder, rate: float, burst: float) -> None:
        self._leased_rate += holder.rate() - rate
        self._leased_burst += holder.burst() - burst
        self._resize(clip=False)

    def _advance(self, now_ms: int) -> None:
        """Fill the bucket, and then take back what has expired."""
        self._bucket.fill(now_ms)
        while self._expiries and self._expiries[0][0] <= now_ms:
            holder = self._holders.get(heappop(self._expiries)[1])
            if holder is not None:
                rate, burst = holder.rate(), holder.burst()
                holder.leases = [one for one in holder.leases if one.expires_ms > now_ms]
                self._note_changed(holder, rate, burst)
        self._resize()

    def _resize(self, *, clip: bool = True) -> None:
        """Set rate and size of the bucket to what is not leased or on its way.

        Without `clip` tokens beyond the size stay for the moment, to fill the lease that took it.
        """
        tokens = self._bucket.tokens
        rate = self.rate - self._leased_rate
        burst = self.limit.capacity() - self._leased_burst
        self._bucket.resize(0.0 if self.taking_over else max(0.0, rate), max(0.0, burst))
        if not clip:
            self._bucket.tokens = tokens

    def _review(self, now_ms: int) -> None:
        """Sum up the demands anew, and find the level up to which demands fit the limit.

        Enforcers that neither ask nor hold anything are forgotten.
        """
        self._asks, self._reviewed_ms = 0, now_ms
        self._holders = {
            enforcer: holder
            for enforcer, holder in self._holders.items()
            if holder.leases or now_ms < holder.seen_ms + DEMAND_KEPT_MS + TAKEOVER_MS
        }
        holders = list(self._holders.values())
        demands = [one.demand * exp((one.seen_ms - now_ms) / DEMAND_MEAN_MS) for one in holders]
        for holder, demand in zip(holders, demands, strict=True):
            holder.demand, holder.seen_ms = demand, now_ms if demand > 1e-3 else holder.seen_ms
        self._demand = sum(demands)
        self._leased_rate = sum(holder.rate() for holder in holders)
        self._leased_burst = sum(holder.burst() for holder in holders)
        self._level = find_level(demands, self.rate)


def find_level(demands: list[float], total: float) -> float:
    """Return the level to which demands must be cut for their sum to be at most `total`.

    >>> find_level([1.0, 10.0, 10.0], 11.0)
    5.0
    """
    left, level = total, total
    for number, demand in enumerate(sorted(demands)):
        level = left / (len(demands) - number)
        if demand >= level:
            return level
        left -= demand
    return max(level, left)


def _is_near(amount: float, other: float) -> bool:
    return abs(amount - other) <= KEPT_CHANGE * other


def _hold_ms(duration_ms: int) -> int:
    """Return how long the owner counts what an enforcer may use for a duration."""
    return ceil(duration_ms * (1 + CLOCK_RATE_ERROR)) + LEASE_MARGIN_MS


def _floor(amount: float) -> float:
    return int(amount * PRECISION) / PRECISION
