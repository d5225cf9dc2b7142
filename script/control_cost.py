"""Measures the control path of one gateway by fleet size, in one process and without network."""

import argparse
import asyncio
import gc
import json
import statistics
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random
from typing import Any, Final, cast

from burdockrun_base import Application, ManualClock
from burdockrun_gateway import (
    ConnectFault,
    Item,
    Listing,
    MemberConnector,
    OpenedConnection,
    StoreFault,
    Write,
    Written,
)
from burdockrun_gateway.const import (
    GROUPS_PREFIX,
    NODES_PREFIX,
    PRESENCE_PREFIX,
    STORE_POLL_INTERVAL_MS,
    TICK_MS,
)
from burdockrun_gateway.directory import Directory
from burdockrun_gateway.leases import PromotionLease
from burdockrun_gateway.records import dump_group, dump_node
from burdockrun_gateway.supervisor import Supervisor
from burdockrun_groups import Configuration, GroupRecord, MemberEntry, NodeEntry, ServiceLimits
from burdockrun_statements import Answer
from result import Err, Ok, Result

# Members by number of nodes; other sizes are in proportion to the largest.
MEMBERS: Final = {8: 9, 71: 12, 195: 30, 780: 2_730}
LARGEST_NODES: Final = 780
GROUP_MEMBERS: Final = 3
# As in the users' site of 195 machines; its members are in the first domains only.
DOMAINS: Final = 6
MEMBER_DOMAINS: Final = 3
MAX_CONNECTIONS: Final = 58
SLOTS: Final = 4
CONFIGURATION_KEY: Final = "configuration"
MEMBERS_PREFIX: Final = "members/"
OWN_NODE: Final = "n0"
CHANGED_NODES: Final = 10
REPEATS: Final = 5
REST_S: Final = 20

Change = tuple[str, NodeEntry | None]


def build_node(index: int) -> NodeEntry:
    """Return the registration of a node."""
    host = f"10.0.{index // 250}.{index % 250}"
    domain = f"d{index % DOMAINS}"
    return NodeEntry(node=f"n{index}", domain=domain, host=host, port=7000, copy_port=7001)


class Documents:
    """Configuration and members that are known by key, so that their decoding is not measured."""

    configuration_key = CONFIGURATION_KEY
    members_prefix = MEMBERS_PREFIX

    def __init__(self, members: int) -> None:
        self.services = [f"db{index}" for index in range(members // GROUP_MEMBERS)]
        self._members = {
            f"{service}-{place}": MemberEntry(
                id=f"{service}-{place}",
                started_at_ms=1,
                service=service,
                host="10.9.0.1",
                port=9000,
                domain=f"d{place % MEMBER_DOMAINS}",
                slots=SLOTS,
                draining=False,
                claims_primary=place == 0,
            )
            for service in self.services
            for place in range(GROUP_MEMBERS)
        }

    def read_configuration(self, value: bytes) -> Result[Configuration, str]:
        """Return the configuration."""
        limits = {
            name: ServiceLimits(name=name, max_connections=MAX_CONNECTIONS, synchronous=False)
            for name in self.services
        }
        return Ok(Configuration(version=1, services=limits))

    def read_member(self, key: str, value: bytes) -> Result[MemberEntry, str]:
        """Return the entry of a member."""
        return Ok(self._members[key])

    def list_items(self) -> list[Item]:
        """Return the items of a store at rest, without nodes."""
        members = [Item(key=MEMBERS_PREFIX + name, revision=1, value=b"") for name in self._members]
        records = [
            Item(
                key=GROUPS_PREFIX + service,
                revision=1,
                value=dump_group(GroupRecord(service=service, primary=f"{service}-0", epoch=1)),
            )
            for service in self.services
        ]
        return [Item(key=CONFIGURATION_KEY, revision=1, value=b""), *members, *records]


class ScriptedStore:
    """Store, and copy of it at another node, that answers one poll after the other from a list.

    `costs_ms` has the processor time between each answer and the next poll.
    """

    def __init__(self, clock: ManualClock, first: Listing, answers: Sequence[Listing]) -> None:
        self.costs_ms: list[float] = []
        self.finished = asyncio.Event()
        self._clock = clock
        self._answers = [first, *answers]
        self._answered_ns = 0

    async def async_list(
        self, prefix: str, *, on_progress: Callable[[], None]
    ) -> Result[Listing, StoreFault]:
        """Return the next answer."""
        return await self._async_answer()

    async def async_watch(
        self, prefix: str, after: int, wait_ms: int, *, on_progress: Callable[[], None]
    ) -> Result[Listing, StoreFault]:
        """Return the next answer."""
        return await self._async_answer()

    async def async_fetch_changes(
        self, peer: NodeEntry, after: int, era: int, timeout_ms: int
    ) -> Result[Listing, StoreFault]:
        """Return the next answer, as from the copy of another node."""
        return await self._async_answer()

    async def async_commit(
        self, expected: dict[str, int], writes: Sequence[Write], deleted_keys: Sequence[str] = ()
    ) -> Result[Written, StoreFault]:
        """Refuse to write: nothing is written at rest."""
        return Err(StoreFault.REFUSED)

    async def _async_answer(self) -> Result[Listing, StoreFault]:
        if self._answered_ns:
            self.costs_ms.append((time.process_time_ns() - self._answered_ns) / 1e6)
        if len(self.costs_ms) == len(self._answers):
            self.finished.set()
            await asyncio.Event().wait()
        # No poll waits for the next one.
        self._clock.advance(STORE_POLL_INTERVAL_MS)
        answer = self._answers[len(self.costs_ms)]
        self._answered_ns = time.process_time_ns()
        return Ok(answer)


class NoNetwork:
    """Opens no connections, and sends no notifications."""

    async def async_open(
        self, entry: MemberEntry, on_answer: object, on_lost: object, **options: object
    ) -> Result[OpenedConnection, ConnectFault]:
        """Refuse a connection."""
        return Err(ConnectFault.REFUSED)

    def read_status(self, answer: Answer) -> None:
        """Return no status."""

    def send(self, peers: object) -> None:
        """Send nothing."""


class MeasuredNode:
    """Directory of the first node of a fleet, which learns the answers of a scripted store."""

    def __init__(
        self, members: int, first: Sequence[NodeEntry], changes: Sequence[Listing]
    ) -> None:
        self.clock = ManualClock(1_000_000)
        self.app = Application(clock=self.clock)
        documents = Documents(members)
        items = documents.list_items()
        for entry in first:
            items += list_registration((entry.node, entry), 1)
        listing = Listing(items=tuple(items), as_of=1)
        self.store = ScriptedStore(self.clock, listing, changes)
        network = NoNetwork()
        self.directory = Directory(
            self.app,
            cast(Any, self.store),
            documents,
            cast(MemberConnector, network),
            build_node(0),
            peer_copies=self.store,
            change_notifier=network,
            rng=Random(1),
        )

    async def async_learn(self) -> list[float]:
        """Learn all answers; return the processor time of each, without that of the first."""
        polling = asyncio.create_task(self.directory.store_copy.async_run())
        await self.store.finished.wait()
        polling.cancel()
        return self.store.costs_ms[1:]


class HeldLease(PromotionLease):
    """Promotion lease that this node always holds."""

    def is_held(self) -> bool:
        """Return True."""
        return True


def list_registration(change: Change, revision: int) -> list[Item]:
    """Return the items that a registration writes or removes."""
    name, entry = change
    node = Item(
        key=NODES_PREFIX + name,
        revision=revision,
        value=dump_node(entry) if entry is not None else None,
    )
    presence = Item(
        key=PRESENCE_PREFIX + name, revision=revision, value=b"" if entry is not None else None
    )
    return [node, presence]


def build_answers(changes: Sequence[Sequence[Change]]) -> list[Listing]:
    """Return one answer of the store for each group of changes, which may be empty."""
    answers = []
    for revision, group in enumerate(changes, start=2):
        items = [item for change in group for item in list_registration(change, revision)]
        answers.append(Listing(items=tuple(items), as_of=revision))
    return answers


def list_changes(nodes: int) -> list[Change]:
    """Return changes of registrations after which all are as before.

    Nodes spread over the fleet announce their end, leave, join, and start again elsewhere.
    """
    changes: list[Change] = []
    for index in range(1, nodes, max(1, (nodes - 1) // CHANGED_NODES)):
        entry = build_node(index)
        changes += [
            (entry.node, replace(entry, leaving=True)),
            (entry.node, None),
            (entry.node, entry),
            (entry.node, replace(entry, port=7002)),
            (entry.node, entry),
        ]
    return changes


async def async_measure_polls(
    nodes: int, members: int, changes: Sequence[Sequence[Change]]
) -> tuple[list[float], float]:
    """Return the processor time of each poll with changes and of one without, in ms.

    That of the next poll, without changes, is subtracted. Each is the least of several runs.
    """
    answers = build_answers([one for change in changes for one in (change, ())])
    first = [build_node(index) for index in range(nodes)]
    runs = []
    for _ in range(REPEATS):
        node = MeasuredNode(members, first, answers)
        gc.collect()
        gc.disable()
        runs.append(await node.async_learn())
        gc.enable()
    costs = [min(one) for one in zip(*runs, strict=True)]
    changed, unchanged = costs[::2], costs[1::2]
    differences = [one - other for one, other in zip(changed, unchanged, strict=True)]
    return differences, statistics.median(unchanged)


async def async_measure_rest(nodes: int, members: int) -> float:
    """Return the share of a core that the supervision of all groups takes at rest."""
    node = MeasuredNode(members, [build_node(index) for index in range(nodes)], [])
    await node.async_learn()
    loop = asyncio.get_running_loop()
    loop.time = lambda: node.clock.now_ms() / 1000  # type: ignore[method-assign]
    store = cast(Any, node.store)
    lease = HeldLease(node.app, store, node.directory, OWN_NODE, Random(1))
    supervisor = Supervisor(node.app, store, node.directory, lease, cast(Any, None))

    async def async_rest(duration_s: int) -> float:
        started_ns = time.process_time_ns()
        for _ in range(0, duration_s * 1000, TICK_MS):
            node.clock.advance(TICK_MS)
            for _ in range(4):
                await asyncio.sleep(0)
        return (time.process_time_ns() - started_ns) / 1e9 / duration_s

    without = min([await async_rest(REST_S) for _ in range(REPEATS)])
    tasks = [
        asyncio.create_task(supervisor.async_run()),
        asyncio.create_task(supervisor.async_keep_house()),
    ]
    await async_rest(2)
    share = min([await async_rest(REST_S) for _ in range(REPEATS)])
    for task in tasks:
        task.cancel()
    return max(0.0, share - without)


def measure(nodes: int) -> dict[str, float]:
    """Return the costs at a fleet size."""
    members = count_members(nodes)
    changes = [[change] for change in list_changes(nodes)]
    registration_ms, poll_ms = asyncio.run(async_measure_polls(nodes, members, changes))
    fleet: list[Change] = [(f"n{index}", build_node(index)) for index in range(1, nodes)]
    one_by_one = [[change] for change in fleet]
    one_by_one_ms, _ = asyncio.run(async_measure_polls(1, members, one_by_one))
    listing_ms, _ = asyncio.run(async_measure_polls(1, members, [fleet]))
    return {
        "registration_ms": round(statistics.mean(registration_ms), 3),
        "largest_registration_ms": round(max(registration_ms), 3),
        "poll_ms": round(poll_ms, 3),
        "fleet_start_ms": round(sum(one_by_one_ms), 1),
        "fleet_listing_ms": round(sum(listing_ms), 1),
        "supervision_core_share": round(asyncio.run(async_measure_rest(nodes, members)), 4),
    }


def count_members(nodes: int) -> int:
    """Return the number of members that are measured with so many nodes."""
    proportion = MEMBERS[LARGEST_NODES] * nodes // LARGEST_NODES
    return MEMBERS.get(nodes, max(1, proportion // GROUP_MEMBERS) * GROUP_MEMBERS)


ROWS: Final = {
    "registration_ms": "one changed registration, mean, ms",
    "largest_registration_ms": "one changed registration, most, ms",
    "poll_ms": "one poll without changes, ms",
    "fleet_start_ms": "all registrations one by one, ms",
    "fleet_listing_ms": "all registrations in one answer, ms",
    "supervision_core_share": "supervision of the groups at rest, cores",
}
REPORTED: Final = ("registration_ms", "fleet_start_ms", "supervision_core_share")


def main() -> int:
    """Print a table, and a line of JSON with the figures of each size."""
    parser = argparse.ArgumentParser(prog="script/control-cost", description=__doc__)
    parser.add_argument("--sizes", default=",".join(map(str, MEMBERS)), help="numbers of nodes")
    sizes = [int(size) for size in parser.parse_args().sizes.split(",")]
    found = {size: measure(size) for size in sizes}
    print("| nodes (members) |", *(f"{size} ({count_members(size)}) |" for size in sizes))
    print("| --- |", *("--- |" for _ in sizes))
    for key, title in ROWS.items():
        print(f"| {title} |", *(f"{found[size][key]} |" for size in sizes))
    print(json.dumps({size: {key: found[size][key] for key in REPORTED} for size in sizes}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
