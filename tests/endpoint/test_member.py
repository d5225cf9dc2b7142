"""Tests of terms, replication and idempotency of the database member."""

import random

from burdockrun_endpoint import DatabaseMember
from burdockrun_messages import (
    AwaitConfirmed,
    ExecuteStatus,
    Fence,
    MemberRole,
    MemberStatus,
    Promote,
    Settle,
    Settled,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.endpoint.common import NAMES, Group


def test_write_is_confirmed_only_when_a_majority_holds_it() -> None:
    """Guards against acknowledged writes that only the primary has."""
    group = Group()
    group.start_term(1, "m0")
    group.replicate("m1", "m2")
    position = group.run("m0", "PUT a 1", "r1").position
    primary = group.members["m0"]
    wait = AwaitConfirmed(term=1, index=position.index, wait_ms=0)
    assert not primary.is_wait_finished(wait)
    group.replicate("m2")
    assert primary.is_wait_finished(wait)
    assert primary.confirmed_index == position.index


def test_fenced_member_refuses_entries_and_writes_of_the_old_term() -> None:
    """Guards against a superseded primary whose writes a majority still confirms."""
    group = Group()
    group.start_term(1, "m0")
    group.replicate("m1", "m2")
    for name in ("m1", "m2"):
        group.members[name].control(Fence(term=2), group.now_ms)
    position = group.run("m0", "PUT a 1", "r1").position
    group.replicate("m1", "m2")
    assert group.members["m0"].confirmed_index < position.index
    assert group.run("m1", "PUT a 2", "r2", 1).status is ExecuteStatus.WRONG_TERM
    assert group.run("m1", "PUT a 2", "r2", 2).status is ExecuteStatus.NOT_PRIMARY


def test_old_primary_truncates_to_the_common_prefix() -> None:
    """Guards against unacknowledged writes of an old term that reappear."""
    group = Group()
    group.start_term(1, "m0")
    group.run("m0", "PUT a 1", "r1")
    group.replicate("m1", "m2")
    group.run("m0", "PUT a lost", "r2")
    group.start_term(2, "m1", ("m1", "m2"))
    group.run("m1", "PUT b 2", "r3", 2)
    group.follow("m0", 2, "m1")
    group.replicate("m0", "m2")
    logs = {name: group.members[name].log for name in NAMES}
    assert logs["m0"].entries == logs["m1"].entries == logs["m2"].entries
    assert logs["m0"].data == {"a": "1", "b": "2"}
    assert logs["m0"].find_request("r2") is None


def test_promotion_needs_the_fence_of_the_same_term() -> None:
    """Guards against two primaries when the promotion of an older term arrives late."""
    group = Group()
    member = group.members["m0"]
    member.control(Fence(term=2), 0)
    roles = []
    for term in (1, 2):
        member.control(Promote(term=term, members=("m1", "m2")), 0)
        roles.append(member.role)
    assert roles == [MemberRole.FENCED, MemberRole.PRIMARY]
    assert member.log.last.term == 2
    assert member.confirmed_index == 0


def test_restarted_primary_serves_no_writes() -> None:
    """Guards against a restarted primary that serves writes without its replication progress."""
    group = Group()
    group.start_term(1, "m0")
    group.members["m0"].restart()
    assert group.run("m0", "PUT a 1", "r1").status is ExecuteStatus.NOT_PRIMARY


def test_repeated_request_gets_the_recorded_result_also_in_a_new_term() -> None:
    """Guards against a repeated request that runs its write twice."""
    group = Group()
    group.start_term(1, "m0")
    first = group.run("m0", "ADD visits 1", "r1")
    group.replicate("m1", "m2")
    group.start_term(2, "m1")
    again = group.run("m1", "ADD visits 1", "r1", 2)
    assert (again.result, again.position, again.repeated) == (first.result, first.position, True)
    assert group.run("m1", "ADD visits 2", "r1", 2).status is ExecuteStatus.CONFLICT


def test_settled_request_never_runs_later() -> None:
    """Guards against a write that runs after its caller was told that it did not run."""
    group = Group()
    group.start_term(1, "m0")
    connection = group.open("m0")
    group.send("m0", connection, "PUT a 1", "r1")
    settled = group.members["m0"].control(Settle(term=1, request_id="r1"), group.now_ms)
    assert isinstance(settled, Settled)
    assert not settled.ran
    assert group.wait("m0")[connection].status is ExecuteStatus.CANCELLED
    done = group.run("m0", "PUT a 2", "r2")
    settled = group.members["m0"].control(Settle(term=1, request_id="r2"), group.now_ms)
    assert settled == Settled(ran=True, position=done.position, result="2")
    late = group.members["m0"].control(Settle(term=0, request_id="r3"), group.now_ms)
    assert isinstance(late, MemberStatus)


def test_replica_answers_behind_until_it_has_the_position() -> None:
    """Guards against a read that misses the caller's own write."""
    group = Group()
    group.start_term(1, "m0")
    position = group.run("m0", "PUT a 1", "r1").position
    group.members["m1"].lag_ms = 5_000
    group.replicate("m1")
    assert group.run("m1", "GET a", required=position).status is ExecuteStatus.BEHIND
    group.now_ms += 5_000
    group.replicate("m1")
    assert group.run("m1", "GET a", required=position).result == "1"
    lag_ms = group.members["m1"].status(group.now_ms).lag_ms
    assert lag_ms is not None
    assert lag_ms >= 5_000


def test_slots_limit_the_statements_in_service() -> None:
    """Guards against a member that serves more statements at once than it has slots."""
    member = DatabaseMember("m", "d", 2, 10, random.Random(1))
    group = Group()
    group.members["m0"] = member
    group.start_term(1, "m0")
    for connection in range(100, 140):
        member.open(connection)
        group.send("m0", connection, "GET a")
    finished = [len(member.advance(group.now_ms + step)) for step in range(400)]
    assert sum(finished[:100]) in range(14, 25)
    assert sum(finished) == 40


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(NAMES), st.sampled_from(("write", "replicate", "fail over"))),
        max_size=25,
    )
)
def test_confirmed_entries_survive_every_majority_failover(steps: list[tuple[str, str]]) -> None:
    """Guards against a confirmed entry that a later term loses."""
    group = Group()
    group.start_term(1, "m0")
    term, primary = 1, "m0"
    confirmed: list[str | None] = []
    for number, (name, action) in enumerate(steps):
        if action == "write":
            group.run(primary, f"PUT k {number}", f"r{number}", term)
        if action == "replicate":
            group.replicate(name)
        if action == "fail over":
            term += 1
            fenced = tuple(other for other in NAMES if other != name)
            for other in fenced:
                group.members[other].control(Fence(term=term), group.now_ms)
            primary = max(fenced, key=lambda other: group.members[other].log.last)
            group.start_term(term, primary, fenced)
        log = group.members[primary].log
        ids = [entry.request_id for entry in log.entries]
        assert ids[: len(confirmed)] == confirmed
        confirmed = ids[: max(len(confirmed), group.members[primary].confirmed_index)]


def test_leadership_check_needs_pulls_that_began_after_it() -> None:
    """Guards against a delayed pull that lets the check of a superseded primary succeed."""
    group = Group()
    group.start_term(1, "m0")
    group.replicate("m1", "m2")
    delayed = group.members["m1"].make_pull()
    assert delayed is not None
    for name in ("m1", "m2"):
        group.members[name].control(Fence(term=2), group.now_ms)
    primary = group.members["m0"]
    wait = AwaitConfirmed(term=1, index=0, wait_ms=0, fresh=True)
    number = primary.begin_wait(wait)
    primary.answer_pull(delayed, group.now_ms)
    assert not primary.answer_wait(wait, number, group.now_ms).fresh
    group.start_term(3, "m0")
    group.replicate("m1")
    wait = AwaitConfirmed(term=3, index=0, wait_ms=0, fresh=True)
    number = primary.begin_wait(wait)
    assert not primary.is_wait_finished(wait, number)
    group.replicate("m1")
    assert primary.answer_wait(wait, number, group.now_ms).fresh
