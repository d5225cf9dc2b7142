"""Tracks the primaries that the proxies report, to tell replica reads from primary reads."""

import asyncio
from typing import Any

import aiohttp

from burdockrun_load.const import PATH_STATUS, STATUS_INTERVAL_MS, STATUS_TIMEOUT_MS


class PrimaryTracker:
    """Polls the status of the proxies in turn; a proxy that does not answer is skipped."""

    def __init__(self, addresses: list[str], session: aiohttp.ClientSession) -> None:
        self._addresses = addresses
        self._session = session
        self._primaries: dict[str, str] = {}

    def is_replica(self, database: str, member: str | None) -> bool | None:
        """Return whether a member is a replica, or None when that is not known."""
        primary = self._primaries.get(database)
        return None if primary is None or member is None else member != primary

    async def async_poll(self, address: str) -> None:
        """Update the primaries from the status of one proxy."""
        try:
            async with (
                asyncio.timeout(STATUS_TIMEOUT_MS / 1_000),
                self._session.get(f"http://{address}{PATH_STATUS}") as response,
            ):
                self._update(await response.json(content_type=None))
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            return

    async def async_run(self) -> None:
        """Poll until cancelled."""
        while self._addresses:
            for address in self._addresses:
                await self.async_poll(address)
                await asyncio.sleep(STATUS_INTERVAL_MS / 1_000)

    def _update(self, status: Any) -> None:
        groups = status.get("groups") if isinstance(status, dict) else None
        for database, group in groups.items() if isinstance(groups, dict) else ():
            primary = group.get("primary") if isinstance(group, dict) else None
            if isinstance(primary, str):
                self._primaries[database] = primary
