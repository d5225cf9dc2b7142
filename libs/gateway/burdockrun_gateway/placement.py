"""Choice of the member for a statement, and of a connection to it."""

from dataclasses import dataclass

from burdockrun_base import Application, LogPosition
from burdockrun_groups import (
    Freshness,
    ReadRequest,
    Requirement,
    choose_by_load,
    choose_member,
)
from burdockrun_statements import Answer, ErrorCode, SessionState
from result import Err

from burdockrun_gateway.attempts import Attempt
from burdockrun_gateway.const import (
    ADMISSION_SHARE,
    CATCH_UP_SHARE,
    LATE_WORK_SHARE,
    MAX_TRIES,
    MIN_TIMEOUT_MS,
    PRIMARY_WAIT_SHARE,
    PRIMARY_WAIT_STEP_MS,
    RETRY_DELAY_MS,
)
from burdockrun_gateway.links import MemberLink
from burdockrun_gateway.local_answers import LocalAnswers
from burdockrun_gateway.pools import MemberPool
from burdockrun_gateway.ports import AcquireFault, RequestPriority
from burdockrun_gateway.retry_times import RefusalCause, RefusalFacts


@dataclass(frozen=True, slots=True)
class _Choice:
    """Member for a statement, and how long until it is expected to have the data."""

    pool: MemberPool
    wait_ms: float = 0.0


class Placement:
    """Finds members, and connections to them, for the statements of one session."""

    def __init__(
        self,
        app: Application,
        session: SessionState,
        local_answers: LocalAnswers,
        account: str = "",
    ) -> None:
        self._app = app
        self._session = session
        self._local_answers = local_answers
        self._account = account
        # Member of the previous read where members have homes.
        self._kept = ""

    async def async_place(self, attempt: Attempt) -> tuple[MemberPool, MemberLink] | Answer:
        """Return a connection to a member that may run the statement, or a refusal."""
        while True:
            attempt.tries += 1
            if attempt.tries > MAX_TRIES:
                return self._refuse(attempt, "no member could run it")
            choice = self._choose(attempt)
            if choice is None or choice.wait_ms > 0.0:
                refusal = await self._async_wait_for_member(attempt, choice)
                if refusal is not None:
                    return refusal
                attempt.tries -= 1
                continue
            pool = choice.pool
            queued_ms = self._app.clock.now_ms()
            limit_ms = self._find_wait_limit(attempt, pool)
            if self._is_too_long(attempt, pool, limit_ms):
                return self._refuse(attempt, "too much work is waiting", pool)
            acquired = await pool.async_acquire(
                self.build_priority(attempt, limit_ms, first=True), self._session
            )
            attempt.waited_ms += self._app.clock.now_ms() - queued_ms
            if isinstance(acquired, Err):
                fault = acquired.err_value
                if self._may_try_another(attempt, pool, fault.code):
                    self._exclude_full(attempt, pool, fault)
                    continue
                return self._refuse(attempt, fault.reason, pool, fault)
            link = acquired.ok_value
            if link.lost:
                continue
            # While the statement waited, another member may have become the primary.
            if not self._may_still_run(attempt, pool):
                pool.release(link)
                continue
            return pool, link

    def _may_still_run(self, attempt: Attempt, pool: MemberPool) -> bool:
        """Return whether a member may still run the statement for which it was chosen.

        Without a required position, a read is current at the primary only.
        """
        if not attempt.group.may_use(pool):
            return False
        if attempt.to_primary:
            return pool is _find_primary(attempt)
        if self._find_requirement(attempt) is not None:
            return True
        return pool is attempt.group.readable_primary_pool()

    async def _async_wait_for_member(
        self, attempt: Attempt, choice: _Choice | None
    ) -> Answer | None:
        """Wait for a change of the members or for a replica to catch up; None once it may go on.

        Where members have homes, a statement waits for a member only while the primary is being
        replaced. A full primary refuses by itself; waiting here would only delay the refusal.
        """
        if choice is not None:
            await attempt.group.changed.async_wait(choice.wait_ms)
            return None
        if attempt.refusal is not None:
            return self._refuse(attempt, attempt.refusal.reason, None, attempt.refusal)
        group = attempt.group
        if group.awaits_members() and not attempt.excluded:
            return self._refuse(attempt, "no member is certain to have all commits")
        wait_ms = self._primary_wait_left_ms(attempt)
        may_wait = not group.has_homes() or group.is_replacing() or bool(attempt.excluded)
        if wait_ms <= 0 or not may_wait:
            return self._refuse(attempt, "no member is available")
        attempt.excluded.clear()
        await group.changed.async_wait(min(wait_ms, PRIMARY_WAIT_STEP_MS))
        return None

    def _find_wait_limit(self, attempt: Attempt, pool: MemberPool) -> float:
        """Return how long a statement may wait for a connection, or in the queue of a home.

        A home that reports its load also runs work after its target, and refuses the rest at once.
        """
        now_ms = self._app.clock.now_ms()
        limit_ms = attempt.left_ms(ADMISSION_SHARE, now_ms)
        if pool.has_homes and pool.is_lost():
            return min(limit_ms, self._primary_wait_left_ms(attempt))
        if not pool.has_remote_queue():
            return limit_ms
        late_ms = LATE_WORK_SHARE * attempt.route.timeout_ms - (now_ms - attempt.arrived_ms)
        return max(limit_ms, late_ms)

    def _is_too_long(self, attempt: Attempt, pool: MemberPool, limit_ms: float) -> bool:
        """Return whether a statement cannot get a connection, or be answered, in time.

        Homes report no wait for each account: the queue may be that of another one.
        """
        if pool.expected_wait_ms() > max(limit_ms, 0):
            return True
        if self._account or not pool.has_remote_queue():
            return False
        now_ms, home = self._app.clock.now_ms(), pool.home_name()
        rank_share = attempt.group.find_rank_share(attempt.route.rank)
        wait_ms = pool.home_loads.least_wait_ms(home, rank_share, now_ms)
        return wait_ms > 0 and wait_ms + pool.home_loads.response_ms(home, now_ms) > limit_ms

    def handle_full(self, attempt: Attempt, pool: MemberPool, answer: Answer) -> Answer | None:
        """Handle the answer of a member that has homes and is full; nothing has run.

        Returns the refusal for the client. Returns None for a read that is tried once at another
        member; the home that refused it has not counted it against the account.
        """
        code = answer.error or ErrorCode.BUSY
        fault = AcquireFault(reason=answer.detail or "full", code=code, retry_ms=answer.retry_ms)
        now_ms = self._app.clock.now_ms()
        if code is ErrorCode.OVERLOADED:
            rank_share = attempt.group.find_rank_share(attempt.route.rank)
            pool.home_loads.note_refused(pool.home_name(), rank_share, answer.retry_ms, now_ms)
        if self._may_try_another(attempt, pool, code):
            self._local_answers.log_retry(attempt, pool.entry.id, code.value)
            self._exclude_full(attempt, pool, fault)
            return None
        return self._refuse(attempt, fault.reason, pool, fault)

    def _may_try_another(self, attempt: Attempt, pool: MemberPool, code: ErrorCode) -> bool:
        """Return whether a read that a full replica refused is tried at another member.

        The limit of an account is the same at all members.
        """
        if not pool.has_homes or attempt.to_primary or attempt.refusal is not None:
            return False
        left_ms = attempt.left_ms(ADMISSION_SHARE, self._app.clock.now_ms())
        return code is not ErrorCode.LIMITED and left_ms > 0

    def _exclude_full(self, attempt: Attempt, pool: MemberPool, fault: AcquireFault) -> None:
        attempt.refusal = fault
        attempt.excluded.add(pool.entry.id)

    def _refuse(
        self,
        attempt: Attempt,
        reason: str,
        pool: MemberPool | None = None,
        fault: AcquireFault | None = None,
    ) -> Answer:
        """Refuse a statement that has not run; `pool` is that of the member that is full."""
        state = attempt.refused_state
        if not attempt.group.has_homes():
            return self._local_answers.refuse(attempt, state, reason)
        now_ms = self._app.clock.now_ms()
        facts = self._find_facts(attempt, pool, fault, now_ms)
        retry_ms = attempt.group.retry_times.choose_ms(facts, now_ms)
        return self._local_answers.refuse(
            attempt,
            state,
            reason,
            retry_ms=retry_ms,
            is_limited=facts.cause is RefusalCause.ACCOUNT_LIMITED,
        )

    def _find_facts(
        self,
        attempt: Attempt,
        pool: MemberPool | None,
        fault: AcquireFault | None,
        now_ms: int,
    ) -> RefusalFacts:
        told_ms = fault.retry_ms if fault is not None else 0
        if fault is not None and fault.code is ErrorCode.LIMITED:
            return RefusalFacts(cause=RefusalCause.ACCOUNT_LIMITED, told_ms=told_ms)
        if pool is None:
            return RefusalFacts(cause=RefusalCause.NO_MEMBER, told_ms=told_ms)
        home, load = pool.home_name(), pool.home_loads
        rank_share = attempt.group.find_rank_share(attempt.route.rank)
        wait_ms = load.expected_wait_ms(home, rank_share, now_ms)
        return RefusalFacts(
            cause=RefusalCause.MEMBER_FULL,
            member_id=pool.entry.id,
            rank=attempt.route.rank,
            told_ms=told_ms,
            wait_ms=wait_ms if load.has_load(home) else None,
            allowed_ms=max(attempt.route.target_ms - load.response_ms(home, now_ms), 0.0),
            step_ms=load.step_ms(home, now_ms),
        )

    def build_priority(
        self, attempt: Attempt, wait_ms: float, *, first: bool = False
    ) -> RequestPriority:
        """Return the priority of a statement; `first` if it is the first one of an operation.

        Only statements of accounts tell how old they are, so that without accounts the messages
        to homes stay as they were.
        """
        elapsed_ms = self._app.clock.now_ms() - attempt.arrived_ms
        return RequestPriority(
            rank=attempt.route.rank,
            wait_ms=int(max(wait_ms, MIN_TIMEOUT_MS / 4)),
            elapsed_ms=elapsed_ms if self._account else 0,
            first=first,
            account=self._account,
            writes=attempt.writes,
            begins=attempt.begin is not None,
        )

    def choose(self, attempt: Attempt) -> MemberPool | None:
        """Return the member for a statement, without a connection to it; None if there is none.

        No random number is used up, so that asking does not change later choices.
        """
        rng = attempt.group.rng
        state = rng.getstate()
        choice = self._choose(attempt)
        rng.setstate(state)
        return choice.pool if choice is not None else None

    def _choose(self, attempt: Attempt) -> _Choice | None:
        group = attempt.group
        if attempt.to_primary:
            pool = _find_primary(attempt)
            return _Choice(pool) if pool is not None and _may_send(pool) else None
        if group.has_homes():
            return self._choose_by_load(attempt)
        option = choose_member(
            group.read_options(attempt.excluded),
            self._find_requirement(attempt),
            self._app.clock.now_ms(),
            replicas_allowed=attempt.route.freshness is not Freshness.PRIMARY,
        )
        if option is None and attempt.excluded:
            attempt.excluded.clear()
        found = group.pools.get(option.member_id) if option is not None else None
        return _Choice(found) if found is not None else None

    def _choose_by_load(self, attempt: Attempt) -> _Choice | None:
        group, now_ms = attempt.group, self._app.clock.now_ms()
        request = ReadRequest(
            required=self._find_requirement(attempt),
            replicas_allowed=attempt.route.freshness is not Freshness.PRIMARY,
            max_wait_ms=attempt.left_ms(CATCH_UP_SHARE, now_ms),
            kept=self._kept if attempt.route.freshness is Freshness.SESSION else "",
            repeatable=not attempt.in_transaction and attempt.refusal is None,
        )
        rank_share = group.find_rank_share(attempt.route.rank)
        options = group.read_options(attempt.excluded, rank_share)
        choice = choose_by_load(options, request, now_ms, group.rng)
        pool = group.pools.get(choice.option.member_id) if choice is not None else None
        if choice is None or pool is None:
            # The primary may be reached again as soon as a connection to its home is open.
            pool = group.readable_primary_pool()
            is_allowed = pool is not None and pool.entry.id not in attempt.excluded
            return _Choice(pool) if pool is not None and is_allowed and _may_send(pool) else None
        self._kept = pool.entry.id
        return _Choice(pool, choice.wait_ms)

    def required(self, attempt: Attempt) -> LogPosition | None:
        """Return the position that a replica must have applied to run the statement."""
        requirement = self._find_requirement(attempt)
        return requirement.position if requirement is not None else None

    def _find_requirement(self, attempt: Attempt) -> Requirement | None:
        by_session = attempt.route.freshness is Freshness.SESSION
        return attempt.group.find_requirement(
            attempt.started_ms,
            attempt.route.max_staleness_ms,
            self._session.commit if by_session else None,
        )

    def _primary_wait_left_ms(self, attempt: Attempt) -> float:
        """Return how much longer a statement may wait for a primary."""
        return attempt.left_ms(PRIMARY_WAIT_SHARE, self._app.clock.now_ms())

    async def async_prepare_retry(
        self, attempt: Attempt, pool: MemberPool, *, lagging: bool = False
    ) -> None:
        """Exclude a replica that did not run the statement; wait before the primary is retried.

        `lagging` says that it had not applied the required position.
        """
        if not attempt.to_primary:
            pool.note_lagging()
            if lagging:
                attempt.group.note_lagging(pool.entry.id, self._find_requirement(attempt))
            attempt.excluded.add(pool.entry.id)
            return
        wait_ms = max(self._primary_wait_left_ms(attempt), RETRY_DELAY_MS)
        await attempt.group.changed.async_wait(min(wait_ms, PRIMARY_WAIT_STEP_MS))


def _find_primary(attempt: Attempt) -> MemberPool | None:
    """Return the primary if it may get the statement, though it may not lead yet."""
    if attempt.proves_primary:
        return attempt.group.primary_pool()
    return attempt.group.readable_primary_pool()


def _may_send(pool: MemberPool) -> bool:
    """Return whether statements may be sent to the primary, if need be through its next home."""
    return not pool.is_lost() or pool.is_changing_homes()
