"""Copy of the shared store, kept up to date by polling."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random
from typing import Final

from burdockrun_base import Application
from burdockrun_groups import NodeEntry
from result import Err, Ok, Result

from burdockrun_gateway.change_history import ChangeHistory
from burdockrun_gateway.const import (
    COPY_HISTORY_CHANGES,
    COPY_SOURCE,
    COPY_SOURCE_RETRY_MS,
    MAX_COPY_AGE_MS,
    OLD_COPY_RETRY_MS,
    PEER_TIMEOUT_MS,
    RELIST_AFTER_MS,
    STORE_ALERT_POLL_INTERVAL_MS,
    STORE_LOST,
    STORE_LOST_POLL_TIMEOUTS_MS,
    STORE_MIN_POLL_INTERVAL_MS,
    STORE_POLL_INTERVAL_MS,
    STORE_REGAINED,
    STORE_RESTORED,
    STORE_RETRY_MAX_MS,
    STORE_RETRY_MS,
    STORE_WATCH_MS,
)
from burdockrun_gateway.peer_selector import PeerSelector
from burdockrun_gateway.ports import (
    HistoryGap,
    Item,
    Listing,
    PeerCopyReader,
    SharedPosition,
    SharedStore,
    StoreFault,
)

# Age of a copy that has never been up to date.
NEVER_CURRENT_AGE_MS: Final = 1_000_000_000

# Called with the items that changed; after a complete listing also with those that were removed.
OnChange = Callable[[list[Item]], None]
# Called when the store has come back from an older copy, before the items that this has changed.
OnRestored = Callable[[], None]
# Called after a complete listing, before the items that it has changed.
OnListed = Callable[[], None]
# Called when a listing follows one before it only with a gap, in which keys may have come and gone.
OnMissed = Callable[[], None]
# Called with the time at which the store was polled for the data, by this node or a copy source.
OnConfirmed = Callable[[int], None]
# Called with the positions that a copy source knows, and the time at which it was asked.
OnPositions = Callable[[tuple[SharedPosition, ...], int], None]


class StoreCopy:
    """Local copy of all items of the store, listed once and then updated by polls for changes.

    Members write all the time, so a watch would return at once. The store is therefore polled at
    a fixed interval, and at once after a change notification. When the store has come back from an
    older copy of its contents, everything is listed again and replaces what is known: revisions of
    another era say nothing about which item is newer.
    """

    def __init__(
        self,
        app: Application,
        store: SharedStore,
        *,
        peer_copies: PeerCopyReader,
        rng: Random,
        on_change: OnChange,
        on_confirmed: OnConfirmed,
        on_positions: OnPositions = lambda positions, sent_ms: None,
        on_restored: OnRestored = lambda: None,
        on_listed: OnListed = lambda: None,
        on_missed: OnMissed = lambda: None,
    ) -> None:
        self.copy_sources = PeerSelector(app.clock, COPY_SOURCE_RETRY_MS)
        # Nodes whose copies are used while the store refuses this node.
        self.substitutes = PeerSelector(app.clock, COPY_SOURCE_RETRY_MS)
        self.items: dict[str, Item] = {}
        # Keys that are newer than `as_of`: this node wrote them, or they changed while it listed.
        self._ahead: set[str] = set()
        self.loaded = False
        self.confirmed_ms: int | None = None
        self.failed_ms: int | None = None
        self.restored_ms: int | None = None
        self.last_contact_ms = app.clock.now_ms()
        self.poll_sent_ms: int | None = None
        self._app = app
        self._store = store
        self._peer_copies = peer_copies
        self._rng = rng
        self._on_change = on_change
        self._on_confirmed = on_confirmed
        self._on_positions = on_positions
        self._on_restored = on_restored
        self._on_listed = on_listed
        self._on_missed = on_missed
        self.as_of = 0
        self.era = 0
        self._poll_interval_ms = STORE_POLL_INTERVAL_MS
        self._wake = asyncio.Event()
        self._direct = False
        self._history = ChangeHistory(COPY_HISTORY_CHANGES)
        # Whether no key is missing that was still there at `as_of`.
        self._has_all_keys = False
        self._source = ""
        self._must_list = False  # the history since the last poll is no longer kept
        # Changes that are in the copy, but whose handling has failed.
        self._unhandled: list[Item] = []
        self._failures = 0
        # How many polls in a row have raised an unexpected error.
        self.unexpected_errors = 0

    def is_failing(self) -> bool:
        """Return whether the last poll failed."""
        return self.failed_ms is not None and self.failed_ms >= self.last_contact_ms

    def set_alert(self, *, alert: bool) -> None:
        """Poll more often while a primary is lost or being replaced."""
        if alert and self._poll_interval_ms == STORE_POLL_INTERVAL_MS:
            self.poll_now()
        self._poll_interval_ms = STORE_ALERT_POLL_INTERVAL_MS if alert else STORE_POLL_INTERVAL_MS

    def poll_now(self, *, direct: bool = False) -> None:
        """Poll at once; `direct` polls the store itself and not the copy of another node."""
        self._direct = self._direct or direct
        self._wake.set()

    def list_changes(self, after: int, era: int) -> Listing:
        """Return the changes after a revision of an era, for a node that follows this copy."""
        if not self.loaded or self.confirmed_ms is None:
            return Listing(items=(), as_of=0, age_ms=NEVER_CURRENT_AGE_MS)
        age_ms = self._app.clock.now_ms() - self.confirmed_ms
        known = Listing(items=(), as_of=self.as_of, era=self.era, age_ms=age_ms)
        if era != self.era or not self._history.is_complete_after(after):
            return replace(known, items=tuple(self.items.values()), complete=True)
        gap = self._history.gap_after(after)
        return replace(known, items=self._history.list_after(after), gap=gap)

    def note_written(self, item: Item, era: int) -> None:
        """Apply an item that this node has written, before a poll returns it."""
        if era != self.era:
            self.poll_now(direct=True)
        elif self._is_newer(item):
            self._put_items([item])

    async def async_run(self) -> None:
        """Keep the copy up to date until cancelled; when it runs again, list everything anew."""
        self._must_list = self.loaded
        delay_ms = 0.0
        while True:
            sent_ms = self._app.clock.now_ms()
            self.poll_sent_ms = sent_ms
            try:
                polled = await self._async_poll()
                if isinstance(polled, Ok):
                    self._confirm(sent_ms, polled.ok_value.age_ms)
                    self._on_positions(polled.ok_value.positions, sent_ms)
            except Exception:
                self.unexpected_errors += 1
                self._note_failure("unexpected error")
                raise
            finally:
                self.poll_sent_ms = None
            if isinstance(polled, Ok):
                delay_ms = 0.0
                self._failures = 0
                self.unexpected_errors = 0
                await self._async_pause(sent_ms)
                continue
            if polled.err_value is StoreFault.COMPACTED and not self._must_list:
                self._must_list = True
                continue
            self._note_failure(polled.err_value.value)
            delay_ms = min(STORE_RETRY_MAX_MS, max(STORE_RETRY_MS, 2 * delay_ms))
            await asyncio.sleep(delay_ms * self._rng.uniform(0.6, 1.0) / 1000)

    async def _async_poll(self) -> Result[Listing, StoreFault]:
        """Poll the copy of another node, or the store, and apply the changes."""
        copy_source = None if self._direct else self.copy_sources.pick_working()
        self._direct = False
        listed: Result[Listing, StoreFault] = Err(StoreFault.UNREACHABLE)
        if copy_source is not None:
            listed = await self._async_fetch_copy(copy_source, self.copy_sources)
            if isinstance(listed, Err):
                copy_source = None
        if copy_source is None:
            listed = await self._async_poll_store()
        substitute = self.substitutes.pick_working()
        if listed == Err(StoreFault.REFUSED) and substitute is not None:
            copied = await self._async_fetch_copy(substitute, self.substitutes)
            if isinstance(copied, Ok):
                listed, copy_source = copied, substitute
        self._log_source(copy_source.node if copy_source is not None else "store")
        if isinstance(listed, Ok):
            if listed.ok_value.era < self.era:
                return Err(StoreFault.UNREACHABLE)  # sent before the store was restored
            self._apply_listing(listed.ok_value)
            self._has_all_keys = copy_source is None and _has_all_keys(listed.ok_value)
        return listed

    async def _async_fetch_copy(
        self, peer: NodeEntry, selector: PeerSelector
    ) -> Result[Listing, StoreFault]:
        """Return the changes in the copy of another node, or Err if it cannot be used."""
        after = self.as_of if self.loaded else 0
        listed = await self._peer_copies.async_fetch_changes(peer, after, self.era, PEER_TIMEOUT_MS)
        if isinstance(listed, Ok) and self._is_usable_copy(listed.ok_value):
            return listed
        # A node that answers may only need a moment to bring its copy up to date.
        selector.note_failure(peer, OLD_COPY_RETRY_MS if isinstance(listed, Ok) else None)
        return Err(StoreFault.UNREACHABLE)

    def _is_usable_copy(self, listing: Listing) -> bool:
        """Return whether the copy of another node is recent, and not of an earlier era.

        Changes can only be applied to a copy of the same era.
        """
        follows_on = listing.era == self.era and (self.loaded or listing.complete)
        starts_era = listing.era > self.era and listing.complete
        return (follows_on or starts_era) and listing.age_ms <= MAX_COPY_AGE_MS

    async def _async_poll_store(self) -> Result[Listing, StoreFault]:
        timeouts = STORE_LOST_POLL_TIMEOUTS_MS
        timeout_ms = timeouts[(self._failures - 1) % len(timeouts)] if self._failures else None
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_ms / 1000 if timeout_ms else None) as limit:

                def extend() -> None:
                    if timeout_ms:
                        limit.reschedule(loop.time() + timeout_ms / 1000)

                return await self._async_poll_store_now(extend)
        except TimeoutError:
            return Err(StoreFault.UNREACHABLE)

    async def _async_poll_store_now(
        self, on_progress: Callable[[], None]
    ) -> Result[Listing, StoreFault]:
        """Poll the store; `on_progress` is called whenever a part of the answer arrives."""
        if self.loaded and not self._must_list and not self._is_far_behind():
            watched = await self._store.async_watch(
                "", self.as_of, STORE_WATCH_MS, on_progress=on_progress
            )
            if isinstance(watched, Ok) and watched.ok_value.era != self.era:
                return Err(StoreFault.COMPACTED)
            return watched
        listed = await self._store.async_list("", on_progress=on_progress)
        return listed.map(lambda listing: replace(listing, complete=True))

    def _is_far_behind(self) -> bool:
        """Return whether the history since the last poll may exceed what it has led to."""
        behind_ms = self._app.clock.now_ms() - (self.confirmed_ms or 0)
        return self._failures > 0 and behind_ms > RELIST_AFTER_MS

    def _log_source(self, source: str) -> None:
        if source != self._source:
            self._source = source
            self._app.events.write(COPY_SOURCE, source=source)

    async def _async_pause(self, sent_ms: int) -> None:
        """Wait until the next poll is due."""
        pause_ms = self._poll_interval_ms - (self._app.clock.now_ms() - sent_ms)
        try:
            async with asyncio.timeout(max(pause_ms, 0) / 1000):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()
        min_pause_ms = STORE_MIN_POLL_INTERVAL_MS - (self._app.clock.now_ms() - sent_ms)
        await asyncio.sleep(max(min_pause_ms, 0) / 1000)

    def _apply_listing(self, listing: Listing) -> None:
        """Apply the newest item of each key, and the removal of keys that are not listed."""
        starts = not self.loaded or listing.era > self.era
        if listing.era > self.era:
            self._start_era(listing)
        newest = {item.key: item for item in sorted(listing.items, key=lambda one: one.revision)}
        removed = self._find_removed(listing, newest)
        newer = [item for item in newest.values() if self._is_newer(item)]
        if starts:
            self._history.start_after(listing.as_of)
        else:
            self._keep_history(listing, [*newest.values(), *removed])
        if listing.complete or listing.gap is not None:
            self._on_missed()
        if listing.complete:
            self._must_list = False
            self.loaded = True
            self._on_listed()
        self.as_of = max(self.as_of, listing.as_of)
        self._put_items([*removed, *newer])
        self._unhandled += [*removed, *newer]
        if self._unhandled or listing.complete:
            self._on_change(self._unhandled)
            self._unhandled = []

    def _find_removed(self, listing: Listing, newest: dict[str, Item]) -> list[Item]:
        """Return the removals of known keys that a listing would have if they were still there.

        A complete listing has all keys. Changes have each key that changed after `as_of` of this
        copy, unless it came and went in a gap; the keys that are known ahead of it are of these.
        """
        if listing.as_of < self.as_of:
            return []
        keys = self.items if listing.complete else self._ahead
        return [
            Item(key=key, revision=listing.as_of)
            for key in keys
            if key not in newest and self.items[key].revision <= listing.as_of
        ]

    def _keep_history(self, listing: Listing, changes: list[Item]) -> None:
        """Keep the changes of a listing for the nodes that follow this copy.

        Those that state the same revision may have a key that this copy lacks.
        """
        gap = listing.gap
        if listing.complete and listing.as_of > self.as_of:
            after = self.as_of if self._has_all_keys else self.as_of - 1
            gap = HistoryGap(after=after, until=listing.as_of)
        if gap is not None:
            self._history.add_gap(gap)
        for item in changes:
            if item.revision > self.as_of:
                self._history.add(item)

    def _start_era(self, listing: Listing) -> None:
        """Make what is known older than all of a listing, which the store returned from a copy."""
        self.era = listing.era
        if not self.loaded:
            return
        self._app.events.write(
            STORE_RESTORED, era=listing.era, as_of=listing.as_of, known_as_of=self.as_of
        )
        self.restored_ms = self._app.clock.now_ms()
        self.items = {key: replace(item, revision=0) for key, item in self.items.items()}
        self.as_of = 0
        self._on_restored()

    def _put_items(self, items: Iterable[Item]) -> None:
        """Put items into the copy, or remove them, and note the keys that are ahead of it."""
        for item in items:
            if item.value is None:
                self.items.pop(item.key, None)
            else:
                self.items[item.key] = item
                self._ahead.add(item.key)
        self._ahead = {
            key
            for key in self._ahead
            if key in self.items and self.items[key].revision > self.as_of
        }

    def _is_newer(self, item: Item) -> bool:
        """Return whether an item is newer than the copy, which may have this node's own writes.

        Up to `as_of` all changes are known, also those of keys that were removed since.
        """
        if item.revision <= self.as_of:
            return False
        known = self.items.get(item.key)
        return known is None or known.revision < item.revision

    def _confirm(self, sent_ms: int, age_ms: int) -> None:
        """Update the time as of which the copy is current."""
        polled_ms = sent_ms - age_ms
        if self.failed_ms is not None and (
            self.confirmed_ms is None or self.failed_ms > self.confirmed_ms
        ):
            self._app.events.write(STORE_REGAINED)
        self.last_contact_ms = max(
            self.last_contact_ms, polled_ms if age_ms else self._app.clock.now_ms()
        )
        if self.confirmed_ms is None or polled_ms >= self.confirmed_ms:
            self.confirmed_ms = polled_ms
            self._on_confirmed(polled_ms)

    def _note_failure(self, reason: str) -> None:
        self._failures += 1
        if self.failed_ms is None or (
            self.confirmed_ms is not None and self.confirmed_ms > self.failed_ms
        ):
            self._app.events.write(STORE_LOST, reason=reason)
        self.failed_ms = self._app.clock.now_ms()


def _has_all_keys(listing: Listing) -> bool:
    """Return whether the store has listed no page later than `as_of`."""
    return listing.last_page_as_of in (0, listing.as_of)
