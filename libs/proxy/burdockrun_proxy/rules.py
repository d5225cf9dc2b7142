"""Rules that the program checks about itself while it runs."""

from burdockrun_messages import Outbox

from burdockrun_proxy.const import INVARIANT_VIOLATED


class RuleBrokenError(AssertionError):
    """Raised for a broken rule where the node is strict, as in tests and soak runs."""


class Rules:
    """Logs and counts each broken rule, and stops the run when `strict`."""

    def __init__(self, outbox: Outbox, *, strict: bool = False) -> None:
        self._outbox = outbox
        self._strict = strict

    def require(self, holds: bool, rule: str, **fields: object) -> bool:
        """Return whether a rule holds; raises RuleBrokenError for a broken one when strict."""
        if holds:
            return True
        self._outbox.log(INVARIANT_VIOLATED, rule=rule, **fields)
        self._outbox.count("invariant_violated")
        if self._strict:
            raise RuleBrokenError(f"{rule}: {fields}")
        return False
