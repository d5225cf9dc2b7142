"""Limit on the requests that one client account may have in flight at an entry proxy."""

from collections import defaultdict

from burdockrun_admission.const import ACCOUNT_SPARE_FACTOR


class AccountLimiter:
    """Divides a limit of `total` in-flight requests among client accounts.

    An account may have at most `ACCOUNT_SPARE_FACTOR` times as many requests in flight as the limit
    leaves free, so a single account can use most of the limit. The last free request is reserved
    for an account that has none in flight.

    >>> limiter = AccountLimiter(10)
    >>> sum(limiter.try_acquire("bayern") for _ in range(20))
    8
    >>> limiter.try_acquire("andes")
    True
    """

    def __init__(self, total: int) -> None:
        self._total = total
        self._free = total
        self._in_flight: defaultdict[str, int] = defaultdict(int)

    def try_acquire(self, account: str) -> bool:
        """Count one request as in flight; return False when the account is at its limit."""
        in_flight = self._in_flight.get(account, 0)
        if in_flight >= self._free * ACCOUNT_SPARE_FACTOR or (in_flight and self._free <= 1):
            return False
        self._in_flight[account] += 1
        self._free -= 1
        return True

    def release(self, account: str) -> None:
        """Stop counting one request; surplus calls are ignored."""
        in_flight = self._in_flight.get(account, 0)
        if not in_flight:
            return
        self._free += 1
        if in_flight == 1:
            del self._in_flight[account]
        else:
            self._in_flight[account] = in_flight - 1
