"""Positions in the log of a database group."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class LogPosition:
    """Position in the log of a database group; ordered by term, then by index.

    >>> LogPosition(term=1, index=9) < LogPosition(term=2, index=3)
    True
    """

    term: int
    index: int

    def has_reached(self, required: "LogPosition | None") -> bool:
        """Return whether a log that ends here holds the acknowledged entry at `required`.

        Every later term keeps the acknowledged entries, so a log that ends in a later term, at the
        same or a greater index, holds the entry. A log that ends in an earlier term may lack it.

        >>> LogPosition(term=2, index=7).has_reached(LogPosition(term=1, index=7))
        True
        >>> LogPosition(term=1, index=9).has_reached(LogPosition(term=2, index=7))
        False
        """
        if required is None:
            return True
        return self.term >= required.term and self.index >= required.index
