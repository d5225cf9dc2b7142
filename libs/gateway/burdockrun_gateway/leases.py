"""Keys that exist while this node renews their leases: registration and promotion lease."""

import asyncio
import contextlib
from dataclasses import replace
from random import Random

from burdockrun_base import Application
from burdockrun_groups import NodeEntry
from result import Err, Ok

from burdockrun_gateway.const import (
    FENCE_REVISION_BITS,
    MAX_SUPERVISOR_FAILURES,
    NODE_LEASE_MS,
    NODE_RENEWAL_MS,
    NODES_PREFIX,
    PRESENCE_PREFIX,
    PROMOTION_LEASE_CHECK_MS,
    PROMOTION_LEASE_CONFIRMATION_MS,
    PROMOTION_LEASE_DOUBT_MS,
    PROMOTION_LEASE_DURATION_MS,
    PROMOTION_LEASE_KEY,
    PROMOTION_LEASE_KEY_STRAY,
    PROMOTION_LEASE_LOST,
    PROMOTION_LEASE_RENEWAL_MS,
    PROMOTION_LEASE_TAKEN,
    PROMOTION_LEASE_YIELD_MS,
    PROMOTION_POLL_MS,
    REGISTERED,
    REGISTRATION_LOST,
    REGISTRATION_WAIT_MS,
    RELEASE_TRIES,
    STORE_RETRY_MAX_MS,
    STORE_RETRY_MS,
    STRAY_LEASE_KEY_MS,
)
from burdockrun_gateway.directory import Directory
from burdockrun_gateway.ports import Item, SharedStore, StoreFault, Write
from burdockrun_gateway.records import dump_node


class LeasedKey:
    """Key under a lease of this node."""

    def __init__(
        self,
        app: Application,
        store: SharedStore,
        key: str,
        value: bytes,
        lease_ms: int,
        *,
        lasting_key: str = "",
    ) -> None:
        """`lasting_key` is written with the key, and stays when the lease ends.

        Its revision names this process: the next one of the node writes it anew.
        """
        self.revision = 0
        self.era = 0
        self.written_ms = 0
        self.expires_ms = 0
        self._app = app
        self._store = store
        self._key = key
        self.value = value
        self._lease_ms = lease_ms
        self._lasting_key = lasting_key
        self._lease = 0
        # Lease of a write without an answer: the write may still be executed while the lease runs.
        self._doubtful_lease = 0
        # When the last renewal without an answer was sent; None if a later one was answered.
        self.doubtful_ms: int | None = None

    async def async_acquire(self, expected_revision: int | None) -> bool:
        """Write the key under a new lease if it has the expected revision; None for any."""
        sent_ms = self._app.clock.now_ms()
        granted = await self._store.async_grant_lease(self._lease_ms)
        if isinstance(granted, Err):
            return False
        lease = granted.ok_value
        expected = {} if expected_revision is None else {self._key: expected_revision}
        writes = [Write(key=self._key, value=self.value, lease=lease)]
        if self._lasting_key:
            writes.append(Write(key=self._lasting_key, value=b""))
        self._doubtful_lease = lease
        written = await self._store.async_commit(expected, writes)
        if isinstance(written, Err):
            await self._async_end_doubtful_lease()
            return False
        self._doubtful_lease = 0
        self.doubtful_ms = None
        self._lease = lease
        self.revision = written.ok_value.revision
        self.era = written.ok_value.era
        self.written_ms = self._app.clock.now_ms()
        self.expires_ms = sent_ms + self._lease_ms
        return True

    async def async_change(self, value: bytes) -> None:
        """Write another value under the current lease."""
        self.value = value
        if self._lease:
            self.written_ms = self._app.clock.now_ms()
            await self._store.async_commit(
                self._expect_own(), [Write(key=self._key, value=value, lease=self._lease)]
            )

    def _expect_own(self) -> dict[str, int]:
        """Return the condition under which the keys are still those of this process.

        A call without an answer may be executed after this process has ended.
        """
        return {self._lasting_key: self.revision} if self._lasting_key else {}

    async def async_renew(self) -> StoreFault | None:
        """Renew the lease; return why that failed, or None."""
        sent_ms = self._app.clock.now_ms()
        renewed = await self._store.async_keep_lease(self._lease)
        if isinstance(renewed, Err):
            if renewed.err_value is StoreFault.UNREACHABLE:
                self.doubtful_ms = sent_ms
            return renewed.err_value
        self.doubtful_ms = None
        self.expires_ms = sent_ms + self._lease_ms
        return None

    async def async_release(self) -> None:
        """Remove the key, and the lasting one, which would not end with the lease."""
        self.expires_ms = 0
        for _ in range(RELEASE_TRIES if self._lasting_key else 1):
            if await self._async_remove():
                return
            await asyncio.sleep(STORE_RETRY_MS / 1000)

    async def _async_remove(self) -> bool:
        ended = await self._async_end_doubtful_lease()
        if self._lasting_key:
            return ended and await self._async_remove_own()
        return ended and (not self._lease or await self._async_end(self._lease))

    async def _async_remove_own(self) -> bool:
        """Remove the key and the lasting one, unless a later process has written them.

        The processes of a node follow each other: no later one writes before this call ends.
        """
        keys = [self._key, self._lasting_key]
        removed = await self._store.async_commit(self._expect_own(), [], keys)
        if removed != Err(StoreFault.CONFLICT):
            return isinstance(removed, Ok)
        # A write without an answer was executed, or the keys are those of an earlier process.
        listed = await self._store.async_list(self._lasting_key, on_progress=lambda: None)
        if isinstance(listed, Err):
            return False
        revisions = {item.key: item.revision for item in listed.ok_value.items}
        self.revision = revisions.get(self._lasting_key, 0)
        return isinstance(await self._store.async_commit(self._expect_own(), [], keys), Ok)

    async def _async_end_doubtful_lease(self) -> bool:
        """End the lease of a write that may be executed late, which then has no effect."""
        if self._doubtful_lease and await self._async_end(self._doubtful_lease):
            self._doubtful_lease = 0
        return not self._doubtful_lease

    async def _async_end(self, lease: int) -> bool:
        """End a lease; return whether it has certainly ended."""
        ended = await self._store.async_end_lease(lease)
        return isinstance(ended, Ok) or ended.err_value is StoreFault.LEASE_ENDED


class Registration:
    """Keeps this node registered in the store."""

    def __init__(
        self, app: Application, store: SharedStore, directory: Directory, entry: NodeEntry
    ) -> None:
        self._app = app
        self._directory = directory
        self._entry = entry
        self._node_key = NODES_PREFIX + entry.node
        self._key = LeasedKey(
            app,
            store,
            self._node_key,
            dump_node(entry),
            NODE_LEASE_MS,
            lasting_key=PRESENCE_PREFIX + entry.node,
        )
        self._released = False
        # Held while a registration is under way.
        self._writing = asyncio.Lock()

    async def async_run(self) -> None:
        """Stay registered until released or cancelled."""
        while not self._released:
            if not await self._async_register():
                await asyncio.sleep(STORE_RETRY_MAX_MS / 1000)
                continue
            self._app.events.write(REGISTERED, revision=self._key.revision, era=self._key.era)
            self._directory.note_registered(self._key.revision, self._key.era)
            # Primary leases start with the first answer of the store that has the registration.
            self._directory.store_copy.poll_now()
            reason = await self._async_stay_registered()
            if not self._released:
                self._note_lost(reason)

    def _note_lost(self, reason: str) -> None:
        self._app.events.write(
            REGISTRATION_LOST,
            reason=reason,
            revision=self._key.revision,
            held_ms=self._app.clock.now_ms() - self._key.written_ms,
            present=self._entry.node in self._directory.present,
        )

    async def _async_stay_registered(self) -> str:
        """Renew the lease until it has ended or the key is lost; return which of them.

        After a failed renewal there is time for another one before the lease ends.
        """
        pause_ms = NODE_RENEWAL_MS
        while not self._is_key_lost():
            await asyncio.sleep(pause_ms / 1000)
            fault = await self._key.async_renew()
            if fault is StoreFault.LEASE_ENDED:
                return "lease ended"
            pause_ms = NODE_RENEWAL_MS if fault is None else STORE_RETRY_MAX_MS
        return "not listed"

    async def _async_register(self) -> bool:
        async with self._writing:
            is_done = not self._released and await self._key.async_acquire(None)
        if self._released:
            await self._key.async_release()
        return is_done

    def _is_key_lost(self) -> bool:
        """Return whether the store has lost the key, or its value, before the lease ended."""
        copy = self._directory.store_copy
        if copy.confirmed_ms is None or not copy.loaded or self._released:
            return False
        item = copy.items.get(self._node_key)
        is_there = item is not None and item.value == self._key.value
        return copy.confirmed_ms > self._key.written_ms and not is_there

    async def async_leave(self) -> None:
        """Mark the registration as leaving, so that other nodes use other homes."""
        await self._key.async_change(dump_node(replace(self._entry, leaving=True)))
        self._directory.notify_all_nodes()

    async def async_release(self) -> None:
        """Remove the registration, also one that is under way, and do not write it again.

        The keys are removed whether its answer has arrived or was lost: it may have been written.
        """
        self._released = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REGISTRATION_WAIT_MS / 1000), self._writing:
                pass
        await self._key.async_release()


class PromotionLease:
    """Lease on the right to order promotions, held by one node at a time."""

    def __init__(
        self,
        app: Application,
        store: SharedStore,
        directory: Directory,
        node: str,
        rng: Random,
    ) -> None:
        self.node = node
        self._app = app
        self._store = store
        self._directory = directory
        self._rng = rng
        self._key = LeasedKey(
            app, store, PROMOTION_LEASE_KEY, node.encode(), PROMOTION_LEASE_DURATION_MS
        )
        self._acquired_ms = 0
        self._yielded_until_ms = 0
        self._held = False
        self._released = False
        # Revision of a key that names no possible holder, and since when it has been seen.
        self._stray: tuple[int, int] = (0, 0)

    def fence(self) -> int:
        """Return the fencing number, which increases with each holder, also of later eras."""
        return self._key.era << FENCE_REVISION_BITS | self._key.revision

    def is_held(self) -> bool:
        """Return whether this node certainly holds the lease."""
        return self._find_time_left_ms() > 0

    def _find_time_left_ms(self) -> int:
        """Return for how long this node certainly holds the lease; 0 if it may be lost already."""
        item = self._directory.promotion_lease_item()
        copy = self._directory.store_copy
        if not self._held or copy.era != self._key.era:
            return 0
        proven_ms = max(copy.confirmed_ms or 0, self._acquired_ms)
        if item is not None and item.created != self._key.revision:
            return 0
        if item is None and (copy.confirmed_ms or 0) > self._acquired_ms:
            return 0
        until_ms = min(self._key.expires_ms, proven_ms + PROMOTION_LEASE_CONFIRMATION_MS)
        return max(until_ms - self._app.clock.now_ms(), 0)

    def find_order_time_left_ms(self, fence: int) -> int:
        """Return for how long an order with a fencing number may still take effect."""
        may_order = self.may_promote() and self.fence() == fence
        return self._find_time_left_ms() if may_order else 0

    def has_other_candidates(self) -> bool:
        """Return whether another registered node can take the lease."""
        nodes = self._directory.nodes.items()
        return any(name != self.node and not entry.leaving for name, entry in nodes)

    def may_promote(self) -> bool:
        """Return whether this node holds the lease and no earlier holder can still order."""
        return (
            self.is_held()
            and self._app.clock.now_ms() >= self._acquired_ms + PROMOTION_LEASE_CONFIRMATION_MS
        )

    async def async_run(self) -> None:
        """Acquire the lease when nobody holds it, and renew it."""
        while True:
            if self._held:
                await self._async_renew()
            elif self._may_be_free():
                await asyncio.sleep(self._rng.uniform(0, STORE_RETRY_MS) / 1000)
                if self._may_be_free():
                    await self._async_acquire()
            else:
                await self._directory.changed.async_wait(PROMOTION_LEASE_CHECK_MS)
                await self._async_remove_stray_key()

    def _may_be_free(self) -> bool:
        if self._app.clock.now_ms() < self._yielded_until_ms:
            return False
        loaded = self._directory.store_copy.loaded and not self._released
        return loaded and self._directory.promotion_lease_item() is None

    async def _async_remove_stray_key(self) -> None:
        """Remove a key that no holder renews, as another writer has written it without a lease.

        If a holder has been taken for another writer, it notices the removal as it notices the end
        of its lease, and orders nothing more.
        """
        item = self._directory.promotion_lease_item()
        now_ms = self._app.clock.now_ms()
        if item is None or not self._is_stray(item):
            self._stray = (0, 0)
        elif self._stray[0] != item.revision:
            self._stray = (item.revision, now_ms)
        elif now_ms >= self._stray[1] + STRAY_LEASE_KEY_MS:
            self._stray = (0, 0)
            self._app.events.write(PROMOTION_LEASE_KEY_STRAY, revision=item.revision)
            await self._store.async_commit(
                {PROMOTION_LEASE_KEY: item.revision}, [], [PROMOTION_LEASE_KEY]
            )
            self._directory.notify_all_nodes()

    def _is_stray(self, item: Item) -> bool:
        """Return whether the key names no registered node, or this one, which does not hold it."""
        name = (item.value or b"").decode(errors="replace")
        if self._held or self._released or self._directory.store_copy.is_failing():
            return False
        return name == self.node or name not in self._directory.nodes

    async def _async_acquire(self) -> None:
        if not await self._key.async_acquire(0):
            await asyncio.sleep(STORE_RETRY_MS / 1000)
            return
        self._acquired_ms = self._app.clock.now_ms()
        self._held = True
        revision = self._key.revision
        self._directory.store_copy.note_written(
            Item(
                key=PROMOTION_LEASE_KEY,
                revision=revision,
                created=revision,
                value=self.node.encode(),
            ),
            self._key.era,
        )
        self._app.events.write(PROMOTION_LEASE_TAKEN, fence=self.fence())

    async def _async_renew(self) -> None:
        pause_ms = PROMOTION_POLL_MS if self._is_renewal_doubtful() else PROMOTION_LEASE_RENEWAL_MS
        await asyncio.sleep(pause_ms / 1000)
        if self._directory.store_copy.era > self._key.era:
            # A later holder may be lost with the newer contents of the store, but not its orders.
            self._note_lost("store restored")
            await self._async_remove_returned_key()
            return
        if self._is_renewal_doubtful():
            fault: StoreFault | None = StoreFault.UNREACHABLE
        else:
            fault = await self._key.async_renew()
        if not self._held:
            return
        now_ms = self._app.clock.now_ms()
        key_lost = (
            now_ms > self._acquired_ms + PROMOTION_LEASE_CONFIRMATION_MS
            and not self._is_still_listed()
        )
        # The store may stop the time of leases during an outage, so a lease that was not renewed in
        # time may still be valid.
        if fault is StoreFault.LEASE_ENDED or key_lost:
            self._note_lost(fault.value if fault is not None else "not listed")
        elif fault is None and self._is_unprovable() and self.has_other_candidates():
            await self.async_yield()

    def _is_renewal_doubtful(self) -> bool:
        """Return whether the lease may still run although it has run out by the time of this node.

        The store may have executed a renewal without an answer. The next one has to wait until the
        lease has ended: a node whose answers are lost would keep the key for ever. A lease that was
        stopped with the store is renewed then.
        """
        key = self._key
        now_ms = self._app.clock.now_ms()
        if key.doubtful_ms is None or now_ms < key.expires_ms:
            return False
        return now_ms < key.doubtful_ms + PROMOTION_LEASE_DOUBT_MS

    def _is_unprovable(self) -> bool:
        """Return whether this node cannot read that it holds the lease, though the store serves.

        It would renew the lease, and neither order promotions nor let another node do so.
        """
        return self._directory.store_copy.unexpected_errors >= MAX_SUPERVISOR_FAILURES

    async def _async_remove_returned_key(self) -> None:
        """Remove this node's key of an earlier era, which would be kept until its lease ends."""
        item = self._directory.promotion_lease_item()
        if item is not None and item.value == self.node.encode():
            await self._store.async_commit(
                {PROMOTION_LEASE_KEY: item.revision}, [], [PROMOTION_LEASE_KEY]
            )
            self._directory.notify_all_nodes()

    def _note_lost(self, reason: str) -> None:
        self._held = False
        now_ms = self._app.clock.now_ms()
        self._app.events.write(
            PROMOTION_LEASE_LOST,
            fence=self.fence(),
            held_ms=now_ms - self._acquired_ms,
            overdue_ms=now_ms - self._key.expires_ms,
            reason=reason,
        )

    def _is_still_listed(self) -> bool:
        item = self._directory.promotion_lease_item()
        return item is not None and item.created == self._key.revision

    async def async_release(self) -> None:
        """Release the lease and do not acquire it again."""
        self._released = True
        await self._async_give_up("released")

    async def async_yield(self) -> None:
        """Release the lease, and leave it to other nodes for a while."""
        self._yielded_until_ms = self._app.clock.now_ms() + PROMOTION_LEASE_YIELD_MS
        await self._async_give_up("yielded")
        self._directory.notify_all_nodes()

    async def _async_give_up(self, reason: str) -> None:
        if self._held:
            self._note_lost(reason)
            await self._key.async_release()
