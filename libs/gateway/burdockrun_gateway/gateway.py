"""The gateway of one entry VM: its sessions, groups and life cycle."""

import asyncio
from collections.abc import Callable, Coroutine
from enum import Enum
from random import Random
from typing import Any

from burdockrun_base import Application, locate_error, name_error
from burdockrun_groups import Configuration, NodeEntry
from burdockrun_limits import Tolerance
from burdockrun_statements import Answer, TransactionState
from result import Err, Ok, Result

from burdockrun_gateway.account_limits import AccountLimits, LimitDatagrams
from burdockrun_gateway.channels import ClientChannel, ClientChannels
from burdockrun_gateway.client_memory import ClientMemory
from burdockrun_gateway.client_session import ClientSession
from burdockrun_gateway.client_slots import ClientSlots
from burdockrun_gateway.const import (
    ACCEPT_STEPS,
    CLIENTS_LOG_INTERVAL_MS,
    CLIENTS_REFUSED,
    DEFAULT_GRACE_MS,
    DRAIN_CALL_FAILED,
    DRAIN_ENDED,
    DRAIN_PHASE,
    DRAIN_TICK_MS,
    GATEWAY_DRAINING,
    GATEWAY_STARTED,
    GATEWAY_STOPPED,
    IDLE_CLIENT_FORCE_MS,
    IDLE_CLIENT_MS,
    ISOLATED,
    ISOLATION_ENDED,
    LARGE_MESSAGE_REFUSED,
    MAX_UNREADY_PROBES,
    SHARING_FAILED,
    START_POLL_MS,
    START_WAIT_MS,
    TICK_MS,
)
from burdockrun_gateway.directory import Directory
from burdockrun_gateway.drain import Drain, DrainPhase, DrainSchedule, DrainUse
from burdockrun_gateway.isolation import IsolationDetector
from burdockrun_gateway.leases import PromotionLease, Registration
from burdockrun_gateway.ports import (
    ChangeNotifier,
    DocumentReader,
    Listing,
    MemberConnector,
    PeerCopyReader,
    PromotionClient,
    SharedStore,
)
from burdockrun_gateway.session_memory import SessionMemory
from burdockrun_gateway.sharing import SharedConnection
from burdockrun_gateway.state_reporter import StateReporter
from burdockrun_gateway.supervisor import Supervisor
from burdockrun_gateway.tasks import SupervisedTasks, report_failure, run_guarded


class SessionFault(Enum):
    """Why a session could not be opened."""

    NO_DATABASE = "no_database"
    STARTING = "starting"  # nothing is known yet
    STOPPING = "stopping"
    DENIED = "denied"  # the key belongs to no account
    FAILED = "failed"  # an unexpected error, which is reported


class SharingFault(Enum):
    """Why this node does not serve a shared connection to a member."""

    NO_HOME = "no_home"
    MEMBER_REFUSED = "member_refused"  # nothing listens at the member's address
    MEMBER_SILENT = "member_silent"


class Gateway:
    """Gateway of one entry VM, independent of the protocols on its ports."""

    def __init__(
        self,
        app: Application,
        entry: NodeEntry,
        store: SharedStore,
        documents: DocumentReader,
        connector: MemberConnector,
        *,
        peer_copies: PeerCopyReader,
        change_notifier: ChangeNotifier,
        promotion_client: PromotionClient,
        rng: Random,
        limit_datagrams: LimitDatagrams | None = None,
        limit_tolerance: Tolerance | None = None,
        grace_ms: int = DEFAULT_GRACE_MS,
        max_descriptors: int | None = None,
        member_drain_ms: int = 0,
    ) -> None:
        """`grace_ms` is the time from the request to stop until the process is killed.

        `max_descriptors`, of the process, limits the connections of clients. `member_drain_ms` is
        how long members go on after they have announced their end, 0 if that is not known.
        """
        self._app = app
        self._client_slots = ClientSlots(max_descriptors)
        self.client_memory = ClientMemory()
        self._drain = Drain()
        self._session_memory = SessionMemory()
        # A drain without clients ends early. Other nodes, which may not have learned of it yet, are
        # then served to the end of the process.
        self._shared_drain = Drain()
        self._schedule = DrainSchedule(grace_ms)
        self._entry = entry
        self.limits = AccountLimits(
            app,
            entry.node,
            limit_datagrams,
            tolerance=limit_tolerance or Tolerance(),
            rng=rng,
        )
        self.directory = Directory(
            app,
            store,
            documents,
            connector,
            entry,
            peer_copies=peer_copies,
            change_notifier=change_notifier,
            rng=rng,
            limits=self.limits,
            member_drain_ms=member_drain_ms,
        )
        self.limits.bind(self.directory)
        self._registration = Registration(app, store, self.directory, entry)
        self._promotion_lease = PromotionLease(app, store, self.directory, entry.node, rng)
        self._supervisor = Supervisor(
            app, store, self.directory, self._promotion_lease, promotion_client
        )
        self._reports = StateReporter(app, store, self.directory, entry.node)
        self._isolation = IsolationDetector(self.directory.store_copy)
        self._channels = ClientChannels(app.clock)
        self.directory.on_configuration = self._handle_configuration
        self._shared: set[SharedConnection] = set()
        self._tasks = SupervisedTasks(app)
        self._unready_probes = 0
        # Sessions that wait for the start of this node.
        self._opening = 0
        self._last_client_ms = app.clock.now_ms()
        # Client connections that have no session and are being closed.
        self._closing: set[ClientChannel] = set()
        self._started_ms = app.clock.now_ms()

    def set_grace(self, grace_ms: int) -> None:
        """Set the time from the request to stop until the process is killed."""
        self._schedule = DrainSchedule(grace_ms)

    def start(self) -> None:
        """Start the tasks that follow the store and the members."""
        self._app.events.write(GATEWAY_STARTED, domain=self._entry.domain)
        self._tasks.start("store_copy", self.directory.store_copy.async_run)
        self._tasks.start("registration", self._registration.async_run)
        self._tasks.start("promotion_lease", self._promotion_lease.async_run)
        self._tasks.start("supervisor", self._supervisor.async_run)
        self._tasks.start("house_keeping", self._supervisor.async_keep_house)
        self._tasks.start("reports", self._reports.async_run)
        self._tasks.start("limits", self.limits.async_run)
        self._tasks.start("tick", self._async_tick)

    def admit_client(self) -> bool:
        """Count the connection of a client; return False if it has to be refused.

        `release_client` follows when it has ended, also if it was refused.
        """
        if self._client_slots.acquire():
            return True
        self._app.events.write_spaced(
            CLIENTS_REFUSED, "", CLIENTS_LOG_INTERVAL_MS, limit=self._client_slots.limit
        )
        return False

    def release_client(self) -> None:
        """Forget the connection of a client that has ended."""
        self._client_slots.release()

    def has_room_for_client(self, coming: int) -> bool:
        """Return whether the connection of a client may be accepted, if only to refuse it.

        `coming` is the number of those that are accepted and not counted yet.
        """
        return self._client_slots.has_room(coming)

    def may_receive(self, unfinished_bytes: int) -> bool:
        """Return whether a client may go on with a message of which so much has arrived."""
        if self.client_memory.may_hold(unfinished_bytes):
            return True
        self._app.events.write(LARGE_MESSAGE_REFUSED, held_bytes=self.client_memory.held_bytes)
        return False

    def note_accept_error(self, error: OSError) -> None:
        """Note that a connection of a client could not be accepted."""
        report_failure(self._app, "accept", error)

    def _handle_configuration(self, before: Configuration, after: Configuration) -> None:
        run_guarded(self._app, "revocation", self._channels.revoke, before, after)
        self.limits.handle_configuration(before, after)

    def answer_probe(self) -> bool:
        """Answer a readiness probe: return whether the platform should send new clients."""
        ready = self.is_ready()
        self._unready_probes = 0 if ready else self._unready_probes + 1
        return ready

    def is_ready(self) -> bool:
        """Return whether this node can serve new clients."""
        isolated = self._isolation.since_ms is not None
        if self._is_draining() or isolated or not self.directory.is_loaded():
            return False
        groups = self.directory.groups.values()
        return any(pool.is_usable() for group in groups for pool in group.pools.values())

    def open_session(self, database: str, key: bytes) -> Result[ClientSession, SessionFault]:
        """Return a session of a database for the account that a key belongs to.

        The key counts only if the ticket has accounts and the route is not public.
        """
        self._last_client_ms = self._app.clock.now_ms()
        try:
            return self._open_session(database, key)
        except Exception as error:  # the client must not wait for an answer
            return self._fail_to_open(database, error)

    def _fail_to_open(self, database: str, error: Exception) -> Result[ClientSession, SessionFault]:
        report_failure(self._app, "open_session", error, database=database)
        return Err(SessionFault.FAILED)

    def _open_session(self, database: str, key: bytes) -> Result[ClientSession, SessionFault]:
        if self._drain.phase >= DrainPhase.REFUSING:
            return Err(SessionFault.STOPPING)
        if not self._is_startup_complete() and not self.directory.is_ready_for(database):
            return Err(SessionFault.STARTING)
        if self.directory.configuration.version == 0:
            return Err(SessionFault.STARTING)
        route = self.directory.find_route(database)
        if route is None:
            return Err(SessionFault.NO_DATABASE)
        accounts = self.directory.configuration.accounts
        if accounts is None or route.public:
            return Ok(
                ClientSession(
                    self._app,
                    self.directory,
                    database,
                    drain=self._drain,
                    memory=self._session_memory,
                )
            )
        account = accounts.find(key)
        if account is None:
            return Err(SessionFault.DENIED)
        digest = accounts.compute_digest(key)
        return Ok(
            ClientSession(
                self._app,
                self.directory,
                database,
                account,
                key_digest=digest,
                drain=self._drain,
                memory=self._session_memory,
            )
        )

    async def async_open_session(
        self, database: str, key: bytes
    ) -> Result[ClientSession, SessionFault]:
        """Return a session of a database; soon after a start, wait until it can be served."""
        self._opening += 1
        try:
            while not self._is_startup_complete() and not self.directory.is_ready_for(database):
                if self._is_draining():
                    return Err(SessionFault.STOPPING)
                await self.directory.changed.async_wait(START_POLL_MS)
            return self.open_session(database, key)
        except Exception as error:
            return self._fail_to_open(database, error)
        finally:
            self._opening -= 1

    def _is_startup_complete(self) -> bool:
        return self._app.clock.now_ms() >= self._started_ms + START_WAIT_MS

    def add_channel(self, channel: ClientChannel) -> None:
        """Register a client connection."""
        self._channels.add(channel)

    def note_closing(self, channel: ClientChannel) -> None:
        """Note that a connection without a session is being closed, after an answer."""
        self._closing.add(channel)

    def forget_closing(self, channel: ClientChannel) -> None:
        """Note that a connection has ended."""
        self._closing.discard(channel)

    def remove_channel(self, channel: ClientChannel) -> None:
        """Unregister a client connection and roll back its open transaction."""
        self._channels.discard(channel)
        channel.session.close()

    def list_changes(self, host: str, after: int, era: int) -> Listing | None:
        """Return changes of the store for the node at `host`; None if it is not registered."""
        return self.directory.list_changes(after, era) if self.directory.is_peer(host) else None

    def open_shared(
        self,
        host: str,
        *,
        service: str,
        member_id: str,
        on_answer: Callable[[Answer], None],
        on_lost: Callable[[], None],
    ) -> Result[SharedConnection, SharingFault]:
        """Return a shared connection to a member, if this node is a home of the member.

        `host` is the address of the node that asks for it, which must be registered.
        """
        group = self.directory.find_group(service)
        is_stopping = self._shared_drain.phase >= DrainPhase.REFUSING
        if group is None or is_stopping or not self.directory.is_peer(host):
            return Err(SharingFault.NO_HOME)
        pool = group.accept_shared(member_id)
        if pool is None:
            return Err(SharingFault.NO_HOME)
        if pool.is_refused():
            return Err(SharingFault.MEMBER_REFUSED)
        if pool.is_lost():
            return Err(SharingFault.MEMBER_SILENT)

        def handle_error(error: Exception) -> None:
            self._app.events.write(
                SHARING_FAILED, member=member_id, host=host, **locate_error(error)
            )

        shared = SharedConnection(
            pool, on_answer, on_lost, on_error=handle_error, drain=self._shared_drain
        )
        self._shared.add(shared)
        return Ok(shared)

    def close_shared(self, shared: SharedConnection) -> None:
        """Close a shared connection and roll back its open transaction."""
        self._shared.discard(shared)
        shared.close()

    def _is_draining(self) -> bool:
        return self._drain.phase is not DrainPhase.SERVING

    async def async_drain(self) -> None:
        """Stop serving phase by phase; every request that was read gets its final answer."""
        started_ms = self._app.clock.now_ms()
        self._app.events.write(
            GATEWAY_DRAINING, reason=self._app.stop_reason, sessions=len(self._channels)
        )
        self._drain.phase = DrainPhase.ANNOUNCED
        end_ms = started_ms + self._schedule.end_ms()
        async with asyncio.TaskGroup() as group:
            calls = [
                group.create_task(self._async_call_store(name, call, end_ms))
                for name, call in (
                    ("release promotion lease", self._promotion_lease.async_release),
                    ("announce leaving", self._registration.async_leave),
                )
            ]
            await self._async_finish_sessions(started_ms, calls)
            await self._async_settle(end_ms)
        run_guarded(self._app, "drain", self._log_drain, started_ms)
        # Other nodes may take the place of this one from now on: no statement can run any more.
        end_ms = max(end_ms, self._app.clock.now_ms() + self._schedule.unregister_ms())
        await self._async_call_store("unregister", self._registration.async_release, end_ms)

    async def async_refuse_clients(self) -> None:
        """Answer the clients of a node that stops before it has started; nothing else is done."""
        end_ms = self._app.clock.now_ms() + self._schedule.end_ms()
        self._enter(DrainPhase.REFUSING)
        await self._async_let_clients_in()
        await self._async_settle(end_ms)

    async def _async_call_store(
        self, name: str, call: Callable[[], Coroutine[Any, Any, None]], end_ms: float
    ) -> None:
        """Make calls to the store, which may fail, unless they last beyond `end_ms`."""
        left_ms = end_ms - self._app.clock.now_ms()
        error = "no answer in time"
        try:
            async with asyncio.timeout(max(left_ms, 1) / 1000):
                await call()
            return
        except TimeoutError:
            pass
        except Exception as fault:  # the drain has to go on
            error = name_error(fault)
        self._app.events.write(
            DRAIN_CALL_FAILED, call=name, error=error, allowed_ms=round(max(left_ms, 0))
        )

    async def _async_finish_sessions(
        self, started_ms: int, calls: list["asyncio.Task[None]"]
    ) -> None:
        """Serve less in each phase, until nobody uses this node or the last phase starts.

        Everything is served until the calls that announce the end are done.
        """
        while True:
            elapsed_ms = self._app.clock.now_ms() - started_ms
            phase = self._schedule.find_phase(elapsed_ms)
            if phase is DrainPhase.SETTLING:
                self._end_shared()
                return
            self._enter(phase)
            self._shared_drain.phase = phase
            await self._async_let_clients_in()
            if phase >= DrainPhase.CLOSING:
                self._close_idle(IDLE_CLIENT_MS)
            pending = [call for call in calls if not call.done()]
            if pending:
                await asyncio.wait(pending, timeout=DRAIN_TICK_MS / 1000)
                continue
            use = DrainUse(
                clients=len(self._channels) + self._opening,
                shared=len(self._shared),
                last_client_ms=self._last_client_ms - started_ms,
            )
            if self._schedule.may_end(elapsed_ms, use):
                return
            await asyncio.sleep(DRAIN_TICK_MS / 1000)

    def _end_shared(self) -> None:
        """End connections of other nodes in use, and begin nothing new on the others."""
        self._shared_drain.phase = DrainPhase.SETTLING
        for shared in list(self._shared):
            run_guarded(self._app, "drain", self._end_if_busy, shared)

    def _end_if_busy(self, shared: SharedConnection) -> None:
        if shared.is_busy():
            shared.end()

    async def _async_let_clients_in(self) -> None:
        """Let the event loop read what has arrived, also on connections not yet accepted."""
        for _ in range(ACCEPT_STEPS):
            await asyncio.sleep(0)

    async def _async_settle(self, end_ms: float) -> None:
        """Answer what still runs, and close all sessions."""
        self._enter(DrainPhase.SETTLING)
        for channel in self._channels:
            run_guarded(self._app, "drain", self._settle, channel)
        # Clients that are refused from now on do not prolong the drain.
        closing = set(self._closing)
        while True:
            left_ms = end_ms - self._app.clock.now_ms()
            is_open = self._has_clients() or closing & self._closing
            if not is_open or left_ms <= 0:
                return
            await asyncio.sleep(min(left_ms, DRAIN_TICK_MS) / 1000)

    def _settle(self, channel: ClientChannel) -> None:
        if channel.is_busy():
            channel.session.give_up()
        else:
            channel.close()

    def _has_clients(self) -> bool:
        """Return whether a client still has a session or waits for one."""
        return bool(self._channels or self._opening)

    def _enter(self, phase: DrainPhase) -> None:
        """Start a phase of the drain."""
        if phase is self._drain.phase:
            return
        self._drain.phase = phase
        run_guarded(self._app, "drain", self._log_phase, phase)

    def _log_phase(self, phase: DrainPhase) -> None:
        channels = list(self._channels)
        self._app.events.write(
            DRAIN_PHASE,
            phase=phase.name.lower(),
            sessions=len(channels),
            unanswered=sum(channel.is_busy() for channel in channels),
            in_transaction=sum(channel.session.in_transaction for channel in channels),
            shared_busy=sum(shared.is_busy() for shared in self._shared),
        )

    def may_close(self, channel: ClientChannel) -> bool:
        """Return whether a connection on which no request waits is closed with this answer.

        An operation follows the statements that set up a session, and would be cut.
        """
        session = channel.session
        is_idle = session.state is TransactionState.IDLE and not channel.has_partial_request()
        return self._drain.may_close(is_idle=is_idle and not session.is_setting_up)

    def _log_drain(self, started_ms: int) -> None:
        """Log what the drain leaves open."""
        channels = list(self._channels)
        self._app.events.write(
            DRAIN_ENDED,
            took_ms=self._app.clock.now_ms() - started_ms,
            sessions=len(channels),
            unanswered=sum(channel.is_busy() for channel in channels),
            in_transaction=sum(channel.session.in_transaction for channel in channels),
            shared_busy=sum(shared.is_busy() for shared in self._shared),
        )

    async def async_stop(self) -> None:
        """Stop all tasks and close all connections to members."""
        self._supervisor.close()
        await self._tasks.async_stop()
        self.directory.close()
        self._app.events.write(GATEWAY_STOPPED)

    def _close_idle(self, idle_ms: int) -> None:
        """Close sessions without a request or transaction, so that clients use other nodes."""
        now_ms = self._app.clock.now_ms()
        for channel in list(self._channels):
            run_guarded(self._app, "close_idle", self._close_if_idle, channel, now_ms - idle_ms)

    def _close_if_idle(self, channel: ClientChannel, used_before_ms: int) -> None:
        session = channel.session
        idle = session.last_used_ms <= used_before_ms and session.state is TransactionState.IDLE
        if idle and not channel.is_busy() and not channel.has_partial_request():
            channel.close_idle()

    def _check_isolation(self, now_ms: int) -> None:
        """Update the isolation state of this node.

        While it is isolated, close idle sessions once the platform sends no new clients.
        """
        pools = [pool for group in self.directory.groups.values() for pool in group.pools.values()]
        distant = [pool for pool in pools if pool.entry.domain != self._entry.domain] or pools
        changed = self._isolation.update(distant, now_ms)
        since_ms = self._isolation.since_ms
        if since_ms is None:
            if changed:
                self._app.events.write(ISOLATION_ENDED)
            return
        if changed:
            self._app.events.write(ISOLATED, sessions=len(self._channels))
        if self._unready_probes >= MAX_UNREADY_PROBES:
            self._close_idle(IDLE_CLIENT_FORCE_MS)

    async def _async_tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_MS / 1000)
            now_ms = self._app.clock.now_ms()
            for service, group in list(self.directory.groups.items()):
                run_guarded(self._app, "tick_group", group.tick, service=service)
            run_guarded(self._app, "tick_directory", self._tick_directory, now_ms)
            run_guarded(self._app, "tick_sessions", self._tick_sessions, now_ms)

    def _tick_directory(self, now_ms: int) -> None:
        self.directory.tick()
        groups = self.directory.groups.values()
        self.directory.store_copy.set_alert(alert=any(group.needs_change() for group in groups))
        if self.directory.is_loaded():
            self._check_isolation(now_ms)

    def _tick_sessions(self, now_ms: int) -> None:
        self._channels.close_revoked(now_ms)
        for channel in self._channels:
            run_guarded(self._app, "tick_session", channel.session.expire_transaction, now_ms)
