"""Tests of what a home reads from other nodes."""

import asyncio
from typing import cast

from burdockrun_gateway import Gateway, RequestPriority, SharedConnection
from burdockrun_site.peers import PeerConnection
from burdockrun_statements import Statement
from result import Ok


class Shared:
    """Shared connection that notes the groups of statements."""

    def __init__(self) -> None:
        self.groups: list[list[str]] = []

    def handle(self, statements: list[Statement], priority: RequestPriority) -> None:
        """Note a group."""
        self.groups.append([statement.kind.name for statement in statements])


class Home:
    """Gateway that carries every connection."""

    def __init__(self) -> None:
        self.shared = Shared()

    def open_shared(self, host: str, **fields: object) -> Ok[SharedConnection]:
        """Return the shared connection."""
        return Ok(cast(SharedConnection, self.shared))


class Transport(asyncio.Transport):
    """Transport that notes what is written."""

    def __init__(self) -> None:
        super().__init__({"peername": ("127.0.0.1", 1)})
        self.written = b""
        self.aborted = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Note data."""
        self.written += bytes(data)

    def is_closing(self) -> bool:
        """Return whether the connection was aborted."""
        return self.aborted

    def abort(self) -> None:
        """Note the end."""
        self.aborted = True


def connect() -> tuple[PeerConnection, Home, Transport]:
    """Return a connection of another node to a home."""
    home, transport = Home(), Transport()
    connection = PeerConnection(cast(Gateway, home))
    connection._transport = transport
    connection.data_received(b"CONNECT wendedb node-2 a\r\n")
    assert transport.written == b"READY I -\r\n"
    return connection, home, transport


async def test_queries_that_belong_together_are_passed_on_together() -> None:
    """Guards against a write that runs alone since its BEGIN came in another segment."""
    connection, home, _ = connect()
    connection.data_received(b"RANK 0 50 2\r\nQUERY q1 BEGIN\r\nQUERY q2 WR")
    assert home.shared.groups == []
    connection.data_received(b"ITE ward v1\r\nRANK 1 50 1\r\nQUERY - STATUS\r\n")
    assert home.shared.groups == [["BEGIN", "WRITE"], ["STATUS"]]


async def test_queries_without_their_number_end_the_connection() -> None:
    """Guards against statements whose group is not known."""
    for data in [b"QUERY q1 READ x", b"RANK 0 50", b"RANK a 50 1", b"RANK 0 50 1\r\nHELLO x"]:
        connection, home, transport = connect()
        connection.data_received(data + b"\r\n")
        assert transport.aborted, data
        assert home.shared.groups == []
