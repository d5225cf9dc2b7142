"""Positions in the log of a database group."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class LogPosition:
    """Place in the log of a database group; terms compare before indexes.

    >>> LogPosition(term=1, index=9) < LogPosition(term=2, index=3)
    True
    """

    term: int
    index: int

    def has_reached(self, required: "LogPosition | None") -> bool:
        """Return whether a log that ends here holds the acknowledged entry at `required`.

        Acknowledged entries are kept by every later term, so a later term with at least the same
        index holds them; an equal index under an earlier term does not.

        >>> LogPosition(term=2, index=7).has_reached(LogPosition(term=1, index=7))
        True
        >>> LogPosition(term=1, index=9).has_reached(LogPosition(term=2, index=7))
        False
        """
        if required is None:
            return True
        return self.term >= required.term and self.index >= required.index
