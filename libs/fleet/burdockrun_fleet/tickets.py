"""Application of change tickets, strictly in the order of their numbers."""

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


def split_shards(text: str) -> list[str]:
    """Split snapshot text into shards of at most 256 KB of UTF-8."""
    return [text[at : at + SHARD_CHARS] for at in range(0, len(text), SHARD_CHARS)] or [""]


class TicketApplier:
    """Applies tickets in order and holds the configuration that results; its number only grows.

    A committed ticket that cannot be applied changes nothing but the number, so that all nodes
    still reach the same configuration. Recent tickets are kept for peers that pull them.
    """

    def __init__(self, ticket_functions: TicketFunctions, outbox: Outbox) -> None:
        self.configuration = Configuration()
        self.on_configuration: Callable[[Configuration, int], None] | None = None
        self._ticket_functions = ticket_functions
        self._outbox = outbox
        self._recent: OrderedDict[int, TicketRecord] = OrderedDict()
        self._out_of_order: dict[int, TicketRecord] = {}
        self._shards: dict[int, str] = {}
        self._shards_id: tuple[int, int] = (0, 0)
        self._pull_after_ms = 0
        self._pulled_number = -1
        self._large_reply_limit = TokenBucket(LARGE_REPLIES_PER_S, LARGE_REPLIES_BURST)
        self._cached_shards: tuple[int, list[str]] = (-1, [])

    @property
    def number(self) -> int:
        """Return the number of the ticket in force."""
        return self.configuration.number

    def receive(self, tickets: Sequence[TicketRecord], now_ms: int) -> list[TicketRecord]:
        """Keep the tickets, apply those that are next in order and return the applied ones."""
        for ticket in tickets:
            if ticket.number > self.number:
                self._out_of_order[ticket.number] = ticket
                if len(self._out_of_order) > MAX_OUT_OF_ORDER_TICKETS:
                    del self._out_of_order[max(self._out_of_order)]
        applied = []
        while (next_ticket := self._out_of_order.pop(self.number + 1, None)) is not None:
            self._apply(next_ticket)
            applied.append(next_ticket)
        if applied:
            self._notify_changed(now_ms)
        return applied

    def load_snapshot(self, number: int, text: str, now_ms: int) -> bool:
        """Load a snapshot; return False if it is not newer or cannot be read."""
        if number <= self.number:
            return False
        loaded = self._ticket_functions.load(text)
        if isinstance(loaded, Err):
            self._outbox.log(SNAPSHOT_UNUSABLE, number=number, reason=loaded.err_value)
            return False
        self.configuration = replace(loaded.ok_value, number=number)
        self._recent.clear()
        self._out_of_order = {n: t for n, t in self._out_of_order.items() if n > number}
        self._notify_changed(now_ms)
        self.receive((), now_ms)
        return True

    def dump(self) -> str:
        """Return the configuration in force as snapshot text."""
        return self._ticket_functions.dump(self.configuration)

    def receive_shard(self, push: SnapshotPush, now_ms: int) -> bool:
        """Collect the shards of a snapshot; return whether a newer one is complete and loaded."""
        if push.number <= self.number or not 0 <= push.shard < push.shards:
            return False
        if self._shards_id != (push.number, push.shards):
            if push.number < self._shards_id[0]:
                return False
            self._shards_id = (push.number, push.shards)
            self._shards = {}
        self._shards[push.shard] = push.text
        if len(self._shards) < push.shards:
            return False
        text = "".join(self._shards[shard] for shard in range(push.shards))
        self._shards, self._shards_id = {}, (0, 0)
        return self.load_snapshot(push.number, text, now_ms)

    def pull(self, peer: NodeInfo, number: int, now_ms: int) -> None:
        """Request the missing tickets from a peer that has ticket `number`, if any are missing."""
        if number <= self.number:
            return
        if now_ms < self._pull_after_ms and self._pulled_number == self.number:
            return
        is_large = self.number == 0 or bool(self._shards)
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
        if not self._large_reply_limit.try_take(now_ms):
            return
        if self._cached_shards[0] != self.number:
            self._cached_shards = (self.number, split_shards(self.dump()))
        number, shards = self._cached_shards
        for shard, text in enumerate(shards):
            push = SnapshotPush(number=number, text=text, shard=shard, shards=len(shards))
            self._outbox.send_peer(peer, push)

    def _list_after(self, number: int) -> tuple[TicketRecord, ...]:
        tickets: list[TicketRecord] = []
        size = 0
        for following in range(number + 1, self.number + 1):
            ticket = self._recent[following]
            size += len(ticket.text)
            if tickets and (len(tickets) >= TICKETS_PER_PUSH or size > TICKETS_PUSH_CHARS):
                break
            tickets.append(ticket)
        return tuple(tickets)

    def _apply(self, ticket: TicketRecord) -> None:
        result = self._ticket_functions.apply(self.configuration, ticket.text)
        if isinstance(result, Err):
            self._outbox.log(TICKET_UNUSABLE, number=ticket.number, reason=result.err_value)
            self.configuration = replace(self.configuration, number=ticket.number)
        else:
            self.configuration = replace(result.ok_value, number=ticket.number)
        self._recent[ticket.number] = ticket
        while len(self._recent) > KEPT_TICKETS:
            self._recent.popitem(last=False)

    def _notify_changed(self, now_ms: int) -> None:
        self._out_of_order = {n: t for n, t in self._out_of_order.items() if n > self.number}
        self._outbox.log(TICKET_IN_FORCE, number=self.number)
        if self.on_configuration is not None:
            self.on_configuration(self.configuration, now_ms)
