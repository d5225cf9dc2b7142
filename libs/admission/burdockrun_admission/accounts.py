"""Limit on what one client account may have in flight at an entry proxy."""

from collections import defaultdict

from burdockrun_admission.const import ACCOUNT_SPARE_FACTOR


class AccountLimiter:
    """Shares `total` places in flight among client accounts.

    An account may hold at most `ACCOUNT_SPARE_FACTOR` times the places that are free, so a single
    one can use most of them. The last free place is for an account that holds none.

    >>> limiter = AccountLimiter(10)
    >>> sum(limiter.try_enter("bayern") for _ in range(20))
    8
    >>> limiter.try_enter("andes")
    True
    """

    def __init__(self, total: int) -> None:
        self._total = total
        self._free = total
        self._held: defaultdict[str, int] = defaultdict(int)

    def try_enter(self, account: str) -> bool:
        """Take a place for one request; False when the account holds its share."""
        held = self._held.get(account, 0)
        if held >= self._free * ACCOUNT_SPARE_FACTOR or (held and self._free <= 1):
            return False
        self._held[account] += 1
        self._free -= 1
        return True

    def leave(self, account: str) -> None:
        """Return a place; more returns than entries are ignored."""
        held = self._held.get(account, 0)
        if not held:
            return
        self._free += 1
        if held == 1:
            del self._held[account]
        else:
            self._held[account] = held - 1
