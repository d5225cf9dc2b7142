"""Rendezvous hashing, which assigns keys such as members to nodes."""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

_MASK = (1 << 64) - 1
_FACTOR = 0x9E3779B97F4A7C15


@lru_cache(maxsize=16_384)
def hash_name(name: str) -> int:
    """Return a 64-bit hash of a name, the same in every process."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def compute_weight(node_hash: int, key_hash: int) -> int:
    """Return the weight of a node for a key."""
    mixed = ((node_hash ^ key_hash) * _FACTOR) & _MASK
    mixed ^= mixed >> 29
    return (mixed * _FACTOR) & _MASK


def rank_nodes(key: str, nodes: Iterable[str], count: int) -> list[str]:
    """Return the `count` nodes with the greatest weights for `key`, in descending order.

    >>> first, second = rank_nodes("db-1", ["a", "b", "c"], 2)
    >>> rank_nodes("db-1", [n for n in ["a", "b", "c"] if n != first], 1) == [second]
    True
    """
    key_hash = hash_name(key)
    ranked = sorted(nodes, key=lambda node: (-compute_weight(hash_name(node), key_hash), node))
    return ranked[:count]
