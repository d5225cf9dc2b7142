"""Helpers of the member tests: a group of members without a network or a clock."""

import random

from burdockrun_endpoint import DatabaseMember
from burdockrun_messages import (
    Access,
    Execute,
    ExecuteAnswer,
    Fence,
    Follow,
    LogPosition,
    Promote,
    TransactionStep,
)

NAMES = ("m0", "m1", "m2")


class Group:
    """Three members; time passes and entries replicate only when a test says so."""

    def __init__(self, slots: int = 2, service_ms: float = 4) -> None:
        self.now_ms = 1_000
        self.members = {
            name: DatabaseMember(name, "d", slots, service_ms, random.Random(number), connections=4)
            for number, name in enumerate(NAMES)
        }
        self._next_id = 0

    def start_term(self, term: int, primary: str, fenced: tuple[str, ...] = NAMES) -> None:
        """Fence some members, promote one of them and let the other fenced ones follow."""
        for name in fenced:
            self.members[name].control(Fence(term=term), self.now_ms)
        replicas = tuple(name for name in NAMES if name != primary)
        self.members[primary].control(Promote(term=term, members=replicas), self.now_ms)
        for name in fenced:
            self.follow(name, term, primary)

    def follow(self, name: str, term: int, primary: str) -> None:
        """Let a member follow a primary."""
        follow = Follow(term=term, primary=primary, host="127.0.0.1", control_port=1)
        self.members[name].control(follow, self.now_ms)

    def replicate(self, *names: str) -> None:
        """Pull twice for each named member; the second pull reports what the first one brought."""
        for name in names * 2:
            replica = self.members[name]
            pull = replica.make_pull()
            if pull is None or replica.upstream is None:
                continue
            upstream = self.members[replica.upstream.primary]
            batch = upstream.answer_pull(pull, self.now_ms)
            replica.receive_entries(batch, self.now_ms, self.now_ms)

    def open(self, name: str) -> int:
        """Open a connection to a member."""
        self._next_id += 1
        assert self.members[name].open(self._next_id)
        return self._next_id

    def send(
        self,
        name: str,
        connection: int,
        statement: str,
        request_id: str | None = None,
        term: int = 1,
        *,
        step: TransactionStep | None = None,
        required: LogPosition | None = None,
    ) -> None:
        """Send one statement; a GET is sent as a read."""
        access = Access.READ if statement.startswith("GET") else Access.WRITE
        message = Execute(
            execution_id=connection,
            statement=statement,
            access=access,
            request_id=request_id,
            term=term,
            step=step,
            required=required,
        )
        self.members[name].execute(connection, message, self.now_ms)

    def wait(self, name: str) -> dict[int, ExecuteAnswer]:
        """Let a second pass and return the answers by connection."""
        self.now_ms += 1_000
        return {item.connection_id: item.answer for item in self.members[name].advance(self.now_ms)}

    def run(
        self,
        name: str,
        statement: str,
        request_id: str | None = None,
        term: int = 1,
        required: LogPosition | None = None,
    ) -> ExecuteAnswer:
        """Run one statement outside a transaction on a connection of its own."""
        connection = self.open(name)
        self.send(name, connection, statement, request_id, term, required=required)
        answer = self.wait(name)[connection]
        self.members[name].close(connection)
        return answer
