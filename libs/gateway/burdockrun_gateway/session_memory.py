"""Memory that the values and prepared statements of client sessions hold in this node."""

from typing import Final

# Every session may hold this much, however much the others hold.
FREE_SESSION_BYTES: Final = 16_384
# No session may hold more than this; one message is smaller.
MAX_SESSION_BYTES: Final = 2_097_152
# Once all sessions together hold this much, none may exceed its free share.
MAX_TOTAL_BYTES: Final = 33_554_432


class SessionMemory:
    """Decides whether a session may hold more."""

    def __init__(self) -> None:
        self.held_bytes = 0

    def may_hold(self, before: int, after: int) -> bool:
        """Return whether a session may hold `after` bytes instead of `before`."""
        if after <= max(before, FREE_SESSION_BYTES):
            return True
        is_full = self.held_bytes + after - before > MAX_TOTAL_BYTES
        return after <= MAX_SESSION_BYTES and not is_full

    def change(self, before: int, after: int) -> None:
        """Note that a session holds more, or less."""
        self.held_bytes += after - before
