"""Tests of change notifications between nodes."""

import asyncio

from burdockrun_site.change_notifier import UdpChangeNotifier

from tests.site.common import async_deploy


async def async_open_notifier(received: list[str]) -> tuple[UdpChangeNotifier, tuple[str, int]]:
    """Return a notifier on loopback and its address."""
    notifier = UdpChangeNotifier()
    notifier.on_change_notification = received.append
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: notifier, ("127.0.0.1", 0))
    return notifier, transport.get_extra_info("sockname")


async def test_a_notification_is_reported_and_other_datagrams_are_ignored() -> None:
    """Guards against other datagrams that count as notifications."""
    received: list[str] = []
    sender, _ = await async_open_notifier([])
    receiver, address = await async_open_notifier(received)
    loop = asyncio.get_running_loop()
    other_sender, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol, remote_addr=address
    )
    other_sender.sendto(b"\x00 nothing")
    sender.send([address])
    await asyncio.sleep(0.1)
    other_sender.close()
    sender.close()
    receiver.close()
    assert received == ["127.0.0.1"]


async def test_only_notifications_of_registered_nodes_cause_a_poll() -> None:
    """Guards against unknown hosts that cause calls to the store."""
    async with async_deploy(gateways=1) as deployment:
        directory = deployment.gateways[0].directory
        await deployment.async_wait_until(lambda: bool(directory.nodes))
        asked: list[str] = []

        def record_poll(*, direct: bool = False) -> None:
            asked.append("store")

        directory.store_copy.poll_now = record_poll  # type: ignore[method-assign]
        directory.handle_change_notification("10.9.9.9")
        assert asked == []
        directory.handle_change_notification("127.0.0.1")
        assert asked == ["store"]
