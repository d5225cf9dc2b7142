"""In-memory key-value store with compare-and-swap, leases and watches."""

from collections import Counter

from burdockrun_messages import (
    DeleteKey,
    GetKey,
    GrantLease,
    KeyEntry,
    KeysReply,
    LeaseReply,
    ListKeys,
    ListVms,
    PlatformFailure,
    PlatformOperation,
    PlatformReply,
    PutKey,
    PutReply,
    RevokeLease,
    VmEntry,
    VmsReply,
    WatchKeys,
)

from burdockrun_platform.const import MAX_LIST_LIMIT, MAX_TOMBSTONES, MAX_VALUE_BYTES


class KeyValueStore:
    """Store of the platform, without I/O; every change increments the store revision.

    A key's revision is the store revision of its last change. A lease expires when `GrantLease` is
    not repeated within the TTL; its keys are then deleted. `calls` counts the operations by name.
    """

    def __init__(self, vm_list_lag_ms: int = 0) -> None:
        self.vm_list_lag_ms = vm_list_lag_ms
        self.calls: Counter[str] = Counter()
        self._entries: dict[str, KeyEntry] = {}
        self._deleted: dict[str, int] = {}
        self._compacted_revision = 0
        self._revision = 0
        self._lease_ends_ms: dict[str, int] = {}
        self._lease_keys: dict[str, set[str]] = {}
        self._key_leases: dict[str, str] = {}
        self._vm_lists: list[tuple[int, tuple[VmEntry, ...]]] = []

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return self._revision

    def apply(self, operation: PlatformOperation, now_ms: int) -> PlatformReply:
        """Apply one operation at the time `now_ms` and return its reply.

        A `WatchKeys` is answered at once, without entries when nothing has changed. The caller
        then repeats `read_changes`, which `calls` does not count, until it returns changes or the
        wait of the watch is over.
        """
        self.calls[type(operation).__name__] += 1
        self.expire(now_ms)
        match operation:
            case GetKey():
                return self._get(operation.key)
            case PutKey():
                return self._put(operation)
            case DeleteKey():
                return self._delete_if_unchanged(operation)
            case ListKeys():
                return self._list(operation)
            case WatchKeys():
                return self.read_changes(operation.prefix, operation.after_revision)
            case GrantLease():
                return self._grant(operation, now_ms)
            case RevokeLease():
                return self._revoke(operation.lease)
            case ListVms():
                return VmsReply(vms=self._get_visible_vms(now_ms))

    def read_changes(self, prefix: str, after_revision: int) -> KeysReply:
        """Return the keys under `prefix` changed after a store revision, in order of change.

        A deleted key has revision 0. When deletions after `after_revision` have been compacted,
        all keys under the prefix are returned.
        """
        if after_revision >= self._revision:
            return KeysReply(entries=(), store_revision=self._revision)
        after = 0 if after_revision < self._compacted_revision else after_revision
        changes = [
            (entry.revision, entry)
            for key, entry in self._entries.items()
            if entry.revision > after and key.startswith(prefix)
        ]
        changes += [
            (revision, KeyEntry(key=key, value="", revision=0))
            for key, revision in self._deleted.items()
            if revision > after and key.startswith(prefix)
        ]
        changes.sort(key=lambda change: change[0])
        return KeysReply(
            entries=tuple(entry for _, entry in changes), store_revision=self._revision
        )

    def expire(self, now_ms: int) -> None:
        """Delete the keys of leases that have ended."""
        ended = [lease for lease, end_ms in self._lease_ends_ms.items() if end_ms <= now_ms]
        for lease in ended:
            self._revoke(lease)

    def next_expiry_ms(self) -> int | None:
        """Return the time at which the next lease ends, or None."""
        return min(self._lease_ends_ms.values(), default=None)

    def set_vms(self, vms: tuple[VmEntry, ...], now_ms: int) -> None:
        """Replace the VM list; `ListVms` returns the new one after `vm_list_lag_ms`."""
        self._vm_lists.append((now_ms, vms))

    def _get_visible_vms(self, now_ms: int) -> tuple[VmEntry, ...]:
        visible_ms = now_ms - self.vm_list_lag_ms
        lists = self._vm_lists
        while len(lists) > 1 and lists[1][0] <= visible_ms:
            lists.pop(0)
        return lists[0][1] if lists else ()

    def _get(self, key: str) -> KeyEntry:
        return self._entries.get(key) or KeyEntry(key=key, value="", revision=0)

    def _put(self, operation: PutKey) -> PutReply | PlatformFailure:
        if len(operation.value.encode()) > MAX_VALUE_BYTES:
            return PlatformFailure(reason=f"value of {operation.key} exceeds {MAX_VALUE_BYTES} B")
        current = self._get(operation.key)
        if operation.expected_revision not in (None, current.revision):
            return PutReply(accepted=False, entry=current)
        if operation.lease is not None and operation.lease not in self._lease_ends_ms:
            return PutReply(accepted=False, entry=current)
        self._revision += 1
        entry = KeyEntry(key=operation.key, value=operation.value, revision=self._revision)
        self._entries[operation.key] = entry
        self._deleted.pop(operation.key, None)
        self._set_key_lease(operation.key, operation.lease)
        return PutReply(accepted=True, entry=entry)

    def _delete_if_unchanged(self, operation: DeleteKey) -> PutReply:
        current = self._get(operation.key)
        if operation.expected_revision not in (None, current.revision):
            return PutReply(accepted=False, entry=current)
        self._delete(operation.key)
        return PutReply(accepted=True, entry=self._get(operation.key))

    def _delete(self, key: str) -> None:
        if self._entries.pop(key, None) is None:
            return
        self._revision += 1
        self._set_key_lease(key, None)
        self._deleted[key] = self._revision
        if len(self._deleted) > MAX_TOMBSTONES:
            oldest = min(self._deleted, key=self._deleted.__getitem__)
            self._compacted_revision = self._deleted.pop(oldest)

    def _set_key_lease(self, key: str, lease: str | None) -> None:
        previous = self._key_leases.pop(key, None)
        if previous is not None:
            self._lease_keys[previous].discard(key)
        if lease is not None:
            self._key_leases[key] = lease
            self._lease_keys[lease].add(key)

    def _list(self, operation: ListKeys) -> KeysReply:
        keys = sorted(
            key
            for key in self._entries
            if key.startswith(operation.prefix) and key > operation.start_after
        )
        limit = min(operation.limit, MAX_LIST_LIMIT)
        entries = tuple(self._entries[key] for key in keys[:limit])
        return KeysReply(entries=entries, store_revision=self._revision)

    def _grant(self, operation: GrantLease, now_ms: int) -> LeaseReply:
        self._lease_ends_ms[operation.lease] = now_ms + operation.ttl_ms
        self._lease_keys.setdefault(operation.lease, set())
        return LeaseReply(held=True)

    def _revoke(self, lease: str) -> LeaseReply:
        held = self._lease_ends_ms.pop(lease, None) is not None
        for key in sorted(self._lease_keys.get(lease, ())):
            self._delete(key)
        self._lease_keys.pop(lease, None)
        return LeaseReply(held=held)
