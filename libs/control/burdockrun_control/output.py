"""Output of the commands, as text or as one JSON object on a line."""

import json
import sys
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import TextIO

from burdockrun_base import Findings

from burdockrun_control.const import FORMAT_JSON, MAX_UNIX_TIME_MS


class Output:
    """Writes records to the standard output stream, or to another stream."""

    def __init__(self, output_format: str, stream: TextIO | None = None) -> None:
        self.format = output_format
        self._is_json = output_format == FORMAT_JSON
        self._stream = stream or sys.stdout

    def write(self, text: str, record: Mapping[str, object]) -> None:
        """Write one record in the selected format."""
        line = json.dumps(record, ensure_ascii=False, default=str) if self._is_json else text
        self._stream.write(f"{line}\n")
        self._stream.flush()

    def write_findings(self, findings: Findings, summary: str) -> None:
        """Write all findings and a summary."""
        self.write(
            f"{findings}\n{summary}",
            {
                "result": summary,
                "findings": [
                    {"place": item.place, "expected": item.expected, "found": item.found}
                    for item in findings
                ],
            },
        )

    def write_unreachable(self, reason: str) -> None:
        """Write that the platform gave no usable answer."""
        self.write(f"platform not reachable: {reason}", {"result": "unreachable", "reason": reason})


def format_time(unix_ms: object) -> str:
    """Return a time since the Unix epoch in ms as a date in UTC.

    >>> format_time(1_000)
    '1970-01-01T00:00:01Z'
    """
    if not isinstance(unix_ms, int) or not 0 <= unix_ms <= MAX_UNIX_TIME_MS:
        return "an unknown time"
    return datetime.fromtimestamp(unix_ms // 1_000, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
