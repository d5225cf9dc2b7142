"""Search for the member that takes over from the primary of a group."""

import asyncio
from collections.abc import Mapping

from burdockrun_base import Application, LogPosition
from burdockrun_groups import (
    GroupRecord,
    Succession,
    SuccessionEvidence,
    find_ended_processes,
    find_successor,
)
from burdockrun_statements import MemberStatus, Statement, StatementKind

from burdockrun_gateway.const import (
    CATCH_UP_TIMEOUT_MS,
    MAX_LOGGED_NODES,
    PROMOTION_POLL_MS,
)
from burdockrun_gateway.directory import Directory
from burdockrun_gateway.group import Group


class StepFailedError(Exception):
    """A step of a change failed; the change is resumed from the group record."""


class MembersAwaitedError(StepFailedError):
    """No member is certain to have all acknowledged commits until others have answered."""

    def __init__(self, awaited: frozenset[str]) -> None:
        """`awaited` are the members that may have newer logs."""
        names = " ".join(sorted(awaited)[:MAX_LOGGED_NODES])
        super().__init__(f"no answer from members that may have newer logs: {names}")
        self.awaited = awaited


async def async_ask_members(
    group: Group, excluded: str, statement: Statement | None = None
) -> dict[str, MemberStatus]:
    """Send a control statement, by default STATUS, to the members; return the answers."""
    pools = [pool for member_id, pool in group.pools.items() if member_id != excluded]
    answers = await asyncio.gather(*(group.control(pool).async_status(statement) for pool in pools))
    return {
        pool.entry.id: answer.status
        for pool, answer in zip(pools, answers, strict=True)
        if answer is not None
    }


async def async_stop_leaders(
    group: Group, record: GroupRecord, statuses: Mapping[str, MemberStatus]
) -> dict[str, MemberStatus]:
    """Turn members that still lead an earlier term into replicas; leave out those that refuse.

    A member that was cut off while it was replaced still acts as a primary, and might be chosen
    as the successor now.
    """
    stopped = dict(statuses)
    for member_id, status in statuses.items():
        if not status.is_primary:
            continue
        pool = group.pools.get(member_id)
        step_down = Statement(kind=StatementKind.STEP_DOWN, term=record.held_term)
        answered = await group.control(pool).async_status(step_down) if pool is not None else None
        if answered is None or answered.status.is_primary:
            del stopped[member_id]
        else:
            stopped[member_id] = answered.status
    return stopped


async def _async_find_last_position(group: Group, previous: str) -> LogPosition | None:
    """Return the position of a previous primary that has come back as a replica, with its log."""
    pool = group.pools.get(previous)
    if pool is None or not group.control(pool).is_usable():
        return None
    answered = await group.control(pool).async_status()
    if answered is None or answered.status.is_primary:
        return None
    return answered.status.received


class SuccessorSearch:
    """Asks the members of groups for their logs until it is certain who takes over."""

    def __init__(self, app: Application, directory: Directory) -> None:
        self._app = app
        self._directory = directory

    async def async_find(
        self,
        group: Group,
        record: GroupRecord,
        paused: Mapping[str, MemberStatus],
        final: LogPosition | None,
    ) -> Succession:
        """Return the member that takes over; fail if others must be waited for.

        `paused` has the answers to PAUSE, and `final` is the last position of the previous primary
        if it has been stopped. The members are asked again for up to `CATCH_UP_TIMEOUT_MS`. Whoever
        repeats the step tries to stop the previous primary again.
        """
        until_ms = self._app.clock.now_ms() + CATCH_UP_TIMEOUT_MS
        may_catch_up = final is not None
        processes = [one for one in record.acknowledging if one.member_id != record.previous]
        while True:
            statuses = await async_ask_members(group, record.previous)
            is_last = self._app.clock.now_ms() >= until_ms
            members = group.primary_lease.members
            ended = find_ended_processes(processes, members)
            succession = find_successor(
                SuccessionEvidence(
                    members=members,
                    counted=group.find_counted_members() | {one.member_id for one in processes},
                    previous=record.previous,
                    statuses=statuses,
                    paused=paused,
                    ending=group.find_ending_members(),
                    floor=record.floor,
                    final=final,
                    has_lost_log=bool(ended) or group.has_restarted_replica(record.previous),
                    synchronous=self._directory.is_synchronous(group.service),
                    is_catching_up=may_catch_up and not is_last,
                    is_overdue=is_last,
                )
            )
            if succession.successor:
                return succession
            if is_last:
                raise MembersAwaitedError(succession.awaited)
            if final is None and record.previous in succession.awaited:
                final = await _async_find_last_position(group, record.previous)
            await asyncio.sleep(PROMOTION_POLL_MS / 1000)
