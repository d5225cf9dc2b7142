"""Entry side of a proxy: validates, routes, retries and answers the requests of callers."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import count
from random import Random

from burdockrun_admission import EVENT_ACCOUNT_LIMITED, METRIC_ACCOUNT_LIMITED, AccountLimiter
from burdockrun_messages import (
    Code,
    Configuration,
    Database,
    Forward,
    ForwardAnswer,
    ForwardStatus,
    GroupRecord,
    LogPosition,
    Member,
    NodeInfo,
    Outbox,
    Outcome,
    SendAnswer,
    StatementAnswer,
    StatementRequest,
)
from burdockrun_routing import (
    EVENT_NO_MEMBER_CURRENT,
    EVENT_RETRY_BUDGET_SPENT,
    METRIC_READ_AT_PRIMARY,
    METRIC_READ_AT_REPLICA,
    METRIC_READ_BEHIND,
    METRIC_RETRY_REFUSED,
    PositionTable,
    RetryBudget,
)
from burdockrun_sessions import EVENT_TOKEN_REFUSED, METRIC_TOKEN_REFUSED, TokenCodec
from result import Err, Result

from burdockrun_proxy.checks import CheckedRequest, RequestChecker
from burdockrun_proxy.const import (
    LOST_NODE_BACKOFF_MS,
    MAX_ATTEMPTS,
    REROUTE_DELAY_MS,
    RETRY_INTERVAL_MS,
)
from burdockrun_proxy.directory import NodeDirectory
from burdockrun_proxy.models import (
    HomeReply,
    HomeRequest,
    OnHomeReply,
    PendingRequest,
    answer_unknown,
    is_write,
    needs_settlement,
    refuse,
)
from burdockrun_proxy.placement import Placement
from burdockrun_proxy.policies import Policies, ReadContext
from burdockrun_proxy.transactions import parse_transaction_id

AcceptLocally = Callable[[str, HomeRequest, int], bool]


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Member that is to run a request, and the node to which the request is forwarded."""

    member: Member
    node: NodeInfo


class RequestRouter:
    """Accepts requests of callers and answers each exactly once."""

    def __init__(
        self,
        *,
        node: NodeInfo,
        codec: TokenCodec,
        directory: NodeDirectory,
        placement: Placement,
        positions: PositionTable,
        outbox: Outbox,
        rng: Random,
        ids: "count[int]",
        policies: Policies,
        limiter: AccountLimiter,
        accept_locally: AcceptLocally,
        learn_record: Callable[[GroupRecord, int], bool],
    ) -> None:
        self._node = node
        self._codec = codec
        self._checker = RequestChecker(codec)
        self._directory = directory
        self._placement = placement
        self._positions = positions
        self._outbox = outbox
        self._rng = rng
        self._ids = ids
        self._policies = policies
        self._limiter = limiter
        self._accept_locally = accept_locally
        self._learn_record = learn_record
        self._retries = RetryBudget()
        self._pending: dict[int, PendingRequest] = {}
        self._avoid_until_ms: dict[str, int] = {}
        self._deadlines: list[tuple[int, int]] = []
        self._reroutes: list[tuple[int, int]] = []
        self.configuration = Configuration()
        self.records: dict[str, GroupRecord] = {}
        self.draining = False
        # Whether nothing is served any more, in transactions neither.
        self._has_ended = False

    @property
    def in_flight(self) -> int:
        """Return the number of callers that wait for an answer."""
        return len(self._pending)

    def receive(self, caller_id: int, request: StatementRequest, now_ms: int) -> None:
        """Accept or refuse one request of a caller."""
        self._outbox.count("requests")
        checked = self._check(request)
        if isinstance(checked, Err):
            if checked.err_value.code is Code.BAD_SESSION:
                self._outbox.count(METRIC_TOKEN_REFUSED)
                self._outbox.log_rate_limited(
                    EVENT_TOKEN_REFUSED, now_ms, reason=checked.err_value.message
                )
            self._outbox.add(SendAnswer(caller_id=caller_id, answer=checked.err_value))
            return
        if not self._limiter.try_acquire(request.account):
            self._outbox.count(METRIC_ACCOUNT_LIMITED)
            self._outbox.log_rate_limited(EVENT_ACCOUNT_LIMITED, now_ms, account=request.account)
            answer = refuse(request, Code.OVERLOADED, "client account has too much in flight")
            self._outbox.add(SendAnswer(caller_id=caller_id, answer=answer))
            return
        pending = self._build_pending(caller_id, request, checked.ok_value, now_ms)
        self._pending[pending.pending_id] = pending
        heapq.heappush(self._deadlines, (pending.deadline_ms, pending.pending_id))
        self._retries.note_request()
        self._route(pending, now_ms)

    def receive_forward_answer(self, answer: ForwardAnswer, now_ms: int) -> None:
        """Process the answer of a home; late answers to earlier attempts are ignored."""
        if answer.record is not None:
            self._learn_record(answer.record, now_ms)
        pending_id, attempt = divmod(answer.forward_id, MAX_ATTEMPTS + 1)
        pending = self._pending.get(pending_id)
        if pending is None or pending.attempt != attempt:
            return
        reply = HomeReply(
            status=answer.status,
            answer=answer.answer,
            position=answer.position,
            lag_ms=answer.lag_ms,
        )
        self._handle_reply(pending, attempt, reply, now_ms)

    def peer_lost(self, node: str, now_ms: int) -> None:
        """Retry the requests that wait for a lost node, or end those within a transaction.

        New requests avoid the node for `LOST_NODE_BACKOFF_MS`.
        """
        self._avoid_until_ms[node] = now_ms + LOST_NODE_BACKOFF_MS
        for pending in tuple(self._pending.values()):
            if pending.node != node:
                continue
            pending.maybe_ran = pending.maybe_ran or needs_settlement(pending.request)
            pending.avoid.add(node)
            if pending.request.transaction is not None:
                # The node may still run, and with it the transaction.
                self._finish(pending, answer_unknown(pending.request, "proxy node lost"), now_ms)
                continue
            self._retry(pending, now_ms)

    def refuse_all(self) -> None:
        """Refuse everything that has not been passed on to a home, from now on."""
        self._has_ended = True

    def answer_all(self, now_ms: int) -> None:
        """Answer all callers with what is certain about their requests."""
        for pending in tuple(self._pending.values()):
            if pending.node is None:
                self._finish(pending, self._refuse_draining(pending.request), now_ms)
            else:
                self._finish(pending, answer_unknown(pending.request, "proxy has stopped"), now_ms)

    def record_changed(self, database: str, now_ms: int) -> None:
        """Route the requests of a database that wait for a route, most urgent first."""
        awaiting_route = [
            pending
            for pending in self._pending.values()
            if pending.awaiting_route and pending.request.database == database
        ]
        for pending in sorted(awaiting_route, key=lambda item: (item.rank_order, item.arrived_ms)):
            self._route(pending, now_ms)

    def tick(self, now_ms: int) -> None:
        """Answer requests whose deadline has passed and route those whose retry is due."""
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            pending = self._pending.get(heapq.heappop(self._deadlines)[1])
            if pending is not None:
                self._expire(pending, now_ms)
        while self._reroutes and self._reroutes[0][0] <= now_ms:
            pending = self._pending.get(heapq.heappop(self._reroutes)[1])
            if pending is not None and pending.awaiting_route:
                self._route(pending, now_ms)

    def _check(self, request: StatementRequest) -> Result[CheckedRequest, StatementAnswer]:
        if self._has_ended or (self.draining and request.transaction is None):
            return Err(self._refuse_draining(request))
        return self._checker.check(request, self.configuration)

    def _refuse_draining(self, request: StatementRequest) -> StatementAnswer:
        others = tuple(
            f"{node.host}:{node.port}"
            for node in self._directory.list_nodes()
            if node.node != self._node.node
        )
        return replace(refuse(request, Code.DRAINING, "proxy is draining"), alternatives=others[:5])

    def _build_pending(
        self, caller_id: int, request: StatementRequest, checked: CheckedRequest, now_ms: int
    ) -> PendingRequest:
        required = checked.token.find(request.database)
        max_lag_ms = None
        allowed_ms = checked.service.stale_reads_ms.get(checked.rank)
        if request.accepted_staleness_ms is not None and allowed_ms is not None:
            max_lag_ms = min(request.accepted_staleness_ms, allowed_ms)
        return PendingRequest(
            pending_id=next(self._ids),
            caller_id=caller_id,
            request=request,
            rank=checked.rank,
            rank_order=checked.rank_order,
            token=checked.token,
            arrived_ms=now_ms,
            deadline_ms=now_ms + request.deadline_ms,
            required=required,
            max_lag_ms=max_lag_ms,
        )

    def _route(self, pending: PendingRequest, now_ms: int) -> None:
        pending.awaiting_route = False
        if self._has_ended:
            self._finish(pending, self._refuse_draining(pending.request), now_ms)
            return
        if now_ms >= pending.deadline_ms:
            self._finish_refused(
                pending, self._choose_expiry_code(pending), "deadline passed before it ran", now_ms
            )
            return
        if pending.attempt >= MAX_ATTEMPTS:
            self._finish_refused(
                pending, self._choose_expiry_code(pending), "too many attempts", now_ms
            )
            return
        if pending.request.transaction is not None:
            self._route_in_transaction(pending, now_ms)
            return
        found = self.configuration.find_database(pending.request.database)
        if found is None:
            self._finish_refused(pending, Code.UNKNOWN_DATABASE, "database was removed", now_ms)
            return
        member = self._choose_member(pending, found[1], now_ms)
        if member is None:
            self._schedule_reroute(pending, RETRY_INTERVAL_MS, now_ms)
            return
        node = self._choose_node(pending, member, now_ms)
        if node is None:
            self._schedule_reroute(pending, RETRY_INTERVAL_MS, now_ms)
            return
        self._forward(pending, Route(member=member, node=node), now_ms)

    def _choose_member(
        self, pending: PendingRequest, database: Database, now_ms: int
    ) -> Member | None:
        record = self.records.get(database.name)
        primary = record.active.primary if record is not None and record.active else None
        if is_write(pending.request):
            return database.find_member(primary) if primary is not None else None
        context = ReadContext(
            pending=pending,
            database=database,
            primary=primary,
            positions=self._positions,
            domain=self._node.domain,
        )
        return self._policies.read(context, now_ms, self._rng)

    def _choose_node(self, pending: PendingRequest, member: Member, now_ms: int) -> NodeInfo | None:
        for node in (self._placement.find_home(member), self._placement.find_standby(member)):
            if node is None or node.node in pending.avoid:
                continue
            if self._avoid_until_ms.get(node.node, 0) <= now_ms:
                return node
        return None

    def _route_in_transaction(self, pending: PendingRequest, now_ms: int) -> None:
        parsed = parse_transaction_id(pending.request.transaction or "")
        found = self.configuration.find_database(pending.request.database)
        node = self._directory.find_node(parsed[0]) if parsed is not None else None
        member = found[1].find_member(parsed[1]) if found is not None and parsed else None
        if node is None or member is None or pending.attempt > 0:
            self._finish_refused(pending, Code.UNKNOWN_TRANSACTION, "no such transaction", now_ms)
            return
        self._forward(pending, Route(member=member, node=node), now_ms)

    def _forward(self, pending: PendingRequest, route: Route, now_ms: int) -> None:
        pending.attempt += 1
        pending.member = route.member.name
        pending.node = route.node.node
        if route.node.node == self._node.node:
            self._forward_locally(pending, route, now_ms)
            return
        self._outbox.send_peer(
            route.node,
            Forward(
                forward_id=pending.pending_id * (MAX_ATTEMPTS + 1) + pending.attempt,
                member=route.member.name,
                request=replace(pending.request, rank=pending.rank, session=None),
                deadline_ms=pending.deadline_ms - now_ms,
                sender=self._node,
                required=pending.required,
                max_lag_ms=pending.max_lag_ms,
                waited_out_gap=pending.waited_out_gap,
            ),
        )

    def _forward_locally(self, pending: PendingRequest, route: Route, now_ms: int) -> None:
        attempt = pending.attempt
        request = HomeRequest(
            request=pending.request,
            rank=pending.rank,
            deadline_ms=pending.deadline_ms,
            required=pending.required,
            max_lag_ms=pending.max_lag_ms,
            waited_out_gap=pending.waited_out_gap,
            on_reply=self._build_on_reply(pending, attempt),
        )
        if not self._accept_locally(route.member.name, request, now_ms):
            self._handle_reply(pending, attempt, HomeReply(status=ForwardStatus.NOT_HOME), now_ms)

    def _build_on_reply(self, pending: PendingRequest, attempt: int) -> OnHomeReply:
        def on_reply(reply: HomeReply, now_ms: int) -> None:
            if reply.record is not None:
                self._learn_record(reply.record, now_ms)
            current = self._pending.get(pending.pending_id)
            if current is pending and pending.attempt == attempt:
                self._handle_reply(pending, attempt, reply, now_ms)

        return on_reply

    def _handle_reply(
        self, pending: PendingRequest, attempt: int, reply: HomeReply, now_ms: int
    ) -> None:
        member, node, pending.node = pending.member or "", pending.node, None
        if reply.position is not None:
            self._positions.observe(
                pending.request.database, member, reply.position, reply.lag_ms, now_ms
            )
        if reply.status is ForwardStatus.ANSWERED and reply.answer is not None:
            self._finish(pending, reply.answer, now_ms)
            return
        if reply.status is ForwardStatus.BEHIND:
            self._outbox.count(METRIC_READ_BEHIND)
        if reply.status is ForwardStatus.BEHIND and member not in pending.avoid:
            pending.avoid.add(member)
            self._route(pending, now_ms)
            return
        if (
            reply.status is ForwardStatus.NOT_HOME
            and node is not None
            and node not in pending.avoid
        ):
            pending.avoid.add(node)
            self._route(pending, now_ms)
            return
        if reply.status is ForwardStatus.UNREACHABLE:
            self._positions.note_failure(pending.request.database, member, now_ms)
            if not is_write(pending.request) and member not in pending.avoid:
                pending.avoid.add(member)
                self._route(pending, now_ms)
                return
        delay_ms = REROUTE_DELAY_MS if attempt < 5 else RETRY_INTERVAL_MS
        self._schedule_reroute(pending, delay_ms, now_ms)

    def _retry(self, pending: PendingRequest, now_ms: int) -> None:
        pending.node = None
        if not self._retries.try_spend():
            self._outbox.count(METRIC_RETRY_REFUSED)
            self._outbox.log_rate_limited(EVENT_RETRY_BUDGET_SPENT, now_ms)
            self._finish_refused(pending, Code.RETRY_BUDGET, "retry budget is used up", now_ms)
            return
        self._outbox.count("retries")
        self._route(pending, now_ms)

    def _schedule_reroute(self, pending: PendingRequest, delay_ms: int, now_ms: int) -> None:
        pending.awaiting_route = True
        pending.waited_out_gap = True
        pending.avoid.clear()
        pending.node = None
        heapq.heappush(self._reroutes, (now_ms + delay_ms, pending.pending_id))
        self._outbox.wake_at(now_ms + delay_ms)

    def _expire(self, pending: PendingRequest, now_ms: int) -> None:
        if pending.node is not None:
            answer = answer_unknown(pending.request, "no answer before the deadline")
            self._finish(pending, answer, now_ms)
            return
        code = self._choose_expiry_code(pending)
        if code is Code.NO_MEMBER_CURRENT:
            self._outbox.log_rate_limited(
                EVENT_NO_MEMBER_CURRENT, now_ms, database=pending.request.database
            )
        self._finish_refused(pending, code, "deadline passed before the request ran", now_ms)

    def _choose_expiry_code(self, pending: PendingRequest) -> Code:
        record = self.records.get(pending.request.database)
        if is_write(pending.request) and (record is None or record.active is None):
            return Code.NO_PRIMARY
        if pending.required is not None and not is_write(pending.request):
            return Code.NO_MEMBER_CURRENT
        return Code.DEADLINE

    def _finish_refused(
        self, pending: PendingRequest, code: Code, message: str, now_ms: int
    ) -> None:
        self._finish(pending, refuse(pending.request, code, message), now_ms)

    def _finish(self, pending: PendingRequest, answer: StatementAnswer, now_ms: int) -> None:
        if answer.outcome is Outcome.NOT_RUN and pending.maybe_ran:
            answer = self._mark_unknown(pending, answer)
        if answer.outcome is Outcome.DONE and not is_write(pending.request):
            self._count_read(pending, answer)
        answer = replace(answer, session=self._build_session(pending, answer))
        # Only now, so that an error above leaves the caller with an answer at the deadline.
        del self._pending[pending.pending_id]
        self._limiter.release(pending.request.account)
        self._outbox.count(f"outcome.{answer.outcome}")
        self._outbox.time(f"latency.{pending.rank}", now_ms - pending.arrived_ms)
        self._outbox.add(SendAnswer(caller_id=pending.caller_id, answer=answer))

    def _count_read(self, pending: PendingRequest, answer: StatementAnswer) -> None:
        record = self.records.get(pending.request.database)
        primary = record.active.primary if record is not None and record.active else None
        at_primary = answer.member == primary
        self._outbox.count(METRIC_READ_AT_PRIMARY if at_primary else METRIC_READ_AT_REPLICA)

    def _mark_unknown(self, pending: PendingRequest, answer: StatementAnswer) -> StatementAnswer:
        """Return `unknown` in place of a refusal that does not settle an earlier attempt."""
        if answer.code is Code.ANSWER_LOST:
            return answer
        return answer_unknown(pending.request, "an earlier attempt may have run")

    def _build_session(self, pending: PendingRequest, answer: StatementAnswer) -> str:
        token = pending.token
        if answer.term is not None and answer.index is not None:
            position = LogPosition(term=answer.term, index=answer.index)
            token = token.advance(pending.request.database, position)
        return self._codec.encode(token, pending.request.account)
