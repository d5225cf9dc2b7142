"""STALE: reads run at a successor that never leads, and miss acknowledged commits that stay."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

from world import Client, World, run  # noqa: E402

CALM_S, CRASH_AFTER_S, CRASH_S, AFTER_S = 4.0, 0.5, 1.5, 10.0


async def main(trouble):
    world = World(FOLDER)
    acknowledged, suspects = {}, []
    running = True

    def check(member, session, request, word, item):
        if word != "READ" or request not in world.sent_at:
            return
        known = {entry[2] for entry in member.log}
        missing = [one for one, at in acknowledged.items() if at < world.sent_at[request] and one not in known]
        if missing:
            suspects.append((request, member.id, missing))

    async def write(client, number):
        while running:
            request, _, lines = await client.ask(f"WRITE item{number} {number}")
            if any(line.startswith("COMPLETE") for line in lines):
                acknowledged[request] = world.record.now()
            await asyncio.sleep(0.05)

    async def read(client, number):
        while running:
            await client.ask(f"READ item{number}")
            await asyncio.sleep(0.05)

    async def disturb(successor):
        await asyncio.sleep(CRASH_AFTER_S)
        world.record.write(f"trouble: {successor.id} crashes for {CRASH_S} s")
        crash = asyncio.create_task(successor.crash(CRASH_S, keeps_log=False))
        primary.cut_store = primary.cut_members = False
        world.record.write(f"trouble: the partition of {primary.id} ends")
        primary.beat()
        await crash

    try:
        await world.start()
        primary = world.members[0]
        for member in world.members:
            member.on_run = check
        hosts = [host for host, _ in world.gateways]
        tasks = [asyncio.create_task(write(Client(world, hosts[n % 3], f"w{n}"), n)) for n in range(3)]
        tasks += [asyncio.create_task(read(Client(world, hosts[n % 3], f"r{n}"), n)) for n in range(3)]
        await asyncio.sleep(CALM_S)
        ordered = asyncio.Event()
        if trouble:

            def note(member):
                if not ordered.is_set():
                    ordered.set()
                    world.tasks.append(asyncio.create_task(disturb(member)))

            world.on_ordered = note
            world.record.write(f"trouble: {primary.id} is partitioned from the store and its replicas")
            primary.cut_store = primary.cut_members = True
            async with asyncio.timeout(20):
                await ordered.wait()
        await asyncio.sleep(AFTER_S)
        running = False
        await asyncio.gather(*tasks)
        if len(acknowledged) < 50:
            return 2
        leader = max((one for one in world.members if one.primary), key=lambda one: one.term)
        kept = {entry[2] for entry in leader.log}
        stale = [(r, m, [one for one in missing if one in kept]) for r, m, missing in suspects]
        stale = [one for one in stale if one[2]]
        for request, member_id, missing in stale:
            world.record.write(f"check: read {request} ran at {member_id} without {len(missing)} commits, first {missing[0]}")
        text = (
            f"{len(acknowledged)} commits acknowledged, {len(stale)} reads ran without commits that were acknowledged before"
            f" and that {leader.id}, the primary at the end, has"
        )
        world.record.write(text)
        print(text)
        return 1 if stale else 0
    finally:
        world.stop()


run(main)
