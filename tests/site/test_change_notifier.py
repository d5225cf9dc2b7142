"""Tests of hints between nodes."""

import asyncio

from burdockrun_site.change_notifier import UdpChangeNotifier

from tests.site.common import async_deploy


async def async_open(heard: list[str]) -> tuple[UdpChangeNotifier, tuple[str, int]]:
    """Return a port on loopback and its address."""
    port = UdpChangeNotifier()
    port.on_change_notification = heard.append
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: port, ("127.0.0.1", 0))
    return port, transport.get_extra_info("sockname")


async def test_a_hint_arrives_and_garbage_does_not() -> None:
    """Guards against datagrams of others that are taken for hints."""
    heard: list[str] = []
    sender, _ = await async_open([])
    receiver, address = await async_open(heard)
    loop = asyncio.get_running_loop()
    stranger, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, remote_addr=address)
    stranger.sendto(b"\x00 nothing")
    sender.send([address])
    await asyncio.sleep(0.1)
    stranger.close()
    sender.close()
    receiver.close()
    assert heard == ["127.0.0.1"]


async def test_only_registered_nodes_make_a_node_ask_the_store() -> None:
    """Guards against a stranger on the peer port that spends calls of the store."""
    async with async_deploy(gateways=1) as deployment:
        directory = deployment.gateways[0].directory
        await deployment.async_until(lambda: bool(directory.nodes))
        asked: list[str] = []

        def note_hurry(*, direct: bool = False) -> None:
            asked.append("store")

        directory.store_copy.poll_now = note_hurry  # type: ignore[method-assign]
        directory.handle_change_notification("10.9.9.9")
        assert asked == []
        directory.handle_change_notification("127.0.0.1")
        assert asked == ["store"]
