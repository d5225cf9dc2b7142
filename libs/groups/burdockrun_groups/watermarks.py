"""Known log positions of the primary over time, and the positions that reads require."""

from collections import deque
from dataclasses import dataclass, field

from burdockrun_base import LogPosition
from burdockrun_statements import Commit

from burdockrun_groups.const import (
    LIKELY_APPLIED_MS,
    MAX_SAMPLES,
    SAMPLE_SPACING_MS,
    STALENESS_MARGIN_MS,
)


@dataclass(frozen=True, slots=True)
class Requirement:
    """Position that a member must have applied for a read; the primary had it by `known_ms`."""

    known_ms: int
    position: LogPosition

    def is_likely_applied(self, now_ms: int) -> bool:
        """Return whether a replica that keeps up has applied the position by now."""
        return now_ms >= self.known_ms + LIKELY_APPLIED_MS


@dataclass(frozen=True, slots=True)
class _Sample:
    sent_ms: int
    position: LogPosition


@dataclass(frozen=True, kw_only=True, slots=True)
class LagSample:
    """Bounds of the time in ms until a replica has applied an entry; `most_ms` may be unknown."""

    least_ms: float = 0.0
    most_ms: float | None = None


@dataclass(kw_only=True, slots=True)
class Watermarks:
    """Log positions of the primary, each with the time `sent_ms` at which it was requested.

    Every commit that was acknowledged before `sent_ms` is at or below the position.
    """

    epoch: str = ""
    first: LogPosition | None = None
    samples: deque[_Sample] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))

    def add(self, epoch: str, sent_ms: int, position: LogPosition) -> None:
        """Add a position that the primary of `epoch` reported for a request sent at `sent_ms`.

        Positions of an earlier primary are dropped, since its successor may have rolled them back.
        A lower position than before is not one of the primary any more: the member has started
        again without its log.
        """
        if epoch != self.epoch:
            self.epoch = epoch
            self.first = position
            self.samples.clear()
        if self.samples:
            last = self.samples[-1]
            if sent_ms < last.sent_ms + SAMPLE_SPACING_MS:
                return
            if not position.has_reached(last.position):
                return
        self.samples.append(_Sample(sent_ms, position))

    def newest(self) -> LogPosition | None:
        """Return the newest position."""
        return self.samples[-1].position if self.samples else None

    def newest_before(self, before_ms: int) -> LogPosition | None:
        """Return the newest position that was requested before a time."""
        asked = (one.position for one in reversed(self.samples) if one.sent_ms < before_ms)
        return next(asked, None)

    def newest_ms(self) -> int | None:
        """Return when the newest position was requested."""
        return self.samples[-1].sent_ms if self.samples else None

    def required(self, started_ms: int, max_staleness_ms: int) -> Requirement | None:
        """Return the lowest position required of a read that started at `started_ms`.

        Returns None when no known position is recent enough.
        """
        earliest_ms = started_ms - max_staleness_ms + STALENESS_MARGIN_MS
        for sample in self.samples:
            if sample.sent_ms >= earliest_ms:
                return Requirement(sample.sent_ms, sample.position)
        return None

    def find_lag(self, position: LogPosition, now_ms: int) -> LagSample:
        """Return bounds of the replication delay from the newest position of a replica at `now_ms`.

        The entry at this position has been replicated, the next one has not. When the primary wrote
        them is known between two samples, over which the entries are taken to be evenly spread.
        """
        least_ms, most_ms = 0.0, None
        before: _Sample | None = None
        for sample in self.samples:
            if sample.position >= position and most_ms is None and before is not None:
                most_ms = max(now_ms - _interpolate(before, sample, position.index - 1), 0.0)
            if sample.position > position:
                if before is not None:
                    written_ms = _interpolate(before, sample, position.index + 1)
                    least_ms = max(now_ms - written_ms, 0.0)
                break
            before = sample
        return LagSample(least_ms=least_ms, most_ms=most_ms)

    def required_for_commit(self, commit: Commit) -> Requirement | None:
        """Return the position at which a commit is visible.

        A commit of another epoch that was not rolled back is at or below the first position of this
        one. Returns None when that position is not known.
        """
        if commit.epoch == self.epoch:
            return Requirement(commit.at_ms, commit.position)
        return Requirement(commit.at_ms, self.first) if self.first is not None else None


def _interpolate(before: _Sample, after: _Sample, index: int) -> float:
    """Return when the primary reached an index between two samples."""
    if before.position.term != after.position.term:
        return float(after.sent_ms if index > before.position.index else before.sent_ms)
    entries = max(after.position.index - before.position.index, 1)
    share = min(max((index - before.position.index) / entries, 0.0), 1.0)
    return before.sent_ms + share * (after.sent_ms - before.sent_ms)
