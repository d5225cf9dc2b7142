"""Queue of the statements for one member at its home."""

import math
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, replace
from itertools import count
from random import Random

from burdockrun_base import Code, Rank
from result import Err, Ok, Result

from burdockrun_admission.account_connections import AccountConnections
from burdockrun_admission.const import (
    CONTROL_RANK,
    MIN_RETRY_AFTER_MS,
    OPENING_MS,
    RETRY_JITTER,
    TRANSACTION_RESERVE_SLOTS,
)
from burdockrun_admission.home_scheduler import HomeScheduler
from burdockrun_admission.models import (
    CloseConnection,
    DropWork,
    OpenConnection,
    Outcome,
    QueueAction,
    QueueLoad,
    QueueRequest,
    Refusal,
    StartWork,
    Work,
    WorkKind,
    WorkLimit,
)


@dataclass(slots=True)
class _Running:
    """Statement that was sent and not answered; `request` is None within a transaction."""

    connection_id: int
    request: QueueRequest | None
    repeated: bool = False


class MemberQueue:
    """Decides which statement is sent to a member next, on which connection, and what is refused.

    Callers report events and then carry out the actions that `advance` returns, in their order.
    Running work, which includes connections being opened, does not exceed the limit, except for
    statements of open transactions and of the gateway itself: these are sent at once, since a
    transaction that waits lets others wait for its locks and its connection. Times are in ms of the
    node's clock. Work ids are positive and unique.
    """

    def __init__(self, limit: WorkLimit, rng: Random) -> None:
        self.limit = limit
        self._rng = rng
        self._scheduler = HomeScheduler((), 1)
        self._connections = AccountConnections()
        self._slots = 1
        self._effective_slots = 1
        # Requests that wait in the scheduler or in `_control`, and their number by account.
        self._waiting: dict[int, QueueRequest] = {}
        self._waiting_by_account: Counter[str] = Counter()
        self._control: deque[int] = deque()
        self._running: dict[int, _Running] = {}
        # Statements that the member did not run, with the time at which they are sent again. They
        # keep their connections.
        self._repeats: dict[int, tuple[int, _Running]] = {}
        # Work that runs, or is to be repeated, by connection.
        self._work_by_connection: dict[int, int] = {}
        self._running_in_transaction = 0
        self._beginning = 0
        self._openings = 0
        self._parked: set[str] = set()
        self._may_unpark = False
        self._actions: list[QueueAction] = []
        self._connection_ids = count(1)
        self._now_ms = 0

    def configure(self, ranks: Sequence[Rank], slots: int, quota: int) -> None:
        """Set the ranks, the slots of the member and the number of connections of this home.

        Waiting work of removed ranks is refused; idle connections beyond the quota are closed.
        """
        if slots != self._slots:
            self._slots = slots
            self.limit.configure(slots)
        self._connections.open_limit = self._connections.quota = quota
        for work in self._scheduler.configure(ranks, self._effective_slots):
            self._drop(work.work_id, Refusal(code=Code.UNKNOWN_RANK))
        self._scheduler.set_slots(self._effective_slots, self._slots)
        self._may_unpark = True

    def allow_openings(self, open_limit: int, after_ms: int) -> None:
        """Set up to how many connections new ones are opened, and from when on."""
        connections = self._connections
        if (open_limit, after_ms) != (connections.open_limit, connections.open_after_ms):
            connections.open_limit, connections.open_after_ms = open_limit, after_ms
            self._may_unpark = True

    def offer(self, request: QueueRequest, now_ms: int) -> Result[None, Refusal]:
        """Queue the first statement of an operation, or refuse it; it has not run then."""
        if request.rank == CONTROL_RANK:
            self._control.append(request.work_id)
        else:
            if request.starts_transaction and self._has_all_transactions():
                return Err(self._spread(self._scheduler.build_refusal(request.rank, now_ms)))
            margin_ms = self._scheduler.expiry_margin_ms(request.rank)
            work = Work(
                work_id=request.work_id,
                rank=request.rank,
                account=request.account,
                arrived_ms=request.arrived_ms,
                deadline_ms=request.deadline_ms + math.ceil(margin_ms),
            )
            delay_ms = 0
            if not self._connections.opened:
                delay_ms = max(0, self._connections.open_after_ms - now_ms)
            self._set_slots()
            admitted = self._scheduler.request(
                work, now_ms, start_by_ms=request.deadline_ms, delay_ms=delay_ms
            )
            if isinstance(admitted, Err):
                return Err(self._spread(admitted.err_value))
        self._waiting[request.work_id] = request
        self._waiting_by_account[request.account] += 1
        return Ok(None)

    def advance(self, now_ms: int) -> list[QueueAction]:
        """Return what has to be done now, after any number of events."""
        self._now_ms = now_ms
        self._set_slots()
        if self._control:
            self._serve_control(now_ms)
        if self._repeats:
            self._send_repeats(now_ms)
        if self._may_unpark:
            self._may_unpark = False
            for account in self._parked:
                self._scheduler.unpark(account)
            self._parked.clear()
        scheduler = self._scheduler
        while scheduler.waiting:
            taken = scheduler.take(now_ms, self._is_ready)
            for work in taken.expired:
                self._drop(work.work_id, scheduler.build_refusal(work.rank, now_ms))
            if taken.work is None:
                break
            self._place(taken.work.work_id, now_ms)
        excess = self._connections.find_excess(now_ms)
        while excess is not None:
            self._connections.remove(excess)
            self._actions.append(CloseConnection(connection_id=excess))
            excess = self._connections.find_excess(now_ms)
        actions, self._actions = self._actions, []
        return actions

    def start_in_transaction(
        self, work_id: int, connection_id: int, now_ms: int, kind: WorkKind
    ) -> None:
        """Note a statement that is sent on a connection already in use, whatever else waits."""
        account = self._connections.find_account(connection_id)
        if account is None:
            return
        self._connections.note_sent(connection_id)
        self._running[work_id] = _Running(connection_id, None)
        self._work_by_connection[connection_id] = work_id
        self._running_in_transaction += 1
        work = Work(
            work_id=work_id, rank=kind.rank, account=account, arrived_ms=now_ms, deadline_ms=now_ms
        )
        self._scheduler.start(work, now_ms)
        self.limit.start(work_id, kind, now_ms, queued=self._scheduler.waiting > 0)

    def complete(
        self,
        work_id: int,
        now_ms: int,
        outcome: Outcome,
        *,
        may_repeat: bool = False,
        releases: bool = True,
    ) -> bool:
        """Note the end of a statement; return whether it will be started once more.

        With `may_repeat`, a first statement that the member did not run is started again after one
        service time if it still may wait that long, since a caller that has to send it again loses
        its turn. `releases` says that its connection is idle now if no transaction is open;
        otherwise `note_released` follows.
        """
        running = self._running.pop(work_id, None)
        if running is None:
            return False
        connection_id, request = running.connection_id, running.request
        self._end(work_id, running, now_ms, outcome)
        if may_repeat and request is not None and outcome is Outcome.NOT_RUN:
            again_ms = now_ms + math.ceil(self._scheduler.mean_service_ms(request.rank))
            if not running.repeated and again_ms <= request.deadline_ms:
                running.repeated = True
                self._repeats[work_id] = (again_ms, running)
                return True
        del self._work_by_connection[connection_id]
        if not self._connections.is_in_transaction(connection_id):
            if releases:
                self.note_released(connection_id)
            else:
                self._connections.note_ending(connection_id)
        return False

    def cancel(self, work_id: int, now_ms: int) -> None:
        """Withdraw work that waits, or that was started and has not been sent."""
        running = self._running.pop(work_id, None)
        if running is not None:
            self._end(work_id, running, now_ms, Outcome.LOST, was_sent=False)
        else:
            _, running = self._repeats.pop(work_id, (0, None))
        if running is not None:
            self._work_by_connection.pop(running.connection_id, None)
            self.note_released(running.connection_id)
            return
        request = self._forget_waiting(work_id)
        if request is not None and request.rank != CONTROL_RANK:
            self._scheduler.cancel(work_id)

    def note_opened(self, connection_id: int, now_ms: int) -> None:
        """Note that a connection was opened; it is idle."""
        account = self._connections.find_opening(connection_id)
        if account is None:
            return
        self._end_opening(connection_id)
        self._connections.add(connection_id, account, now_ms)
        self._may_unpark = True

    def adopt(self, account: str, now_ms: int, *, in_use: bool) -> int:
        """Return an id for a connection that was opened before this queue existed."""
        connection_id = next(self._connection_ids)
        self._connections.add(connection_id, account, now_ms, in_use=in_use)
        self._may_unpark = True
        return connection_id

    def note_lost(self, connection_id: int, now_ms: int) -> None:
        """Note that a connection has ended, or could not be opened."""
        if self._connections.find_opening(connection_id) is not None:
            self._end_opening(connection_id)
        work_id = self._work_by_connection.pop(connection_id, None)
        if work_id is not None:
            running = self._running.pop(work_id, None)
            if running is not None:
                self._end(work_id, running, now_ms, Outcome.LOST)
            elif self._repeats.pop(work_id, None) is not None:
                self._actions.append(DropWork(work_id=work_id, refusal=_MOVED))
        self._connections.remove(connection_id)
        self._may_unpark = True

    def note_released(self, connection_id: int) -> None:
        """Note that a connection in use is idle: nothing is unanswered on it."""
        self._connections.release(connection_id)
        self._may_unpark = True

    def note_transaction(self, connection_id: int, *, is_open: bool) -> None:
        """Note whether a transaction is open on a connection after an answer."""
        self._connections.note_transaction(connection_id, is_open=is_open)

    def keep_open(self, minimum: int, now_ms: int) -> None:
        """Open a connection in the name of the node if there are fewer than `minimum` in all."""
        if self._connections.total < minimum and self._connections.may_open("", now_ms):
            self._open("", now_ms)

    def drop_waiting(self) -> None:
        """Refuse all waiting work, since this node is no longer the home."""
        for work_id in [*self._waiting, *self._repeats]:
            self._scheduler.cancel(work_id)
            if work_id in self._repeats:
                _, running = self._repeats.pop(work_id)
                del self._work_by_connection[running.connection_id]
                self._actions.append(DropWork(work_id=work_id, refusal=_MOVED))
            else:
                self._drop(work_id, _MOVED)

    def describe(self, now_ms: int) -> QueueLoad:
        """Return the load of the member as seen by this home."""
        wait_ms = self._scheduler.describe_wait_ms(now_ms)
        if not self._connections.opened:
            wait_ms = max(wait_ms, self._connections.open_after_ms - now_ms)
        return QueueLoad(
            wait_ms=round(wait_ms),
            running=len(self._running) + self._openings,
            limit=self.limit.limit,
            waiting=len(self._waiting) + len(self._repeats),
        )

    def next_due_ms(self) -> float:
        """Return when `advance` has to be called although no event has happened."""
        due_ms = self._scheduler.next_expiry_ms() if self._scheduler.waiting else math.inf
        for work_id in self._control:
            request = self._waiting.get(work_id)
            if request is not None:
                due_ms = min(due_ms, request.deadline_ms + 1)
        for again_ms, _ in self._repeats.values():
            due_ms = min(due_ms, again_ms)
        return due_ms

    def _set_slots(self) -> None:
        """Let the scheduler use the limit, or the connections without an idle transaction."""
        connections = self._connections
        idle_transactions = connections.open_transactions - self._running_in_transaction
        usable = min(connections.quota, max(connections.total, connections.open_limit))
        slots = max(1, min(self.limit.limit, usable - max(0, idle_transactions)))
        if slots != self._effective_slots:
            self._effective_slots = slots
            self._scheduler.set_slots(slots, self._slots)

    def _is_ready(self, account: str) -> bool:
        waiting = self._waiting_by_account[account]
        is_ready = self._connections.can_serve(
            account, waiting, self._now_ms, others_wait=len(self._waiting) > waiting
        )
        if not is_ready:
            self._parked.add(account)
        return is_ready

    def _place(self, work_id: int, now_ms: int) -> None:
        """Start work that the scheduler has chosen, or open a connection for it."""
        request = self._waiting[work_id]
        if request.starts_transaction and self._has_all_transactions():
            self._scheduler.withdraw(work_id)
            self._drop(work_id, self._scheduler.build_refusal(request.rank, now_ms))
            return
        connection_id = self._connections.take_idle(request.account)
        if connection_id is None:
            self._scheduler.put_back(work_id, now_ms)
            self._open(request.account, now_ms)
            return
        self._forget_waiting(work_id)
        self._begin(work_id, _Running(connection_id, request), now_ms)

    def _begin(self, work_id: int, running: _Running, now_ms: int) -> None:
        assert running.request is not None
        self._running[work_id] = running
        self._work_by_connection[running.connection_id] = work_id
        self._beginning += running.request.starts_transaction
        queued = self._scheduler.waiting > 0
        self.limit.start(work_id, running.request.kind, now_ms, queued=queued)
        self._actions.append(StartWork(work_id=work_id, connection_id=running.connection_id))

    def _end(
        self,
        work_id: int,
        running: _Running,
        now_ms: int,
        outcome: Outcome,
        *,
        was_sent: bool = True,
    ) -> None:
        """Free the slot; only statements that ran say how long the member takes."""
        if running.request is None:
            self._running_in_transaction -= 1
        else:
            self._beginning -= running.request.starts_transaction
        self.limit.finish(work_id, now_ms, outcome)
        if was_sent and outcome in {Outcome.DONE, Outcome.LOST}:
            self._scheduler.complete(work_id, now_ms)
        else:
            self._scheduler.withdraw(work_id)

    def _open(self, account: str, now_ms: int) -> None:
        connection_id = next(self._connection_ids)
        replaced = self._connections.start_opening(connection_id, account, now_ms)
        if replaced is not None:
            self._actions.append(CloseConnection(connection_id=replaced))
        self._openings += 1
        work = Work(
            work_id=-connection_id, rank="", account=account, arrived_ms=now_ms, deadline_ms=now_ms
        )
        self._scheduler.occupy(work, now_ms, OPENING_MS)
        self._actions.append(OpenConnection(connection_id=connection_id, account=account))

    def _end_opening(self, connection_id: int) -> None:
        self._openings -= 1
        self._scheduler.withdraw(-connection_id)

    def _serve_control(self, now_ms: int) -> None:
        """Start statements of the gateway itself, without regard to the limit."""
        for _ in range(len(self._control)):
            work_id = self._control.popleft()
            request = self._waiting.get(work_id)
            if request is None:
                continue
            if request.deadline_ms < now_ms:
                self._drop(work_id, Refusal(code=Code.DEADLINE))
                continue
            connection_id = self._connections.take_idle(request.account)
            if connection_id is None:
                self._control.append(work_id)
                waiting = len(self._control)
                if self._connections.can_serve(request.account, waiting, now_ms):
                    self._open(request.account, now_ms)
                continue
            self._forget_waiting(work_id)
            work = Work(
                work_id=work_id,
                rank=request.rank,
                account=request.account,
                arrived_ms=now_ms,
                deadline_ms=now_ms,
            )
            self._scheduler.start(work, now_ms)
            self._begin(work_id, _Running(connection_id, request), now_ms)

    def _send_repeats(self, now_ms: int) -> None:
        """Start work again that the member did not run; it has had its turn already."""
        for work_id, (again_ms, running) in list(self._repeats.items()):
            request = running.request
            assert request is not None
            if now_ms > request.deadline_ms:
                del self._repeats[work_id]
                self._work_by_connection.pop(running.connection_id, None)
                refusal = self._scheduler.build_refusal(request.rank, now_ms)
                self._actions.append(DropWork(work_id=work_id, refusal=self._spread(refusal)))
                self._connections.note_ending(running.connection_id)
            elif now_ms >= again_ms and self._scheduler.in_service < self._effective_slots:
                del self._repeats[work_id]
                work = Work(
                    work_id=work_id,
                    rank=request.rank,
                    account=request.account,
                    arrived_ms=request.arrived_ms,
                    deadline_ms=request.deadline_ms,
                )
                self._scheduler.start(work, now_ms)
                self._begin(work_id, running, now_ms)

    def _has_all_transactions(self) -> bool:
        """Return whether as many transactions are open as leave connections for other work.

        A home with few connections does not reserve any: its transactions wait like other work.
        """
        quota = self._connections.quota
        most = quota - TRANSACTION_RESERVE_SLOTS * self._slots
        if most < quota // 2:
            return False
        return self._connections.open_transactions + self._beginning >= most

    def _drop(self, work_id: int, refusal: Refusal) -> None:
        if self._forget_waiting(work_id) is not None:
            self._actions.append(DropWork(work_id=work_id, refusal=self._spread(refusal)))

    def _forget_waiting(self, work_id: int) -> QueueRequest | None:
        request = self._waiting.pop(work_id, None)
        if request is not None:
            left = self._waiting_by_account[request.account] - 1
            if left:
                self._waiting_by_account[request.account] = left
            else:
                del self._waiting_by_account[request.account]
        return request

    def _spread(self, refusal: Refusal) -> Refusal:
        """Lengthen the retry time of a refusal at random."""
        retry_ms = max(MIN_RETRY_AFTER_MS, refusal.retry_after_ms)
        retry_ms = round(retry_ms * (1.0 + RETRY_JITTER * self._rng.random()))
        return replace(refusal, retry_after_ms=retry_ms)


_MOVED = Refusal(code=Code.OVERLOADED, retry_after_ms=MIN_RETRY_AFTER_MS)
