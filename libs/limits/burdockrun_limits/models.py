"""Limits of accounts, and the messages between enforcers and owners.

Rates are in operations per second, bursts and tokens in operations, times in ms. Processes are
identified by the name of their node and a random number chosen at their start.
"""

from dataclasses import dataclass
from math import sqrt

from burdockrun_limits.const import BURST_DEVIATIONS


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountLimit:
    """Limit of an account over all nodes.

    A burst below 1 counts as 1 unless the rate is 0, since no operation could run otherwise.
    """

    rate_per_s: float
    burst: float

    def capacity(self) -> float:
        """Return the largest number of tokens, in operations."""
        return max(1.0, self.burst) if self.rate_per_s > 0 else self.burst

    def spread_burst(self, window_s: float) -> "AccountLimit":
        """Return a bucket that allows as many operations in any window of `window_s` seconds.

        A limit that is counted over windows allows rate x window + burst in each of them, so an
        account that always sends too much may use its burst once in every window. What random
        arrivals need of the burst is kept; the remainder is given as rate.

        >>> AccountLimit(rate_per_s=100.0, burst=100.0).spread_burst(5.0)
        AccountLimit(rate_per_s=111.2, burst=44.0)
        """
        kept = min(self.burst, BURST_DEVIATIONS * (sqrt(self.burst) + 1.0))
        if window_s <= 0.0 or self.rate_per_s <= 0.0:
            return self
        rate_per_s = self.rate_per_s + (self.burst - kept) / window_s
        return AccountLimit(rate_per_s=rate_per_s, burst=kept)


@dataclass(frozen=True, kw_only=True, slots=True)
class Tolerance:
    """What may exceed a limit in each window of `window_s` seconds while an owner is not reached.

    `excess` is a share of the operations that the limit allows, `slack` a number of operations.
    """

    window_s: float = 0.0
    excess: float = 0.0
    slack: float = 0.0


@dataclass(frozen=True, slots=True)
class AccountAsk:
    """Part of an ask about one account.

    `sequence` is the number of the ask that the lease in use answered; `remaining_ms` is 0 without
    a lease. `needed` is the number of operations that wait, `tokens` what the lease has left, and
    `returned` what it lost when it was lowered.
    """

    account: str
    demand: float
    needed: int
    tokens: float
    sequence: int
    rate: float
    burst: float
    remaining_ms: int
    returned: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Ask:
    """Request of an enforcer to an owner; numbers of a process increase."""

    node: str
    process: int
    number: int
    accounts: tuple[AccountAsk, ...]


@dataclass(frozen=True, slots=True)
class AccountGrant:
    """Part of a grant about one account.

    `rate` and `burst` are those of the new lease, `filled` the tokens that its bucket gets, and
    `tokens` the number of operations that may run at once. `retry_ms` is 0, or says that the limit
    is used up and when to ask again. `taking_over` says that nothing can be leased yet. `leased` is
    the rate that other enforcers hold.
    """

    account: str
    rate: float
    burst: float
    filled: float
    tokens: int
    retry_ms: int
    taking_over: bool
    leased: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Answer of an owner to the ask `number` of the process `to_process`."""

    node: str
    process: int
    to_process: int
    number: int
    accounts: tuple[AccountGrant, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Query:
    """Question of a new owner which leases of these accounts a node holds."""

    node: str
    process: int
    number: int
    accounts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HeldShare:
    """What a node knows of an account.

    `known` says that an earlier owner has granted to it, or that it was the owner itself; then
    `released` is the number of tokens in its bucket, which it gives up.
    """

    account: str
    sequence: int
    rate: float
    burst: float
    remaining_ms: int
    known: bool
    released: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Held:
    """Answer to a query; accounts of which the node knows nothing are left out.

    An answer may consist of several `parts`; the answers of a process are numbered. `uptime_ms` is
    the time since the start of the process.
    """

    node: str
    process: int
    to_process: int
    number: int
    uptime_ms: int
    answer: int
    shares: tuple[HeldShare, ...]
    part: int = 0
    parts: int = 1


Message = Ask | Grant | Query | Held


@dataclass(frozen=True, slots=True)
class Taken:
    """An operation may run."""

    emergency: bool = False


@dataclass(frozen=True, slots=True)
class MustAsk:
    """Only the owner can tell whether an operation may run."""


@dataclass(frozen=True, slots=True)
class Limited:
    """An operation may not run; a retry is of use after `retry_after_ms`."""

    retry_after_ms: int


Decision = Taken | MustAsk | Limited
