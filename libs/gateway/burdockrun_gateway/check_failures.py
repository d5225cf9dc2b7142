"""Groups whose checks or changes raise again and again at the holder of the promotion lease."""

from collections import Counter

from burdockrun_gateway.const import MAX_CHECK_FAILURES, MAX_SUPERVISOR_FAILURES


class CheckFailures:
    """Counts unexpected errors in a row, and says when another node should try.

    An error that all nodes meet would pass the promotion lease on for ever, and each holder waits
    before its first order. The number of failures that is allowed doubles each time.
    """

    def __init__(self) -> None:
        self._failures: Counter[str] = Counter()
        self._limits: dict[str, int] = {}

    def note_failure(self, service: str) -> None:
        """Count an unexpected error in the check of a group, or in a change of its primary."""
        self._failures[service] += 1

    def note_success(self, service: str) -> None:
        """Forget the failures of a group that needs no change, or whose change has ended."""
        self._failures.pop(service, None)
        self._limits.pop(service, None)

    def restart(self) -> None:
        """Count anew, since this node does not hold the promotion lease."""
        self._failures.clear()

    def is_due(self) -> bool:
        """Return whether a group has failed too often at this node."""
        return any(count >= self._find_limit(one) for one, count in self._failures.items())

    def note_yield(self) -> None:
        """Allow more failures of the groups that have led to a yield."""
        for service, count in self._failures.items():
            limit = self._find_limit(service)
            if count >= limit:
                self._limits[service] = min(2 * limit, MAX_CHECK_FAILURES)
        self._failures.clear()

    def _find_limit(self, service: str) -> int:
        return self._limits.get(service, MAX_SUPERVISOR_FAILURES)
