"""Reports of errors by type and place; their text may quote what others have sent."""

import asyncio
import logging
from functools import partial
from typing import Any, Final

from aiohttp.http_exceptions import HttpProcessingError
from burdockrun_base import Application, locate_error

from burdockrun_proxy.const import EVENT_FAILED, FAILURE_LOG_INTERVAL_MS, HTTP_REQUEST_REFUSED

KIND_LOOP: Final = "event loop"
KIND_HTTP: Final = "http server"


def report_failure(app: Application, kind: str, error: BaseException) -> None:
    """Log and count an unexpected error."""
    _report(app, kind, **locate_error(error))


class HttpFailures(logging.Handler):
    """Handler of the HTTP server's log, whose lines and tracebacks quote requests."""

    def __init__(self, app: Application) -> None:
        super().__init__(logging.WARNING)
        self._app = app

    def emit(self, record: logging.LogRecord) -> None:
        """Report the error of a log record."""
        error = record.exc_info[1] if record.exc_info else None
        if error is None:
            _report(self._app, KIND_HTTP, error="", trace=f"{record.filename}:{record.lineno}")
            return
        if not isinstance(error, HttpProcessingError):
            report_failure(self._app, KIND_HTTP, error)
            return
        name = type(error).__name__
        self._app.metrics.count("http_request_refused")
        self._app.events.write_spaced(
            HTTP_REQUEST_REFUSED, name, FAILURE_LOG_INTERVAL_MS, error=name, status=error.code
        )


def build_http_logger(app: Application) -> logging.Logger:
    """Return the logger for the HTTP server of a program."""
    logger = logging.Logger("http", logging.WARNING)
    logger.addHandler(HttpFailures(app))
    return logger


def handle_loop_failures(app: Application) -> None:
    """Report the errors that reach the running event loop, such as those of unobserved tasks."""
    asyncio.get_running_loop().set_exception_handler(partial(_report_loop_failure, app))


def _report_loop_failure(
    app: Application, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    error = context.get("exception")
    if error is None:
        _report(app, KIND_LOOP, error=context["message"], trace="")
        return
    report_failure(app, KIND_LOOP, error)


def _report(app: Application, kind: str, *, error: str, trace: str) -> None:
    app.metrics.count("event_failed")
    app.events.write_spaced(
        EVENT_FAILED, kind, FAILURE_LOG_INTERVAL_MS, kind=kind, error=error, trace=trace
    )
