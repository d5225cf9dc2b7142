"""Tests of the decision to replace a primary."""

from burdockrun_base import LogPosition
from burdockrun_groups import (
    Evidence,
    MemberEntry,
    ReadOption,
    Reason,
    assess,
    choose_member,
    choose_successor,
    find_first_primary,
)

from tests.groups.common import build_entry, build_record, build_status


def build_evidence(*entries: MemberEntry, suspecting: int = 0, settled: bool = True) -> Evidence:
    """Return what the duty holder of seven nodes knows."""
    return Evidence(
        members={entry.id: entry for entry in entries},
        suspecting_nodes=suspecting,
        live_nodes=7,
        discovery_settled=settled,
    )


def test_one_nodes_suspicion_is_not_enough() -> None:
    """Guards against a promotion because of one node's links."""
    members = [build_entry(name) for name in "abc"]
    record = build_record("a")
    assert assess(record, build_evidence(*members, suspecting=3)) is Reason.NONE
    assert assess(record, build_evidence(*members, suspecting=4)) is Reason.UNREACHABLE


def test_an_entry_that_lapsed_with_the_store_is_waited_for() -> None:
    """Guards against promotions after each outage of the store."""
    members = [build_entry(name) for name in "bc"]
    record = build_record("a")
    assert assess(record, build_evidence(*members, settled=False)) is Reason.NONE
    assert assess(record, build_evidence(*members)) is Reason.GONE


def test_a_draining_primary_is_replaced_when_another_stays() -> None:
    """Guards against work at a member that is about to end."""
    record = build_record("a")
    leaving, staying = build_entry("a", draining=True), build_entry("b")
    assert assess(record, build_evidence(leaving, staying)) is Reason.DRAINING
    assert assess(record, build_evidence(leaving)) is Reason.NONE


def test_a_change_that_a_lost_holder_began_is_finished() -> None:
    """Guards against a group without a primary after the holder has died."""
    members = [build_entry(name) for name in "abc"]
    begun = build_record("", 2, previous="a", promoted=False)
    ordered = build_record("b", 3, previous="a", promoted=False)
    assert assess(begun, build_evidence(*members)) is Reason.UNFINISHED
    assert assess(ordered, build_evidence(*members)) is Reason.UNFINISHED


def test_the_member_that_received_the_most_takes_over() -> None:
    """Guards against commits that are lost although a replica has them."""
    members = {name: build_entry(name) for name in "abc"}
    statuses = {"b": build_status(index=11), "c": build_status(index=12)}
    assert choose_successor(statuses, members, "a") == "c"


def test_a_draining_member_takes_over_only_when_no_other_can() -> None:
    """Guards against two changes in a row."""
    members = {"b": build_entry("b"), "c": build_entry("c", draining=True)}
    statuses = {"b": build_status(index=11), "c": build_status(index=12)}
    assert choose_successor(statuses, members, "a") == "b"
    assert choose_successor({"c": build_status()}, members, "a") == "c"
    assert choose_successor({}, members, "a") == ""


def test_two_members_that_claim_to_lead_settle_nothing() -> None:
    """Guards against adopting the wrong one of two primaries."""
    assert find_first_primary([build_entry("a", primary=True), build_entry("b")]) == "a"
    both = [build_entry("a", primary=True), build_entry("b", primary=True)]
    assert find_first_primary(both) == ""


def test_a_replica_serves_only_what_it_is_known_to_have() -> None:
    """Guards against a stale read at the nearer member."""
    required = LogPosition(term=1, index=10)
    near = ReadOption(
        member_id="b",
        is_primary=False,
        position=LogPosition(term=1, index=9),
        expected_ms=5,
    )
    primary = ReadOption(member_id="a", is_primary=True, position=None, expected_ms=20)
    chosen = choose_member([near, primary], required, replicas_allowed=True)
    assert chosen == primary
