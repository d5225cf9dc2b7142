"""State of one account at an enforcer."""

from dataclasses import dataclass, field
from math import exp

from burdockrun_limits.buckets import Bucket
from burdockrun_limits.const import DEMAND_KEPT_MS, DEMAND_MEAN_MS, LEASE_MS
from burdockrun_limits.models import AccountLimit

NEVER_MS = -(10**9)


@dataclass(kw_only=True, slots=True)
class EnforcedAccount:
    """Lease, single tokens, demand and waiting operations of an account.

    `owner` is the node that owns the account by the registrations, `process` the process that has
    granted or queried last, with its node. Grants of `former_process` of the same node, and answers
    to asks before `first_number`, are not accepted. A process of another node may own the account
    again: around the start of a fleet several nodes take it over in turn.
    """

    limit: AccountLimit
    emergency: Bucket
    lease: Bucket = field(default_factory=Bucket)
    expires_ms: int = 0
    sequence: int = 0
    # Tokens for operations that waited, usable for a short time whatever the lease.
    single_tokens: int = 0
    single_until_ms: int = 0
    owner: str = ""
    successor: str = ""
    successor_until_ms: int = 0
    process: tuple[str, int] = ("", 0)
    former_process: tuple[str, int] = ("", 0)
    answered_query: tuple[str, int, int] | None = None
    first_number: int = 0
    known: bool = False
    demand: float = 0.0
    demand_ms: int = NEVER_MS
    waiting: int = 0
    asked_ms: int = NEVER_MS
    asked_demand: float = 0.0
    asked_needed: int = 0
    unanswered_ms: int | None = None
    granted_ms: int = NEVER_MS
    # The lease was lowered, which the owner has not been told.
    must_report: bool = False
    # Tokens that the lease lost when it was lowered, for the next ask.
    returned: float = 0.0
    taking_over: bool = False
    refuse_until_ms: int = 0
    leased_to_others: float = 0.0

    def advance(self, now_ms: int) -> None:
        """Fill the buckets, and drop what has expired."""
        self.emergency.fill(now_ms)
        if now_ms >= self.expires_ms:
            self.drop_lease()
        self.lease.fill(now_ms)
        if now_ms >= self.single_until_ms:
            self.single_tokens = 0

    def drop_lease(self) -> None:
        """End the lease and forget its tokens."""
        self.expires_ms = 0
        self.returned = 0.0
        self.lease.resize(0.0, 0.0)

    def note_demand(self, now_ms: int) -> None:
        """Count an operation as demand, whether it may run or not."""
        self.demand = self.find_demand(now_ms) + 1000.0 / DEMAND_MEAN_MS
        self.demand_ms = now_ms

    def find_demand(self, now_ms: int) -> float:
        """Return the mean demand of about the last second, in operations per second."""
        return self.demand * exp((self.demand_ms - now_ms) / DEMAND_MEAN_MS)

    def is_idle(self, now_ms: int) -> bool:
        """Return whether there is nothing to ask the owner about until the next demand."""
        has_demand = self.waiting > 0 or now_ms < self.demand_ms + DEMAND_KEPT_MS
        return not has_demand and self.lease.burst <= 0 and not self.must_report

    def try_take(self) -> bool:
        """Take a token if there is one."""
        if self.single_tokens > 0:
            self.single_tokens -= 1
            return True
        return self.lease.try_take()

    def find_target(self, now_ms: int) -> str:
        """Return the node to ask."""
        return self.successor if now_ms < self.successor_until_ms else self.owner

    def set_lease(self, rate: float, burst: float, filled: float, sent_ms: int) -> None:
        """Replace the lease by one that was asked for at `sent_ms`."""
        rate, burst = min(rate, self.limit.rate_per_s), min(burst, self.limit.capacity())
        self.must_report = rate < self.lease.rate or burst < self.lease.burst
        self.returned = max(0.0, self.lease.tokens - burst)
        self.lease.resize(rate, burst, filled)
        self.expires_ms = sent_ms + LEASE_MS

    def set_limit(self, limit: AccountLimit, emergency: Bucket) -> None:
        """Change the limit; what the lease has beyond it ends at once."""
        self.limit = limit
        self.lease.resize(
            min(self.lease.rate, limit.rate_per_s), min(self.lease.burst, limit.capacity())
        )
        emergency.updated_ms = self.emergency.updated_ms
        emergency.tokens = min(emergency.burst, self.emergency.tokens)
        self.emergency = emergency

    def is_former(self, node: str, process: int) -> bool:
        """Return whether a process of a node has been replaced by a later one."""
        return (node, process) == self.former_process and self.process[0] == node

    def follow(self, node: str, process: int) -> None:
        """Note that a process of a node owns the account now."""
        if (node, process) != self.process:
            self.former_process, self.process = self.process, (node, process)

    def reject_former(self, number: int) -> None:
        """Accept only answers to asks from this number on, and drop single tokens."""
        self.first_number = number
        self.single_tokens = 0
        self.asked_needed = 0
