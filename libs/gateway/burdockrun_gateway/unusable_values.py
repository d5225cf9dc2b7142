"""Values in the store that cannot be used, logged once for each reason."""

from collections.abc import Iterable

from burdockrun_base import Application

from burdockrun_gateway.const import DOCUMENT_UNUSABLE, DOCUMENT_USABLE

OTHER_PREFIX = "other"


class UnusableValues:
    """Remembers why the value of a key cannot be used, until it can or is removed."""

    def __init__(self, app: Application, prefixes: Iterable[str]) -> None:
        """Count unusable values by the `prefixes` of their keys."""
        self._app = app
        self._prefixes = tuple(prefixes)
        self._reasons: dict[str, str] = {}

    def note(self, key: str, reason: str) -> None:
        """Count a value that cannot be used, and log it unless the reason is known."""
        prefix = next((one for one in self._prefixes if key.startswith(one)), OTHER_PREFIX)
        self._app.measurements.count("unusable_values", prefix=prefix)
        if self._reasons.get(key) != reason:
            self._reasons[key] = reason
            self._app.events.write(DOCUMENT_UNUSABLE, key=key, reason=reason)

    def clear(self, key: str) -> None:
        """Log that the value of a key can be used again, or has been removed."""
        if self._reasons.pop(key, None) is not None:
            self._app.events.write(DOCUMENT_USABLE, key=key)
