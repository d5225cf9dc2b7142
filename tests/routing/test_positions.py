"""Tests of the table of known positions."""

from burdockrun_routing import PositionTable

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
