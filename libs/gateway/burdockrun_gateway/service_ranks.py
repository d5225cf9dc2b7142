"""Ranks of the statements of a service, as its routes define them."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from burdockrun_base import Rank
from burdockrun_groups import Route

# Share of the slots that every rank but the most urgent gets during a burst of a more urgent one.
RANK_FLOOR: Final = 0.05
# Tickets do not say what an answer of a rank is worth compared with others.
RANK_WORTH: Final = 1.0
# Target and time limit of a service without a route, in ms, as of the slowest usual routes.
DEFAULT_TARGET_MS: Final = 1_000
DEFAULT_TIMEOUT_MS: Final = 2_000


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceRanks:
    """Ranks, most urgent first, and the smallest time limit of the routes of each, in ms."""

    ranks: tuple[Rank, ...]
    timeouts_ms: tuple[int, ...]

    def find(self, order: int) -> tuple[Rank, int]:
        """Return a rank and its time limit; an unknown one counts as the next less urgent.

        Another node may know a newer ticket than this one.
        """
        for rank, timeout_ms in zip(self.ranks, self.timeouts_ms, strict=True):
            if rank.order >= order:
                return rank, timeout_ms
        return self.ranks[-1], self.timeouts_ms[-1]


def build_service_ranks(routes: Iterable[Route]) -> ServiceRanks:
    """Return the ranks of the routes that lead to one service."""
    limits: dict[int, tuple[int, int]] = {}
    for route in routes:
        target_ms, timeout_ms = limits.get(route.rank, (route.target_ms, route.timeout_ms))
        limits[route.rank] = (min(target_ms, route.target_ms), min(timeout_ms, route.timeout_ms))
    limits = limits or {0: (DEFAULT_TARGET_MS, DEFAULT_TIMEOUT_MS)}
    orders = sorted(limits)
    return ServiceRanks(
        ranks=tuple(
            Rank(
                name=str(order),
                order=order,
                target_ms=limits[order][0],
                worth=RANK_WORTH,
                floor=RANK_FLOOR if order > orders[0] else 0.0,
            )
            for order in orders
        ),
        timeouts_ms=tuple(limits[order][1] for order in orders),
    )


NO_ROUTES: Final = build_service_ranks(())
