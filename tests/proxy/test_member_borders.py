"""Exploration of what members may answer to their home proxy."""

import json
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from itertools import repeat
from typing import Any, get_type_hints
from unittest.mock import patch

import pytest
from burdockrun_bench.node_host import NodeHost
from burdockrun_messages import (
    MAX_COUNT,
    Access,
    Action,
    AskStatus,
    ControlAnswered,
    Event,
    ExecuteAnswer,
    ExecuteAnswered,
    ExecuteStatus,
    LogPosition,
    MemberRole,
    MemberStatus,
    Outcome,
    SendAnswer,
    Settle,
    Settled,
    TransactionStep,
    decode_message,
    encode_message,
)
from burdockrun_proxy.endpoints import decode_control_reply
from hypothesis import HealthCheck, Phase, example, given, settings
from hypothesis import strategies as st
from result import Err

from tests.proxy.common import DATABASE, SERVICE, VirtualDeployment

# The deployment goes on after each example, so that a failed one cannot be reduced.
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    phases=[Phase.explicit, Phase.generate],
    report_multiple_bugs=False,
    suppress_health_check=list(HealthCheck),
)
DEADLINE_MS = 400
# Longer than a member that is silent is waited for.
SETTLED_MS = 2_500
DEPTH = 100_000
DEEP = "a value that is nested deeply"
REMOVED = "a field that is missing"

INTEGERS = st.one_of(
    st.integers(-2, 9), st.sampled_from([2**31, 2**53, 2**63, 2**64, 10**30, -(10**30), 10**400])
)
POSITIONS = st.builds(lambda term, index: {"term": term, "index": index}, INTEGERS, INTEGERS)
ODD = st.one_of(
    INTEGERS,
    POSITIONS,
    st.sampled_from([None, True, "", "7", "\ud800", "x" * 70_000, [], {}, DEEP, REMOVED]),
    st.sampled_from([0.5, 1e308, float("nan"), float("inf"), -float("inf")]),
)
FIELDS: dict[str, st.SearchStrategy[Any]] = {
    **dict.fromkeys({*get_type_hints(ExecuteAnswer), *get_type_hints(MemberStatus)}, INTEGERS),
    **dict.fromkeys(("fresh", "repeated", "ran"), st.booleans()),
    "position": POSITIONS,
    "status": st.sampled_from(ExecuteStatus),
    "role": st.sampled_from(MemberRole),
    "result": ODD,
    "message": st.text(max_size=8),
    "member": st.text(max_size=8),
    "unknown": ODD,
}
FIELD = st.sampled_from(sorted(FIELDS)).flatmap(
    lambda name: st.tuples(st.just(name), st.one_of(FIELDS[name], FIELDS[name], ODD))
)
# Fields to replace in a valid answer, or what is sent in its place.
CHANGE = st.one_of(
    st.lists(FIELD, max_size=2).map(dict),
    st.lists(FIELD, max_size=2).map(dict),
    st.sampled_from([b"", b"null", b"[]", b"{", b"\xff", b"[" * DEPTH, b"1" * 5_000]),
)
Change = dict[str, Any] | bytes
STATEMENTS: list[dict[str, Any]] = [
    {"statement": "PUT key 1"},
    {"statement": "GET key"},
    {"statement": "GET key", "accepted_staleness_ms": 300, "rank": SERVICE.ranks[1].name},
    {"statement": "BEGIN", "step": TransactionStep.BEGIN, "access": Access.WRITE},
]


def change_answer(answer: object, change: Change) -> bytes:
    """Return an answer as sent by a member with a defect."""
    if isinstance(change, bytes):
        return change
    fields = {**json.loads(encode_message(answer)), **change}
    text = json.dumps({name: value for name, value in fields.items() if value != REMOVED})
    return text.replace(f'"{DEEP}"', "[" * DEPTH + "]" * DEPTH).encode()


class OddMembers:
    """Changes what members answer to one node, and counts the answers to its callers."""

    def __init__(self, host: NodeHost, changes: Sequence[Change], answers: Counter[int]) -> None:
        self._host = host
        self._handle = host.node.handle
        self._changes = list(changes)
        self._answers = answers

    def handle(self, event: Event, now_ms: int) -> list[Action]:
        """Pass an event to the node as the adapters would with the changed answer."""
        if isinstance(event, ExecuteAnswered) and self._changes:
            body = change_answer(event.answer, self._changes.pop(0))
            decoded = decode_message(ExecuteAnswer, body)
            if isinstance(decoded, Err):
                link = self._host._connections[event.connection_id]
                self._host._break_connection(event.connection_id, link)
                return []
            event = ExecuteAnswered(connection_id=event.connection_id, answer=decoded.ok_value)
        if isinstance(event, ControlAnswered) and event.reply is not None and self._changes:
            body = change_answer(event.reply, self._changes.pop(0))
            is_settled = isinstance(event.reply, Settled)
            operation = Settle(term=1, request_id="q") if is_settled else AskStatus()
            reply = decode_control_reply(operation, body)
            event = ControlAnswered(call_id=event.call_id, reply=reply)
        actions = self._handle(event, now_ms)
        self._answers.update(one.caller_id for one in actions if isinstance(one, SendAnswer))
        return actions


@contextmanager
def change_answers(
    deployment: VirtualDeployment, changes: Sequence[Change]
) -> Iterator[Counter[int]]:
    """Change the next answers that each node gets; yield the number of answers by caller."""
    answers: Counter[int] = Counter()
    with ExitStack() as stack:
        for host in deployment.cluster.nodes:
            odd = OddMembers(host, changes, answers)
            stack.enter_context(patch.object(host.node, "handle", odd.handle))
        yield answers


@pytest.mark.parametrize("value", [-1, 2**63, 10**400, "x", [], DEEP])
def test_an_answer_that_is_not_understood_is_no_answer(value: Any) -> None:
    """Guards against numbers that cannot be reckoned with, and terms that end all others."""
    sound = LogPosition(term=1, index=2)
    answer = ExecuteAnswer(execution_id=1, status=ExecuteStatus.OK, position=sound)
    status = MemberStatus(member="m", term=1, role=MemberRole.PRIMARY, position=sound)
    settle = Settle(term=1, request_id="q")
    for change in ({"lag_ms": value}, {"confirmed_index": value}, {"position": REMOVED}):
        assert decode_message(ExecuteAnswer, change_answer(answer, change)).is_err()
        assert decode_control_reply(AskStatus(), change_answer(status, change)) is None
    for name in ("term", "index"):
        odd = {"position": {"term": 1, "index": 2, name: value}}
        assert decode_message(ExecuteAnswer, change_answer(answer, odd)).is_err()
        assert decode_control_reply(AskStatus(), change_answer(status, odd)) is None
        settled = change_answer(Settled(ran=True, position=sound), odd)
        assert decode_control_reply(settle, settled) is None


def test_any_answer_of_a_member_is_handled() -> None:
    """Guards against an answer that stops a proxy or leaves a caller without its one answer."""
    deployment = VirtualDeployment(checks=False)
    nodes = deployment.cluster.nodes

    @SETTINGS
    @example([{"lag_ms": 10**400}] * 12, 0)
    @given(st.lists(CHANGE, min_size=1, max_size=12), st.integers(0, len(nodes) - 1))
    def explore(changes: list[Change], number: int) -> None:
        begun = deployment.execute(nodes[number], "BEGIN", step=TransactionStep.BEGIN)
        commit = {"statement": "COMMIT", "step": TransactionStep.COMMIT}
        commits = [{**commit, "transaction": begun.transaction}] if begun.transaction else []
        with change_answers(deployment, changes) as answers:
            callers = [
                deployment.send(nodes[number], deployment.build(deadline_ms=DEADLINE_MS, **fields))
                for fields in STATEMENTS + commits
            ]
            deployment.run(SETTLED_MS)
        assert None not in [caller() for caller in callers]
        assert sorted(answers.values()) == [1] * len(callers)

    explore()
    deployment.run(20_000)
    for node in nodes:
        assert deployment.execute(node, "PUT key 2").outcome is Outcome.DONE
        assert deployment.execute(node, "GET key").result == "2"


def test_a_term_that_no_promotion_can_exceed_does_not_end_promotions() -> None:
    """Guards against a database without a primary since a member has once told an absurd term."""
    deployment = VirtualDeployment(checks=False)
    primary = deployment.cluster.find_primary(DATABASE)
    assert primary is not None
    # Changed answers are decoded as those of real members are.
    odd, sound = {"term": MAX_COUNT}, dict[str, Any]()
    changes: list[Change] = [*repeat(odd, 6), *repeat(sound, 10_000)]
    with change_answers(deployment, changes):
        deployment.run(1_000)
        primary.kill()
        deployment.run(5_000)
        node = next(one for one in deployment.cluster.nodes if one.info.domain != "aug")
        answer = deployment.execute(node, "PUT key 1", deadline_ms=3_000)
    assert answer.outcome is Outcome.DONE
