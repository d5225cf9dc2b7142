"""Metrics sent by statsd."""

import statsd


class Metrics:
    """Counters, gauges and timings; does nothing without a host."""

    def __init__(
        self, host: str | None = None, port: int = 8125, prefix: str = "burdockrun"
    ) -> None:
        self._client = statsd.StatsClient(host, port, prefix=prefix) if host else None

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def time(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(name, duration_ms)
