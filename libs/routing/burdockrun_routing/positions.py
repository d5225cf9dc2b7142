"""Positions of database members as far as this node knows them."""

from burdockrun_messages import LogPosition

from burdockrun_routing.models import MemberView


class PositionTable:
    """Last known position and lag of each member."""

    def __init__(self) -> None:
        self._views: dict[tuple[str, str], MemberView] = {}

    def observe(
        self, database: str, member: str, position: LogPosition, lag_ms: int | None, now_ms: int
    ) -> None:
        """Record the state of a member; `lag_ms` None means that the age of its data is unknown."""
        self._views[database, member] = MemberView(
            position=position, lag_ms=lag_ms, observed_ms=now_ms
        )

    def view(self, database: str, member: str) -> MemberView | None:
        """Return what is known about a member, or None."""
        return self._views.get((database, member))

    def forget(self, database: str, member: str) -> None:
        """Drop what is known about a member."""
        self._views.pop((database, member), None)
