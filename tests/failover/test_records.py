"""Tests of group records and of the fenced sets that make a promotion safe."""

import itertools

from burdockrun_failover import covers_acknowledged, decode_record, encode_record
from burdockrun_messages import (
    AckRule,
    ActiveTerm,
    GroupRecord,
    GroupState,
    KeyEntry,
    LogPosition,
    TermStart,
)
from hypothesis import given, settings
from hypothesis import strategies as st

NAMES = ("a", "b", "c", "d", "e")
START = LogPosition(term=3, index=10)
HELD = LogPosition(term=3, index=12)


@settings(derandomize=True)
@given(
    size=st.integers(1, 5),
    rule=st.sampled_from(AckRule),
    fenced=st.sets(st.sampled_from(NAMES)),
    emptied=st.booleans(),
)
def test_covering_set_intersects_every_acknowledging_set(
    size: int, rule: AckRule, fenced: set[str], emptied: bool
) -> None:
    """Guards against a promotion that loses a write which an acknowledging set held."""
    members = NAMES[:size]
    term = ActiveTerm(term=3, primary="a", members=members, ack_rule=rule)
    positions = dict.fromkeys(fenced, HELD)
    if emptied and "a" in positions:
        positions["a"] = LogPosition(term=0, index=0)
    holding = {name for name in fenced if positions[name] == HELD}
    majority = size // 2 + 1 if rule is AckRule.MAJORITY else 1
    sets = [{"a", *rest} for rest in itertools.combinations(members[1:], majority - 1)]
    if covers_acknowledged(term, START, positions):
        assert all(acknowledging & holding for acknowledging in sets)


def test_record_round_trips_through_json_with_the_revision_of_the_store() -> None:
    """Guards against a record that other proxies decode to different values."""
    active = ActiveTerm(term=3, primary="a", members=("a", "b"), ack_rule=AckRule.PRIMARY)
    record = GroupRecord(
        database="orders",
        term=4,
        state=GroupState.FENCING,
        active=active,
        promoter="p1#0",
        starts=(TermStart(term=3, index=10),),
        revision=8,
    )
    entry = KeyEntry(key="groups/orders", value=encode_record(record), revision=8)
    assert decode_record(entry).unwrap() == record
    assert decode_record(KeyEntry(key="k", value="{", revision=1)).is_err()
    assert decode_record(KeyEntry(key="k", value="", revision=0)).unwrap() is None
