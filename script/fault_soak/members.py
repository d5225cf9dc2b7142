"""Member with slots, work time, replication delay, crashes and promotions."""

import asyncio
import itertools
import time
from collections.abc import Callable

from script.fault_soak.journal import Arrival, Committed, Journal, Lead, Run
from tests.site.members import Commit, FakeMember, Received, Session
from tests.site.store import FakeStore

BEAT_S = 1.2
LAPSE_S = 3 * BEAT_S
FOLLOW_S = 1.0
# After this time a member drops a connection whose other end it does not reach.
SILENCE_S = 3.0
DATA_WORDS = {"READ", "WRITE", "EXECUTE", "COMMIT"}
_connections = itertools.count(1)


class SoakMember(FakeMember):
    """Member of the group; the log has the ids of the requests that committed."""

    def __init__(
        self, service: str, member_id: str, *, primary: bool, store: FakeStore, journal: Journal
    ) -> None:
        super().__init__(service, member_id, primary=primary, max_connections=30)
        self.running = False
        self.draining = False
        self.deaf = False
        # Without a path to the store and to the other members.
        self.cut = False
        # Nodes without a path to this member.
        self.lost_by: set[str] = set()
        self.lost_answers = 0
        self.work_s = 0.009
        self.lag_s = 0.02
        self.group: list[SoakMember] = []
        self._store, self._journal = store, journal
        self._slots = asyncio.Semaphore(2)
        self._born_ms = 0
        self._sequence = 0
        self._beats: asyncio.Task[None] | None = None
        # Connection of each session.
        self._places: dict[int, int] = {}

    async def async_start(self) -> None:
        """Listen and register."""
        await super().async_start()
        self._born_ms, self._sequence = time.time_ns() // 1_000_000, 0
        self.running, self.silent, self.draining = True, False, False
        self._beats = asyncio.get_running_loop().create_task(self._async_beat())

    async def async_crash(self) -> None:
        """End at once; the entry lapses unless the member starts again."""
        self.running = False
        if self._beats is not None:
            self._beats.cancel()
        self._break_open()
        await self.async_stop()
        asyncio.get_running_loop().call_later(LAPSE_S, self.lapse, self._born_ms)

    async def async_restart(self, *, keeps_log: bool) -> None:
        """Start again under the same id; a replica without a log receives it anew."""
        if self.running:
            return
        if not keeps_log:
            self.log, self.term = [], 1
        self.held_term = 0
        primary = self._find_primary()
        if primary is not None and primary.term > self.term:
            self.primary = False
        await self.async_start()
        if self.primary:
            self._call_followers()
        elif primary is not None:
            self._later(5 * self.lag_s, self.follow, primary)

    def heal(self) -> None:
        """End a cut of this primary; it follows a newer one after a while."""
        self.cut = False
        if not self.running:
            return
        self.register()
        primary = self._find_primary()
        if primary is not None and primary.term > self.term:
            self._later(FOLLOW_S, self.follow, primary)
        for peer in self.group:
            peer.catch_up()

    def fall_silent(self) -> None:
        """Answer nothing from now on."""
        self.silent = True
        self._break_open()

    def _break_open(self) -> None:
        for arrival in self._journal.arrivals[-200:]:
            if arrival.member == self.id and arrival.done_s > self._journal.now():
                arrival.broken = True

    def _find_primary(self) -> "SoakMember | None":
        leading = [
            one
            for one in self.group
            if one.primary and one.running and not one.cut and one is not self
        ]
        return max(leading, key=lambda one: one.term, default=None)

    def lapse(self, born_ms: int | None = None) -> None:
        """Remove the entry; with `born_ms` only that of a process which has ended."""
        if born_ms is None or (not self.running and self._born_ms == born_ms):
            self._store.remove(f"servers/{self.id}")

    async def _async_beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(BEAT_S)

    def build_entry(self) -> dict[str, object]:
        """Return the entry as this member sees itself."""
        return {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": "nbg",
            "Version": "v1",
            "Capacity": 2,
            "State": "draining" if self.draining else "ready",
            "ColdMs": 0,
            "DbRole": "primary" if self.primary else "replica",
            "Seq": self._sequence,
            "born": self._born_ms,
        }

    def register(self) -> None:
        """Write the entry of this member, unless the store is away."""
        if self.running and not self.cut and not self._store.down:
            self._sequence += 1
            self._store.put(f"servers/{self.id}", self.build_entry())

    def promote(self) -> None:
        """Lead the next term with what was received; the others follow."""
        if not self.running:
            return
        before = self.term
        super().promote()
        if self.term == before:
            return
        kept = frozenset(commit.request_id for commit in self.log)
        lead = Lead(member=self.id, term=self.term, at_s=self._journal.now(), kept=kept)
        self._journal.leads.append(lead)
        self.register()
        self._call_followers()

    def _call_followers(self) -> None:
        for peer in self.group:
            if peer is not self:
                self._later(FOLLOW_S if peer.primary else peer.lag_s, peer.follow, self)

    def follow(self, primary: "SoakMember") -> None:
        """Take over the log of a primary of a newer term."""
        if not self.running or not primary.running or not primary.primary:
            return
        if self.cut or primary.cut or primary.term < self.term:
            return
        was_primary, self.primary = self.primary, False
        self.log, self.term, self.held_term = list(primary.log), primary.term, 0
        if was_primary:
            self.register()

    def receive(self, primary: "SoakMember", log: list[Commit], size: int, term: int) -> None:
        """Receive the log of a primary up to a size; what it had sent arrives after STEPDOWN."""
        if not self.running or not primary.running or self.primary or self.deaf:
            return
        if primary.cut or self.held_term or self.term > term:
            return
        if self.term != term:
            self.log, self.term = [], term
        self.log.extend(log[len(self.log) : size])

    def catch_up(self) -> None:
        """Receive what was missed while nothing was received."""
        primary = self._find_primary()
        if primary is not None:
            self._send(primary, self)

    def _send(self, primary: "SoakMember", replica: "SoakMember") -> None:
        log, term = primary.log, primary.term
        self._later(replica.lag_s, replica.receive, primary, log, len(log), term)

    def _later(self, delay_s: float, call: Callable[..., None], *arguments: object) -> None:
        asyncio.get_running_loop().call_later(delay_s, call, *arguments)

    async def _async_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        fields = (await reader.readuntil(b"\r\n")).decode().split()
        await self._async_wait_heard(fields[2])
        if (
            fields[0] != "CONNECT"
            or fields[1] != self.service
            or fields[3:4] not in ([], [self.id])
        ):
            writer.write(b"ERROR WRONGNODE -\r\n")
            return
        if len(self._writers) > self._max_connections:
            writer.write(b"ERROR CONNLIMIT -\r\n")
            return
        writer.write(f"READY I {self.position()}\r\n".encode())
        session = Session(caller=fields[2])
        self._places[id(session)] = next(_connections)
        try:
            while await self._async_answer(session, reader, writer):
                pass
        finally:
            del self._places[id(session)]

    async def _async_wait_heard(self, caller: str) -> None:
        if self.silent or caller in self.lost_by:
            await asyncio.sleep(SILENCE_S)
            raise ConnectionAbortedError

    async def _async_answer(
        self, session: Session, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        line = (await reader.readuntil(b"\r\n")).decode().removesuffix("\r\n")
        if line == "BYE":
            return False
        _, request_id, text = line.split(" ", 2)
        word = text.split(" ")[2 if text.startswith("AFTER ") else 0]
        if word not in DATA_WORDS:
            await self._async_wait_heard(session.caller)
            self._write(writer, session, self._execute(session, request_id, text))
            return True
        arrival = Arrival(
            request_id=request_id,
            member=self.id,
            sender=session.caller,
            at_s=self._journal.now(),
        )
        self._journal.arrivals.append(arrival)
        arrival.broken = self.silent
        await self._async_wait_heard(session.caller)
        born_ms = self._born_ms
        async with self._slots:
            await asyncio.sleep(self.work_s)
            if not self.running or self._born_ms != born_ms:
                return False
            size = len(self.log)
            answer = self._execute(session, request_id, text)
        is_received = True
        if self._journal.sync_replicas and len(self.log) > size:
            is_received = await self._async_wait_received(len(self.log))
        await self._async_wait_heard(session.caller)
        if self.lost_answers > 0 or not is_received:
            self.lost_answers = max(0, self.lost_answers - 1)
            arrival.broken = True
            writer.transport.abort()
            return False
        self._write(writer, session, answer)
        arrival.done_s = self._journal.now()
        return True

    async def _async_wait_received(self, size: int) -> bool:
        """Wait until another member has the last of `size` entries; False if this one loses it."""
        last = self.log[size - 1]
        while self.running and last in self.log[size - 1 : size]:
            if any(
                last in one.log[size - 1 : size]
                for one in self.group
                if one.running and one is not self
            ):
                return True
            await asyncio.sleep(0.005)
        return False

    def _write(self, writer: asyncio.StreamWriter, session: Session, answer: list[str]) -> None:
        ready = f"READY {session.state} {self.position()}"
        writer.write("".join(f"{part}\r\n" for part in [*answer, ready]).encode())

    def _execute_data_statement(
        self, session: Session, request_id: str, statement: Received
    ) -> list[str]:
        state, ran = session.state, len(self.executed)
        answer = super()._execute_data_statement(session, request_id, statement)
        if len(self.executed) > ran:
            executed = self.executed[-1]
            self.executed.clear()
            fields = (statement.word, statement.item, statement.data)
            self._journal.runs.append(
                Run(
                    at_s=self._journal.now(),
                    request_id=request_id,
                    member=self.id,
                    connection=self._places[id(session)],
                    text=" ".join(filter(None, fields)),
                    state=state,
                    values=tuple(sorted(session.values.items())),
                    shape=f"{executed.text} {executed.shape}" if executed.shape else "",
                    rows=[line for line in answer if line.startswith("ROW")],
                )
            )
        return answer

    def _commit(self, request_id: str, items: dict[str, str]) -> None:
        peers, self.peers = self.peers, []
        super()._commit(request_id, items)
        self.peers = peers
        self._journal.commits.append(
            Committed(
                request_id=request_id,
                member=self.id,
                items=dict(items),
                at_s=self._journal.now(),
                superseded=any(one.term > self.term for one in self.group if one.primary),
            )
        )
        for peer in self.group:
            if peer is not self:
                self._send(self, peer)

    def _control(self, word: str, term: int) -> list[str]:
        was_primary = self.primary
        answer = super()._control(word, term)
        if word == "RESUME":
            self.catch_up()
        if was_primary and not self.primary:
            self.register()
            primary = self._find_primary()
            if primary is not None:
                self._later(self.lag_s, self.follow, primary)
        return answer
