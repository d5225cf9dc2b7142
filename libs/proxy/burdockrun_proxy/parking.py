"""Reads that wait until a replica reaches the required log position."""

from burdockrun_messages import Outbox
from burdockrun_routing import MemberView, estimate_catch_up_ms

from burdockrun_proxy.const import MAX_REPLICA_WAIT_MS
from burdockrun_proxy.models import HomeRequest, is_write


class ParkedReads:
    """Delays a read once, for no longer than a round trip to the primary would take."""

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._parked: list[tuple[int, HomeRequest]] = []

    def __len__(self) -> int:
        return len(self._parked)

    def try_park(self, request: HomeRequest, view: MemberView | None, now_ms: int) -> bool:
        """Park a read if its replica is behind but expected to catch up soon."""
        if request.required is None or view is None or is_write(request.request):
            return False
        if request.park_count > 0 or view.position.has_reached(request.required):
            return False
        wait_ms = estimate_catch_up_ms(view, request.required, now_ms)
        if wait_ms is None or wait_ms > MAX_REPLICA_WAIT_MS:
            return False
        request.park_count += 1
        at_ms = now_ms + max(wait_ms, 1)
        if at_ms >= request.deadline_ms:
            return False
        self._parked.append((at_ms, request))
        self._outbox.wake_at(at_ms)
        return True

    def take_all(self) -> list[HomeRequest]:
        """Return all parked reads, also those whose wait is not over."""
        parked, self._parked = self._parked, []
        return [request for _, request in parked]

    def take_due(self, now_ms: int) -> list[HomeRequest]:
        """Return the reads whose wait is over."""
        due = [request for at_ms, request in self._parked if at_ms <= now_ms]
        if due:
            self._parked = [item for item in self._parked if item[0] > now_ms]
        return due
