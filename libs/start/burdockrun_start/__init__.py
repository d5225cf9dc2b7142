"""Start and end of a process, with the signals that arrive while no event loop handles them.

It imports little, since a signal that arrives before it handles them ends the process.
"""

from burdockrun_start.signals import (
    find_stop_signal,
    handle_start_signals,
    ignore_stop_signals,
    run_program,
)

__all__ = ["find_stop_signal", "handle_start_signals", "ignore_stop_signals", "run_program"]
