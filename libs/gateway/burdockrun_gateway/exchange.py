"""Exchange of statements and answers with a member."""

import asyncio
from dataclasses import replace

from burdockrun_base import Application, LogPosition
from burdockrun_statements import (
    Answer,
    SessionState,
    Statement,
    StatementKind,
    StatementSequence,
    TransactionState,
    name_shape,
    needs_slot,
    plan_setup,
)

from burdockrun_gateway.attempts import IDLE, Attempt
from burdockrun_gateway.const import (
    FULL_CODES,
    MIN_TIMEOUT_MS,
    READ_TIMEOUT_SHARE,
    ROLLBACK_TIMEOUT_MS,
)
from burdockrun_gateway.links import LinkLostError, MemberLink
from burdockrun_gateway.local_answers import LocalAnswers
from burdockrun_gateway.placement import Placement
from burdockrun_gateway.pools import MemberPool
from burdockrun_gateway.tasks import TaskSet


class AnswerLostError(Exception):
    """No complete answer arrived; `may_have_run` is that of the statement of the client."""

    def __init__(self, *, may_have_run: bool = True) -> None:
        super().__init__()
        self.may_have_run = may_have_run


class Exchange:
    """Sends the statements of one session, after the setup that the connection needs."""

    def __init__(
        self,
        app: Application,
        session: SessionState,
        placement: Placement,
        local_answers: LocalAnswers,
    ) -> None:
        self._app = app
        self._session = session
        self._placement = placement
        self._local_answers = local_answers
        self._tasks = TaskSet(app)
        # Connection in use by a statement, or kept by the transaction.
        self._held: tuple[MemberPool, MemberLink] | None = None

    def give_up(self) -> None:
        """Close the connection in use, so that what was sent on it cannot run later."""
        if self._held is not None:
            self._discard(*self._held)

    def _discard(self, pool: MemberPool, link: MemberLink) -> None:
        self._held = None
        pool.discard(link)

    def roll_back(
        self, pool: MemberPool, link: MemberLink, state: TransactionState, request_id: str = ""
    ) -> None:
        """Release a connection after rolling back its open transaction."""
        self._held = None
        if state is IDLE:
            pool.release(link)
            return
        if link.lost or link.oldest_unanswered_ms() is not None:
            pool.discard(link)
            return
        self._tasks.start("roll_back", async_roll_back(pool, link, request_id))

    async def async_exchange(
        self,
        attempt: Attempt,
        pool: MemberPool,
        link: MemberLink,
    ) -> Answer:
        """Send a statement with its setup and return its answer.

        Raises AnswerLostError when no complete answer arrived; the connection is closed then.
        """
        self._held = pool, link
        sequence = self._plan_sequence(attempt, pool, link)
        is_first = not attempt.in_transaction or attempt.begin is not None
        while part := sequence.take_sendable():
            attempt.may_have_run = sequence.may_have_run
            try:
                answers = await self._async_send(
                    attempt, pool, link, part, is_first=is_first, is_followed=sequence.has_more
                )
            except AnswerLostError:
                raise AnswerLostError(may_have_run=sequence.may_have_run) from None
            if isinstance(answers, Answer):
                return answers
            is_first = False
            sequence.add_answers(answers)
            attempt.may_have_run = sequence.may_have_run
        conclusion = sequence.conclude()
        pool.note_conclusion(conclusion)
        link.state.needs_reset |= conclusion.forgets_setup
        if not conclusion.keeps_connection:
            self._discard(pool, link)
        return conclusion.answers[-1]

    def _plan_sequence(
        self, attempt: Attempt, pool: MemberPool, link: MemberLink
    ) -> StatementSequence:
        setup = plan_setup(
            link.state,
            self._session,
            attempt.shape,
            may_reset=not attempt.in_transaction or attempt.begin is not None,
        )
        statements = [self._build_statement(attempt, pool, link)]
        if attempt.begin is not None:
            awaited = self._find_awaited_position(attempt, pool, link)
            statements.insert(0, replace(attempt.begin, after=awaited))
        return StatementSequence(
            setup,
            statements,
            has_effect=attempt.writes or attempt.statement.kind is StatementKind.COMMIT,
            through_home=link.home is not None,
        )

    def _find_awaited_position(
        self, attempt: Attempt, pool: MemberPool, link: MemberLink
    ) -> LogPosition | None:
        """Return the position that the member must still apply before the transaction, or None."""
        if attempt.to_primary:
            return attempt.group.awaited_position(pool, link)
        required = self._placement.required(attempt)
        applied = pool.proven_position(link)
        has_applied = required is None or (applied is not None and applied.has_reached(required))
        return attempt.group.awaited_position(pool, link) if has_applied else required

    async def _async_send(
        self,
        attempt: Attempt,
        pool: MemberPool,
        link: MemberLink,
        statements: list[Statement],
        *,
        is_first: bool,
        is_followed: bool,
    ) -> list[Answer] | Answer:
        """Send statements in one write; return their answers, or one of this node on a time-out.

        `is_first` says that they begin an operation, which a home may queue; `is_followed`, that
        others are sent next if they succeed.
        """
        now_ms = self._app.clock.now_ms()
        left_ms = attempt.route.timeout_ms - (now_ms - attempt.arrived_ms)
        timeout_ms: float = left_ms
        if not attempt.writes and not attempt.in_transaction:
            target_ms = READ_TIMEOUT_SHARE * attempt.route.target_ms
            answer_ms = max(target_ms, 4 * pool.expected_ms(), MIN_TIMEOUT_MS)
            timeout_ms = min(left_ms, answer_ms + self._find_queue_time(attempt, pool, link))
        rank_share = attempt.group.find_rank_share(attempt.route.rank)
        wait_ms = pool.note_sent(link, rank_share) if is_first else 0.0
        try:
            async with asyncio.timeout(max(timeout_ms, 1) / 1000):
                answers = await asyncio.shield(link.send(statements, is_followed=is_followed))
        except LinkLostError:
            self._discard(pool, link)
            raise AnswerLostError from None
        except TimeoutError:
            self._discard(pool, link)
            if timeout_ms < left_ms:
                raise AnswerLostError from None
            return self._local_answers.time_out(attempt)
        is_refused = pool.has_homes and answers[-1].error in FULL_CODES
        if not is_refused and needs_slot(statements):
            pool.observe(self._app.clock.now_ms() - now_ms, link, wait_ms)
        return answers

    def _find_queue_time(self, attempt: Attempt, pool: MemberPool, link: MemberLink) -> float:
        """Return how long a read at the primary may be queued at its home, which refuses by itself.

        A read that is sent again loses its place in the queue. One at a replica is sent elsewhere
        when it takes longer than the home reported.
        """
        is_queued = attempt.to_primary and pool.has_remote_queue()
        return link.priority.wait_ms if is_queued else 0

    def _build_statement(self, attempt: Attempt, pool: MemberPool, link: MemberLink) -> Statement:
        statement = attempt.statement
        after = None
        if not attempt.in_transaction and not attempt.writes:
            after = None if attempt.to_primary else self._placement.required(attempt)
            after = after or attempt.group.awaited_position(pool, link)
        return Statement(
            kind=statement.kind,
            request_id=statement.request_id,
            name=name_shape(attempt.shape) if attempt.shape is not None else statement.name,
            argument=statement.argument,
            after=after,
        )


async def async_roll_back(pool: MemberPool, link: MemberLink, request_id: str) -> None:
    """Roll back the transaction on a connection and release it."""
    rollback = Statement(kind=StatementKind.ROLLBACK, request_id=request_id)
    try:
        async with asyncio.timeout(ROLLBACK_TIMEOUT_MS / 1000):
            answers = await link.send([rollback])
    except (TimeoutError, LinkLostError):
        pool.discard(link)
        return
    if answers[-1].state is IDLE:
        pool.release(link)
    else:
        pool.discard(link)
