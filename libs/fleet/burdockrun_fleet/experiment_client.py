"""Cost of one submission by an operator's client."""

import random

from burdockrun_messages import (
    CallPlatform,
    Configuration,
    Outbox,
    PlatformAnswered,
    PutKey,
    encode_message,
)
from burdockrun_settings import configuration_to_json

from burdockrun_fleet.const import SNAPSHOT_HEAD
from burdockrun_fleet.experiment_load import SharedTicketFunctions, make_ticket
from burdockrun_fleet.loader import snapshot_key
from burdockrun_fleet.meter import read_processor_s
from burdockrun_fleet.models import SnapshotHead
from burdockrun_fleet.simulation import Simulation
from burdockrun_fleet.submission import Accepted, SubmissionResult, TicketSubmission
from burdockrun_fleet.tickets import split_shards

_STEP_MS = 10


def measure_client(
    simulation: Simulation, configuration: Configuration, number: int
) -> dict[str, object]:
    """Submit ticket `number` to a store with a new snapshot; measure calls and processor time."""
    parts = split_shards(configuration_to_json(configuration))
    for shard, part in enumerate(parts):
        simulation.apply(PutKey(key=snapshot_key(configuration.number, shard), value=part))
    head = SnapshotHead(number=configuration.number, shards=len(parts))
    simulation.apply(PutKey(key=SNAPSHOT_HEAD, value=encode_message(head).decode()))
    outbox = Outbox()
    results: list[SubmissionResult] = []
    started_s, calls, now_ms = read_processor_s(), 0, simulation.now_ms
    submission = TicketSubmission(
        make_ticket(number, range(10)),
        outbox,
        random.Random(1),
        SharedTicketFunctions().make(),
        check=lambda checked, text: "",
        deadline_ms=now_ms + 60_000,
        on_result=lambda result, then_ms: results.append(result),
    )
    pending = outbox.drain()
    while pending or not results:
        now_ms += _STEP_MS
        for action in pending:
            if isinstance(action, CallPlatform):
                calls += 1
                reply = simulation.apply(action.operation)
                event = PlatformAnswered(call_id=action.call_id, reply=reply)
                outbox.deliver_platform_reply(event, now_ms)
        submission.tick(now_ms)
        pending = outbox.drain()
    return {
        "client_accepted": results == [Accepted(number=number)],
        "client_calls": calls,
        "client_cpu_ms": round(1_000 * (read_processor_s() - started_s)),
    }
