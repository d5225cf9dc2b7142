"""A member fails a BEGIN; the write that was sent behind it is committed without its transaction."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.deployment import BROKEN, HELD, Client, ClosedError, Deployment, has_trouble, run

CLIENTS = 6
GREY_SHARE = 0.4
GREY_S = 5.0
PAUSE_S = 0.02


async def use_transactions(deployment: Deployment, number: int, stopped: asyncio.Event) -> None:
    """Run transactions that write and commit; roll back after an error."""
    gateway = deployment.gateways[number % len(deployment.gateways)]
    client: Client | None = None
    count = 0
    while not stopped.is_set():
        count += 1
        try:
            if client is None:
                client = Client(deployment.record, gateway.host, gateway.port, "u3f1-primary")
                await client.connect()
            for text in ("BEGIN", f"WRITE c{number} {count}", f"READ c{number}", "COMMIT"):
                await asyncio.sleep(PAUSE_S)
                _, lines = await client.query(text)
                if any(line.startswith("ERROR") for line in lines):
                    if client.state != "I":
                        await client.query("ROLLBACK")
                    break
        except (ClosedError, OSError):
            client = None


def find_unasked(case: Path) -> list[tuple[str, float, str]]:
    """Return committed writes of transactions whose clients never sent COMMIT."""
    lines = [json.loads(line) for line in (case / "record.txt").open()]
    asked: set[str] = set()
    written: dict[str, list[str]] = {}
    for one in lines:
        if one["event"] != "sent":
            continue
        session, text = one["request"][:6], one["text"]
        if text == "BEGIN":
            written[session] = []
        elif text.startswith("WRITE "):
            written[session].append(text.removeprefix("WRITE "))
        elif text == "COMMIT":
            asked.update(written[session])
    return [
        (one["member"], one["s"], f"{name} {data}")
        for one in lines
        if one["event"] == "committed"
        for name, data in one["items"].items()
        if f"{name} {data}" not in asked
    ]


async def play(deployment: Deployment) -> int:
    """Let the primary fail part of its requests for a while."""
    await deployment.start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(use_transactions(deployment, one, stopped)) for one in range(CLIENTS)]
    await asyncio.sleep(4.0)
    primary = next(iter(deployment.members.values()))
    if has_trouble():
        primary.grey = GREY_SHARE
        deployment.record("grey", member=primary.id, share=GREY_SHARE)
        await asyncio.sleep(GREY_S)
        primary.grey = 0.0
    await asyncio.sleep(4.0)
    stopped.set()
    await asyncio.wait(tasks, timeout=5.0)
    deployment.record.flush()
    unasked = find_unasked(Path(__file__).parent)
    print(f"committed writes whose COMMIT no client sent: {len(unasked)}; the first: {unasked[:4]}")
    return BROKEN if unasked else HELD


if __name__ == "__main__":
    sys.exit(run(Path(__file__).parent, play))
