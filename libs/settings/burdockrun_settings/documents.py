"""Reading of JSON documents with comments; every fault is a finding with its place."""

import json
import re
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import json5
from burdockrun_base import Findings
from result import Err, Ok, Result

from burdockrun_settings.const import MAX_FILE_BYTES

_JSON5_FAULT = re.compile(r"^<string>:(\d+) (.*)$", re.DOTALL)
_STRING_OR_COMMENT = re.compile(r'"(?:\\.|[^"\\])*"|//[^\n]*|/\*.*?\*/', re.DOTALL)


class _DuplicateKeyError(ValueError):
    """An object has the same key twice."""


def read_document(path: Path) -> Result[str, Findings]:
    """Return the text of a file."""
    try:
        data = path.read_bytes()
    except OSError as error:
        return _build_finding(
            str(path), expected="a readable file", found=error.strerror or str(error)
        )
    try:
        return Ok(data.decode("utf-8-sig"))
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        return _build_finding(
            f"{path}:{line}", expected="text in UTF-8", found=f"byte 0x{data[error.start]:02x}"
        )


def parse_document(text: str, place: str) -> Result[dict[str, Any], Findings]:
    """Return the object in a JSON document with comments.

    The fast parser of the standard library is tried first, without the comments; other JSON5
    syntax falls back to json5, which needs about 30 µs a character.
    """
    if len(text) > MAX_FILE_BYTES:
        return _build_finding(
            place, expected=f"at most {MAX_FILE_BYTES} characters", found=f"{len(text)} characters"
        )
    try:
        document = _parse(text)
        json.dumps(document, ensure_ascii=False).encode()
    except _DuplicateKeyError as error:
        return _build_finding(place, expected="each key once in an object", found=f"{error} twice")
    except RecursionError:
        return _build_finding(
            place, expected="a document without deep nesting", found="too many levels"
        )
    except UnicodeEncodeError:
        return _build_finding(
            place, expected="valid Unicode text", found="half of a surrogate pair"
        )
    except ValueError as error:
        return _describe_syntax_error(error, place)
    if not isinstance(document, dict):
        return _build_finding(f"{place}:1", expected="an object", found=type(document).__name__)
    return Ok(document)


def _parse(text: str) -> Any:
    try:
        plain = _STRING_OR_COMMENT.sub(_blank_comment, text)
        return json.loads(plain, object_pairs_hook=_build_object, parse_constant=_reject_constant)
    except json.JSONDecodeError:
        return json5.loads(text, object_pairs_hook=_build_object, parse_constant=_reject_constant)


def _blank_comment(match: re.Match[str]) -> str:
    return match[0] if match[0].startswith('"') else " "


def _build_object(pairs: Iterable[tuple[str, Any]]) -> dict[str, Any]:
    collected: dict[str, Any] = {}
    for key, value in pairs:
        if key in collected:
            raise _DuplicateKeyError(repr(key))
        collected[key] = value
    return collected


def _reject_constant(name: str) -> None:
    raise ValueError(f"the number {name}")


def _describe_syntax_error(error: ValueError, place: str) -> Err[Findings]:
    matched = _JSON5_FAULT.match(str(error))
    if matched is None:
        return _build_finding(place, expected="JSON with comments", found=str(error))
    return _build_finding(f"{place}:{matched[1]}", expected="JSON with comments", found=matched[2])


def _build_finding(place: str, *, expected: str, found: str) -> Err[Findings]:
    findings = Findings()
    findings.add(place, expected=expected, found=found)
    return Err(findings)
