"""Set-up of the logs of a program."""

import logging as standard_logging

from absl import flags, logging

from burdockrun_base.log_events import FORMAT_JSON, EventLog


def set_up_logs(log_format: str, *, plain: bool = False) -> EventLog:
    """Send log events to standard error; with `json` each line is one JSON object.

    With `plain`, lines of text have no time and place in front either.
    """
    # Without this absl writes a warning of its own before the first event.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    if plain or log_format == FORMAT_JSON:
        handler = logging.get_absl_handler()
        handler.setFormatter(standard_logging.Formatter("%(message)s"))
    return EventLog(log_format)
