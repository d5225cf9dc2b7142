"""Settings of the proxy program and the change ticket."""

from dataclasses import dataclass
from typing import Annotated, Literal

from burdockrun_messages import NodeInfo, Service
from pydantic import AfterValidator, Field
from pydantic_core import PydanticCustomError

from burdockrun_settings.const import (
    DEFAULT_DRAIN_TIMEOUT_MS,
    DEFAULT_MAX_IN_FLIGHT,
    DEFAULT_STATSD_PORT,
    MAX_PORT,
    MIN_SESSION_KEY_LENGTH,
)
from burdockrun_settings.schema import FileModel, IpAddress, Name, Port, Text


def _check_keys(keys: tuple[str, ...]) -> tuple[str, ...]:
    if not keys:
        raise PydanticCustomError("no_key", "at least one key")
    if len(set(keys)) != len(keys):
        raise PydanticCustomError("distinct", "keys that differ from each other")
    return keys


SessionKey = Annotated[Text, Field(min_length=MIN_SESSION_KEY_LENGTH)]
PositiveInt = Annotated[int, Field(strict=True, ge=1)]


class Address(FileModel):
    """Numeric IP address and port of a server."""

    host: IpAddress
    port: Port


class StatsdSettings(FileModel):
    """Server that receives the metrics."""

    host: IpAddress
    port: Port = DEFAULT_STATSD_PORT
    prefix: Name = "burdockrun"


class SeedSettings(FileModel):
    """Proxy node to contact first."""

    node: Name
    domain: Name
    host: IpAddress
    port: Port


class ProxySettings(FileModel):
    """Settings of one proxy node.

    `port` 0 takes any free port. The first of `session_keys` signs session tokens; tokens
    signed with any of them are accepted. Metrics are off while `statsd` is None.
    """

    node: Name
    domain: Name
    host: IpAddress
    port: Annotated[int, Field(strict=True, ge=0, le=MAX_PORT)]
    platform: Address
    session_keys: Annotated[
        tuple[SessionKey, ...], Field(strict=False), AfterValidator(_check_keys)
    ]
    seeds: Annotated[tuple[SeedSettings, ...], Field(strict=False)] = ()
    statsd: StatsdSettings | None = None
    log_format: Literal["json", "text"] = "text"
    drain_timeout_ms: PositiveInt = DEFAULT_DRAIN_TIMEOUT_MS
    max_in_flight: PositiveInt = DEFAULT_MAX_IN_FLIGHT

    @property
    def info(self) -> NodeInfo:
        """Return the address of this node."""
        return NodeInfo(node=self.node, domain=self.domain, host=self.host, port=self.port)

    @property
    def seed_nodes(self) -> tuple[NodeInfo, ...]:
        """Return the nodes to contact first, without this node."""
        return tuple(
            NodeInfo(node=seed.node, domain=seed.domain, host=seed.host, port=seed.port)
            for seed in self.seeds
            if seed.node != self.node
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """Change ticket: the complete new state of each named service, or None to remove it.

    `number` is None until it is assigned; `submission_id` distinguishes submissions of equal
    content.
    """

    author: str
    reason: str
    services: dict[str, Service | None]
    submission_id: str = ""
    number: int | None = None
