"""Links to peer proxies over WebSocket, one for each direction."""

import asyncio
from collections.abc import Callable

import aiohttp
from burdockrun_messages import Event, NodeInfo, PeerLost, PeerMessage, encode_message

from burdockrun_proxy.errors import CALL_ERRORS
from burdockrun_proxy.streams import StreamWriter

CONNECT_TIMEOUT_S = 1.0
HEARTBEAT_S = 2.0
MAX_QUEUED_FRAMES = 10_000


class PeerLink:
    """Outgoing link to one peer, opened with the first message."""

    def __init__(self, peer: NodeInfo) -> None:
        self.peer = peer
        self.waiting: list[bytes] = []
        self.writer: StreamWriter | None = None
        # Set once the link is open, or has failed to open.
        self.connected = asyncio.Event()

    def send(self, frame: bytes) -> None:
        """Send a frame now or as soon as the link is open."""
        if self.writer is not None:
            self.writer.send(frame)
            return
        if len(self.waiting) < MAX_QUEUED_FRAMES:
            self.waiting.append(frame)

    async def async_flush(self) -> None:
        """Wait until all frames are sent, or the link has failed to open."""
        await self.connected.wait()
        if self.writer is not None:
            await self.writer.async_flush()


class PeerLinks:
    """Outgoing links of this process by peer name."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        node: NodeInfo,
        dispatch: Callable[[Event], None],
    ) -> None:
        self._session = session
        self._node = node
        self._dispatch = dispatch
        self._links: dict[str, PeerLink] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, peer: NodeInfo, message: PeerMessage) -> None:
        """Send a message to a peer; it is dropped when the peer cannot be reached."""
        link = self._links.get(peer.node)
        if link is None or link.peer != peer:
            link = self._links[peer.node] = PeerLink(peer)
            task = asyncio.get_running_loop().create_task(self._async_run(link))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        link.send(encode_message(message))

    async def async_flush(self) -> None:
        """Wait until all messages to peers in reach are sent."""
        await asyncio.gather(*(link.async_flush() for link in tuple(self._links.values())))

    async def async_close(self) -> None:
        """Close all links."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _async_run(self, link: PeerLink) -> None:
        url = f"http://{link.peer.host}:{link.peer.port}/v1/peer"
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                socket = await self._session.ws_connect(
                    url, params={"node": self._node.node}, heartbeat=HEARTBEAT_S
                )
        except CALL_ERRORS:
            self._drop(link)
            return
        link.writer = StreamWriter(socket)
        for frame in link.waiting:
            link.writer.send(frame)
        link.waiting.clear()
        link.connected.set()
        sender = asyncio.get_running_loop().create_task(link.writer.async_run())
        try:
            async for _ in socket:
                pass
        finally:
            sender.cancel()
            await socket.close()
            self._drop(link)

    def _drop(self, link: PeerLink) -> None:
        if self._links.get(link.peer.node) is link:
            del self._links[link.peer.node]
        link.connected.set()
        self._dispatch(PeerLost(peer=link.peer.node))
