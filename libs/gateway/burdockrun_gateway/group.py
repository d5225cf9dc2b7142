"""One database group as this node sees it: members, connections, lease, positions."""

from collections.abc import Iterator
from enum import Enum
from random import Random

from burdockrun_base import Application, LogPosition
from burdockrun_groups import (
    KNOWN_MEMBERS_MS,
    FleetLayout,
    GroupRecord,
    MemberEntry,
    PrimaryLease,
    ReadOption,
    ReplicaLag,
    Requirement,
    UnlistedProcesses,
    Watermarks,
)
from burdockrun_statements import Commit

from burdockrun_gateway.const import (
    CONFIRMATION_OVERDUE_MS,
    LEASE_BASIS_CHANGED,
    MAX_SHARED_POSITION_AGE_MS,
    MEMBER_REACHED,
    MEMBER_SUSPECTED,
    MEMBERS_CHANGED,
    PEER_SUSPICION_MS,
    PEER_SUSPICION_PROBE_MS,
    PEER_SUSPICION_SILENCE_MS,
    PRIMARY_LEARNED,
    PROBE_INTERVAL_MS,
    REPLACEMENT_MS,
    REPORT_INTERVAL_MS,
    SHARED_POSITION_REFRESH_MS,
    SILENCE_MS,
    UNREADABLE_PRIMARY_SHARE,
)
from burdockrun_gateway.links import MemberLink
from burdockrun_gateway.member_routes import MemberRoute
from burdockrun_gateway.observers import MemberControl, MemberObserver
from burdockrun_gateway.pools import MemberPool, OnPosition
from burdockrun_gateway.ports import MemberConnector, OperationLimits, SharedPosition
from burdockrun_gateway.retry_times import RetryTimes
from burdockrun_gateway.service_ranks import NO_ROUTES, ServiceRanks
from burdockrun_gateway.signals import ChangeSignal
from burdockrun_gateway.tasks import TaskSet, run_guarded


class ProbePurpose(Enum):
    """Why a member is asked for its status, as counted in the metrics."""

    LOSS = "loss"  # to detect that a primary is lost
    POSITION = "position"
    REPORT = "report"  # while the store does not confirm the group record


class Group:
    """Members of one service with their connections and known state."""

    def __init__(
        self,
        app: Application,
        service: str,
        domain: str,
        connector: MemberConnector,
        *,
        layout: FleetLayout,
        max_connections: int,
        by_account: bool = False,
        rng: Random | None = None,
        limits: OperationLimits | None = None,
        member_drain_ms: int = 0,
    ) -> None:
        """With `by_account`, each member has one home at a time and an observer in each domain.

        `rng` randomizes retry times and the choice of members. `limits` counts the operations of
        accounts at homes. `member_drain_ms` is how long members go on after announcing their end.
        """
        self._member_drain_ms = member_drain_ms
        self._unreadable_primary_ms = int(UNREADABLE_PRIMARY_SHARE * member_drain_ms)
        self.service = service
        self.rng = rng or Random(f"{service} {domain}")
        self.retry_times = RetryTimes(self.rng)
        # Rank that is served last among those of the routes.
        self.lowest_rank = 0
        self._lags: dict[str, ReplicaLag] = {}
        self.primary_lease = PrimaryLease()
        self.watermarks = Watermarks()
        self.pools: dict[str, MemberPool] = {}
        self.suspected = ""
        # Whether the holder of the promotion lease has to check the primary.
        self.evidence_changed = True
        self._peer_suspicion_until_ms = 0
        self._last_primary = ""
        self._lease_basis = "none"
        # Members whose entries have lapsed, and until when they count as members.
        self._lapsed: dict[str, tuple[MemberEntry, int]] = {}
        self.unlisted_processes = UnlistedProcesses()
        # Members whose processes have been replaced, and when.
        self._restarted_ms: dict[str, int] = {}
        # Since when the record says that the primary will be stopped.
        self._ending_ms: int | None = None
        # Since when no member is known to lead by the record.
        self._vacant_ms: int | None = None
        self._knows_lapsed_ms = app.clock.now_ms() + KNOWN_MEMBERS_MS
        # Since when members announce their end.
        self._draining_ms: dict[str, int] = {}
        # Since when the entries of members cannot be read.
        self._unreadable_ms: dict[str, int] = {}
        self._end_announced = False
        self.changed = ChangeSignal()
        self._app = app
        self._domain = domain
        self._connector = connector
        self._layout = layout
        self._max_connections = max_connections
        self._by_account = by_account
        self._limits = limits
        self._ranks = NO_ROUTES
        self._routes: dict[str, MemberRoute] = {}
        self._tasks = TaskSet(app)
        self._probed_ms: dict[str, int] = {}

    def set_members(self, entries: dict[str, MemberEntry]) -> None:
        """Replace the members by those that discovery lists."""
        before = self.primary_lease.members
        self._note_lapsed(before, entries)
        now_ms = self._app.clock.now_ms()
        self.unlisted_processes.note_members(before, entries, now_ms)
        self._draining_ms = {
            member_id: self._draining_ms.get(member_id, now_ms)
            for member_id, entry in entries.items()
            if entry.draining
        }
        self._unreadable_ms = {
            member_id: self._unreadable_ms.get(member_id, now_ms)
            for member_id, entry in entries.items()
            if entry.unreadable
        }
        self.evidence_changed = True
        self.primary_lease.set_members(entries)
        for member_id, entry in entries.items():
            known = self.pools.get(member_id)
            if known is not None and not _same_process(known.entry, entry):
                self._remove_pool(member_id)
                self.primary_lease.forget_report(member_id)
                self._note_restarted(member_id)
                known = None
            if known is None:
                self._add_pool(entry)
            else:
                known.entry = entry
        for member_id in [known for known in self.pools if known not in entries]:
            self._remove_pool(member_id)
        if _summarize(before) != _summarize(entries):
            self._app.events.write(
                MEMBERS_CHANGED, service=self.service, members=_summarize(entries)
            )
        self.changed.notify()

    def _note_lapsed(self, before: dict[str, MemberEntry], after: dict[str, MemberEntry]) -> None:
        now_ms = self._app.clock.now_ms()
        self._lapsed = {name: one for name, one in self._lapsed.items() if now_ms < one[1]}
        for member_id, entry in before.items():
            if member_id not in after and not entry.draining:
                self._lapsed[member_id] = (entry, now_ms + KNOWN_MEMBERS_MS)
        for member_id in after:
            self._lapsed.pop(member_id, None)

    def find_counted_members(self) -> set[str]:
        """Return the members that some node may still count in a majority.

        They are those that discovery lists, and those whose entries have lapsed: these may be cut
        off from the store, and nodes without the store still know them. A member that drained, or
        whose address another member of the group has now, has ended.
        """
        now_ms = self._app.clock.now_ms()
        members = self.primary_lease.members
        addresses = {(entry.host, entry.port) for entry in members.values()}
        self._lapsed = {
            member_id: (entry, until_ms)
            for member_id, (entry, until_ms) in self._lapsed.items()
            if now_ms < until_ms and (entry.host, entry.port) not in addresses
        }
        return {*members, *self._lapsed}

    def find_ending_members(self) -> set[str]:
        """Return the draining members that would end before they could be replaced as primary."""
        if not self._member_drain_ms:
            return set()
        until_ms = self._app.clock.now_ms() + REPLACEMENT_MS
        return {
            member_id
            for member_id, since_ms in self._draining_ms.items()
            if since_ms + self._member_drain_ms < until_ms
        }

    def knows_members_of(self, primary: str) -> bool:
        """Return whether this node knows all members that some node may still count with `primary`.

        It does not know those whose entries lapsed before it started, if `primary` was among them.
        """
        if self._app.clock.now_ms() >= self._knows_lapsed_ms:
            return True
        return primary in self.find_counted_members()

    def _note_restarted(self, member_id: str) -> None:
        now_ms = self._app.clock.now_ms()
        self._restarted_ms = {
            name: at_ms
            for name, at_ms in self._restarted_ms.items()
            if now_ms < at_ms + KNOWN_MEMBERS_MS
        }
        self._restarted_ms[member_id] = now_ms

    def has_restarted_replica(self, primary: str) -> bool:
        """Return whether a member besides `primary` has lately started again without its log."""
        now_ms = self._app.clock.now_ms()
        return any(
            member_id != primary and now_ms < at_ms + KNOWN_MEMBERS_MS
            for member_id, at_ms in self._restarted_ms.items()
        )

    def awaits_members(self) -> bool:
        """Return whether no primary can be chosen until certain members have answered."""
        record = self.primary_lease.record
        return record is not None and not record.primary and bool(record.unheard)

    def ending_for_ms(self) -> int:
        """Return for how long this node has known that the primary will be stopped."""
        return self._app.clock.now_ms() - self._ending_ms if self._ending_ms is not None else 0

    def vacant_for_ms(self) -> int:
        """Return for how long no member has been known to lead by the record."""
        return self._app.clock.now_ms() - self._vacant_ms if self._vacant_ms is not None else 0

    def set_limit(self, max_connections: int, *, by_account: bool = False) -> None:
        """Set how many connections each member accepts from all nodes.

        `by_account` says whether the connections belong to accounts.
        """
        if (max_connections, by_account) == (self._max_connections, self._by_account):
            return
        self._max_connections, self._by_account = max_connections, by_account
        for member_id in self.pools:
            self._watch(member_id)

    def set_ranks(self, ranks: ServiceRanks) -> None:
        """Set the ranks of the routes that lead to the service."""
        if ranks == self._ranks:
            return
        self._ranks = ranks
        for pool in self.pools.values():
            pool.set_ranks(ranks)

    def accept_shared(self, member_id: str) -> MemberPool | None:
        """Return the connections to a member for another node that asks to use them.

        Returns None if this node is not a home of the member. A later candidate for the home steps
        in: the other node has had no answer from the earlier ones.
        """
        route = self._routes.get(member_id)
        return route.pool if route is not None and route.accept_shared() else None

    def control(self, pool: MemberPool) -> MemberControl:
        """Return what sends control statements to a member, and knows whether it answers."""
        route = self._routes.get(pool.entry.id)
        observer = route.observer if route is not None and route.pool is pool else None
        return observer if observer is not None else pool

    def find_direct_nodes(self, member_id: str) -> frozenset[str]:
        """Return the nodes that watch a member through connections of their own."""
        return self._layout.find_direct_nodes(member_id, self._max_connections)

    def set_record(self, record: GroupRecord) -> None:
        """Apply a group record."""
        known = self.primary_lease.record
        if not self.primary_lease.learn_record(record):
            return
        self.evidence_changed = True
        if not record.ending:
            self._ending_ms = None
        elif self._ending_ms is None or known is None or known.version() != record.version():
            self._ending_ms = self._app.clock.now_ms()
        if record.primary and record.promoted:
            self._vacant_ms = None
        elif self._vacant_ms is None:
            self._vacant_ms = self._app.clock.now_ms()
        if known is None or (known.primary, known.epoch) != (record.primary, record.epoch):
            self._app.events.write(
                PRIMARY_LEARNED,
                service=self.service,
                primary=record.primary,
                epoch=record.epoch,
                previous=record.previous,
            )
        self.changed.notify()

    def confirm_record(self, sent_ms: int, era: int, *, is_listed: bool = True) -> None:
        """Mark the group record as current as of `sent_ms`, when an answered poll was sent.

        A record of an earlier era than the store's may lack later changes and is not current, nor
        is one that the store does not list: other nodes may follow what it lists.
        """
        record = self.primary_lease.record
        if record is not None and (record.era != era or not is_listed):
            self.primary_lease.confirm_members(sent_ms)
            return
        had_lease = self.primary_lease.has_record_lease(self._app.clock.now_ms())
        self.primary_lease.confirm_record(None, sent_ms)
        if not had_lease:
            self.changed.notify()

    def probe_suspect(self, member_id: str) -> None:
        """Probe the primary more often for a while, since another node cannot reach it."""
        record = self.primary_lease.record
        if record is not None and record.primary == member_id:
            self._peer_suspicion_until_ms = self._app.clock.now_ms() + PEER_SUSPICION_MS

    def needs_change(self) -> bool:
        """Return whether the primary is lost, or its replacement is under way."""
        record = self.primary_lease.record
        if record is None:
            return False
        unsettled = not record.primary or not record.promoted or record.ending
        return unsettled or bool(self.suspected)

    def is_replacing(self) -> bool:
        """Return whether the primary is being replaced, may be soon, or is suspected by a node."""
        now_ms = self._app.clock.now_ms()
        is_suspected = now_ms < self._peer_suspicion_until_ms
        return is_suspected or self.primary_pool() is None or self.needs_change()

    def primary_pool(self) -> MemberPool | None:
        """Return the connections to the member that may get new statements as the primary now."""
        pool = self._leader_pool()
        return pool if pool is not None and self.may_use(pool) else None

    def readable_primary_pool(self) -> MemberPool | None:
        """Return the connections to the primary if it is known to have all acknowledged commits."""
        return self.primary_pool() if self._may_read_primary() else None

    def _may_read_primary(self) -> bool:
        """Return whether the primary leads as far as this node knows, or need not lead yet."""
        now_ms = self._app.clock.now_ms()
        if self.primary_lease.may_read(now_ms):
            return True
        epoch = self.primary_lease.epoch(now_ms)
        return epoch != "" and epoch == self.watermarks.epoch

    def may_use(self, pool: MemberPool) -> bool:
        """Return whether a member may get new statements by its entry.

        An entry that cannot be read names no member to use. A primary goes on until it is replaced:
        no other member can do its work, and whether it leads follows from the primary lease. A home
        that is another node does not tell whether the primary is still the same process.
        """
        if pool.entry.id not in self._unreadable_ms:
            return True
        is_recent = not self.is_unreadable_for(pool.entry.id, self._unreadable_primary_ms)
        return is_recent and self.is_primary(pool) and not pool.has_remote_home()

    def is_unreadable_for(self, member_id: str, duration_ms: int) -> bool:
        """Return whether the entry of a member has been unreadable for at least this long."""
        since_ms = self._unreadable_ms.get(member_id)
        return since_ms is not None and self._app.clock.now_ms() >= since_ms + duration_ms

    def _leader_pool(self) -> MemberPool | None:
        """Return the connections to the member that leads now."""
        return self.pools.get(self.primary_lease.primary(self._app.clock.now_ms()))

    def is_primary(self, pool: MemberPool) -> bool:
        """Return whether a member may be used as primary now."""
        return self.primary_lease.primary(self._app.clock.now_ms()) == pool.entry.id

    def find_requirement(
        self, started_ms: int, max_staleness_ms: int, commit: Commit | None
    ) -> Requirement | None:
        """Return the requirement on a replica for a read, None if only the primary may serve it."""
        required = self.watermarks.required(started_ms, max_staleness_ms)
        if required is None or commit is None:
            return required
        own = self.watermarks.required_for_commit(commit)
        if own is None:
            return None
        return max(required, own, key=lambda requirement: requirement.position)

    def awaited_position(
        self, pool: MemberPool, link: MemberLink | None = None
    ) -> LogPosition | None:
        """Return the position that a primary must still apply before reads, or None.

        A new primary may not have applied all that it had received. One that started again without
        its log lacks what the primary had told before a connection to it was accepted.
        """
        required = [self.primary_lease.floor(pool.entry.id)]
        applied = pool.position
        if link is not None and link.home is None:
            applied = pool.proven_position(link)
            if self.is_primary(pool):
                required.append(self._find_told_position(link.opened_ms))
        lacking = [one for one in required if one is not None and not _has(applied, one)]
        return max(lacking, default=None)

    def _find_told_position(self, before_ms: int) -> LogPosition | None:
        """Return the newest position of the present primary that was asked for before a time."""
        if self.watermarks.epoch != self.primary_lease.epoch(self._app.clock.now_ms()):
            return None
        return self.watermarks.newest_before(before_ms)

    def has_homes(self) -> bool:
        """Return whether nodes reach the members through homes."""
        return any(pool.has_homes for pool in self.pools.values())

    def find_rank_share(self, rank: int) -> float:
        """Return the position of a rank: 0 for the most urgent, 1 for the lowest or only one."""
        return min(max(rank, 0) / self.lowest_rank, 1.0) if self.lowest_rank > 0 else 1.0

    def note_lagging(self, member_id: str, required: Requirement | None) -> None:
        """Note that a replica had not applied the position that a read required."""
        if required is not None:
            behind_ms = self._app.clock.now_ms() - required.known_ms
            self._lags.setdefault(member_id, ReplicaLag()).observe_lagging(max(behind_ms, 0))

    def read_options(
        self, excluded: set[str], rank_share: float | None = None
    ) -> Iterator[ReadOption]:
        """Return the members that can serve reads now; with `rank_share`, with their loads."""
        primary = self.primary_lease.primary(self._app.clock.now_ms())
        may_read_primary = self._may_read_primary()
        for member_id, pool in self.pools.items():
            if member_id in excluded or not pool.is_usable():
                continue
            if not self.may_use(pool) or (pool.entry.draining and member_id != primary):
                continue
            lag = self._lags.get(member_id)
            yield ReadOption(
                member_id=member_id,
                is_primary=member_id == primary
                and may_read_primary
                and self.awaited_position(pool) is None,
                position=pool.position,
                expected_ms=pool.expected_ms(),
                keeps_up=pool.keeps_up(),
                lag_ms=lag.bound_ms() if lag is not None else None,
                load=pool.estimate_load(rank_share) if rank_share is not None else None,
            )

    def share_position(self) -> SharedPosition | None:
        """Return the position of the primary for nodes that follow this one, if it is recent."""
        now_ms = self._app.clock.now_ms()
        position, known_ms = self.watermarks.newest(), self.watermarks.newest_ms()
        if position is None or known_ms is None or now_ms - known_ms > MAX_SHARED_POSITION_AGE_MS:
            return None
        return SharedPosition(
            service=self.service,
            epoch=self.watermarks.epoch,
            position=position,
            age_ms=now_ms - known_ms,
        )

    def learn_position(self, shared: SharedPosition, sent_ms: int) -> None:
        """Apply a position that another node was asked for at `sent_ms`."""
        if shared.epoch and shared.epoch == self.primary_lease.epoch(self._app.clock.now_ms()):
            self.watermarks.add(shared.epoch, sent_ms - shared.age_ms, shared.position)

    def refresh_position(self) -> None:
        """Ask the primary for its position, unless a recent one is known."""
        pool = self._leader_pool()
        if pool is not None and self._is_position_older_than(SHARED_POSITION_REFRESH_MS):
            self._probed_ms[pool.entry.id] = self._app.clock.now_ms()
            self._start_probe(pool, ProbePurpose.POSITION)

    def _is_position_older_than(self, age_ms: int) -> bool:
        known_ms = self.watermarks.newest_ms()
        return known_ms is None or self._app.clock.now_ms() - known_ms >= age_ms

    def tick(self) -> None:
        """Probe members and update the suspicion of the primary.

        All members are probed while reports are needed, otherwise only a silent primary, by the
        nodes that may suspect it. The others learn its position with their copies of the store and
        probe only if that fails.
        """
        now_ms = self._app.clock.now_ms()
        record = self.primary_lease.record
        primary = record.primary if record is not None else ""
        suspected_by_peer = now_ms < self._peer_suspicion_until_ms
        probe_ms = PEER_SUSPICION_PROBE_MS if suspected_by_peer else PROBE_INTERVAL_MS
        for member_id in list(self.pools):
            is_primary = member_id == primary
            run_guarded(
                self._app,
                "tick_member",
                self._tick_member,
                member_id,
                is_primary,
                probe_ms,
                member=member_id,
            )
        self._update_suspicion(
            primary, PEER_SUSPICION_SILENCE_MS if suspected_by_peer else SILENCE_MS
        )
        self._check_leadership(now_ms)
        self._log_lease_basis(now_ms)

    def _tick_member(self, member_id: str, is_primary: bool, probe_ms: int) -> None:
        """Update the connections to a member, and probe it every `probe_ms` if that is needed."""
        now_ms = self._app.clock.now_ms()
        needs_reports = now_ms >= self.primary_lease.record_sent_ms + CONFIRMATION_OVERDUE_MS
        pool, route = self.pools[member_id], self._routes[member_id]
        route.tick()
        pool.tick()
        if is_primary and route.needs_fast_probes():
            probe_ms = PEER_SUSPICION_PROBE_MS
        interval_ms = REPORT_INTERVAL_MS if needs_reports else probe_ms
        if not route.watches():
            interval_ms = max(interval_ms, REPORT_INTERVAL_MS)
        should_probe = needs_reports or (is_primary and self._is_uncertain(route, now_ms, probe_ms))
        if should_probe and now_ms - self._probed_ms.get(member_id, 0) >= interval_ms:
            self._probed_ms[member_id] = now_ms
            self._start_probe(pool, self._find_purpose(route, needs_reports=needs_reports))

    def _log_lease_basis(self, now_ms: int) -> None:
        """Log when the primary follows from something else than before."""
        basis = self.primary_lease.basis(now_ms)
        if basis == self._lease_basis:
            return
        self._lease_basis = basis
        record = self.primary_lease.record
        self._app.events.write(
            LEASE_BASIS_CHANGED,
            service=self.service,
            basis=basis,
            primary=self.primary_lease.primary(now_ms),
            epoch=record.epoch if record is not None else 0,
        )

    def _is_uncertain(self, route: MemberRoute, now_ms: int, probe_ms: int) -> bool:
        """Return whether a primary has to be probed, to detect its loss or for its position."""
        if not route.watches():
            return self._is_position_older_than(MAX_SHARED_POSITION_AGE_MS)
        return now_ms - self.control(route.pool).last_contact_ms >= probe_ms

    def _find_purpose(self, route: MemberRoute, *, needs_reports: bool) -> ProbePurpose:
        if needs_reports:
            return ProbePurpose.REPORT
        return ProbePurpose.LOSS if route.watches() else ProbePurpose.POSITION

    def close(self) -> None:
        """Close all connections."""
        self._tasks.cancel()
        for route in self._routes.values():
            route.abort()
        for pool in self.pools.values():
            pool.abort()

    def _start_probe(self, pool: MemberPool, purpose: ProbePurpose) -> None:
        self._app.measurements.count("health_checks", purpose=purpose.value)
        self._tasks.start("probe", self._async_probe(pool))

    async def _async_probe(self, pool: MemberPool) -> None:
        report = await self.control(pool).async_status()
        if report is None or self.pools.get(pool.entry.id) is not pool:
            return
        now_ms = self._app.clock.now_ms()
        had_primary = self.primary_lease.primary(now_ms)
        self.primary_lease.add_report(pool.entry.id, report, now_ms)
        if not had_primary and self.primary_lease.primary(self._app.clock.now_ms()):
            self.changed.notify()

    def _update_suspicion(self, primary: str, silence_ms: int) -> None:
        route = self._routes.get(primary)
        suspected = ""
        # A node that goes through homes cannot tell a lost home from a lost primary, unless it is
        # an observer.
        if route is not None and route.watches():
            is_lost = self.control(route.pool).is_lost_or_silent(silence_ms)
            suspected = primary if is_lost else ""
        if suspected == self.suspected:
            return
        event = MEMBER_SUSPECTED if suspected else MEMBER_REACHED
        self._app.events.write(event, service=self.service, member=suspected or self.suspected)
        self.suspected = suspected
        self.evidence_changed = True

    def _check_leadership(self, now_ms: int) -> None:
        """Discard unanswered statements at a former primary, unless its end was planned.

        If they arrived there after a partition, a BEGIN would be refused and the read sent behind
        it would run outside of the transaction.
        """
        primary = self.primary_lease.primary(now_ms)
        lost = self.pools.get(self._last_primary) if primary != self._last_primary else None
        if lost is not None and not self._end_announced:
            lost.discard_unanswered()
        record = self.primary_lease.record
        self._last_primary = primary
        self._end_announced = record is not None and record.primary == primary and record.ending

    def _add_pool(self, entry: MemberEntry) -> None:
        pool = self._build_pool(entry, self._handle_position)
        pool.set_ranks(self._ranks)
        self.pools[entry.id] = pool

        def build_observer() -> MemberObserver:
            return MemberObserver(self._build_pool(entry, self._handle_observed), pool)

        self._routes[entry.id] = MemberRoute(self._app, pool, self._connector, build_observer)
        self._watch(entry.id)

    def _build_pool(self, entry: MemberEntry, on_position: OnPosition) -> MemberPool:
        return MemberPool(
            self._app,
            entry,
            self._connector,
            self._connector.read_status,
            on_position,
            same_domain=entry.domain == self._domain,
            limits=self._limits,
            is_leaving=self._layout.is_leaving,
        )

    def _watch(self, member_id: str) -> None:
        self._layout.watch(
            member_id,
            self._max_connections,
            self._routes[member_id].set_plan,
            domain=self.pools[member_id].entry.domain,
            by_account=self._by_account,
            slots=self.pools[member_id].entry.slots,
        )

    def _remove_pool(self, member_id: str) -> None:
        self._layout.unwatch(member_id)
        self._lags.pop(member_id, None)
        self._routes.pop(member_id).abort()
        self.pools.pop(member_id).abort()

    def _handle_observed(
        self, observed: MemberPool, position: LogPosition | None, sent_ms: int
    ) -> None:
        """Apply a position that came on the control connection of an observer."""
        pool = self.pools.get(observed.entry.id)
        if pool is not None:
            pool.learn_position(position, sent_ms)
            self._handle_position(pool, position, sent_ms)

    def _handle_position(
        self, pool: MemberPool, position: LogPosition | None, sent_ms: int
    ) -> None:
        if position is None:
            self._lags.pop(pool.entry.id, None)
            self.primary_lease.forget_report(pool.entry.id)
            self._note_restarted(pool.entry.id)
            return
        now_ms = self._app.clock.now_ms()
        is_primary = self.primary_lease.primary(now_ms) == pool.entry.id
        if is_primary and self._tells_commits(pool.entry.id, position):
            self._add_watermark(self.primary_lease.epoch(now_ms), sent_ms, position)
        elif pool.has_homes:
            lag = self._lags.setdefault(pool.entry.id, ReplicaLag())
            lag.observe(self.watermarks.find_lag(position, now_ms))

    def note_commit(self, primary: str, epoch: str, sent_ms: int, position: LogPosition) -> None:
        """Learn the position of a commit that the primary of `epoch` has answered.

        The answer proves that it leads, which its position alone may not: the record names a term
        above its own if an earlier successor never led.
        """
        if position.has_reached(self.primary_lease.floor(primary)):
            self._add_watermark(epoch, sent_ms, position)

    def _add_watermark(self, epoch: str, sent_ms: int, position: LogPosition) -> None:
        may_read = self._may_read_primary()
        self.watermarks.add(epoch, sent_ms, position)
        if not may_read:
            self.changed.notify()

    def _tells_commits(self, primary: str, position: LogPosition) -> bool:
        """Return whether a position of the primary shows what the group has committed.

        Before a primary leads, it may lack commits of the previous one. It leads once it has
        written in its own term.
        """
        record, floor = self.primary_lease.record, self.primary_lease.floor(primary)
        if not position.has_reached(floor):
            return False
        if self._may_read_primary():
            return True
        own_term = max(record.held_term, floor.term + 1) if record and floor else None
        return own_term is not None and position.term >= own_term


def _has(applied: LogPosition | None, required: LogPosition) -> bool:
    return applied is not None and applied.has_reached(required)


def _same_process(one: MemberEntry, other: MemberEntry) -> bool:
    return (one.started_at_ms, one.host, one.port) == (other.started_at_ms, other.host, other.port)


def _summarize(entries: dict[str, MemberEntry]) -> str:
    return " ".join(
        _describe(entry) for entry in sorted(entries.values(), key=lambda entry: entry.id)
    )


def _describe(entry: MemberEntry) -> str:
    states = {"draining": entry.draining, "unreadable": entry.unreadable}
    words = [
        "p" if entry.claims_primary else "r",
        *(name for name, holds in states.items() if holds),
    ]
    return f"{entry.id}:{'-'.join(words)}"
