"""Reads and compare-and-swap of one group record, with retries."""

import random
from collections.abc import Callable

from burdockrun_messages import (
    GetKey,
    GroupRecord,
    KeyEntry,
    Outbox,
    PlatformOperation,
    PlatformReply,
    PutKey,
    PutReply,
)
from result import Err

from burdockrun_failover.const import (
    PLATFORM_QUICK_RETRY_MS,
    PLATFORM_RETRIED,
    PLATFORM_RETRY_MAX_MS,
    PLATFORM_RETRY_MIN_MS,
    PLATFORM_TIMEOUT_MAX_MS,
    PLATFORM_TIMEOUT_MS,
    RECORD_INVALID,
)
from burdockrun_failover.records import (
    decode_record,
    encode_record,
    format_record_key,
    is_effect_of_put,
)

OnRead = Callable[[GroupRecord | None, int], None]
OnSwapped = Callable[[bool, GroupRecord | None, int], None]


class Backoff:
    """Exponential backoff with full jitter and a quick first retry.

    `failures` is the number of consecutive failures.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.failures = 0

    def reset(self) -> None:
        """Reset the number of failures."""
        self.failures = 0

    def next_delay_ms(self) -> int:
        """Count one failure and return the time to wait in ms."""
        self.failures += 1
        if self.failures == 1:
            return PLATFORM_QUICK_RETRY_MS
        ceiling = min(PLATFORM_RETRY_MAX_MS, PLATFORM_RETRY_MIN_MS << min(self.failures - 2, 10))
        return self._rng.randint(PLATFORM_QUICK_RETRY_MS, ceiling)


class RecordStore:
    """Group record of one database in the platform's store.

    At most one operation is in progress; a new one replaces it. A failed call is repeated until it
    is answered or replaced. After a put whose answer was lost, the record is read back and compared
    by term, state and promoter, which tells whether the put took effect.
    """

    def __init__(self, database: str, outbox: Outbox, rng: random.Random) -> None:
        self._database = database
        self._key = format_record_key(database)
        self._outbox = outbox
        self._backoff = Backoff(rng)
        self._operation_id = 0
        self._retry_at_ms: int | None = None
        self._retry: Callable[[], None] | None = None

    @property
    def busy(self) -> bool:
        """Return whether an operation is in progress."""
        return self._retry is not None

    def read(self, on_read: OnRead) -> None:
        """Read the record; `on_read` gets None when there is none."""
        self._start_operation(lambda: self._get(on_read))

    def swap(self, wanted: GroupRecord, expected_revision: int, on_swapped: OnSwapped) -> None:
        """Put `wanted` if the stored revision is as expected.

        `on_swapped` gets whether `wanted` was stored, and the record that is in the store.
        """
        self._start_operation(lambda: self._put(wanted, expected_revision, on_swapped))

    def cancel(self) -> None:
        """Ignore the result of the operation in progress; it may still take effect."""
        self._operation_id += 1
        self._retry = None
        self._retry_at_ms = None

    def tick(self, now_ms: int) -> None:
        """Repeat a failed call when it is due."""
        if self._retry is None or self._retry_at_ms is None or now_ms < self._retry_at_ms:
            return
        self._retry_at_ms = None
        self._retry()

    def _start_operation(self, call: Callable[[], None]) -> None:
        self.cancel()
        self._backoff.reset()
        self._retry = call
        call()

    def _get(self, on_read: OnRead) -> None:
        def finish(record: GroupRecord | None, now_ms: int) -> None:
            self.cancel()
            on_read(record, now_ms)

        self._call(GetKey(key=self._key), finish)

    def _put(self, wanted: GroupRecord, expected_revision: int, on_swapped: OnSwapped) -> None:
        def finish(record: GroupRecord | None, now_ms: int) -> None:
            if is_effect_of_put(record, wanted):
                self.cancel()
                on_swapped(True, record, now_ms)
                return
            if (record.revision if record is not None else 0) == expected_revision:
                self._put(wanted, expected_revision, on_swapped)
                return
            self.cancel()
            on_swapped(False, record, now_ms)

        def read_back() -> None:
            self._call(GetKey(key=self._key), finish)

        self._retry = read_back
        put = PutKey(
            key=self._key, value=encode_record(wanted), expected_revision=expected_revision
        )
        self._call(put, finish)

    def _call(
        self, operation: PlatformOperation, finish: Callable[[GroupRecord | None, int], None]
    ) -> None:
        operation_id = self._operation_id

        def on_reply(reply: PlatformReply, now_ms: int) -> None:
            if operation_id != self._operation_id:
                return
            entry = reply.entry if isinstance(reply, PutReply) else reply
            if not isinstance(entry, KeyEntry):
                self._retry_later("no usable answer", now_ms)
                return
            decoded = decode_record(entry)
            if isinstance(decoded, Err):
                self._outbox.log(RECORD_INVALID, database=self._database, reason=decoded.err_value)
                self._retry_later("unreadable record", now_ms)
                return
            finish(decoded.ok_value, now_ms)

        timeout_ms = min(PLATFORM_TIMEOUT_MS << self._backoff.failures, PLATFORM_TIMEOUT_MAX_MS)
        self._outbox.call_platform(operation, timeout_ms=timeout_ms, on_reply=on_reply)

    def _retry_later(self, reason: str, now_ms: int) -> None:
        delay_ms = self._backoff.next_delay_ms()
        self._retry_at_ms = now_ms + delay_ms
        self._outbox.wake_at(self._retry_at_ms)
        self._outbox.count("failover.platform_retries")
        self._outbox.log(
            PLATFORM_RETRIED, database=self._database, reason=reason, delay_ms=delay_ms
        )
