"""Faults from outside, each with its own random source, and their schedule."""

import asyncio
import itertools
import json
import signal
import socket
import sys
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from random import Random
from typing import Any, Final

from script.fault_soak.deployment import Deployment, async_wait_until
from script.fault_soak.journal import Drained
from script.fault_soak.members import BEAT_S, FOLLOW_S, LAPSE_S
from script.fault_soak.processes import METRICS_PORT, GatewayProcess

FaultFunction = Callable[[Deployment, Random], Coroutine[Any, Any, None]]
GENTLE_S: Final = (7.0, 9.0)
PLANNED_S: Final = (7.0, 10.0)
ROUGH_S: Final = (4.0, 7.0)
# After the last unplanned fault nothing is counted as lost for 4 s.
QUIET_S: Final = 4.0
PAUSE_S: Final = (0.2, 1.6)
MAX_BUSY: Final = 2


@dataclass(frozen=True, kw_only=True)
class FaultKind:
    """Fault with its weight in the schedule."""

    function: FaultFunction
    weight: int
    planned: bool


FAULTS: dict[str, FaultKind] = {}
GENTLE: list[str] = []
PLANNED: list[str] = []


def fault(
    name: str, weight: int, *, planned: bool, gentle: bool = False
) -> Callable[[FaultFunction], FaultFunction]:
    """Register a fault."""

    def register(function: FaultFunction) -> FaultFunction:
        FAULTS[name] = FaultKind(function=function, weight=weight, planned=planned)
        if planned:
            PLANNED.append(name)
        if gentle:
            GENTLE.append(name)
        return function

    return register


@dataclass(frozen=True, kw_only=True)
class Planned:
    """Fault of the schedule, `seed` for its choices."""

    at_s: float
    name: str
    seed: int


def build_schedule(rng: Random, seconds: float) -> list[Planned]:
    """Return faults in turns: work that stops no node, planned work, then anything."""
    schedule: list[Planned] = []
    at_s = 1.0
    for names, span_s in itertools.cycle(
        [(GENTLE, GENTLE_S), (PLANNED, PLANNED_S), (list(FAULTS), ROUGH_S)]
    ):
        end_s = min(seconds, at_s + rng.uniform(*span_s))
        weights = [FAULTS[name].weight for name in names]
        while at_s < end_s:
            name = rng.choices(names, weights)[0]
            schedule.append(Planned(at_s=at_s, name=name, seed=rng.getrandbits(32)))
            at_s += rng.uniform(*PAUSE_S)
        if end_s >= seconds:
            return schedule
        at_s = end_s + (QUIET_S if span_s is ROUGH_S else 0.0)
    raise AssertionError


async def async_play(deployment: Deployment, schedule: list[Planned]) -> None:
    """Play a schedule and wait until all faults have ended."""
    began_s = deployment.journal.now()
    tasks = []
    for one in schedule:
        await asyncio.sleep(max(0.0, began_s + one.at_s - deployment.journal.now()))
        work = FAULTS[one.name].function(deployment, Random(one.seed))
        tasks.append(asyncio.create_task(_async_disturb(deployment, one.name, work)))
    await asyncio.gather(*tasks)


async def _async_disturb(
    deployment: Deployment, name: str, work: Coroutine[Any, Any, None]
) -> None:
    if FAULTS[name].planned:
        deployment.end_fault(deployment.begin_fault(name, planned=True))
        await work
        return
    noted = deployment.begin_fault(name)
    try:
        await work
    finally:
        deployment.end_fault(noted)


def choose(deployment: Deployment, rng: Random) -> GatewayProcess:
    """Return any node."""
    return rng.choice(deployment.gateways)


@asynccontextmanager
async def take(deployment: Deployment, resource: str) -> AsyncIterator[bool]:
    """Keep a resource for one fault; yields whether it was free."""
    free = resource not in deployment.taken
    deployment.taken.add(resource)
    try:
        yield free
    finally:
        if free:
            deployment.taken.discard(resource)


@fault("term", 4, planned=True)
async def stop_one(deployment: Deployment, rng: Random) -> None:
    """Stop one node; it is started again."""
    choose(deployment, rng).send(rng.choice([signal.SIGTERM, signal.SIGTERM, signal.SIGINT]))


@fault("hup", 3, planned=True, gentle=True)
async def announce_settings(deployment: Deployment, rng: Random) -> None:
    """Send SIGHUP to some nodes."""
    for gateway in rng.sample(deployment.gateways, rng.randint(1, len(deployment.gateways))):
        gateway.send(signal.SIGHUP)


@fault("series", 3, planned=True)
async def send_series(deployment: Deployment, rng: Random) -> None:
    """Send several signals in short succession."""
    gateway = choose(deployment, rng)
    for number in rng.choice(SERIES):
        gateway.send(number)
        await asyncio.sleep(rng.choice([0.0, 0.001, 0.02, 0.3]))


SERIES: Final = (
    (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGINT, signal.SIGHUP),
    (signal.SIGHUP, signal.SIGHUP, signal.SIGHUP),
)


@fault("early", 3, planned=True)
async def signal_early(deployment: Deployment, rng: Random) -> None:
    """Stop a node and send signals within the first moments of its next life."""
    gateway = choose(deployment, rng)
    life = gateway.life
    gateway.send(signal.SIGTERM)
    numbers = [rng.choice([signal.SIGHUP, signal.SIGTERM]) for _ in range(rng.randint(1, 3))]
    delays_s = [rng.uniform(0.0, 0.6) for _ in numbers]
    await async_wait_until(lambda: gateway.life != life)
    for number, delay_s in zip(numbers, delays_s, strict=True):
        await asyncio.sleep(delay_s)
        gateway.send(number)


@fault("rolling", 2, planned=True)
async def restart_all(deployment: Deployment, rng: Random) -> None:
    """Stop all nodes in turn; each next one when the one before serves again, or sooner."""
    pause_s = rng.choice([0.5, 2.0])
    async with take(deployment, "rolling") as free:
        if not free:
            return
        for gateway in deployment.gateways:
            gateway.send(signal.SIGTERM)
            await asyncio.sleep(pause_s)


@fault("config", 3, planned=True, gentle=True)
async def change_routes(deployment: Deployment, rng: Random) -> None:
    """Add a route; or write several configurations in quick succession."""
    added = [f"added{deployment.version + 1}x{number}" for number in range(rng.choice([1, 1, 8]))]
    for name in added:
        deployment.databases[name] = "session"
        deployment.configure()
        await asyncio.sleep(rng.choice([0.0, 0.02]))
    await deployment.async_check_route(added[-1])


@fault("odd_entry", 3, planned=True, gentle=True)
async def write_odd_entry(deployment: Deployment, rng: Random) -> None:
    """Write an odd entry among those of the members, or over a sound one and back."""
    member = rng.choice(list(deployment.members.values()))
    over = rng.random() < 0.4
    key = f"servers/{member.id}" if over else "servers/i-0dd0"
    entry = member.build_entry()
    deployment.store.put(key, rng.choice(ODD)(entry))
    await asyncio.sleep(rng.uniform(0.1, 1.0))
    if over:
        member.register()
    else:
        deployment.store.remove(key)


def _change(**fields: object) -> Callable[[dict[str, object]], bytes]:
    return lambda entry: json.dumps({**entry, **fields}).encode()


ODD: Final[tuple[Callable[[dict[str, object]], bytes], ...]] = (
    _change(Address="127.0.0.1:99999"),
    _change(Address="127.0.0.1:" + "9" * 5000),
    _change(Address="a..b:80"),
    _change(Address="x" * 300 + ":80"),
    _change(Address="a\0b:80"),
    _change(Capacity=-5),
    _change(Capacity="two"),
    _change(born=1.5),
    _change(Seq=10**300),
    _change(Service="x y\r\nQUERY"),
    _change(State="tired"),
    lambda entry: json.dumps({**entry, "born": 7}).replace("7", "1" + "0" * 4400).encode(),
    lambda entry: b'{"Tags":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    lambda entry: b'{"Address":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    lambda entry: b'{"Service":"\\ud800"}',
    lambda entry: b"\xff\x00",
    lambda entry: b"",
    lambda entry: b"[]",
)


@fault("kill", 2, planned=False)
async def kill_some(deployment: Deployment, rng: Random) -> None:
    """Kill one node, or several at once."""
    for gateway in rng.sample(deployment.gateways, rng.choice([1, 1, 2])):
        gateway.send(signal.SIGKILL)


@fault("freeze", 2, planned=False)
async def freeze_one(deployment: Deployment, rng: Random) -> None:
    """Freeze a node for a while; it may be told to stop meanwhile."""
    gateway = choose(deployment, rng)
    noted = deployment.begin_fault("frozen", gateway.name)
    gateway.send(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.1, 2.5))
    if rng.random() < 0.4:
        gateway.send(signal.SIGTERM)
    gateway.send(signal.SIGCONT)
    deployment.end_fault(noted)


@fault("held_port", 2, planned=False)
async def hold_port(deployment: Deployment, rng: Random) -> None:
    """Hold a port of a stopped node with another socket for a while."""
    gateway = choose(deployment, rng)
    host, port, kind = rng.choice(
        [
            (gateway.host, gateway.port, socket.SOCK_STREAM),
            (gateway.ready_host, gateway.ready_port, socket.SOCK_STREAM),
            (gateway.host, gateway.peer_port, socket.SOCK_STREAM),
            (gateway.host, gateway.peer_port, socket.SOCK_DGRAM),
            (gateway.host, gateway.peer_port + 1, socket.SOCK_STREAM),
            (gateway.host, gateway.peer_port + 1, socket.SOCK_DGRAM),
            (gateway.ready_host, METRICS_PORT, socket.SOCK_STREAM),
        ]
    )
    hold_s = rng.uniform(0.3, 4.0)
    async with take(deployment, gateway.name) as free:
        if not free:
            return
        gateway.send(signal.SIGKILL)
        await async_wait_until(lambda: not gateway.is_running)
        noted = deployment.begin_fault(f"held_port {port}", gateway.name)
        with socket.socket(socket.AF_INET, kind) as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with suppress(OSError):
                other.bind((host, port))
                if kind == socket.SOCK_STREAM:
                    other.listen()
            await asyncio.sleep(hold_s)
        deployment.end_fault(noted)


@fault("member_crash", 3, planned=False)
async def crash_member(deployment: Deployment, rng: Random) -> None:
    """Crash a member, often the primary, after a silence or at once; it starts again."""
    members = list(deployment.members.values())
    primary = deployment.find_primary()
    member = primary if rng.random() < 0.5 else rng.choice(members)
    silent, away_s, keeps_log = rng.random() < 0.3, rng.uniform(0.1, 6.0), rng.random() < 0.5
    async with take(deployment, "members") as free:
        if not free or not member.running:
            return
        if silent:
            member.fall_silent()
            await asyncio.sleep(rng.uniform(0.5, 3.0))
        promotions = len(deployment.journal.leads)
        was_primary = member.primary
        await member.async_crash()
        await asyncio.sleep(away_s)
        # The platform keeps the log of a primary until another member leads.
        replaced = len(deployment.journal.leads) > promotions
        await member.async_restart(keeps_log=keeps_log or (was_primary and not replaced))
        await asyncio.sleep(1.0)


@fault("primary_cut", 3, planned=False)
async def cut_primary(deployment: Deployment, rng: Random) -> None:
    """Cut the primary off from the store and the replicas; its successor may crash before it leads.

    The nodes still reach the primary.
    """
    lapse_s, away_s = LAPSE_S - rng.uniform(0.0, BEAT_S), rng.uniform(0.3, 3.0)
    crash_s = rng.random() * deployment.store.promote_delay_s
    crashes = rng.random() < 0.7
    async with take(deployment, "members") as free:
        primary = deployment.find_primary()
        if not free or not primary.running:
            return
        promotions = deployment.store.promotions
        ordered = len(promotions)
        primary.cut = True
        await asyncio.sleep(lapse_s)
        primary.lapse()
        await async_wait_until(lambda: len(promotions) > ordered, rng.uniform(0.0, 6.0))
        successor = deployment.members[promotions[-1][1]] if len(promotions) > ordered else None
        if crashes and successor is not None and successor is not primary:
            await asyncio.sleep(crash_s)
            await successor.async_crash()
            await asyncio.sleep(away_s)
            primary.heal()
            await successor.async_restart(keeps_log=True)
        primary.heal()
        await asyncio.sleep(FOLLOW_S)


async def async_lose_primary(deployment: Deployment, nodes: list[str], seconds: float) -> None:
    """Let nodes lose their paths to the primary for a while."""
    primary = deployment.find_primary()
    noted = [deployment.begin_fault("link_cut", node) for node in nodes]
    primary.lost_by = set(nodes)
    await asyncio.sleep(seconds)
    primary.lost_by = set()
    for one in noted:
        deployment.end_fault(one)


@fault("primary_lost", 2, planned=False)
async def lose_primary(deployment: Deployment, rng: Random) -> None:
    """Cut the primary off from all nodes but one."""
    spared, seconds = choose(deployment, rng), rng.uniform(1.0, 8.0)
    async with take(deployment, "members") as free:
        if free:
            nodes = [one.name for one in deployment.gateways if one is not spared]
            await async_lose_primary(deployment, nodes, seconds)


@fault("late_calls", 4, planned=False)
async def end_with_late_calls(deployment: Deployment, rng: Random) -> None:
    """Execute the last writes of a node in its next life, which has lost the store by then.

    The other nodes lose the primary afterwards.
    """
    gateway, store = choose(deployment, rng), deployment.store
    late_s, pause_s, lost_s = rng.uniform(3.5, 5.5), rng.uniform(1.0, 3.0), rng.uniform(3.0, 6.0)
    known_s = rng.uniform(0.2, 1.0)
    entries, key = store.entries, f"burdockrun/nodes/{gateway.name}"
    async with take(deployment, "store") as has_store, take(deployment, "members") as has_members:
        if not (has_store and has_members):
            return
        life = gateway.life
        store.late_s = {gateway.name: late_s}
        gateway.send(signal.SIGTERM)
        await async_wait_until(lambda: gateway.life != life)
        store.late_s = {}
        due_s, begun = deployment.journal.now() + late_s, store.revision
        await async_wait_until(lambda: key in entries and entries[key].revision > begun, late_s)
        await asyncio.sleep(known_s)
        store.modes = {gateway.name: "away"}
        await asyncio.sleep(due_s + pause_s - deployment.journal.now())
        nodes = [one.name for one in deployment.gateways if one is not gateway]
        await async_lose_primary(deployment, nodes, lost_s)
        store.modes = {}


@fault("answers_lost", 2, planned=False)
async def lose_answers(deployment: Deployment, rng: Random) -> None:
    """Let members lose answers to statements that they have run."""
    for member in deployment.members.values():
        member.lost_answers = rng.randint(0, 2)
    await asyncio.sleep(1.0)
    for member in deployment.members.values():
        member.lost_answers = 0


@fault("replica_lag", 2, planned=False)
async def delay_replicas(deployment: Deployment, rng: Random) -> None:
    """Delay replication, or stop it."""
    members = list(deployment.members.values())
    lag_s, deaf = rng.choice([0.2, 1.0]), rng.random() < 0.3
    for member in members:
        member.lag_s, member.deaf = lag_s, deaf
    await asyncio.sleep(rng.uniform(0.5, 2.5))
    for member in members:
        member.lag_s, member.deaf = 0.02, False
        member.catch_up()


@fault("release", 1, planned=True, gentle=True)
async def replace_member(deployment: Deployment, rng: Random) -> None:
    """Replace a member as planned: it drains, ends, and a new one starts with its log."""
    member = rng.choice(list(deployment.members.values()))
    async with take(deployment, "members") as free:
        if not free or not member.running:
            return
        member.draining = True
        member.register()
        if not deployment.store.down:
            at_s = deployment.journal.now()
            deployment.journal.drained.append(Drained(member=member.id, at_s=at_s))
        await asyncio.sleep(rng.uniform(3.0, 11.0))
        new = deployment.add_member()
        new.port, new.log, new.term = member.port, list(member.log), member.term
        new.primary = member.primary
        del deployment.members[member.id]
        deployment.connect_members()
        await member.async_crash()
        deployment.store.remove(f"servers/{member.id}")
        await new.async_start()
        new.catch_up()


@fault("store", 5, planned=False)
async def disturb_store(deployment: Deployment, rng: Random) -> None:
    """Let the store be slow, away, refuse, lose answers or answer garbage, to some or all."""
    mode = rng.choice(["slow", "away", "busy", "reset", "lost", "garbage", "compact"])
    node = rng.choice(["", choose(deployment, rng).name])
    seconds = rng.uniform(0.3, 4.0)
    async with take(deployment, "store") as free:
        if not free:
            return
        deployment.store.compact()
        if mode == "compact":
            return
        deployment.store.modes = {node: mode}
        deployment.store.down = mode in {"away", "reset"} and not node
        await asyncio.sleep(seconds)
        deployment.store.modes, deployment.store.down = {}, False


@fault("busy_neighbours", 1, planned=False)
async def use_processor(deployment: Deployment, rng: Random) -> None:
    """Run busy processes beside the nodes."""
    command = [sys.executable, "-S", "-c", "while True: pass"]
    beside = [
        await asyncio.create_subprocess_exec(*command) for _ in range(rng.randint(1, MAX_BUSY))
    ]
    try:
        await asyncio.sleep(rng.uniform(1.0, 3.0))
    finally:
        for process in beside:
            process.kill()
            await process.wait()
