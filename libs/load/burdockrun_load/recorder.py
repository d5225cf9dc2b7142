"""Latency histograms, outcomes, replica reads and write gaps of a run."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from burdockrun_messages import Access, Outcome
from hdrh.histogram import HdrHistogram

from burdockrun_load.const import (
    HIGHEST_LATENCY_US,
    LOWEST_LATENCY_US,
    MICROSECONDS_PER_MS,
    MICROSECONDS_PER_S,
    PERCENTILES,
    SIGNIFICANT_DIGITS,
    TIME_BUCKET_MS,
)
from burdockrun_load.models import CallRecord


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)


class RankStatistics:
    """Statistics of one rank; latencies count from the intended time of sending to the answer."""

    def __init__(self) -> None:
        self._latencies_us = _new_histogram()
        self._outcomes: Counter[str] = Counter()
        self._codes: Counter[str] = Counter()

    def add(self, record: CallRecord) -> None:
        """Count one request; only those with outcome `done` have a latency."""
        self._outcomes[record.result.outcome] += 1
        self._codes[record.result.code] += 1
        if record.result.outcome is Outcome.DONE:
            latency_us = max(LOWEST_LATENCY_US, record.finished_us - record.intended_us)
            self._latencies_us.record_value(min(latency_us, HIGHEST_LATENCY_US))

    def describe(self) -> dict[str, Any]:
        """Return counts and latencies in ms."""
        return {
            "requests": sum(self._outcomes.values()),
            "outcomes": {outcome: self._outcomes[outcome] for outcome in Outcome},
            "codes": dict(sorted(self._codes.items())),
            "latency_ms": self._describe_latencies(),
        }

    def _describe_latencies(self) -> dict[str, float]:
        if not self._latencies_us.get_total_count():
            return {}
        values = {
            f"p{percentile:g}": self._latencies_us.get_value_at_percentile(percentile)
            for percentile in PERCENTILES
        }
        values["max"] = self._latencies_us.get_max_value()
        return {name: value / MICROSECONDS_PER_MS for name, value in values.items()}


@dataclass(kw_only=True, slots=True)
class Bucket:
    """Requests whose intended time of sending lies in one interval of `TIME_BUCKET_MS`.

    `classified_reads` counts the finished reads known to come from a replica or from the primary.
    """

    latencies_ms: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    not_done: Counter[str] = field(default_factory=Counter)
    replica_reads: int = 0
    classified_reads: int = 0


class WriteGap:
    """Longest time without an acknowledged write while writes were sent."""

    def __init__(self, first_intended_us: int) -> None:
        self._last_acknowledged_us = first_intended_us
        self._last_intended_us = first_intended_us
        self._gap_us = 0
        self._start_us = first_intended_us

    def add(self, intended_us: int, acknowledged_us: int | None) -> None:
        """Record one write; calls come in the order in which the writes end."""
        self._last_intended_us = max(self._last_intended_us, intended_us)
        if acknowledged_us is None:
            return
        gap_us = acknowledged_us - self._last_acknowledged_us
        if gap_us > self._gap_us:
            self._gap_us, self._start_us = gap_us, self._last_acknowledged_us
        self._last_acknowledged_us = max(self._last_acknowledged_us, acknowledged_us)

    def describe(self) -> tuple[float, float]:
        """Return the longest gap and its start in ms.

        The time from the last acknowledgement to the intended time of the last write is also a gap.
        """
        unacknowledged_us = self._last_intended_us - self._last_acknowledged_us
        if unacknowledged_us > self._gap_us:
            return (
                unacknowledged_us / MICROSECONDS_PER_MS,
                self._last_acknowledged_us / MICROSECONDS_PER_MS,
            )
        return self._gap_us / MICROSECONDS_PER_MS, self._start_us / MICROSECONDS_PER_MS


class Recorder:
    """Statistics of a run, and of its `flood_phases` alone."""

    def __init__(self, ranks: list[str], flood_phases: frozenset[str]) -> None:
        self._flood_phases = flood_phases
        self._ranks = {rank: RankStatistics() for rank in ranks}
        self._flood = {rank: RankStatistics() for rank in ranks}
        self._gaps: dict[str, WriteGap] = {}
        self.buckets: dict[int, Bucket] = defaultdict(Bucket)
        self.violations = 0
        self._reads: Counter[str] = Counter()
        self._last_finished_us = 0
        self._done = 0

    def add(self, record: CallRecord) -> None:
        """Count one finished request."""
        rank = record.request.rank or ""
        self._ranks[rank].add(record)
        if record.phase in self._flood_phases:
            self._flood[rank].add(record)
        done = record.result.outcome is Outcome.DONE
        if done:
            self._done += 1
            self._last_finished_us = max(self._last_finished_us, record.finished_us)
        bucket = self.buckets[record.intended_us // (TIME_BUCKET_MS * MICROSECONDS_PER_MS)]
        if done:
            latency_us = record.finished_us - record.intended_us
            bucket.latencies_ms[rank].append(latency_us / MICROSECONDS_PER_MS)
        else:
            bucket.not_done[rank] += 1
        if record.request.access is Access.WRITE:
            self._add_write(record, done)
        elif done:
            self._add_read(record, bucket)

    def describe(self) -> dict[str, Any]:
        """Return the statistics as JSON values; latencies and gaps in ms."""
        gaps = {database: gap.describe() for database, gap in sorted(self._gaps.items())}
        classified = self._reads["replica"] + self._reads["primary"]
        seconds = self._last_finished_us / MICROSECONDS_PER_S
        return {
            "replica_read_share": self._reads["replica"] / classified if classified else None,
            "reads": dict(self._reads),
            "write_gap_ms": max((gap for gap, _ in gaps.values()), default=None),
            "write_gaps": {
                database: {"gap_ms": gap, "start_ms": start}
                for database, (gap, start) in gaps.items()
            },
            "ranks": {rank: self._ranks[rank].describe() for rank in self._ranks},
            "flood": (
                {rank: self._flood[rank].describe() for rank in self._flood}
                if self._flood_phases
                else None
            ),
            "requests_per_s": self._done / seconds if seconds else 0.0,
            "violations": self.violations,
        }

    def _add_write(self, record: CallRecord, done: bool) -> None:
        database = record.request.database
        if database not in self._gaps:
            self._gaps[database] = WriteGap(record.intended_us)
        self._gaps[database].add(record.intended_us, record.finished_us if done else None)

    def _add_read(self, record: CallRecord, bucket: Bucket) -> None:
        if record.from_replica is None:
            self._reads["unknown"] += 1
            return
        self._reads["replica" if record.from_replica else "primary"] += 1
        bucket.classified_reads += 1
        bucket.replica_reads += record.from_replica
