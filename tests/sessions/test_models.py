"""Tests of session tokens."""

from burdockrun_messages import LogPosition
from burdockrun_sessions import MAX_TOKEN_DATABASES, SessionToken
from hypothesis import given, settings
from hypothesis import strategies as st

POSITIONS = st.builds(LogPosition, term=st.integers(0, 3), index=st.integers(0, 9))
TOKENS = st.builds(
    SessionToken,
    positions=st.dictionaries(st.sampled_from("abcdef"), POSITIONS),
    unlisted_at_primary=st.booleans(),
)


def covers(token: SessionToken, other: SessionToken, database: str) -> bool:
    if token.needs_primary(database):
        return True
    if other.needs_primary(database):
        return False
    position = token.find(database)
    required = other.find(database)
    return required is None or (position is not None and position.has_reached(required))


@settings(derandomize=True)
@given(TOKENS, TOKENS)
def test_merging_covers_both_sessions(left: SessionToken, right: SessionToken) -> None:
    """Guards against a merged session that misses a write of either one."""
    merged = left.merge(right)
    assert merged == right.merge(left)
    assert merged.merge(left) == merged
    for database in "abcdef":
        assert covers(merged, left, database)
        assert covers(merged, right, database)


@settings(derandomize=True)
@given(TOKENS, st.sampled_from("abcdef"), POSITIONS)
def test_advancing_never_loses_a_position(
    token: SessionToken, database: str, position: LogPosition
) -> None:
    """Guards against a session that no longer sees its last write."""
    advanced = token.advance(database, position)
    written = SessionToken(positions={database: position})
    assert all(covers(advanced, token, name) for name in "abcdef")
    assert covers(advanced, written, database)


def test_overflow_sends_unlisted_databases_to_the_primary() -> None:
    """Guards against tokens that grow without bound, or silently drop a database."""
    token = SessionToken()
    for number in range(MAX_TOKEN_DATABASES + 5):
        token = token.advance(f"db{number}", LogPosition(term=1, index=number))
    assert len(token.positions) == MAX_TOKEN_DATABASES
    assert not token.needs_primary("db3")
    assert token.needs_primary(f"db{MAX_TOKEN_DATABASES}")
    other = SessionToken(positions={f"x{n}": LogPosition(term=1, index=1) for n in range(9)})
    merged = SessionToken(positions=token.positions).merge(other)
    assert len(merged.positions) == MAX_TOKEN_DATABASES
    assert all(merged.find(name) or merged.needs_primary(name) for name in other.positions)
