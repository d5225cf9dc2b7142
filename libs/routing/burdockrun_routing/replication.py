"""Simulation of asynchronous replication in virtual time, for the routing experiment."""

import random
from bisect import bisect_right

# Minimum time between two applied entries: CATCH_UP_MS while the replica is behind, else APPLY_MS.
APPLY_MS = 0.05
CATCH_UP_MS = 0.5
JITTER_MS = 3.0
# Replicas stop applying entries at random times, mostly for a short and sometimes for a long pause.
PAUSE_EVERY_MS = 8_000.0
LONG_PAUSE_SHARE = 0.3
SHORT_PAUSE_MS = (100.0, 1_000.0)
LONG_PAUSE_MS = (5_000.0, 30_000.0)


class ReplicaLog:
    """Times in ms at which a replica applied the entries of its primary, with random pauses."""

    def __init__(self, one_way_ms: float, duration_ms: float, rng: random.Random) -> None:
        self._one_way_ms = one_way_ms
        self._rng = rng
        self._applied: list[float] = []
        self._pauses: list[tuple[float, float]] = []
        at_ms = 0.0
        while (at_ms := at_ms + rng.expovariate(1 / PAUSE_EVERY_MS)) < duration_ms:
            is_long = rng.random() < LONG_PAUSE_SHARE
            end_ms = at_ms + rng.uniform(*(LONG_PAUSE_MS if is_long else SHORT_PAUSE_MS))
            self._pauses.append((at_ms, end_ms))
            at_ms = end_ms

    def append(self, written_ms: float) -> float:
        """Add the next entry of the primary; return when the primary learns that it is applied."""
        arrival_ms = written_ms + self._one_way_ms + self._rng.expovariate(1 / JITTER_MS)
        at_ms = arrival_ms
        if self._applied:
            last_ms = self._applied[-1]
            is_behind = last_ms > arrival_ms
            at_ms = max(arrival_ms, last_ms + (CATCH_UP_MS if is_behind else APPLY_MS))
        pause = self._find_pause_at(at_ms)
        if pause is not None:
            at_ms = pause[1]
        self._applied.append(at_ms)
        return at_ms + self._one_way_ms

    def index_at(self, at_ms: float) -> int:
        """Return the index of the last entry applied at a time; indexes start at 1."""
        return bisect_right(self._applied, at_ms)

    def lag_at(self, at_ms: float, written: list[float]) -> float:
        """Return the age of the first missing entry or of the last contact, whichever is older."""
        pause = self._find_pause_at(at_ms)
        last_contact_age_ms = self._one_way_ms + (at_ms - pause[0] if pause else 0.0)
        index = self.index_at(at_ms)
        missing_entry_age_ms = at_ms - written[index] if index < len(written) else 0.0
        return max(last_contact_age_ms, missing_entry_age_ms)

    def _find_pause_at(self, at_ms: float) -> tuple[float, float] | None:
        number = bisect_right(self._pauses, (at_ms, float("inf"))) - 1
        if number >= 0 and at_ms < self._pauses[number][1]:
            return self._pauses[number]
        return None


class DatabaseLog:
    """Log of one database: its primary and its replicas by member name.

    Without `by_majority` the primary alone confirms writes, as under the acknowledgement rule for
    databases whose replicas lag far behind.
    """

    def __init__(
        self, replicas: dict[str, ReplicaLog], one_way_ms: float, *, by_majority: bool
    ) -> None:
        self.replicas = replicas
        self._one_way_ms = one_way_ms
        self._by_majority = by_majority
        self._written: list[float] = []
        self._confirmed: list[float] = []

    def append(self, at_ms: float) -> tuple[int, float]:
        """Write an entry; return its index and when the primary may acknowledge it."""
        self._written.append(at_ms)
        replicated_ms = min([replica.append(at_ms) for replica in self.replicas.values()])
        confirmed_ms = replicated_ms if self._by_majority else at_ms
        self._confirmed.append(confirmed_ms)
        return len(self._written), confirmed_ms

    def index_at(self, member: str, at_ms: float) -> int:
        """Return the index of the last entry that a member has applied."""
        replica = self.replicas.get(member)
        return bisect_right(self._written, at_ms) if replica is None else replica.index_at(at_ms)

    def safe_index_at(self, member: str, at_ms: float) -> int:
        """Return the last index that a member has applied and knows to be confirmed."""
        known_ms = at_ms - (self._one_way_ms if member in self.replicas else 0.0)
        return min(bisect_right(self._confirmed, known_ms), self.index_at(member, at_ms))

    def lag_at(self, member: str, at_ms: float) -> int:
        """Return the age in ms of a member's data."""
        replica = self.replicas.get(member)
        return 0 if replica is None else round(replica.lag_at(at_ms, self._written))
