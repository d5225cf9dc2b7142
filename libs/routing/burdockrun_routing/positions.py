"""Log positions and lags of database members as known to this node."""

from burdockrun_messages import LogPosition

from burdockrun_routing.const import MAX_RATE_WINDOW_MS, MIN_RATE_WINDOW_MS, REORDER_MS
from burdockrun_routing.models import MemberView


class PositionTable:
    """Last known position and lag of each member, with the rates at which they change."""

    def __init__(self) -> None:
        self._views: dict[tuple[str, str], MemberView] = {}
        self._rate_bases: dict[tuple[str, str], MemberView] = {}

    def observe(
        self, database: str, member: str, position: LogPosition, lag_ms: int | None, now_ms: int
    ) -> None:
        """Record the position and lag of a member; `lag_ms` is None when its lag is unknown."""
        key = (database, member)
        known = self._views.get(key)
        if known is None:
            view = MemberView(position=position, lag_ms=lag_ms, observed_ms=now_ms)
            self._views[key] = self._rate_bases[key] = view
            return
        if position < known.position and now_ms - known.observed_ms < REORDER_MS:
            return
        rate_base = self._rate_bases[key]
        elapsed_ms = now_ms - rate_base.observed_ms
        advance_per_ms, lag_per_ms = known.advance_per_ms, known.lag_per_ms
        if position.term != rate_base.position.term or elapsed_ms > MAX_RATE_WINDOW_MS:
            advance_per_ms, lag_per_ms = 0.0, None
        elif elapsed_ms >= MIN_RATE_WINDOW_MS:
            advance_per_ms = max(0, position.index - rate_base.position.index) / elapsed_ms
            lag_per_ms = None
            if rate_base.lag_ms is not None and lag_ms is not None:
                lag_per_ms = (lag_ms - rate_base.lag_ms) / elapsed_ms
        view = MemberView(
            position=position,
            lag_ms=lag_ms,
            observed_ms=now_ms,
            advance_per_ms=advance_per_ms,
            lag_per_ms=lag_per_ms,
        )
        self._views[key] = view
        if elapsed_ms >= MIN_RATE_WINDOW_MS or position.term != rate_base.position.term:
            self._rate_bases[key] = view

    def note_failure(self, database: str, member: str, now_ms: int) -> None:
        """Record that a member failed, so that it is avoided for `RETRY_BEHIND_MS`."""
        key = (database, member)
        view = MemberView(position=LogPosition(term=0, index=0), lag_ms=None, observed_ms=now_ms)
        self._views[key] = self._rate_bases[key] = view

    def find_view(self, database: str, member: str) -> MemberView | None:
        """Return what is known about a member, or None."""
        return self._views.get((database, member))

    def forget(self, database: str, member: str) -> None:
        """Discard what is known about a member."""
        self._views.pop((database, member), None)
        self._rate_bases.pop((database, member), None)
