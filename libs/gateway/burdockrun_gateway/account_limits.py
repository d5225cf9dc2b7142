"""Limits of accounts at this node: as an enforcer, and as the owner of some accounts."""

import asyncio
from collections.abc import Mapping
from random import Random
from typing import Final, Protocol

from burdockrun_base import Application
from burdockrun_groups import Configuration, NodeEntry
from burdockrun_limits import (
    ASK_INTERVAL_MS,
    MAX_WAIT_MS,
    PAUSE_MS,
    REPEAT_MS,
    AccountLimit,
    Ask,
    Grant,
    Held,
    Limited,
    LimitEnforcer,
    LimitOwner,
    Message,
    MustAsk,
    Query,
    Taken,
    Tolerance,
)
from burdockrun_statements import ErrorCode
from result import Err, Ok, Result

from burdockrun_gateway.const import (
    LIMIT_ASK_SPACING_MS,
    LIMIT_POLL_SPACING_MS,
    LIMIT_TAKEOVER_TICK_MS,
    LIMITS_DROPPED,
)
from burdockrun_gateway.directory import Directory
from burdockrun_gateway.limit_assignment import LimitAssignment
from burdockrun_gateway.limit_messages import dump_message, load_message, split_parts
from burdockrun_gateway.limit_reports import LimitReports
from burdockrun_gateway.ports import AcquireFault

PROCESS_BITS: Final = 48


class LimitDatagrams(Protocol):
    """Sends datagrams to other nodes; they may be lost."""

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram to an address."""
        ...


class AccountLimits:
    """Counts operations against the limits of the ticket's accounts (`OperationLimits`).

    Without limited accounts no task does work and no datagram is sent.
    """

    def __init__(
        self,
        app: Application,
        node: str,
        datagrams: LimitDatagrams | None,
        *,
        tolerance: Tolerance,
        rng: Random,
    ) -> None:
        now_ms = app.clock.now_ms()
        process = rng.getrandbits(PROCESS_BITS)
        self._app = app
        self.measurements = app.measurements
        self._node = node
        self._datagrams = datagrams
        self._rng = rng
        self._directory: Directory | None = None
        self._enforcer = LimitEnforcer(node, process, tolerance, rng, now_ms)
        self._window_s = tolerance.window_s
        self._owner = LimitOwner(node, process, now_ms, window_s=tolerance.window_s)
        self._reports = LimitReports(app, self._enforcer, self._owner)
        self._limits: dict[str, AccountLimit] = {}
        self._assignment: LimitAssignment | None = None
        self._enforcers = 1
        self._active = asyncio.Event()
        self._last_tick_ms: int | None = None
        self._waiters: dict[str, list[asyncio.Future[None]]] = {}
        self._unsent: dict[str, set[str]] = {}
        self._asked_ms: dict[str, int] = {}
        self._polled_ms = now_ms

    def bind(self, directory: Directory) -> None:
        """Take registrations and addresses of nodes from a directory."""
        self._directory = directory
        self._assignment = LimitAssignment(self._app, directory, self._enforcer, self._owner)
        directory.on_nodes = self.handle_nodes

    def handle_configuration(self, before: Configuration, configuration: Configuration) -> None:
        """Limit the accounts of a configuration that comes into force."""
        table = configuration.accounts
        self._limits = {
            account.name: AccountLimit(
                rate_per_s=account.rate_per_s, burst=account.burst
            ).spread_burst(self._window_s)
            for account in (table.accounts.values() if table is not None else ())
            if account.rate_per_s is not None
        }
        now_ms = self._app.clock.now_ms()
        self._set_limits(now_ms)
        self._assign(now_ms)
        if self._limits:
            self._active.set()
        else:
            self._active.clear()
            self._last_tick_ms = None

    def handle_nodes(self, changes: Mapping[str, NodeEntry | None]) -> None:
        """Assign accounts anew if the nodes that own them change."""
        if self._assignment is not None and self._assignment.update_nodes(changes):
            self._assign(self._app.clock.now_ms())

    def try_take(self, account: str) -> bool:
        """Count an operation of an account if this node may do so without asking another one."""
        now_ms = self._app.clock.now_ms()
        self._check_pause(now_ms)
        decision = self._enforcer.try_take(account, now_ms)
        if not isinstance(decision, Taken):
            return False
        if account in self._limits:
            self._reports.count_taken(decision, "local")
        return True

    async def async_take(self, account: str, wait_ms: float) -> Result[None, AcquireFault]:
        """Count an operation of an account, or return why and for how long it may not run.

        If this node does not know whether the limit is used up, it asks the owner of the account,
        and waits at most `MAX_WAIT_MS` and `wait_ms` for the answer.
        """
        end_ms = self._app.clock.now_ms() + min(wait_ms, MAX_WAIT_MS)
        decision = self._enforcer.try_take(account, self._app.clock.now_ms(), is_new=False)
        if isinstance(decision, MustAsk):
            self._enforcer.add_waiting(account, 1)
            try:
                while isinstance(decision, MustAsk):
                    left_ms = end_ms - self._app.clock.now_ms()
                    if left_ms <= 0:
                        decision = self._enforcer.give_up(account, self._app.clock.now_ms())
                        break
                    self._ask_soon(account)
                    await self._async_wait(account, min(left_ms, REPEAT_MS))
                    now_ms = self._app.clock.now_ms()
                    decision = self._enforcer.try_take(account, now_ms, is_new=False)
            finally:
                self._enforcer.add_waiting(account, -1)
        if isinstance(decision, Limited):
            return Err(self._build_fault(account, decision))
        if isinstance(decision, Taken) and account in self._limits:
            self._reports.count_taken(decision, "asked")
        return Ok(None)

    def give_back(self, account: str) -> None:
        """Return the count of an operation that was not sent to a member."""
        self._enforcer.give_back(account, self._app.clock.now_ms())

    async def async_run(self) -> None:
        """Renew leases, and take accounts over, until cancelled."""
        while True:
            await self._active.wait()
            self._tick(self._app.clock.now_ms())
            taking_over = self._owner.is_taking_over()
            interval_ms = LIMIT_TAKEOVER_TICK_MS if taking_over else ASK_INTERVAL_MS
            await asyncio.sleep(interval_ms / 1000)

    def handle_datagram(self, data: bytes, host: str) -> None:
        """Handle a message of another node; those of other senders are ignored."""
        directory = self._directory
        if directory is None or not directory.is_peer(host):
            return
        message = load_message(data)
        if message is None:
            return
        sender = directory.nodes.get(message.node)
        if sender is not None and sender.host == host:
            self._handle(message)

    def _handle(self, message: Message) -> None:
        now_ms = self._app.clock.now_ms()
        self._check_pause(now_ms)
        self._reports.count_message(message, "received")
        match message:
            case Ask():
                self._answer(message, now_ms)
            case Grant():
                for account in self._enforcer.apply_grant(message, now_ms):
                    self._wake(account)
                    if self._enforcer.must_report(account):
                        self._ask_soon(account)
            case Query():
                released = self._owner.release(message, now_ms)
                shares = self._enforcer.handle_query(message, released, now_ms)
                for held in self._enforcer.build_held(message, split_parts(shares), now_ms):
                    self._send(message.node, held)
            case Held():
                self._owner.handle_held(message, now_ms)
                self._reports.write_takeovers(self._owner.end_takeovers(now_ms))

    def _answer(self, ask: Ask, now_ms: int) -> None:
        directory, assignment = self._directory, self._assignment
        if directory is None or assignment is None:
            return
        self._check_tenure(assignment, now_ms)
        if not assignment.may_grant(now_ms):
            return
        grant = self._owner.handle_ask(ask, now_ms)
        if grant is None:
            # The sender may have seen a change of the registrations that this node has not.
            if now_ms >= self._polled_ms + LIMIT_POLL_SPACING_MS:
                self._polled_ms = now_ms
                directory.store_copy.poll_now()
            return
        for part in split_parts(grant.accounts):
            self._send(
                ask.node,
                Grant(
                    node=grant.node,
                    process=grant.process,
                    to_process=grant.to_process,
                    number=grant.number,
                    accounts=part,
                ),
            )

    def _assign(self, now_ms: int) -> None:
        """Determine the owners of all accounts, and take over those that are this node's own."""
        if self._assignment is not None and self._assignment.assign(self._limits, now_ms):
            self._send_queries(now_ms)

    def _check_tenure(self, assignment: LimitAssignment, now_ms: int) -> None:
        if assignment.check_tenure(now_ms):
            self._assign(now_ms)

    def _set_limits(self, now_ms: int) -> None:
        if self._assignment is not None:
            self._enforcers = self._assignment.count_enforcers()
        self._enforcer.set_limits(self._limits, self._enforcers, now_ms)

    def _tick(self, now_ms: int) -> None:
        self._check_pause(now_ms)
        self._last_tick_ms = now_ms
        assignment = self._assignment
        if assignment is not None:
            self._check_tenure(assignment, now_ms)
            if assignment.count_enforcers() != self._enforcers:
                self._set_limits(now_ms)
            if self._owner.is_taking_over():
                assignment.follow_nodes()
                self._send_queries(now_ms)
                self._reports.write_takeovers(self._owner.end_takeovers(now_ms))
        self._send_asks(None, None, now_ms)
        self._reports.set_gauges()

    def _send_queries(self, now_ms: int) -> None:
        for nodes, query in self._owner.build_queries(now_ms):
            for node in nodes:
                self._send(node, query)

    def _check_pause(self, now_ms: int) -> None:
        """Drop all leases if this process has not run for a while."""
        last_ms = self._last_tick_ms
        if last_ms is not None and now_ms > last_ms + ASK_INTERVAL_MS + PAUSE_MS:
            self._last_tick_ms = now_ms
            dropped = self._enforcer.note_pause(now_ms)
            self._app.events.write(LIMITS_DROPPED, leases=dropped, paused_ms=now_ms - last_ms)

    def _ask_soon(self, account: str) -> None:
        """Ask the owner of an account, together with all that is asked in the same moment."""
        now_ms = self._app.clock.now_ms()
        target = self._enforcer.find_target(account, now_ms)
        if not target:
            return
        unsent = self._unsent.setdefault(target, set())
        if not unsent:
            due_ms = self._asked_ms.get(target, -LIMIT_ASK_SPACING_MS) + LIMIT_ASK_SPACING_MS
            delay_s = max(0, due_ms - now_ms) / 1000
            asyncio.get_running_loop().call_later(delay_s, self._flush, target)
        unsent.add(account)

    def _flush(self, target: str) -> None:
        names = self._unsent.pop(target, set())
        self._send_asks(names, target, self._app.clock.now_ms())

    def _send_asks(self, names: set[str] | None, target: str | None, now_ms: int) -> None:
        for node, asks in self._enforcer.build_asks(now_ms, names).items():
            if target is not None and node != target:
                continue
            self._asked_ms[node] = now_ms
            for part in split_parts(asks):
                self._send(node, self._enforcer.note_sent(node, part, now_ms))

    def _send(self, node: str, message: Message) -> None:
        if node == self._node:
            asyncio.get_running_loop().call_soon(self._handle, message)
            return
        entry = self._directory.nodes.get(node) if self._directory is not None else None
        if entry is None or not entry.copy_port or self._datagrams is None:
            return
        self._reports.count_message(message, "sent")
        self._datagrams.send(dump_message(message), (entry.host, entry.copy_port))

    async def _async_wait(self, account: str, timeout_ms: float) -> None:
        """Wait for a grant of an account."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiters = self._waiters.setdefault(account, [])
        waiters.append(waiter)
        try:
            await asyncio.wait([waiter], timeout=timeout_ms / 1000)
        finally:
            if waiter in waiters:
                waiters.remove(waiter)

    def _wake(self, account: str) -> None:
        for waiter in self._waiters.pop(account, ()):
            if not waiter.done():
                waiter.set_result(None)

    def _build_fault(self, account: str, limited: Limited) -> AcquireFault:
        self._reports.write_refusal(account)
        return AcquireFault(
            reason=f"limit of account {account} at {self._node}",
            code=ErrorCode.LIMITED,
            retry_ms=limited.retry_after_ms,
        )
