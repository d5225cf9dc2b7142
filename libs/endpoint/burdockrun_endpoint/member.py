"""Model of one member of a replicated database, without I/O."""

import random
from dataclasses import replace

from burdockrun_messages import (
    AwaitConfirmed,
    ControlOperation,
    ControlReply,
    Execute,
    Fence,
    Follow,
    MemberRole,
    MemberStatus,
    Promote,
    Settle,
    Settled,
)

from burdockrun_endpoint.connections import Connections
from burdockrun_endpoint.const import MAX_BATCH_ENTRIES
from burdockrun_endpoint.execution import ExecutionQueue
from burdockrun_endpoint.log import EntryLog
from burdockrun_endpoint.models import Completed, EntryBatch, LogEntry, PullEntries
from burdockrun_endpoint.replication import ReplicationProgress
from burdockrun_endpoint.runner import StatementRunner
from burdockrun_endpoint.state import MemberState


class DatabaseMember:
    """Database member with a log, terms, slots, transactions and asynchronous replication.

    The caller opens and closes connections, passes messages in, and calls `advance` at `next_ms`
    to collect answers. A replica pulls entries: the caller passes the result of `make_pull` to
    `answer_pull` of the upstream member, and the batch that this returns to `receive_entries`.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        slots: int,
        service_ms: float,
        rng: random.Random,
        *,
        connections: int | None = None,
    ) -> None:
        self.name = name
        self.domain = domain
        self.leaving = False
        self.lag_ms = 0
        self.queue = ExecutionQueue(slots, service_ms, rng)
        self.connections = Connections(connections)
        self.completed = 0
        self._state = MemberState()
        self._runner = StatementRunner(self._state, self.connections)
        self._ready_answers: list[Completed] = []

    @property
    def log(self) -> EntryLog:
        """Return the log."""
        return self._state.log

    @property
    def term(self) -> int:
        """Return the accepted term."""
        return self._state.term

    @property
    def role(self) -> MemberRole:
        """Return the role in the accepted term."""
        return self._state.role

    @property
    def upstream(self) -> Follow | None:
        """Return the primary that a replica follows, or None."""
        return self._state.upstream

    @property
    def confirmed_index(self) -> int:
        """Return the greatest index known to be held by a majority."""
        return self._state.confirmed_index

    def open(self, connection_id: int) -> bool:
        """Open a data connection; return False when the limit is reached."""
        return self.connections.open(connection_id)

    def close(self, connection_id: int) -> None:
        """Close a data connection and roll back its transaction.

        A statement in service still completes; outside a transaction its effect is kept.
        """
        self.connections.close(connection_id)
        self.queue.drop_waiting(connection_id)
        self._ready_answers = [
            item for item in self._ready_answers if item.connection_id != connection_id
        ]

    def restart(self) -> None:
        """Restart the process with its term, log and confirmed index.

        Connections, statements and replication state are lost. The member is fenced until it is
        promoted or told to follow a primary.
        """
        self.connections.clear()
        self.queue.clear()
        self._ready_answers.clear()
        self._change_role(MemberRole.FENCED)

    def execute(self, connection_id: int, message: Execute, now_ms: int) -> None:
        """Accept one statement; `advance` returns its answer."""
        if connection_id not in self.connections:
            return
        answer = self._runner.answer_at_once(connection_id, message, now_ms)
        if answer is None:
            self.queue.add(connection_id, message, now_ms)
            return
        self._ready_answers.append(Completed(connection_id=connection_id, answer=answer))

    def advance(self, now_ms: int) -> list[Completed]:
        """Finish the statements that are due by `now_ms` and return all new answers."""
        while (finished := self.queue.take_finished(now_ms)) is not None:
            ended_ms, connection_id, message = finished
            answer = self._runner.finish(connection_id, message, ended_ms)
            self.completed += 1
            if connection_id in self.connections:
                self._ready_answers.append(Completed(connection_id=connection_id, answer=answer))
        ready, self._ready_answers = self._ready_answers, []
        return ready

    def next_ms(self, now_ms: int) -> int | None:
        """Return the time at which `advance` is to be called next, or None."""
        return now_ms if self._ready_answers else self.queue.next_ms()

    def status(self, now_ms: int) -> MemberStatus:
        """Return the state of the member."""
        silent_ms = None
        if self.role is MemberRole.REPLICA and self._state.last_contact_ms is not None:
            silent_ms = now_ms - self._state.last_contact_ms
        return MemberStatus(
            member=self.name,
            term=self.term,
            role=self.role,
            position=self.log.last,
            lag_ms=self._state.lag_ms(now_ms),
            upstream_silent_ms=silent_ms,
            confirmed_index=self.confirmed_index,
            pending=len(self.queue),
            completed=self.completed,
        )

    def control(self, operation: ControlOperation, now_ms: int) -> ControlReply:
        """Apply a control operation; for `AwaitConfirmed`, use `begin_wait` instead."""
        match operation:
            case Fence():
                self._fence(operation)
            case Promote():
                self._promote(operation, now_ms)
            case Follow():
                self._follow(operation, now_ms)
            case Settle():
                settled = self._settle(operation, now_ms)
                if settled is not None:
                    return settled
            case _:
                pass
        return self.status(now_ms)

    def begin_wait(self, operation: AwaitConfirmed) -> int:
        """Start a leadership check if the wait asks for one; return its round, else 0."""
        if not operation.fresh or self._has_term_ended(operation) or self._state.progress is None:
            return 0
        return self._state.progress.begin_round()

    def is_wait_finished(self, operation: AwaitConfirmed, round_number: int = 0) -> bool:
        """Return whether a wait is over.

        It is over when the index is confirmed and the leadership check, if any, has succeeded, or
        when the member is no longer the primary of the term.
        """
        if self._has_term_ended(operation):
            return True
        return self.confirmed_index >= operation.index and self._is_round_complete(round_number)

    def answer_wait(
        self, operation: AwaitConfirmed, round_number: int, now_ms: int
    ) -> MemberStatus:
        """Return the status that answers a wait."""
        fresh = (
            operation.fresh
            and not self._has_term_ended(operation)
            and self._is_round_complete(round_number)
        )
        return replace(self.status(now_ms), fresh=fresh)

    def _has_term_ended(self, operation: AwaitConfirmed) -> bool:
        return self.term != operation.term or self.role is not MemberRole.PRIMARY

    def _is_round_complete(self, round_number: int) -> bool:
        return self._state.progress is not None and self._state.progress.is_round_complete(
            round_number
        )

    def make_pull(self) -> PullEntries | None:
        """Return the pull for the upstream, or None when the member follows no primary."""
        if self.role is not MemberRole.REPLICA or self.upstream is None:
            return None
        return PullEntries(
            replica=self.name,
            term=self.term,
            last=self.log.last,
            ends=self.log.ends,
            lag_ms=self.lag_ms,
            round=self._state.round,
        )

    def answer_pull(self, pull: PullEntries, now_ms: int, waited_ms: int = 0) -> EntryBatch | None:
        """Answer a replica's pull and record what the replica holds.

        Return None when this member is not the primary of the pull's term. `waited_ms` is how long
        the pull has been held back.
        """
        if (
            self.role is not MemberRole.PRIMARY
            or pull.term != self.term
            or self._state.progress is None
        ):
            return None
        common = self.log.find_common_index(pull.ends)
        self._state.progress.record_held_index(pull.replica, common)
        self._state.progress.record_round(pull.replica, pull.round)
        self._state.update_confirmed()
        visible_ms = now_ms - pull.lag_ms
        limit = MAX_BATCH_ENTRIES
        entries = self.log.read_after(common, limit=limit, appended_by_ms=visible_ms)
        return EntryBatch(
            term=self.term,
            last=pull.last,
            common_index=common,
            entries=entries,
            confirmed_index=self.confirmed_index,
            complete=len(entries) < limit,
            waited_ms=waited_ms,
            round=self._state.progress.round,
        )

    def receive_entries(self, batch: EntryBatch | None, sent_ms: int, now_ms: int) -> None:
        """Apply the batch that answers the pull sent at `sent_ms`, or None if the pull failed."""
        if batch is None or batch.term != self.term or self.role is not MemberRole.REPLICA:
            return
        self._state.last_contact_ms = now_ms
        self._state.round = batch.round
        if batch.last != self.log.last:
            return
        self.log.truncate(batch.common_index)
        for entry in batch.entries:
            self.log.append(entry, now_ms)
        known = min(batch.confirmed_index, self.log.last.index)
        self._state.confirmed_index = max(self.confirmed_index, known)
        if batch.complete:
            complete_until_ms = sent_ms + batch.waited_ms - self.lag_ms
            self._state.complete_until_ms = max(
                complete_until_ms, self._state.complete_until_ms or complete_until_ms
            )

    def _fence(self, operation: Fence) -> None:
        if operation.term > self.term:
            self._state.term = operation.term
            self._change_role(MemberRole.FENCED)

    def _promote(self, operation: Promote, now_ms: int) -> None:
        if operation.term != self.term or self.role is not MemberRole.FENCED:
            return
        self._state.role = MemberRole.PRIMARY
        start = self.log.append(LogEntry(term=self.term), now_ms)
        self._state.progress = ReplicationProgress(self.name, operation.members, start.index)
        self._state.update_confirmed()

    def _follow(self, operation: Follow, now_ms: int) -> None:
        is_primary = operation.term == self.term and self.role is MemberRole.PRIMARY
        if operation.term < self.term or is_primary or operation.primary == self.name:
            return
        if operation == self.upstream and self.role is MemberRole.REPLICA:
            return
        self._state.term = operation.term
        self._change_role(MemberRole.REPLICA)
        self._state.upstream = operation
        self._state.last_contact_ms = now_ms

    def _change_role(self, role: MemberRole) -> None:
        self._state.change_role(role)
        self.connections.clear_transactions()

    def _settle(self, operation: Settle, now_ms: int) -> Settled | None:
        if operation.term != self.term or self.role is not MemberRole.PRIMARY:
            return None
        index = self.log.find_request(operation.request_id)
        if index is None:
            tombstone = LogEntry(term=self.term, request_id=operation.request_id, tombstone=True)
            return Settled(ran=False, position=self._state.append(tombstone, now_ms))
        entry = self.log.entry(index)
        position = self.log.position(index)
        return Settled(ran=not entry.tombstone, position=position, result=entry.result)
