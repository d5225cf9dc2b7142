"""Tests of the choice of a member for a read."""

import random

from burdockrun_routing import PositionTable, ReadQuery, choose_read_member, estimate_catch_up_ms

from tests.routing.common import make_position, make_query


def make_table(b_index: int = 10, c_index: int = 10, *, lag_ms: int | None = 5) -> PositionTable:
    table = PositionTable()
    table.observe("turns", "a", make_position(10), 0, 1_000)
    table.observe("turns", "b", make_position(b_index), lag_ms, 1_000)
    table.observe("turns", "c", make_position(c_index), lag_ms, 1_000)
    return table


def choose(query: ReadQuery, table: PositionTable, now_ms: int = 1_000) -> str | None:
    member = choose_read_member(query, table, now_ms, random.Random(1)).member
    return member.name if member else None


def test_replica_in_the_same_domain_is_preferred() -> None:
    """Guards against reads that cross failure domains needlessly."""
    assert choose(make_query(required=make_position(10), domain="nbg"), make_table()) == "b"
    assert choose(make_query(required=make_position(10), domain="rgb"), make_table()) == "c"
    assert choose(make_query(required=make_position(10), domain="muc-nord"), make_table()) in (
        "b",
        "c",
    )


def test_read_without_token_or_staleness_goes_to_the_primary() -> None:
    """Guards against stale rows for a caller that asked for current data."""
    assert choose(make_query(), make_table()) == "a"


def test_replica_that_is_far_behind_is_avoided() -> None:
    """Guards against reads sent to a replica that cannot answer them."""
    table = make_table(b_index=3, lag_ms=60_000)
    assert choose(make_query(required=make_position(10), domain="nbg"), table) == "c"
    table = make_table(b_index=3, c_index=4, lag_ms=60_000)
    assert choose(make_query(required=make_position(10), domain="nbg"), table) == "a"


def test_accepted_staleness_allows_a_lagging_replica() -> None:
    """Guards against a staleness limit that is ignored or applied too strictly."""
    table = make_table(lag_ms=900)
    assert choose(make_query(max_lag_ms=2_000), table) == "b"
    assert choose(make_query(max_lag_ms=500), table) == "a"


def test_unknown_lag_is_stale() -> None:
    """Guards against stale reads at a replica that has lost its primary."""
    table = make_table(lag_ms=None)
    assert choose(make_query(max_lag_ms=2_000), table) == "a"


def test_leaving_and_unavailable_members_are_avoided() -> None:
    """Guards against reads sent to an endpoint that is leaving or does not answer."""
    assert choose(make_query(required=make_position(10), leaving="b"), make_table()) == "c"
    both = frozenset("bc")
    assert choose(make_query(required=make_position(10), unavailable=both), make_table()) == "a"
    assert (
        choose(make_query(required=make_position(10), unavailable=frozenset("abc")), make_table())
        is None
    )


def test_no_member_is_chosen_when_none_can_serve() -> None:
    """Guards against a stale row instead of a refusal while there is no primary."""
    table = make_table(b_index=3, c_index=4, lag_ms=60_000)
    query = make_query(required=make_position(10), primary=None, unavailable=frozenset("a"))
    assert choose(query, table) is None


def test_catch_up_is_unknown_without_lag_or_under_an_older_term() -> None:
    """Guards against waiting for a replica that will not catch up."""
    view = make_table(b_index=3, lag_ms=40).find_view("turns", "b")
    assert view is not None
    assert estimate_catch_up_ms(view, make_position(3), 1_000) == 0
    estimate = estimate_catch_up_ms(view, make_position(4), 1_000)
    assert estimate is not None
    assert 0 < estimate <= 40
    assert estimate_catch_up_ms(view, make_position(3, term=2), 1_000) is None
    unknown = make_table(b_index=3, lag_ms=None).find_view("turns", "b")
    assert unknown is not None
    assert estimate_catch_up_ms(unknown, make_position(4), 1_000) is None


def test_unknown_replica_is_tried_before_the_primary() -> None:
    """Guards against replicas that are never used because nothing is known about them."""
    choice = choose_read_member(
        make_query(required=make_position(10)), PositionTable(), 1_000, random.Random(1)
    )
    assert choice.member is not None
    assert choice.member.name == "b"
    assert not choice.expected_current


def test_replica_that_was_behind_is_tried_again_after_a_while() -> None:
    """Guards against a lagging replica that delays every read, or is never used again."""
    table = make_table(b_index=3, c_index=3, lag_ms=60_000)
    assert choose(make_query(required=make_position(10)), table, 1_050) == "a"
    assert choose(make_query(required=make_position(10)), table, 2_000) == "b"


def test_replica_that_keeps_up_is_expected_to_hold_a_recent_write() -> None:
    """Guards against reads at the primary right after each write."""
    table = make_table(b_index=9, lag_ms=5)
    choice = choose_read_member(
        make_query(required=make_position(10)), table, 1_000, random.Random(1)
    )
    assert choice.expected_current
    assert choice.member is not None
    assert choice.member.name == "b"


def test_stale_read_also_honours_the_session() -> None:
    """Guards against a caller that misses its own write because it accepts stale data."""
    table = make_table(b_index=3, c_index=10, lag_ms=900)
    assert choose(make_query(required=make_position(10), max_lag_ms=2_000), table) == "c"


def test_replicas_serve_while_there_is_no_primary() -> None:
    """Guards against reads that are refused during a failover although a replica could serve."""
    assert choose(make_query(required=make_position(10), primary=None), make_table()) == "b"
    assert choose(make_query(primary=None), make_table()) is None


def test_replica_that_failed_is_avoided_for_a_while() -> None:
    """Guards against repeated reads at the same dead replica."""
    table = make_table()
    table.note_failure("turns", "b", 1_000)
    assert choose(make_query(required=make_position(10)), table, 1_050) == "c"
    assert (
        choose(make_query(required=make_position(10), unavailable=frozenset("c")), table, 1_300)
        == "b"
    )
    table.observe("turns", "b", make_position(10), 5, 1_310)
    assert choose(make_query(required=make_position(10)), table, 1_320) == "b"
