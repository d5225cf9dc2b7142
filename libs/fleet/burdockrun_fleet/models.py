"""Data classes of the fleet library."""

from collections.abc import Callable
from dataclasses import dataclass

from burdockrun_messages import Configuration
from result import Result


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketFunctions:
    """Functions of the settings library that give tickets and snapshots their meaning.

    `apply` takes a configuration and the text of the next ticket; `dump` and `load` convert a
    configuration to snapshot text and back. Errors are findings as text.
    """

    apply: Callable[[Configuration, str], Result[Configuration, str]]
    dump: Callable[[Configuration], str]
    load: Callable[[str], Result[Configuration, str]]


@dataclass(frozen=True, kw_only=True, slots=True)
class SpreadOptions:
    """How news spreads: number of peers for a push, and whether digests make nodes pull."""

    fanout: int = 3
    digest_pull: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotHead:
    """Value of `snapshots/head`: the newest complete snapshot and its number of shards."""

    number: int
    shards: int


@dataclass(frozen=True, kw_only=True, slots=True)
class InForce:
    """Value of `in_force/<domain>`: the smallest ticket among the live nodes of a domain."""

    number: int
    at_ms: int
    nodes: int
