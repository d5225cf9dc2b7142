"""Invariants that the program checks at run time."""

from burdockrun_messages import Outbox

from burdockrun_proxy.const import INVARIANT_VIOLATED


class InvariantViolatedError(AssertionError):
    """Raised for a violated invariant when the node is strict, as in tests and soak runs."""


class InvariantChecker:
    """Logs and counts each violated invariant, and raises an error when `strict`."""

    def __init__(self, outbox: Outbox, *, strict: bool = False) -> None:
        self._outbox = outbox
        self._strict = strict

    def require(self, holds: bool, rule: str, **fields: object) -> bool:
        """Return whether an invariant holds; raise an error otherwise when strict."""
        if holds:
            return True
        self._outbox.log(INVARIANT_VIOLATED, rule=rule, **fields)
        self._outbox.count("invariant_violated")
        if self._strict:
            raise InvariantViolatedError(f"{rule}: {fields}")
        return False
