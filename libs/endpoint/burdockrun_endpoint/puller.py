"""Pull loop of a replica."""

import asyncio

import aiohttp
from burdockrun_base import Clock
from burdockrun_messages import decode_message, encode_message
from result import Ok

from burdockrun_endpoint.const import (
    ENTRIES_PATH,
    PULL_RETRY_MS,
    PULL_TIMEOUT_MS,
    PULL_WAIT_MS,
)
from burdockrun_endpoint.member_server import MemberServer
from burdockrun_endpoint.models import EntryBatch, PullEntries


async def async_pull_entries(server: MemberServer, clock: Clock) -> None:
    """Pull entries from the member's upstream, one pull at a time, until cancelled."""
    async with aiohttp.ClientSession() as session:
        while True:
            pull = server.member.make_pull()
            if pull is None or server.is_isolated:
                await server.async_wait_changed(clock.now_ms() + PULL_WAIT_MS)
                continue
            sent_ms = clock.now_ms()
            batch = await _async_pull_once(server, session, pull)
            if batch is None:
                await asyncio.sleep(PULL_RETRY_MS / 1_000)
                continue
            if server.is_isolated:
                continue
            server.member.receive_entries(batch, sent_ms, clock.now_ms())
            server.notify()


async def _async_pull_once(
    server: MemberServer, session: aiohttp.ClientSession, pull: PullEntries
) -> EntryBatch | None:
    upstream = server.member.upstream
    if upstream is None:
        return None
    url = f"http://{upstream.host}:{upstream.control_port}{ENTRIES_PATH}"
    timeout = aiohttp.ClientTimeout(total=PULL_TIMEOUT_MS / 1_000)
    try:
        async with session.post(url, data=encode_message(pull), timeout=timeout) as response:
            if response.status != 200:
                return None
            decoded = decode_message(EntryBatch, await response.read())
    except (aiohttp.ClientError, OSError, TimeoutError):
        return None
    return decoded.ok_value if isinstance(decoded, Ok) else None
