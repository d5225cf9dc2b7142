"""Items of the shared store whose handling has failed, until it succeeds."""

from dataclasses import dataclass

from burdockrun_base import Clock

from burdockrun_gateway.const import ITEM_RETRIES, ITEM_RETRY_MS
from burdockrun_gateway.ports import Item


@dataclass(frozen=True, slots=True)
class FailedItem:
    """Item whose handling has failed."""

    item: Item
    is_returning: bool  # it came with the first listing of a restored store
    due_ms: int
    retries: int = 0


class FailedItems:
    """Keeps the newest failed item of each key, for a limited number of retries."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failed: dict[str, FailedItem] = {}

    def note_failure(self, item: Item, *, is_returning: bool) -> None:
        """Keep an item whose handling has failed; each retry is later than the one before."""
        known = self._failed.get(item.key)
        retries = known.retries + 1 if known is not None and known.item == item else 0
        due_ms = self._clock.now_ms() + (ITEM_RETRY_MS << retries)
        self._failed[item.key] = FailedItem(item, is_returning, due_ms, retries)

    def forget(self, key: str) -> None:
        """Forget the item of a key that has been handled, or a newer one."""
        self._failed.pop(key, None)

    def allow_again(self) -> None:
        """Allow all retries anew, also of items that have used them up."""
        now_ms = self._clock.now_ms()
        self._failed = {
            key: FailedItem(one.item, one.is_returning, now_ms + ITEM_RETRY_MS)
            for key, one in self._failed.items()
        }

    def list_due(self) -> list[FailedItem]:
        """Return the items that are due for a retry."""
        now_ms = self._clock.now_ms()
        return [
            one
            for one in self._failed.values()
            if one.retries < ITEM_RETRIES and now_ms >= one.due_ms
        ]
