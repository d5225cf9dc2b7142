"""Processes by whose receipt the commits of a synchronous group may have been acknowledged.

A commit is acknowledged once one replica has received it, so any of them may be the only one with
it. Each process counts from when discovery lists it until another replica is known to have received
what the primary had after the process was gone.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from burdockrun_groups.const import KNOWN_MEMBERS_MS
from burdockrun_groups.models import MemberEntry, MemberProcess


def find_processes(members: Iterable[MemberEntry]) -> frozenset[MemberProcess]:
    """Return the processes of listed members."""
    return frozenset(MemberProcess(entry.id, entry.started_at_ms) for entry in members)


def find_ended_processes(
    processes: Iterable[MemberProcess], members: Mapping[str, MemberEntry]
) -> frozenset[MemberProcess]:
    """Return those of `processes` whose members have started again, and so have lost their logs."""
    return frozenset(
        process
        for process in processes
        if process.member_id in members
        and members[process.member_id].started_at_ms != process.started_at_ms
    )


@dataclass(kw_only=True, slots=True)
class UnlistedProcesses:
    """Processes that discovery no longer lists, as one node has seen it."""

    # By process, the time from which on it counts as gone.
    _gone_ms: dict[MemberProcess, int] = field(default_factory=dict)

    def note_members(
        self, before: Mapping[str, MemberEntry], after: Mapping[str, MemberEntry], now_ms: int
    ) -> None:
        """Note a change of the listed members.

        One that drained has ended, and so has one that started again. Another one may only be cut
        off from the store for a while.
        """
        listed = find_processes(after.values())
        forgotten_ms = now_ms - KNOWN_MEMBERS_MS
        self._gone_ms = {one: at_ms for one, at_ms in self._gone_ms.items() if at_ms > forgotten_ms}
        for process in find_processes(before.values()) - listed:
            has_ended = before[process.member_id].draining or process.member_id in after
            self._gone_ms[process] = now_ms if has_ended else now_ms + KNOWN_MEMBERS_MS
        for process in listed:
            self._gone_ms.pop(process, None)

    def find_gone(
        self, processes: Iterable[MemberProcess], listed: frozenset[MemberProcess], now_ms: int
    ) -> frozenset[MemberProcess]:
        """Return those of `processes` that count as gone.

        Those that this node has not seen listed count as if they had lapsed now.
        """
        unlisted = set(processes) - listed
        for process in unlisted:
            self._gone_ms.setdefault(process, now_ms + KNOWN_MEMBERS_MS)
        return frozenset(one for one in unlisted if now_ms >= self._gone_ms[one])
