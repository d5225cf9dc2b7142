"""ONE: writes are committed at the old primary after a promote, and acknowledged."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

from world import Client, World, run  # noqa: E402

# Commits this soon after a promote are not counted.
MARGIN_S = 0.05
CALM_S, AWAY_S, CUT_S, REPLICAS_AFTER_S, REPLICAS_DOWN_S = 4.0, 9.0, 5.0, 0.1, 0.35
# The node without the store asks the members every 0.5 s. The pause, about 0.77 s after the cut, comes
# some time after one of these questions.
LEAST_AWAY_S, CUT_AFTER_QUESTION_S = 2.6, 0.4


async def main(trouble):
    world = World(FOLDER, receive_s=(0.008, 0.6))
    acknowledged, promoted = set(), []
    running = True

    async def write(client, number):
        while running:
            request, _, lines = await client.ask(f"WRITE item{number} {number}")
            if any(line.startswith("COMPLETE") for line in lines):
                acknowledged.add(request)
            await asyncio.sleep(0.01)

    try:
        await world.start(gateways=4)
        world.on_promoted = lambda member: promoted.append((world.record.now(), member))
        hosts = [host for host, _ in world.gateways]
        tasks = [asyncio.create_task(write(Client(world, hosts[n % 4], f"w{n}"), n)) for n in range(12)]
        await asyncio.sleep(CALM_S)
        if trouble:
            # The holder of the promotion lease wrote last under a condition. It and one other node lose the
            # primary, a third one the store; the fourth is sound.
            holder = world.store.last_writer
            other, away, _ = (index for index in range(4) if index != holder)
            node = world.nodes[away]
            world.record.write(f"trouble: the store turns {node} away for {AWAY_S} s (503)")
            world.store.turned_away.add(away)
            away_since = world.record.now()
            await asyncio.sleep(LEAST_AWAY_S)
            primary, *replicas = world.members
            asked = asyncio.Event()
            primary.on_control = lambda caller, word: asked.set() if caller == node else None
            async with asyncio.timeout(3.0):
                await asked.wait()
            await asyncio.sleep(CUT_AFTER_QUESTION_S)
            paused = asyncio.Event()
            for one in replicas:
                one.on_pause = paused.set
            primary.cut_callers = {world.nodes[holder], world.nodes[other]}
            world.record.write(f"trouble: {primary.id} is partitioned from {sorted(primary.cut_callers)} for {CUT_S} s")
            async with asyncio.timeout(3.0):
                await paused.wait()
            for one in replicas:
                one.on_pause = lambda: None
            await asyncio.sleep(REPLICAS_AFTER_S)
            world.record.write(f"trouble: the replicas crash for {REPLICAS_DOWN_S} s")
            await asyncio.gather(*(one.crash(REPLICAS_DOWN_S, keeps_log=False) for one in replicas))
            world.record.write("trouble: the replicas are back, and receive the log")
            await asyncio.sleep(CUT_S - 1.5)
            primary.cut_callers = set()
            await asyncio.sleep(max(0.0, away_since + AWAY_S - world.record.now()))
            world.store.turned_away.clear()
        await asyncio.sleep(4.0)
        running = False
        await asyncio.gather(*tasks)
        if len(acknowledged) < 100:
            return 2
        wrong = []
        for at, member in promoted:
            wrong += [
                (request, other.id, when - at)
                for request, (other, when) in world.commits.items()
                if request in acknowledged and other is not member and when > at + MARGIN_S
                and not any(later > at and one is other and later < when for later, one in promoted)
            ]
        for request, member_id, late_s in wrong:
            world.record.write(f"check: {request} was committed at {member_id} {late_s:.3f} s after the promote, and acknowledged")
        kept = {entry[2] for entry in max((one for one in world.members if one.primary), key=lambda one: one.term).log}
        text = (
            f"{len(acknowledged)} writes acknowledged, {len(wrong)} of them committed at the old primary after a promote,"
            f" {sum(one[0] not in kept for one in wrong)} of these not in the log at the end"
        )
        world.record.write(text)
        print(text)
        return int(bool(wrong))
    finally:
        world.stop()


run(main)
