"""Memory that the unfinished messages of clients hold in this node."""

from typing import Final

# What every client may hold, however much the others hold.
FREE_BYTES: Final = 65_536
# Once all clients together hold this much, none may exceed its free share.
MAX_TOTAL_BYTES: Final = 33_554_432


class ClientMemory:
    """Decides whether a client may go on sending a message."""

    def __init__(self, limit: int = MAX_TOTAL_BYTES) -> None:
        """Allow all clients together `limit` bytes beyond their free shares."""
        self._limit = limit
        self.held_bytes = 0

    def change(self, difference: int) -> None:
        """Note that a client holds more, or less."""
        self.held_bytes += difference

    def may_hold(self, unfinished_bytes: int) -> bool:
        """Return whether a client may hold so much of a message that is not complete."""
        return unfinished_bytes <= FREE_BYTES or self.held_bytes <= self._limit
