"""SIGTERM cuts requests of a session that is in use, after they were passed on to a member."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.deployment import BROKEN, HELD, Client, ClosedError, Deployment, has_trouble, run

SESSIONS = 6
THINK_S = 0.005  # between an answer and the next statement
BEFORE_S = 3.0
GRACE_S = 6.0
# A request that was sent this long after SIGTERM is not excused by the member's work.
EXCUSED_S = 3.0


async def use_session(deployment: Deployment, number: int, stopped: asyncio.Event) -> None:
    """Send one statement after the other; connect elsewhere when the session is closed."""
    gateways = deployment.gateways
    client: Client | None = None
    count = 0
    while not stopped.is_set():
        if client is None:
            first = gateways[0] if gateways[0].process.poll() is None else gateways[1]
            client = Client(deployment.record, first.host, first.port, "u3f1-session")
            try:
                await client.connect()
            except (ClosedError, OSError):
                client = None
                await asyncio.sleep(0.05)
                continue
        count += 1
        text = f"WRITE {number}a4 v{count}" if count % 8 == 0 else f"READ {number}a4"
        try:
            await client.query(text)
        except ClosedError:
            client = None
        await asyncio.sleep(THINK_S)


async def play(deployment: Deployment) -> int:
    """Stop one gateway while its sessions are in use, and look for requests without an answer."""
    await deployment.start(work_s=0.015)
    stopped = asyncio.Event()
    sessions = [
        asyncio.get_running_loop().create_task(use_session(deployment, number, stopped))
        for number in range(SESSIONS)
    ]
    await asyncio.sleep(BEFORE_S)
    term_s = deployment.record.now()
    if has_trouble():
        deployment.gateways[0].terminate()
    await asyncio.sleep(GRACE_S + 1.0)
    stopped.set()
    await asyncio.wait(sessions, timeout=5.0)
    lines = deployment.record.events
    sent = {one["request"]: one for one in lines if one["event"] == "sent"}
    arrived = {one["request"] for one in lines if one["event"] == "arrived"}
    cut = []
    for one in lines:
        if one["event"] != "connection_ended" or one["request"] not in arrived:
            continue
        request = sent[one["request"]]
        if request["node"] != deployment.gateways[0].host or any("READY" in x for x in one["answer"]):
            continue
        after_s = request["s"] - term_s
        if EXCUSED_S < after_s and one["s"] - term_s <= GRACE_S + 1.0:
            cut.append((one["request"], round(after_s, 3), round(one["s"] - term_s, 3)))
    answered = sum(one["event"] == "answered" for one in lines)
    print(f"{answered} requests answered; passed on to a member and cut (id, sent, cut): {cut}")
    return BROKEN if cut else HELD


if __name__ == "__main__":
    sys.exit(run(Path(__file__).parent, play, min_answers=500))
