"""Tells the holder of the promotion duty which primaries this node cannot reach."""

import asyncio

from burdockrun_groups import Suspicion
from result import Err

from burdockrun_gateway.const import STORE_RETRY_MAX_MS, SUSPECTS_PREFIX, TICK_MS
from burdockrun_gateway.directory import Directory
from burdockrun_gateway.ports import SharedStore, Write
from burdockrun_gateway.records import dump_suspicion


class SuspicionReports:
    """Keeps a key in the store for each primary that this node cannot reach."""

    def __init__(self, store: SharedStore, directory: Directory, node: str) -> None:
        self._store = store
        self._directory = directory
        self._node = node
        self._reported: dict[str, str] = {}

    async def async_run(self) -> None:
        """Report changes until cancelled."""
        while True:
            await asyncio.sleep(TICK_MS / 1000)
            for service, group in list(self._directory.groups.items()):
                if group.suspected != self._reported.get(service, ""):
                    await self._async_report(service, group.suspected)

    async def _async_report(self, service: str, member: str) -> None:
        key = f"{SUSPECTS_PREFIX}{service}/{self._node}"
        suspicion = Suspicion(node=self._node, service=service, member=member)
        writes = [Write(key=key, value=dump_suspicion(suspicion))] if member else []
        result = await self._store.async_commit({}, writes, [] if member else [key])
        if isinstance(result, Err):
            await asyncio.sleep(STORE_RETRY_MAX_MS / 1000)
            return
        self._reported[service] = member
