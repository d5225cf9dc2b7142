"""A primary is lost; a replica that is busy is passed over, with the commits that only it has."""

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.deployment import BROKEN, HELD, Client, ClosedError, Deployment, has_trouble, run
from standins.members import Member

READERS = 24
WRITERS = 3
DEAF_S = 5.0  # for so long one replica receives nothing
CRASH_S = 2.0  # after the start of that, the primary crashes
DOWN_S = 7.0  # for so long the primary is down


async def write(deployment: Deployment, number: int, stopped: asyncio.Event) -> None:
    """Write ever higher numbers to an item."""
    gateway = deployment.gateways[number]
    client: Client | None = None
    count = 0
    while not stopped.is_set():
        count += 1
        try:
            if client is None:
                client = Client(deployment.record, gateway.host, gateway.port, "u3f1-primary")
                await client.connect()
            await client.query(f"WRITE w{number} {count}")
        except (ClosedError, OSError):
            client = None
        await asyncio.sleep(0.05)


async def read(deployment: Deployment, number: int, stopped: asyncio.Event) -> None:
    """Read one item after the other."""
    gateway = deployment.gateways[number % len(deployment.gateways)]
    client: Client | None = None
    while not stopped.is_set():
        try:
            if client is None:
                client = Client(deployment.record, gateway.host, gateway.port, "u3f1-bounded")
                await client.connect()
            await client.query("READ w0")
        except (ClosedError, OSError):
            client = None
        await asyncio.sleep(0.002)


def find_lost(lines: list[dict[str, Any]]) -> list[tuple[str, str]]:
    """Return acknowledged writes that the log of the promoted member lacked when it was promoted."""
    sent = {one["request"]: one["text"] for one in lines if one["event"] == "sent"}
    leads_s = next((one["s"] for one in lines if one["event"] == "leads"), None)
    if leads_s is None:
        return []
    led = next(one["log"] for one in lines if one["event"] == "leads")
    return [
        (one["request"], sent[one["request"]])
        for one in lines
        if one["event"] == "answered"
        and one["s"] < leads_s
        and sent[one["request"]].startswith("WRITE")
        and one["answer"][0].startswith("COMPLETE")
        and sent[one["request"]].removeprefix("WRITE ") not in led
    ]


async def start_again(deployment: Deployment, member: Member) -> None:
    """Let a crashed primary come back, as a replica if another member was promoted."""
    leader = max(deployment.members.values(), key=lambda one: (one.term, one.primary))
    if leader is not member:
        member.follow(leader)
    await member.start()
    deployment.record("member_started", member=member.id, primary=member.primary)


async def play(deployment: Deployment) -> int:
    """Let a replica receive nothing for a while; the primary crashes meanwhile."""
    deployment.sync_replicas = 1
    await deployment.start()
    for member in deployment.members.values():
        member.refuses_status = True
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(write(deployment, one, stopped)) for one in range(WRITERS)]
    tasks += [loop.create_task(read(deployment, one, stopped)) for one in range(READERS)]
    await asyncio.sleep(4.0)
    primary, _, deaf = deployment.members.values()
    if has_trouble():
        deaf.deaf = True
        deployment.record("deaf", member=deaf.id, position=deaf.position())
        await asyncio.sleep(CRASH_S)
        primary.crash()
        deployment.record("member_crashed", member=primary.id, position=primary.position())
        await asyncio.sleep(DEAF_S - CRASH_S)
        deaf.deaf = False
        await asyncio.sleep(DOWN_S - (DEAF_S - CRASH_S))
        await start_again(deployment, primary)
    await asyncio.sleep(3.0)
    stopped.set()
    await asyncio.wait(tasks, timeout=5.0)
    lost = find_lost(deployment.record.events)
    print(f"acknowledged writes that the promoted member lacks: {len(lost)}; {lost[:4]}")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    sys.exit(run(Path(__file__).parent, play, min_answers=500))
