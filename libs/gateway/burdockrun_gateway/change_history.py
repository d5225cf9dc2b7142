"""Last changes of the keys of the store, for nodes that follow a copy of it."""

from bisect import bisect_left, bisect_right, insort
from operator import itemgetter

from burdockrun_gateway.ports import HistoryGap, Item


class ChangeHistory:
    """Last change of each key, in the order of the revisions, whatever the order of arrival.

    It has every change after a revision, which rises as the oldest changes are dropped, except
    those of keys that came and went within a gap.
    """

    def __init__(self, max_changes: int) -> None:
        self._max_changes = max_changes
        self._complete_after = 0
        self._gap: HistoryGap | None = None
        self._changes: dict[str, Item] = {}
        # Revisions and keys of the changes, sorted.
        self._order: list[tuple[int, str]] = []

    def start_after(self, revision: int) -> None:
        """Forget all changes; those after a revision are going to be added."""
        self._changes.clear()
        self._order.clear()
        self._complete_after = revision
        self._gap = None

    def add_gap(self, gap: HistoryGap) -> None:
        """Note a gap; the history is not complete before an earlier one any more."""
        known = self._gap
        if known is not None and gap.after < known.until:
            gap = HistoryGap(after=min(known.after, gap.after), until=max(known.until, gap.until))
        elif known is not None:
            self._complete_after = max(self._complete_after, known.until)
        self._gap = gap

    def add(self, item: Item) -> None:
        """Add a change unless a later one of the key is known, and drop the oldest if too many."""
        known = self._changes.get(item.key)
        if known is not None:
            if known.revision >= item.revision:
                return
            del self._order[bisect_left(self._order, (known.revision, known.key))]
        self._changes[item.key] = item
        insort(self._order, (item.revision, item.key))
        while len(self._order) > self._max_changes:
            revision, key = self._order.pop(0)
            del self._changes[key]
            self._complete_after = max(self._complete_after, revision)

    def is_complete_after(self, revision: int) -> bool:
        """Return whether all changes after a revision are known to whoever has those up to it."""
        gap = self._gap
        is_within_gap = gap is not None and gap.after < revision < gap.until
        return revision >= self._complete_after and not is_within_gap

    def gap_after(self, revision: int) -> HistoryGap | None:
        """Return the gap that the changes after a revision have."""
        gap = self._gap
        return gap if gap is not None and gap.until > revision else None

    def list_after(self, revision: int) -> tuple[Item, ...]:
        """Return the changes after a revision, oldest first."""
        first = bisect_right(self._order, revision, key=itemgetter(0))
        return tuple(self._changes[key] for _, key in self._order[first:])
