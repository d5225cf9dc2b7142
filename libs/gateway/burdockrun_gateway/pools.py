"""Connections of this node to one member: opening, sharing by rank, probing, closing."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any, Final

from burdockrun_base import Application, LogPosition
from burdockrun_groups import ConnectionPlan, MemberEntry, MemberLoad, NodeEntry, StatusReport
from burdockrun_statements import (
    Answer,
    Conclusion,
    MemberStatus,
    SessionState,
    Statement,
    StatementKind,
)
from result import Err, Ok, Result

from burdockrun_gateway.const import (
    CANDIDATE_RETRY_MS,
    CONNECT_TIMEOUT_MS,
    CONNECTION_LIMIT_DELAY_MS,
    CONNECTIONS_THROUGH_HOMES,
    CONNECTIONS_THROUGH_SEVERAL_HOMES,
    DEFAULT_RESPONSE_MS,
    ESTIMATE_WEIGHT,
    HOME_PASSED_OVER,
    HOME_RETRY_MS,
    IDLE_HOME_LINK_MS,
    IDLE_LINK_MS,
    KEPT_HOME_LINKS,
    LAGGING_BACKOFF_MS,
    LINK_LOST,
    MEMBER_STARTED_AGAIN,
    OTHER_DOMAIN_DELAY_MS,
    RECONNECT_DELAY_MS,
    SETUP_LOG_INTERVAL_MS,
    SETUP_REFUSED,
    SILENCE_MS,
    SINGLE_CONNECTION_MS,
    STATUS_TIMEOUT_MS,
    UNANSWERED_MEMORY_MS,
)
from burdockrun_gateway.home_loads import HomeLoads
from burdockrun_gateway.home_queue import NOT_HOME, HomeQueue
from burdockrun_gateway.links import LinkLostError, MemberLink
from burdockrun_gateway.peer_selector import PeerSelector
from burdockrun_gateway.ports import (
    AcquireFault,
    ConnectFault,
    HomeLoad,
    MemberConnector,
    OpenedConnection,
    OperationLimits,
    RequestPriority,
)
from burdockrun_gateway.service_ranks import NO_ROUTES, ServiceRanks
from burdockrun_gateway.tasks import TaskSet, report_failure
from burdockrun_gateway.wait_queue import WaitQueue

# Called with the position of the member, None if it has started again without its log, and the time
# at which the statement was sent that was answered so.
OnPosition = Callable[["MemberPool", LogPosition | None, int], None]
StatusReader = Callable[[Answer], MemberStatus | None]

# Stands for this node in the loads of the homes.
_OWN_HOME: Final = ""
_NO_CONNECTION: Final = AcquireFault(reason="no connection became free")


class MemberPool:
    """Connections to one member, direct or through a home."""

    def __init__(
        self,
        app: Application,
        entry: MemberEntry,
        connector: MemberConnector,
        read_status: StatusReader,
        on_position: OnPosition,
        *,
        same_domain: bool,
        limits: OperationLimits | None = None,
        is_leaving: Callable[[str], bool] = lambda node: False,
    ) -> None:
        """With `limits`, the operations of accounts are counted where this node is a home.

        `is_leaving` says whether a node has announced its end.
        """
        self.entry = entry
        self.homes = PeerSelector(app.clock, HOME_RETRY_MS)
        self._quota = 1
        self._min_open = 1
        self.position: LogPosition | None = None
        # When the statement was sent that was answered with the position.
        self._position_sent_ms = 0
        self._lagging_until_ms = 0
        self._same_domain = same_domain
        self.last_contact_ms = app.clock.now_ms()
        self.fault: ConnectFault | None = None
        self.closed = False
        # When the oldest unanswered statement was sent on a connection that was discarded.
        self._unanswered_ms: int | None = None
        self._app = app
        self._connector = connector
        self._read_status = read_status
        self._on_position = on_position
        self._links: list[MemberLink] = []
        self._idle: list[MemberLink] = []
        # Connections being opened, by account.
        self._opening: Counter[str] = Counter()
        self._has_accounts = False
        self._open_after_ms = 0
        self._single_connection_until_ms = app.clock.now_ms() + SINGLE_CONNECTION_MS
        # Whether the member has refused a connection for its limit.
        self._was_refused = False
        self._waiting = WaitQueue(self.release)
        self._limits = limits
        self._is_leaving = is_leaving
        self._ranks = NO_ROUTES
        self._plan = ConnectionPlan(quota=1)
        # Set while this node is a home of the member; statements then wait in it.
        self._home: HomeQueue | None = None
        self.delay_ms = 0.0 if same_domain else OTHER_DOMAIN_DELAY_MS
        self._estimate_ms = DEFAULT_RESPONSE_MS + self.delay_ms
        self.has_homes = False
        self.home_loads = HomeLoads(self._estimate_ms)
        self._tasks = TaskSet(app)

    def set_plan(self, plan: ConnectionPlan) -> None:
        """Apply a plan: the homes to use, or a limit of which half stays open when idle.

        With accounts one connection stays open, since it is not known whose work comes next. At a
        home, statements wait in the queue of the member.
        """
        self._plan = plan
        self.has_homes = plan.single_home and (plan.is_home or bool(plan.homes))
        own = [_OWN_HOME] if plan.is_home else []
        self.home_loads.keep_only([*own, *(home.node for home in plan.homes)])
        self._apply_plan(plan)
        self._update_home()

    def set_ranks(self, ranks: ServiceRanks) -> None:
        """Set the ranks by which the statements at a home are served."""
        self._ranks = ranks
        self._update_home()

    def _update_home(self) -> None:
        """Start, configure or end the queue of this home; no waiting statement is lost."""
        if not (self._plan.is_home and self.has_homes) or self.closed:
            home, self._home = self._home, None
            if home is not None:
                home.close()
            return
        if self._home is None:
            self._home = HomeQueue(self._app, self.entry.id, self, limits=self._limits)
            for link in self._links:
                if link.home is None:
                    self._home.adopt(link, idle=link in self._idle)
            self._waiting.dismiss()
        self._home.configure(self._ranks, self.entry.slots, self._quota)
        self._home.run()

    def _apply_plan(self, plan: ConnectionPlan) -> None:
        if plan.single_home:
            if bool(self.homes.entries) != bool(plan.homes):
                # What a home did not answer says nothing about the member, nor the other way round.
                self.fault = None
                self._unanswered_ms = None
                self._open_after_ms = 0
            self.homes.set_entries(plan.homes, CANDIDATE_RETRY_MS, in_order=True)
            self._quota = CONNECTIONS_THROUGH_HOMES if plan.homes else plan.quota
            self._min_open = min(1, self._quota)
            return
        self.homes.set_entries(plan.homes, HOME_RETRY_MS, in_order=False)
        self._quota = CONNECTIONS_THROUGH_SEVERAL_HOMES if plan.homes else plan.quota
        self._min_open = 1 if plan.homes else min(plan.quota, max(1, plan.quota // 2))
        if not plan.keeps_idle:
            self._min_open = 0

    def expected_ms(self) -> float:
        """Return the expected response time of the member."""
        if not self._has_connection():
            return self._estimate_ms + CONNECT_TIMEOUT_MS
        if self.has_remote_home():
            load = self.estimate_load(1.0)
            return load.response_ms + load.wait_ms
        if self._home is not None:
            return self._estimate_ms + self._home.describe(self._app.clock.now_ms()).wait_ms
        waiting = len(self._waiting) + (0 if self._idle else 1)
        return self._estimate_ms * (1.0 + waiting / max(1, len(self._links)))

    def expected_wait_ms(self) -> float:
        """Return how long a new request is expected to wait for a connection.

        The queue of a home refuses by itself what would wait for too long.
        """
        if (
            self._home is not None
            or self._idle
            or self._count_connections() < self._connection_limit()
        ):
            return 0.0
        if self.has_remote_home():
            # Connections to a home are opened at once, for the requests that wait already.
            waiting = max(self._waiting.count_live() - self._opening.total(), 0)
            return self._estimate_ms * (waiting + 0.5) / self._count_connections()
        return self._estimate_ms * (len(self._waiting) + 0.5) / max(1, len(self._links))

    def is_usable(self) -> bool:
        """Return whether the pool has a connection and the member is not silent."""
        return self._has_connection() and not self.is_silent()

    def _has_connection(self) -> bool:
        """Return whether a connection is open, or replaces one of another account now."""
        is_replacing = self._is_by_account() and self.fault is None and self._opening.total() > 0
        return bool(self._links) or is_replacing

    def is_silent(self) -> bool:
        """Return whether statements wait for a member that has stopped answering."""
        return self._is_silent_for(SILENCE_MS + self._queue_allowance_ms())

    def is_lost_or_silent(self, duration_ms: int) -> bool:
        """Return whether the member is lost, or silent for `duration_ms` while statements wait."""
        return self.is_lost() or self._is_silent_for(duration_ms)

    def is_lost(self) -> bool:
        """Return whether the member is likely to be down or out of reach."""
        if self.is_silent():
            return True
        return self.fault is not None and not self._links

    def is_backing_off(self) -> bool:
        """Return whether there is no connection and the next attempt to open one is delayed."""
        return not self._links and self._app.clock.now_ms() < self._open_after_ms

    def is_refused(self) -> bool:
        """Return whether nothing listens at the member's address."""
        return self.fault is ConnectFault.REFUSED and not self._links

    def keeps_up(self) -> bool:
        """Return whether reads may be tried here although the known position is too old.

        Where members have homes, one read shows how far a replica of another domain lags; it would
        otherwise get no read, since nothing else tells its position.
        """
        is_tried = self._same_domain or self.has_homes
        return is_tried and self._app.clock.now_ms() >= self._lagging_until_ms

    def note_lagging(self) -> None:
        """Note that the member has refused a read because it lags."""
        self._lagging_until_ms = self._app.clock.now_ms() + LAGGING_BACKOFF_MS

    def has_remote_home(self) -> bool:
        """Return whether the member is reached through a single home, which is another node."""
        return self.has_homes and bool(self.homes.entries)

    def home_name(self) -> str:
        """Return the home through which the member is reached now, empty for this node itself."""
        home = self.homes.pick()
        return home.node if home is not None else _OWN_HOME

    def is_changing_homes(self) -> bool:
        """Return whether a home has failed, and a connection to the next one is not yet open."""
        home = self.homes.pick_working()
        if home is None or self.fault is not None:
            return False
        return all(link.home != home for link in self._links)

    def has_remote_queue(self) -> bool:
        """Return whether the home is another node, and has a queue that reports its load."""
        return self.has_remote_home() and self.home_loads.has_load(self.home_name())

    def estimate_load(self, rank_share: float) -> MemberLoad:
        """Return the expected times of a new statement at a member that has homes.

        `rank_share` is the position of its rank among those of the service, from 0 to 1.
        """
        home, now_ms = self.home_name(), self._app.clock.now_ms()
        wait_ms = self.home_loads.expected_wait_ms(home, rank_share, now_ms)
        utilization = self.home_loads.utilization(home, now_ms)
        unanswered = len(self._links) - len(self._idle)
        if home == _OWN_HOME:
            wait_ms = max(wait_ms, self.expected_wait_ms())
            busy = unanswered + len(self._waiting)
            utilization = max(utilization, busy / max(self.entry.slots, 1))
        return MemberLoad(
            response_ms=self.home_loads.response_ms(home, now_ms),
            delay_ms=self.delay_ms,
            wait_ms=wait_ms,
            utilization=utilization,
            age_ms=self.home_loads.response_age_ms(home, now_ms),
            unanswered=unanswered,
        )

    def note_sent(self, link: MemberLink, rank_share: float) -> float:
        """Count a statement that is sent now; return its expected wait in ms at another home."""
        if link.home is None:
            return 0.0
        now_ms = self._app.clock.now_ms()
        wait_ms = self.home_loads.expected_wait_ms(link.home.node, rank_share, now_ms)
        self.home_loads.note_sent(link.home.node)
        return wait_ms

    def observe(
        self, duration_ms: float, link: MemberLink | None = None, wait_ms: float = 0.0
    ) -> None:
        """Record the time that an answer took on a connection, `wait_ms` of it being expected."""
        self._app.measurements.observe(
            "member", duration_ms, service=self.entry.service, member=self.entry.id
        )
        self._estimate_ms += ESTIMATE_WEIGHT * (duration_ms - self._estimate_ms)
        if self.has_homes and link is not None:
            home = link.home.node if link.home is not None else _OWN_HOME
            now_ms = self._app.clock.now_ms()
            self.home_loads.note_response(home, duration_ms, wait_ms, now_ms)

    async def async_acquire(
        self, priority: RequestPriority, session: SessionState | None
    ) -> Result[MemberLink, AcquireFault]:
        """Return a connection for exclusive use, or a fault, at the latest after its wait.

        A direct connection was opened in the name of the account of `priority`. Waiting requests
        get connections in the order of their ranks.
        """
        asked_ms = self._app.clock.now_ms()
        if self._home is not None:
            acquired = await self._home.async_acquire(priority)
            waited_ms = self._app.clock.now_ms() - asked_ms
            has_moved = acquired == Err(NOT_HOME) and self._home is None and not self.closed
            if not has_moved or waited_ms >= priority.wait_ms:
                return acquired
            # This node is no home any more, and nothing has been sent: the next home may serve it.
            asked_ms += waited_ms
            priority = replace(
                priority,
                wait_ms=priority.wait_ms - waited_ms,
                elapsed_ms=priority.elapsed_ms + (waited_ms if priority.account else 0),
            )
        link = await self._async_acquire(priority, session)
        if link is not None:
            waited_ms = self._app.clock.now_ms() - asked_ms if priority.account else 0
            link.priority = replace(
                priority, rank=max(priority.rank, 0), elapsed_ms=priority.elapsed_ms + waited_ms
            )
            return Ok(link)
        if self._home is not None:
            # This node has become a home while the request waited.
            waited_ms = self._app.clock.now_ms() - asked_ms
            left_ms = priority.wait_ms - waited_ms
            if left_ms > 0:
                elapsed_ms = priority.elapsed_ms + waited_ms
                moved = replace(priority, wait_ms=left_ms, elapsed_ms=elapsed_ms)
                return await self._home.async_acquire(moved)
        return Err(_NO_CONNECTION)

    async def _async_acquire(
        self, priority: RequestPriority, session: SessionState | None
    ) -> MemberLink | None:
        if self.closed:
            return None
        account = priority.account
        self._has_accounts = self._has_accounts or bool(account)
        link = self._take_idle(session, account)
        if link is not None:
            return link
        self._open_for(account)
        return await self._waiting.async_wait(priority.rank, priority.wait_ms, account)

    def release(self, link: MemberLink) -> None:
        """Give back a connection that has no open transaction and no statement in flight."""
        if self.has_homes and link.home is not None and not self._is_used(link):
            # A home that has failed refuses what it still gets.
            link.close()
        if link.lost or self.closed:
            self._drop(link)
            self._open_for_waiting()
            return
        if self._home is not None:
            self._release_at_home(self._home, link)
            return
        account = self._find_more_urgent_account(link)
        if account is not None:
            self._evict(link)
            self._start_opening(account)
            return
        if self._waiting.hand_over(link):
            return
        link.idle_since_ms = self._app.clock.now_ms()
        self._idle.append(link)

    def _release_at_home(self, home: HomeQueue, link: MemberLink) -> None:
        if link.monitor is None:
            # Opened before this node became a home, through another home.
            self._evict(link)
            return
        link.idle_since_ms = self._app.clock.now_ms()
        self._idle.append(link)
        home.note_released(link)
        home.run()

    def note_conclusion(self, conclusion: Conclusion) -> None:
        """Log and count what the member did not take of the setup of a connection.

        A refused BEGIN is no fault of the setup: the member may have lost the lead.
        """
        kind, refusal = conclusion.refused, conclusion.refusal
        if kind is None or kind is StatementKind.BEGIN or refusal is None:
            return
        self._app.measurements.count("setup_refusals", kind=kind.value, error=refusal.value)
        self._app.events.write_spaced(
            SETUP_REFUSED,
            self.entry.id,
            SETUP_LOG_INTERVAL_MS,
            member=self.entry.id,
            kind=kind.value,
            error=refusal.value,
        )

    def discard(self, link: MemberLink) -> None:
        """Close a connection that must not be used again."""
        sent_ms = link.oldest_unanswered_ms()
        if sent_ms is not None and self._unanswered_ms is None:
            self._unanswered_ms = sent_ms
        link.close()
        self._drop(link)
        self._open_for_waiting()

    async def async_control(self, statement: Statement, timeout_ms: int) -> Answer | None:
        """Send a statement of the gateway itself; return the answer, None if none arrived."""
        answered = await self._async_ask(statement, timeout_ms)
        return answered[0] if answered is not None else None

    async def _async_ask(
        self, statement: Statement, timeout_ms: int
    ) -> tuple[Answer, MemberLink] | None:
        """Return the answer to a statement, and the connection on which it came."""
        acquired = await self.async_acquire(RequestPriority(rank=-1, wait_ms=timeout_ms), None)
        if isinstance(acquired, Err):
            return None
        link = acquired.ok_value
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                answers = await link.send([statement])
        except (TimeoutError, LinkLostError):
            self.discard(link)
            return None
        self.release(link)
        return answers[-1], link

    async def async_status(
        self, statement: Statement | None = None, timeout_ms: int = STATUS_TIMEOUT_MS
    ) -> StatusReport | None:
        """Send a statement that is answered with the status of the member, by default STATUS.

        Returns None without an answer.
        """
        sent_ms = self._app.clock.now_ms()
        answered = await self._async_ask(
            statement or Statement(kind=StatementKind.STATUS), timeout_ms
        )
        if answered is None:
            return None
        answer, link = answered
        status = self._read_status(answer)
        if status is None:
            return None
        running_since_ms = link.opened_ms if link.home is None else None
        return StatusReport(status=status, sent_ms=sent_ms, running_since_ms=running_since_ms)

    def tick(self) -> None:
        """Keep the minimum of open connections; close those that are silent or not needed."""
        now_ms = self._app.clock.now_ms()
        if self._unanswered_ms is not None and (
            self.last_contact_ms > self._unanswered_ms
            or now_ms - self._unanswered_ms >= UNANSWERED_MEMORY_MS
        ):
            self._unanswered_ms = None
        for link in list(self._links):
            sent_ms = link.oldest_unanswered_ms()
            if sent_ms is None and link not in self._idle:
                continue
            silent_ms = now_ms - max(sent_ms, link.last_contact_ms) if sent_ms is not None else 0
            if link.home is not None and silent_ms > SILENCE_MS + self._queue_allowance_ms():
                self._note_home_failure(link.home)
                self.discard(link)
            elif silent_ms > 2 * SILENCE_MS and self.is_silent():
                self.discard(link)
        for link in [idle for idle in self._idle if not self._is_used(idle)]:
            self.discard(link)
        while (
            not (self._home is not None and self._plan.single_home)
            and len(self._links) > self._min_open
            and self._idle
            and now_ms - self._idle[0].idle_since_ms > self._idle_limit_ms()
        ):
            self._evict(self._idle[0])
        self._open_for_waiting()
        if self._home is not None:
            self._home.configure(self._ranks, self.entry.slots, self._quota)
            self._home.tick(min(self._min_open, self._connection_limit()))
            return
        # Connections in the name of this node are of little use where accounts have their own.
        min_open = 1 if self._is_by_account() else self._min_open
        if self._count_connections() < min(min_open, self._connection_limit()):
            self._open_more()

    def _idle_limit_ms(self) -> int:
        """Return how long the connection that has been idle longest may stay open."""
        is_kept = self.has_remote_home() and len(self._idle) <= KEPT_HOME_LINKS
        return IDLE_HOME_LINK_MS if is_kept else IDLE_LINK_MS

    def _is_in_plan(self, link: MemberLink) -> bool:
        """Return whether a connection is direct or through a working home, as planned."""
        if link.home is None:
            return not self.homes.entries
        return link.home in self.homes.entries and not self.homes.is_passed_over(link.home)

    def _is_used(self, link: MemberLink) -> bool:
        """Return whether a connection is as planned, or replaces one that is not open yet.

        A home that is leaving serves until the next one does. That one refuses until it has learned
        that it is a home.
        """
        if self._is_in_plan(link):
            return True
        may_replace = self._is_through_leaving(link) and self._home is None
        return may_replace and not any(map(self._is_in_plan, self._links))

    def _is_through_leaving(self, link: MemberLink) -> bool:
        """Return whether a connection leads through a home that has announced its end."""
        home = link.home
        if home is None or home in self.homes.entries:
            return False
        return self._is_leaving(home.node)

    def discard_unanswered(self) -> None:
        """Close the connections on which statements of clients wait, so that none runs later.

        Control statements name their term; the answer of the former primary to them is needed.
        """
        for link in list(self._links):
            if link.has_unanswered_work():
                self.discard(link)

    def close(self) -> None:
        """Close all idle connections now and the others as they are released."""
        self.closed = True
        for link in self._idle:
            link.close()
            self._links.remove(link)
        self._idle.clear()
        self._waiting.dismiss()
        self._update_home()

    def abort(self) -> None:
        """Close all connections at once."""
        self.close()
        for link in list(self._links):
            self.discard(link)
        self._tasks.cancel()

    def _take_idle(self, session: SessionState | None, account: str) -> MemberLink | None:
        """Return the idle connection of an account that needs the fewest setup statements."""
        usable = [
            index
            for index, link in enumerate(self._idle)
            if link.may_serve(account)
            and (not self.has_remote_home() or link.home is None or self._is_used(link))
        ]
        if not usable:
            return None
        if session is None or len(usable) == 1:
            return self._idle.pop(usable[-1])
        best = min(
            usable, key=lambda index: self._idle[index].state.count_setup_statements(session)
        )
        return self._idle.pop(best)

    def _drop(self, link: MemberLink) -> None:
        if link in self._links:
            self._links.remove(link)
        if link in self._idle:
            self._idle.remove(link)
        if self._home is not None:
            self._home.forget(link)

    def _evict(self, link: MemberLink) -> None:
        """Close a connection on which nothing is unanswered."""
        link.close()
        self._drop(link)

    def _is_by_account(self) -> bool:
        """Return whether this node itself has to choose connections by account."""
        return self._has_accounts and not self.homes.entries

    def _find_more_urgent_account(self, link: MemberLink) -> str | None:
        """Return the account of a request that goes before all that may use a connection."""
        if not self._is_by_account():
            return None
        waiter = self._waiting.find_first_uncovered(self._opening)
        if waiter is None or link.may_serve(waiter.account):
            return None
        own = self._waiting.find_first(link)
        return waiter.account if own is None or waiter < own else None

    def _open_for_waiting(self) -> None:
        """Open connections for accounts with waiting requests, as far as the quota allows."""
        if self.has_remote_home() and self._count_connections() < self._connection_limit():
            for _ in range(self._waiting.count_live() - self._opening.total()):
                self._open_more()
        if self._home is not None:
            self._home.run()
            return
        while self._is_by_account() and not self.closed:
            waiter = self._waiting.find_first_uncovered(self._opening)
            if waiter is None or not self._open_for(waiter.account):
                return

    def _open_for(self, account: str) -> bool:
        """Open a connection for an account and return whether this was possible.

        If the quota is used up, it takes the place of the least recently used idle connection of
        another account.
        """
        if self._open_more(account):
            return True
        if not self._is_by_account() or self.closed:
            return False
        others = [link for link in self._idle if not link.may_serve(account)]
        excess = self._count_connections() - self._quota + 1
        if not others or len(others) < excess:
            return False
        for link in others[: max(excess, 1)]:
            self._evict(link)
        self._start_opening(account)
        return True

    def _is_silent_for(self, duration_ms: int) -> bool:
        now_ms = self._app.clock.now_ms()
        unanswered = [link.oldest_unanswered_ms() for link in self._links]
        sent = [sent_ms for sent_ms in (*unanswered, self._unanswered_ms) if sent_ms is not None]
        return bool(sent) and now_ms - max(min(sent), self.last_contact_ms) >= duration_ms

    def _note_home_failure(self, home: NodeEntry) -> None:
        self.homes.note_failure(home)
        self.home_loads.forget(home.node)

    def _queue_allowance_ms(self) -> int:
        """Return how much longer an answer may take since statements are queued at the home.

        A full member is not silent: nodes would turn to another home and lose what is queued.
        """
        if not self.has_remote_home():
            return 0
        now_ms = self._app.clock.now_ms()
        wait_ms = self.home_loads.expected_wait_ms(self.home_name(), 1.0, now_ms)
        return min(int(wait_ms), SILENCE_MS)

    def _connection_limit(self) -> int:
        """Return how many connections this node may open now."""
        if self.has_remote_home() and self.fault is not None and not self._links:
            return 1
        now_ms = self._app.clock.now_ms()
        limited_to_one = now_ms < self._single_connection_until_ms
        if self._plan.single_home and not self._was_refused:
            # The quota of a new single home leaves room for the connections of the one before it.
            limited_to_one = False
        return min(1, self._quota) if limited_to_one and not self.homes.entries else self._quota

    def _count_connections(self) -> int:
        """Return how many connections are open or being opened.

        Those through a home that is leaving take the place of none.
        """
        leaving = sum(map(self._is_through_leaving, self._links))
        return len(self._links) - leaving + self._opening.total()

    def opening_terms(self) -> tuple[int, int]:
        """Return up to how many connections may be opened now, and from when on, 0 for now."""
        now_ms = self._app.clock.now_ms()
        after_ms = self._open_after_ms if self._open_after_ms > now_ms else 0
        return self._connection_limit(), after_ms

    def start_opening(self, account: str, connection_id: int) -> None:
        """Open a connection for the queue of this home."""
        self._start_opening(account, connection_id)

    def close_idle(self, link: MemberLink) -> None:
        """Close an idle connection for the queue of this home."""
        self._evict(link)

    def note_taken(self, link: MemberLink) -> None:
        """Note that the queue of this home has given a connection to a statement."""
        self._idle.remove(link)

    def describe_load(self) -> HomeLoad | None:
        """Return the load of the member, None if this node is not its home."""
        if self._home is None:
            return None
        return self._home.describe(self._app.clock.now_ms())

    def _open_more(self, account: str = "") -> bool:
        if self._count_connections() >= self._connection_limit() or self.closed:
            return False
        self._start_opening(account)
        return True

    def _start_opening(self, account: str, connection_id: int = 0) -> None:
        """Open a connection; the queue of a home knows it by its id."""
        self._opening[account] += 1
        self._tasks.start("open", self._async_open(account, connection_id))

    def keep_task(self, task: asyncio.Task[None]) -> None:
        """Keep a rollback on a connection of the pool until it is done."""
        self._tasks.keep("roll_back", task)

    async def _async_open(self, account: str, connection_id: int) -> None:
        link: MemberLink | None = None
        home = self._home if connection_id else None
        try:
            delay_ms = self._open_after_ms - self._app.clock.now_ms()
            if delay_ms > 0:
                await asyncio.sleep(delay_ms / 1000)
            if (self._home is not None) == bool(connection_id):
                link = await self._async_open_now(account)
        finally:
            self._opening[account] -= 1
        if home is not None and home is self._home and (link is None or link.lost):
            home.note_failed(connection_id)
            return
        if link is None:
            if self.has_remote_home():
                self._open_for_waiting()
            return
        self._links.append(link)
        if self._home is not None and not link.lost and link.home is None:
            self._add_at_home(self._home, link, connection_id if home is self._home else 0)
            return
        # A new connection serves a request of its account before it can be closed for another one.
        if link.lost or self.closed or not self._waiting.hand_over(link):
            self.release(link)
        if self.has_remote_home():
            self._open_for_waiting()

    def _add_at_home(self, home: HomeQueue, link: MemberLink, connection_id: int) -> None:
        self._idle.append(link)
        if connection_id:
            home.note_opened(connection_id, link)
        else:
            home.adopt(link, idle=True)
            home.run()

    async def _async_open_now(self, account: str) -> MemberLink | None:
        home = self.homes.pick()
        if home is not None:
            account = ""
        link = MemberLink(self._app.clock, self._handle_answer, home, account)

        def handle_lost() -> None:
            self._handle_lost(link)

        def handle_load(load: HomeLoad) -> None:
            if home is not None:
                self.home_loads.note_load(home.node, load, self._app.clock.now_ms())

        sent_ms = self._app.clock.now_ms()
        opened = await self._async_connect(
            self._connector.async_open(
                self.entry,
                link.handle_answer,
                handle_lost,
                home=home,
                account=account,
                on_load=handle_load,
            )
        )
        now_ms = self._app.clock.now_ms()
        if isinstance(opened, Ok):
            link.note_opened(opened.ok_value.connection, opened.ok_value.position)
            self.fault = None
            self.last_contact_ms = now_ms
            self._check_process(link, sent_ms)
            self._note_position(opened.ok_value.position, sent_ms)
            return link
        fault = opened.err_value
        if home is not None and fault is not ConnectFault.REFUSED:
            self._note_home_failure(home)
            if self.homes.pick_working() is not None:
                self._app.events.write(HOME_PASSED_OVER, member=self.entry.id, home=home.node)
                return None
        if fault is ConnectFault.LIMIT:
            self.last_contact_ms = now_ms
            self._open_after_ms = now_ms + CONNECTION_LIMIT_DELAY_MS
            self._single_connection_until_ms = now_ms + SINGLE_CONNECTION_MS
            self._was_refused = True
        else:
            self.fault = fault
            self._open_after_ms = now_ms + RECONNECT_DELAY_MS
        self._app.events.write(LINK_LOST, member=self.entry.id, reason=fault.value)
        return None

    async def _async_connect(
        self, connecting: Coroutine[Any, Any, Result[OpenedConnection, ConnectFault]]
    ) -> Result[OpenedConnection, ConnectFault]:
        """Wait for a connection; an unexpected error counts as silence, so that retries wait."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                return await connecting
        except TimeoutError:
            return Err(ConnectFault.SILENT)
        except Exception as error:
            report_failure(self._app, "connect", error, member=self.entry.id)
            return Err(ConnectFault.SILENT)

    def _handle_lost(self, link: MemberLink) -> None:
        link.handle_lost()
        if link in self._links:
            self._app.events.write(LINK_LOST, member=self.entry.id, reason="ended")
        self._drop(link)
        self._open_for_waiting()
        if self._home is not None:
            self._home.tick(1 if not self._links else 0)
        elif not self.closed and not self._links:
            self._open_more()

    def _handle_answer(self, link: MemberLink, answer: Answer, sent_ms: int) -> None:
        self.last_contact_ms = link.last_contact_ms
        self._note_position(answer.position, sent_ms)

    def proven_position(self, link: MemberLink) -> LogPosition | None:
        """Return a position that the process at the end of a direct connection has applied.

        A member that starts again has lost what it had. Its address belongs to one process at a
        time, so an answer to a statement that was sent after the connection had been accepted comes
        from this process, or the connection is dead. A home may reach a later process on each use.
        """
        if link.home is not None:
            return None
        return self.position if self._position_sent_ms > link.opened_ms else link.position

    def _check_process(self, link: MemberLink, sent_ms: int) -> None:
        """Forget what the member told before, if a new connection shows that it has lost its log.

        Its connections from before are dead, though not all may have been reset yet. What was told
        for later requests than the CONNECT of `sent_ms` stays.
        """
        has_log = link.home is not None or link.position is not None
        if has_log or self.position is None or self._position_sent_ms >= sent_ms:
            return
        self._app.events.write(
            MEMBER_STARTED_AGAIN,
            member=self.entry.id,
            index=self.position.index,
            age_ms=sent_ms - self._position_sent_ms,
        )
        self.learn_position(None, sent_ms)
        self._on_position(self, None, sent_ms)
        for other in [one for one in self._links if one.opened_ms < sent_ms]:
            self.discard(other)

    def learn_position(self, position: LogPosition | None, sent_ms: int) -> None:
        """Apply a position that the member told in the answer to what was sent at `sent_ms`."""
        self.position = position
        self._position_sent_ms = sent_ms

    def _note_position(self, position: LogPosition | None, sent_ms: int) -> None:
        if position is None:
            return
        self.learn_position(position, sent_ms)
        self._on_position(self, position, sent_ms)
