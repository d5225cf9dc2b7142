"""Signals from the first line of a program to its exit status.

The module `signal` takes as long to load as the interpreter itself, and is not imported here;
`collections.abc` and `typing` are not either.
"""

import _signal

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

STOP_SIGNALS = (_signal.SIGTERM, _signal.SIGINT)
_stop_signals: list[int] = []


def run_program(main: "Callable[[], int]") -> None:
    """Run a program, from its first signal to its exit status.

    `main` imports the program, and returns the exit status.
    """
    handle_start_signals()
    open_missing_streams()
    status = main()
    ignore_stop_signals()
    raise SystemExit(status)


def handle_start_signals() -> None:
    """Ignore SIGHUP for good, and remember SIGTERM and SIGINT until a loop handles them."""
    # SIGHUP announces a change of the settings file, which is only read at the start.
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    for number in STOP_SIGNALS:
        _signal.signal(number, _remember)


def open_missing_streams() -> None:
    """Open the standard streams that are closed, as other files would get their numbers."""
    import os  # noqa: PLC0415

    for descriptor in range(3):
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)


def find_stop_signal() -> str:
    """Return the name of the first stop signal that arrived during the start, if any."""
    from signal import Signals  # noqa: PLC0415

    return Signals(_stop_signals[0]).name if _stop_signals else ""


def ignore_stop_signals() -> None:
    """Ignore SIGTERM and SIGINT, which would change the exit status of an ending process."""
    for number in STOP_SIGNALS:
        _signal.signal(number, _signal.SIG_IGN)


def _remember(number: int, frame: object) -> None:
    _stop_signals.append(number)
