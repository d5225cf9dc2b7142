"""Copy of the shared store that is kept up to date."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from burdockrun_base import Application
from result import Err

from burdockrun_gateway.const import (
    STORE_ALERT_PACE_MS,
    STORE_HURRIED_PACE_MS,
    STORE_LOST,
    STORE_PACE_MS,
    STORE_REGAINED,
    STORE_RETRY_MAX_MS,
    STORE_RETRY_MS,
    STORE_WATCH_MS,
)
from burdockrun_gateway.ports import Item, SharedStore, StoreFault

# Called with the items that changed; after a new listing also with those that are gone.
OnChange = Callable[[list[Item]], None]
# Called with the time at which a question was sent that has been answered in full.
OnConfirmed = Callable[[int], None]


class Mirror:
    """All items of the store, by listing them once and asking for changes.

    Members write all the time, so a watch would return at once: it is asked at a steady pace, and
    at once after a hint that something has changed.
    """

    def __init__(
        self,
        app: Application,
        store: SharedStore,
        *,
        rng: Random,
        on_change: OnChange,
        on_confirmed: OnConfirmed,
    ) -> None:
        self.items: dict[str, Item] = {}
        self.loaded = False
        self.confirmed_ms: int | None = None
        self.failed_ms: int | None = None
        self.heard_ms = app.clock.now_ms()
        self.asked_ms: int | None = None
        self._app = app
        self._store = store
        self._rng = rng
        self._on_change = on_change
        self._on_confirmed = on_confirmed
        self.as_of = 0
        self._pace_ms = STORE_PACE_MS
        self._wake = asyncio.Event()

    def is_failing(self) -> bool:
        """Return whether the last question had no usable answer."""
        return self.failed_ms is not None and self.failed_ms >= self.heard_ms

    def set_alert(self, *, alert: bool) -> None:
        """Ask more often while a primary is lost or being replaced."""
        if alert and self._pace_ms == STORE_PACE_MS:
            self.hurry()
        self._pace_ms = STORE_ALERT_PACE_MS if alert else STORE_PACE_MS

    def hurry(self) -> None:
        """Ask the store at once, since something has changed there."""
        self._wake.set()

    def note_written(self, item: Item) -> None:
        """Take over an item that this node has written, ahead of the next answer."""
        if self._is_news(item):
            self.items[item.key] = item

    async def async_run(self) -> None:
        """Follow the store until cancelled."""
        delay_ms = 0.0
        while True:
            sent_ms = self._app.clock.now_ms()
            self.asked_ms = sent_ms
            fault = await (self._async_watch() if self.loaded else self._async_list())
            self.asked_ms = None
            if fault is None:
                delay_ms = 0.0
                self._confirm(sent_ms)
                await self._async_pause(sent_ms)
                continue
            if fault is StoreFault.COMPACTED:
                self.loaded = False
                continue
            self._note_failure(fault)
            delay_ms = min(STORE_RETRY_MAX_MS, max(STORE_RETRY_MS, 2 * delay_ms))
            await asyncio.sleep(delay_ms * self._rng.uniform(0.6, 1.0) / 1000)

    async def _async_pause(self, sent_ms: int) -> None:
        """Wait until the next question is due."""
        pause_ms = self._pace_ms - (self._app.clock.now_ms() - sent_ms)
        try:
            async with asyncio.timeout(max(pause_ms, 0) / 1000):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()
        least_ms = STORE_HURRIED_PACE_MS - (self._app.clock.now_ms() - sent_ms)
        await asyncio.sleep(max(least_ms, 0) / 1000)

    async def _async_list(self) -> StoreFault | None:
        listed = await self._store.async_list("")
        if isinstance(listed, Err):
            return listed.err_value
        listing = listed.ok_value
        found = {item.key for item in listing.items}
        gone = [
            Item(key=key, revision=listing.as_of)
            for key, known in self.items.items()
            if key not in found and known.revision <= listing.as_of
        ]
        self.as_of = listing.as_of
        self.loaded = True
        self._on_change(self._take_over([*gone, *listing.items]))
        return None

    async def _async_watch(self) -> StoreFault | None:
        watched = await self._store.async_watch("", self.as_of, STORE_WATCH_MS)
        if isinstance(watched, Err):
            return watched.err_value
        listing = watched.ok_value
        self.as_of = max(self.as_of, listing.as_of)
        changed = self._take_over(listing.items)
        if changed:
            self._on_change(changed)
        return None

    def _take_over(self, items: Iterable[Item]) -> list[Item]:
        """Bring the copy up to date and return the items that were news to it."""
        changed = [item for item in items if self._is_news(item)]
        for item in changed:
            if item.value is None:
                self.items.pop(item.key, None)
            else:
                self.items[item.key] = item
        return changed

    def _is_news(self, item: Item) -> bool:
        """Return whether an item is newer than the copy, which has what this node wrote itself."""
        known = self.items.get(item.key)
        if known is None or known.revision < item.revision:
            return True
        return item.value is None and known.revision == item.revision

    def _confirm(self, sent_ms: int) -> None:
        if self.failed_ms is not None and (
            self.confirmed_ms is None or self.failed_ms > self.confirmed_ms
        ):
            self._app.events.write(STORE_REGAINED)
        self.confirmed_ms = sent_ms
        self.heard_ms = self._app.clock.now_ms()
        self._on_confirmed(sent_ms)

    def _note_failure(self, fault: StoreFault) -> None:
        if self.failed_ms is None or (
            self.confirmed_ms is not None and self.confirmed_ms > self.failed_ms
        ):
            self._app.events.write(STORE_LOST, reason=fault.value)
        self.failed_ms = self._app.clock.now_ms()
