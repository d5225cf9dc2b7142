"""Search for the processes that may have acknowledged commits which no other replica has."""

from dataclasses import dataclass

from burdockrun_base import Application, LogPosition
from burdockrun_groups import GroupRecord, MemberProcess, find_processes

from burdockrun_gateway.directory import Directory
from burdockrun_gateway.group import Group
from burdockrun_gateway.successors import async_ask_members


@dataclass(frozen=True, kw_only=True, slots=True)
class _Covered:
    """Position of a primary that includes all that `processes` have acknowledged under it."""

    epoch: int
    processes: frozenset[MemberProcess]
    position: LogPosition


class AcknowledgingSearch:
    """Finds what the record of a synchronous group has to say of its processes.

    A listed process belongs to the record. One that is gone is left out once another replica has
    received the position that the primary told after it was gone.
    """

    def __init__(self, app: Application, directory: Directory) -> None:
        self._app = app
        self._directory = directory
        self._covered: dict[str, _Covered] = {}

    def is_outdated(self, group: Group, record: GroupRecord) -> bool:
        """Return whether a settled record may have to name other processes."""
        if not self._directory.is_synchronous(group.service) or record.ending:
            return False
        listed = find_processes(group.primary_lease.members.values())
        return bool(listed - set(record.acknowledging)) or bool(self._find_gone(group, record))

    async def async_find(self, group: Group, record: GroupRecord) -> tuple[MemberProcess, ...]:
        """Return the processes that the record has to name by now."""
        listed = find_processes(group.primary_lease.members.values())
        gone = self._find_gone(group, record)
        processes = {*record.acknowledging, *listed}
        if gone and await self._async_is_covered(group, record, gone):
            processes -= gone
        return tuple(sorted(processes))

    def _find_gone(self, group: Group, record: GroupRecord) -> frozenset[MemberProcess]:
        if not self._directory.is_discovery_settled():
            return frozenset()
        listed = find_processes(group.primary_lease.members.values())
        now_ms = self._app.clock.now_ms()
        return group.unlisted_processes.find_gone(record.acknowledging, listed, now_ms)

    async def _async_is_covered(
        self, group: Group, record: GroupRecord, gone: frozenset[MemberProcess]
    ) -> bool:
        """Return whether a replica has all that processes have acknowledged which are gone.

        A replica receives some time after the primary, so the position of the primary is kept until
        one has reached it.
        """
        covered = self._covered.get(group.service)
        if covered is None or covered.epoch != record.epoch or not gone <= covered.processes:
            pool = group.pools.get(record.primary)
            report = await group.control(pool).async_status() if pool is not None else None
            if report is None or not report.status.is_primary:
                return False
            covered = _Covered(epoch=record.epoch, processes=gone, position=report.status.received)
            self._covered[group.service] = covered
        statuses = await async_ask_members(group, record.primary)
        return any(
            not status.is_primary and status.received.has_reached(covered.position)
            for status in statuses.values()
        )
