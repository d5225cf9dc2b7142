"""Commands `ticket in-force` and `ticket list`."""

import asyncio
from typing import Any

from result import Err, Result

from burdockrun_control.const import (
    EXIT_DONE,
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
    IN_FORCE_POLL_INTERVAL_MS,
)
from burdockrun_control.output import Output, format_time
from burdockrun_control.store_reader import StoreReader


async def async_run_in_force(reader: StoreReader, output: Output, number: int | None) -> int:
    """Show the ticket in force in each failure domain.

    The exit status is 1 unless ticket `number`, by default the last accepted one, is in force in
    every domain.
    """
    domains = await reader.async_list_in_force()
    if isinstance(domains, Err):
        output.write_unreachable(domains.err_value)
        return EXIT_UNREACHABLE
    expected_number = number
    if expected_number is None:
        last_number = await reader.async_find_last_number()
        if isinstance(last_number, Err):
            output.write_unreachable(last_number.err_value)
            return EXIT_UNREACHABLE
        expected_number = last_number.ok_value
    return _show_in_force(domains.ok_value, expected_number, output)


def _show_in_force(domains: dict[str, dict[str, Any]], expected_number: int, output: Output) -> int:
    numbers = {domain: get_number(value) for domain, value in domains.items()}
    is_in_force = bool(numbers) and all(number >= expected_number for number in numbers.values())
    lines = [_describe_domain(domain, value) for domain, value in domains.items()]
    state = "in force" if is_in_force else "not in force"
    where = "in every domain" if numbers else "because no domain has reported"
    output.write(
        "\n".join([*lines, f"ticket {expected_number} is {state} {where}"]),
        {"result": state, "ticket": expected_number, "domains": domains},
    )
    return EXIT_DONE if is_in_force else EXIT_REFUSED


def _describe_domain(domain: str, value: dict[str, Any]) -> str:
    if not value:
        return f"{domain}: has not reported"
    return f"{domain}: ticket {get_number(value)} since {format_time(value.get('at_ms'))}"


async def async_wait_in_force(
    reader: StoreReader, output: Output, number: int, wait_ms: int
) -> int:
    """Wait until a ticket is in force in every domain, at most `wait_ms`; then show the domains."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + wait_ms / 1_000
    while loop.time() < deadline_s:
        if _is_in_force(await reader.async_list_in_force(), number):
            break
        await asyncio.sleep(IN_FORCE_POLL_INTERVAL_MS / 1_000)
    return await async_run_in_force(reader, output, number)


def _is_in_force(domains: Result[dict[str, dict[str, Any]], str], number: int) -> bool:
    if isinstance(domains, Err) or not domains.ok_value:
        return False
    return all(get_number(value) >= number for value in domains.ok_value.values())


async def async_run_list(reader: StoreReader, output: Output, last: int) -> int:
    """List the last accepted tickets, the newest first."""
    tickets = await reader.async_list_last_tickets(last)
    if isinstance(tickets, Err):
        output.write_unreachable(tickets.err_value)
        return EXIT_UNREACHABLE
    for number in sorted(tickets.ok_value, reverse=True)[:last]:
        ticket = tickets.ok_value[number]
        services = ticket.get("services")
        names = list(services) if isinstance(services, dict) else []
        output.write(
            f"{number}: {ticket.get('author')}: {ticket.get('reason')} ({', '.join(names)})",
            {
                "number": number,
                "author": ticket.get("author"),
                "reason": ticket.get("reason"),
                "services": names,
            },
        )
    return EXIT_DONE


def get_number(value: dict[str, Any]) -> int:
    """Return the ticket number in the value of an `in_force` key, or 0."""
    number = value.get("number")
    return number if isinstance(number, int) else 0
