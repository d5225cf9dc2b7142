"""How many clients may be connected to this node at once."""

from typing import Final

# Descriptors that are kept for members, other nodes, the store and probes.
RESERVED_SHARE: Final = 0.25
MAX_RESERVED: Final = 1_024


class ClientSlots:
    """Counts the connections of clients.

    Without a limit, clients take all descriptors, and nothing that they ask for can be done.
    """

    def __init__(self, max_descriptors: int | None = None) -> None:
        """Derive the limit from the descriptors of the process; without it there is none.

        >>> ClientSlots(1_024).limit, ClientSlots(20_000).limit, ClientSlots(1).limit
        (768, 18976, 1)
        """
        self.limit: int | None = None
        self._max_open: int | None = None
        self._open = 0
        if max_descriptors is not None:
            reserved = min(int(max_descriptors * RESERVED_SHARE), MAX_RESERVED)
            self.limit = max_descriptors - reserved
            # Refused connections stay for a moment too, so that the refusal arrives.
            self._max_open = max_descriptors - reserved // 2

    def acquire(self) -> bool:
        """Count a new connection; return False if it has to be refused."""
        self._open += 1
        return self.limit is None or self._open <= self.limit

    def release(self) -> None:
        """Forget a connection that has ended, also a refused one."""
        self._open -= 1

    def has_room(self, coming: int = 0) -> bool:
        """Return whether one more may be accepted, if only to refuse it, besides those coming."""
        return self._max_open is None or self._open + coming < self._max_open
