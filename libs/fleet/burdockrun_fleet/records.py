"""Group records known to this node and their exchange with peers."""

from collections.abc import Callable, Sequence

from burdockrun_base.rendezvous import hash_name
from burdockrun_messages import GroupRecord, GroupState, NodeInfo, Outbox, TermsPull, TermsPush

from burdockrun_fleet.backoff import TokenBucket
from burdockrun_fleet.const import (
    LARGE_REPLIES_BURST,
    LARGE_REPLIES_PER_S,
    RECORD_BUCKETS,
    RECORDS_PER_PUSH,
    RECORDS_SETTLE_MS,
)


def _version_of(record: GroupRecord) -> tuple[int, bool, int]:
    return record.term, record.state is GroupState.ACTIVE, record.revision


def _hash_record(record: GroupRecord) -> int:
    active = record.state is GroupState.ACTIVE
    return hash_name(f"{record.database}/{record.term}/{active}") >> 16


class RecordTable:
    """Newest known record of each database group, with hashes to detect differences to peers."""

    def __init__(self, outbox: Outbox) -> None:
        self.records: dict[str, GroupRecord] = {}
        self.total_hash = 0
        self.on_records: Callable[[Sequence[GroupRecord], int], None] | None = None
        self._outbox = outbox
        self._hashes = [0] * RECORD_BUCKETS
        self._large_reply_limit = TokenBucket(LARGE_REPLIES_PER_S, LARGE_REPLIES_BURST)
        self._changed_ms = 0
        self._next_pull_ms = 0

    def learn(self, records: Sequence[GroupRecord], now_ms: int) -> list[GroupRecord]:
        """Store the records that are newer than the known ones and return them."""
        newer = [record for record in records if self._store_if_newer(record)]
        if newer:
            self._changed_ms = now_ms
            if self.on_records is not None:
                self.on_records(newer, now_ms)
        return newer

    def compare(self, peer: NodeInfo, terms_hash: int, now_ms: int) -> None:
        """Pull from a peer whose hash differs, unless records changed here only recently."""
        if terms_hash == self.total_hash or now_ms < self._next_pull_ms:
            return
        if self.records and now_ms - self._changed_ms < RECORDS_SETTLE_MS:
            return
        self._next_pull_ms = now_ms + RECORDS_SETTLE_MS
        self._outbox.send_peer(peer, TermsPull(hashes=tuple(self._hashes)))

    def answer_pull(self, peer: NodeInfo, pull: TermsPull, now_ms: int) -> None:
        """Send the requested records; large replies are limited in rate."""
        requested = [record for record in self.records.values() if self._is_requested(record, pull)]
        if len(requested) > RECORDS_PER_PUSH and not self._large_reply_limit.try_take(now_ms):
            return
        for at in range(0, len(requested), RECORDS_PER_PUSH):
            push = TermsPush(records=tuple(requested[at : at + RECORDS_PER_PUSH]))
            self._outbox.send_peer(peer, push)

    def _is_requested(self, record: GroupRecord, pull: TermsPull) -> bool:
        if pull.databases and record.database not in pull.databases:
            return False
        if len(pull.hashes) != RECORD_BUCKETS:
            return True
        bucket = hash_name(record.database) % RECORD_BUCKETS
        return pull.hashes[bucket] != self._hashes[bucket]

    def _store_if_newer(self, record: GroupRecord) -> bool:
        known = self.records.get(record.database)
        if known is not None and _version_of(record) <= _version_of(known):
            return False
        hash_change = _hash_record(record)
        if known is not None:
            hash_change ^= _hash_record(known)
        self.records[record.database] = record
        self.total_hash ^= hash_change
        self._hashes[hash_name(record.database) % RECORD_BUCKETS] ^= hash_change
        return True
