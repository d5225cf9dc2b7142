"""Background tasks that do not end the program when they fail."""

import asyncio
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, Final

from burdockrun_base import Application, locate_error

from burdockrun_gateway.const import (
    TASK_FAILED,
    TASK_LOG_INTERVAL_MS,
    TASK_RETRY_MAX_MS,
    TASK_RETRY_MS,
)

# Name under which errors are reported that reach the event loop.
_LOOP: Final = "event loop"


def report_failure(app: Application, task: str, error: BaseException, /, **details: object) -> None:
    """Log and count an unexpected error; repeated ones of a task are logged once in a while.

    The text of the error is left out: it may quote what a client, a member or another node sent.
    """
    _report(app, task, locate_error(error), details)


def handle_loop_failures(app: Application) -> None:
    """Report the errors that reach the running event loop, such as those of its callbacks."""
    asyncio.get_running_loop().set_exception_handler(partial(_report_loop_failure, app))


def _report_loop_failure(
    app: Application, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    error = context.get("exception")
    if error is None:
        _report(app, _LOOP, {"error": context["message"], "trace": ""}, {})
        return
    report_failure(app, _LOOP, error)


def _report(app: Application, task: str, error: dict[str, str], details: dict[str, object]) -> None:
    app.measurements.count("task_failures", task=task)
    app.events.write_spaced(
        TASK_FAILED,
        f"{task} {error['error']}",
        TASK_LOG_INTERVAL_MS,
        task=task,
        **error,
        **details,
    )


def run_guarded(
    app: Application,
    task: str,
    step: Callable[..., object],
    /,
    *arguments: object,
    **details: object,
) -> bool:
    """Run one of several steps, so that an error in it does not stop the others.

    Returns whether the step has succeeded; a failure is reported with the `details`.
    """
    try:
        step(*arguments)
    except Exception as error:
        report_failure(app, task, error, **details)
        return False
    return True


class TaskSet:
    """Tasks of one owner: keeps them referenced, and reports those that fail."""

    def __init__(self, app: Application) -> None:
        self._app = app
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, name: str, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Start a task; its failure is reported under `name`."""
        return self.keep(name, asyncio.get_running_loop().create_task(work))

    def keep(self, name: str, task: "asyncio.Task[None]") -> "asyncio.Task[None]":
        """Keep a task until it is done."""
        self._tasks.add(task)

        def handle_done(done: "asyncio.Task[None]") -> None:
            self._tasks.discard(done)
            error = None if done.cancelled() else done.exception()
            if error is not None:
                report_failure(self._app, name, error)

        task.add_done_callback(handle_done)
        return task

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()


class SupervisedTasks:
    """Tasks that run as long as the program; one that fails is started again after a delay."""

    def __init__(self, app: Application) -> None:
        self.tasks: list[asyncio.Task[None]] = []
        self._app = app

    def start(self, name: str, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Start a task that calls `run` until it returns or is cancelled."""
        work = self._async_supervise(name, run)
        self.tasks.append(asyncio.get_running_loop().create_task(work, name=name))

    async def async_stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _async_supervise(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Call `run` again after each failure, later each time unless it had run for a while."""
        delay_ms = TASK_RETRY_MS
        while True:
            started_ms = self._app.clock.now_ms()
            try:
                await run()
            except Exception as error:
                report_failure(self._app, name, error)
            else:
                return
            if self._app.clock.now_ms() - started_ms > TASK_RETRY_MAX_MS:
                delay_ms = TASK_RETRY_MS
            await asyncio.sleep(delay_ms / 1000)
            delay_ms = min(2 * delay_ms, TASK_RETRY_MAX_MS)
