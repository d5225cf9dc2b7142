"""LOST: a synchronous group promotes a replica without a commit that was acknowledged."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

from world import Client, World, run  # noqa: E402

CALM_S, CUT_S = 13.0, 12.0


async def main(trouble):
    world = World(FOLDER, synchronous=True, receive_s=(0.15, 0.6))
    acknowledged, lost = {}, []
    running = True

    def check(member):
        known = {entry[2] for entry in member.log}
        missing = [one for one in acknowledged if one not in known]
        lost.extend(missing)
        world.record.write(f"check: {member.id} lacks {len(missing)} of {len(acknowledged)} acknowledged commits: {missing}")

    async def write(client, number):
        while running:
            request, _, lines = await client.ask(f"WRITE item{number} {number}")
            if any(line.startswith("COMPLETE") for line in lines):
                acknowledged[request] = world.record.now()
            else:
                await asyncio.sleep(0.2)

    try:
        await world.start()
        world.on_promoted = check
        hosts = [host for host, _ in world.gateways]
        writers = [asyncio.create_task(write(Client(world, hosts[n % 3], f"w{n}"), n)) for n in range(9)]
        await asyncio.sleep(CALM_S)
        if trouble:
            primary = world.members[0]
            ahead = max(world.members[1:], key=lambda one: len(one.log))
            world.record.write(f"trouble: {primary.id} and {ahead.id} are partitioned from all machines for {CUT_S} s")
            primary.set_dark(True)
            ahead.set_dark(True)
        await asyncio.sleep(CUT_S)
        if trouble:
            primary.set_dark(False)
            ahead.set_dark(False)
            world.record.write("trouble: the partition ends")
        await asyncio.sleep(4.0)
        running = False
        await asyncio.gather(*writers)
        if len(acknowledged) < 100:
            world.record.write("too few writes were acknowledged")
            return 2
        text = f"{len(acknowledged)} commits acknowledged, {len(lost)} of them not in the log of the promoted member"
        world.record.write(text)
        print(text)
        return 1 if lost else 0
    finally:
        world.stop()


run(main)
