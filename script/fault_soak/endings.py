"""What happens to all nodes at once when the other faults have ended."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Final

from script.fault_soak.checks import RECOVERY_S
from script.fault_soak.deployment import Deployment, async_wait_until
from script.fault_soak.faults import QUIET_S
from script.fault_soak.journal import Outage

# Time in which requests are counted once the nodes must have recovered.
COUNTED_S: Final = 4.0
Ending = Callable[[Deployment], Awaitable[None]]
ENDINGS: dict[str, Ending] = {}


def ending(name: str) -> Callable[[Ending], Ending]:
    """Register an ending."""

    def register(function: Ending) -> Ending:
        ENDINGS[name] = function
        return function

    return register


@ending("none")
async def async_end_quietly(deployment: Deployment) -> None:
    """Do nothing more."""


@ending("stop_all")
async def async_stop_all(deployment: Deployment) -> None:
    """Send SIGTERM to all nodes at once."""
    await asyncio.sleep(QUIET_S)
    deployment.end_fault(deployment.begin_fault("stop_all", planned=True))
    await _async_end_all(deployment, signal.SIGTERM)


@ending("kill_all")
async def async_kill_all(deployment: Deployment) -> None:
    """Kill all nodes right after a configuration was acknowledged."""
    added = f"added{deployment.version + 1}"
    deployment.databases[added] = "session"
    noted = deployment.begin_fault("kill_all")
    deployment.configure()
    await _async_end_all(deployment, signal.SIGKILL)
    deployment.end_fault(noted)
    await deployment.async_check_route(added)


async def _async_end_all(deployment: Deployment, number: signal.Signals) -> None:
    """Send a signal to all nodes, and wait until they are back and have recovered."""
    at_s = deployment.journal.now()
    lives = {one.name: one.life for one in deployment.gateways}
    for gateway in deployment.gateways:
        gateway.send(number)
    await async_wait_until(lambda: all(one.life > lives[one.name] for one in deployment.gateways))
    deployment.journal.outages.append(Outage(at_s=at_s, back_s=deployment.journal.now()))
    await asyncio.sleep(RECOVERY_S + COUNTED_S)
