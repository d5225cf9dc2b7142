"""Collection of actions, and delivery of replies to the callbacks of their calls."""

from collections.abc import Callable
from typing import Final

from burdockrun_base import LogEvent

from burdockrun_messages.actions import (
    Action,
    CallControl,
    CallPlatform,
    RecordLog,
    RecordMetric,
    SendPeer,
    WakeAt,
)
from burdockrun_messages.endpoints import ControlOperation, ControlReply
from burdockrun_messages.events import ControlAnswered, PlatformAnswered
from burdockrun_messages.models import Member, NodeInfo
from burdockrun_messages.peers import PeerMessage
from burdockrun_messages.platform import PlatformOperation, PlatformReply

LOG_INTERVAL_MS: Final = 1_000

OnControlReply = Callable[[ControlReply | None, int], None]
OnPlatformReply = Callable[[PlatformReply, int], None]


class Outbox:
    """Actions of one node, shared by all parts of its decision logic.

    A callback gets the reply and the time in ms, once for each call. A repeated reply and a reply
    to an unknown call are ignored.
    """

    def __init__(self) -> None:
        self._actions: list[Action] = []
        self._next_call_id = 1
        self._control_calls: dict[int, OnControlReply] = {}
        self._platform_calls: dict[int, OnPlatformReply] = {}
        self._rate_limited: dict[int, tuple[int | None, int]] = {}

    def drain(self) -> list[Action]:
        """Return and remove the collected actions."""
        actions, self._actions = self._actions, []
        return actions

    def add(self, action: Action) -> None:
        """Collect one action."""
        self._actions.append(action)

    def call_control(
        self,
        member: Member,
        operation: ControlOperation,
        *,
        timeout_ms: int,
        on_reply: OnControlReply,
    ) -> None:
        """Call a member's control port; `on_reply` gets None when there was no usable answer."""
        call_id = self._take_call_id()
        self._control_calls[call_id] = on_reply
        self.add(
            CallControl(call_id=call_id, member=member, operation=operation, timeout_ms=timeout_ms)
        )

    def call_platform(
        self, operation: PlatformOperation, *, timeout_ms: int, on_reply: OnPlatformReply
    ) -> None:
        """Call the platform; `on_reply` gets `PlatformFailure` when there was no usable answer."""
        call_id = self._take_call_id()
        self._platform_calls[call_id] = on_reply
        self.add(CallPlatform(call_id=call_id, operation=operation, timeout_ms=timeout_ms))

    def send_peer(self, peer: NodeInfo, message: PeerMessage) -> None:
        """Send a message to a peer; it may be lost."""
        self.add(SendPeer(peer=peer, message=message))

    def wake_at(self, at_ms: int) -> None:
        """Ask for a timer event at a time in ms."""
        self.add(WakeAt(at_ms=at_ms))

    def log(self, event: LogEvent, **fields: object) -> None:
        """Write a numbered log event."""
        self.add(RecordLog(event=event, fields=fields))

    def log_rate_limited(self, event: LogEvent, now_ms: int, **fields: object) -> None:
        """Write a log event at most once a second, with the count of those suppressed since."""
        last_ms, left_out = self._rate_limited.get(event.number, (None, 0))
        if last_ms is not None and now_ms - last_ms < LOG_INTERVAL_MS:
            self._rate_limited[event.number] = (last_ms, left_out + 1)
            return
        self._rate_limited[event.number] = (now_ms, 0)
        self.log(event, **fields, left_out=left_out)

    def count(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self.add(RecordMetric(name=name, count=count))

    def time(self, name: str, duration_ms: float) -> None:
        """Record a duration in ms."""
        self.add(RecordMetric(name=name, duration_ms=duration_ms))

    def deliver_control_reply(self, event: ControlAnswered, now_ms: int) -> None:
        """Pass a control reply to the callback of its call."""
        on_reply = self._control_calls.pop(event.call_id, None)
        if on_reply is not None:
            on_reply(event.reply, now_ms)

    def deliver_platform_reply(self, event: PlatformAnswered, now_ms: int) -> None:
        """Pass a platform reply to the callback of its call."""
        on_reply = self._platform_calls.pop(event.call_id, None)
        if on_reply is not None:
            on_reply(event.reply, now_ms)

    def _take_call_id(self) -> int:
        call_id = self._next_call_id
        self._next_call_id += 1
        return call_id
