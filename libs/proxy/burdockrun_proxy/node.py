"""Proxy node: creates the components and passes each event to the one that handles it."""

from collections.abc import Callable, Sequence
from functools import partial
from itertools import count
from random import Random
from typing import Any, Final

from burdockrun_admission import AccountLimiter
from burdockrun_base import Registry, locate_error
from burdockrun_failover import Acknowledger, GroupSupervisor, ProbeBudget
from burdockrun_fleet import FleetAgent, TicketFunctions
from burdockrun_messages import (
    Action,
    CallerGone,
    Configuration,
    ConnectionClosed,
    ConnectionOpened,
    ControlAnswered,
    Database,
    DrainExpired,
    DrainFinished,
    DrainRequested,
    Event,
    ExecuteAnswered,
    Forward,
    ForwardAnswer,
    ForwardStatus,
    GroupRecord,
    GroupState,
    Member,
    MemberStatus,
    NodeInfo,
    Outbox,
    PeerLost,
    PeerReceived,
    PlatformAnswered,
    ProcessPaused,
    RequestReceived,
    Service,
    Started,
    TimerFired,
    TransactionStep,
    Verdict,
)
from burdockrun_routing import PositionTable
from burdockrun_sessions import TokenCodec

from burdockrun_proxy.const import (
    CONFIGURATION_IN_FORCE,
    EVENT_FAILED,
    HANDOVER_TIMEOUT_MS,
    MAX_ACCOUNT_IN_FLIGHT,
    PROCESS_PAUSED,
    PROXY_DRAINING,
    ROUND_TRIP_BETWEEN_DOMAINS_MS,
    ROUND_TRIP_WITHIN_DOMAIN_MS,
    TERM_LEARNED,
)
from burdockrun_proxy.entry import RequestRouter
from burdockrun_proxy.freshness import FreshnessCheck
from burdockrun_proxy.home import MemberHome
from burdockrun_proxy.homes import MemberHomes
from burdockrun_proxy.invariants import InvariantChecker
from burdockrun_proxy.models import HomeReply, HomeRequest
from burdockrun_proxy.policies import DEFAULT_POLICIES, Policies
from burdockrun_proxy.settlement import Settlement
from burdockrun_proxy.status import NodeStatus, build_status

ID_BITS: Final = 40
PROMOTER_SEPARATOR: Final = "#"

Handler = Callable[["ProxyNode", Any, int], None]
_handlers: Registry[Handler] = Registry("event handler")


class ProxyNode:
    """Decision logic of one proxy process, without any I/O.

    `handle` takes an event with the time in ms and returns the actions to perform. All randomness
    comes from `rng`. A time plus `wall_offset_ms` is the time since the Unix epoch, as used in the
    audit trail. With `strict`, a violated invariant raises `InvariantViolatedError`.
    """

    def __init__(
        self,
        *,
        node: NodeInfo,
        seeds: Sequence[NodeInfo],
        session_keys: Sequence[str],
        ticket_functions: TicketFunctions,
        rng: Random,
        account_limit: int = MAX_ACCOUNT_IN_FLIGHT,
        policies: Policies = DEFAULT_POLICIES,
        wall_offset_ms: int = 0,
        strict: bool = False,
    ) -> None:
        self.info = node
        self._rng = rng
        self._policies = policies
        self._strict = strict
        self._outbox = Outbox()
        # A random start keeps ids from matching those of an earlier process of this name.
        self._ids = count(rng.getrandbits(ID_BITS))
        self._invariants = InvariantChecker(self._outbox, strict=strict)
        self._positions = PositionTable()
        self._probe_budget = ProbeBudget()
        self._records: dict[str, GroupRecord] = {}
        self._supervisors: dict[str, GroupSupervisor] = {}
        self._forwards_in_flight = 0
        self._draining = False
        # Whether the drain has finished or timed out; nothing is accepted for a member any more.
        self._has_ended = False
        self._handover_until_ms = 0
        self._configuration = Configuration()
        self.fleet = FleetAgent(
            node,
            seeds,
            self._outbox,
            rng,
            ticket_functions,
            ids=self._ids,
            wall_offset_ms=wall_offset_ms,
        )
        self._placement = policies.placement(self.fleet)
        self.fleet.on_configuration = self._apply_configuration
        self.fleet.on_records = self._learn_records
        self._acknowledger = Acknowledger(self._outbox)
        self._settlement = Settlement(self._outbox, self._acknowledger, self._find_primary)
        self._freshness = FreshnessCheck(self._outbox)
        self._homes = MemberHomes(
            self._placement, self._records, self._build_home, self.fleet.is_leaving
        )
        self._entry = RequestRouter(
            node=node,
            codec=TokenCodec(session_keys),
            directory=self.fleet,
            placement=self._placement,
            positions=self._positions,
            outbox=self._outbox,
            rng=rng,
            ids=self._ids,
            policies=policies,
            limiter=AccountLimiter(account_limit),
            accept_locally=self._accept,
            learn_record=self._learn_record,
        )

    @property
    def draining(self) -> bool:
        """Return whether the node accepts no new work."""
        return self._draining

    def handle(self, event: Event, now_ms: int) -> list[Action]:
        """Process one event and return the resulting actions."""
        handler = _handlers.get(type(event).__name__)
        assert handler is not None, f"no handler for {type(event).__name__}"
        handler(self, event, now_ms)
        return self._outbox.drain()

    def read_status(self, now_ms: int) -> NodeStatus:
        """Return the contents of the health and status pages."""
        return build_status(
            info=self.info,
            configuration=self._configuration,
            records=self._records,
            homes=self._homes.by_member,
            positions=self._positions,
            nodes=self.fleet.list_nodes(),
            rosters=self.fleet.rosters,
            draining=self._draining,
            in_flight=self._entry.in_flight,
        )

    @_handlers.register("Started")
    def _start(self, event: Started, now_ms: int) -> None:
        self._homes.start(now_ms)
        self.fleet.start(now_ms)

    @_handlers.register("RequestReceived")
    def _receive_request(self, event: RequestReceived, now_ms: int) -> None:
        self._entry.receive(event.caller_id, event.request, now_ms)

    @_handlers.register("CallerGone")
    def _caller_gone(self, event: CallerGone, now_ms: int) -> None:
        """Let the request finish; the driver drops its answer."""

    @_handlers.register("ConnectionOpened")
    def _connection_opened(self, event: ConnectionOpened, now_ms: int) -> None:
        home = self._homes.find_owner(event.connection_id)
        if home is not None:
            home.connection_opened(event.connection_id, now_ms)

    @_handlers.register("ConnectionClosed")
    def _connection_closed(self, event: ConnectionClosed, now_ms: int) -> None:
        home = self._homes.find_owner(event.connection_id)
        if home is not None:
            home.connection_closed(event.connection_id, event.reason, now_ms)

    @_handlers.register("ExecuteAnswered")
    def _execute_answered(self, event: ExecuteAnswered, now_ms: int) -> None:
        home = self._homes.find_owner(event.connection_id)
        if home is not None:
            home.execute_answered(event.connection_id, event.answer, now_ms)

    @_handlers.register("ControlAnswered")
    def _control_answered(self, event: ControlAnswered, now_ms: int) -> None:
        self._outbox.deliver_control_reply(event, now_ms)

    @_handlers.register("PlatformAnswered")
    def _platform_answered(self, event: PlatformAnswered, now_ms: int) -> None:
        self._outbox.deliver_platform_reply(event, now_ms)

    @_handlers.register("PeerReceived")
    def _peer_received(self, event: PeerReceived, now_ms: int) -> None:
        message = event.message
        if isinstance(message, Forward):
            self._receive_forward(message, now_ms)
            return
        if isinstance(message, ForwardAnswer):
            self._entry.receive_forward_answer(message, now_ms)
            return
        if isinstance(message, Verdict):
            supervisor = self._supervisors.get(message.database)
            if supervisor is not None:
                supervisor.receive_verdict(message, now_ms)
            return
        self.fleet.receive(event.peer, message, now_ms)

    @_handlers.register("PeerLost")
    def _peer_lost(self, event: PeerLost, now_ms: int) -> None:
        self._entry.peer_lost(event.peer, now_ms)

    @_handlers.register("TimerFired")
    def _timer_fired(self, event: TimerFired, now_ms: int) -> None:
        self._run_steps([self.fleet.tick, self._homes.resize, self._update_supervisors], now_ms)
        self._run_steps([one.tick for one in self._supervisors.values()], now_ms)
        steps = [
            self._homes.tick,
            self._settlement.tick,
            self._acknowledger.tick,
            self._entry.tick,
            self._replace_unusable_primaries,
            self._report_drained,
        ]
        self._run_steps(steps, now_ms)

    def _run_steps(self, steps: Sequence[Callable[[int], None]], now_ms: int) -> None:
        """Run periodic steps; unless the node is strict, an error in one does not stop others."""
        for step in steps:
            try:
                step(now_ms)
            except Exception as error:
                if self._strict:
                    raise
                self._outbox.log_rate_limited(
                    EVENT_FAILED, now_ms, kind=step.__qualname__, **locate_error(error)
                )

    @_handlers.register("ProcessPaused")
    def _process_paused(self, event: ProcessPaused, now_ms: int) -> None:
        self._outbox.log(PROCESS_PAUSED, gap_ms=event.gap_ms)
        self.fleet.handle_pause(event.gap_ms, now_ms)
        for supervisor in self._supervisors.values():
            supervisor.handle_pause(event.gap_ms, now_ms)

    @_handlers.register("DrainRequested")
    def _drain(self, event: DrainRequested, now_ms: int) -> None:
        if self._draining:
            return
        self._draining = True
        self._handover_until_ms = now_ms + HANDOVER_TIMEOUT_MS
        self._entry.draining = True
        self._outbox.log(PROXY_DRAINING, in_flight=self._entry.in_flight)
        self.fleet.drain(now_ms)
        # A transaction that begins now could delay the end of the drain.
        for home in self._homes:
            home.return_begins(now_ms)

    @_handlers.register("DrainExpired")
    def _end_drain(self, event: DrainExpired, now_ms: int) -> None:
        """Answer all callers; what waits at a home here has not run, and may run elsewhere."""
        self._end_service()
        for home in self._homes:
            home.return_queued(now_ms)
        self._entry.answer_all(now_ms)

    def _end_service(self) -> None:
        """Refuse all requests from now on, because all links are about to close."""
        self._has_ended = True
        self._entry.refuse_all()

    def _receive_forward(self, message: Forward, now_ms: int) -> None:
        self._forwards_in_flight += 1
        request = HomeRequest(
            request=message.request,
            rank=message.request.rank or "",
            deadline_ms=now_ms + message.deadline_ms,
            required=message.required,
            max_lag_ms=message.max_lag_ms,
            waited_out_gap=message.waited_out_gap,
            round_trip_ms=self._find_round_trip_ms(message.sender),
            on_reply=partial(self._send_forward_answer, message),
        )
        if not self._accept(message.member, request, now_ms):
            self._send_forward_answer(message, HomeReply(status=ForwardStatus.NOT_HOME), now_ms)

    def _find_round_trip_ms(self, sender: NodeInfo) -> int:
        """Return the expected network round trip in ms of a request from `sender`."""
        if sender.domain == self.info.domain:
            return ROUND_TRIP_WITHIN_DOMAIN_MS
        return ROUND_TRIP_BETWEEN_DOMAINS_MS

    def _send_forward_answer(self, message: Forward, reply: HomeReply, now_ms: int) -> None:
        self._forwards_in_flight -= 1
        self._outbox.send_peer(
            message.sender,
            ForwardAnswer(
                forward_id=message.forward_id,
                status=reply.status,
                answer=reply.answer,
                position=reply.position,
                lag_ms=reply.lag_ms,
                record=reply.record,
            ),
        )

    def _accept(self, member: str, request: HomeRequest, now_ms: int) -> bool:
        """Pass a request to the home of a member; return False when this node cannot serve it."""
        home = self._homes.find(member)
        if home is None or self._has_ended:
            return False
        if self._draining and request.request.step is TransactionStep.BEGIN:
            return False
        home.accept(request, now_ms)
        return True

    def _apply_configuration(self, configuration: Configuration, now_ms: int) -> None:
        if not self._invariants.require(
            configuration.number >= self._configuration.number,
            "the number of the ticket in force never decreases",
            known=self._configuration.number,
            new=configuration.number,
        ):
            return
        self._configuration = configuration
        self._entry.configuration = configuration
        for name, supervisor in self._supervisors.items():
            found = configuration.find_database(name)
            if found is not None:
                supervisor.set_database(found[1])
        self._outbox.log(CONFIGURATION_IN_FORCE, ticket=configuration.number)
        self._homes.configure(configuration, now_ms)
        self._update_supervisors(now_ms)

    def _build_home(self, service: Service, database: Database, member: Member) -> MemberHome:
        return MemberHome(
            database=database,
            member=member,
            node=self.info.node,
            outbox=self._outbox,
            ids=self._ids,
            positions=self._positions,
            acknowledger=self._acknowledger,
            settlement=self._settlement,
            freshness=self._freshness,
            invariants=self._invariants,
            scheduler=self._policies.scheduler(service, database),
            on_response=partial(self._note_response, database.name),
        )

    def _update_supervisors(self, now_ms: int) -> None:
        wanted = self._homes.list_databases()
        for name in wanted - self._supervisors.keys():
            found = self._configuration.find_database(name)
            if found is None:
                continue
            self._supervisors[name] = self._build_supervisor(found[1], now_ms)
        for name in self._supervisors.keys() - wanted:
            del self._supervisors[name]

    def _build_supervisor(self, database: Database, now_ms: int) -> GroupSupervisor:
        supervisor = GroupSupervisor(
            database, self.info, self.fleet, self._outbox, self._rng, budget=self._probe_budget
        )
        supervisor.on_record = self._publish_record
        supervisor.on_status = partial(self._note_status, database.name)
        record = self._records.get(database.name)
        if record is not None:
            supervisor.learn_record(record, now_ms)
        return supervisor

    def _note_status(self, database: str, member: str, status: MemberStatus, now_ms: int) -> None:
        self._positions.observe(database, member, status.position, status.lag_ms, now_ms)

    def _note_response(self, database: str, member: str, now_ms: int) -> None:
        supervisor = self._supervisors.get(database)
        if supervisor is not None:
            supervisor.note_response(member, now_ms)

    def _publish_record(self, record: GroupRecord, now_ms: int) -> None:
        if not self._learn_record(record, now_ms):
            return
        self.fleet.publish_record(record, now_ms)
        is_promoter = record.promoter.partition(PROMOTER_SEPARATOR)[0] == self.info.node
        if is_promoter and record.active is not None and record.state is GroupState.ACTIVE:
            self.fleet.audit(
                "promotion",
                now_ms,
                database=record.database,
                term=record.term,
                primary=record.active.primary,
            )

    def _learn_records(self, records: Sequence[GroupRecord], now_ms: int) -> None:
        for record in records:
            self._learn_record(record, now_ms)

    def _learn_record(self, record: GroupRecord, now_ms: int) -> bool:
        known = self._records.get(record.database)
        if known is not None and not is_newer(record, known):
            return False
        self._records[record.database] = record
        self._entry.records[record.database] = record
        self._outbox.log(
            TERM_LEARNED, database=record.database, term=record.term, state=record.state
        )
        self._acknowledger.learn_record(record, now_ms)
        supervisor = self._supervisors.get(record.database)
        if supervisor is not None:
            supervisor.learn_record(record, now_ms)
        self._homes.learn_record(record, now_ms)
        self._entry.record_changed(record.database, now_ms)
        return True

    def _find_primary(self, database: str) -> tuple[GroupRecord, Member] | None:
        record = self._records.get(database)
        found = self._configuration.find_database(database)
        if record is None or record.active is None or found is None:
            return None
        member = found[1].find_member(record.active.primary)
        return (record, member) if member is not None else None

    def _replace_unusable_primaries(self, now_ms: int) -> None:
        """Request a new primary where the present one is leaving or no live node serves it."""
        for name, supervisor in self._supervisors.items():
            found = self._find_primary(name)
            if found is None:
                continue
            if self.fleet.is_leaving(found[1]):
                supervisor.request_primary_change("primary is leaving", now_ms)
            elif self.fleet.has_no_live_home(found[1]):
                supervisor.request_primary_change("no live proxy node serves the primary", now_ms)

    def _can_hand_over(self) -> bool:
        """Return whether another live node of the domain can take over members of this node."""
        others = (node for node in self.fleet.list_nodes() if node.node != self.info.node)
        return bool(self._placement.list_role_members()) and any(
            node.domain == self.info.domain for node in others
        )

    def _report_drained(self, now_ms: int) -> None:
        """Report the end of the drain: nothing is in flight and handover is done or timed out."""
        if not self._draining or self._has_ended:
            return
        if self._can_hand_over() and now_ms < self._handover_until_ms:
            return
        busy = self._entry.in_flight or self._forwards_in_flight
        if busy or self._homes.in_flight:
            return
        self._end_service()
        self._outbox.add(DrainFinished())


def is_newer(record: GroupRecord, known: GroupRecord) -> bool:
    """Return whether a group record is newer; in one term, `active` follows `fencing`."""
    if record.term != known.term:
        return record.term > known.term
    return record.state == "active" and known.state == "fencing"
