"""Control calls of one promotion attempt to the members of a group."""

from collections.abc import Callable, Iterable

from burdockrun_messages import (
    AskStatus,
    ControlOperation,
    ControlReply,
    Fence,
    Follow,
    Member,
    MemberStatus,
    Outbox,
    Promote,
)

from burdockrun_failover.const import CONTROL_TIMEOUT_MS
from burdockrun_failover.models import PromotionPlan

OnMemberStatus = Callable[[str, MemberStatus, int], None]


class TermCalls:
    """Sends the control operations of one term; `on_status` gets each status in reply."""

    def __init__(self, plan: PromotionPlan, outbox: Outbox, on_status: OnMemberStatus) -> None:
        self._plan = plan
        self._outbox = outbox
        self._on_status = on_status

    def ask(self, name: str) -> None:
        """Ask a member for its status."""
        self._call(name, AskStatus())

    def fence(self, names: Iterable[str]) -> None:
        """Fence members under the term."""
        for name in names:
            self._call(name, Fence(term=self._plan.term))

    def promote(self, name: str) -> None:
        """Make a member the primary of the term."""
        others = tuple(member for member in self._plan.members if member != name)
        self._call(name, Promote(term=self._plan.term, members=others))

    def follow(self, primary: Member) -> None:
        """Tell all other members of the term to follow its primary."""
        operation = Follow(
            term=self._plan.term,
            primary=primary.name,
            host=primary.host,
            control_port=primary.control_port,
        )
        for name in self._plan.members:
            if name != primary.name:
                self._call(name, operation)

    def _call(self, name: str, operation: ControlOperation) -> None:
        member = self._plan.addresses.get(name)
        if member is None:
            return

        def on_reply(reply: ControlReply | None, now_ms: int) -> None:
            if isinstance(reply, MemberStatus):
                self._on_status(name, reply, now_ms)

        self._outbox.call_control(
            member, operation, timeout_ms=CONTROL_TIMEOUT_MS, on_reply=on_reply
        )
