"""Gossip of tickets, group records and rosters: pushes to random peers, and pulls by digest."""

from collections.abc import Callable, Sequence

from burdockrun_messages import (
    Digest,
    GroupRecord,
    KeyEntry,
    NodeInfo,
    Outbox,
    PeerMessage,
    Roster,
    RosterPush,
    TermsPull,
    TermsPush,
    TicketRecord,
    TicketsPull,
    TicketsPush,
)

from burdockrun_fleet.loader import read_records, read_ticket
from burdockrun_fleet.membership import Membership
from burdockrun_fleet.models import GossipOptions
from burdockrun_fleet.records import RecordTable
from burdockrun_fleet.rosters import RosterTable, make_delta
from burdockrun_fleet.tickets import TicketApplier

# More than this many new items at once are not pushed; peers pull them when the digests differ.
_MAX_PUSHED_ITEMS = 4


class Gossip:
    """Applies received tickets and group records, and pushes new ones and rosters to peers."""

    def __init__(
        self,
        membership: Membership,
        outbox: Outbox,
        applier: TicketApplier,
        records: RecordTable,
        rosters: RosterTable,
    ) -> None:
        self.options = GossipOptions()
        self.on_applied: Callable[[Sequence[TicketRecord], int], None] | None = None
        self._membership = membership
        self._outbox = outbox
        self._applier = applier
        self._records = records
        self._rosters = rosters

    def compare(self, sender: NodeInfo, digest: Digest, now_ms: int) -> None:
        """Pull newer tickets and differing records from a peer, and send it newer rosters."""
        if not self.options.digest_pull:
            return
        self._applier.pull(sender, digest.ticket, now_ms)
        self._rosters.answer_digest(sender, digest.roster_epochs)
        self._records.compare(sender, digest.terms_hash, now_ms)

    def answer_pull(self, peer: NodeInfo, message: PeerMessage, now_ms: int) -> None:
        """Answer a pull request of a peer."""
        if isinstance(message, TicketsPull):
            self._applier.answer_pull(peer, message, now_ms)
        elif isinstance(message, TermsPull):
            self._records.answer_pull(peer, message, now_ms)

    def receive_ticket_entries(self, entries: Sequence[KeyEntry], now_ms: int) -> None:
        """Apply the tickets in store entries and push those that came into force."""
        tickets = [ticket for entry in entries if (ticket := read_ticket(entry)) is not None]
        self.receive_tickets(tickets, "", now_ms)

    def receive_tickets(self, tickets: Sequence[TicketRecord], peer: str, now_ms: int) -> None:
        """Apply tickets and push those that came into force to peers other than `peer`."""
        applied = self._applier.receive(tickets, now_ms)
        if applied and self.on_applied is not None:
            self.on_applied(applied, now_ms)
        if applied and len(applied) <= _MAX_PUSHED_ITEMS:
            self._push(TicketsPush(tickets=tuple(applied)), peer)

    def receive_group_entries(self, entries: Sequence[KeyEntry], now_ms: int) -> None:
        """Learn the group records in store entries and push the newer ones."""
        self.receive_records(read_records(entries, self._outbox), "", now_ms)

    def receive_records(self, records: Sequence[GroupRecord], peer: str, now_ms: int) -> None:
        """Learn group records and push the newer ones to peers other than `peer`."""
        newer = self._records.learn(records, now_ms)
        if newer and len(newer) <= _MAX_PUSHED_ITEMS:
            self._push(TermsPush(records=tuple(newer)), peer)

    def push_roster(self, roster: Roster) -> None:
        """Push a new roster as a delta; peers that cannot apply it get the full one by digest."""
        delta = make_delta(roster, roster.previous or roster.epoch)
        self._push(RosterPush(rosters=(delta,)), "")

    def _push(self, message: PeerMessage, exclude: str) -> None:
        for info in self._membership.sample_alive(self.options.fanout, exclude=exclude):
            self._outbox.send_peer(info, message)
