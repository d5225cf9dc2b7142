"""Tests of the bounds on logging."""

import os
import subprocess
import sys

from burdockrun_base import LogBudget, LossyStream


def test_the_first_lines_of_each_kind_survive_a_flood() -> None:
    """Guards against a flood of one kind that hides another."""
    budget = LogBudget(burst=3, lines_per_second=10)
    flood = [budget.spend(1, 0) for _ in range(1_000)]
    assert [outcome for outcome in flood if outcome is not None] == [0, 0, 0]
    assert budget.spend(2, 0) == 0
    assert budget.spend(1, 100) == 997


def test_a_reader_that_does_not_read_never_blocks_the_writer() -> None:
    """Guards against a full pipe that stops the program."""
    reading, writing = os.pipe()
    stream = LossyStream(writing)
    for number in range(20_000):
        stream.write(f"line {number}\n")
    assert stream.dropped > 0
    os.set_blocking(reading, False)
    received = os.read(reading, 1 << 20)
    stream.write("the end\n")
    received += os.read(reading, 1 << 20)
    os.close(reading)
    os.close(writing)
    lines = received.decode().splitlines()
    assert lines[0] == "line 0"
    assert lines[-1] == "the end"
    assert all(line.startswith("line ") for line in lines[:-1])


def test_a_program_ends_without_a_word_from_its_log() -> None:
    """Guards against a stack trace at each stop."""
    code = (
        "from burdockrun_base import SystemClock, set_up_bounded_logs;"
        "set_up_bounded_logs(SystemClock(), {})"
    )
    ended = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert ended.stderr == ""
