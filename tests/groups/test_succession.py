"""Tests of the choice of the next primary, or of whom to wait for before it."""

from collections.abc import Collection
from dataclasses import dataclass, field, replace
from typing import Any

import pytest
from burdockrun_base import LogPosition
from burdockrun_groups import Succession, SuccessionEvidence, find_successor
from burdockrun_statements import MemberStatus
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.groups.common import build_entry, build_status

NAMES = "abcd"


@dataclass(frozen=True)
class Entry:
    """Entry of a log; two leaders may give the same position to different entries."""

    term: int
    commit: int


@dataclass
class SimulatedGroup:
    """Logs of a synchronous group, whose members receive a prefix of the log of their leader."""

    leader: str = "a"
    term: int = 1
    floor: LogPosition | None = None
    commits: int = 0
    has_lost_log: bool = False
    members: set[str] = field(default_factory=lambda: set(NAMES))
    logs: dict[str, list[Entry]] = field(default_factory=lambda: {name: [] for name in NAMES})
    acknowledged: set[Entry] = field(default_factory=set)

    def replicas(self) -> set[str]:
        """Return the members that do not lead."""
        return self.members - {self.leader}

    def leave(self, name: str) -> None:
        """End a member in a planned way, once another replica has what it has received."""
        start = self.floor.index if self.floor is not None else 0
        received = self.acknowledged - set(self.logs[self.leader][:start])
        others = self.replicas() - {name}
        if name in self.replicas() and any(received <= set(self.logs[other]) for other in others):
            self.members.remove(name)
            self.logs[name] = []

    def commit(self, receivers: Collection[str]) -> None:
        """Write an entry, which is acknowledged if a replica receives it."""
        self.commits += 1
        log = self.logs[self.leader]
        log.append(Entry(self.term, self.commits))
        for name in set(receivers) & self.replicas():
            self.logs[name] = list(log)
            self.acknowledged.update(log)
        if self.replicas() <= set(receivers):
            self.has_lost_log = False

    def lose_logs(self, names: Collection[str]) -> None:
        """Start replicas again without their logs."""
        for name in set(names) & self.replicas():
            self.logs[name] = []
            self.has_lost_log = True

    def status(self, name: str) -> MemberStatus:
        """Return what a member answers to STATUS."""
        log = self.logs[name]
        position = LogPosition(term=log[-1].term if log else 1, index=len(log))
        return replace(build_status(), received=position)

    def promote(self, name: str, received: LogPosition | None) -> None:
        """Let a member lead the next term; the others drop what it lacks."""
        self.leader, self.term, self.floor = name, self.term + 1, received
        log = self.logs[name]
        for other in self.replicas():
            common = [one for one, own in zip(self.logs[other], log, strict=False) if one == own]
            self.logs[other] = common
        self.acknowledged &= set(log)


SILENT = st.sets(st.sampled_from(NAMES), max_size=2)


@dataclass(frozen=True)
class Round:
    """Attempt to find a successor, in which answers are missing."""

    silent: set[str]
    previous_answers: bool


@dataclass(frozen=True)
class Term:
    """What happens under one primary until another one is looked for.

    `receivers` has the replicas that receive each entry before it is acknowledged.
    """

    receivers: list[set[str]]
    leaving: str
    restarted: set[str]
    unpaused: set[str]
    rounds: list[Round]
    runs_out: bool


TERMS = st.builds(
    Term,
    receivers=st.lists(st.sets(st.sampled_from(NAMES), max_size=2), max_size=3),
    leaving=st.sampled_from(["", *NAMES]),
    restarted=st.one_of(st.just(set()), st.sets(st.sampled_from(NAMES), max_size=1)),
    unpaused=SILENT,
    rounds=st.lists(
        st.builds(Round, silent=SILENT, previous_answers=st.booleans()), min_size=1, max_size=3
    ),
    runs_out=st.booleans(),
)


def find_after(group: SimulatedGroup, term: Term) -> tuple[Succession, SuccessionEvidence]:
    """Look for a successor until one is found or the rounds have ended."""
    for number, attempt in enumerate(term.rounds, 1):
        replicas = {name: group.status(name) for name in group.replicas()}
        evidence = SuccessionEvidence(
            members={name: build_entry(name) for name in group.members},
            counted=group.members,
            previous=group.leader,
            statuses={name: replicas[name] for name in replicas.keys() - attempt.silent},
            paused={name: replicas[name] for name in replicas.keys() - term.unpaused},
            floor=group.floor,
            final=group.status(group.leader).received if attempt.previous_answers else None,
            has_lost_log=group.has_lost_log,
            synchronous=True,
            is_overdue=term.runs_out and number == len(term.rounds),
        )
        succession = find_successor(evidence)
        if succession.successor:
            break
    return succession, evidence


@settings(derandomize=True, max_examples=800, deadline=None)
@given(st.lists(TERMS, min_size=1, max_size=3))
def test_a_successor_has_every_acknowledged_commit(terms: list[Term]) -> None:
    """Guards against a commit that is lost, whatever answers are missing and for how long."""
    group = SimulatedGroup()
    for term in terms:
        for receivers in term.receivers:
            group.commit(receivers)
        group.leave(term.leaving)
        group.lose_logs(term.restarted)
        succession, evidence = find_after(group, term)
        if not succession.successor:
            assert succession.awaited
            assert not evidence.is_overdue or evidence.final is None
            return
        assert group.acknowledged <= set(group.logs[succession.successor])
        assert not succession.awaited
        group.promote(succession.successor, succession.received)


def build_evidence(
    statuses: dict[str, int], *, synchronous: bool = True, **fields: Any
) -> SuccessionEvidence:
    """Return the evidence on a group whose primary `a` is lost, with the indexes of replicas."""
    evidence = SuccessionEvidence(
        members={name: build_entry(name) for name in "abc"},
        counted=set("abc"),
        previous="a",
        statuses={name: build_status(index=index) for name, index in statuses.items()},
        paused={},
        synchronous=synchronous,
    )
    return replace(evidence, **fields)


def test_a_group_goes_on_once_all_replicas_have_answered() -> None:
    """Guards against a group without a primary though no commit can be missing."""
    assert find_successor(build_evidence({"b": 11, "c": 12})).successor == "c"
    final = LogPosition(term=1, index=12)
    complete = build_evidence({"c": 12}, has_lost_log=True, final=final)
    assert find_successor(complete).successor == "c"
    waiting = find_successor(build_evidence({"b": 11}))
    assert (waiting.successor, waiting.awaited) == ("", frozenset("c"))


def test_a_member_whose_entry_has_lapsed_is_waited_for() -> None:
    """Guards against the loss of commits that only a member has which is cut off from the store."""
    evidence = build_evidence({"b": 11, "c": 12}, counted=set("abcd"))
    for is_overdue in (False, True):
        succession = find_successor(replace(evidence, is_overdue=is_overdue))
        assert succession == Succession(awaited=frozenset("d"))


@pytest.mark.parametrize(
    "fields",
    [
        {"floor": LogPosition(term=1, index=13)},
        {"has_lost_log": True},
        {"paused": {"b": build_status(index=13)}},
    ],
)
def test_the_previous_primary_is_waited_for_if_only_it_may_have_a_commit(
    fields: dict[str, Any],
) -> None:
    """Guards against the loss of commits of a primary that had only just taken over.

    Also guards against the loss of those that a replica has lost with its log.
    """
    evidence = build_evidence({"b": 11, "c": 12}, **fields)
    for is_overdue in (False, True):
        succession = find_successor(replace(evidence, is_overdue=is_overdue))
        assert succession == Succession(awaited=frozenset("a"))
    returned = replace(evidence, final=LogPosition(term=1, index=13), is_overdue=True)
    assert find_successor(returned).successor == "a"


def test_a_stopped_primary_leads_again_rather_than_lose_commits() -> None:
    """Guards against a loss that is accepted although a member with the whole log answers."""
    final = LogPosition(term=1, index=13)
    evidence = build_evidence({"b": 11}, final=final, is_overdue=True)
    assert find_successor(evidence) == Succession(successor="a", received=final, complete=True)


def test_a_previous_primary_that_has_lost_its_log_proves_nothing_and_is_not_waited_for() -> None:
    """Guards against a comparison with the log of a primary that has started again without it.

    Also guards against a wait that nobody can end.
    """
    floor, final = LogPosition(term=1, index=13), LogPosition(term=1, index=0)
    evidence = build_evidence({"c": 12}, floor=floor, final=final)
    for is_overdue in (False, True):
        succession = find_successor(replace(evidence, is_overdue=is_overdue))
        assert succession == Succession(awaited=frozenset("b"))
    answered = build_evidence({"b": 11, "c": 12}, floor=floor, final=final)
    assert find_successor(answered).successor == "c"


def test_only_a_successor_that_is_certain_to_have_all_commits_is_complete() -> None:
    """Guards against reads at a successor that may lack commits and may never lead."""
    final, statuses = LogPosition(term=1, index=12), {"b": 11, "c": 12}
    assert find_successor(build_evidence(statuses)).complete
    assert find_successor(build_evidence(statuses, synchronous=False, final=final)).complete
    assert not find_successor(build_evidence(statuses, synchronous=False)).complete
    newer = replace(final, index=13)
    assert not find_successor(build_evidence(statuses, synchronous=False, final=newer)).complete


def test_a_planned_change_without_the_last_entries_goes_on_if_they_were_not_acknowledged() -> None:
    """Guards against a group that waits for entries which no replica will ever receive."""
    evidence = build_evidence(
        {"b": 11, "c": 12}, final=LogPosition(term=1, index=13), is_catching_up=True
    )
    assert find_successor(evidence).successor == ""
    assert find_successor(replace(evidence, is_catching_up=False)).successor == "c"


def test_a_member_that_ends_soon_takes_over_only_where_it_may_have_the_only_copy() -> None:
    """Guards against a successor that is used beyond its end, and against commits lost with it."""
    statuses = {"b": 11, "c": 12}
    other = build_evidence(statuses, synchronous=False, ending={"c"})
    assert find_successor(replace(other, is_overdue=True)).successor == "b"
    assert find_successor(build_evidence(statuses, ending={"c"})).successor == "c"


def test_another_service_waits_shortly_for_a_member_known_to_have_more() -> None:
    """Guards against lost commits for want of one answer, and against waits for silent members."""
    paused = {"b": build_status(index=11), "c": build_status(index=12)}
    evidence = build_evidence({"b": 11}, synchronous=False, paused=paused)
    assert find_successor(evidence).awaited == {"c"}
    assert find_successor(replace(evidence, is_overdue=True)).successor == "b"
    assert find_successor(build_evidence({"b": 11}, synchronous=False)).successor == "b"
    unanswered = build_evidence({}, synchronous=False, paused=paused, is_overdue=True)
    assert find_successor(unanswered).successor == "c"
