"""JSON encoding of values in the shared store, and of the copies that nodes exchange."""

import json
import zlib
from base64 import b64decode, b64encode
from functools import lru_cache
from typing import Final

import msgspec
from burdockrun_base import LogPosition, shorten_reason
from burdockrun_groups import GroupRecord, MemberProcess, NodeEntry, Suspicion
from result import Err, Ok, Result

from burdockrun_gateway.decoding import Count, Port, decode_json, is_host_address
from burdockrun_gateway.ports import HistoryGap, Item, Listing, SharedPosition

# Values of at least this size are compressed for other nodes. A configuration of 20 KB that a copy
# source sends to 21 followers takes 0.45 s of a link of 10 Mbit/s, and less than a third of that
# compressed. Smaller values compress little.
MIN_COMPRESSED_BYTES: Final = 1_024
# Largest value of the store.
MAX_VALUE_BYTES: Final = 1_048_576
# Values that change often are small; of the large ones only the configuration is sent repeatedly.
CACHED_VALUES: Final = 8


class _GroupFields(msgspec.Struct):
    primary: str
    epoch: Count
    previous: str
    held_term: Count
    promoted: bool
    ending: bool
    floor: tuple[Count, Count] | None
    era: Count = 0
    continues: str = ""
    complete: bool = False
    unheard: tuple[str, ...] = ()
    acknowledging: tuple[tuple[str, Count], ...] = ()


class _NodeFields(msgspec.Struct):
    node: str
    domain: str
    host: str
    port: Port
    copy_port: Port = 0
    leaving: bool = False


class _AckFields(msgspec.Struct):
    epoch: Count
    era: Count = 0


class _SuspicionFields(msgspec.Struct):
    node: str
    service: str
    member: str


class _ItemFields(msgspec.Struct, array_like=True):
    key: str
    revision: Count
    created: Count
    value: str | None
    compressed: bool = False


class _PositionFields(msgspec.Struct, array_like=True):
    service: str
    epoch: str
    term: Count
    index: Count
    age_ms: Count


class _ListingFields(msgspec.Struct):
    items: list[_ItemFields]
    as_of: Count
    age_ms: Count
    complete: bool
    era: Count = 0
    positions: list[_PositionFields] = []
    gap: tuple[Count, Count] | None = None


def dump_group(record: GroupRecord) -> bytes:
    """Encode a group record."""
    return json.dumps(
        {
            "primary": record.primary,
            "epoch": record.epoch,
            "era": record.era,
            "previous": record.previous,
            "held_term": record.held_term,
            "promoted": record.promoted,
            "complete": record.complete,
            "ending": record.ending,
            "continues": record.continues,
            "unheard": record.unheard,
            "acknowledging": record.acknowledging,
            "floor": [record.floor.term, record.floor.index] if record.floor else None,
        }
    ).encode()


def load_group(service: str, value: bytes) -> Result[GroupRecord, str]:
    """Decode the group record of a service."""
    return decode_json(value, _GroupFields).map(
        lambda fields: GroupRecord(
            service=service,
            primary=fields.primary,
            epoch=fields.epoch,
            era=fields.era,
            previous=fields.previous,
            held_term=fields.held_term,
            promoted=fields.promoted,
            complete=fields.complete,
            ending=fields.ending,
            floor=_build_position(fields.floor),
            continues=fields.continues,
            unheard=fields.unheard,
            acknowledging=tuple(MemberProcess(*process) for process in fields.acknowledging),
        )
    )


def dump_node(entry: NodeEntry) -> bytes:
    """Encode the registration of a node."""
    return json.dumps(
        {
            "node": entry.node,
            "domain": entry.domain,
            "host": entry.host,
            "port": entry.port,
            "copy_port": entry.copy_port,
            "leaving": entry.leaving,
        }
    ).encode()


def load_node(value: bytes) -> Result[NodeEntry, str]:
    """Decode the registration of a node."""
    decoded = decode_json(value, _NodeFields)
    if isinstance(decoded, Err):
        return decoded
    fields = decoded.ok_value
    if (fields.port or fields.copy_port) and not is_host_address(fields.host):
        return Err(shorten_reason(f"host is not an IPv4 address: {fields.host!r}"))
    return Ok(
        NodeEntry(
            node=fields.node,
            domain=fields.domain,
            host=fields.host,
            port=fields.port,
            copy_port=fields.copy_port,
            leaving=fields.leaving,
        )
    )


def dump_ack(version: tuple[int, int]) -> bytes:
    """Encode that a node has stopped using the primary before the record of an era and epoch."""
    era, epoch = version
    return json.dumps({"epoch": epoch, "era": era}).encode()


def load_ack(value: bytes) -> tuple[int, int]:
    """Return the era and epoch that are acknowledged, zeros when they cannot be read."""
    return decode_json(value, _AckFields).map_or((0, 0), lambda fields: (fields.era, fields.epoch))


def dump_suspicion(suspicion: Suspicion) -> bytes:
    """Encode a report that the primary of a service cannot be reached."""
    return json.dumps(
        {"node": suspicion.node, "service": suspicion.service, "member": suspicion.member}
    ).encode()


def load_suspicion(value: bytes) -> Result[Suspicion, str]:
    """Decode a report that the primary of a service cannot be reached."""
    return decode_json(value, _SuspicionFields).map(
        lambda fields: Suspicion(node=fields.node, service=fields.service, member=fields.member)
    )


def dump_listing(listing: Listing) -> bytes:
    """Encode items of the store copy for another node.

    Values are in base64; those that were compressed before have a fifth field, true. A gap is only
    sent if there is one.
    """
    gap = {"gap": [listing.gap.after, listing.gap.until]} if listing.gap is not None else {}
    return json.dumps(
        {
            "as_of": listing.as_of,
            "era": listing.era,
            "age_ms": listing.age_ms,
            "complete": listing.complete,
            "items": [
                [item.key, item.revision, item.created, *_dump_value(item.value)]
                for item in listing.items
            ],
            "positions": [
                [one.service, one.epoch, one.position.term, one.position.index, one.age_ms]
                for one in listing.positions
            ],
            **gap,
        },
        separators=(",", ":"),
    ).encode()


def load_listing(value: bytes) -> Result[Listing, str]:
    """Decode items of the store copy of another node."""
    decoded = decode_json(value, _ListingFields)
    if isinstance(decoded, Err):
        return decoded
    fields = decoded.ok_value
    try:
        items = tuple(_build_item(one) for one in fields.items)
    except (ValueError, zlib.error) as error:
        return Err(shorten_reason(f"value of an item: {error}"))
    return Ok(
        Listing(
            items=items,
            as_of=fields.as_of,
            era=fields.era,
            age_ms=fields.age_ms,
            complete=fields.complete,
            positions=tuple(_build_shared_position(one) for one in fields.positions),
            gap=_build_gap(fields.gap),
        )
    )


def _dump_value(value: bytes | None) -> tuple[str | None] | tuple[str, bool]:
    if value is None:
        return (None,)
    if len(value) < MIN_COMPRESSED_BYTES:
        return (b64encode(value).decode(),)
    return (_compress(value), True)


@lru_cache(maxsize=CACHED_VALUES)
def _compress(value: bytes) -> str:
    return b64encode(zlib.compress(value, zlib.Z_BEST_SPEED)).decode()


def _build_item(fields: _ItemFields) -> Item:
    """Return an item; raises ValueError or zlib.error if its value cannot be decoded."""
    return Item(
        key=fields.key,
        revision=fields.revision,
        created=fields.created,
        value=_load_value(fields.value, compressed=fields.compressed),
    )


def _load_value(text: str | None, *, compressed: bool) -> bytes | None:
    if text is None:
        return None
    value = b64decode(text, validate=True)
    return _decompress(value) if compressed else value


def _decompress(value: bytes) -> bytes:
    """Return a decompressed value; raises ValueError if it is cut off or too large."""
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(value, MAX_VALUE_BYTES + 1)
    if not decompressor.eof or len(decompressed) > MAX_VALUE_BYTES:
        raise ValueError("compressed data is cut off or too large")
    return decompressed


def _build_shared_position(fields: _PositionFields) -> SharedPosition:
    return SharedPosition(
        service=fields.service,
        epoch=fields.epoch,
        position=LogPosition(term=fields.term, index=fields.index),
        age_ms=fields.age_ms,
    )


def _build_position(fields: tuple[int, int] | None) -> LogPosition | None:
    return LogPosition(term=fields[0], index=fields[1]) if fields else None


def _build_gap(fields: tuple[int, int] | None) -> HistoryGap | None:
    return HistoryGap(after=fields[0], until=fields[1]) if fields else None
