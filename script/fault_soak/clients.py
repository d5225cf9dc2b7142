"""Clients with sessions of several kinds, which keep open connections in use until they end."""

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any, Final

from script.fault_soak.deployment import DATABASES, Deployment
from script.fault_soak.journal import Journal, Request
from script.fault_soak.processes import GatewayProcess

CONNECT_S: Final = 2.0
DEADLINE_S: Final = 3.0
# Age at which a client opens its session anew, so that a node that is back gets clients.
SESSION_S: Final = (2.0, 12.0)
# Shapes of a read and a write; several begin with another one, or hold words of the protocol.
READ_SHAPES: Final = ("q1a", "q1a READ ii", "q1a WRITE ii", " q1a", "READ q1a")
WRITE_SHAPES: Final = ("q1a", "q2b", "q2b WRITE ii", "q2b  ", "WRITE q2b READ q1a")
# Values; as the last field of a message they may have blanks.
VALUES: Final = ("z{}", "z{} ", " z{}", "z{} SET zone z", "z{} READ a0x0")

SessionKind = Callable[["Session"], Coroutine[Any, Any, None]]
SESSION_KINDS: dict[str, tuple[SessionKind, int]] = {}


def session_kind(name: str, share: int) -> Callable[[SessionKind], SessionKind]:
    """Register what a session does over and over, with its share of the clients."""

    def register(function: SessionKind) -> SessionKind:
        SESSION_KINDS[name] = (function, share)
        return function

    return register


class ClosedError(Exception):
    """The session has ended."""


class Session:
    """Client that opens one session after the other."""

    _ids = itertools.count(1)

    def __init__(self, deployment: Deployment, name: str, database: str) -> None:
        self.deployment, self.name, self.database = deployment, name, database
        self.kind = DATABASES[database]
        self.node: GatewayProcess | None = None
        self.values: dict[str, str] = {}
        # Shapes of the prepared read and the prepared write.
        self.shapes = ("", "")
        self.prepares = False
        self.state = "I"
        self.transaction: Request | None = None
        self._opened = 0
        self._closes_s = 0.0
        self._journal: Journal = deployment.journal
        self._counts: dict[str, int] = {}
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the session is open as far as the client knows."""
        return self._writer is not None

    async def async_run(self, act: SessionKind) -> None:
        """Act until cancelled; reconnect after each close."""
        try:
            while True:
                try:
                    await act(self)
                    if self.state != "I" or self._journal.now() > self._closes_s:
                        self.close()
                except ClosedError:
                    self.close()
                    await asyncio.sleep(0.02)
        finally:
            self.close()

    async def async_connect(self, node: GatewayProcess | None = None, first: str = "") -> None:
        """Open the session; `first` is sent in the same write."""
        self.node = node or self.deployment.choose_gateway()
        self.state, self.values, self.transaction = "I", {}, None
        self._opened += 1
        self._closes_s = self._journal.now() + random.uniform(*SESSION_S)
        try:
            async with asyncio.timeout(CONNECT_S):
                self._reader, self._writer = await asyncio.open_connection(
                    self.node.host, self.node.port
                )
                self._writer.write(f"CONNECT {self.database} {self.name}\r\n{first}".encode())
                line = await self._reader.readline()
        except (OSError, TimeoutError):
            raise ClosedError from None
        if line.startswith(b"ERROR"):
            self.close()  # the answer to CONNECT is complete, and what was sent behind it is refused
        if not line.startswith(b"READY"):
            raise ClosedError

    def build(self, text: str, **fields: Any) -> Request:
        """Return a statement with a new id."""
        node = self.node.name if self.node is not None else ""
        return Request(
            id=f"{self.name}q{next(self._ids):x}",
            # A session ends with its connection.
            session=f"{self.name}/{self._opened}",
            node=node,
            kind=self.kind,
            text=text,
            values=tuple(sorted(self.values.items())),
            **fields,
        )

    def build_write(self, item: str) -> Request:
        """Return a write with a value of its own."""
        self._counts[item] = self._counts.get(item, -1) + 1
        data = f"{item}.{self._counts[item]}"
        return self.build(f"WRITE {item} {data}", writes={item: data})

    async def async_send(self, *requests: Request, last: bool = False) -> Request:
        """Send statements in one write and read their answers; return the last one.

        After the `last` ones the sending half of the connection is closed.
        """
        assert self._writer is not None and self._reader is not None
        # A message that answers nothing would be taken for the answer to this statement.
        unasked = bool(self._reader._buffer)  # type: ignore[attr-defined]
        if unasked or self._reader.at_eof() or self._writer.transport.is_closing():
            raise ClosedError
        data = "".join(f"QUERY {one.id} {one.text}\r\n" for one in requests)
        self.note_sent(*requests)
        self._writer.write(data.encode())
        if last:
            self._writer.write_eof()
        return await self.async_read(*requests)

    def note_sent(self, *requests: Request) -> None:
        """Note that statements are being sent."""
        now_s = self._journal.now()
        for request in requests:
            request.sent_s = now_s
            request.began_s = self.transaction.sent_s if self.transaction else now_s
            self._journal.requests[request.id] = request

    async def async_read(self, *requests: Request) -> Request:
        """Read the answers of statements that were sent; raises ClosedError at the end."""
        for index, request in enumerate(requests):
            try:
                async with asyncio.timeout(DEADLINE_S):
                    await self._async_read_answer(request)
            except (ConnectionError, asyncio.IncompleteReadError):
                self.note_end(requests[index:], cut=True)
                raise ClosedError from None
            except TimeoutError:
                self.note_end(requests[index:], cut=False)
                raise ClosedError from None
            except asyncio.CancelledError:
                self.note_end(requests[index:], cut=False)
                raise
            request.ended_s = self._journal.now()
        return requests[-1]

    async def _async_read_answer(self, request: Request) -> None:
        assert self._reader is not None
        while not request.answer or not request.answer[-1].startswith("READY"):
            line = await self._reader.readuntil(b"\r\n")
            request.answer.append(line.decode(errors="replace").removesuffix("\r\n"))
        self.state = request.answer[-1].split(" ")[1]

    def note_end(self, requests: tuple[Request, ...], *, cut: bool) -> None:
        """Note that no answer to these statements will come; `cut` when the node closed."""
        for request in requests:
            request.ended_s = self._journal.now()
            request.cut, request.given_up = cut, not cut

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
        self.state, self.transaction = "I", None


def choose_item(session: Session, *, of_others: bool = False) -> str:
    """Return an item that the session writes, or one of another session."""
    owner = random.choice(OWNERS) if of_others and OWNERS else session.name
    return f"{owner}x{random.randrange(4)}"


OWNERS: list[str] = []


async def async_operate(session: Session) -> None:
    """Send one read or write."""
    if not session.is_open:
        await session.async_connect()
    if session.kind != "bounded" and random.random() < 0.3:
        await session.async_send(session.build_write(choose_item(session)))
        return
    item = choose_item(session, of_others=random.random() < 0.3)
    await session.async_send(session.build(f"READ {item}"))


@session_kind("busy", 5)
async def async_use_without_pauses(session: Session) -> None:
    """Send the next statement at once."""
    await async_operate(session)
    await asyncio.sleep(random.choice([0.0, 0.005]))


@session_kind("paused", 3)
async def async_use_with_pauses(session: Session) -> None:
    """Wait between statements."""
    await async_operate(session)
    await asyncio.sleep(random.uniform(0.05, 1.0))


@session_kind("idle", 1)
async def async_stay_idle(session: Session) -> None:
    """Wait for seconds between statements."""
    await async_operate(session)
    await asyncio.sleep(random.uniform(2.0, 5.0))


@session_kind("transaction", 4)
async def async_use_transactions(session: Session) -> None:
    """Run a transaction with pauses, and end it in one of several ways."""
    if not session.is_open:
        await session.async_connect()
        session.prepares = random.random() < 0.5
        if session.prepares:
            await async_prepare(session)
    reads = session.kind == "bounded" or random.random() < 0.3
    begin = session.build("BEGIN READ" if reads else "BEGIN")
    writes: dict[str, str] = {}
    if not (await session.async_send(begin)).succeeded:
        return
    session.transaction = begin
    for _ in range(random.randint(1, 6)):
        if session.prepares and random.random() < 0.1:
            await async_set_value(session)
        if reads or random.random() < 0.4:
            one = session.build(f"READ {choose_item(session)}", transaction=begin.id)
        else:
            one = replace(session.build_write(choose_item(session)), transaction=begin.id)
        if session.prepares and random.random() < 0.5:
            one = execute_prepared(session, one)
        staged, one.writes = one.writes, {}
        if not (await session.async_send(one)).succeeded:
            break
        writes |= staged
        await asyncio.sleep(random.choice([0.0, random.uniform(0.0, 0.3)]))
    leaves = random.random()
    if leaves < 0.05:
        raise ClosedError
    commits = session.state == "T" and leaves > 0.15
    end = session.build("COMMIT" if commits else "ROLLBACK", transaction=begin.id)
    end.writes = writes if commits else {}
    await session.async_send(end)
    session.transaction = None


@session_kind("pipeline", 2)
async def async_send_together(session: Session) -> None:
    """Send several statements in one write."""
    if not session.is_open:
        await session.async_connect()
    requests = [
        (
            session.build_write(choose_item(session))
            if session.kind != "bounded" and random.random() < 0.3
            else session.build(f"READ {choose_item(session)}")
        )
        for _ in range(random.randint(2, 10))
    ]
    await session.async_send(*requests)
    await asyncio.sleep(random.choice([0.0, 0.1]))


@session_kind("prepared", 3)
async def async_use_values(session: Session) -> None:
    """Use session values and prepared statements."""
    if not session.is_open:
        await session.async_connect()
        await async_prepare(session)
    if random.random() < 0.1:
        await async_set_value(session)
    if session.kind != "bounded" and random.random() < 0.3:
        one = session.build_write(choose_item(session))
    else:
        one = session.build(f"READ {choose_item(session)}")
    await session.async_send(execute_prepared(session, one))
    await asyncio.sleep(random.choice([0.0, 0.01, 0.2]))


async def async_prepare(session: Session) -> None:
    """Set a value and prepare a read and a write."""
    session.shapes = random.choice(READ_SHAPES), random.choice(WRITE_SHAPES)
    await async_set_value(session)
    for text in (f"PREPARE r READ {session.shapes[0]}", f"PREPARE w WRITE {session.shapes[1]}"):
        if not (await session.async_send(session.build(text))).succeeded:
            raise ClosedError


async def async_set_value(session: Session) -> None:
    """Give a value to the session."""
    value = random.choice(VALUES).format(random.randrange(1000))
    if not (await session.async_send(session.build(f"SET zone {value}"))).succeeded:
        raise ClosedError
    session.values["zone"] = value


def execute_prepared(session: Session, request: Request) -> Request:
    """Return a read or write as one of the prepared statement of the session."""
    is_read = request.text.startswith("READ")
    word, name, shape = ("READ", "r", 0) if is_read else ("WRITE", "w", 1)
    text = request.text.replace(word, f"EXECUTE {name}", 1)
    return replace(request, text=text, shape=f"{word} {session.shapes[shape]}")


@session_kind("half_close", 1)
async def async_close_half(session: Session) -> None:
    """Send a statement, close the sending half and wait for the answer."""
    await asyncio.sleep(random.uniform(0.05, 0.5))
    await session.async_connect()
    await session.async_send(session.build(f"READ {choose_item(session)}"), last=True)
    session.close()


@session_kind("any_node", 2)
async def async_use_any_node(session: Session) -> None:
    """Connect to any node, also one that starts or stops, with a statement in the same write."""
    await asyncio.sleep(random.uniform(0.05, 0.4))
    node = session.deployment.choose_gateway(in_rotation=False)
    session.node = node
    request = session.build(f"READ {choose_item(session)}")
    session.note_sent(request)
    try:
        await session.async_connect(node, f"QUERY {request.id} {request.text}\r\n")
    except ClosedError:
        session.note_end((request,), cut=session.is_open)
        raise
    await session.async_read(request)
    session.close()


def start_clients(deployment: Deployment, count: int) -> list[asyncio.Task[None]]:
    """Start sessions of all kinds on all types of routes."""
    kinds = [name for name, (_, share) in SESSION_KINDS.items() for _ in range(share)]
    databases = list(DATABASES)
    tasks = []
    for number in range(count):
        kind = kinds[number % len(kinds)]
        database = databases[(number // 2) % len(databases)]
        session = Session(deployment, f"{kind}{number}", database)
        if session.kind != "bounded":
            OWNERS.append(session.name)
        tasks.append(asyncio.create_task(session.async_run(SESSION_KINDS[kind][0])))
    return tasks
