"""Command `explain`, which shows from logs how a request was handled."""

import json
import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from burdockrun_base import Findings

from burdockrun_control.const import EXIT_BAD_INPUT, EXIT_DONE, EXIT_REFUSED
from burdockrun_control.output import Output

# Fields that every line has; `LogLine.fields` holds the others.
COMMON_FIELDS: Final = ("at_ms", "node", "event", "name")


@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One line of a log; `at_ms` is Unix time."""

    at_ms: int
    node: str
    number: int
    name: str
    fields: dict[str, Any]

    def concerns(self, request: str) -> bool:
        """Return whether the line is about a request."""
        return self.fields.get("request") == request

    def describe(self) -> str:
        """Return the line as text."""
        details = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at_ms} {self.node} [{self.number}] {self.name} {details}"


def read_log(place: str, text: Iterable[str], findings: Findings) -> list[LogLine]:
    """Return the log lines of a file; lines that cannot be read become findings.

    Text before the first brace of a line counts as a prefix added by the log collector.
    """
    lines: list[LogLine] = []
    for number, raw in enumerate(text, start=1):
        start = raw.find("{")
        if not raw.strip():
            continue
        parsed = _parse(raw[start:]) if start >= 0 else None
        if parsed is None:
            findings.add(f"{place}:{number}", expected="a JSON log line", found=repr(raw[:60]))
            continue
        lines.append(parsed)
    return lines


def _parse(text: str) -> LogLine | None:
    try:
        record = json.loads(text)
        return LogLine(
            at_ms=int(record["at_ms"]),
            node=str(record["node"]),
            number=int(record["event"]),
            name=str(record["name"]),
            fields={key: value for key, value in record.items() if key not in COMMON_FIELDS},
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None


def select_lines(lines: Sequence[LogLine], request: str, around_ms: int) -> list[LogLine]:
    """Return the lines about a request, and the state changes of the same nodes at that time.

    Lines without a request id count as state changes. The time reaches from `around_ms` before the
    arrival of the request, which is `held_ms` before a line about it, to `around_ms` after the
    last line about it.
    """
    request_lines = [line for line in lines if line.concerns(request)]
    if not request_lines:
        return []
    nodes = {line.node for line in request_lines}
    first_ms = min(line.at_ms - int(line.fields.get("held_ms", 0)) for line in request_lines)
    last_ms = max(line.at_ms for line in request_lines)
    state_changes = [
        line
        for line in lines
        if "request" not in line.fields
        and line.node in nodes
        and first_ms - around_ms <= line.at_ms <= last_ms + around_ms
    ]
    return sorted([*request_lines, *state_changes], key=lambda line: line.at_ms)


def run_explain(files: Sequence[str], request: str, around_ms: int, output: Output) -> int:
    """Show what the logs say about a request, and return the exit status."""
    findings = Findings()
    lines: list[LogLine] = []
    for file in files:
        try:
            text = Path(file).read_text(errors="backslashreplace")
        except OSError as error:
            findings.add(file, expected="a readable file", found=str(error.strerror))
            continue
        lines += read_log(file, text.splitlines(), findings)
    selected = select_lines(lines, request, around_ms)
    for line in selected:
        mark = "*" if line.concerns(request) else " "
        output.write(
            f"{mark} {line.describe()}",
            {
                "at_ms": line.at_ms,
                "node": line.node,
                "event": line.number,
                "name": line.name,
                **line.fields,
            },
        )
    if findings:
        Output(output.format, sys.stderr).write_findings(findings, "lines that were left out")
    if not selected:
        output.write(
            f"no line about request {request}", {"result": "not found", "request": request}
        )
        return EXIT_REFUSED
    return EXIT_BAD_INPUT if findings else EXIT_DONE
