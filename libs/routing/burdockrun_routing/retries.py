"""Budget that keeps retries from multiplying a fault."""

from burdockrun_routing.const import RETRY_BURST, RETRY_RATIO


class RetryBudget:
    """Allows a share of the requests as retries, with a burst.

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
        self._left = float(burst)

    def note_request(self) -> None:
        """Count a first attempt, which earns a part of a retry."""
        self._left = min(self._burst, self._left + self._ratio)

    def try_spend(self) -> bool:
        """Take one retry from the budget; False when it is spent."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
