"""Writers of values for operators: the ticket number in force and the audit trail."""

from collections.abc import Callable

from burdockrun_messages import (
    AuditEntry,
    DeleteKey,
    GetKey,
    KeyEntry,
    PlatformOperation,
    PlatformReply,
    PutKey,
    PutReply,
    decode_message,
    encode_message,
)
from result import Ok

from burdockrun_fleet.audit import AuditTrail, encode_batch
from burdockrun_fleet.backoff import Backoff, PlatformClient
from burdockrun_fleet.const import (
    AUDIT_BATCH_ENTRIES,
    AUDIT_FLUSH_INTERVAL_MS,
    AUDIT_HEAD_PREFIX,
    AUDIT_KEPT_BATCHES,
    AUDIT_PREFIX,
    IN_FORCE_CHECK_INTERVAL_MS,
    IN_FORCE_PREFIX,
)
from burdockrun_fleet.models import InForce
from burdockrun_fleet.numbers import read_number


def audit_key(domain: str, sequence: int) -> str:
    """Return the key of one batch of the audit trail.

    >>> audit_key("nbg", 12)
    'audit/nbg/0000000012'
    """
    return f"{AUDIT_PREFIX}{domain}/{sequence:010d}"


class InForceWriter:
    """Publishes the smallest ticket number among the live nodes; the number only grows."""

    def __init__(
        self,
        domain: str,
        platform: PlatformClient,
        backoff: Backoff,
        may_act: Callable[[int], bool],
    ) -> None:
        self.written = -1
        self._key = IN_FORCE_PREFIX + domain
        self._platform = platform
        self._backoff = backoff
        self._may_act = may_act
        self._entry: KeyEntry | None = None
        self._waiting = False
        self._next_due_ms = 0

    def restart(self) -> None:
        """Start over with a read of the key, after the lease was acquired."""
        self._entry = None
        self._waiting = False

    def tick(self, find_in_force: Callable[[], tuple[int, int]], now_ms: int, wall_ms: int) -> None:
        """Publish the number and node count of `find_in_force` if the number has grown."""
        if self._waiting or now_ms < self._next_due_ms or not self._backoff.is_ready(now_ms):
            return
        if not self._may_act(now_ms):
            return
        self._next_due_ms = now_ms + IN_FORCE_CHECK_INTERVAL_MS
        if self._entry is None:
            self._waiting = self._platform.call(GetKey(key=self._key), self._finish, now_ms)
            return
        number, nodes = find_in_force()
        if number <= self.written:
            return
        value = encode_message(InForce(number=number, at_ms=wall_ms, nodes=nodes)).decode()
        put = PutKey(key=self._key, value=value, expected_revision=self._entry.revision)
        self._waiting = self._platform.call(put, self._finish, now_ms)

    def _finish(self, reply: PlatformReply, now_ms: int) -> None:
        self._waiting = False
        entry = reply.entry if isinstance(reply, PutReply) else reply
        if not isinstance(entry, KeyEntry):
            self._backoff.fail(now_ms)
            self._entry = None
            return
        self._backoff.succeed()
        self._entry = entry
        value = decode_message(InForce, entry.value)
        self.written = max(self.written, value.ok_value.number) if isinstance(value, Ok) else -1


class AuditWriter:
    """Writes queued events to the store in numbered batches."""

    def __init__(
        self,
        domain: str,
        trail: AuditTrail,
        platform: PlatformClient,
        backoff: Backoff,
        may_act: Callable[[int], bool],
    ) -> None:
        self._domain = domain
        self._trail = trail
        self._platform = platform
        self._backoff = backoff
        self._may_act = may_act
        self._sequence: int | None = None
        self._batch: list[AuditEntry] = []
        self._tenure = 0
        self._waiting = False
        self._next_due_ms = 0

    def restart(self) -> None:
        """Start over with a read of the next sequence number, after the lease was acquired.

        Replies to earlier calls are ignored.
        """
        self._tenure += 1
        self._sequence = None
        self._waiting = False

    def stop(self) -> None:
        """Put events that are not known to be written back into the queue."""
        self._trail.put_back(self._batch)
        self._batch = []

    def tick(self, now_ms: int) -> None:
        """Write the next batch if it is due and there are events."""
        if self._waiting or now_ms < self._next_due_ms or not self._backoff.is_ready(now_ms):
            return
        if not self._may_act(now_ms) or not (self._batch or len(self._trail)):
            return
        if self._sequence is None:
            self._call(GetKey(key=AUDIT_HEAD_PREFIX + self._domain), self._receive_head, now_ms)
            return
        self._batch = self._batch or self._trail.take(AUDIT_BATCH_ENTRIES)
        put = PutKey(
            key=audit_key(self._domain, self._sequence),
            value=encode_batch(self._batch),
            expected_revision=0,
        )
        self._call(put, self._receive_put, now_ms)

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
        self._sequence = read_number(reply.value) or 1

    def _receive_put(self, reply: PlatformReply, now_ms: int) -> None:
        if not isinstance(reply, PutReply) or self._sequence is None:
            self._backoff.fail(now_ms)
            return
        self._backoff.succeed()
        is_own = reply.accepted or reply.entry.value == encode_batch(self._batch)
        sequence = self._sequence
        self._sequence += 1
        if not is_own:
            return
        self._batch = []
        self._next_due_ms = now_ms + AUDIT_FLUSH_INTERVAL_MS
        # The head is only a hint: a batch whose key already exists uses the next sequence number.
        head = PutKey(key=AUDIT_HEAD_PREFIX + self._domain, value=str(self._sequence))
        self._platform.call(head, _ignore, now_ms)
        if sequence > AUDIT_KEPT_BATCHES:
            old = audit_key(self._domain, sequence - AUDIT_KEPT_BATCHES)
            self._platform.call(DeleteKey(key=old), _ignore, now_ms)


def _ignore(reply: PlatformReply, now_ms: int) -> None:
    """Ignore the reply; the head is only a hint, and an old batch may stay."""
