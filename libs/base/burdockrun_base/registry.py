"""Registries to which decorators add entries."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one kind of behaviour.

    >>> shapes: Registry[object] = Registry("shape")
    >>> @shapes.register("round")
    ... class Round: ...
    >>> shapes.names()
    ('round',)
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that adds its target under `name`."""

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T | None:
        """Return the entry called `name`, or None."""
        return self._entries.get(name)

    def names(self) -> tuple[str, ...]:
        """Return the registered names in order of registration."""
        return tuple(self._entries)

    def __iter__(self) -> Iterator[T]:
        return iter(self._entries.values())
