"""Command `route`, which shows where a node would send a request now, and why."""

import asyncio
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import urlencode

import aiohttp
from result import Err, Ok, Result

from burdockrun_control.const import EXIT_BAD_INPUT, EXIT_DONE, EXIT_REFUSED, PATH_ROUTE
from burdockrun_control.output import Output
from burdockrun_control.store_reader import parse_object

# Unlike the other commands, whose status for this is 3.
EXIT_NODE_UNREACHABLE: Final = EXIT_REFUSED
STATUS_OK: Final = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteOptions:
    """Request that the node is asked about, and the node; `after` is empty or TERM.NUMBER."""

    node: str
    database: str
    account: str
    kind: str
    item: str
    after: str
    timeout_ms: int


async def async_run_route(
    options: RouteOptions, session: aiohttp.ClientSession, output: Output
) -> int:
    """Show the candidates and the choice; the exit status is 1 when the node does not answer.

    It is 2 when the node refuses the question, as for an unknown database or account.
    """
    names = ("database", "account", "kind", "item", "after")
    fields = {name: value for name in names if (value := getattr(options, name))}
    url = f"http://{options.node}{PATH_ROUTE}?{urlencode(fields)}"
    answer = await _async_get(session, url, options.timeout_ms)
    if isinstance(answer, Err):
        text = f"node {options.node} does not answer: {answer.err_value}"
        output.write(text, {"result": "unreachable", "reason": answer.err_value})
        return EXIT_NODE_UNREACHABLE
    status, record = answer.ok_value
    if status != STATUS_OK:
        error = str(record.get("error", f"HTTP status {status}"))
        output.write(f"the node cannot answer: {error}", {"result": "bad input", "reason": error})
        return EXIT_BAD_INPUT
    output.write("\n".join(describe_route(record)), {"result": "ok", **record})
    return EXIT_DONE


async def _async_get(
    session: aiohttp.ClientSession, url: str, timeout_ms: int
) -> Result[tuple[int, dict[str, Any]], str]:
    try:
        async with asyncio.timeout(timeout_ms / 1_000), session.get(url) as response:
            return Ok((response.status, parse_object(await response.text())))
    except TimeoutError:
        return Err(f"no answer within {timeout_ms} ms")
    except ValueError:
        return Err("the answer is not that of a gateway")
    except (aiohttp.ClientError, OSError) as error:
        # The texts of some errors contain the whole URL.
        return Err(type(error).__name__)


def describe_route(record: dict[str, Any]) -> list[str]:
    """Return an explanation as lines of text."""
    limit, required = record.get("account_limit"), record.get("required_position")
    lines = [
        f"{record.get('kind')} of {record.get('database')} at node {record.get('node')}:"
        f" service {record.get('service')}, freshness {record.get('freshness')},"
        f" rank {record.get('rank')}, target {record.get('target_ms')} ms",
        f"account {record.get('account') or '-'}: "
        + (f"{limit['rate_per_s']}/s, burst {limit['burst']}" if limit else "no limit"),
        f"primary {record.get('primary') or '-'}, known by {record.get('primary_known_by')},"
        f" record {record.get('record_age_ms')} ms old",
        (
            f"a replica must have applied {required['position']}, known for {required['age_ms']} ms"
            if required
            else "no position is known that a replica could be measured by"
        ),
    ]
    for member in record.get("candidates", ()):
        lines += _describe_member(member)
    if record.get("refusal"):
        lines.append(f"refused: {record['refusal']}; retry after {record.get('retry_after_ms')} ms")
    else:
        lines.append(f"goes to {record.get('choice')}")
    return lines


def _describe_member(member: dict[str, Any]) -> list[str]:
    home = f", through {member['home']}" if member.get("home") else ""
    mark = "*" if member.get("chosen") else " "
    return [
        f"{mark} {member.get('member')} ({member.get('role')} in {member.get('domain')}{home}):"
        f" position {member.get('position') or '-'}, last answer {member.get('answer_age_ms')} ms"
        f" ago, expected {member.get('expected_ms')} ms, wait {member.get('expected_wait_ms')} ms",
        *(f"    + {text}" for text in member.get("for", ())),
        *(f"    - {text}" for text in member.get("against", ())),
    ]
