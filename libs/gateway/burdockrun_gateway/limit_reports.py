"""Events, counters and gauges of the limits of accounts."""

from collections.abc import Iterable

from burdockrun_base import Application
from burdockrun_limits import LimitEnforcer, LimitOwner, Message, Taken, TakeoverEnd

from burdockrun_gateway.const import (
    ACCOUNT_LIMITED,
    LIMIT_LOG_INTERVAL_MS,
    LIMIT_OWNER_SILENT,
    LIMITS_TAKEOVER_ENDED,
    MAX_LOGGED_NODES,
)


class LimitReports:
    """Reports what an enforcer and an owner have decided."""

    def __init__(self, app: Application, enforcer: LimitEnforcer, owner: LimitOwner) -> None:
        self._app = app
        self._enforcer = enforcer
        self._owner = owner
        self._logged_ms: dict[str, int] = {}

    def count_taken(self, taken: Taken, outcome: str) -> None:
        """Count an operation that may run; `outcome` says how its token was found."""
        outcome = "emergency" if taken.emergency else outcome
        self._app.measurements.count("limited_operations", outcome=outcome)

    def count_message(self, message: Message, direction: str) -> None:
        """Count a message that was sent or received."""
        kind = type(message).__name__.lower()
        self._app.measurements.count("limit_messages", kind=kind, direction=direction)

    def write_refusal(self, name: str) -> None:
        """Count a refused operation, and log at intervals why the account is limited here."""
        self._app.measurements.count("limited_operations", outcome="refused")
        now_ms = self._app.clock.now_ms()
        account, logged_ms = self._enforcer.accounts.get(name), self._logged_ms.get(name)
        if account is None or (
            logged_ms is not None and now_ms < logged_ms + LIMIT_LOG_INTERVAL_MS
        ):
            return
        self._logged_ms[name] = now_ms
        silent = account.unanswered_ms is not None
        self._app.events.write(
            LIMIT_OWNER_SILENT if silent else ACCOUNT_LIMITED,
            account=name,
            limit_per_s=account.limit.rate_per_s,
            share_per_s=round(account.lease.rate, 1),
            others_per_s=round(account.leased_to_others, 1),
            demand_per_s=round(account.find_demand(now_ms), 1),
            owner=account.find_target(now_ms),
            grant_age_ms=now_ms - account.granted_ms if account.granted_ms >= 0 else -1,
            taking_over=account.taking_over,
        )

    def write_takeovers(self, ends: Iterable[TakeoverEnd]) -> None:
        """Log takeovers that have ended."""
        for end in ends:
            self._app.events.write(
                LIMITS_TAKEOVER_ENDED,
                accounts=end.accounts,
                waited_ms=end.waited_ms,
                silent=",".join(end.silent[:MAX_LOGGED_NODES]),
            )

    def set_gauges(self) -> None:
        """Set the numbers of leases held and of accounts owned."""
        self._app.measurements.set_gauge("limit_leases_held", self._enforcer.count_leases())
        self._app.measurements.set_gauge("limit_accounts_owned", len(self._owner.accounts))
