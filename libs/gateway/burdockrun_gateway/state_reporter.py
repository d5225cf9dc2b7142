"""Reports of this node to the holder of the promotion lease."""

import asyncio
from collections.abc import Sequence

from burdockrun_base import Application
from burdockrun_groups import Suspicion
from result import Err

from burdockrun_gateway.const import ACKS_PREFIX, STORE_RETRY_MS, SUSPECTS_PREFIX, TICK_MS
from burdockrun_gateway.directory import Directory
from burdockrun_gateway.group import Group
from burdockrun_gateway.ports import SharedStore, Write
from burdockrun_gateway.records import dump_ack, dump_suspicion
from burdockrun_gateway.tasks import report_failure


class StateReporter:
    """Reports primaries that this node cannot reach or has stopped using, with a key for each."""

    def __init__(
        self, app: Application, store: SharedStore, directory: Directory, node: str
    ) -> None:
        self._app = app
        self._store = store
        self._directory = directory
        self._node = node
        # By service, the suspicion of this node that the store has.
        self._suspected: dict[str, str] = {}
        # By service, the revision of the newest answered report of a suspicion.
        self._revisions: dict[str, int] = {}
        self._era = 0
        self._acknowledged: dict[str, tuple[int, int]] = {}

    async def async_run(self) -> None:
        """Report changes until cancelled."""
        while True:
            await self._directory.changed.async_wait(TICK_MS)
            self._check_era()
            self._check_listed()
            for service, group in list(self._directory.groups.items()):
                try:
                    await self._async_report(service, group)
                except Exception as error:
                    report_failure(self._app, "report", error, service=service)

    def _check_era(self) -> None:
        """Learn what the store has of this node's reports when it has come back older."""
        era = self._directory.store_copy.era
        if era != self._era:
            self._era = era
            self._revisions.clear()
            self._suspected = {
                service: suspicions[self._node]
                for service, suspicions in self._directory.suspicions.items()
                if self._node in suspicions
            }

    def _check_listed(self) -> None:
        """Learn what the store has of this node's suspicions when that has changed.

        A report without an answer, also of an earlier process, may be executed after later ones.
        """
        as_of = self._directory.store_copy.as_of
        changed = self._directory.own_suspicions_changed
        known = {one for one in changed if as_of >= self._revisions.get(one, 0)}
        # The others are looked at again once the copy has this node's last report of them.
        changed -= known
        for service in known:
            listed = self._directory.suspicions.get(service, {})
            self._suspected[service] = listed.get(self._node, "")

    async def _async_report(self, service: str, group: Group) -> None:
        record = group.primary_lease.record
        stopped = record.version() if record is not None and not record.primary else (0, 0)
        if stopped > self._acknowledged.get(service, (0, 0)):
            key = f"{ACKS_PREFIX}{service}/{self._node}"
            if await self._async_commit([Write(key=key, value=dump_ack(stopped))]) is not None:
                self._acknowledged[service] = stopped
        suspected = group.suspected
        if suspected == self._suspected.get(service, ""):
            return
        key = f"{SUSPECTS_PREFIX}{service}/{self._node}"
        suspicion = Suspicion(node=self._node, service=service, member=suspected)
        writes = [Write(key=key, value=dump_suspicion(suspicion))] if suspected else []
        revision = await self._async_commit(writes, [] if suspected else [key])
        if revision is not None:
            self._suspected[service] = suspected
            self._revisions[service] = revision
            self._directory.notify_all_nodes()

    async def _async_commit(
        self, writes: Sequence[Write], deleted_keys: Sequence[str] = ()
    ) -> int | None:
        """Return the revision of a transaction, None without an answer."""
        result = await self._store.async_commit({}, writes, deleted_keys)
        if isinstance(result, Err):
            await asyncio.sleep(STORE_RETRY_MS / 1000)
            return None
        self._directory.notify_lease_holder()
        return result.ok_value.revision
