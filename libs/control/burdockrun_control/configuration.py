"""Reads the current configuration: the last snapshot and the tickets after it."""

from dataclasses import replace

from burdockrun_fleet import SnapshotHead, find_ticket_number, snapshot_key, ticket_key
from burdockrun_messages import Configuration, GetKey, KeyEntry, PlatformFailure, decode_message
from burdockrun_settings import apply_ticket_text, configuration_from_json
from result import Err, Ok, Result

from burdockrun_control.const import CALL_TIMEOUT_MS, KEY_SNAPSHOT_HEAD, KEY_TICKETS
from burdockrun_control.store_reader import PlatformCaller, StoreReader


class ConfigurationReader:
    """Builds the configuration as a starting proxy does."""

    def __init__(self, platform: PlatformCaller) -> None:
        self._platform = platform
        self._reader = StoreReader(platform)

    async def async_read(self) -> Result[Configuration, str]:
        """Return the configuration after the last accepted ticket."""
        snapshot = await self._async_read_snapshot()
        if isinstance(snapshot, Err):
            return snapshot
        configuration = snapshot.ok_value
        start_after = ticket_key(configuration.number)
        entries = await self._reader.async_list(KEY_TICKETS, start_after)
        if isinstance(entries, Err):
            return entries
        for entry in entries.ok_value:
            number = find_ticket_number(entry.key)
            if number is None:
                continue
            # As on the proxies, an unreadable ticket changes only the number.
            changed = apply_ticket_text(configuration, entry.value).unwrap_or(configuration)
            configuration = replace(changed, number=number)
        return Ok(configuration)

    async def _async_read_snapshot(self) -> Result[Configuration, str]:
        text = await self._async_get(KEY_SNAPSHOT_HEAD)
        if isinstance(text, Err):
            return text
        if not text.ok_value:
            return Ok(Configuration())
        head = decode_message(SnapshotHead, text.ok_value)
        if isinstance(head, Err):
            return Err(f"{KEY_SNAPSHOT_HEAD} cannot be read: {head.err_value}")
        parts = []
        for shard in range(head.ok_value.shards):
            part = await self._async_get(snapshot_key(head.ok_value.number, shard))
            if isinstance(part, Err):
                return part
            parts.append(part.ok_value)
        return configuration_from_json("".join(parts))

    async def _async_get(self, key: str) -> Result[str, str]:
        reply = await self._platform.async_call(GetKey(key=key), CALL_TIMEOUT_MS)
        if isinstance(reply, PlatformFailure):
            return Err(reply.reason)
        if not isinstance(reply, KeyEntry):
            return Err(f"unexpected reply {type(reply).__name__}")
        return Ok(reply.value)
