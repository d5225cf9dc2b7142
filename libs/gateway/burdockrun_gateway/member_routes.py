"""How this node reaches one member: by its own connections, through the home, as an observer."""

import asyncio
from collections.abc import Callable

from burdockrun_base import Application
from burdockrun_groups import ConnectionPlan, HomeRole, NodeEntry
from result import Ok

from burdockrun_gateway.const import (
    CONNECT_TIMEOUT_MS,
    HOME_STEPPED_BACK,
    HOME_STEPPED_IN,
    STEP_BACK_CHECK_MS,
)
from burdockrun_gateway.observers import MemberObserver
from burdockrun_gateway.pools import MemberPool
from burdockrun_gateway.ports import MemberConnector
from burdockrun_gateway.tasks import TaskSet


class MemberRoute:
    """Carries out the plan of the connections to one member.

    `observer` exists while this node observes the member without being its first candidate.
    """

    def __init__(
        self,
        app: Application,
        pool: MemberPool,
        connector: MemberConnector,
        build_observer: Callable[[], MemberObserver],
    ) -> None:
        self.pool = pool
        self.observer: MemberObserver | None = None
        self._app = app
        self._connector = connector
        self._build_observer = build_observer
        self._role = HomeRole()
        self._stepped_in = False
        self._applied: ConnectionPlan | None = None
        self._checked_ms = 0
        self._check: asyncio.Task[None] | None = None
        self._tasks = TaskSet(app)

    def set_plan(self, plan: ConnectionPlan) -> None:
        """Follow a plan from now on."""
        self._role.set_plan(plan, self._app.clock.now_ms())
        needs_observer = plan.observes and bool(plan.homes)
        if needs_observer and self.observer is None:
            self.observer = self._build_observer()
        elif not needs_observer and self.observer is not None:
            self.observer.abort()
            self.observer = None
        self._apply()

    def watches(self) -> bool:
        """Return whether this node can tell the loss of the member from that of its home."""
        return self.observer is not None or not self._role.plan.homes

    def needs_fast_probes(self) -> bool:
        """Return whether an observer has to find out soon if the member answers."""
        return self.observer is not None and self.observer.needs_fast_probes()

    def accept_shared(self) -> bool:
        """Return whether this node serves the member to another node that asks."""
        accepted = self._role.note_asked(self._app.clock.now_ms())
        self._apply()
        return accepted

    def tick(self) -> None:
        """Step in for homes that do not answer; step back when one answers again."""
        if self.observer is not None:
            self.observer.tick()
        now_ms = self._app.clock.now_ms()
        homes = self.pool.homes
        if homes.entries and homes.pick_working() is None:
            self._role.note_homes_failed(now_ms)
        is_due = now_ms >= self._checked_ms + STEP_BACK_CHECK_MS
        if is_due and self._check is None and self._role.may_step_back(now_ms):
            self._checked_ms = now_ms
            self._check = self._tasks.start("home_check", self._async_check_homes())
        self._apply()

    def abort(self) -> None:
        """Close the control connection at once."""
        if self._check is not None:
            self._check.cancel()
        if self.observer is not None:
            self.observer.abort()
            self.observer = None

    def _apply(self) -> None:
        """Give the pool its plan if it has changed.

        A pool closes connections that are not in its plan as they become idle, so open transactions
        end on them first.
        """
        plan = self._role.find_plan(self._app.clock.now_ms())
        if plan != self._applied:
            if self._stepped_in != self._role.stepped_in:
                self._stepped_in = self._role.stepped_in
                event = HOME_STEPPED_IN if self._stepped_in else HOME_STEPPED_BACK
                self._app.events.write(event, member=self.pool.entry.id)
            self._applied = plan
            self.pool.set_plan(plan)

    async def _async_check_homes(self) -> None:
        try:
            for home in self._role.plan.homes:
                if await self._async_answers(home):
                    self._role.note_home_answered(self._app.clock.now_ms())
                    return
        finally:
            self._check = None

    async def _async_answers(self, home: NodeEntry) -> bool:
        """Return whether a node gives access to the member."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                opened = await self._connector.async_open(
                    self.pool.entry, lambda answer: None, lambda: None, home=home
                )
        except TimeoutError:
            return False
        if isinstance(opened, Ok):
            opened.ok_value.connection.close()
        return isinstance(opened, Ok)
