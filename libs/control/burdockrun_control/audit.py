"""Command `audit`, which shows the audit trail of all failure domains."""

import asyncio
import json
from collections.abc import Iterable
from typing import Any

from burdockrun_messages import KeyEntry
from result import Err, Ok, Result

from burdockrun_control.const import AUDIT_POLL_INTERVAL_MS, EXIT_DONE, EXIT_UNREACHABLE
from burdockrun_control.output import Output, format_time
from burdockrun_control.store_reader import StoreReader


class AuditReader:
    """Reads the audit trail; each read returns only the batches added since the last one."""

    def __init__(self, reader: StoreReader) -> None:
        self._reader = reader
        self._last_keys: dict[str, str] = {}

    async def async_read(self) -> Result[list[dict[str, Any]], str]:
        """Return the new records ordered by time."""
        domains = await self._reader.async_list_in_force()
        if isinstance(domains, Err):
            return domains
        records: list[dict[str, Any]] = []
        for domain in domains.ok_value:
            entries = await self._reader.async_list_audit(domain, self._last_keys.get(domain, ""))
            if isinstance(entries, Err):
                return entries
            for entry in entries.ok_value:
                self._last_keys[domain] = entry.key
                records.extend(read_batch(entry, domain))
        return Ok(sorted(records, key=_sort_key))


def read_batch(entry: KeyEntry, domain: str) -> list[dict[str, Any]]:
    """Return the records of a batch, each with its failure domain and its fields in one object.

    An unreadable batch gives one record of kind `unreadable_batch`.
    """
    try:
        batch = json.loads(entry.value)
    except (ValueError, RecursionError):
        batch = None
    if not isinstance(batch, list):
        return [{"domain": domain, "kind": "unreadable_batch", "key": entry.key}]
    return [_flatten(record, domain) for record in batch if isinstance(record, dict)]


def _flatten(record: dict[str, Any], domain: str) -> dict[str, Any]:
    fields = record.get("fields")
    others = {key: value for key, value in record.items() if key != "fields"}
    return {"domain": domain, **others, **(fields if isinstance(fields, dict) else {})}


async def async_run_audit(reader: StoreReader, output: Output, *, follow: bool) -> int:
    """Show the audit trail; with `follow`, also new records until the command is interrupted.

    An error ends the command only before the first successful read; later reads are retried.
    """
    audit = AuditReader(reader)
    has_succeeded = False
    while True:
        records = await audit.async_read()
        if isinstance(records, Ok):
            has_succeeded = True
            _write(records.ok_value, output)
        elif not has_succeeded:
            output.write_unreachable(records.err_value)
            return EXIT_UNREACHABLE
        if not follow:
            return EXIT_DONE
        await asyncio.sleep(AUDIT_POLL_INTERVAL_MS / 1_000)


def _write(records: Iterable[dict[str, Any]], output: Output) -> None:
    for record in records:
        output.write(_describe(record), record)


def _describe(record: dict[str, Any]) -> str:
    """Return a record as one line: time, domain, kind, and the other fields."""
    at = format_time(record.get("at_ms"))
    fields = [
        f"{key}={value}" for key, value in record.items() if key not in ("at_ms", "domain", "kind")
    ]
    return " ".join([at, str(record["domain"]), str(record.get("kind")), *fields])


def _sort_key(record: dict[str, Any]) -> float:
    at_ms = record.get("at_ms", 0)
    return at_ms if isinstance(at_ms, int | float) else 0
