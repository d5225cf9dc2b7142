"""Tests of background tasks that fail."""

import asyncio

import pytest
from burdockrun_base import Application, EventLog, ManualClock
from burdockrun_gateway.const import TASK_LOG_INTERVAL_MS, TASK_RETRY_MAX_MS
from burdockrun_gateway.tasks import SupervisedTasks, TaskSet, run_guarded


class Failing:
    """Work that fails in its first runs."""

    def __init__(self, failures: int, text: str = "injected") -> None:
        self.failures = failures
        self.text = text
        self.runs = 0

    async def async_run(self) -> None:
        """Fail or return."""
        self.runs += 1
        if self.runs <= self.failures:
            raise RuntimeError(self.text)


async def test_a_failed_task_runs_again_until_it_returns(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a program that goes on without one of its tasks, or ends for it."""
    app, work, delays = Application(), Failing(7), list[float]()

    async def sleep(delay_s: float) -> None:
        delays.append(delay_s)

    monkeypatch.setattr(asyncio, "sleep", sleep)
    tasks = SupervisedTasks(app)
    tasks.start("copy", work.async_run)
    await asyncio.gather(*tasks.tasks)
    assert work.runs == 8
    assert delays == [0.1, 0.2, 0.4, 0.8, 1.6, 2.0, 2.0]
    assert max(delays) == TASK_RETRY_MAX_MS / 1000
    assert app.measurements.counters["task_failures"] == {(("task", "copy"),): 7}
    assert app.stop_reason == ""


async def test_a_cancelled_task_does_not_run_again() -> None:
    """Guards against a program that cannot stop."""
    app, work = Application(), Failing(1_000)
    tasks = SupervisedTasks(app)
    tasks.start("copy", work.async_run)
    await asyncio.sleep(0.02)
    await asyncio.wait_for(tasks.async_stop(), 1.0)
    assert work.runs == 1
    assert tasks.tasks[0].cancelled()


async def test_failures_of_single_tasks_are_counted_and_logged_once_in_a_while(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against errors that nobody sees, and against a log that has nothing else."""
    clock = ManualClock()
    app = Application(clock=clock, events=EventLog(clock=clock))
    tasks = TaskSet(app)
    for _ in range(300):
        tasks.start("probe", Failing(1).async_run())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    assert app.measurements.counters["task_failures"] == {(("task", "probe"),): 300}
    lines = [record.getMessage() for record in caplog.records if "[1342]" in record.getMessage()]
    assert len(lines) == 1
    assert "task=probe error=RuntimeError trace=test_tasks.py:" in lines[0]
    assert "async_run" in lines[0] and "injected" not in lines[0]
    clock.advance(TASK_LOG_INTERVAL_MS)
    tasks.start("probe", Failing(1).async_run())
    await asyncio.sleep(0.01)
    assert "repeated=299" in caplog.records[-1].getMessage()


async def test_the_log_of_a_failed_task_has_nothing_of_the_text_of_its_error(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a log that quotes the keys, names or values of clients and members."""
    app = Application()

    def look_up(key: str) -> int:
        return dict[str, int]()[key]

    tasks = TaskSet(app)
    tasks.start("probe", Failing(1, "value of a client").async_run())
    await asyncio.sleep(0.01)
    assert not run_guarded(app, "step", look_up, "value of a client")
    supervised = SupervisedTasks(app)
    supervised.start("copy", Failing(1, "value of a client").async_run)
    await asyncio.sleep(0.01)
    await supervised.async_stop()
    lines = [record.getMessage() for record in caplog.records if "[1342]" in record.getMessage()]
    assert len(lines) == 3
    for line, task, error, place in zip(
        lines,
        ("probe", "step", "copy"),
        ("RuntimeError", "KeyError", "RuntimeError"),
        ("async_run", "look_up", "async_run"),
        strict=True,
    ):
        assert f"task={task} error={error} trace=" in line
        assert place in line
        assert "value of a client" not in line


def test_a_step_that_raises_does_not_stop_the_next_one() -> None:
    """Guards against work on several things that one of them ends."""
    app, done = Application(), list[int]()

    def step(number: int) -> None:
        done.append(10 // number)

    assert [run_guarded(app, "step", step, number) for number in (1, 0, 5)] == [True, False, True]
    assert done == [10, 2]
    assert app.measurements.counters["task_failures"] == {(("task", "step"),): 1}
