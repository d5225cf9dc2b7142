"""Fakes of the members of one database group, which use the line protocol."""

import asyncio
from dataclasses import dataclass, field

IDLE, OPEN, FAILED = "I", "T", "E"
SILENT_S = 30
MAX_MESSAGE_BYTES = 1_048_576


@dataclass(kw_only=True)
class Commit:
    """Entry of the group's log."""

    term: int
    number: int
    request_id: str
    items: dict[str, str]


@dataclass(frozen=True, kw_only=True)
class Received:
    """Text of a query, split as the contract says: only the last field may have blanks."""

    word: str
    name: str = ""  # of a value or prepared statement
    access: str = ""
    shape: str = ""
    item: str = ""
    data: str | None = None  # of a write, or the value of a name


def read_text(text: str) -> Received:
    """Split the text of a query."""
    word, _, rest = text.partition(" ")
    first, blank, tail = rest.partition(" ")
    last = tail if blank else None
    match word:
        case "READ":
            return Received(word=word, item=rest)
        case "WRITE":
            return Received(word=word, item=first, data=last)
        case "SET":
            return Received(word=word, name=first, data=last)
        case "PREPARE":
            access, _, shape = tail.partition(" ")
            return Received(word=word, name=first, access=access, shape=shape)
        case "EXECUTE":
            item, blank, data = tail.partition(" ")
            return Received(word=word, name=first, item=item, data=data if blank else None)
        case _:
            return Received(word=word, name=rest)


@dataclass(kw_only=True)
class Session:
    """State of one connection."""

    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, Received] = field(default_factory=dict)
    state: str = IDLE
    read_only: bool = False
    caller: str = ""
    writes: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class ExecutedStatement:
    """Statement that a member has run, with the session values and state at that time.

    `text` is its word, for a prepared statement that of its shape.
    """

    request_id: str
    text: str
    item: str = ""
    data: str | None = None
    shape: str = ""
    values: tuple[tuple[str, str], ...]
    state: str
    caller: str = ""


class FakeMember:
    """Fake member with its own log."""

    def __init__(
        self, service: str, member_id: str, *, primary: bool, max_connections: int = 16
    ) -> None:
        self.service = service
        self.id = member_id
        self.primary = primary
        self.term = 1
        self.held_term = 0
        self.log: list[Commit] = []
        self.unapplied = 0
        # False after a restart under the same id, until the member gets the log of the others.
        self.has_log = True
        self.executed: list[ExecutedStatement] = []
        self.controls: list[str] = []
        self.control_callers: set[str] = set()
        self.lose_answer_to = ""
        # Word of the statement before which the member begins to lead.
        self.lead_before = ""
        # Codes with which the next statement with a word, or each one, is refused; its connection
        # stays as it is.
        self.refuse_next: dict[str, str] = {}
        self.refuse_all: dict[str, str] = {}
        # Drops the values and prepared statements of the connection of the next statement with a
        # word, before it runs.
        self.forget_before = ""
        self.silent = False
        self.delay_s = 0.0
        self.max_open_connections = 0
        self.accepted_connections = 0
        self.peers: list[FakeMember] = []
        self.port = 0
        self._max_connections = max_connections
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def async_start(self) -> None:
        """Listen on loopback, after a restart on the same port."""
        self._server = await asyncio.start_server(
            self._async_serve, "127.0.0.1", self.port, limit=MAX_MESSAGE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Refuse new connections, as for nodes behind a partition; open ones stay."""
        if self._server is not None:
            self._server.close()

    async def async_stop(self) -> None:
        """Stop and abort all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def async_restart_without_log(self) -> None:
        """Crash and start again at the same address, knowing nothing of before."""
        await self.async_stop()
        self.log, self.term, self.has_log = [], 1, False
        await self.async_start()

    def connections(self) -> int:
        """Return how many connections are open."""
        return len(self._writers)

    def promote(self) -> None:
        """Become the primary of the next term, with every received entry applied.

        Nothing changes if this member leads the newest term already.
        """
        newest = max(member.term for member in [self, *self.peers])
        if self.primary and self.term == newest:
            return
        self.term = newest + 1
        self.primary, self.held_term, self.unapplied = True, 0, 0

    def position(self, *, applied: bool = False) -> str:
        """Return the last position in the log as TERM.NUMBER, or a dash without a log."""
        if not self.has_log:
            return "-"
        log = self.log[: len(self.log) - self.unapplied] if applied else self.log
        return f"{log[-1].term}.{log[-1].number}" if log else "1.0"

    def item(self, name: str) -> str:
        """Return the applied value of an item."""
        value = "none"
        for commit in self.log[: len(self.log) - self.unapplied]:
            value = commit.items.get(name, value)
        return value

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.accepted_connections += 1
        self.max_open_connections = max(self.max_open_connections, len(self._writers))
        try:
            await self._async_session(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _async_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.silent:
            await asyncio.sleep(SILENT_S)
            return
        word, service, caller, *rest = (await reader.readuntil(b"\r\n")).decode().split()
        if word != "CONNECT" or service != self.service or (rest and rest[0] != self.id):
            writer.write(b"ERROR WRONGNODE -\r\n")
            return
        if len(self._writers) > self._max_connections:
            writer.write(b"ERROR CONNLIMIT -\r\n")
            return
        writer.write(f"READY I {self.position(applied=True)}\r\n".encode())
        session = Session(caller=caller)
        while True:
            line = (await reader.readuntil(b"\r\n")).decode().removesuffix("\r\n")
            if line == "BYE" or self.silent:
                await asyncio.sleep(SILENT_S if self.silent else 0)
                return
            _, request_id, text = line.split(" ", 2)
            answer = self._execute(session, request_id, text)
            if self.lose_answer_to and text.startswith(self.lose_answer_to):
                self.lose_answer_to = ""
                writer.transport.abort()
                return
            await asyncio.sleep(self.delay_s)
            ready = f"READY {session.state} {self.position(applied=True)}"
            writer.write("".join(f"{part}\r\n" for part in [*answer, ready]).encode())

    def _execute(self, session: Session, request_id: str, text: str) -> list[str]:
        after, _, rest = text.removeprefix("AFTER ").partition(" ")
        if text.startswith("AFTER "):
            text = rest
            required = tuple(map(int, after.split(".")))
            position = self.position(applied=True)
            if not self.has_log or tuple(map(int, position.split("."))) < required:
                return self._fail(session, "LAGGING")
        statement = read_text(text)
        word = statement.word
        if word == self.forget_before:
            self.forget_before = ""
            session.values.clear()
            session.prepared.clear()
        refusal = self.refuse_next.pop(word, self.refuse_all.get(word))
        if refusal is not None:
            return [f"ERROR {refusal} {self.id}"]
        if session.state == FAILED and word not in {"ROLLBACK", "COMMIT"}:
            return ["ERROR MALFORMED -"]
        if word in {"STATUS", "PAUSE", "RESUME", "STEPDOWN"}:
            self.controls.append(word)
            self.control_callers.add(session.caller)
            return self._control(word, int(statement.name or 0))
        return self._execute_statement(session, request_id, statement)

    def _execute_statement(
        self, session: Session, request_id: str, statement: Received
    ) -> list[str]:
        match statement.word:
            case "RESET":
                session.values.clear()
                session.prepared.clear()
            case "SET":
                session.values[statement.name] = statement.data or ""
            case "PREPARE":
                session.prepared[statement.name] = statement
            case "CLOSE":
                if session.prepared.pop(statement.name, None) is None:
                    return self._fail(session, "UNKNOWN")
            case "BEGIN":
                session.read_only = statement.name == "READ"
                if not self.primary and not session.read_only:
                    return ["ERROR READONLY -"]
                session.state, session.writes = OPEN, {}
            case "ROLLBACK":
                session.state, session.writes = IDLE, {}
            case _:
                return self._execute_data_statement(session, request_id, statement)
        return ["COMPLETE -"]

    def _execute_data_statement(
        self, session: Session, request_id: str, statement: Received
    ) -> list[str]:
        """Run a read, write or commit."""
        word, shape, item = statement.word, "", statement.item
        if word == "EXECUTE":
            prepared = session.prepared.get(statement.name)
            if prepared is None:
                return self._fail(session, "UNKNOWN")
            word, shape = prepared.access, prepared.shape
        if word == self.lead_before:
            self.lead_before = ""
            self.promote()
        if word != "READ" and not self.primary and (word != "COMMIT" or session.writes):
            return self._fail(session, "READONLY")
        values = tuple(sorted(session.values.items()))
        self.executed.append(
            ExecutedStatement(
                request_id=request_id,
                text=word,
                item=item,
                data=statement.data,
                shape=shape,
                values=values,
                state=session.state,
                caller=session.caller,
            )
        )
        rows: list[str] = []
        if word == "READ":
            rows = [f"ROW {session.writes.get(item, self.item(item))}"]
        elif word == "WRITE":
            session.writes[item] = statement.data or ""
        if word == "COMMIT" or session.state == IDLE:
            if session.writes:
                self._commit(request_id, session.writes)
            session.state, session.writes = IDLE, {}
        return [*rows, f"COMPLETE {self.id}-{request_id}"]

    def _commit(self, request_id: str, items: dict[str, str]) -> None:
        number = self.log[-1].number + 1 if self.log else 1
        commit = Commit(term=self.term, number=number, request_id=request_id, items=dict(items))
        self.log.append(commit)
        for peer in self.peers:
            if not peer.primary and not peer.held_term and peer.has_log:
                peer.log.append(commit)
                peer.term = self.term

    def _control(self, word: str, term: int) -> list[str]:
        if word == "PAUSE" and term > self.term:
            self.held_term = term
        elif word == "RESUME":
            self.held_term = 0
        elif word == "STEPDOWN" and term > self.term:
            self.primary, self.term = False, term
        role = "primary" if self.primary else "replica"
        return [
            f"ROW {role} {self.term} {self.position()} {self.held_term} 0 0 {len(self._writers)}",
            "COMPLETE -",
        ]

    def _fail(self, session: Session, code: str) -> list[str]:
        if session.state == OPEN:
            session.state = FAILED
        return [f"ERROR {code} {self.id}"]
