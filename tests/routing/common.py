"""Database, positions and queries for the routing tests."""

from burdockrun_messages import Database, LogPosition, Member
from burdockrun_routing import ReadQuery

DOMAINS = ("muc-nord", "nbg", "rgb")


def make_database(*, leaving: str | None = None) -> Database:
    """Return a database with members `a` (the primary), `b` and `c`, each in its own domain."""
    members = tuple(
        Member(
            name=name,
            domain=domain,
            host="127.0.0.1",
            port=1,
            control_port=2,
            leaving=name == leaving,
        )
        for name, domain in zip("abc", DOMAINS, strict=True)
    )
    return Database(name="turns", members=members, connections=16, slots=2)


def make_position(index: int, term: int = 1) -> LogPosition:
    """Return a log position."""
    return LogPosition(term=term, index=index)


def make_query(
    *,
    required: LogPosition | None = None,
    max_lag_ms: int | None = None,
    domain: str = "nbg",
    primary: str | None = "a",
    unavailable: frozenset[str] = frozenset(),
    leaving: str | None = None,
) -> ReadQuery:
    """Return a query from `domain`."""
    return ReadQuery(
        database=make_database(leaving=leaving),
        primary=primary,
        required=required,
        max_lag_ms=max_lag_ms,
        domain=domain,
        unavailable=unavailable,
    )
