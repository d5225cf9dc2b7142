"""Writing of snapshots and removal of old tickets by a coordinator."""

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

from burdockrun_fleet.backoff import Backoff, PlatformPort
from burdockrun_fleet.const import (
    RETAINED_TICKETS,
    SNAPSHOT_EVERY,
    SNAPSHOT_HEAD,
    SNAPSHOT_PREFIX,
    TICKET_PREFIX,
)
from burdockrun_fleet.loader import snapshot_key, ticket_key
from burdockrun_fleet.models import SnapshotHead
from burdockrun_fleet.tickets import TicketFeed, cut_shards

_TRIM_LIMIT = 50


class SnapshotWriter:
    """Writes a snapshot every `every` tickets, and deletes what newcomers no longer need.

    The head is swapped only after all parts are written, so a reader never sees half a snapshot.
    Any number of writers may run at once; the loser of the swap leaves the other's head alone.
    """

    def __init__(
        self,
        feed: TicketFeed,
        port: PlatformPort,
        backoff: Backoff,
        may_act: Callable[[int], bool],
        *,
        every: int = SNAPSHOT_EVERY,
        retained: int = RETAINED_TICKETS,
    ) -> None:
        self._feed = feed
        self._port = port
        self._backoff = backoff
        self._may_act = may_act
        self._every = every
        self._retained = retained
        self._waiting = False
        self._head = KeyEntry(key=SNAPSHOT_HEAD, value="", revision=0)
        self._written = 0
        self._looked_at = -1
        self._plan: list[PlatformOperation] = []

    def restart(self) -> None:
        """Begin a tenure: read the head before anything is written."""
        self._looked_at = -1
        self._plan = []
        self._waiting = False

    def tick(self, now_ms: int, rank: int = 0) -> None:
        """Take the next step; a greater `rank` waits longer, so that one writer usually acts."""
        if self._waiting or not self._backoff.is_ready(now_ms) or not self._may_act(now_ms):
            return
        if self._plan:
            self._call(self._plan[0], self._step_done, now_ms)
            return
        due = self._feed.number >= self._written + self._every + rank * self._every // 10
        if due and self._looked_at != self._feed.number:
            self._call(GetKey(key=SNAPSHOT_HEAD), self._receive_head, now_ms)

    def _call(
        self,
        operation: PlatformOperation,
        on_reply: Callable[[PlatformReply, int], None],
        now_ms: int,
    ) -> None:
        def finish(reply: PlatformReply, then_ms: int) -> None:
            self._waiting = False
            on_reply(reply, then_ms)

        self._waiting = self._port.call(operation, finish, now_ms)

    def _receive_head(self, reply: PlatformReply, now_ms: int) -> None:
        if not isinstance(reply, KeyEntry):
            self._backoff.fail(now_ms)
            return
        self._backoff.succeed()
        self._head = reply
        head = decode_message(SnapshotHead, reply.value)
        self._written = head.ok_value.number if isinstance(head, Ok) else 0
        number = self._looked_at = self._feed.number
        if number < self._written + self._every:
            return
        parts = cut_shards(self._feed.dump())
        self._plan = [
            PutKey(key=snapshot_key(number, shard), value=text) for shard, text in enumerate(parts)
        ]
        following = SnapshotHead(number=number, shards=len(parts))
        self._plan.append(
            PutKey(
                key=SNAPSHOT_HEAD,
                value=encode_message(following).decode(),
                expected_revision=reply.revision,
            )
        )
        self._written = number

    def _step_done(self, reply: PlatformReply, now_ms: int) -> None:
        if isinstance(reply, KeysReply):
            self._backoff.succeed()
            self._plan_trim(reply)
            return
        if not isinstance(reply, PutReply):
            self._backoff.fail(now_ms)
            return
        self._backoff.succeed()
        step = self._plan.pop(0)
        if isinstance(step, PutKey) and step.key == SNAPSHOT_HEAD:
            if not reply.accepted and reply.entry.value != step.value:
                self._looked_at = -1
                return
            self._plan = [
                ListKeys(prefix=SNAPSHOT_PREFIX, limit=_TRIM_LIMIT),
                ListKeys(prefix=TICKET_PREFIX, limit=_TRIM_LIMIT),
            ]

    def _plan_trim(self, reply: KeysReply) -> None:
        listing = self._plan.pop(0)
        oldest = max(0, min(self._written, self._feed.number - self._retained))
        keep_from = snapshot_key(self._written, 0)
        bound = ticket_key(oldest + 1)
        doomed = [
            entry.key
            for entry in reply.entries
            if (entry.key.startswith(SNAPSHOT_PREFIX) and entry.key < keep_from)
            or (entry.key.startswith(TICKET_PREFIX) and entry.key < bound)
        ]
        self._plan[:0] = [DeleteKey(key=key) for key in doomed]
        if doomed and len(reply.entries) >= _TRIM_LIMIT:
            self._plan.insert(len(doomed), listing)
