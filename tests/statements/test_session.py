"""Tests of client sessions on shared member connections."""

import re

import pytest
from burdockrun_statements import (
    Applied,
    ConnectionState,
    PreparedShape,
    SessionState,
    Statement,
    StatementKind,
    name_shape,
    plan_setup,
)
from hypothesis import given
from hypothesis import strategies as st

SHAPES = st.builds(
    PreparedShape,
    writes=st.booleans(),
    # Any text of a message, texts that look like names of others, and long ones that begin alike.
    shape=st.text(st.characters(max_codepoint=0xFF), min_size=1)
    | st.sampled_from(["q1", "q1 ", "q1 READ ii", "q1%20READ%20ii", "#1", "%231"])
    | st.integers(100, 110).map(lambda length: "q" * length),
)


def set_value(name: str, value: str, request_id: str = "q1") -> Statement:
    """Return a SET statement of a client."""
    return Statement(kind=StatementKind.SET, request_id=request_id, name=name, argument=value)


def test_a_connection_with_values_of_another_session_is_reset() -> None:
    """Guards against session values that leak from one client to the next."""
    connection = ConnectionState()
    first, second = SessionState(), SessionState()
    first.apply(set_value("zone", "a"))
    plan_setup(connection, first, None)
    second.apply(set_value("unit", "b"))
    kinds = [statement.kind for statement in plan_setup(connection, second, None)]
    assert kinds == [StatementKind.RESET, StatementKind.SET]
    assert connection.values == {"unit": "b"}


def test_a_connection_in_the_right_state_needs_no_setup() -> None:
    """Guards against setup statements that change nothing on the connection."""
    connection = ConnectionState()
    session = SessionState()
    session.apply(set_value("zone", "a"))
    plan_setup(connection, session, None)
    assert plan_setup(connection, session, None) == []


def test_names_of_two_clients_do_not_collide() -> None:
    """Guards against a prepared name that runs the shape of another client."""
    connection = ConnectionState()
    one = plan_setup(connection, SessionState(), PreparedShape(writes=False, shape="q1"))
    other = plan_setup(connection, SessionState(), PreparedShape(writes=True, shape="q1"))
    assert one[0].name != other[0].name


@given(SHAPES, SHAPES)
def test_the_name_of_a_shape_is_one_field_of_its_own(
    one: PreparedShape, two: PreparedShape
) -> None:
    """Guards against a name that a member reads as several fields, or that two shapes share."""
    assert re.fullmatch(r"[A-Za-z0-9_.~%#-]{3,66}", name_shape(one))
    assert (name_shape(one) == name_shape(two)) == (one == two)


def test_a_shape_is_prepared_again_after_a_reset() -> None:
    """Guards against a prepared name that the member dropped on RESET."""
    connection = ConnectionState()
    shape = PreparedShape(writes=False, shape="q1")
    session = SessionState()
    session.apply(set_value("zone", "a"))
    plan_setup(connection, session, shape)
    kinds = [statement.kind for statement in plan_setup(connection, SessionState(), shape)]
    assert kinds == [StatementKind.RESET, StatementKind.PREPARE]


@pytest.mark.parametrize("may_reset", [True, False])
def test_a_connection_that_holds_many_shapes_is_reset_between_transactions(
    may_reset: bool,
) -> None:
    """Guards against memory, here and at the member, that grows with the shapes of all clients."""
    connection, session = ConnectionState(), SessionState()
    session.apply(set_value("zone", "a"))
    kinds: list[StatementKind] = []
    for number in range(2_000):
        shape = PreparedShape(writes=False, shape=f"q{number}")
        setup = plan_setup(connection, session, shape, may_reset=may_reset)
        kinds += [statement.kind for statement in setup]
        assert [one.shape for one in setup if one.kind is StatementKind.PREPARE] == [shape]
        assert connection.values == session.values
    assert plan_setup(connection, session, shape) == []
    assert (StatementKind.RESET in kinds) is may_reset
    assert not may_reset or len(connection.prepared) < 1_100


def test_the_request_id_is_sent_with_the_first_use_of_a_value_only() -> None:
    """Guards against a request that a member counts twice because its id is sent twice."""
    session = SessionState()
    session.apply(set_value("zone", "a", "q7"))
    first = plan_setup(ConnectionState(), session, None)
    second = plan_setup(ConnectionState(), session, None)
    assert [first[0].request_id, second[0].request_id] == ["q7", ""]


def test_closing_an_unknown_name_is_reported() -> None:
    """Guards against a CLOSE of an unknown name that is answered with success."""
    close = Statement(kind=StatementKind.CLOSE, request_id="q1", name="s1")
    assert SessionState().apply(close) is Applied.UNKNOWN_NAME
