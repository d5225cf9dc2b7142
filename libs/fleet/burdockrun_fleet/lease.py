"""Lease of a domain's coordinator."""

import random
from collections.abc import Callable

from burdockrun_messages import (
    GetKey,
    GrantLease,
    KeyEntry,
    LeaseReply,
    NodeInfo,
    Outbox,
    PlatformReply,
    PutKey,
    PutReply,
    RevokeLease,
)

from burdockrun_fleet.backoff import Backoff, PlatformPort
from burdockrun_fleet.const import (
    COORDINATOR_PREFIX,
    LEASE_LOST,
    LEASE_MARGIN_MS,
    LEASE_RENEW_INTERVAL_MS,
    LEASE_TAKEN,
    LEASE_TTL_MS,
)


def read_holder(value: str) -> str:
    """Return the name of the node in the value of a coordinator key."""
    return value.rpartition("/")[0]


class CoordinatorLease:
    """Holds `coordinators/<domain>` while this node coordinates the domain.

    The lease counts as held until `LEASE_TTL_MS` less `LEASE_MARGIN_MS` after the last successful
    renewal was sent, by this node's clock. A late renewal may have created a new lease without the
    key, so it does not count. Each attempt uses a new lease name.
    """

    def __init__(
        self,
        node: NodeInfo,
        domain: str,
        port: PlatformPort,
        outbox: Outbox,
        rng: random.Random,
    ) -> None:
        self.holder = ""
        self.tenure = 0
        self.on_taken: Callable[[int], None] | None = None
        self.on_lost: Callable[[int], None] | None = None
        self._node = node
        self._domain = domain
        self._port = port
        self._outbox = outbox
        self._rng = rng
        self._backoff = Backoff(rng)
        self._lease = ""
        self._valid_until_ms = 0
        self._taken = False
        self._waiting = False
        self._next_renewal_ms = 0

    def holds(self, now_ms: int) -> bool:
        """Return whether the lease is surely held; to be asked right before acting."""
        return self._taken and now_ms < self._valid_until_ms

    def tick(self, now_ms: int, *, wanted: bool) -> None:
        """Renew the lease, notice its loss, or try to take it when `wanted`."""
        if self._taken and not self.holds(now_ms):
            self._lose(now_ms)
        if self._waiting or not self._backoff.is_ready(now_ms):
            return
        if self._taken:
            if now_ms >= self._next_renewal_ms:
                self._grant(now_ms)
        elif wanted:
            self._look(now_ms)

    def resign(self, now_ms: int) -> None:
        """Give the lease back, so that another node need not wait for its end."""
        if not self._taken:
            return
        self._port.call(RevokeLease(lease=self._lease), _ignore, now_ms)
        self._lose(now_ms)

    def _look(self, now_ms: int) -> None:
        """Read the holder first: most candidates lose, and a read is all that they cost."""

        def finish(reply: PlatformReply, then_ms: int) -> None:
            self._waiting = False
            if not isinstance(reply, KeyEntry):
                self._backoff.fail(then_ms)
                return
            if reply.revision > 0:
                self.holder = read_holder(reply.value)
                self._backoff.fail(then_ms)
                return
            self._lease = f"{self._node.node}/{self._rng.getrandbits(64):016x}"
            self._grant(then_ms)

        operation = GetKey(key=COORDINATOR_PREFIX + self._domain)
        self._waiting = self._port.call(operation, finish, now_ms)

    def _grant(self, now_ms: int) -> None:
        lease, taken = self._lease, self._taken

        def finish(reply: PlatformReply, then_ms: int) -> None:
            self._waiting = False
            if lease != self._lease:
                return
            if not isinstance(reply, LeaseReply) or not reply.held:
                self._backoff.fail(then_ms)
                return
            self._backoff.succeed()
            if taken:
                self._renewed(now_ms, then_ms)
                return
            self._valid_until_ms = now_ms + LEASE_TTL_MS - LEASE_MARGIN_MS
            self._put(then_ms)

        operation = GrantLease(lease=lease, ttl_ms=LEASE_TTL_MS)
        self._waiting = self._port.call(operation, finish, now_ms)

    def _renewed(self, sent_ms: int, now_ms: int) -> None:
        if not self.holds(now_ms):
            return
        self._valid_until_ms = sent_ms + LEASE_TTL_MS - LEASE_MARGIN_MS
        self._next_renewal_ms = sent_ms + LEASE_RENEW_INTERVAL_MS

    def _put(self, now_ms: int) -> None:
        lease = self._lease

        def finish(reply: PlatformReply, then_ms: int) -> None:
            self._waiting = False
            if lease != self._lease:
                return
            if not isinstance(reply, PutReply):
                # The write may have taken effect: the key then ends with this unused lease.
                self._backoff.fail(then_ms)
                return
            self.holder = read_holder(reply.entry.value)
            if reply.entry.value == lease and then_ms < self._valid_until_ms:
                self._take(then_ms)
                return
            self._backoff.fail(then_ms)
            if reply.entry.value != lease:
                self._port.call(RevokeLease(lease=lease), _ignore, then_ms)

        operation = PutKey(
            key=COORDINATOR_PREFIX + self._domain, value=lease, expected_revision=0, lease=lease
        )
        self._waiting = self._port.call(operation, finish, now_ms)

    def _take(self, now_ms: int) -> None:
        self._backoff.succeed()
        self._taken = True
        self.tenure += 1
        self._next_renewal_ms = now_ms + LEASE_RENEW_INTERVAL_MS // 2
        self._outbox.log(LEASE_TAKEN, domain=self._domain)
        if self.on_taken is not None:
            self.on_taken(now_ms)

    def _lose(self, now_ms: int) -> None:
        self._taken = False
        self.holder = ""
        self._lease = ""
        self._outbox.log(LEASE_LOST, domain=self._domain)
        if self.on_lost is not None:
            self.on_lost(now_ms)


def _ignore(reply: PlatformReply, now_ms: int) -> None:
    """Leave an unneeded lease to run out when it could not be revoked."""
