"""Entry point of the commands of all programs.

A command names this module, so that signals are handled before its program is imported. The group
`burdockrun.programs` of entry points maps the name of a command to the function that runs it.
"""

from burdockrun_start.signals import run_program

GROUP = "burdockrun.programs"


def run_command() -> None:
    """Run the program of the command by whose name the process was started."""
    run_program(_run_entry_point)


def _run_entry_point() -> int:
    import sys  # noqa: PLC0415
    from importlib.metadata import entry_points  # noqa: PLC0415
    from pathlib import Path  # noqa: PLC0415

    program = entry_points(group=GROUP)[Path(sys.argv[0]).name]
    status: int = program.load()()
    return status
