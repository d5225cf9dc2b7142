"""Exploration of what other nodes may send to a proxy."""

from collections.abc import Mapping
from dataclasses import is_dataclass
from enum import Enum
from types import UnionType
from typing import Annotated, Any, Literal, Union, get_args, get_origin, get_type_hints
from unittest.mock import patch

import pytest
from burdockrun_messages import (
    Action,
    ExecuteAnswer,
    Forward,
    ForwardAnswer,
    ForwardStatus,
    JsonValue,
    LogPosition,
    NodeInfo,
    Outcome,
    PeerMessage,
    PeerReceived,
    RequestReceived,
    SendAnswer,
    SendPeer,
    Settled,
    StatementAnswer,
    StatementRequest,
    TaggedPeerMessage,
    TimerFired,
    decode_message,
    decode_union,
    encode_message,
)
from burdockrun_sessions import TokenCodec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from result import Err, Ok

from tests.proxy.common import VirtualDeployment

SETTINGS = settings(
    derandomize=True, deadline=None, max_examples=200, suppress_health_check=list(HealthCheck)
)
SIMPLE: dict[Any, st.SearchStrategy[Any]] = {
    int: st.one_of(st.integers(-3, 8), st.sampled_from([2**31, 2**63, 10**30, -(10**30), 10**400])),
    str: st.one_of(st.sampled_from(["", "é", "wendedb-0", "muc-nord"]), st.text(max_size=8)),
    bool: st.booleans(),
    JsonValue: st.one_of(st.none(), st.integers(), st.text(max_size=4)),
}
TICK_MS = 50
MESSAGES_PER_TICK = 10


def build_strategy(kind: Any) -> st.SearchStrategy[Any]:
    """Return a strategy for all values of a type of messages, odd ones too."""
    if kind in SIMPLE:
        return SIMPLE[kind]
    origin, parts = get_origin(kind), get_args(kind)
    if origin is Annotated:
        return build_strategy(parts[0])
    if origin is Literal:
        return st.sampled_from(parts)
    if origin in {Union, UnionType}:
        return st.one_of(*map(build_strategy, parts))
    if origin is tuple:
        return st.lists(build_strategy(parts[0]), max_size=3).map(tuple)
    if origin in {dict, Mapping}:
        return st.dictionaries(*map(build_strategy, parts), max_size=3)
    if isinstance(kind, type) and is_dataclass(kind):
        hints = get_type_hints(kind, include_extras=True)
        return st.builds(kind, **{name: build_strategy(hint) for name, hint in hints.items()})
    if isinstance(kind, type) and issubclass(kind, Enum):
        return st.sampled_from(kind)
    return st.none() if kind in {None, type(None)} else st.nothing()


@pytest.fixture(scope="module")
def deployment() -> VirtualDeployment:
    """Return a deployment that has been running for a while."""
    return VirtualDeployment()


@pytest.fixture(scope="module")
def sound_deployment() -> VirtualDeployment:
    """Return a deployment whose nodes get no odd messages of other kinds."""
    return VirtualDeployment()


@pytest.mark.parametrize("kind", get_args(PeerMessage), ids=lambda kind: kind.__name__)
def test_any_message_of_a_peer_is_handled(deployment: VirtualDeployment, kind: Any) -> None:
    """Guards against a message of another version, or a damaged one, that stops a proxy."""
    node = deployment.cluster.nodes[0].node
    seen: list[Any] = []

    @SETTINGS
    @given(build_strategy(kind), SIMPLE[str])
    def explore(message: Any, peer: str) -> None:
        decoded = decode_message(kind, encode_message(message))
        if isinstance(decoded, Err):
            return
        seen.append(decoded.ok_value)
        now_ms = deployment.cluster.loop.now_ms + TICK_MS * len(seen)
        node.handle(PeerReceived(peer=peer, message=decoded.ok_value), now_ms)
        if len(seen) % MESSAGES_PER_TICK == 0:
            node.handle(TimerFired(), now_ms)

    explore()
    assert seen


def find_forward(actions: list[Action]) -> Forward:
    """Return the only request that is passed on."""
    sent = [one.message for one in actions if isinstance(one, SendPeer)]
    (forward,) = [message for message in sent if isinstance(message, Forward)]
    return forward


@pytest.mark.parametrize("number", [-1, 2**63, 10**30, 10**400])
@pytest.mark.parametrize("place", ["index", "lag_ms", "position"])
def test_an_answer_of_a_peer_with_odd_numbers_leaves_no_caller_without_an_answer(
    sound_deployment: VirtualDeployment, place: str, number: int
) -> None:
    """Guards against a request that is forgotten before its caller has the answer."""
    deployment = sound_deployment
    deployment.run(1_000)
    node, now_ms = deployment.cluster.nodes[0].node, deployment.cluster.loop.now_ms
    request = deployment.build("PUT k 1", deadline_ms=500)
    event = RequestReceived(caller_id=5, request=request)
    forward = find_forward(node.handle(event, now_ms))
    done = StatementAnswer(
        request_id=request.request_id,
        outcome=Outcome.DONE,
        term=1,
        index=number if place == "index" else 1,
    )
    reply = ForwardAnswer(
        forward_id=forward.forward_id,
        status=ForwardStatus.ANSWERED,
        answer=done,
        position=LogPosition(term=1, index=number if place == "position" else 1),
        lag_ms=number if place == "lag_ms" else 1,
    )
    decoded = decode_union(TaggedPeerMessage, encode_message(reply))
    if isinstance(decoded, Ok):
        node.handle(PeerReceived(peer="vm2", message=decoded.ok_value), now_ms + TICK_MS + 10)
    actions = node.handle(TimerFired(), now_ms + 501)
    answers = [one for one in actions if isinstance(one, SendAnswer)]
    assert [one.caller_id for one in answers] == [5]
    assert answers[0].answer.outcome is Outcome.UNKNOWN


def test_an_answer_that_raises_leaves_its_caller_to_the_deadline(
    sound_deployment: VirtualDeployment,
) -> None:
    """Guards against a request that is forgotten before its caller has the answer."""
    deployment = sound_deployment
    deployment.run(1_000)
    node, now_ms = deployment.cluster.nodes[0].node, deployment.cluster.loop.now_ms
    request = deployment.build("PUT k 1", deadline_ms=500)
    with patch.object(TokenCodec, "encode", side_effect=TypeError):
        forward = find_forward(node.handle(RequestReceived(caller_id=5, request=request), now_ms))
        done = StatementAnswer(request_id=request.request_id, outcome=Outcome.DONE)
        reply = ForwardAnswer(
            forward_id=forward.forward_id, status=ForwardStatus.ANSWERED, answer=done
        )
        with pytest.raises(TypeError):
            node.handle(PeerReceived(peer="vm2", message=reply), now_ms + 10)
    actions = node.handle(TimerFired(), now_ms + 501)
    assert [one.caller_id for one in actions if isinstance(one, SendAnswer)] == [5]


def nest(depth: int) -> str:
    """Return a value with lists inside of each other."""
    return "[" * depth + "1" + "]" * depth


@pytest.mark.parametrize(
    "value", [nest(depth) for depth in (1, 50, *range(94, 104), *range(190, 204))]
)
def test_a_value_that_is_accepted_can_be_passed_on(value: str) -> None:
    """Guards against a value that a proxy accepts and the next one cannot read.

    Its caller then waits until the deadline, and hears `unknown`.
    """
    body = (
        '{"request_id":"q","account":"bayern","database":"wendedb","statement":"PUT k ?",'
        f'"access":"write","parameters":[{value}]}}'
    )
    request = decode_message(StatementRequest, body)
    if isinstance(request, Ok):
        sender = NodeInfo(node="p1", domain="aug", host="127.0.0.1", port=1)
        forward = Forward(
            forward_id=1, member="m", request=request.ok_value, deadline_ms=9, sender=sender
        )
        assert decode_union(TaggedPeerMessage, encode_message(forward)).is_ok()
    answer = decode_message(
        ExecuteAnswer,
        f'{{"execution_id":1,"status":"ok","position":{{"term":1,"index":1}},"result":{value}}}',
    )
    assert isinstance(answer, Ok) is isinstance(request, Ok) is (len(value) <= 2 * 100 + 1)
    if isinstance(answer, Ok):
        done = StatementAnswer(request_id="q", outcome=Outcome.DONE, result=answer.ok_value.result)
        reply = ForwardAnswer(forward_id=1, status=ForwardStatus.ANSWERED, answer=done)
        assert decode_union(TaggedPeerMessage, encode_message(reply)).is_ok()


@pytest.mark.parametrize("value", ["NaN", "Infinity", "-1e400", "[[1e400]]", '{"a": NaN}'])
def test_a_number_that_cannot_be_passed_on_is_refused(value: str) -> None:
    """Guards against a value that is changed to null on its way."""
    body = (
        '{"request_id":"q","account":"bayern","database":"wendedb","statement":"PUT k ?",'
        f'"access":"write","parameters":[{value}]}}'
    )
    assert decode_message(StatementRequest, body).is_err()
    position = '"position":{"term":1,"index":1}'
    answer = f'{{"execution_id":1,"status":"ok",{position},"result":{value}}}'
    assert decode_message(ExecuteAnswer, answer).is_err()
    assert decode_message(Settled, f'{{"ran":true,{position},"result":{value}}}').is_err()
