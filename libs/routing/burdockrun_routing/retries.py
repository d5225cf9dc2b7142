"""Budget that keeps retries from multiplying the load during a fault."""

from burdockrun_routing.const import RETRY_BURST, RETRY_RATIO


class RetryBudget:
    """Allows retries as a share of the requests, plus a burst.

    >>> budget = RetryBudget(ratio=0.5, burst=1)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.note_request(); budget.note_request()
    >>> budget.try_spend()
    True
    """

    def __init__(self, ratio: float = RETRY_RATIO, burst: int = RETRY_BURST) -> None:
        self._ratio = ratio
        self._burst = float(burst)
        self._available = float(burst)

    def note_request(self) -> None:
        """Count a first attempt, which adds `ratio` of a retry to the budget."""
        self._available = min(self._burst, self._available + self._ratio)

    def try_spend(self) -> bool:
        """Take one retry from the budget; False when it is spent."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
