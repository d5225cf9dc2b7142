"""Tests of the command that explains a request from logs."""

import json
from pathlib import Path

import pytest
from burdockrun_control.program import main


def build_line(at_ms: int, node: str, number: int, name: str, **fields: object) -> str:
    """Return a log line of a gateway."""
    return json.dumps({"event": number, "name": name, **fields, "node": node, "at_ms": at_ms})


def test_lines_of_all_nodes_are_shown_in_order(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a refusal that is shown without the state changes before it."""
    one, two = tmp_path / "one.log", tmp_path / "two.log"
    one.write_text(
        "\n".join(
            [
                build_line(1_000, "n1", 1310, "member_suspected", member="a"),
                build_line(1_500, "n1", 1317, "request_refused", request="q1", held_ms=60),
                build_line(9_000, "n1", 1311, "member_reached", member="a"),
                build_line(1_400, "n1", 1317, "request_refused", request="q2"),
            ]
        )
    )
    two.write_text(build_line(1_700, "n2", 1318, "request_unresolved", request="q1"))
    assert main(["explain", "q1", "--log", str(one), "--log", str(two)]) == 0
    shown = [line.split("[")[1][:4] for line in capsys.readouterr().out.splitlines()]
    assert shown == ["1310", "1317", "1318"]


def test_bad_lines_are_reported_and_the_others_shown(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against one damaged line that hides the readable ones."""
    log = tmp_path / "one.log"
    good = build_line(1_500, "n1", 1317, "request_refused", request="q1")
    log.write_text(f"Traceback (most recent call last)\n12.3 front-1 {good}\n{{broken\n[1]\n")
    assert main(["explain", "q1", "--log", str(log)]) == 2
    captured = capsys.readouterr()
    assert "request_refused" in captured.out
    assert [f"{log}:{number}" in captured.err for number in (1, 2, 3, 4)] == [
        True,
        False,
        True,
        True,
    ]


def test_a_line_that_no_decoder_can_read_does_not_hide_the_others(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a deeply nested line that ends the command."""
    log = tmp_path / "one.log"
    good = build_line(1_500, "n1", 1317, "request_refused", request="q1")
    log.write_text('{"a":' * 100_000 + f"\n{good}\n")
    assert main(["explain", "q1", "--log", str(log)]) == 2
    assert "request_refused" in capsys.readouterr().out


def test_an_unknown_request_is_reported(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against empty output for a request that no log mentions."""
    log = tmp_path / "one.log"
    log.write_text("")
    assert main(["explain", "q9", "--log", str(log)]) == 1
    assert "no line about request q9" in capsys.readouterr().out
