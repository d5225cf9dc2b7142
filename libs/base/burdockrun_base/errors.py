"""Short descriptions of errors, each for one line of the log."""

import os
import traceback
from pathlib import Path
from typing import Final

# Longest reason that goes into one line of the log.
MAX_REASON_CHARS: Final = 200
# Innermost calls of a traceback that go into its log line.
MAX_FRAMES: Final = 8


def shorten_reason(reason: str) -> str:
    """Return a reason without what exceeds `MAX_REASON_CHARS`.

    >>> len(shorten_reason("x" * 5_000)) == MAX_REASON_CHARS
    True
    """
    return reason if len(reason) <= MAX_REASON_CHARS else reason[: MAX_REASON_CHARS - 1] + "…"


def locate_error(error: BaseException) -> dict[str, str]:
    """Return the type of an unexpected error and where it was raised, as fields of a log event.

    The text of an error may quote what it was about, such as a session token or a statement.

    >>> locate_error(KeyError("a session token"))
    {'error': 'KeyError', 'trace': ''}
    """
    return {"error": type(error).__name__, "trace": _describe_trace(error)}


def name_error(error: BaseException) -> str:
    """Return the type of the error of a call, with its HTTP status or the message of the system.

    The text of such an error may quote what the other side has sent.

    >>> name_error(ConnectionRefusedError(111, "what the other side has sent"))
    'ConnectionRefusedError: Connection refused'
    >>> name_error(ValueError("what the other side has sent"))
    'ValueError'
    """
    name = type(error).__name__
    status = getattr(error, "status", None)
    if isinstance(status, int):
        return f"{name}: status {status}"
    if isinstance(error, OSError) and error.errno is not None and error.errno > 0:
        return f"{name}: {os.strerror(error.errno)}"
    return name


def _describe_trace(error: BaseException) -> str:
    """Return the innermost calls that led to an error, in one line, the innermost one last."""
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    return " > ".join(f"{Path(one.filename).name}:{one.lineno} {one.name}" for one in frames)
