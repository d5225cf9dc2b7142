"""Tests of the position table."""

from burdockrun_routing import PositionTable, estimate_catch_up_ms

from tests.routing.common import make_position


def test_members_are_known_until_they_are_forgotten() -> None:
    """Guards against positions of a removed member that are used for a new one of its name."""
    table = PositionTable()
    assert table.find_view("turns", "b") is None
    table.observe("turns", "b", make_position(4), 7, 100)
    view = table.find_view("turns", "b")
    assert view is not None
    assert (view.position, view.lag_ms, view.observed_ms) == (make_position(4), 7, 100)
    table.forget("turns", "b")
    assert table.find_view("turns", "b") is None


def test_answer_out_of_order_does_not_lower_a_position() -> None:
    """Guards against reads that avoid a replica because an older answer arrived late."""
    table = PositionTable()
    table.observe("turns", "b", make_position(9), 5, 1_000)
    table.observe("turns", "b", make_position(7), 5, 1_010)
    view = table.find_view("turns", "b")
    assert view is not None
    assert view.position == make_position(9)


def test_lower_position_counts_after_the_reorder_time() -> None:
    """Guards against relying on entries that a member dropped when a new term began."""
    table = PositionTable()
    table.observe("turns", "b", make_position(9), 5, 1_000)
    table.observe("turns", "b", make_position(7), 5, 2_000)
    view = table.find_view("turns", "b")
    assert view is not None
    assert view.position == make_position(7)


def test_rates_distinguish_a_stopped_member_from_one_that_catches_up() -> None:
    """Guards against waiting for a stopped replica, or not waiting for one that catches up."""
    table = PositionTable()
    for step in range(5):
        now_ms = 1_000 + 100 * step
        table.observe("turns", "b", make_position(50), 900 + 100 * step, now_ms)
        table.observe("turns", "c", make_position(50 + 10 * step), 900 - 100 * step, now_ms)
    stopped, catching_up = table.find_view("turns", "b"), table.find_view("turns", "c")
    assert stopped is not None
    assert catching_up is not None
    assert estimate_catch_up_ms(stopped, make_position(100), 1_400) is None
    assert estimate_catch_up_ms(catching_up, make_position(100), 1_400) == 100
