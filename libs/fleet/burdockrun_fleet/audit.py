"""Audit trail with a bounded queue, so that it never blocks the handling of requests."""

import json
from collections import deque
from collections.abc import Iterable

from burdockrun_messages import AuditEntry, AuditPush, NodeInfo, Outbox

from burdockrun_fleet.const import (
    AUDIT_BATCH_BYTES,
    AUDIT_DROPPED,
    AUDIT_PUSH_ENTRIES,
    AUDIT_QUEUE_LIMIT,
    AUDIT_RECORDED,
)


class AuditTrail:
    """Bounded queue of audit events; a full queue drops the oldest ones and counts them."""

    def __init__(
        self,
        node: NodeInfo,
        outbox: Outbox,
        *,
        limit: int = AUDIT_QUEUE_LIMIT,
        wall_offset_ms: int = 0,
    ) -> None:
        self.dropped = 0
        self._node = node
        self._outbox = outbox
        self._queue_limit = limit
        self._wall_offset_ms = wall_offset_ms
        self._queue: deque[AuditEntry] = deque()
        self._reported_dropped = 0

    def __len__(self) -> int:
        return len(self._queue)

    def record(self, kind: str, now_ms: int, fields: dict[str, object]) -> None:
        """Log an event and queue it for the store."""
        at_ms = now_ms + self._wall_offset_ms
        self._outbox.log(AUDIT_RECORDED, kind=kind, at_ms=at_ms, **fields)
        text = json.dumps(fields, default=str)
        self.add([AuditEntry(kind=kind, node=self._node.node, at_ms=at_ms, fields=text)])

    def add(self, entries: Iterable[AuditEntry]) -> None:
        """Queue events of this or other nodes."""
        for entry in entries:
            if len(self._queue) >= self._queue_limit:
                self._queue.popleft()
                self.dropped += 1
                self._outbox.count("fleet.audit_dropped")
            self._queue.append(entry)

    def put_back(self, entries: Iterable[AuditEntry]) -> None:
        """Put undelivered events back at the front of the queue, where they are dropped first."""
        newer = list(self._queue)
        self._queue.clear()
        self.add(entries)
        self.add(newer)

    def take(self, count: int) -> list[AuditEntry]:
        """Take up to `count` of the oldest events, as many as fit into `AUDIT_BATCH_BYTES`."""
        self._report_dropped()
        taken: list[AuditEntry] = []
        size = 0
        while self._queue and len(taken) < count:
            # `_truncate` cuts entries to a quarter of the limit, so that a long entry cannot block
            # the queue.
            size += min(_encoded_size(self._queue[0]), AUDIT_BATCH_BYTES // 4)
            if size > AUDIT_BATCH_BYTES:
                break
            taken.append(_truncate(self._queue.popleft()))
        return taken

    def forward_to(self, coordinator: NodeInfo) -> None:
        """Send some of the oldest events to the coordinator; a lost message loses them."""
        entries = tuple(self.take(AUDIT_PUSH_ENTRIES))
        if entries:
            self._outbox.send_peer(coordinator, AuditPush(entries=entries))

    def _report_dropped(self) -> None:
        if self.dropped > self._reported_dropped:
            self._outbox.log(AUDIT_DROPPED, dropped=self.dropped - self._reported_dropped)
            self._reported_dropped = self.dropped


def encode_batch(entries: Iterable[AuditEntry]) -> str:
    """Return a batch as the JSON text that the store keeps."""
    return json.dumps(
        [
            {"kind": e.kind, "node": e.node, "at_ms": e.at_ms, "fields": json.loads(e.fields)}
            for e in entries
        ]
    )


def _encoded_size(entry: AuditEntry) -> int:
    return len(encode_batch([entry]).encode())


def _truncate(entry: AuditEntry) -> AuditEntry:
    if _encoded_size(entry) <= AUDIT_BATCH_BYTES // 4:
        return entry
    truncated = json.dumps({"shortened": entry.fields[: AUDIT_BATCH_BYTES // 32]})
    return AuditEntry(kind=entry.kind, node=entry.node, at_ms=entry.at_ms, fields=truncated)
