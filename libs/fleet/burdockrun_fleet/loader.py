"""Loading of tickets, snapshots and group records from the platform."""

import random
from collections.abc import Callable, Sequence

from burdockrun_messages import (
    GetKey,
    GroupRecord,
    KeyEntry,
    KeysReply,
    ListKeys,
    Outbox,
    PlatformReply,
    TicketRecord,
    WatchKeys,
    decode_message,
)
from result import Err

from burdockrun_fleet.backoff import Backoff, PlatformClient
from burdockrun_fleet.const import (
    CALL_TIMEOUT_MS,
    GROUP_PREFIX,
    RECORD_UNUSABLE,
    SNAPSHOT_HEAD,
    SNAPSHOT_PREFIX,
    TICKET_DIGITS,
    TICKET_PREFIX,
    WATCH_TIMEOUT_MS,
    WATCH_WAIT_MS,
)
from burdockrun_fleet.models import SnapshotHead
from burdockrun_fleet.numbers import read_number
from burdockrun_fleet.tickets import TicketApplier

_LIST_LIMIT = 100


def ticket_key(number: int) -> str:
    """Return the key of a ticket.

    >>> ticket_key(7)
    'tickets/0000000007'
    """
    return f"{TICKET_PREFIX}{number:0{TICKET_DIGITS}d}"


def find_ticket_number(key: str) -> int | None:
    """Return the number in the key of a ticket, or None for any other key.

    >>> find_ticket_number("tickets/0000000012"), find_ticket_number("tickets/12")
    (12, None)
    """
    digits = key.removeprefix(TICKET_PREFIX)
    return read_number(digits) if len(digits) == TICKET_DIGITS else None


def snapshot_key(number: int, shard: int) -> str:
    """Return the key of one shard of a snapshot."""
    return f"{SNAPSHOT_PREFIX}{number:010d}/{shard:04d}"


def read_ticket(entry: KeyEntry) -> TicketRecord | None:
    """Return the ticket in a store entry, or None for other keys and deleted tickets."""
    number = find_ticket_number(entry.key)
    if number is None or entry.revision == 0:
        return None
    return TicketRecord(number=number, text=entry.value)


class PrefixFollower:
    """Lists the keys under a prefix and then watches them, while it is running."""

    def __init__(
        self,
        prefix: str,
        platform: PlatformClient,
        rng: random.Random,
        start_after: Callable[[], str],
        on_entries: Callable[[Sequence[KeyEntry], int], None],
    ) -> None:
        self.running = False
        self.watch = True
        self.listed = False
        self._prefix = prefix
        self._platform = platform
        self._backoff = Backoff(rng)
        self._start_after = start_after
        self._on_entries = on_entries
        self._listing_id = 0
        self._waiting = False
        self._revision: int | None = None
        self._page_after = ""
        self._pages_revision = 0

    def start(self) -> None:
        """Start with a listing; replies to earlier calls are ignored."""
        self.running = True
        self.listed = False
        self.restart()

    def restart(self) -> None:
        """List again from the start."""
        self._listing_id += 1
        self._waiting = False
        self._revision = None
        self._page_after = ""

    def retry_later(self, now_ms: int) -> None:
        """List again after a backoff, because the entries that were read cannot be used yet."""
        self._backoff.fail(now_ms)
        self.restart()

    def stop(self) -> None:
        """Stop, and ignore the reply to an outstanding call."""
        self.running = False
        self._listing_id += 1
        self._waiting = False

    def tick(self, now_ms: int) -> None:
        """Start the next call when none is outstanding."""
        if not self.running or self._waiting or not self._backoff.is_ready(now_ms):
            return
        if self._revision is not None and not self.watch:
            return
        listing_id = self._listing_id

        def finish(reply: PlatformReply, then_ms: int) -> None:
            if listing_id == self._listing_id and self.running:
                self._waiting = False
                self._receive(reply, then_ms)

        if self._revision is None:
            after = self._page_after or self._start_after()
            listing = ListKeys(prefix=self._prefix, start_after=after, limit=_LIST_LIMIT)
            self._waiting = self._platform.call(listing, finish, now_ms, CALL_TIMEOUT_MS)
            return
        watching = WatchKeys(
            prefix=self._prefix, after_revision=self._revision, wait_ms=WATCH_WAIT_MS
        )
        self._waiting = self._platform.call(watching, finish, now_ms, WATCH_TIMEOUT_MS)

    def _receive(self, reply: PlatformReply, now_ms: int) -> None:
        if not isinstance(reply, KeysReply):
            self._backoff.fail(now_ms)
            self.restart()
            return
        self._backoff.succeed()
        if self._revision is not None:
            self._revision = max(self._revision, reply.store_revision)
        else:
            self._record_page(reply)
        if reply.entries:
            self._on_entries(reply.entries, now_ms)
        self.tick(now_ms)

    def _record_page(self, reply: KeysReply) -> None:
        # The watch starts at the revision of the first page, so that it reports changes made while
        # the later pages were read.
        if not self._page_after:
            self._pages_revision = reply.store_revision
        if len(reply.entries) >= _LIST_LIMIT:
            self._page_after = reply.entries[-1].key
            return
        self._page_after = ""
        self._revision = self._pages_revision
        self.listed = True


class SnapshotReader:
    """Reads the newest snapshot, one shard after another."""

    def __init__(
        self, applier: TicketApplier, platform: PlatformClient, rng: random.Random
    ) -> None:
        self.done = False
        self._applier = applier
        self._platform = platform
        self._backoff = Backoff(rng)
        self._waiting = False
        self._head: SnapshotHead | None = None
        self._shards: list[str] = []

    def tick(self, now_ms: int) -> None:
        """Start the next call when none is outstanding."""
        if self.done or self._waiting or not self._backoff.is_ready(now_ms):
            return
        key = SNAPSHOT_HEAD
        if self._head is not None:
            key = snapshot_key(self._head.number, len(self._shards))
        self._waiting = self._platform.call(GetKey(key=key), self._receive, now_ms)

    def restart(self) -> None:
        """Start again with the head."""
        self.done = False
        self._head = None
        self._shards = []

    def _receive(self, reply: PlatformReply, now_ms: int) -> None:
        self._waiting = False
        if not isinstance(reply, KeyEntry):
            self._backoff.fail(now_ms)
            return
        if self._head is None:
            self._receive_head(reply)
        elif reply.revision == 0:
            # The snapshot was deleted while it was being read.
            self._backoff.fail(now_ms)
            self.restart()
            return
        else:
            self._receive_shard(self._head, reply, now_ms)
        self._backoff.succeed()
        self.tick(now_ms)

    def _receive_head(self, reply: KeyEntry) -> None:
        head = decode_message(SnapshotHead, reply.value) if reply.revision else None
        if head is None or isinstance(head, Err) or head.ok_value.number <= self._applier.number:
            self.done = True
            return
        self._head = head.ok_value

    def _receive_shard(self, head: SnapshotHead, reply: KeyEntry, now_ms: int) -> None:
        self._shards.append(reply.value)
        if len(self._shards) < head.shards:
            return
        self._applier.load_snapshot(head.number, "".join(self._shards), now_ms)
        self.done = True
        self._head = None
        self._shards = []


def read_records(entries: Sequence[KeyEntry], outbox: Outbox) -> list[GroupRecord]:
    """Return the group records in store entries; unreadable ones are logged and left out."""
    records = []
    for entry in entries:
        if not entry.key.startswith(GROUP_PREFIX) or entry.revision == 0:
            continue
        record = decode_message(GroupRecord, entry.value)
        if isinstance(record, Err):
            outbox.log(RECORD_UNUSABLE, key=entry.key, reason=record.err_value)
            continue
        stored = record.ok_value
        records.append(
            GroupRecord(
                database=stored.database,
                term=stored.term,
                state=stored.state,
                active=stored.active,
                promoter=stored.promoter,
                starts=stored.starts,
                revision=entry.revision,
            )
        )
    return records
