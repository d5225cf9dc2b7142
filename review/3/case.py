"""An entry of another writer under `servers/` that cannot be read ends every gateway."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.deployment import BROKEN, HELD, Client, ClosedError, Deployment, has_trouble, run

DEPTH = 100_000  # the entry has 100 KB, a tenth of what the store accepts
WATCHED_S = 15.0


async def play(deployment: Deployment) -> int:
    """Count how often the gateways end by themselves, and what their clients get."""
    await deployment.start()
    await asyncio.sleep(1.0)
    if has_trouble():
        entry = b'{"Tags":' + b"[" * DEPTH + b"]" * DEPTH + b"}"
        deployment.platform.put("servers/i-77aa01", entry)
        deployment.record("foreign_entry", key="servers/i-77aa01", size=len(entry))
    served = failed = 0
    loop = asyncio.get_running_loop()
    until = loop.time() + WATCHED_S
    while loop.time() < until:
        for gateway in deployment.gateways:
            client = Client(deployment.record, gateway.host, gateway.port, "u3f1-session")
            try:
                async with asyncio.timeout(2.0):
                    await client.connect()
                    await client.query("READ 1a4")
                client.close()
                served += 1
            except (ClosedError, OSError, TimeoutError):
                failed += 1
        await asyncio.sleep(0.2)
    ends = {gateway.name: len(gateway.ends) for gateway in deployment.gateways}
    print(f"processes ended by themselves: {ends}; reads served {served}, failed {failed}")
    return BROKEN if sum(count >= 3 for count in ends.values()) >= 2 else HELD


if __name__ == "__main__":
    sys.exit(run(Path(__file__).parent, play, min_answers=100))
