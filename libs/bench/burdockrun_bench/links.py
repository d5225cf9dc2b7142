"""Simulated network links between the processes of a virtual cluster."""

import random
from dataclasses import dataclass

from burdockrun_bench.const import (
    JITTER_SHARE,
    PLATFORM_DELAY_MS,
    RETRANSMISSION_MS,
    SAME_DOMAIN_DELAY_MS,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Location:
    """Name and failure domain of a process."""

    name: str
    domain: str


PLATFORM = Location(name="platform", domain="platform")


class Links:
    """Delay, jitter, loss and partitions; a partition separates two failure domains."""

    def __init__(self, rng: random.Random, one_way_ms: int) -> None:
        self.loss = 0.0
        self.partitions: set[tuple[str, str]] = set()
        self._rng = rng
        self._one_way_ms = one_way_ms

    def partition(self, first: str, second: str) -> None:
        """Drop all messages between two failure domains."""
        self.partitions.add((first, second))
        self.partitions.add((second, first))

    def heal(self, first: str, second: str) -> None:
        """End the partition between two failure domains."""
        self.partitions.discard((first, second))
        self.partitions.discard((second, first))

    def is_partitioned(self, source: Location, target: Location) -> bool:
        """Return whether the failure domains of two processes are partitioned."""
        return (source.domain, target.domain) in self.partitions

    def delay_ms(self, source: Location, target: Location) -> int:
        """Return the delay of one message; one in ten takes up to twice as long.

        On a lossy link some messages arrive late because they are retransmitted.
        """
        base = self._base_ms(source, target)
        if self.loss > 0 and self._rng.random() < self.loss:
            return base + self._rng.randint(*RETRANSMISSION_MS)
        if self._rng.random() < JITTER_SHARE:
            return base + self._rng.randint(0, base)
        return base

    def drops(self, source: Location, target: Location) -> bool:
        """Return whether one message is lost."""
        if self.is_partitioned(source, target):
            return True
        return self.loss > 0 and self._rng.random() < self.loss

    def _base_ms(self, source: Location, target: Location) -> int:
        if PLATFORM in (source, target):
            return PLATFORM_DELAY_MS
        return SAME_DOMAIN_DELAY_MS if source.domain == target.domain else self._one_way_ms
