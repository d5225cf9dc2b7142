"""Log of a database member with the data and the idempotency records derived from it."""

from burdockrun_messages import JsonValue, LogPosition

from burdockrun_endpoint.models import LogEntry, TermEnd


class EntryLog:
    """Log entries, indexed from 1, with the state after the last one.

    `data` holds the value of each key, `changed_at` the index of its last change.
    """

    def __init__(self) -> None:
        self.data: dict[str, JsonValue] = {}
        self.changed_at: dict[str, int] = {}
        self._entries: list[LogEntry] = []
        self._appended_ms: list[int] = []
        self._requests: dict[str, int] = {}
        self._ends: list[TermEnd] = []

    @property
    def last(self) -> LogPosition:
        """Return the position of the last entry."""
        if not self._entries:
            return LogPosition(term=0, index=0)
        return LogPosition(term=self._entries[-1].term, index=len(self._entries))

    @property
    def entries(self) -> tuple[LogEntry, ...]:
        """Return all entries."""
        return tuple(self._entries)

    @property
    def ends(self) -> tuple[TermEnd, ...]:
        """Return the last index of each term, in order of term."""
        return tuple(self._ends)

    def append(self, entry: LogEntry, now_ms: int) -> LogPosition:
        """Add one entry and apply it."""
        self._entries.append(entry)
        self._appended_ms.append(now_ms)
        index = len(self._entries)
        if self._ends and self._ends[-1].term == entry.term:
            self._ends.pop()
        self._ends.append(TermEnd(term=entry.term, index=index))
        if entry.request_id is not None:
            self._requests[entry.request_id] = index
        for change in entry.changes:
            self.data[change.key] = change.value
            self.changed_at[change.key] = index
        return LogPosition(term=entry.term, index=index)

    def entry(self, index: int) -> LogEntry:
        """Return the entry at `index`."""
        return self._entries[index - 1]

    def position(self, index: int) -> LogPosition:
        """Return the position of the entry at `index`."""
        return LogPosition(term=self._entries[index - 1].term, index=index)

    def find_request(self, request_id: str | None) -> int | None:
        """Return the index of the entry with a request id, or None."""
        return None if request_id is None else self._requests.get(request_id)

    def truncate(self, index: int) -> None:
        """Remove the entries after `index` and rebuild the state without them."""
        if index >= len(self._entries):
            return
        kept = list(zip(self._entries[:index], self._appended_ms[:index], strict=True))
        for mapping in (self.data, self.changed_at, self._requests):
            mapping.clear()
        for sequence in (self._entries, self._appended_ms, self._ends):
            sequence.clear()
        for entry, appended_ms in kept:
            self.append(entry, appended_ms)

    def find_common_index(self, ends: tuple[TermEnd, ...]) -> int:
        """Return the length of the common prefix of this log and the log with the term ends `ends`.

        Only one primary appends entries of a term, so equal (term, index) means an equal prefix.
        """
        other_ends = {end.term: end.index for end in ends}
        common = (
            min(end.index, other_ends[end.term]) for end in self._ends if end.term in other_ends
        )
        return max(common, default=0)

    def read_after(
        self, index: int, *, limit: int, appended_by_ms: int | None = None
    ) -> tuple[LogEntry, ...]:
        """Return up to `limit` entries after `index` that were appended by `appended_by_ms`."""
        end = min(len(self._entries), index + limit)
        if appended_by_ms is not None:
            while end > index and self._appended_ms[end - 1] > appended_by_ms:
                end -= 1
        return tuple(self._entries[index:end])
