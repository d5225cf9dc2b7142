"""Change tickets, applied strictly in order."""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import replace

from burdockrun_messages import (
    Configuration,
    NodeInfo,
    Outbox,
    SnapshotPush,
    TicketRecord,
    TicketsPull,
    TicketsPush,
)
from result import Err

from burdockrun_fleet.backoff import TokenBucket
from burdockrun_fleet.const import (
    KEPT_TICKETS,
    LARGE_REPLIES_BURST,
    LARGE_REPLIES_PER_S,
    MAX_OUT_OF_ORDER_TICKETS,
    PULL_RETRY_MS,
    SHARD_CHARS,
    SNAPSHOT_RETRY_MS,
    SNAPSHOT_UNUSABLE,
    TICKET_IN_FORCE,
    TICKET_UNUSABLE,
    TICKETS_PER_PUSH,
    TICKETS_PUSH_CHARS,
)
from burdockrun_fleet.models import TicketFunctions


def cut_shards(text: str) -> list[str]:
    """Cut snapshot text into parts of at most 256 KB of UTF-8."""
    return [text[at : at + SHARD_CHARS] for at in range(0, len(text), SHARD_CHARS)] or [""]


class TicketFeed:
    """Configuration after all tickets up to a number; the number only grows.

    A committed ticket that cannot be applied changes nothing but the number, in the same way on
    every node.
    """

    def __init__(self, ticket_format: TicketFunctions, outbox: Outbox) -> None:
        self.configuration = Configuration()
        self.on_configuration: Callable[[Configuration, int], None] | None = None
        self._format = ticket_format
        self._outbox = outbox
        self._recent: OrderedDict[int, TicketRecord] = OrderedDict()
        self._early: dict[int, TicketRecord] = {}
        self._parts: dict[int, str] = {}
        self._parts_of: tuple[int, int] = (0, 0)
        self._pull_after_ms = 0
        self._pulled_number = -1
        self._large_answers = TokenBucket(LARGE_REPLIES_PER_S, LARGE_REPLIES_BURST)
        self._dumped: tuple[int, list[str]] = (-1, [])

    @property
    def number(self) -> int:
        """Return the number of the ticket in force."""
        return self.configuration.number

    def receive(self, tickets: Sequence[TicketRecord], now_ms: int) -> list[TicketRecord]:
        """Apply the tickets that follow in order; return those that came into force."""
        for ticket in tickets:
            if ticket.number > self.number:
                self._early[ticket.number] = ticket
                if len(self._early) > MAX_OUT_OF_ORDER_TICKETS:
                    del self._early[max(self._early)]
        applied = []
        while (ticket_next := self._early.pop(self.number + 1, None)) is not None:
            self._apply(ticket_next)
            applied.append(ticket_next)
        if applied:
            self._changed(now_ms)
        return applied

    def load_snapshot(self, number: int, text: str, now_ms: int) -> bool:
        """Take over a snapshot when it is newer; False when it is older or cannot be read."""
        if number <= self.number:
            return False
        loaded = self._format.load(text)
        if isinstance(loaded, Err):
            self._outbox.log(SNAPSHOT_UNUSABLE, number=number, reason=loaded.err_value)
            return False
        self.configuration = replace(loaded.ok_value, number=number)
        self._recent.clear()
        self._early = {n: t for n, t in self._early.items() if n > number}
        self._changed(now_ms)
        self.receive((), now_ms)
        return True

    def dump(self) -> str:
        """Return the configuration in force as snapshot text."""
        return self._format.dump(self.configuration)

    def receive_shard(self, push: SnapshotPush, now_ms: int) -> bool:
        """Collect the parts of a snapshot; return whether it was complete and newer."""
        if push.number <= self.number:
            return False
        if self._parts_of != (push.number, push.shards):
            if push.number < self._parts_of[0]:
                return False
            self._parts_of = (push.number, push.shards)
            self._parts = {}
        self._parts[push.shard] = push.text
        if len(self._parts) < push.shards:
            return False
        text = "".join(self._parts[shard] for shard in range(push.shards))
        self._parts, self._parts_of = {}, (0, 0)
        return self.load_snapshot(push.number, text, now_ms)

    def pull(self, peer: NodeInfo, number: int, now_ms: int) -> None:
        """Ask a peer that has ticket `number` for what is missing here."""
        if number <= self.number:
            return
        if now_ms < self._pull_after_ms and self._pulled_number == self.number:
            return
        is_large = self.number == 0 or bool(self._parts)
        self._pull_after_ms = now_ms + (SNAPSHOT_RETRY_MS if is_large else PULL_RETRY_MS)
        self._pulled_number = self.number
        self._outbox.send_peer(peer, TicketsPull(after_number=self.number))

    def answer_pull(self, peer: NodeInfo, pull: TicketsPull, now_ms: int) -> None:
        """Send the tickets after a number, or a snapshot when they are no longer kept."""
        if pull.after_number >= self.number:
            return
        if pull.after_number + 1 in self._recent:
            self._outbox.send_peer(peer, TicketsPush(tickets=self._list_after(pull.after_number)))
            return
        if not self._large_answers.try_take(now_ms):
            return
        if self._dumped[0] != self.number:
            self._dumped = (self.number, cut_shards(self.dump()))
        number, parts = self._dumped
        for shard, text in enumerate(parts):
            push = SnapshotPush(number=number, text=text, shard=shard, shards=len(parts))
            self._outbox.send_peer(peer, push)

    def _list_after(self, number: int) -> tuple[TicketRecord, ...]:
        chosen: list[TicketRecord] = []
        size = 0
        for following in range(number + 1, self.number + 1):
            ticket = self._recent[following]
            size += len(ticket.text)
            if chosen and (len(chosen) >= TICKETS_PER_PUSH or size > TICKETS_PUSH_CHARS):
                break
            chosen.append(ticket)
        return tuple(chosen)

    def _apply(self, ticket: TicketRecord) -> None:
        result = self._format.apply(self.configuration, ticket.text)
        if isinstance(result, Err):
            self._outbox.log(TICKET_UNUSABLE, number=ticket.number, reason=result.err_value)
            self.configuration = replace(self.configuration, number=ticket.number)
        else:
            self.configuration = replace(result.ok_value, number=ticket.number)
        self._recent[ticket.number] = ticket
        while len(self._recent) > KEPT_TICKETS:
            self._recent.popitem(last=False)

    def _changed(self, now_ms: int) -> None:
        self._early = {n: t for n, t in self._early.items() if n > self.number}
        self._outbox.log(TICKET_IN_FORCE, number=self.number)
        if self.on_configuration is not None:
            self.on_configuration(self.configuration, now_ms)
