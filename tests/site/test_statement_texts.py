"""Tests of what members run for the texts that clients send.

The contract allows any text in the last field of a message, and anything but blanks in the others.
The member of these tests splits what it gets as the contract says, not as a gateway builds it.
"""

import asyncio
from dataclasses import replace
from random import Random

import pytest
from burdockrun_gateway.const import SINGLE_CONNECTION_MS
from burdockrun_site.lines import MAX_ADDED_BYTES, MAX_MESSAGE_BYTES
from burdockrun_statements import session as session_module

from tests.site.common import SERVICE, Client, Deployment, Stopwatch, async_deploy, error_of
from tests.site.members import ExecutedStatement, FakeMember, Session, read_text

SHARED_CONNECTIONS = 4  # connections to each member, so that sessions share them
# With these, connections belong to accounts, and each member has one home that all others use.
HOME_GATEWAYS, HOME_CONNECTIONS = 4, 16
# A stall of this process and of all its gateways for so long may end a primary lease, which is
# confirmed once per second and lasts 1.5 s, or a statement, which has 0.8 s.
MIN_STALL_S = 0.3
MAX_RUNS = 3
NAMES = ("s1", "READ", "WRITE", "-", "w_q1", "r_q1", "p1", "1", "AFTER", "\t", "a\nb", "z\u00fcg")
TEXTS = (
    *("q1", "q1 READ ii", "q1 WRITE ii", "ii READ q1 READ ii", "qd WRITE htuhk", "READ q1"),
    *("WRITE q1", " q1", "q1 ", "q1  q1", "-", "AFTER 1.1 READ ward", "p1", "RESET", "a\rb"),
    *("QUERY q1 WRITE ward v1", "x" * 2_000, "z\u00fcg \u00e4", "RANK 0 100 1", "1 READ q1"),
)


def list_runs(deployment: Deployment) -> dict[str, ExecutedStatement]:
    """Return what members have run, by the ids of the requests."""
    return {
        run.request_id: run for member in deployment.members.values() for run in member.executed
    }


def has_setup_refusals(deployment: Deployment) -> bool:
    """Return whether a member has refused setup, as when it lacks a name that it should have.

    Such statements are sent again, so their clients do not see it.
    """
    apps = [gateway._app for gateway in deployment.gateways]
    return any(app.measurements.counters.get("setup_refusals") for app in apps)


def record_texts(member: FakeMember, received: list[str]) -> None:
    """Add the texts of all queries that a member gets to a list."""
    execute = member._execute

    def record(session: Session, request_id: str, text: str) -> list[str]:
        received.append(text)
        return execute(session, request_id, text)

    member._execute = record  # type: ignore[method-assign]


@pytest.mark.parametrize("gateways", [1, 3])
async def test_shapes_that_begin_alike_run_as_their_clients_prepared_them(gateways: int) -> None:
    """Guards against a shape whose blanks are read as the end of the name of a statement."""
    shapes = [("READ", "q1"), ("READ", "q1 READ ii"), ("WRITE", "qd WRITE htuhk"), ("WRITE", "qd")]
    async with async_deploy(gateways, SHARED_CONNECTIONS) as deployment:
        clients: list[Client] = []
        for access, shape in shapes:
            client = await deployment.async_connect("urgent", len(clients) % gateways)
            assert error_of(await client.async_query(f"PREPARE s1 {access} {shape}")) == ""
            clients.append(client)
        for _ in range(3):
            for client, (access, shape) in zip(clients, shapes, strict=True):
                item = "ward" if access == "READ" else "ward v1"
                await client.async_query(f"EXECUTE s1 {item}")
                run = list_runs(deployment)[client.last_id]
                assert (run.text, run.shape) == (access, shape)
                assert (run.item, run.data) == ("ward", "v1" if access == "WRITE" else None)


class RefusedError(AssertionError):
    """A statement of a random session has got an error."""


class RandomSession:
    """Session that makes up random statements, with what a member has to run for each of them."""

    def __init__(self, client: Client, rng: Random) -> None:
        self.client, self._rng = client, rng
        self._values: dict[str, str] = {}
        self._shapes: dict[str, tuple[str, str]] = {}
        self._state = "I"

    async def async_act(self, count: int = 1) -> list[ExecutedStatement]:
        """Send statements in parts of any size; return what a member has to run for them."""
        rng, expected, data = self._rng, [], b""
        for _ in range(count):
            text, run = self._build()
            request_id = self.client.next_id()
            data += f"QUERY {request_id} {text}\r\n".encode()
            if run is not None:
                expected.append(replace(run, request_id=request_id))
        if self._state == "T":
            data += f"QUERY {self.client.next_id()} ROLLBACK\r\n".encode()
            self._state, count = "I", count + 1
        while data:
            size = rng.choice([1, 2, 40, len(data)])
            await self.client.async_write(data[:size])
            data = data[size:]
            await asyncio.sleep(0)
        for _ in range(count):
            answer = await self.client.async_read_answer()
            if error_of(answer):
                raise RefusedError(answer)
        return expected

    def _build(self) -> tuple[str, ExecutedStatement | None]:
        rng = self._rng
        name, text, item = rng.choice(NAMES), rng.choice(TEXTS), rng.choice(NAMES)
        data = rng.choice([*TEXTS, ""])
        access = rng.choice(["READ", "WRITE"])
        kind = rng.choice(["SET", "PREPARE", "PREPARE", *["EXECUTE"] * 4, access, "CLOSE", "END"])
        if kind == "END":
            word = "BEGIN" if self._state == "I" else rng.choice(["COMMIT", "ROLLBACK"])
            self._state = "T" if word == "BEGIN" else "I"
            return word, None
        if kind == "EXECUTE" and self._shapes:
            name = rng.choice(list(self._shapes))
            access, shape = self._shapes[name]
            has_data = access == "WRITE" or rng.random() < 0.3
            operand = f"{item} {data}" if has_data else item
            return self._expect(f"EXECUTE {name} {operand}", access, shape)
        if kind in {"READ", "WRITE"}:
            operand = f"{item} {data}" if kind == "WRITE" else text.lstrip()
            return self._expect(f"{kind} {operand}", kind, "")
        if kind == "CLOSE" and self._shapes:
            name = rng.choice(list(self._shapes))
            del self._shapes[name]
            return f"CLOSE {name}", None
        if kind == "SET":
            self._values[name] = data
            return f"SET {name} {data}", None
        self._shapes[name] = access, text
        return f"PREPARE {name} {access} {text}", None

    def _expect(self, text: str, access: str, shape: str) -> tuple[str, ExecutedStatement]:
        sent = read_text(text)
        return text, ExecutedStatement(
            request_id="",
            text=access,
            item=sent.item,
            data=sent.data,
            shape=shape,
            values=tuple(sorted(self._values.items())),
            state=self._state,
        )


@pytest.mark.parametrize("gateways", [1, 3])
@pytest.mark.parametrize("seed", range(3))
async def test_statements_of_any_text_run_as_they_were_sent(seed: int, gateways: int) -> None:
    """Guards against a field that a member reads as another one, or as another statement."""
    await async_check_random_statements(Random(seed), gateways, rounds=120, most=1)


@pytest.mark.parametrize("gateways", [1, 3])
@pytest.mark.parametrize("seed", range(3))
async def test_statements_sent_together_run_with_their_values_and_transaction(
    seed: int, gateways: int
) -> None:
    """Guards against a statement that runs with values, a shape or a state of a later one."""
    await async_check_random_statements(Random(seed), gateways, rounds=25, most=12, together=3)


@pytest.mark.parametrize("gateways", [1, 3, HOME_GATEWAYS])
@pytest.mark.parametrize("seed", range(2))
async def test_statements_run_as_they_were_sent_on_connections_that_are_reset(
    seed: int, gateways: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a RESET of a full connection that clears what a statement needs."""
    monkeypatch.setattr(session_module, "MAX_PREPARED_BYTES", 1_000)
    received = await async_check_random_statements(Random(seed), gateways, rounds=60, most=12)
    assert received.count("RESET") > 10


async def async_check_random_statements(
    rng: Random, gateways: int, *, rounds: int, most: int, together: int = 1
) -> list[str]:
    """Let `together` sessions send up to `most` statements each, and check what members ran.

    Returns the texts that members got. All is run again if a statement got an error and this
    process, with all gateways, did not run for long enough to cause it; no error is let pass.
    """
    state = rng.getstate()
    for _ in range(MAX_RUNS):
        rng.setstate(state)
        stopwatch = Stopwatch()
        try:
            return await async_run_random_statements(rng, gateways, rounds, most, together)
        except RefusedError:
            if stopwatch.longest_stall_s < MIN_STALL_S:
                raise
        finally:
            stopwatch.stop()
    raise AssertionError(f"this process was stalled in each of {MAX_RUNS} runs")


async def async_run_random_statements(
    rng: Random, gateways: int, rounds: int, most: int, together: int
) -> list[str]:
    """Run `async_check_random_statements` once; raises RefusedError if a statement got an error."""
    received: list[str] = []
    has_homes = gateways == HOME_GATEWAYS
    connections = HOME_CONNECTIONS if has_homes else SHARED_CONNECTIONS
    async with async_deploy(gateways, connections) as deployment:
        for member in deployment.members.values():
            record_texts(member, received)
        for gateway in deployment.gateways if has_homes else ():
            gateway.directory.groups[SERVICE].set_limit(connections, by_account=True)
        # A new pool has one connection at first.
        await asyncio.sleep(2 * SINGLE_CONNECTION_MS / 1000)
        sessions = [
            RandomSession(
                await deployment.async_connect(rng.choice(["urgent", "visits"]), index % gateways),
                Random(rng.random()),
            )
            for index in range(6)
        ]
        expected: list[ExecutedStatement] = []
        for _ in range(rounds):
            acting = [one.async_act(rng.randint(1, most)) for one in rng.sample(sessions, together)]
            for ran in await asyncio.gather(*acting):
                expected += ran
        runs = {
            run.request_id: replace(run, caller="")
            for run in list_runs(deployment).values()
            if run.text != "COMMIT"
        }
        assert len(expected) > rounds // 4
        assert [runs.get(one.request_id) for one in expected] == expected
        assert len(runs) == len(expected)
        assert not has_setup_refusals(deployment)
    return received


@pytest.mark.parametrize("text", ["READ {}", "PREPARE s2 READ {}", "EXECUTE s1 ward {}"])
@pytest.mark.parametrize("spare", [0, MAX_ADDED_BYTES])
async def test_a_message_is_passed_on_whole_or_refused(text: str, spare: int) -> None:
    """Guards against a message that a longer name or a position makes too long for a member."""
    async with async_deploy(1) as deployment:
        client = await deployment.async_connect("visits")
        for prepared in ("PREPARE s1 WRITE q1 q2", "EXECUTE s1 ward v1"):
            assert error_of(await client.async_query(prepared)) == ""
        size = MAX_MESSAGE_BYTES - spare - len(f"QUERY {client.last_id} {text.format('')}") - 1
        answer = await client.async_query(text.format("x" * size))
        is_refused = spare == 0
        assert error_of(answer) == ("MALFORMED" if is_refused else "")
        assert (client.last_id in list_runs(deployment)) is (not is_refused and "s2" not in text)
        assert error_of(await client.async_query("EXECUTE s1 ward v1")) == ""
        if not is_refused and "s2" in text:
            assert error_of(await client.async_query("EXECUTE s2 ward")) == ""
            assert len(list_runs(deployment)[client.last_id].shape) == size


@pytest.mark.parametrize("spare", [0, MAX_ADDED_BYTES])
async def test_a_begin_is_passed_on_whole_or_refused(spare: int) -> None:
    """Guards against a BEGIN that a position makes too long for a member or home."""
    async with async_deploy(3, SHARED_CONNECTIONS) as deployment:
        received: list[str] = []
        for member in deployment.members.values():
            record_texts(member, received)
        for gateway in range(3):
            client = await deployment.async_connect("visits", gateway)
            assert error_of(await client.async_query("WRITE ward v1")) == ""
            request_id = "x" * (MAX_MESSAGE_BYTES - spare - len("QUERY  BEGIN READ"))
            answer = await client.async_send(f"QUERY {request_id} BEGIN READ")
            assert error_of(answer) == ("" if spare else "MALFORMED")
            if spare:
                assert error_of(await client.async_query("READ ward")) == ""
        assert not spare or any(text.startswith("AFTER ") and "BEGIN" in text for text in received)
