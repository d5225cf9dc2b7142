"""Spreading of news by pushes to random peers and by pulls after a comparison of digests."""

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
from burdockrun_fleet.models import SpreadOptions
from burdockrun_fleet.records import RecordTable
from burdockrun_fleet.rosters import RosterTable, shorten
from burdockrun_fleet.tickets import TicketFeed

# A burst of news is not pushed on one by one; digests make the others pull it.
_PUSH_ON_LIMIT = 4


class Spreading:
    """Takes tickets, group records and rosters, and passes on what is new."""

    def __init__(
        self,
        membership: Membership,
        outbox: Outbox,
        feed: TicketFeed,
        records: RecordTable,
        rosters: RosterTable,
    ) -> None:
        self.options = SpreadOptions()
        self.on_applied: Callable[[Sequence[TicketRecord], int], None] | None = None
        self._membership = membership
        self._outbox = outbox
        self._feed = feed
        self._records = records
        self._rosters = rosters

    def compare(self, sender: NodeInfo, digest: Digest, now_ms: int) -> None:
        """Ask a peer for what it has more, and send it newer rosters."""
        if not self.options.digest_pull:
            return
        self._feed.pull(sender, digest.ticket, now_ms)
        self._rosters.answer_digest(sender, digest.roster_epochs)
        self._records.compare(sender, digest.terms_hash, now_ms)

    def answer_pull(self, peer: NodeInfo, message: PeerMessage, now_ms: int) -> None:
        """Answer a pull of a peer."""
        if isinstance(message, TicketsPull):
            self._feed.answer_pull(peer, message, now_ms)
        elif isinstance(message, TermsPull):
            self._records.answer_pull(peer, message, now_ms)

    def take_ticket_entries(self, entries: Sequence[KeyEntry], now_ms: int) -> None:
        """Take tickets from the store."""
        tickets = [ticket for entry in entries if (ticket := read_ticket(entry)) is not None]
        self.take_tickets(tickets, "", now_ms)

    def take_tickets(self, tickets: Sequence[TicketRecord], peer: str, now_ms: int) -> None:
        """Apply tickets and push on those that came into force."""
        applied = self._feed.receive(tickets, now_ms)
        if applied and self.on_applied is not None:
            self.on_applied(applied, now_ms)
        if applied and len(applied) <= _PUSH_ON_LIMIT:
            self._push(TicketsPush(tickets=tuple(applied)), peer)

    def take_group_entries(self, entries: Sequence[KeyEntry], now_ms: int) -> None:
        """Take group records from the store."""
        self.take_records(read_records(entries, self._outbox), "", now_ms)

    def take_records(self, records: Sequence[GroupRecord], peer: str, now_ms: int) -> None:
        """Learn group records and push on the newer ones."""
        newer = self._records.learn(records, now_ms)
        if newer and len(newer) <= _PUSH_ON_LIMIT:
            self._push(TermsPush(records=tuple(newer)), peer)

    def push_roster(self, roster: Roster) -> None:
        """Push a new roster as a change; who lacks the one before gets it whole by its digest."""
        short = shorten(roster, roster.previous or roster.epoch)
        self._push(RosterPush(rosters=(short,)), "")

    def _push(self, message: PeerMessage, exclude: str) -> None:
        for info in self._membership.sample_alive(self.options.fanout, exclude=exclude):
            self._outbox.send_peer(info, message)
