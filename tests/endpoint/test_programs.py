"""Tests of the stand-in programs as processes on the loopback interface."""

import asyncio
import json
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from burdockrun_endpoint import GROUP_PATH, SESSION_PATH, Faults
from burdockrun_messages import (
    Access,
    AskStatus,
    AwaitConfirmed,
    Execute,
    ExecuteAnswer,
    ExecuteStatus,
    Fence,
    Follow,
    GetKey,
    KeyEntry,
    KeysReply,
    ListVms,
    MemberStatus,
    PlatformFailure,
    Promote,
    PutKey,
    Settle,
    Settled,
    VmsReply,
    WatchKeys,
    decode_message,
    encode_message,
)
from burdockrun_platform import PlatformClient

HOST = "http://127.0.0.1"


async def _async_start(module: str, *arguments: str) -> asyncio.subprocess.Process:
    code = f"import sys; from burdockrun_endpoint.{module} import main; sys.exit(main())"
    pipe = asyncio.subprocess.PIPE
    return await asyncio.create_subprocess_exec(
        sys.executable, "-c", code, *arguments, stdout=pipe, stderr=pipe
    )


@asynccontextmanager
async def _async_program(module: str, *arguments: str) -> AsyncIterator[dict[str, Any]]:
    """Start a program, yield its listening event, and check that SIGTERM ends it with status 0."""
    code = f"import sys; from burdockrun_endpoint.{module} import main; sys.exit(main())"
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        code,
        *arguments,
        "--log-format",
        "json",
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr is not None
    try:
        event = json.loads(await process.stderr.readline())
        remaining_output = asyncio.create_task(process.stderr.read())
        yield event
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(20):
            assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        assert b"Traceback" not in await remaining_output


@asynccontextmanager
async def _async_member(name: str) -> AsyncIterator[dict[str, Any]]:
    options = ("--name", name, "--domain", "d", "--port", "0", "--control-port", "0")
    async with _async_program("member_program", *options, "--connections", "2") as event:
        yield event


async def _async_control(
    session: aiohttp.ClientSession, member: dict[str, Any], name: str, operation: object
) -> bytes:
    url = f"{HOST}:{member['control_port']}{GROUP_PATH}/{name}"
    async with session.post(url, data=encode_message(operation)) as response:
        assert response.status == 200
        return await response.read()


async def _async_status(session: aiohttp.ClientSession, member: dict[str, Any]) -> MemberStatus:
    data = await _async_control(session, member, "status", AskStatus())
    return decode_message(MemberStatus, data).unwrap()


async def _async_set_faults(session: aiohttp.ClientSession, port: int, faults: Faults) -> None:
    async with session.post(f"{HOST}:{port}/v1/faults", data=encode_message(faults)) as response:
        assert response.status == 200


async def test_group_replicates_confirms_and_settles() -> None:
    """Guards against stand-in servers that differ from the member model."""
    async with (
        _async_member("m0") as first,
        _async_member("m1") as second,
        aiohttp.ClientSession() as session,
    ):
        for member in (first, second):
            await _async_control(session, member, "fence", Fence(term=1))
        await _async_control(session, first, "promote", Promote(term=1, members=("m1",)))
        follow = Follow(term=1, primary="m0", host="127.0.0.1", control_port=first["control_port"])
        await _async_control(session, second, "follow", follow)
        async with session.ws_connect(f"{HOST}:{first['port']}{SESSION_PATH}") as socket:
            write = Execute(
                execution_id=7,
                statement="PUT a ?",
                parameters=("x",),
                access=Access.WRITE,
                request_id="r1",
                term=1,
            )
            await socket.send_bytes(b"")
            assert (await socket.receive()).type is aiohttp.WSMsgType.CLOSE
        async with session.ws_connect(f"{HOST}:{first['port']}{SESSION_PATH}") as socket:
            await socket.send_str(encode_message(write).decode())
            answer = decode_message(ExecuteAnswer, (await socket.receive()).data).unwrap()
            assert (answer.execution_id, answer.status) == (7, ExecuteStatus.OK)
            wait = AwaitConfirmed(term=1, index=answer.position.index, wait_ms=20_000)
            data = await _async_control(session, first, "await_confirmed", wait)
            confirmed = decode_message(MemberStatus, data).unwrap().confirmed_index
            assert confirmed == answer.position.index
            assert (await _async_status(session, second)).position == answer.position
            port = first["control_port"]
            await _async_set_faults(session, port, Faults(lose_answers=1))
            await socket.send_str(encode_message(write).decode())
            assert (await socket.receive()).type is aiohttp.WSMsgType.CLOSE
        settle = Settle(term=1, request_id="r1")
        data = await _async_control(session, first, "settle", settle)
        settled = decode_message(Settled, data).unwrap()
        assert settled == Settled(ran=True, position=answer.position, result="x")


async def test_connection_limit_and_partition_refuse_connections() -> None:
    """Guards against injected faults that a proxy cannot observe."""
    async with _async_member("m0") as member, aiohttp.ClientSession() as session:
        url = f"{HOST}:{member['port']}{SESSION_PATH}"
        sockets = [await session.ws_connect(url) for _ in range(2)]
        with pytest.raises(aiohttp.WSServerHandshakeError):
            await session.ws_connect(url)
        await _async_set_faults(session, member["control_port"], Faults(refused=True))
        assert (await sockets[0].receive()).type is aiohttp.WSMsgType.CLOSE
        with pytest.raises(aiohttp.ClientError):
            await _async_status(session, member)
        await _async_set_faults(session, member["control_port"], Faults())
        assert (await _async_status(session, member)).member == "m0"


async def test_platform_serves_watches_and_loses_answers(tmp_path: Path) -> None:
    """Guards against an injected answer loss that also loses the operation."""
    vm = {"name": "e", "domain": "d", "host": "127.0.0.1", "port": 1, "kind": "entry"}
    path = tmp_path / "vms.json"
    path.write_text(json.dumps([vm]))
    async with (
        _async_program("platform_program", "--port", "0", "--vms", str(path)) as event,
        aiohttp.ClientSession() as session,
    ):
        port = event["port"]
        client = PlatformClient(f"{HOST}:{port}", session)
        watch = WatchKeys(prefix="k", after_revision=0, wait_ms=20_000)
        waiting = asyncio.create_task(client.async_call(watch, 30_000))
        await _async_set_faults(session, port, Faults(lose_answers=1, leaving=("e",)))
        lost = await client.async_call(PutKey(key="k", value="v"), 5_000)
        assert isinstance(lost, PlatformFailure)
        entry = KeyEntry(key="k", value="v", revision=1)
        assert await waiting == KeysReply(entries=(entry,), store_revision=1)
        assert await client.async_call(GetKey(key="k"), 5_000) == entry
        vms = await client.async_call(ListVms(), 5_000)
        assert isinstance(vms, VmsReply)
        assert vms.vms[0].leaving


@pytest.mark.parametrize("module", ["platform_program", "member_program"])
async def test_help_names_the_exit_statuses(module: str) -> None:
    """Guards against a help text that does not list the exit statuses."""
    process = await _async_start(module, "--help")
    output, _ = await process.communicate()
    assert process.returncode == 0
    assert b"exit status:" in output


async def test_bad_vm_file_is_reported_without_a_traceback(tmp_path: Path) -> None:
    """Guards against tracebacks for faulty input files."""
    path = tmp_path / "vms.json"
    path.write_text('[{"name": 1}]')
    process = await _async_start("platform_program", "--port", "0", "--vms", str(path))
    _, output = await process.communicate()
    assert process.returncode == 2
    assert b"Traceback" not in output
    assert b"0.domain" in output
