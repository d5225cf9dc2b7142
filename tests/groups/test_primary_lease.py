"""Tests of the grants under which a node uses a primary."""

import pytest
from burdockrun_groups import PRIMARY_LEASE_MS, PrimaryLease

from tests.groups.common import build_entry, build_record, build_status


@pytest.fixture(name="primary_lease")
def fixture_primary_lease() -> PrimaryLease:
    """Return the grants of a group with a primary `a` and two replicas."""
    primary_lease = PrimaryLease()
    primary_lease.set_members({name: build_entry(name) for name in "abc"})
    primary_lease.confirm_record(build_record("a"), 1_000)
    return primary_lease


def test_a_grant_ends_with_its_time(primary_lease: PrimaryLease) -> None:
    """Guards against a node that was frozen or cut off and goes on with an old primary."""
    assert primary_lease.primary(1_000 + PRIMARY_LEASE_MS - 1) == "a"
    assert primary_lease.primary(1_000 + PRIMARY_LEASE_MS) == ""


def test_a_primary_under_change_is_not_used(primary_lease: PrimaryLease) -> None:
    """Guards against a write between the start of a change and the new term."""
    primary_lease.confirm_record(build_record("", 2, previous="a", held_term=2), 1_100)
    assert primary_lease.primary(1_200) == ""


def test_an_older_record_does_not_come_back(primary_lease: PrimaryLease) -> None:
    """Guards against an answer that was overtaken."""
    primary_lease.confirm_record(build_record("b", 3), 1_100)
    primary_lease.confirm_record(build_record("a", 1), 1_200)
    assert primary_lease.primary(1_300) == "b"


def test_a_majority_grants_while_the_store_is_away(primary_lease: PrimaryLease) -> None:
    """Guards against an outage of the store that stops all writes."""
    now_ms = 10_000
    primary_lease.report("a", build_status(primary=True), now_ms)
    assert primary_lease.primary(now_ms) == ""
    primary_lease.report("b", build_status(), now_ms)
    assert primary_lease.primary(now_ms) == "a"
    assert primary_lease.primary(now_ms + PRIMARY_LEASE_MS) == ""


def test_a_held_member_refuses_the_grant(primary_lease: PrimaryLease) -> None:
    """Guards against an acknowledgement beside a promotion that has begun."""
    primary_lease.report("a", build_status(primary=True), 10_000)
    primary_lease.report("b", build_status(held_term=2), 10_000)
    assert primary_lease.primary(10_000) == ""


def test_a_later_term_wins(primary_lease: PrimaryLease) -> None:
    """Guards against a superseded primary that still believes in itself."""
    primary_lease.report("a", build_status(1, primary=True), 10_000)
    primary_lease.report("c", build_status(2, primary=True), 10_000)
    assert primary_lease.primary(10_000) == "c"


def test_reports_do_not_revive_a_primary_that_is_known_to_be_replaced(
    primary_lease: PrimaryLease,
) -> None:
    """Guards against a node that acknowledged the change, lost the store and asks the members."""
    primary_lease.confirm_record(build_record("", 2, previous="a", held_term=2), 1_100)
    primary_lease.report("a", build_status(1, primary=True), 10_000)
    primary_lease.report("b", build_status(1), 10_000)
    assert primary_lease.primary(10_000) == ""


def test_an_announced_change_ends_the_steady_time(primary_lease: PrimaryLease) -> None:
    """Guards against a read that runs outside of a transaction which a stopped primary refused."""
    assert primary_lease.is_steady(1_100)
    primary_lease.confirm_record(build_record("a", 1, ending=True), 1_200)
    assert not primary_lease.is_steady(1_300)
    assert primary_lease.primary(1_300) == "a"


def test_a_member_that_is_not_known_to_lead_is_not_steady(primary_lease: PrimaryLease) -> None:
    """Guards against a read beside the BEGIN that a future primary refuses."""
    primary_lease.confirm_record(build_record("b", 3, promoted=False), 1_200)
    assert not primary_lease.is_steady(1_300)
