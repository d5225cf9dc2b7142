"""Command `ticket submit`."""

import random
from dataclasses import dataclass, replace

from burdockrun_base import Clock, EventLog, SystemClock
from burdockrun_fleet import (
    Accepted,
    Conflict,
    Rejected,
    SubmissionResult,
    TicketFunctions,
    TicketSubmission,
)
from burdockrun_messages import Configuration, Outbox
from burdockrun_settings import (
    Ticket,
    apply_ticket_text,
    check_ticket_against,
    configuration_from_json,
    configuration_to_json,
    ticket_to_json,
)
from result import Err

from burdockrun_control.const import (
    EVENT_OUTCOME_UNKNOWN,
    EVENT_PLATFORM_FAULT,
    EVENT_TICKET_ACCEPTED,
    EVENT_TICKET_REFUSED,
    EXIT_DONE,
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
    SUBMISSION_ID_BITS,
)
from burdockrun_control.files import load_ticket, refuse_file
from burdockrun_control.output import Output
from burdockrun_control.runner import OutboxRunner
from burdockrun_control.store_reader import PlatformCaller, StoreReader
from burdockrun_control.tickets import async_wait_in_force


@dataclass(frozen=True, kw_only=True, slots=True)
class SubmitOptions:
    """Options of the command `ticket submit`.

    The `submission_id` of an earlier attempt identifies its ticket, which is not accepted twice.
    """

    file: str
    timeout_ms: int
    submission_id: str | None = None
    wait_in_force_ms: int | None = None


class Submitter:
    """Submits one ticket and reports the outcome."""

    def __init__(self, platform: PlatformCaller, output: Output, events: EventLog) -> None:
        self._platform = platform
        self._output = output
        self._events = events
        self._clock: Clock = SystemClock()
        self._rng = random.SystemRandom()

    async def async_run(self, options: SubmitOptions) -> int:
        """Submit the ticket in a file; an invalid file causes no platform call."""
        loaded = load_ticket(options.file)
        if isinstance(loaded, Err):
            return refuse_file(loaded.err_value, self._output)
        submission_id = options.submission_id or f"{self._rng.getrandbits(SUBMISSION_ID_BITS):x}"
        ticket = replace(loaded.ok_value, submission_id=submission_id)
        result, findings = await self._async_submit(ticket, options.timeout_ms)
        status = self._report(result, findings, submission_id)
        if isinstance(result, Accepted) and options.wait_in_force_ms is not None:
            reader = StoreReader(self._platform)
            return await async_wait_in_force(
                reader, self._output, result.number, options.wait_in_force_ms
            )
        return status

    async def _async_submit(self, ticket: Ticket, timeout_ms: int) -> tuple[SubmissionResult, str]:
        """Return the result, and the findings of the last check against the configuration."""
        outbox = Outbox()
        results: list[SubmissionResult] = []
        findings: list[str] = []

        def check(configuration: Configuration, text: str) -> str:
            findings.append(str(check_ticket_against(ticket, configuration)))
            return findings[-1]

        submission = TicketSubmission(
            ticket_to_json(ticket),
            outbox,
            self._rng,
            TicketFunctions(
                apply=apply_ticket_text, dump=configuration_to_json, load=configuration_from_json
            ),
            check=check,
            deadline_ms=self._clock.now_ms() + timeout_ms,
            on_result=lambda result, now_ms: results.append(result),
        )
        runner = OutboxRunner(outbox, self._platform, self._clock, self._events)
        await runner.async_run(submission.tick, lambda: bool(results))
        return results[0], findings[-1] if findings else ""

    def _report(self, result: SubmissionResult, findings: str, submission_id: str) -> int:
        if isinstance(result, Accepted):
            self._events.write(
                EVENT_TICKET_ACCEPTED, number=result.number, submission=submission_id
            )
            self._output.write(
                f"ticket {result.number} accepted",
                {"result": "accepted", "number": result.number, "submission_id": submission_id},
            )
            return EXIT_DONE
        if isinstance(result, Conflict):
            reason = f"number {result.number} was taken by a ticket of {result.author}"
            return self._refuse(reason, "conflict", submission_id)
        if isinstance(result, Rejected) and findings:
            return self._refuse(findings, "rejected", submission_id)
        if isinstance(result, Rejected):
            self._events.write(EVENT_PLATFORM_FAULT, reason=result.findings)
            self._output.write_unreachable(result.findings)
            return EXIT_UNREACHABLE
        self._events.write(EVENT_OUTCOME_UNKNOWN, reason=result.reason, submission=submission_id)
        self._output.write(
            f"it is not known whether the ticket was accepted: {result.reason}\n"
            f"submit it again with --submission-id {submission_id}, which cannot accept it twice",
            {"result": "unknown", "reason": result.reason, "submission_id": submission_id},
        )
        return EXIT_UNREACHABLE

    def _refuse(self, reason: str, result: str, submission_id: str) -> int:
        self._events.write(EVENT_TICKET_REFUSED, reason=reason, submission=submission_id)
        self._output.write(
            f"{reason}\nthe ticket was refused and changes nothing",
            {"result": result, "reason": reason, "submission_id": submission_id},
        )
        return EXIT_REFUSED
