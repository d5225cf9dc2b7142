"""What a primary knows about the entries that its replicas hold."""

from burdockrun_messages import LogPosition


class HeldEntries:
    """Index held by each member of a term, and the greatest that a majority holds.

    Only an index from the start of the term on is confirmed (as in Raft): an earlier entry that a
    majority holds may still be replaced by a primary of another term.
    """

    def __init__(self, primary: str, replicas: tuple[str, ...], start_index: int) -> None:
        members = {primary, *replicas}
        self._primary = primary
        self._held = dict.fromkeys(members, 0)
        self._start_index = start_index

    def note(self, member: str, index: int) -> None:
        """Record that a member holds the entries up to `index` under this term."""
        if member in self._held:
            self._held[member] = max(self._held[member], index)

    def confirmed(self, last: LogPosition, known: int) -> int:
        """Return the greatest confirmed index; `known` is the one known so far."""
        self.note(self._primary, last.index)
        held = sorted(self._held.values(), reverse=True)
        index = held[len(held) // 2]
        return max(known, index) if index >= self._start_index else known
