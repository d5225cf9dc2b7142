"""Data classes of the fleet library."""

from collections.abc import Callable
from dataclasses import dataclass

from burdockrun_messages import Configuration
from result import Result


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketFunctions:
    """Functions that apply the text of tickets and read and write the text of snapshots.

    `apply` takes a configuration and the text of the next ticket; `dump` and `load` convert a
    configuration to snapshot text and back. The error of a result describes what is wrong. Nodes
    use the functions of the settings library.
    """

    apply: Callable[[Configuration, str], Result[Configuration, str]]
    dump: Callable[[Configuration], str]
    load: Callable[[str], Result[Configuration, str]]


@dataclass(frozen=True, kw_only=True, slots=True)
class GossipOptions:
    """Number of peers that each update is pushed to, and whether digests cause pulls."""

    fanout: int = 3
    digest_pull: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotHead:
    """Value of `snapshots/head`: the newest complete snapshot and its number of shards."""

    number: int
    shards: int


@dataclass(frozen=True, kw_only=True, slots=True)
class InForce:
    """Value of `in_force/<domain>`: smallest ticket number among a domain's live nodes."""

    number: int
    at_ms: int
    nodes: int
