"""Tests of the decision to replace a primary and of the choice of members."""

from dataclasses import replace

import pytest
from burdockrun_base import LogPosition
from burdockrun_groups import (
    Evidence,
    MemberEntry,
    ReadOption,
    Reason,
    Requirement,
    choose_member,
    choose_successor,
    find_change_reason,
    find_first_primary,
    is_majority_paused,
    renew_record,
)

from tests.groups.common import build_entry, build_record, build_status


def build_evidence(
    *entries: MemberEntry, suspecting: int = 0, settled: bool = True, era: int = 0
) -> Evidence:
    """Return the evidence on a group whose primary is watched by seven nodes."""
    return Evidence(
        era=era,
        members={entry.id: entry for entry in entries},
        suspecting_nodes=suspecting,
        watching_nodes=7,
        discovery_settled=settled,
    )


def test_a_minority_of_suspecting_nodes_is_not_enough() -> None:
    """Guards against a promotion when only a few nodes have network trouble."""
    members = [build_entry(name) for name in "abc"]
    record = build_record("a")
    assert find_change_reason(record, build_evidence(*members, suspecting=3)) is Reason.NONE
    assert find_change_reason(record, build_evidence(*members, suspecting=4)) is Reason.UNREACHABLE


def test_an_entry_that_lapsed_during_an_outage_of_the_store_is_waited_for() -> None:
    """Guards against promotions after each outage of the store."""
    members = [build_entry(name) for name in "bc"]
    record = build_record("a")
    assert find_change_reason(record, build_evidence(*members, settled=False)) is Reason.NONE
    assert find_change_reason(record, build_evidence(*members)) is Reason.GONE


def test_a_draining_primary_is_replaced_when_another_stays() -> None:
    """Guards against a group that keeps a primary which is about to stop."""
    record = build_record("a")
    leaving, staying = build_entry("a", draining=True), build_entry("b")
    assert find_change_reason(record, build_evidence(leaving, staying)) is Reason.DRAINING
    assert find_change_reason(record, build_evidence(leaving)) is Reason.NONE


def test_a_change_that_another_holder_began_is_finished() -> None:
    """Guards against a group without a primary after the holder of the promotion lease failed."""
    members = [build_entry(name) for name in "abc"]
    begun = build_record("", 2, previous="a", promoted=False)
    ordered = build_record("b", 3, previous="a", promoted=False)
    assert find_change_reason(begun, build_evidence(*members)) is Reason.UNFINISHED
    assert find_change_reason(ordered, build_evidence(*members)) is Reason.UNFINISHED


def test_the_member_that_received_the_most_takes_over() -> None:
    """Guards against a loss of commits that a replica has received."""
    members = {name: build_entry(name) for name in "abc"}
    statuses = {"b": build_status(index=11), "c": build_status(index=12)}
    assert choose_successor(statuses, members, "a") == "c"


def test_a_draining_member_takes_over_only_with_a_newer_log() -> None:
    """Guards against lost writes that only a draining member has, and a second change without need.

    A commit that the primary acknowledged may have reached only the member that drains.
    """
    members = {"b": build_entry("b"), "c": build_entry("c", draining=True)}
    assert (
        choose_successor({"b": build_status(index=11), "c": build_status(index=12)}, members, "a")
        == "c"
    )
    assert (
        choose_successor({"b": build_status(index=12), "c": build_status(index=12)}, members, "a")
        == "b"
    )
    assert choose_successor({"c": build_status()}, members, "a") == "c"
    assert choose_successor({"c": build_status()}, members, "a", {"c"}) == "c"
    statuses = {"b": build_status(index=11), "c": build_status(index=12)}
    assert choose_successor(statuses, members, "a", {"c"}) == "b"
    assert choose_successor({}, members, "a") == ""


def test_a_member_that_still_leads_an_earlier_term_is_not_chosen() -> None:
    """Guards against writes at a superseded primary that is named before its promotion.

    It was out of reach when the members were paused and is reached again before the choice.
    """
    members = {name: build_entry(name) for name in "abc"}
    statuses = {"b": build_status(index=12, primary=True), "c": build_status(index=11)}
    assert choose_successor(statuses, members, "a") == "c"
    assert choose_successor({"b": statuses["b"]}, members, "a") == ""


@pytest.mark.parametrize("size", range(1, 7))
@pytest.mark.parametrize("listed", [True, False])
def test_no_majority_with_the_previous_primary_is_without_a_paused_member(
    size: int, listed: bool
) -> None:
    """Guards against a node whose majority has no member that the promotion has paused.

    Also guards against a rule that is stricter than that, which delays promotions.
    """
    known = [f"m{index}" for index in range(size)]
    members = known if listed else known[1:]
    others = [member for member in known if member != "m0"]
    for count in range(len(others) + 1):
        unpaused = ["m0", *others[count:]]
        enough = is_majority_paused(others[:count], members, "m0")
        if enough:
            assert 2 * len(unpaused) <= len(known)
        if listed and not enough:
            assert 2 * len(unpaused) > len(known)


def test_two_members_that_claim_to_lead_are_not_adopted() -> None:
    """Guards against adopting the wrong one of two primaries."""
    assert find_first_primary([build_entry("a", primary=True), build_entry("b")]) == "a"
    both = [build_entry("a", primary=True), build_entry("b", primary=True)]
    assert find_first_primary(both) == ""


def build_option(member_id: str, index: int, expected_ms: float, **fields: bool) -> ReadOption:
    """Return a member that has applied up to `index`."""
    return ReadOption(
        member_id=member_id,
        is_primary=fields.get("is_primary", False),
        position=LogPosition(term=1, index=index),
        expected_ms=expected_ms,
        keeps_up=fields.get("keeps_up", False),
    )


REQUIRED = Requirement(1_000, LogPosition(term=1, index=10))


def test_a_replica_serves_only_what_it_is_known_to_have_applied() -> None:
    """Guards against a stale read at the member that answers sooner."""
    replica = build_option("b", 9, 5)
    primary = build_option("a", 9, 20, is_primary=True)
    assert choose_member([replica, primary], REQUIRED, 2_000, replicas_allowed=True) == primary
    assert choose_member([replica], REQUIRED, 2_000, replicas_allowed=True) is None


def test_a_replica_that_keeps_up_is_tried_once_it_has_probably_caught_up() -> None:
    """Guards against reads at the primary because a replica has not answered recently."""
    replica = build_option("b", 9, 5, keeps_up=True)
    primary = build_option("a", 9, 20, is_primary=True)
    assert choose_member([replica, primary], REQUIRED, 1_050, replicas_allowed=True) == primary
    assert choose_member([replica, primary], REQUIRED, 2_000, replicas_allowed=True) == replica


def test_only_the_primary_serves_reads_without_a_known_position() -> None:
    """Guards against a stale read when no known position is recent enough."""
    replica = build_option("b", 99, 5, keeps_up=True)
    primary = build_option("a", 9, 20, is_primary=True)
    assert choose_member([replica, primary], None, 2_000, replicas_allowed=True) == primary
    assert choose_member([replica, primary], REQUIRED, 2_000, replicas_allowed=False) == primary


def test_a_record_of_an_earlier_era_is_renewed_before_it_is_acted_on() -> None:
    """Guards against a record that lacks the last changes and is acted on."""
    members = [build_entry(name) for name in "abc"]
    record = build_record("a", era=1)
    evidence = build_evidence(*members, suspecting=7, settled=False, era=2)
    assert find_change_reason(record, evidence) is Reason.RESTORED
    vacant = build_record("", 2, era=1, previous="a", promoted=False)
    assert find_change_reason(vacant, build_evidence(*members, era=2)) is Reason.RESTORED
    assert find_change_reason(record, build_evidence(*members, era=1)) is Reason.NONE


def test_a_renewed_record_names_the_primary_that_the_members_report() -> None:
    """Guards against an old primary that the store has brought back."""
    record = build_record("a", 4, era=1)
    statuses = {"a": build_status(1, primary=True), "b": build_status(2, 30, primary=True)}
    renewed = renew_record(record, 2, statuses, 3)
    assert renewed is not None
    assert (renewed.primary, renewed.version(), renewed.held_term) == ("b", (2, 5), 2)
    assert (renewed.promoted, renewed.floor) == (True, LogPosition(term=2, index=30))


def test_a_renewed_record_continues_a_leadership_without_a_break() -> None:
    """Guards against writes in doubt whose primary has led all the time."""
    record = build_record("a", 4, era=1, held_term=3)
    statuses = {"a": build_status(3, primary=True), "b": build_status(3)}
    renewed = renew_record(record, 2, statuses, 3)
    assert renewed is not None and renewed.leadership() == record.leadership()
    again = {"a": build_status(5, primary=True), "b": build_status(5)}
    renewed = renew_record(record, 2, again, 3)
    assert renewed is not None and renewed.leadership() != record.leadership()


def test_a_record_is_not_renewed_without_a_majority_or_during_a_change() -> None:
    """Guards against an old primary that is confirmed while its successor is being ordered."""
    record = build_record("a", 4, era=1)
    leader = build_status(1, primary=True)
    assert renew_record(record, 2, {"a": leader}, 3) is None
    paused = {"a": leader, "b": build_status(1, held_term=2)}
    assert renew_record(record, 2, paused, 3) is None
    vacant = build_record("", 5, era=1, previous="a", held_term=2, promoted=False)
    assert renew_record(vacant, 2, {"a": leader, "b": build_status(1)}, 3) is None


def test_a_primary_whose_entry_stays_unreadable_is_replaced_when_another_is_sound() -> None:
    """Guards against a group without writes, and against changes back and forth."""
    record = build_record("a")
    odd, sound = replace(build_entry("a"), unreadable=True), build_entry("b")
    also_odd = replace(sound, unreadable=True)
    assert find_change_reason(record, build_evidence(odd, sound)) is Reason.NONE
    for others, reason in (((sound,), Reason.UNREADABLE), ((also_odd,), Reason.NONE)):
        evidence = replace(build_evidence(odd, *others), primary_unreadable=True)
        assert find_change_reason(record, evidence) is reason
    leaving = build_entry("a", draining=True)
    assert find_change_reason(record, build_evidence(leaving, also_odd)) is Reason.NONE


def test_among_members_with_equal_logs_one_with_a_sound_entry_becomes_the_primary() -> None:
    """Guards against a primary that gets no statements and is replaced at once."""
    members = {"b": build_entry("b"), "c": replace(build_entry("c"), unreadable=True)}
    statuses = {"b": build_status(index=10), "c": build_status(index=10)}
    assert choose_successor(statuses, members, "a") == "b"
    statuses["c"] = build_status(index=11)
    assert choose_successor(statuses, members, "a") == "c"
