"""Links between the places of a virtual cluster."""

import random
from dataclasses import dataclass

from burdockrun_bench.const import JITTER_SHARE, PLATFORM_MS, RETRANSMISSION_MS, SAME_DOMAIN_MS


@dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """Process with its failure domain."""

    name: str
    domain: str


PLATFORM = Place(name="platform", domain="platform")


class Links:
    """Delay, jitter, loss and cuts between places; a cut holds for a pair of domains."""

    def __init__(self, rng: random.Random, one_way_ms: int) -> None:
        self.loss = 0.0
        self.cuts: set[tuple[str, str]] = set()
        self._rng = rng
        self._one_way_ms = one_way_ms

    def cut(self, first: str, second: str) -> None:
        """Cut two domains off from each other."""
        self.cuts.add((first, second))
        self.cuts.add((second, first))

    def heal(self, first: str, second: str) -> None:
        """End the cut between two domains."""
        self.cuts.discard((first, second))
        self.cuts.discard((second, first))

    def is_cut(self, source: Place, target: Place) -> bool:
        """Return whether nothing gets through."""
        return (source.domain, target.domain) in self.cuts

    def delay_ms(self, source: Place, target: Place) -> int:
        """Return the delay of one message; one in ten takes up to twice as long.

        On a lossy link some messages arrive late, after retransmission.
        """
        base = self._base_ms(source, target)
        if self.loss > 0 and self._rng.random() < self.loss:
            return base + self._rng.randint(*RETRANSMISSION_MS)
        if self._rng.random() < JITTER_SHARE:
            return base + self._rng.randint(0, base)
        return base

    def loses(self, source: Place, target: Place) -> bool:
        """Return whether one message is lost."""
        if self.is_cut(source, target):
            return True
        return self.loss > 0 and self._rng.random() < self.loss

    def _base_ms(self, source: Place, target: Place) -> int:
        if PLATFORM in (source, target):
            return PLATFORM_MS
        return SAME_DOMAIN_MS if source.domain == target.domain else self._one_way_ms
