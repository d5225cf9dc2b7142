"""Tests of the lease under which a node uses a primary."""

from dataclasses import replace

import pytest
from burdockrun_groups import (
    KNOWN_MEMBERS_MS,
    MIN_PAUSE_MS,
    PRIMARY_LEASE_MS,
    GroupRecord,
    PrimaryLease,
)
from burdockrun_statements import MemberStatus

from tests.groups.common import build_entry, build_record, build_report, build_status


@pytest.fixture(name="primary_lease")
def fixture_primary_lease() -> PrimaryLease:
    """Return the lease on a group with a primary `a` and two replicas."""
    primary_lease = PrimaryLease()
    primary_lease.set_members({name: build_entry(name) for name in "abc"})
    primary_lease.confirm_record(build_record("a"), 1_000)
    return primary_lease


def add_report(
    primary_lease: PrimaryLease, member_id: str, status: MemberStatus, now_ms: int
) -> None:
    """Add a report that was answered at once, after others at the usual interval."""
    known_ms = primary_lease.record_sent_ms
    if member_id in primary_lease.reports:
        known_ms = max(known_ms, primary_lease.reports[member_id].sent_ms)
    for earlier_ms in range(known_ms + 500, now_ms, 500):
        primary_lease.add_report(member_id, build_report(build_status(), earlier_ms), earlier_ms)
    primary_lease.add_report(member_id, build_report(status, now_ms), now_ms)


def test_a_lease_expires(primary_lease: PrimaryLease) -> None:
    """Guards against a node that uses an old primary after it was frozen or cut off."""
    assert primary_lease.primary(1_000 + PRIMARY_LEASE_MS - 1) == "a"
    assert primary_lease.primary(1_000 + PRIMARY_LEASE_MS) == ""


def test_a_primary_that_is_being_replaced_is_not_used(primary_lease: PrimaryLease) -> None:
    """Guards against a write between the start of a change and the new term."""
    primary_lease.confirm_record(build_record("", 2, previous="a", held_term=2), 1_100)
    assert primary_lease.primary(1_200) == ""


def test_a_primary_is_read_once_it_leads_or_has_every_commit(primary_lease: PrimaryLease) -> None:
    """Guards against reads at a successor that lacks commits and never leads."""
    assert primary_lease.may_read(1_100)
    named = build_record("b", 3, promoted=False, previous="a", held_term=2)
    primary_lease.confirm_record(named, 1_100)
    assert (primary_lease.primary(1_200), primary_lease.may_read(1_200)) == ("b", False)
    primary_lease.confirm_record(replace(named, complete=True), 1_200)
    assert primary_lease.may_read(1_300)
    primary_lease.confirm_record(replace(named, promoted=True), 1_300)
    assert primary_lease.may_read(1_400)


def test_reports_of_a_leader_allow_reads_of_it(primary_lease: PrimaryLease) -> None:
    """Guards against reads that wait for the store although the members say who leads."""
    named = build_record("b", 3, promoted=False, previous="a", held_term=2)
    primary_lease.confirm_record(named, 1_100)
    add_report(primary_lease, "b", build_status(2, primary=True), 10_000)
    add_report(primary_lease, "c", build_status(2), 10_000)
    assert primary_lease.primary(10_000) == "b"
    assert primary_lease.may_read(10_000)
    assert not primary_lease.may_read(10_000 + PRIMARY_LEASE_MS)


def test_an_older_record_does_not_replace_a_newer_one(primary_lease: PrimaryLease) -> None:
    """Guards against answers that arrive out of order."""
    primary_lease.confirm_record(build_record("b", 3), 1_100)
    primary_lease.confirm_record(build_record("a", 1), 1_200)
    assert primary_lease.primary(1_300) == "b"


def test_reports_of_a_majority_give_the_lease_during_an_outage_of_the_store(
    primary_lease: PrimaryLease,
) -> None:
    """Guards against an outage of the store that blocks all writes."""
    now_ms = 10_000
    add_report(primary_lease, "a", build_status(primary=True), now_ms)
    assert primary_lease.primary(now_ms) == ""
    add_report(primary_lease, "b", build_status(), now_ms)
    assert primary_lease.primary(now_ms) == "a"
    assert primary_lease.primary(now_ms + PRIMARY_LEASE_MS) == ""


def test_all_members_must_report_when_they_were_confirmed_long_ago(
    primary_lease: PrimaryLease,
) -> None:
    """Guards against a majority with members that a promotion does not count any more."""
    now_ms = 1_000 + KNOWN_MEMBERS_MS
    add_report(primary_lease, "a", build_status(primary=True), now_ms - 1)
    add_report(primary_lease, "b", build_status(), now_ms - 1)
    assert primary_lease.primary(now_ms - 1) == "a"
    assert primary_lease.primary(now_ms) == ""
    add_report(primary_lease, "c", build_status(), now_ms)
    assert primary_lease.primary(now_ms) == "a"


def test_a_paused_member_prevents_the_lease(primary_lease: PrimaryLease) -> None:
    """Guards against a write that is acknowledged after a promotion has begun."""
    add_report(primary_lease, "a", build_status(primary=True), 10_000)
    add_report(primary_lease, "b", build_status(held_term=2), 10_000)
    assert primary_lease.primary(10_000) == ""


def test_a_member_that_was_not_heard_of_for_a_pause_does_not_count(
    primary_lease: PrimaryLease,
) -> None:
    """Guards against an old primary that is used through a replica that has been resumed."""
    primary_lease.add_report("a", build_report(build_status(primary=True), 2_000), 2_000)
    primary_lease.add_report("b", build_report(build_status(), 2_000), 2_000)
    assert primary_lease.primary(2_500) == "a"
    now_ms = 2_000 + MIN_PAUSE_MS
    primary_lease.add_report("a", build_report(build_status(primary=True), now_ms), now_ms)
    primary_lease.add_report("b", build_report(build_status(), now_ms - 400), now_ms)
    primary_lease.add_report("b", build_report(build_status(), now_ms), now_ms)
    assert primary_lease.primary(now_ms) == ""
    primary_lease.confirm_record(build_record("a"), now_ms)
    later_ms = now_ms + PRIMARY_LEASE_MS
    primary_lease.add_report("a", build_report(build_status(primary=True), later_ms), later_ms)
    primary_lease.add_report("b", build_report(build_status(), later_ms), later_ms)
    assert primary_lease.primary(later_ms) == "a"


@pytest.mark.parametrize(
    ("gap_ms", "running_since_ms", "counts"),
    [
        (PRIMARY_LEASE_MS - 1, None, True),
        (PRIMARY_LEASE_MS, None, False),
        (PRIMARY_LEASE_MS, 2_001, False),
        (PRIMARY_LEASE_MS, 2_000, True),
    ],
)
def test_a_replica_that_may_have_restarted_since_its_last_report_counts_only_after_short_gaps(
    primary_lease: PrimaryLease, gap_ms: int, running_since_ms: int | None, counts: bool
) -> None:
    """Guards against an old primary that is used through a replica that restarted while paused.

    Its pause is known to last only until the leases of other nodes have ended.
    """
    primary_lease.add_report("b", build_report(build_status(), 2_000), 2_000)
    now_ms = 2_000 + gap_ms
    primary_lease.add_report("a", build_report(build_status(primary=True), now_ms), now_ms)
    report = build_report(build_status(), now_ms, running_since_ms=running_since_ms)
    primary_lease.add_report("b", report, now_ms)
    assert primary_lease.primary(now_ms) == ("a" if counts else "")


def test_a_pause_is_remembered_when_the_member_has_forgotten_it(
    primary_lease: PrimaryLease,
) -> None:
    """Guards against an old primary that is used again after a paused replica has restarted."""
    add_report(primary_lease, "a", build_status(primary=True), 10_000)
    add_report(primary_lease, "b", build_status(held_term=2), 10_000)
    add_report(primary_lease, "b", build_status(held_term=0), 10_200)
    assert primary_lease.primary(10_200) == ""
    add_report(primary_lease, "c", build_status(2, primary=True), 10_300)
    assert primary_lease.primary(10_300) == "c"


def test_a_pause_is_not_forgotten_for_an_older_poll(primary_lease: PrimaryLease) -> None:
    """Guards against an old primary that is used again after a late answer of the store."""
    add_report(primary_lease, "a", build_status(primary=True), 10_000)
    add_report(primary_lease, "b", build_status(held_term=2), 10_000)
    primary_lease.confirm_record(build_record("a"), 9_900)
    now_ms = 9_900 + PRIMARY_LEASE_MS
    add_report(primary_lease, "a", build_status(primary=True), now_ms)
    add_report(primary_lease, "b", build_status(held_term=0), now_ms)
    assert primary_lease.primary(now_ms) == ""


def test_a_pause_is_forgotten_when_the_record_is_confirmed(primary_lease: PrimaryLease) -> None:
    """Guards against a change that was given up and blocks writes in later outages of the store."""
    add_report(primary_lease, "a", build_status(primary=True), 10_000)
    add_report(primary_lease, "b", build_status(held_term=2), 10_000)
    primary_lease.confirm_record(build_record("a", 3), 11_000)
    add_report(primary_lease, "a", build_status(primary=True), 15_000)
    add_report(primary_lease, "b", build_status(), 15_000)
    assert primary_lease.primary(15_000) == "a"


def test_the_primary_of_the_latest_term_is_used(primary_lease: PrimaryLease) -> None:
    """Guards against a superseded primary that still reports that it leads."""
    add_report(primary_lease, "a", build_status(1, primary=True), 10_000)
    add_report(primary_lease, "c", build_status(2, primary=True), 10_000)
    assert primary_lease.primary(10_000) == "c"


def test_reports_do_not_revive_a_primary_that_is_known_to_be_replaced(
    primary_lease: PrimaryLease,
) -> None:
    """Guards against a node that loses the store during a change and trusts old reports."""
    primary_lease.confirm_record(build_record("", 2, previous="a", held_term=2), 1_100)
    add_report(primary_lease, "a", build_status(1, primary=True), 10_000)
    add_report(primary_lease, "b", build_status(1), 10_000)
    assert primary_lease.primary(10_000) == ""


def test_a_record_of_an_earlier_era_does_not_replace_a_later_one(
    primary_lease: PrimaryLease,
) -> None:
    """Guards against an old primary that the store brings back under a higher epoch."""
    primary_lease.learn_record(build_record("b", 3, era=2))
    assert not primary_lease.learn_record(build_record("a", 9, era=1))
    assert primary_lease.primary(1_100) == "b"


def build_lease_without_record() -> PrimaryLease:
    """Return a lease by reports of term 1, before the group has a record."""
    primary_lease = PrimaryLease()
    primary_lease.set_members({name: build_entry(name) for name in "abc"})
    primary_lease.confirm_members(1_000)
    add_report(primary_lease, "a", build_status(primary=True), 1_000)
    add_report(primary_lease, "b", build_status(), 1_000)
    return primary_lease


def test_the_first_record_of_a_group_starts_no_new_leadership() -> None:
    """Guards against a commit left in doubt since the group gets its record before its answer."""
    primary_lease = build_lease_without_record()
    epoch = primary_lease.epoch(1_100)
    assert primary_lease.leads_still(epoch, 1_100)
    primary_lease.confirm_record(build_record("a", held_term=1), 1_200)
    assert primary_lease.basis(1_200) == "record"
    assert primary_lease.leads_still(epoch, 1_200)
    assert primary_lease.leads_still(primary_lease.epoch(1_200), 1_200)


@pytest.mark.parametrize(
    "record",
    [
        build_record("b", held_term=1),
        build_record("a", held_term=2),
        build_record("a", 3, previous="b", held_term=3),
        build_record("a", 3, previous="b", held_term=1),
        build_record("", 2, previous="a", held_term=2),
    ],
)
def test_a_leadership_before_the_first_record_is_not_taken_for_another(record: GroupRecord) -> None:
    """Guards against a commit that is acknowledged though a member without it may have led."""
    primary_lease = build_lease_without_record()
    epoch = primary_lease.epoch(1_100)
    primary_lease.confirm_record(record, 1_200)
    assert primary_lease.primary(1_200) == record.primary
    assert not primary_lease.leads_still(epoch, 1_200)


def test_a_leadership_does_not_go_on_when_the_lease_has_expired() -> None:
    """Guards against a commit that is acknowledged after its node was frozen."""
    primary_lease = build_lease_without_record()
    epoch = primary_lease.epoch(1_100)
    primary_lease.confirm_record(build_record("a", held_term=1), 1_200)
    assert primary_lease.leads_still(epoch, 1_200 + PRIMARY_LEASE_MS - 1)
    assert not primary_lease.leads_still(epoch, 1_200 + PRIMARY_LEASE_MS)


def test_no_leadership_goes_on_without_a_lease() -> None:
    """Guards against a write that is acknowledged without any lease, for two empty epochs."""
    assert not PrimaryLease().leads_still("", 1_000)
