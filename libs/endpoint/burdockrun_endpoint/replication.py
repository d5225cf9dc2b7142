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
        self._rounds = dict.fromkeys(members, 0)
        self.round = 0

    def note(self, member: str, index: int) -> None:
        """Record that a member holds the entries up to `index` under this term."""
        if member in self._held:
            self._held[member] = max(self._held[member], index)

    def begin_round(self) -> int:
        """Start a proof that a majority still follows; return the round that it must echo."""
        self.round += 1
        self._rounds[self._primary] = self.round
        return self.round

    def note_round(self, member: str, number: int) -> None:
        """Record that a member sent a pull after it had received `number` from the primary."""
        if member in self._rounds:
            self._rounds[member] = max(self._rounds[member], number)

    def is_proven(self, number: int) -> bool:
        """Return whether a majority has echoed a round."""
        echoed = sum(1 for other in self._rounds.values() if other >= number)
        return echoed > len(self._rounds) // 2

    def confirmed(self, last: LogPosition, known: int) -> int:
        """Return the greatest confirmed index; `known` is the one known so far."""
        self.note(self._primary, last.index)
        held = sorted(self._held.values(), reverse=True)
        index = held[len(held) // 2]
        return max(known, index) if index >= self._start_index else known
