"""Gauges and log events of the queue of a home."""

from burdockrun_admission import LimitChange
from burdockrun_base import Application

from burdockrun_gateway.const import (
    HOME_QUEUE_ENDED,
    HOME_QUEUE_REFUSED,
    HOME_QUEUE_STARTED,
    LOGGED_LIMIT_FACTOR,
    MEMBER_LIMIT_CHANGED,
    QUEUE_EVENT_INTERVAL_MS,
    QUEUE_GAUGE_INTERVAL_MS,
)
from burdockrun_gateway.ports import HomeLoad


class QueueReports:
    """Reports the load of a member, changes of its limit, and refusals.

    `refused` is how many statements were refused since the last report of refusals.
    """

    def __init__(self, app: Application, member_id: str) -> None:
        self.refused = 0
        self._app = app
        self._member_id = member_id
        self._reported_ms = 0
        self._refused_ms = 0
        self._changed_ms = 0
        self._logged_limit: int | None = None
        app.events.write(HOME_QUEUE_STARTED, member=member_id)

    def report(self, load: HomeLoad, change: LimitChange | None, now_ms: int) -> None:
        """Write the gauges and events that are due."""
        if now_ms >= self._reported_ms + QUEUE_GAUGE_INTERVAL_MS:
            self._reported_ms = now_ms
            self._set_gauges(load.limit, load.running, load.waiting)
        if self.refused and now_ms >= self._refused_ms + QUEUE_EVENT_INTERVAL_MS:
            self._refused_ms = now_ms
            self._app.events.write(
                HOME_QUEUE_REFUSED,
                member=self._member_id,
                refused=self.refused,
                waiting=load.waiting,
                running=load.running,
                limit=load.limit,
            )
            self.refused = 0
        self._report_limit(load.limit, change, now_ms)

    def close(self) -> None:
        """Report that this node is no longer a home of the member."""
        self._set_gauges(0, 0, 0)
        self._app.events.write(HOME_QUEUE_ENDED, member=self._member_id)

    def _set_gauges(self, limit: int, running: int, waiting: int) -> None:
        values = {"limit": limit, "running": running, "waiting": waiting}
        for name, value in values.items():
            self._app.measurements.set_gauge(f"member_{name}", value, member=self._member_id)

    def _report_limit(self, limit: int, change: LimitChange | None, now_ms: int) -> None:
        if self._logged_limit is None:
            self._logged_limit = limit
        before = self._logged_limit
        factor = max(limit, before) / max(1, min(limit, before))
        is_due = now_ms >= self._changed_ms + QUEUE_EVENT_INTERVAL_MS
        if change is None or factor < LOGGED_LIMIT_FACTOR or not is_due:
            return
        self._changed_ms, self._logged_limit = now_ms, limit
        self._app.events.write(
            MEMBER_LIMIT_CHANGED,
            member=self._member_id,
            before=before,
            after=limit,
            reason=change.reason,
        )
