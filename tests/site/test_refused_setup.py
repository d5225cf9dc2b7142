"""Tests of statements behind a BEGIN or a setup statement that a member refuses."""

import logging
from collections import Counter

import pytest
from burdockrun_gateway.const import SETUP_REFUSED

from tests.site.common import (
    SERVICE,
    Client,
    Deployment,
    async_deploy,
    error_of,
    read_events,
    rows_of,
)
from tests.site.test_homes import async_wait_for_homes, find_home

# So few connections that other gateways reach a member through its home.
HOME_GATEWAYS, HOME_CONNECTIONS = 4, 4
# Codes with which a client is told that nothing is kept.
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY"}


@pytest.mark.parametrize("end", ["ROLLBACK", "COMMIT"])
async def test_a_write_runs_in_its_transaction_when_a_successor_does_not_lead_yet(end: str) -> None:
    """Guards against a write outside of its transaction, which is kept though it is rolled back.

    The successor refuses the BEGIN, and leads when it comes to the write behind it. A write that is
    sent again with its BEGIN would be kept twice.
    """
    async with async_deploy() as deployment:
        client = await deployment.async_connect("urgent")
        deployment.store.promote_delay_s = 0.5
        successors = [deployment.members["b"], deployment.members["c"]]
        for member in successors:
            member.lead_before = "WRITE"
        deployment.register_member(deployment.members["a"], state="draining")
        await deployment.async_wait_until(lambda: bool(deployment.store.promotions))
        kept: set[str] = set()
        dropped: set[str] = set()
        number = 0
        while not any(member.primary for member in successors):
            number += 1
            assert error_of(await client.async_query("BEGIN")) == ""
            is_refused = error_of(await client.async_query(f"WRITE ward v{number}"))
            error = error_of(await client.async_query("ROLLBACK" if is_refused else end))
            if end == "ROLLBACK" or is_refused or error in PROMISES:
                dropped.add(f"v{number}")
            elif not error:
                kept.add(f"v{number}")
        leader = next(member for member in successors if member.primary)
        written = Counter(commit.items["ward"] for commit in leader.log)
        assert [value for value, times in written.items() if times > 1] == []
        assert (kept - written.keys(), dropped & written.keys()) == (set(), set())
        runs = [one for member in successors for one in member.executed if one.text == "WRITE"]
        assert [one.state for one in runs] == ["T"] * len(runs)


@pytest.mark.parametrize("code", ["BUSY", "FAILED", "UNKNOWN", "INDOUBT"])
@pytest.mark.parametrize("gateways", [1, 2])
async def test_a_write_runs_once_with_its_values_when_the_member_refuses_a_value(
    code: str, gateways: int
) -> None:
    """Guards against a write that runs behind a refused SET and is repeated, or refused."""
    async with async_deploy(gateways) as deployment:
        client = await deployment.async_connect("urgent")
        assert error_of(await client.async_query("SET zone nbg")) == ""
        deployment.members["a"].refuse_next["SET"] = code
        answer = await client.async_query("WRITE ward v1")
        runs = [one for one in deployment.members["a"].executed if one.text == "WRITE"]
        assert error_of(answer) in {"", "BUSY"}
        assert [one.values for one in runs] == [(("zone", "nbg"),)] * int(not error_of(answer))
        assert len(deployment.members["a"].log) == len(runs)


@pytest.mark.parametrize("code", ["BUSY", "FAILED", "UNKNOWN", "INDOUBT"])
async def test_a_write_behind_a_refused_prepare_runs_once(code: str) -> None:
    """Guards against a write that is repeated since its name could not be prepared once more."""
    async with async_deploy() as deployment:
        client = await deployment.async_connect("urgent")
        assert error_of(await client.async_query("PREPARE p1 WRITE q2c")) == ""
        deployment.members["a"].refuse_next["PREPARE"] = code
        answer = await client.async_query("EXECUTE p1 ward v1")
        assert error_of(answer) in {"", "BUSY"}
        assert len(deployment.members["a"].log) == int(not error_of(answer))


@pytest.mark.parametrize("gateways", [1, 2])
@pytest.mark.parametrize("access", ["READ", "WRITE"])
async def test_a_prepared_statement_that_a_member_has_forgotten_is_prepared_again(
    access: str, gateways: int
) -> None:
    """Guards against UNKNOWN for a name whose preparing was acknowledged to the client."""
    async with async_deploy(gateways) as deployment:
        client = await deployment.async_connect("urgent", gateways - 1)
        assert error_of(await client.async_query(f"PREPARE p1 {access} q2c")) == ""
        operand = "ward" if access == "READ" else "ward v1"
        for _ in range(2):
            assert error_of(await client.async_query(f"EXECUTE p1 {operand}")) == ""
            deployment.members["a"].refuse_next["EXECUTE"] = "UNKNOWN"
        assert error_of(await client.async_query("BEGIN")) == ""
        deployment.members["a"].refuse_next.clear()
        assert error_of(await client.async_query(f"EXECUTE p1 {operand}")) == ""
        deployment.members["a"].refuse_next["EXECUTE"] = "UNKNOWN"
        answer = await client.async_query(f"EXECUTE p1 {operand}")
        assert error_of(answer) == "BUSY"
        assert answer[-1].startswith("READY E")
        assert error_of(await client.async_query("ROLLBACK")) == ""
        assert error_of(await client.async_query(f"EXECUTE p1 {operand}")) == ""


async def test_a_member_that_knows_no_prepared_statement_gets_no_new_connections() -> None:
    """Guards against a new connection for each try of a statement that a member does not know."""
    async with async_deploy(gateways=1) as deployment:
        member = deployment.members["a"]
        client = await deployment.async_connect("urgent")
        assert error_of(await client.async_query("SET zone nbg")) == ""
        assert error_of(await client.async_query("PREPARE p1 WRITE q2c")) == ""
        assert error_of(await client.async_query("EXECUTE p1 ward v1")) == ""
        accepted = member.accepted_connections
        member.refuse_all["EXECUTE"] = "UNKNOWN"
        for _ in range(5):
            assert error_of(await client.async_query("EXECUTE p1 ward v2")) == "BUSY"
        assert member.accepted_connections <= accepted + 1
        member.refuse_all.clear()
        assert error_of(await client.async_query("EXECUTE p1 ward v3")) == ""
        assert member.executed[-1].values == (("zone", "nbg"),)
        assert len(member.log) == 2


@pytest.mark.parametrize("by_account", [False, True])
@pytest.mark.parametrize("access", ["READ", "WRITE"])
async def test_a_name_that_a_member_has_forgotten_is_prepared_again_by_its_home(
    access: str, by_account: bool
) -> None:
    """Guards against UNKNOWN for a name that another node has prepared at the home."""
    async with async_deploy(HOME_GATEWAYS, HOME_CONNECTIONS) as deployment:
        if by_account:
            for gateway in deployment.gateways:
                gateway.directory.groups[SERVICE].set_limit(HOME_CONNECTIONS, by_account=True)
        await async_wait_for_homes(deployment)
        caller = (find_home(deployment, "a") + 1) % HOME_GATEWAYS
        client = await deployment.async_connect("urgent", caller)
        assert error_of(await client.async_query(f"PREPARE p1 {access} q1 READ ii")) == ""
        operand = "ward" if access == "READ" else "ward v1"
        for begin in ("", "BEGIN"):
            if begin:
                assert error_of(await client.async_query(begin)) == ""
            assert error_of(await client.async_query(f"EXECUTE p1 {operand}")) == ""
            deployment.members["a"].refuse_next["EXECUTE"] = "UNKNOWN"
            answer = await client.async_query(f"EXECUTE p1 {operand}")
            assert error_of(answer) in ({"BUSY"} if begin else {"", "BUSY"})
            assert answer[-1].startswith("READY E" if begin else "READY I")
        assert error_of(await client.async_query("ROLLBACK")) == ""
        assert error_of(await client.async_query(f"EXECUTE p1 {operand}")) == ""
        assert {run.shape for run in deployment.members["a"].executed} == {"q1 READ ii"}


@pytest.mark.parametrize("gateways", [1, 2])
@pytest.mark.parametrize("access", ["READ", "WRITE"])
async def test_a_connection_whose_setup_a_member_has_dropped_is_set_up_again(
    access: str, gateways: int
) -> None:
    """Guards against a name that stays unknown to a member, and against a run without values."""
    async with async_deploy(gateways) as deployment:
        client = await deployment.async_connect("urgent", gateways - 1)
        await async_check_dropped_setup(deployment, client, access)


@pytest.mark.parametrize("by_account", [False, True])
@pytest.mark.parametrize("access", ["READ", "WRITE"])
async def test_a_home_sets_up_a_connection_again_whose_setup_a_member_has_dropped(
    access: str, by_account: bool
) -> None:
    """Guards against a home that goes on with names and values that its member has dropped."""
    async with async_deploy(HOME_GATEWAYS, HOME_CONNECTIONS) as deployment:
        if by_account:
            for gateway in deployment.gateways:
                gateway.directory.groups[SERVICE].set_limit(HOME_CONNECTIONS, by_account=True)
        await async_wait_for_homes(deployment)
        caller = (find_home(deployment, "a") + 1) % HOME_GATEWAYS
        client = await deployment.async_connect("urgent", caller)
        await async_check_dropped_setup(deployment, client, access, through_home=True)


async def async_check_dropped_setup(
    deployment: Deployment, client: Client, access: str, *, through_home: bool = False
) -> None:
    """Let the primary drop its setup before an EXECUTE, outside of and within a transaction.

    The statement has not run then. A home may refuse it, and then serves the next one.
    """
    member = deployment.members["a"]
    execute = "EXECUTE p1 ward" if access == "READ" else "EXECUTE p1 ward v1"
    for text in ("SET zone nbg", f"PREPARE p1 {access} q2c", execute):
        assert error_of(await client.async_query(text)) == ""
    member.forget_before = "EXECUTE"
    refused = error_of(await client.async_query(execute))
    assert refused in ({"", "BUSY"} if through_home else {""})
    assert error_of(await client.async_query(execute)) == ""
    for text in ("BEGIN", execute):
        assert error_of(await client.async_query(text)) == ""
    member.forget_before = "EXECUTE"
    answer = await client.async_query(execute)
    assert error_of(answer) == "BUSY"
    assert answer[-1].startswith("READY E")
    for text in ("ROLLBACK", execute):
        assert error_of(await client.async_query(text)) == ""
    assert member.forget_before == ""
    runs = [(one.text, one.shape, one.values) for one in member.executed]
    assert runs == [(access, "q2c", (("zone", "nbg"),))] * (4 + (not refused))


async def test_a_refused_prepare_is_logged_and_counted(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a member that drops what was prepared there without anybody seeing it."""
    caplog.set_level(logging.INFO)
    async with async_deploy(gateways=1) as deployment:
        client = await deployment.async_connect("urgent")
        assert error_of(await client.async_query("PREPARE p1 READ q2c")) == ""
        deployment.members["a"].refuse_next["PREPARE"] = "FAILED"
        await client.async_query("EXECUTE p1 ward")
        (event,) = read_events(caplog, SETUP_REFUSED.number)
        assert (event["member"], event["kind"], event["error"]) == ("a", "prepare", "failed")
        counters = deployment.gateways[0]._app.measurements.counters["setup_refusals"]
        assert counters == {(("kind", "prepare"), ("error", "failed")): 1}


@pytest.mark.parametrize("code", ["BUSY", "FAILED", "READONLY", "INDOUBT"])
async def test_no_write_runs_behind_a_begin_that_a_primary_refuses(code: str) -> None:
    """Guards against a write that commits by itself, at a member that leads all the while."""
    async with async_deploy() as deployment:
        client = await deployment.async_connect("urgent")
        deployment.members["a"].refuse_next["BEGIN"] = code
        assert error_of(await client.async_query("BEGIN")) == ""
        await client.async_query("WRITE ward v1")
        assert error_of(await client.async_query("ROLLBACK")) == ""
        assert deployment.members["a"].log == []


@pytest.mark.parametrize("code", ["BUSY", "FAILED"])
async def test_no_commit_runs_behind_a_value_that_the_member_refuses(code: str) -> None:
    """Guards against a transaction that commits though its client is told that it did not."""
    async with async_deploy() as deployment:
        client = await deployment.async_connect("urgent")
        for text in ("BEGIN", "WRITE ward v1", "SET zone nbg"):
            assert error_of(await client.async_query(text)) == ""
        deployment.members["a"].refuse_next["SET"] = code
        answer = await client.async_query("COMMIT")
        assert len(deployment.members["a"].log) == int(not error_of(answer))


@pytest.mark.parametrize("code", ["BUSY", "FAILED", "READONLY"])
@pytest.mark.parametrize("is_repeated", [True, False])
@pytest.mark.parametrize("gateways", [1, 2])
async def test_no_read_runs_behind_a_begin_that_a_primary_refuses(
    code: str, is_repeated: bool, gateways: int
) -> None:
    """Guards against a read outside of its transaction, at a member that leads all the while."""
    async with async_deploy(gateways) as deployment:
        member = deployment.members["a"]
        client = await deployment.async_connect("urgent")
        for text in ("WRITE ward v1", "SET zone nbg", "BEGIN"):
            assert error_of(await client.async_query(text)) == ""
        refused = member.refuse_next if is_repeated else member.refuse_all
        refused["BEGIN"] = code
        answer = await client.async_query("READ ward")
        runs = [(one.state, one.values) for one in member.executed if one.text == "READ"]
        assert runs == [("T", (("zone", "nbg"),))] * int(is_repeated)
        assert rows_of(answer) == ["v1"] * int(is_repeated)
        assert is_repeated or error_of(answer) in PROMISES


@pytest.mark.parametrize("is_repeated", [True, False])
async def test_a_read_that_ran_behind_a_refused_value_is_repeated_or_has_failed(
    is_repeated: bool,
) -> None:
    """Guards against a client that is told that its read has not run."""
    async with async_deploy(gateways=1) as deployment:
        member = deployment.members["a"]
        client = await deployment.async_connect("urgent")
        assert error_of(await client.async_query("WRITE ward v1")) == ""
        assert error_of(await client.async_query("SET zone nbg")) == ""
        refused = member.refuse_next if is_repeated else member.refuse_all
        refused["SET"] = "BUSY"
        answer = await client.async_query("READ ward")
        runs = [(one.state, one.values) for one in member.executed if one.text == "READ"]
        assert len(runs) > 1
        if not is_repeated:
            assert error_of(answer) == "FAILED"
            return
        assert rows_of(answer) == ["v1"]
        assert runs[-1] == ("I", (("zone", "nbg"),))
