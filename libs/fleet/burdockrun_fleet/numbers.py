"""Numbers in texts that other programs may have written."""

from typing import Final

# The largest number of 64 bits has more digits.
MAX_DIGITS: Final = 18


def read_number(text: str) -> int | None:
    """Return the number that a text of at most `MAX_DIGITS` decimal digits stands for, or None.

    >>> read_number("0012"), read_number("²"), read_number("-1"), read_number("9" * 5_000)
    (12, None, None, None)
    """
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_number else None
