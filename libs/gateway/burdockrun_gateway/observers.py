"""Control connection of an observer, a node that watches a member without being its home."""

from typing import Protocol

from burdockrun_groups import ConnectionPlan, StatusReport
from burdockrun_statements import Statement

from burdockrun_gateway.const import (
    OBSERVER_ALERT_MS,
    PEER_SUSPICION_SILENCE_MS,
    SILENCE_MS,
    STATUS_TIMEOUT_MS,
)
from burdockrun_gateway.pools import MemberPool


class MemberControl(Protocol):
    """Sends control statements to one member and knows whether it answers."""

    @property
    def last_contact_ms(self) -> int:
        """Return when something was last received from the member."""
        ...

    async def async_status(
        self, statement: Statement | None = None, timeout_ms: int = STATUS_TIMEOUT_MS
    ) -> StatusReport | None:
        """Send a statement that is answered with the status of the member, by default STATUS.

        Returns None without an answer.
        """
        ...

    def is_usable(self) -> bool:
        """Return whether there is a connection and the member is not silent."""
        ...

    def is_lost(self) -> bool:
        """Return whether the member is likely to be down or out of reach."""
        ...

    def is_lost_or_silent(self, duration_ms: int) -> bool:
        """Return whether the member is lost, or silent for `duration_ms` while statements wait."""
        ...


class MemberObserver:
    """Control connection to a member in the name of the node; no statement of a client uses it.

    `own` opens, shares and times the connection; `clients` has the connections through the home.
    A silent home alone is no evidence: the member must also leave the control connection without
    an answer.
    """

    def __init__(self, own: MemberPool, clients: MemberPool) -> None:
        own.set_plan(ConnectionPlan(quota=1))
        self._own = own
        self._clients = clients
        self._suspects = False

    @property
    def last_contact_ms(self) -> int:
        """Return when something was last received from the member."""
        return self._own.last_contact_ms

    async def async_status(
        self, statement: Statement | None = None, timeout_ms: int = STATUS_TIMEOUT_MS
    ) -> StatusReport | None:
        """Send a statement that is answered with the status of the member, by default STATUS."""
        return await self._own.async_status(statement, timeout_ms)

    def is_usable(self) -> bool:
        """Return whether there is a connection and the member is not silent."""
        return self._own.is_usable()

    def is_lost(self) -> bool:
        """Return whether the member is likely to be down or out of reach."""
        return self._own.is_lost()

    def is_lost_or_silent(self, duration_ms: int) -> bool:
        """Return whether the member is lost, or has left a control statement without an answer.

        The time without an answer is `duration_ms`, and shorter once the statements of clients have
        had no answer for `SILENCE_MS` either. Only an answer ends a suspicion of this kind: that a
        home is reached again does not show that the member is.
        """
        if self._suspects or self._clients.is_lost_or_silent(SILENCE_MS):
            duration_ms = min(duration_ms, PEER_SUSPICION_SILENCE_MS)
        self._suspects = self._own.is_lost_or_silent(duration_ms)
        return self._suspects

    def needs_fast_probes(self) -> bool:
        """Return whether statements of clients wait for the member, or it is suspected."""
        return self._suspects or self._clients.is_lost_or_silent(OBSERVER_ALERT_MS)

    def tick(self) -> None:
        """Keep the connection open, and close it when it is silent."""
        self._own.tick()

    def abort(self) -> None:
        """Close the connection at once."""
        self._own.abort()
