"""Members of one database service, which speak the line protocol of PROTOCOL.md on loopback."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.platform import Platform

IDLE, OPEN, FAILED = "I", "T", "E"
BEAT_S = 1.2
LAPSE_S = 3 * BEAT_S


@dataclass(frozen=True, kw_only=True)
class Commit:
    """Entry of the log."""

    term: int
    number: int
    items: dict[str, str]


@dataclass(kw_only=True)
class Session:
    """State of one connection."""

    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    state: str = IDLE
    read_only: bool = False
    writes: dict[str, str] = field(default_factory=dict)


class Member:
    """Member with its own log; `lag_s` is the delay of replication to it."""

    def __init__(
        self,
        platform: Platform,
        record: Callable[..., None],
        *,
        service: str,
        member_id: str,
        zone: str,
        primary: bool,
        slots: int = 2,
        work_s: float = 0.009,
        lag_s: float = 0.02,
        max_connections: int = 16,
    ) -> None:
        self.service, self.id, self.zone, self.primary = service, member_id, zone, primary
        self.term = 1
        self.held_term = 0
        self.log: list[Commit] = []
        self.peers: list[Member] = []
        self.running = False
        self.draining = False
        # A deaf replica receives nothing; a commit waits for `sync_replicas` replicas.
        self.deaf = False
        # A grey member fails this share of the requests of clients, with good health.
        self.grey = 0.0
        self.grey_code = "FAILED"
        self.grey_words = {"BEGIN", "READ", "WRITE", "EXECUTE"}
        self.sync_replicas = 0
        # Whether STATUS is answered with BUSY while all slots are in use.
        self.refuses_status = False
        self.work_s, self.lag_s = work_s, lag_s
        self.port = 0
        self.born = 0
        self._platform, self._record = platform, record
        self._sequence = 0
        # Commits of the statement that runs now, until replicas have received them.
        self._commits: list[Commit] = []
        self._slots = slots
        self._slot = asyncio.Semaphore(slots)
        self._max_connections = max_connections
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, again on the same port after a crash, and register."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.born = time.time_ns() // 1_000_000
        self._sequence = 0
        self.running = True
        self._beat = asyncio.get_running_loop().create_task(self._run_beats())

    def crash(self) -> None:
        """End at once: no registration any more, all connections are reset."""
        self.running = False
        if self._server is not None:
            self._server.close()
        if self._beat is not None:
            self._beat.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        with contextlib.suppress(RuntimeError):
            asyncio.get_running_loop().call_later(LAPSE_S, self._lapse, self.born)

    def _lapse(self, born: int) -> None:
        """Let the entry of a member lapse that has not started again."""
        if not self.running and self.born == born:
            self._platform.remove(f"servers/{self.id}")

    def register(self) -> None:
        """Write the entry of this member into the store."""
        self._sequence += 1
        entry = {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": self.zone,
            "Version": "4.2",
            "Capacity": self._slots,
            "State": "draining" if self.draining else "ready",
            "ColdMs": 0,
            "Seq": self._sequence,
            "DbRole": "primary" if self.primary else "replica",
            "born": self.born,
        }
        self._platform.put(f"servers/{self.id}", entry)

    async def _run_beats(self) -> None:
        self.register()
        await asyncio.sleep(random.uniform(0.0, BEAT_S))
        while True:
            self.register()
            await asyncio.sleep(BEAT_S)

    def position(self) -> str:
        """Return the last position of the log, a dash while it is empty."""
        return f"{self.log[-1].term}.{self.log[-1].number}" if self.log else "-"

    def lead(self) -> None:
        """Lead the next term with what has been received."""
        self.term = max(member.term for member in [self, *self.peers]) + 1
        self.primary, self.held_term = True, 0
        log = [f"{name} {data}" for commit in self.log for name, data in commit.items.items()]
        self._record(
            "leads", member=self.id, term=self.term, position=self.position(), log=log
        )
        self.register()
        for peer in self.peers:
            if peer.running:
                peer.follow(self)

    def follow(self, primary: "Member") -> None:
        """Follow a primary: take over its log."""
        self.primary, self.held_term, self.term = False, 0, primary.term
        self.log = list(primary.log)
        self.register()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self._session(reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _session(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        fields = (await reader.readuntil(b"\r\n")).decode().split()
        if fields[0] != "CONNECT" or fields[1] != self.service or fields[3:4] not in ([], [self.id]):
            writer.write(b"ERROR WRONGNODE -\r\n")
            return
        if len(self._writers) > self._max_connections:
            writer.write(b"ERROR CONNLIMIT -\r\n")
            return
        writer.write(f"READY I {self.position()}\r\n".encode())
        session = Session()
        while True:
            line = (await reader.readuntil(b"\r\n")).decode().removesuffix("\r\n")
            if line == "BYE":
                return
            _, request_id, text = line.split(" ", 2)
            word = text.split(" ", 3)[2] if text.startswith("AFTER ") else text.split(" ", 1)[0]
            if word in {"READ", "WRITE", "EXECUTE", "COMMIT"}:
                self._record("arrived", member=self.id, request=request_id, text=text)
                async with self._slot:
                    await asyncio.sleep(self.work_s)
                    answer = self._execute(session, request_id, text)
                if self.sync_replicas and self._commits:
                    await self._wait_received(self._commits)
            elif word == "STATUS" and self.refuses_status and self._slot.locked():
                answer = ["ERROR BUSY -"]
                self._record("status_busy", member=self.id)
            else:
                answer = self._execute(session, request_id, text)
            ready = f"READY {session.state} {self.position()}"
            writer.write("".join(f"{part}\r\n" for part in [*answer, ready]).encode())

    async def _wait_received(self, commits: list[Commit]) -> None:
        """Wait until as many replicas as a commit needs have received it."""
        commit = commits.pop()
        while self.running and not self._is_received(commit):
            await asyncio.sleep(0.002)

    def _is_received(self, commit: Commit) -> bool:
        received = sum(commit in peer.log[-500:] for peer in self.peers)
        return received >= self.sync_replicas

    def _execute(self, session: Session, request_id: str, text: str) -> list[str]:
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
            if not self._has(after):
                return self._fail(session, "LAGGING")
        word, *fields = text.split(" ")
        if session.state == FAILED and word not in {"ROLLBACK", "COMMIT"}:
            return ["ERROR MALFORMED -"]
        if word in self.grey_words and random.random() < self.grey:
            self._record(
                "failed", member=self.id, request=request_id, text=text, code=self.grey_code
            )
            return self._fail(session, self.grey_code)
        if word in {"STATUS", "PAUSE", "RESUME", "STEPDOWN"}:
            return self._control(word, int(fields[0]) if fields else 0)
        if word == "RESET":
            session.values.clear()
            session.prepared.clear()
        elif word == "SET":
            session.values[fields[0]] = " ".join(fields[1:])
        elif word == "PREPARE":
            session.prepared[fields[0]] = fields[1]
        elif word == "CLOSE":
            session.prepared.pop(fields[0], None)
        elif word == "BEGIN":
            session.read_only = fields == ["READ"]
            if not self.primary and not session.read_only:
                return ["ERROR READONLY -"]
            session.state, session.writes = OPEN, {}
        elif word == "ROLLBACK":
            session.state, session.writes = IDLE, {}
        else:
            return self._execute_data(session, request_id, word, fields)
        return ["COMPLETE -"]

    def _has(self, after: str) -> bool:
        term, number = map(int, after.split("."))
        return bool(self.log) and (self.log[-1].term, self.log[-1].number) >= (term, number)

    def _execute_data(
        self, session: Session, request_id: str, word: str, fields: list[str]
    ) -> list[str]:
        if word == "EXECUTE":
            if fields[0] not in session.prepared:
                return self._fail(session, "UNKNOWN")
            word, fields = session.prepared[fields[0]], fields[1:]
        if not self.primary and (word == "WRITE" or (word == "COMMIT" and session.writes)):
            return self._fail(session, "READONLY")
        rows: list[str] = []
        if word == "READ":
            value = session.writes.get(fields[0], self._item(fields[0]))
            rows = [f"ROW {value}"]
        elif word == "WRITE":
            session.writes[fields[0]] = " ".join(fields[1:])
        self._record(
            "run", member=self.id, request=request_id, text=" ".join([word, *fields]), rows=rows,
            position=self.position(), state=session.state,
        )
        if word == "COMMIT" or session.state == IDLE:
            if session.writes:
                self._commit(session.writes)
            session.state, session.writes = IDLE, {}
        return [*rows, f"COMPLETE {self.id}.{request_id}"]

    def _item(self, name: str) -> str:
        for commit in reversed(self.log):
            if name in commit.items:
                return commit.items[name]
        return "none"

    def _commit(self, items: dict[str, str]) -> None:
        number = self.log[-1].number + 1 if self.log else 1
        commit = Commit(term=self.term, number=number, items=dict(items))
        self.log.append(commit)
        if self.sync_replicas:
            self._commits.append(commit)
        self._record("committed", member=self.id, position=self.position(), items=items)
        for peer in self.peers:
            asyncio.get_running_loop().call_later(peer.lag_s, peer.receive, commit, self)

    def receive(self, commit: Commit, primary: "Member") -> None:
        """Receive a commit, if this replica runs, is not paused and lacks nothing before it."""
        if not self.running or not primary.running or self.primary or self.deaf:
            return
        if self.held_term or primary.term < self.term:
            return
        following = self.log[-1].number + 1 if self.log else 1
        if commit.number == following:
            self.log.append(commit)
            self.term = primary.term

    def _control(self, word: str, term: int) -> list[str]:
        if word == "PAUSE" and term > self.term and not self.primary:
            self.held_term = term
        elif word == "RESUME":
            self.held_term = 0
        elif word == "STEPDOWN" and self.primary and term > self.term:
            self.primary, self.term = False, term
            self.register()
        role = "primary" if self.primary else "replica"
        received = self.position() if self.log else "1.0"
        return [
            f"ROW {role} {self.term} {received} {self.held_term} 0 0 {len(self._writers)}",
            "COMPLETE -",
        ]

    def _fail(self, session: Session, code: str) -> list[str]:
        if session.state == OPEN:
            session.state = FAILED
        return [f"ERROR {code} {self.id}"]
