"""Faults found by a validation, collected with their places to be reported together."""

from collections.abc import Iterator
from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """One fault found by a validation.

    `place` names the file with a line or a key path.
    """

    place: str
    expected: str
    found: str

    def __str__(self) -> str:
        """Return the finding as one line of text."""
        return f"{self.place}: expected {self.expected}, found {self.found}"


@dataclass(kw_only=True, slots=True)
class Findings:
    """Ordered collection of findings.

    >>> findings = Findings()
    >>> findings.add("a.json:3", expected="a number", found="'x'")
    >>> print(findings)
    a.json:3: expected a number, found 'x'
    """

    items: list[Finding] = field(default_factory=list)

    def add(self, place: str, *, expected: str, found: str) -> None:
        """Record one finding."""
        self.items.append(Finding(place=place, expected=expected, found=found))

    def __bool__(self) -> bool:
        return bool(self.items)

    def __iter__(self) -> Iterator[Finding]:
        return iter(self.items)

    def __str__(self) -> str:
        return "\n".join(str(item) for item in self.items)
