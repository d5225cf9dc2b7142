"""Tests of arrivals and statistics."""

from burdockrun_load.models import CallRecord, CallResult
from burdockrun_load.recorder import Recorder, WriteGap
from burdockrun_load.scenario import Scenario, list_arrivals
from burdockrun_messages import Access, Outcome, StatementRequest

from tests.load.common import make_scenario


def test_arrivals_match_their_rates_and_repeat_with_the_seed() -> None:
    """Guards against a load that differs from the scenario or between runs."""
    phases = [{"name": "calm", "duration_ms": 60_000, "rates_per_s": {"urgent": 20, "routes": 80}}]
    scenario = Scenario.model_validate(make_scenario(phases=phases))
    arrivals = list(list_arrivals(scenario))
    assert arrivals == list(list_arrivals(scenario))
    assert [arrival.at_ms for arrival in arrivals] == sorted(a.at_ms for a in arrivals)
    assert abs(len(arrivals) - 6_000) < 300
    assert abs(sum(arrival.rank == "urgent" for arrival in arrivals) - 1_200) < 140


def test_latency_counts_from_the_intended_time() -> None:
    """Guards against coordinated omission: the delay of a late sending counts as latency."""
    recorder = Recorder(["urgent"], frozenset())
    request = StatementRequest(
        request_id="1", account="a", database="d", statement="", access=Access.READ, rank="urgent"
    )
    result = CallResult(outcome=Outcome.DONE, code="ok")
    recorder.add(
        CallRecord(
            request=request, phase="calm", result=result, intended_us=1_000, finished_us=251_000
        )
    )
    assert abs(recorder.describe()["ranks"]["urgent"]["latency_ms"]["p50"] - 250) < 1


def test_write_gap_covers_writes_that_were_never_acknowledged() -> None:
    """Guards against an outage at the end of a run that is not reported."""
    gap = WriteGap(0)
    gap.add(0, 5_000)
    gap.add(10_000, 90_000)
    assert gap.describe() == (85.0, 5.0)
    gap.add(400_000, None)
    assert gap.describe() == (310.0, 90.0)
