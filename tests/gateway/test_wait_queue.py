"""Tests of the hand-over of connections to requests that wait for them."""

import asyncio

import pytest
from burdockrun_base import ManualClock
from burdockrun_gateway.links import MemberLink
from burdockrun_gateway.wait_queue import WaitQueue

LONG_MS = 60_000


def make_link() -> MemberLink:
    """Return a connection."""
    return MemberLink(ManualClock(100_000), lambda link, answer, sent_ms: None)


async def test_a_connection_given_to_a_caller_that_has_just_left_is_given_back() -> None:
    """Guards against a connection that is lost to its pool, as its request was cancelled."""
    abandoned: list[MemberLink] = []
    queue, link = WaitQueue(abandoned.append), make_link()
    waiting = asyncio.create_task(queue.async_wait(0, LONG_MS))
    await asyncio.sleep(0)
    assert queue.hand_over(link)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert abandoned == [link]


async def test_a_caller_that_has_left_gets_no_connection() -> None:
    """Guards against a connection that goes to nobody while others wait."""
    queue, link = WaitQueue(), make_link()
    first, second = (asyncio.create_task(queue.async_wait(0, LONG_MS)) for _ in range(2))
    await asyncio.sleep(0)
    first.cancel()
    await asyncio.sleep(0)
    assert queue.hand_over(link)
    assert await second is link
