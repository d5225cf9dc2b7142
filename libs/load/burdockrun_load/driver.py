"""Sends the requests of a scenario to a target, in an open or a closed loop."""

import asyncio
import random

from burdockrun_base import EventLog
from burdockrun_messages import Outcome, StatementRequest

from burdockrun_load.const import (
    CODE_NOT_SENT,
    EVENT_VIOLATION,
    MICROSECONDS_PER_MS,
    MICROSECONDS_PER_S,
)
from burdockrun_load.models import CallRecord, CallResult
from burdockrun_load.primaries import PrimaryTracker
from burdockrun_load.recorder import Recorder
from burdockrun_load.scenario import Arrival, Scenario, choose_rank, list_arrivals
from burdockrun_load.sessions import Call, Session, SessionPool
from burdockrun_load.streams import Target

_NOT_SENT = CallResult(outcome=Outcome.NOT_RUN, code=CODE_NOT_SENT)


class Driver:
    """Sends the requests of a scenario to a target and records the results."""

    def __init__(
        self,
        scenario: Scenario,
        target: Target,
        pool: SessionPool,
        primaries: PrimaryTracker,
        events: EventLog,
    ) -> None:
        self._scenario = scenario
        self._target = target
        self._pool = pool
        self._primaries = primaries
        self._events = events
        self._start_s = 0.0
        self._in_flight: set[asyncio.Task[None]] = set()
        flood_phases = frozenset(phase.name for phase in scenario.phases if phase.flood)
        self.recorder = Recorder(list(scenario.ranks), flood_phases)

    async def async_run_open(self) -> None:
        """Send each request at its intended time, without waiting for earlier ones."""
        loop = asyncio.get_running_loop()
        self._start_s = loop.time()
        for arrival in list_arrivals(self._scenario):
            wait_s = self._start_s + arrival.at_ms / 1_000 - loop.time()
            await asyncio.sleep(max(0.0, wait_s))
            self._start(arrival)
        if self._in_flight:
            await asyncio.gather(*self._in_flight)

    async def async_run_closed(self, callers: int, duration_ms: int) -> None:
        """Let each caller send its next request when the last one has been answered."""
        self._start_s = asyncio.get_running_loop().time()
        await asyncio.gather(
            *(self._async_call_repeatedly(number, duration_ms) for number in range(callers))
        )

    def _start(self, arrival: Arrival) -> None:
        intended_us = round(arrival.at_ms * MICROSECONDS_PER_MS)
        call = self._pool.start_call(arrival.rank)
        if len(self._in_flight) >= self._scenario.max_in_flight:
            self._finish(call, arrival.phase, _NOT_SENT, intended_us)
            return
        task = asyncio.create_task(self._async_issue(call, arrival.phase, intended_us))
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)

    async def _async_call_repeatedly(self, number: int, duration_ms: int) -> None:
        rng = random.Random(f"{self._scenario.seed}:caller:{number}")
        session = self._pool.take_session()
        while self._elapsed_us() < duration_ms * MICROSECONDS_PER_MS:
            rank, phase = choose_rank(self._scenario, rng)
            call = self._pool.start_call(rank, session)
            await self._async_issue(call, phase, self._elapsed_us(), session)

    async def _async_issue(
        self, call: Call, phase: str, intended_us: int, owned_session: Session | None = None
    ) -> None:
        session = call.session
        result = await self._target.async_call(call.request, session.proxy, session.number)
        if result.answer is not None and result.answer.alternatives:
            self._pool.move_to_next_proxy(session)
        self._finish(call, phase, result, intended_us, keep_session=owned_session is not None)

    def _finish(
        self,
        call: Call,
        phase: str,
        result: CallResult,
        intended_us: int,
        *,
        keep_session: bool = False,
    ) -> None:
        may_have_run = result.outcome is not Outcome.NOT_RUN
        is_consistent = self._pool.finish_call(
            call, result.answer, keep_session=keep_session, may_have_run=may_have_run
        )
        if not is_consistent:
            self.recorder.violations += 1
            self._report_violation(call.request, result)
        member = result.answer.member if result.answer is not None else None
        self.recorder.add(
            CallRecord(
                request=call.request,
                phase=phase,
                result=result,
                intended_us=intended_us,
                finished_us=self._elapsed_us(),
                from_replica=self._primaries.is_replica(call.request.database, member),
            )
        )

    def _report_violation(self, request: StatementRequest, result: CallResult) -> None:
        answer = result.answer
        self._events.write(
            EVENT_VIOLATION,
            request_id=request.request_id,
            database=request.database,
            statement=request.statement,
            member=answer.member if answer else None,
            result=answer.result if answer else None,
        )

    def _elapsed_us(self) -> int:
        now_s = asyncio.get_running_loop().time()
        return round((now_s - self._start_s) * MICROSECONDS_PER_S)
