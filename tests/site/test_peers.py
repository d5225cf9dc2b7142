"""Tests of the messages that a home receives from other nodes."""

import asyncio
from typing import cast

from burdockrun_gateway import Gateway, RequestPriority, SharedConnection
from burdockrun_site.peers import PeerConnection
from burdockrun_statements import Statement
from result import Ok


class RecordingConnection:
    """Shared connection that records the groups of statements."""

    def __init__(self) -> None:
        self.groups: list[list[str]] = []

    def handle(self, statements: list[Statement], priority: RequestPriority) -> None:
        """Record a group."""
        self.groups.append([statement.kind.name for statement in statements])


class FakeGateway:
    """Gateway that accepts every connection of another node."""

    def __init__(self) -> None:
        self.shared = RecordingConnection()

    def open_shared(self, host: str, **fields: object) -> Ok[SharedConnection]:
        """Return the shared connection."""
        return Ok(cast(SharedConnection, self.shared))


class Transport(asyncio.Transport):
    """Transport that records what is written."""

    def __init__(self) -> None:
        super().__init__({"peername": ("127.0.0.1", 1)})
        self.written = b""
        self.aborted = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Record data."""
        self.written += bytes(data)

    def is_closing(self) -> bool:
        """Return whether the connection was aborted."""
        return self.aborted

    def abort(self) -> None:
        """Record that the connection was aborted."""
        self.aborted = True


def connect_peer() -> tuple[PeerConnection, FakeGateway, Transport]:
    """Return a connection of another node to a home."""
    gateway, transport = FakeGateway(), Transport()
    connection = PeerConnection(cast(Gateway, gateway))
    connection._transport = transport
    connection.data_received(b"CONNECT wendedb node-2 a\r\n")
    assert transport.written == b"READY I -\r\n"
    return connection, gateway, transport


async def test_queries_of_a_group_are_passed_on_together() -> None:
    """Guards against a write that runs without the BEGIN that came in another segment."""
    connection, gateway, _ = connect_peer()
    connection.data_received(b"RANK 0 50 2\r\nQUERY q1 BEGIN\r\nQUERY q2 WR")
    assert gateway.shared.groups == []
    connection.data_received(b"ITE ward v1\r\nRANK 1 50 1\r\nQUERY - STATUS\r\n")
    assert gateway.shared.groups == [["BEGIN", "WRITE"], ["STATUS"]]


async def test_queries_without_a_valid_group_end_the_connection() -> None:
    """Guards against statements that belong to no group."""
    for data in [b"QUERY q1 READ x", b"RANK 0 50", b"RANK a 50 1", b"RANK 0 50 1\r\nHELLO x"]:
        connection, gateway, transport = connect_peer()
        connection.data_received(data + b"\r\n")
        assert transport.aborted, data
        assert gateway.shared.groups == []
