"""State of one rank within a scheduler."""

from collections.abc import Mapping

from burdockrun_base import Rank

from burdockrun_admission.const import BLOCKED_SHARE, MIN_SHARE, SHARE_TTL_MS
from burdockrun_admission.queues import RankQueue
from burdockrun_admission.service import ServiceEstimate, Usage


class RankState:
    """Queue, estimates and floor credit of one rank."""

    __slots__ = (
        "admitted_share",
        "blocks",
        "credit_ms",
        "less_urgent",
        "more_urgent",
        "queue",
        "rank",
        "return_ms",
        "service",
        "share",
        "share_until_ms",
        "usage",
    )

    def __init__(self, rank: Rank, weights: Mapping[str, float]) -> None:
        self.rank = rank
        self.queue = RankQueue(weights)
        self.service = ServiceEstimate()
        self.usage = Usage(slots=1)
        self.credit_ms = 0.0
        self.admitted_share = 1.0
        self.share = 1.0
        self.share_until_ms = 0
        # When the request that was refused last was told to return.
        self.return_ms = 0.0
        self.blocks = False
        self.more_urgent: tuple[RankState, ...] = ()
        self.less_urgent: tuple[RankState, ...] = ()

    def configure(self, rank: Rank, slots: int) -> None:
        """Apply new settings of the rank and a new number of slots; estimates are kept."""
        self.rank = rank
        self.usage.slots = slots
        self.share_until_ms = 0

    def margin_ms(self) -> float:
        """Return how long before its deadline waiting work is dropped.

        The cap of a quarter of the target limits the effect of a wrong estimate.
        """
        likely_ms = self.service.mean_ms + self.service.deviation_ms
        return min(likely_ms, self.rank.target_ms / 4)

    def demanded_share(self, now_ms: int) -> float:
        """Return the share of the slots that this rank demands, which may exceed 1.

        It shows an overload earlier than the share of the slots that the rank uses.
        """
        return self.usage.share(now_ms) / max(MIN_SHARE, self.admitted_share)

    def update_share(self, now_ms: int) -> None:
        """Estimate the share of the slots that the other ranks leave to this one."""
        share = 1.0
        self.blocks = False
        for other in self.more_urgent:
            demanded = other.demanded_share(now_ms)
            share -= demanded
            self.blocks = self.blocks or self._blocks(other, demanded)
        for other in self.less_urgent:
            if other.queue.works:
                share -= other.rank.floor
        self.share = max(share, self.rank.floor, MIN_SHARE)
        self.share_until_ms = now_ms + SHARE_TTL_MS

    def would_block(self, now_ms: int) -> bool:
        """Return whether a statement of this rank could make more urgent work miss its target."""
        if self.blocks and now_ms >= self.share_until_ms:
            self.update_share(now_ms)
        return self.blocks

    def _blocks(self, urgent: "RankState", demanded: float) -> bool:
        """Return whether a slot should be reserved for `urgent` and not be given to this rank.

        Reserving it pays when the urgent work that would otherwise be refused is worth more than
        the work that this rank could do in the slot while `urgent` leaves it idle.
        """
        service, other = self.service, urgent.service
        if service.mean_ms + service.deviation_ms <= urgent.rank.target_ms - other.tail_ms:
            return False
        slots = self.usage.slots
        gain = BLOCKED_SHARE * slots * demanded * urgent.rank.worth / other.mean_ms
        return gain > (1.0 - slots * demanded) * self.rank.worth / service.mean_ms
