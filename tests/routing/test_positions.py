"""Tests of the table of known positions."""

from burdockrun_routing import PositionTable, estimate_catch_up_ms

from tests.routing.common import at


def test_members_are_known_until_they_are_forgotten() -> None:
    """Guards against positions of a removed member that come back under its name."""
    table = PositionTable()
    assert table.view("turns", "b") is None
    table.observe("turns", "b", at(4), 7, 100)
    view = table.view("turns", "b")
    assert view is not None
    assert (view.position, view.lag_ms, view.observed_ms) == (at(4), 7, 100)
    table.forget("turns", "b")
    assert table.view("turns", "b") is None


def test_overtaken_answer_does_not_set_a_member_back() -> None:
    """Guards against reads that avoid a replica because an old answer arrived late."""
    table = PositionTable()
    table.observe("turns", "b", at(9), 5, 1_000)
    table.observe("turns", "b", at(7), 5, 1_010)
    view = table.view("turns", "b")
    assert view is not None
    assert view.position == at(9)


def test_member_that_lost_entries_is_set_back_in_time() -> None:
    """Guards against trust in entries that a superseded primary has cut off."""
    table = PositionTable()
    table.observe("turns", "b", at(9), 5, 1_000)
    table.observe("turns", "b", at(7), 5, 2_000)
    view = table.view("turns", "b")
    assert view is not None
    assert view.position == at(7)


def test_rates_tell_a_stopped_member_from_one_that_catches_up() -> None:
    """Guards against waiting for a stopped replica, or giving up on one that catches up."""
    table = PositionTable()
    for step in range(5):
        now_ms = 1_000 + 100 * step
        table.observe("turns", "b", at(50), 900 + 100 * step, now_ms)
        table.observe("turns", "c", at(50 + 10 * step), 900 - 100 * step, now_ms)
    stopped, catching_up = table.view("turns", "b"), table.view("turns", "c")
    assert stopped is not None
    assert catching_up is not None
    assert estimate_catch_up_ms(stopped, at(100), 1_400) is None
    assert estimate_catch_up_ms(catching_up, at(100), 1_400) == 100
