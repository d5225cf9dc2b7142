"""Writing of snapshots and deletion of old tickets by a coordinator."""

from collections.abc import Callable

from burdockrun_messages import (
    DeleteKey,
    GetKey,
    KeyEntry,
    KeysReply,
    ListKeys,
    PlatformOperation,
    PlatformReply,
    PutKey,
    PutReply,
    decode_message,
    encode_message,
)
from result import Ok

from burdockrun_fleet.backoff import Backoff, PlatformClient
from burdockrun_fleet.const import (
    RETAINED_TICKETS,
    SNAPSHOT_EVERY,
    SNAPSHOT_HEAD,
    SNAPSHOT_PREFIX,
    TICKET_PREFIX,
)
from burdockrun_fleet.loader import snapshot_key, ticket_key
from burdockrun_fleet.models import SnapshotHead
from burdockrun_fleet.tickets import TicketApplier, split_shards

_DELETE_BATCH = 50


class SnapshotWriter:
    """Writes a snapshot every `every` tickets, then deletes older snapshots and tickets.

    It deletes only tickets that the snapshot covers, and none of the last `retained` tickets. The
    head is swapped only after all shards are written, so a reader never finds an incomplete
    snapshot. Several writers may run at once; one that loses the swap leaves the other head in
    place.
    """

    def __init__(
        self,
        applier: TicketApplier,
        platform: PlatformClient,
        backoff: Backoff,
        may_act: Callable[[int], bool],
        *,
        every: int = SNAPSHOT_EVERY,
        retained: int = RETAINED_TICKETS,
    ) -> None:
        self._applier = applier
        self._platform = platform
        self._backoff = backoff
        self._may_act = may_act
        self._every = every
        self._retained = retained
        self._tenure = 0
        self._waiting = False
        self._head = KeyEntry(key=SNAPSHOT_HEAD, value="", revision=0)
        self._written = 0
        self._checked_number = -1
        self._pending_operations: list[PlatformOperation] = []

    def restart(self) -> None:
        """Start over with a read of the head, after the lease was acquired.

        Replies to earlier calls are ignored.
        """
        self._tenure += 1
        self._checked_number = -1
        self._pending_operations = []
        self._waiting = False

    def tick(self, now_ms: int, rank: int = 0) -> None:
        """Take the next step; a greater `rank` starts later, so that usually one writer acts."""
        if self._waiting or not self._backoff.is_ready(now_ms) or not self._may_act(now_ms):
            return
        if self._pending_operations:
            self._call(self._pending_operations[0], self._receive_step, now_ms)
            return
        due = self._applier.number >= self._written + self._every + rank * self._every // 10
        if due and self._checked_number != self._applier.number:
            self._call(GetKey(key=SNAPSHOT_HEAD), self._receive_head, now_ms)

    def _call(
        self,
        operation: PlatformOperation,
        on_reply: Callable[[PlatformReply, int], None],
        now_ms: int,
    ) -> None:
        tenure = self._tenure

        def finish(reply: PlatformReply, then_ms: int) -> None:
            if tenure == self._tenure:
                self._waiting = False
                on_reply(reply, then_ms)

        self._waiting = self._platform.call(operation, finish, now_ms)

    def _receive_head(self, reply: PlatformReply, now_ms: int) -> None:
        if not isinstance(reply, KeyEntry):
            self._backoff.fail(now_ms)
            return
        self._backoff.succeed()
        self._head = reply
        head = decode_message(SnapshotHead, reply.value)
        self._written = head.ok_value.number if isinstance(head, Ok) else 0
        number = self._checked_number = self._applier.number
        if number < self._written + self._every:
            return
        shards = split_shards(self._applier.dump())
        self._pending_operations = [
            PutKey(key=snapshot_key(number, shard), value=text) for shard, text in enumerate(shards)
        ]
        head_value = SnapshotHead(number=number, shards=len(shards))
        self._pending_operations.append(
            PutKey(
                key=SNAPSHOT_HEAD,
                value=encode_message(head_value).decode(),
                expected_revision=reply.revision,
            )
        )
        self._written = number

    def _receive_step(self, reply: PlatformReply, now_ms: int) -> None:
        if isinstance(reply, KeysReply):
            self._backoff.succeed()
            self._plan_deletions(reply)
            return
        if not isinstance(reply, PutReply):
            self._backoff.fail(now_ms)
            return
        self._backoff.succeed()
        step = self._pending_operations.pop(0)
        if isinstance(step, PutKey) and step.key == SNAPSHOT_HEAD:
            if not reply.accepted and reply.entry.value != step.value:
                self._checked_number = -1
                return
            self._pending_operations = [
                ListKeys(prefix=SNAPSHOT_PREFIX, limit=_DELETE_BATCH),
                ListKeys(prefix=TICKET_PREFIX, limit=_DELETE_BATCH),
            ]

    def _plan_deletions(self, reply: KeysReply) -> None:
        listing = self._pending_operations.pop(0)
        oldest = max(0, min(self._written, self._applier.number - self._retained))
        keep_snapshots_from = snapshot_key(self._written, 0)
        keep_tickets_from = ticket_key(oldest + 1)
        obsolete = [
            entry.key
            for entry in reply.entries
            if (entry.key.startswith(SNAPSHOT_PREFIX) and entry.key < keep_snapshots_from)
            or (entry.key.startswith(TICKET_PREFIX) and entry.key < keep_tickets_from)
        ]
        self._pending_operations[:0] = [DeleteKey(key=key) for key in obsolete]
        if obsolete and len(reply.entries) >= _DELETE_BATCH:
            self._pending_operations.insert(len(obsolete), listing)
