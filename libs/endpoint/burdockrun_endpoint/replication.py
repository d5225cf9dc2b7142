"""Replication progress of a term, as its primary knows it."""

from burdockrun_messages import LogPosition


class ReplicationProgress:
    """Last log index that each member of a term holds, and the rounds of leadership checks.

    Only an index from the start of the term on is confirmed (as in Raft): an earlier entry that a
    majority holds may still be replaced by a primary of another term.

    A leadership check shows that a majority still follows the primary. The primary sends the round
    number of the check with each batch, and each replica echoes it in its next pull, which is
    therefore sent after the check began.
    """

    def __init__(self, primary: str, replicas: tuple[str, ...], start_index: int) -> None:
        members = {primary, *replicas}
        self._primary = primary
        self._held_indexes = dict.fromkeys(members, 0)
        self._start_index = start_index
        self._rounds = dict.fromkeys(members, 0)
        self.round = 0

    def record_held_index(self, member: str, index: int) -> None:
        """Record that a member holds the entries up to `index` under this term."""
        if member in self._held_indexes:
            self._held_indexes[member] = max(self._held_indexes[member], index)

    def begin_round(self) -> int:
        """Start a leadership check; return the round that a majority has to echo."""
        self.round += 1
        self._rounds[self._primary] = self.round
        return self.round

    def record_round(self, member: str, number: int) -> None:
        """Record that a pull of a member echoes the round `number`."""
        if member in self._rounds:
            self._rounds[member] = max(self._rounds[member], number)

    def is_round_complete(self, number: int) -> bool:
        """Return whether a majority has echoed a round."""
        echoed = sum(1 for latest in self._rounds.values() if latest >= number)
        return echoed > len(self._rounds) // 2

    def compute_confirmed_index(self, last: LogPosition, known: int) -> int:
        """Return the new confirmed index, which is never lower than the previous one, `known`."""
        self.record_held_index(self._primary, last.index)
        indexes = sorted(self._held_indexes.values(), reverse=True)
        index = indexes[len(indexes) // 2]
        return max(known, index) if index >= self._start_index else known
