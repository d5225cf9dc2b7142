"""Client sessions: their requests, the choice of a proxy, and the checks of the answers."""

import random
from collections import Counter
from dataclasses import dataclass, field

from burdockrun_messages import Access, JsonValue, Outcome, StatementAnswer, StatementRequest

from burdockrun_load.scenario import Scenario


@dataclass(kw_only=True, slots=True)
class Session:
    """One client session; `writes` holds the last acknowledged value per database.

    `adds` counts the ADD statements sent per database. `key_numbers` holds the number of the key
    in use per database. It increases after a write of unknown outcome, because this write may
    still take effect later and replace a newer value.
    """

    number: int
    proxy: int
    token: str | None = None
    sent: int = 0
    writes: dict[str, int] = field(default_factory=dict)
    adds: Counter[str] = field(default_factory=Counter)
    key_numbers: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """Request of a session; a read of current data must return at least `min_expected_value`."""

    session: Session
    request: StatementRequest
    min_expected_value: int | None = None


class SessionPool:
    """Sessions of a run. Each has at most one request in flight."""

    def __init__(self, scenario: Scenario, proxy_count: int, run_id: str) -> None:
        self._scenario = scenario
        self._proxy_count = proxy_count
        self._run_id = run_id
        self._rng = random.Random(f"{scenario.seed}:sessions")
        self._idle: list[Session] = []
        self._created = 0
        for _ in range(scenario.sessions):
            self._idle.append(self._create())

    def start_call(self, rank: str, session: Session | None = None) -> Call:
        """Return the next request of a session, by default of a random idle one."""
        chosen = session or self._take_idle()
        if self._proxy_count > 1 and self._rng.random() < self._scenario.roam_probability:
            chosen.proxy = self._rng.randrange(self._proxy_count)
        return self._build(chosen, rank)

    def take_session(self) -> Session:
        """Return an idle session for the exclusive use of a caller."""
        return self._take_idle()

    def finish_call(
        self,
        call: Call,
        answer: StatementAnswer | None,
        *,
        keep_session: bool = False,
        may_have_run: bool = True,
    ) -> bool:
        """Record an answer, None when there was none; return False for a consistency violation.

        The session becomes idle unless `keep_session` is set. `may_have_run` is False for a request
        without an answer that was certainly not executed.
        """
        session = call.session
        if not keep_session:
            self._idle.append(session)
        if answer is None or answer.outcome is Outcome.UNKNOWN:
            if may_have_run and call.request.access is Access.WRITE:
                self._use_new_key(session, call.request.database)
            return True
        if answer.session is not None:
            session.token = answer.session
        if answer.outcome is not Outcome.DONE:
            return True
        return self._check_result(call, answer.result)

    def move_to_next_proxy(self, session: Session) -> None:
        """Switch a session to the next proxy."""
        session.proxy = (session.proxy + 1) % self._proxy_count

    def _use_new_key(self, session: Session, database: str) -> None:
        session.key_numbers[database] += 1
        session.writes.pop(database, None)

    def _check_result(self, call: Call, result: JsonValue) -> bool:
        session, request = call.session, call.request
        if request.access is Access.READ:
            value = result if isinstance(result, int) else 0
            return call.min_expected_value is None or value >= call.min_expected_value
        if request.statement.startswith("ADD"):
            return not isinstance(result, int) or result <= session.adds[request.database]
        written = request.parameters[1]
        if isinstance(written, int):
            session.writes[request.database] = written
        return True

    def _create(self) -> Session:
        self._created += 1
        return Session(number=self._created, proxy=self._created % self._proxy_count)

    def _take_idle(self) -> Session:
        if not self._idle:
            return self._create()
        index = self._rng.randrange(len(self._idle))
        self._idle[index], self._idle[-1] = self._idle[-1], self._idle[index]
        return self._idle.pop()

    def _build(self, session: Session, rank: str) -> Call:
        profile = self._scenario.ranks[rank]
        rng = self._rng
        database = rng.choice(self._scenario.databases)
        session.sent += 1
        # Keys contain the database, because with --direct one member serves all databases.
        key_prefix = f"{self._run_id}/{database}/{session.number}"
        is_read = rng.random() < profile.read_share
        accepts_stale = is_read and rng.random() < profile.stale_share
        is_add = not is_read and rng.random() < profile.non_idempotent_share
        statement, parameters = self._choose_statement(
            session, database, key_prefix, is_read, is_add
        )
        request = StatementRequest(
            request_id=f"{self._run_id}-{session.number}-{session.sent}",
            account=self._scenario.account,
            database=database,
            statement=statement,
            access=Access.READ if is_read else Access.WRITE,
            parameters=parameters,
            rank=rank,
            deadline_ms=profile.deadline_ms,
            idempotent=not is_add,
            accepted_staleness_ms=profile.accepted_staleness_ms if accepts_stale else None,
            session=session.token,
        )
        reads_current = is_read and request.accepted_staleness_ms is None
        return Call(
            session=session,
            request=request,
            min_expected_value=session.writes.get(database) if reads_current else None,
        )

    def _choose_statement(
        self, session: Session, database: str, key_prefix: str, is_read: bool, is_add: bool
    ) -> tuple[str, tuple[JsonValue, ...]]:
        key = f"{key_prefix}/{session.key_numbers[database]}"
        if is_read:
            return "GET ?", (key,)
        if is_add:
            session.adds[database] += 1
            return "ADD ? ?", (f"{key_prefix}/sum", 1)
        return "PUT ? ?", (key, session.sent)
