"""A primary is replaced as planned; writes of transactions are committed by themselves."""

import asyncio
import sys
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.deployment import BROKEN, HELD, Client, ClosedError, Deployment, has_trouble, run

CLIENTS = 24
DRAIN_S = 7.5  # DrainMs and a little longer
PAUSE_S = 0.02


async def use_transactions(deployment: Deployment, number: int, stopped: asyncio.Event) -> None:
    """Run transactions that write and commit; after an error roll back and go on."""
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


def find_faults(lines: list[dict[str, Any]]) -> tuple[list[tuple[str, float]], list[tuple[str, int]]]:
    """Return committed writes whose COMMIT no client sent, and writes committed more than once."""
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
    committed: Counter[str] = Counter()
    unasked = []
    for one in lines:
        if one["event"] != "committed":
            continue
        for name, data in one["items"].items():
            committed[f"{name} {data}"] += 1
            if f"{name} {data}" not in asked:
                unasked.append((f"{name} {data}", one["s"]))
    return unasked, [(text, count) for text, count in committed.items() if count > 1]


async def play(deployment: Deployment) -> int:
    """Replace the primary while clients run transactions."""
    await deployment.start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(use_transactions(deployment, one, stopped)) for one in range(CLIENTS)]
    await asyncio.sleep(3.0)
    if has_trouble():
        await deployment.release_primary("i-3a7f3c3", DRAIN_S)
    else:
        await asyncio.sleep(1.0 + DRAIN_S)
    await asyncio.sleep(1.0)
    stopped.set()
    await asyncio.wait(tasks, timeout=5.0)
    unasked, twice = find_faults(deployment.record.events)
    print(f"committed twice: {twice}; committed, though no client sent COMMIT: {unasked}")
    return BROKEN if unasked or twice else HELD


if __name__ == "__main__":
    sys.exit(run(Path(__file__).parent, play, min_answers=500))
