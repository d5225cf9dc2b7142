"""Lease that the coordinator of a domain holds."""

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

from burdockrun_fleet.backoff import Backoff, PlatformClient
from burdockrun_fleet.const import (
    COORDINATOR_PREFIX,
    LEASE_LOST,
    LEASE_MARGIN_MS,
    LEASE_RENEW_INTERVAL_MS,
    LEASE_TAKEN,
    LEASE_TTL_MS,
)


def parse_holder(value: str) -> str:
    """Return the node name from the value of a coordinator key."""
    return value.rpartition("/")[0]


class CoordinatorLease:
    """Holds `coordinators/<domain>` while this node coordinates the domain.

    By this node's clock the lease is held until `LEASE_TTL_MS` less `LEASE_MARGIN_MS` after the
    last successful renewal was sent. A renewal that is answered later is ignored, because it may
    have created a new lease that is not attached to the key. Each attempt uses a new lease name.
    """

    def __init__(
        self,
        node: NodeInfo,
        domain: str,
        platform: PlatformClient,
        outbox: Outbox,
        rng: random.Random,
    ) -> None:
        self.holder = ""
        self.acquisitions = 0
        self.on_acquired: Callable[[int], None] | None = None
        self.on_lost: Callable[[int], None] | None = None
        self._node = node
        self._domain = domain
        self._platform = platform
        self._outbox = outbox
        self._rng = rng
        self._backoff = Backoff(rng)
        self._lease = ""
        self._valid_until_ms = 0
        self._held = False
        self._waiting = False
        self._next_renewal_ms = 0

    def holds(self, now_ms: int) -> bool:
        """Return whether the lease is certainly held; callers check this right before they act."""
        return self._held and now_ms < self._valid_until_ms

    def tick(self, now_ms: int, *, wanted: bool) -> None:
        """Renew the lease, detect its loss, or try to acquire it if `wanted`."""
        if self._held and not self.holds(now_ms):
            self._mark_lost(now_ms)
        if self._waiting or not self._backoff.is_ready(now_ms):
            return
        if self._held:
            if now_ms >= self._next_renewal_ms:
                self._request_lease(now_ms)
        elif wanted:
            self._read_key(now_ms)

    def resign(self, now_ms: int) -> None:
        """Revoke the lease, so that another node need not wait until it expires."""
        if not self._held:
            return
        self._platform.call(RevokeLease(lease=self._lease), _ignore, now_ms)
        self._mark_lost(now_ms)

    def _read_key(self, now_ms: int) -> None:
        """Read the holder first, so that candidates that would lose cost only a read."""

        def finish(reply: PlatformReply, then_ms: int) -> None:
            self._waiting = False
            if not isinstance(reply, KeyEntry):
                self._backoff.fail(then_ms)
                return
            if reply.revision > 0:
                self.holder = parse_holder(reply.value)
                self._backoff.fail(then_ms)
                return
            self._lease = f"{self._node.node}/{self._rng.getrandbits(64):016x}"
            self._request_lease(then_ms)

        operation = GetKey(key=COORDINATOR_PREFIX + self._domain)
        self._waiting = self._platform.call(operation, finish, now_ms)

    def _request_lease(self, now_ms: int) -> None:
        lease, held = self._lease, self._held

        def finish(reply: PlatformReply, then_ms: int) -> None:
            self._waiting = False
            if lease != self._lease:
                return
            if not isinstance(reply, LeaseReply) or not reply.held:
                self._backoff.fail(then_ms)
                return
            self._backoff.succeed()
            if held:
                self._extend(now_ms, then_ms)
                return
            self._valid_until_ms = now_ms + LEASE_TTL_MS - LEASE_MARGIN_MS
            self._write_key(then_ms)

        operation = GrantLease(lease=lease, ttl_ms=LEASE_TTL_MS)
        self._waiting = self._platform.call(operation, finish, now_ms)

    def _extend(self, sent_ms: int, now_ms: int) -> None:
        if not self.holds(now_ms):
            return
        self._valid_until_ms = sent_ms + LEASE_TTL_MS - LEASE_MARGIN_MS
        self._next_renewal_ms = sent_ms + LEASE_RENEW_INTERVAL_MS

    def _write_key(self, now_ms: int) -> None:
        lease = self._lease

        def finish(reply: PlatformReply, then_ms: int) -> None:
            self._waiting = False
            if lease != self._lease:
                return
            if not isinstance(reply, PutReply):
                # The write may have taken effect; the key then expires with this unused lease.
                self._backoff.fail(then_ms)
                return
            self.holder = parse_holder(reply.entry.value)
            if reply.entry.value == lease and then_ms < self._valid_until_ms:
                self._mark_acquired(then_ms)
                return
            self._backoff.fail(then_ms)
            if reply.entry.value != lease:
                self._platform.call(RevokeLease(lease=lease), _ignore, then_ms)

        operation = PutKey(
            key=COORDINATOR_PREFIX + self._domain, value=lease, expected_revision=0, lease=lease
        )
        self._waiting = self._platform.call(operation, finish, now_ms)

    def _mark_acquired(self, now_ms: int) -> None:
        self._backoff.succeed()
        self._held = True
        self.acquisitions += 1
        self._next_renewal_ms = now_ms + LEASE_RENEW_INTERVAL_MS // 2
        self._outbox.log(LEASE_TAKEN, domain=self._domain)
        if self.on_acquired is not None:
            self.on_acquired(now_ms)

    def _mark_lost(self, now_ms: int) -> None:
        self._held = False
        self.holder = ""
        self._lease = ""
        self._outbox.log(LEASE_LOST, domain=self._domain)
        if self.on_lost is not None:
            self.on_lost(now_ms)


def _ignore(reply: PlatformReply, now_ms: int) -> None:
    """Ignore the reply; a lease that could not be revoked expires."""
