"""Starts the gateway.

A script of its own begins 10 ms earlier than `python3 -m`: until then a signal ends the process.
"""

from burdockrun_start import run_program


def run_gateway() -> int:
    """Import and run the gateway."""
    from burdockrun_site.command_line import main  # noqa: PLC0415

    return main()


run_program(run_gateway)
