"""A restarted gateway misses the last of several configurations, and writes to the old service."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.deployment import BOUNDS, BROKEN, HELD, Client, ClosedError, Deployment, has_trouble, run

SERVICES = ("lepu27", "huvo11", "kafi81")
DATABASE = "moving"
ROUNDS = 14
VERSIONS = 5
GAP_S = 0.33
KILLED = 2  # of five gateways, one after the other
START_S = 0.66  # from the kill until a gateway reads the store again, about
CONFIRMATIONS_S = (0.5, 3.0)  # when each gateway is asked, after ConfigApplyMs


async def change(deployment: Deployment, round_number: int) -> str:
    """Send configurations in quick succession; the last one moves a database to another service.

    Returns that service.
    """
    for number in range(VERSIONS):
        if number == VERSIONS - 1:
            service = SERVICES[(round_number + 1) % 2]
            deployment.services_by_database[DATABASE] = service
        deployment.databases[f"r{round_number}-{number}"] = "session"
        version = 2 + round_number * VERSIONS + number
        deployment.configure(version)
        deployment.record("configuration", version=version, moves_to=service if number == VERSIONS - 1 else "")
        await asyncio.sleep(GAP_S)
    return service


async def find_misplaced(deployment: Deployment, service: str) -> list[str]:
    """Write through each gateway; return those whose write was run by another service."""
    misplaced = []
    for gateway in deployment.gateways:
        client = Client(deployment.record, gateway.host, gateway.port, DATABASE)
        try:
            async with asyncio.timeout(2.0):
                await client.connect()
                _, lines = await client.query(f"WRITE 1a4 {random.randrange(10**9)}")
            client.close()
        except (ClosedError, OSError, TimeoutError):
            continue
        if not lines[0].startswith("COMPLETE"):
            continue
        member = deployment.members[lines[0].removeprefix("COMPLETE ").split(".")[0]]
        if member.service != service:
            misplaced.append(gateway.name)
            deployment.record(
                "run_by_old_service", node=gateway.name, member=member.id, ran=member.service,
                in_force=service,
            )  # fmt: skip
    return misplaced


async def play(deployment: Deployment) -> int:
    """Change the configuration while gateways are killed and start again."""
    deployment.zones = ("muc-nord",) * 5
    deployment.has_peers = True
    deployment.services = SERVICES
    deployment.databases[DATABASE] = "primary"
    deployment.services_by_database[DATABASE] = SERVICES[0]
    await deployment.start()
    found: list[tuple[int, list[str]]] = []
    for round_number in range(ROUNDS):
        changing = asyncio.get_running_loop().create_task(change(deployment, round_number))
        if has_trouble():
            # They read the store again shortly before the last version comes.
            last_s = GAP_S * (VERSIONS - 1) - START_S
            waited_s = 0.0
            for gateway, early_s in zip(
                random.sample(deployment.gateways, KILLED), (0.45, 0.2), strict=True
            ):
                kill_s = last_s - early_s - random.uniform(0.0, 0.2)
                await asyncio.sleep(max(0.0, kill_s - waited_s))
                waited_s = kill_s
                gateway.kill()
        service = await changing
        await asyncio.sleep(BOUNDS["ConfigApplyMs"] / 1000 + CONFIRMATIONS_S[0])
        if not await find_misplaced(deployment, service):
            continue
        await asyncio.sleep(CONFIRMATIONS_S[1])
        if misplaced := await find_misplaced(deployment, service):
            found.append((round_number, misplaced))
            break
    print(f"writes run by the old service, 6 s after the change was acknowledged: {found}")
    return BROKEN if found else HELD


if __name__ == "__main__":
    sys.exit(run(Path(__file__).parent, play, min_answers=30))
