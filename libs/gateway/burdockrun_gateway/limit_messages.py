"""JSON encoding of the messages between enforcers and owners of limits."""

from collections.abc import Callable, Sequence
from operator import attrgetter
from typing import Any, Final, TypeVar

import msgspec
from burdockrun_limits import (
    AccountAsk,
    AccountGrant,
    Ask,
    Grant,
    Held,
    HeldShare,
    Message,
    Query,
)
from result import Err

from burdockrun_gateway.decoding import Amount, Count, decode_json

# Datagrams of this size are not fragmented in any network of the users.
MAX_DATAGRAM_BYTES: Final = 1_200
# Space for what surrounds the parts about single accounts: names of a node and fields, numbers.
ENVELOPE_BYTES: Final = 300

Part = TypeVar("Part", AccountAsk, AccountGrant, HeldShare)
M = TypeVar("M", Ask, Grant, Query, Held)


class _Ask(msgspec.Struct):
    node: str
    process: Count
    number: Count
    accounts: list[tuple[str, Amount, Count, Amount, Count, Amount, Amount, Count, Amount]]


class _Grant(msgspec.Struct):
    node: str
    process: Count
    to_process: Count
    number: Count
    accounts: list[tuple[str, Amount, Amount, Amount, Count, Count, bool, Amount]]


class _Query(msgspec.Struct):
    node: str
    process: Count
    number: Count
    accounts: list[str]


class _Held(msgspec.Struct):
    node: str
    process: Count
    to_process: Count
    number: Count
    uptime_ms: Count
    answer: Count
    shares: list[tuple[str, Count, Amount, Amount, Count, bool, Amount]]
    part: Count = 0
    parts: Count = 1


class _Envelope(msgspec.Struct, omit_defaults=True):
    ask: _Ask | None = None
    grant: _Grant | None = None
    query: _Query | None = None
    held: _Held | None = None


_list_ask = attrgetter(*AccountAsk.__slots__)
_list_grant = attrgetter(*AccountGrant.__slots__)
_list_share = attrgetter(*HeldShare.__slots__)
_LISTS: Final[dict[type, Callable[[Any], Any]]] = {
    AccountAsk: _list_ask,
    AccountGrant: _list_grant,
    HeldShare: _list_share,
}


def dump_message(message: Message) -> bytes:
    """Encode a message."""
    match message:
        case Ask():
            envelope = _Envelope(ask=_build(_Ask, message, accounts=_list_ask))
        case Grant():
            envelope = _Envelope(grant=_build(_Grant, message, accounts=_list_grant))
        case Query():
            envelope = _Envelope(query=_build(_Query, message))
        case Held():
            envelope = _Envelope(held=_build(_Held, message, shares=_list_share))
    return msgspec.json.encode(envelope)


def load_message(data: bytes) -> Message | None:
    """Decode a message; None if it is none."""
    if len(data) > MAX_DATAGRAM_BYTES:
        return None
    decoded = decode_json(data, _Envelope)
    if isinstance(decoded, Err):
        return None
    envelope = decoded.ok_value
    if (ask := envelope.ask) is not None:
        return _load(Ask, ask, accounts=AccountAsk)
    if (grant := envelope.grant) is not None:
        return _load(Grant, grant, accounts=AccountGrant)
    if (query := envelope.query) is not None:
        return _load(Query, query, accounts=str)
    if (held := envelope.held) is not None:
        return _load(Held, held, shares=HeldShare)
    return None


def split_parts(parts: Sequence[Part]) -> list[tuple[Part, ...]]:
    """Divide the parts of a message so that each fits into a datagram; at least one is returned."""
    groups: list[tuple[Part, ...]] = []
    group: list[Part] = []
    size = 0
    for part in parts:
        part_size = len(msgspec.json.encode(_LISTS[type(part)](part))) + 1
        if group and size + part_size > MAX_DATAGRAM_BYTES - ENVELOPE_BYTES:
            groups.append(tuple(group))
            group, size = [], 0
        group.append(part)
        size += part_size
    groups.append(tuple(group))
    return groups


def _build(kind: type[Any], message: Any, **lists: Callable[[Any], Any]) -> Any:
    fields = {name: getattr(message, name) for name in kind.__struct_fields__}
    for name, list_values in lists.items():
        fields[name] = [list_values(part) for part in fields[name]]
    return kind(**fields)


def _load(kind: type[M], fields: Any, **parts: Callable[..., Any]) -> M:
    values = {name: getattr(fields, name) for name in fields.__struct_fields__}
    for name, build in parts.items():
        values[name] = tuple(build(one) if build is str else build(*one) for one in values[name])
    return kind(**values)
