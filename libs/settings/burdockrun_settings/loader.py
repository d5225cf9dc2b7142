"""Loading of the proxy's settings file."""

from pathlib import Path

from burdockrun_base import Findings
from pydantic import ValidationError
from result import Err, Ok, Result

from burdockrun_settings.documents import parse_document, read_document
from burdockrun_settings.models import ProxySettings
from burdockrun_settings.schema import add_validation_errors


def load_settings(path: str | Path) -> Result[ProxySettings, Findings]:
    """Return the settings in a JSON file with comments, or all faults found in it."""
    text = read_document(Path(path))
    if isinstance(text, Err):
        return text
    return check_settings(text.ok_value, str(path))


def check_settings(text: str, place: str) -> Result[ProxySettings, Findings]:
    """Return the settings in a JSON document with comments, or all faults found in it."""
    document = parse_document(text, place)
    if isinstance(document, Err):
        return document
    try:
        return Ok(ProxySettings.model_validate(document.ok_value))
    except ValidationError as error:
        findings = Findings()
        add_validation_errors(error, place, findings)
        return Err(findings)
