"""Documents shared by the tests of settings and tickets."""

import json
from typing import Any


def make_members(first_port: int = 7000, names: str = "abc") -> dict[str, Any]:
    """Return one member for each letter of `names`, each with its own addresses."""
    return {
        name: {
            "domain": f"domain-{name}",
            "host": "127.0.0.1",
            "port": first_port + 2 * index,
            "control_port": first_port + 2 * index + 1,
        }
        for index, name in enumerate(names)
    }


def make_service(database: str = "turns", first_port: int = 7000) -> dict[str, Any]:
    """Return a valid service with one database of three members."""
    return {
        "account": "lmb",
        "ranks": [
            {"name": "urgent", "order": 0, "target_ms": 50, "worth": 10, "floor": 0.5},
            {"name": "routine", "order": 1, "target_ms": 900, "worth": 1, "floor": 0.1},
        ],
        "stale_reads_ms": {"routine": 2000},
        "databases": {
            database: {"connections": 16, "slots": 2, "members": make_members(first_port)}
        },
    }


def make_ticket(**services: Any) -> dict[str, Any]:
    """Return a valid ticket document for the services given, else for one service."""
    return {
        "author": "ada",
        "reason": "first state",
        "services": services or {"wendedb": make_service()},
    }


def make_settings(**changes: Any) -> str:
    """Return a settings document with changes as JSON text."""
    document = {
        "node": "p1",
        "domain": "nbg",
        "host": "127.0.0.1",
        "port": 9000,
        "platform": {"host": "127.0.0.1", "port": 9100},
        "session_keys": ["0123456789abcdef"],
    }
    return json.dumps(document | changes)
