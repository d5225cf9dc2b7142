"""Command `status`, which shows the state of one proxy."""

import asyncio
import json
from typing import Any

import aiohttp
from result import Err, Ok, Result

from burdockrun_control.const import (
    EXIT_DONE,
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
    PATH_HEALTH,
    PATH_STATUS,
)
from burdockrun_control.output import Output
from burdockrun_control.store_reader import parse_object


async def async_run_status(
    proxy: str, session: aiohttp.ClientSession, timeout_ms: int, output: Output
) -> int:
    """Show health and status of a proxy; the exit status is 1 when it is not ready."""
    health = await _async_get(session, f"http://{proxy}{PATH_HEALTH}", timeout_ms)
    if isinstance(health, Err):
        text = f"proxy {proxy} does not answer: {health.err_value}"
        output.write(text, {"result": "unreachable", "reason": health.err_value})
        return EXIT_UNREACHABLE
    status = await _async_get(session, f"http://{proxy}{PATH_STATUS}", timeout_ms)
    http_status, state = health.ok_value
    details = status.ok_value[1] if isinstance(status, Ok) else {}
    record = {"health": state, "status": details}
    output.write("\n".join(_describe(record)), {"result": "ok", **record})
    return EXIT_DONE if http_status == 200 else EXIT_REFUSED


async def _async_get(
    session: aiohttp.ClientSession, url: str, timeout_ms: int
) -> Result[tuple[int, dict[str, Any]], str]:
    try:
        async with asyncio.timeout(timeout_ms / 1_000), session.get(url) as response:
            body = await response.text()
            return Ok((response.status, parse_object(body)))
    except TimeoutError:
        return Err(f"no answer within {timeout_ms} ms")
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return Err(str(error) or type(error).__name__)


def _describe(value: Any, path: str = "") -> list[str]:
    """Return one line for each value, with its key path."""
    if isinstance(value, dict) and value:
        return [
            line
            for key, item in value.items()
            for line in _describe(item, f"{path}.{key}" if path else str(key))
        ]
    return [f"{path}: {value if isinstance(value, str) else json.dumps(value)}"]
