"""Set-up of the logs of a program."""

import logging as standard_logging
import sys
from collections.abc import Mapping

from absl import flags, logging

from burdockrun_base.clock import Clock
from burdockrun_base.log_events import FORMAT_JSON, EventLog
from burdockrun_base.log_limits import LogRateLimiter


def set_up_logs(
    log_format: str, *, without_prefix: bool = False, clock: Clock | None = None
) -> EventLog:
    """Send log events to standard error; with `json` each line is one JSON object.

    With a clock, such lines have the time as `at_ms`, and `write_spaced` leaves lines out.

    Lines of text start with the time and the source location, unless `without_prefix` is set.
    """
    # Otherwise absl logs a warning before the first event, as its flags are not parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    if without_prefix or log_format == FORMAT_JSON:
        handler = logging.get_absl_handler()
        handler.setFormatter(standard_logging.Formatter("%(message)s"))
    return EventLog(log_format, clock=clock)


def set_up_rate_limited_logs(clock: Clock, common: Mapping[str, object]) -> EventLog:
    """Send log events as JSON lines to standard output, rate-limited.

    Each line has the `common` fields and the time as `at_ms`. `set_up_standard_streams` keeps the
    lines from blocking the program.
    """
    set_up_logs(FORMAT_JSON)
    logging.get_absl_handler().python_handler.stream = sys.stdout
    return EventLog(FORMAT_JSON, rate_limiter=LogRateLimiter(), clock=clock, common=common)
