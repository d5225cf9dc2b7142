"""Reads tickets, domains and audit batches from the platform's store."""

import json
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from burdockrun_fleet import find_ticket_number, read_number, ticket_key
from burdockrun_messages import (
    GetKey,
    KeyEntry,
    KeysReply,
    ListKeys,
    PlatformFailure,
    PlatformOperation,
    PlatformReply,
)
from result import Err, Ok, Result

from burdockrun_control.const import (
    AUDIT_PAGE_KEYS,
    CALL_TIMEOUT_MS,
    KEY_AUDIT,
    KEY_IN_FORCE,
    KEY_ROSTERS,
    KEY_TICKETS,
    KEY_TICKETS_HEAD,
    LIST_PAGE_KEYS,
)


class PlatformCaller(Protocol):
    """Client of the platform."""

    async def async_call(self, operation: PlatformOperation, timeout_ms: int) -> PlatformReply:
        """Return the reply; any error gives `PlatformFailure`."""
        ...


def parse_object(text: str) -> dict[str, Any]:
    """Return the JSON object in a text, or an empty one when there is none."""
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        return {}
    return value if isinstance(value, dict) else {}


class StoreReader:
    """Reads the keys that proxies and submitters write to the store."""

    def __init__(self, platform: PlatformCaller) -> None:
        self._platform = platform

    async def async_list(
        self, prefix: str, start_after: str = "", limit: int = LIST_PAGE_KEYS
    ) -> Result[Sequence[KeyEntry], str]:
        """Return all entries below a prefix, read page by page."""
        entries: list[KeyEntry] = []
        while True:
            reply = await self._platform.async_call(
                ListKeys(prefix=prefix, start_after=start_after, limit=limit),
                CALL_TIMEOUT_MS,
            )
            if isinstance(reply, PlatformFailure):
                return Err(reply.reason)
            if not isinstance(reply, KeysReply):
                return Err(f"unexpected reply {type(reply).__name__}")
            entries.extend(reply.entries)
            if len(reply.entries) < limit:
                return Ok(entries)
            start_after = reply.entries[-1].key

    async def async_list_last_tickets(self, count: int) -> Result[dict[int, dict[str, Any]], str]:
        """Return at least the last `count` accepted tickets that are still stored, by number."""
        head = await self._async_read_head()
        if isinstance(head, Err):
            return head
        # `tickets/head` may be behind the last ticket, never ahead; the list holds newer tickets.
        start_after = ticket_key(max(0, head.ok_value - count))
        entries = await self.async_list(KEY_TICKETS, start_after)
        return entries.map(lambda found: _index_entries(found, find_ticket_number))

    async def async_find_last_number(self) -> Result[int, str]:
        """Return the number of the last accepted ticket, 0 when there is none."""
        tickets = await self.async_list_last_tickets(1)
        return tickets.map(lambda found: max(found, default=0))

    async def _async_read_head(self) -> Result[int, str]:
        reply = await self._platform.async_call(GetKey(key=KEY_TICKETS_HEAD), CALL_TIMEOUT_MS)
        if isinstance(reply, PlatformFailure):
            return Err(reply.reason)
        if not isinstance(reply, KeyEntry):
            return Err(f"unexpected reply {type(reply).__name__}")
        return Ok(read_number(reply.value) or 0)

    async def async_list_in_force(self) -> Result[dict[str, dict[str, Any]], str]:
        """Return the value of the `in_force` key of each failure domain.

        A domain that has nodes but has not reported has an empty value. A domain without nodes is
        left out.
        """
        rosters = await self._async_list_values(KEY_ROSTERS)
        if isinstance(rosters, Err):
            return rosters
        reports = await self._async_list_values(KEY_IN_FORCE)
        if isinstance(reports, Err):
            return reports
        domains: dict[str, dict[str, Any]] = {
            domain: {} for domain, roster in rosters.ok_value.items() if roster.get("nodes")
        }
        without_nodes = rosters.ok_value.keys() - domains.keys()
        reported = {
            domain: value
            for domain, value in reports.ok_value.items()
            if domain not in without_nodes
        }
        return Ok(dict(sorted({**domains, **reported}.items())))

    async def _async_list_values(self, prefix: str) -> Result[dict[str, dict[str, Any]], str]:
        entries = await self.async_list(prefix)
        return entries.map(lambda found: _index_entries(found, lambda key: key[len(prefix) :]))

    async def async_list_audit(
        self, domain: str, start_after: str
    ) -> Result[Sequence[KeyEntry], str]:
        """Return the audit batches of a failure domain after the key `start_after`, in order."""
        return await self.async_list(f"{KEY_AUDIT}{domain}/", start_after, AUDIT_PAGE_KEYS)


def _index_entries(
    entries: Sequence[KeyEntry], get_name: Callable[[str], Any]
) -> dict[Any, dict[str, Any]]:
    named = ((get_name(entry.key), entry.value) for entry in entries)
    return {name: parse_object(value) for name, value in named if name is not None}
