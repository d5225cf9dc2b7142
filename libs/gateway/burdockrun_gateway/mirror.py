"""Copy of a part of the shared store that is kept up to date."""

import asyncio
from collections.abc import Callable
from random import Random

from burdockrun_base import Application
from result import Err

from burdockrun_gateway.const import (
    STORE_LOST,
    STORE_REGAINED,
    STORE_RETRY_MAX_MS,
    STORE_RETRY_MS,
)
from burdockrun_gateway.ports import Item, SharedStore, StoreFault

# Called with the items that changed; after a new listing also with those that are gone.
OnChange = Callable[[list[Item]], None]
# Called with the time at which a question was sent that has been answered in full.
OnConfirmed = Callable[[int], None]


class Mirror:
    """Items below a prefix, by listing them once and watching for changes."""

    def __init__(
        self,
        app: Application,
        store: SharedStore,
        prefix: str,
        *,
        wait_ms: int,
        pause_ms: int,
        rng: Random,
        on_change: OnChange,
        on_confirmed: OnConfirmed,
    ) -> None:
        self.items: dict[str, Item] = {}
        self.loaded = False
        self.confirmed_ms: int | None = None
        self.failed_ms: int | None = None
        self.heard_ms = app.clock.now_ms()
        self._app = app
        self._store = store
        self._prefix = prefix
        self._wait_ms = wait_ms
        self._pause_ms = pause_ms
        self._rng = rng
        self._on_change = on_change
        self._on_confirmed = on_confirmed
        self.as_of = 0

    async def async_run(self) -> None:
        """Follow the store until cancelled."""
        delay_ms = 0.0
        while True:
            sent_ms = self._app.clock.now_ms()
            fault = await (self._async_watch() if self.loaded else self._async_list())
            if fault is None:
                delay_ms = 0.0
                self._confirm(sent_ms)
                pause_ms = self._pause_ms - (self._app.clock.now_ms() - sent_ms)
                if pause_ms > 0:
                    await asyncio.sleep(pause_ms / 1000)
                continue
            if fault is StoreFault.COMPACTED:
                self.loaded = False
                continue
            self._note_failure(fault)
            delay_ms = min(STORE_RETRY_MAX_MS, max(STORE_RETRY_MS, 2 * delay_ms))
            await asyncio.sleep(delay_ms * self._rng.uniform(0.6, 1.0) / 1000)

    async def _async_list(self) -> StoreFault | None:
        listed = await self._store.async_list(self._prefix)
        if isinstance(listed, Err):
            return listed.err_value
        listing = listed.ok_value
        found = {item.key: item for item in listing.items}
        gone = [Item(key=key, revision=listing.as_of) for key in self.items if key not in found]
        changed = [
            item
            for item in listing.items
            if (known := self.items.get(item.key)) is None or known.revision != item.revision
        ]
        self.items = found
        self.as_of = listing.as_of
        self.loaded = True
        self._on_change(gone + changed)
        return None

    async def _async_watch(self) -> StoreFault | None:
        watched = await self._store.async_watch(self._prefix, self.as_of, self._wait_ms)
        if isinstance(watched, Err):
            return watched.err_value
        listing = watched.ok_value
        self.as_of = max(self.as_of, listing.as_of)
        for item in listing.items:
            if item.value is None:
                self.items.pop(item.key, None)
            else:
                self.items[item.key] = item
        if listing.items:
            self._on_change(list(listing.items))
        return None

    def _confirm(self, sent_ms: int) -> None:
        if self.failed_ms is not None and (
            self.confirmed_ms is None or self.failed_ms > self.confirmed_ms
        ):
            self._app.events.write(STORE_REGAINED, area=self._prefix)
        self.confirmed_ms = sent_ms
        self.heard_ms = self._app.clock.now_ms()
        self._on_confirmed(sent_ms)

    def _note_failure(self, fault: StoreFault) -> None:
        if self.failed_ms is None or (
            self.confirmed_ms is not None and self.confirmed_ms > self.failed_ms
        ):
            self._app.events.write(STORE_LOST, area=self._prefix, reason=fault.value)
        self.failed_ms = self._app.clock.now_ms()
