"""Replacement of primaries while this node holds the promotion lease."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import replace
from functools import partial
from typing import Any

from burdockrun_base import Application, LogPosition
from burdockrun_groups import (
    MIN_PAUSE_MS,
    PRIMARY_LEASE_MARGIN_MS,
    PRIMARY_LEASE_MS,
    Evidence,
    GroupRecord,
    Reason,
    Succession,
    find_change_reason,
    find_first_primary,
    find_reported_primary,
    is_leadership_denied,
    is_majority_paused,
    renew_record,
)
from burdockrun_statements import MemberStatus, Statement, StatementKind
from result import Err, Ok

from burdockrun_gateway.acknowledging import AcknowledgingSearch
from burdockrun_gateway.check_failures import CheckFailures
from burdockrun_gateway.const import (
    CATCH_UP_TIMEOUT_MS,
    CHANGE_FAILED,
    CHANGE_ORDERED,
    CHANGE_STARTED,
    COMMITS_MAY_BE_LOST,
    GROUPS_PREFIX,
    MAX_LOGGED_NODES,
    MAX_SUPERVISOR_FAILURES,
    PRESENCE_PREFIX,
    PREVIOUS_PRIMARY_STOPPED,
    PROMOTION_POLL_MS,
    PROMOTION_RETRY_MS,
    PROMOTION_TIMEOUT_MS,
    SUPERVISION_INTERVAL_MS,
    TASK_RETRY_MAX_MS,
    TICK_MS,
    UNREADABLE_MEMBER_MS,
)
from burdockrun_gateway.directory import Directory
from burdockrun_gateway.group import Group
from burdockrun_gateway.leases import PromotionLease
from burdockrun_gateway.ports import PromotionClient, SharedStore, StoreFault, Write
from burdockrun_gateway.records import dump_group
from burdockrun_gateway.successors import (
    MembersAwaitedError,
    StepFailedError,
    SuccessorSearch,
    async_ask_members,
    async_stop_leaders,
)
from burdockrun_gateway.tasks import report_failure, run_guarded


class Supervisor:
    """Watches the groups and replaces their primaries, one change per group at a time."""

    def __init__(
        self,
        app: Application,
        store: SharedStore,
        directory: Directory,
        promotion_lease: PromotionLease,
        promotion_client: PromotionClient,
    ) -> None:
        self._app = app
        self._store = store
        self._directory = directory
        self._promotion_lease = promotion_lease
        self._promotion_client = promotion_client
        self._successor_search = SuccessorSearch(app, directory)
        self._acknowledging = AcknowledgingSearch(app, directory)
        self._running: dict[str, asyncio.Task[None]] = {}
        # By service, the record for which this holder has paused members, and when these may be
        # resumed. Another holder may have completed that change and begun the next one.
        self._resume_after_ms: dict[str, tuple[tuple[int, int], int]] = {}
        self._failures = 0
        self._check_failures = CheckFailures()

    async def async_run(self) -> None:
        """Check the groups until cancelled; after several errors in a row, leave it to others."""
        try:
            await self._async_watch_groups()
        except Exception:
            self._failures += 1
            if self._failures >= MAX_SUPERVISOR_FAILURES:
                self._failures = 0
                await self._promotion_lease.async_yield()
            raise

    async def _async_watch_groups(self) -> None:
        """Check the groups and start changes of their primaries until cancelled."""
        check_all_ms = 0
        while True:
            await asyncio.sleep(TICK_MS / 1000)
            if not self._promotion_lease.is_held():
                check_all_ms = 0
                self._check_failures.restart()
                continue
            now_ms = self._app.clock.now_ms()
            check_all = now_ms >= check_all_ms
            if check_all:
                check_all_ms = now_ms + SUPERVISION_INTERVAL_MS
            self._check_groups(check_all=check_all)
            self._failures = 0
            if self._check_failures.is_due() and self._may_yield():
                self._check_failures.note_yield()
                await self._promotion_lease.async_yield()

    def _may_yield(self) -> bool:
        """Return whether another node can take over, and no change is interrupted by that."""
        is_changing = any(not task.done() for task in self._running.values())
        return self._promotion_lease.has_other_candidates() and not is_changing

    def _check_groups(self, *, check_all: bool) -> None:
        for group in list(self._directory.groups.values()):
            if not check_all and not group.evidence_changed:
                continue
            if not run_guarded(self._app, "check", self._check, group, service=group.service):
                self._check_failures.note_failure(group.service)

    async def async_keep_house(self) -> None:
        """Keep the list of nodes that changes wait for, beside the checks, until cancelled."""
        while True:
            await asyncio.sleep(SUPERVISION_INTERVAL_MS / 1000)
            if self._promotion_lease.is_held():
                await self._async_keep_guarded(self._async_forget_removed_nodes)
                await self._async_keep_guarded(self._async_keep_lost_nodes)

    async def _async_keep_guarded(self, step: Callable[[], Coroutine[Any, Any, None]]) -> None:
        try:
            await step()
        except Exception as error:
            report_failure(self._app, "house_keeping", error)

    async def _async_forget_removed_nodes(self) -> None:
        """Stop waiting for nodes that have been unregistered for a long time."""
        keys = [PRESENCE_PREFIX + name for name in self._directory.find_removed_nodes()]
        items = [self._directory.store_copy.items.get(key) for key in keys]
        # A node that registers again meanwhile keeps its key.
        expected = {item.key: item.revision for item in items if item is not None}
        if expected:
            await self._store.async_commit(expected, [], list(expected))

    async def _async_keep_lost_nodes(self) -> None:
        """Let nodes that start later wait for those whose keys are lost, and not for ended ones."""
        keys = [PRESENCE_PREFIX + name for name in self._directory.find_lost_nodes()]
        if keys:
            writes = [Write(key=key, value=b"") for key in keys]
            await self._store.async_commit(dict.fromkeys(keys, 0), writes)
        returned = self._directory.find_returned_nodes()
        if returned:
            await self._store.async_commit(returned, [], list(returned))

    def _check(self, group: Group) -> None:
        """Start a change of the primary of a group if there is a reason and none is running."""
        running = self._running.get(group.service)
        if running is not None and not running.done():
            return
        group.evidence_changed = False
        record = group.primary_lease.record
        reason = self._find_change_reason(group, record)
        if record is not None and not self._directory.is_record_listed(group.service):
            # Another writer may have overwritten a later record that this node has not seen.
            reason = Reason.RESTORED
        if reason is not Reason.NONE:
            self._run(group, partial(self._async_change, group, reason))
        elif is_leadership_denied(record, group.primary_lease.members):
            self._run(group, partial(self._async_verify_leadership, group))
        elif record is not None and self._acknowledging.is_outdated(group, record):
            self._run(group, partial(self._async_update_acknowledging, group, record))
        else:
            self._check_failures.note_success(group.service)

    def _run(self, group: Group, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        guarded = self._async_guard(group, run)
        self._running[group.service] = asyncio.get_running_loop().create_task(guarded)

    async def _async_guard(
        self, group: Group, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Delay the next change after an unexpected error; it is resumed from the group record."""
        try:
            await run()
        except Exception as error:
            report_failure(self._app, "change", error, service=group.service)
            self._check_failures.note_failure(group.service)
            await asyncio.sleep(TASK_RETRY_MAX_MS / 1000)
        else:
            self._check_failures.note_success(group.service)

    async def _async_verify_leadership(self, group: Group) -> None:
        """Replace the primary if it answers that it does not lead, which ends all writes."""
        pool = group.primary_pool()
        answered = await group.control(pool).async_status() if pool is not None else None
        if answered is not None and not answered.status.is_primary:
            await self._async_change(group, Reason.DEMOTED)

    async def _async_update_acknowledging(self, group: Group, record: GroupRecord) -> None:
        """Record whose receipt may have acknowledged commits, as far as that is known by now."""
        processes = await self._acknowledging.async_find(group, record)
        if processes == record.acknowledging or record != group.primary_lease.record:
            return
        try:
            await self._async_write(group, replace(record, acknowledging=processes))
        except StepFailedError as fault:
            self._app.events.write(CHANGE_FAILED, service=group.service, step=str(fault))

    def close(self) -> None:
        """Cancel all changes; another holder resumes them."""
        for task in self._running.values():
            task.cancel()

    def _find_change_reason(self, group: Group, record: GroupRecord | None) -> Reason:
        primary = record.primary if record is not None else ""
        suspecting = {
            node
            for node, member in self._directory.suspicions.get(group.service, {}).items()
            if member == primary
        }
        if group.suspected and group.suspected == primary:
            suspecting.add(self._promotion_lease.node)
        # Without a suspicion it does not matter how many nodes watch the primary.
        watching = group.find_direct_nodes(primary) if suspecting else frozenset[str]()
        return find_change_reason(
            record,
            Evidence(
                era=self._directory.store_copy.era,
                members=group.primary_lease.members,
                suspecting_nodes=len(suspecting & watching),
                watching_nodes=max(1, len(watching)),
                discovery_settled=self._directory.is_discovery_settled(),
                primary_unreadable=group.is_unreadable_for(primary, UNREADABLE_MEMBER_MS),
            ),
        )

    async def _async_change(self, group: Group, reason: Reason) -> None:
        self._app.events.write(
            CHANGE_STARTED,
            service=group.service,
            reason=reason.value,
            primary=group.primary_lease.record.primary if group.primary_lease.record else "",
            fence=self._promotion_lease.fence(),
        )
        try:
            await self._async_run_steps(group, reason)
        except MembersAwaitedError as fault:
            self._app.events.write(CHANGE_FAILED, service=group.service, step=str(fault))
            await self._async_note_awaited(group, fault.awaited)
            await asyncio.sleep(PROMOTION_RETRY_MS / 1000)
        except StepFailedError as fault:
            self._app.events.write(CHANGE_FAILED, service=group.service, step=str(fault))
            await asyncio.sleep(PROMOTION_RETRY_MS / 1000)
        finally:
            group.evidence_changed = True

    async def _async_run_steps(self, group: Group, reason: Reason) -> None:
        record = group.primary_lease.record
        if record is None:
            await self._async_adopt(group)
            return
        if reason is Reason.RESTORED:
            record = await self._async_renew_record(group, record)
            if record.primary:
                return
        if record.primary and not record.promoted:
            await self._async_promote(group, record)
            return
        if reason in (Reason.DRAINING, Reason.UNREADABLE):
            record = await self._async_announce(group, record)
        if record.primary:
            term = await self._async_newest_term(group, record) + 1
            record = await self._async_write(
                group, _build_vacant_record(record, max(term, record.held_term))
            )
        final_position = await self._async_stop_previous(group, record)
        paused: dict[str, MemberStatus] = {}
        if final_position is None:
            paused = await self._async_pause_majority(group, record)
            await self._async_end_leases(group, record, paused, stepped_down=False)
            succession = await self._successor_search.async_find(group, record, paused, None)
        else:
            succession = await self._successor_search.async_find(
                group, record, paused, final_position
            )
            # Until the successor leads, the previous primary would lead again after a restart.
            paused = await async_ask_members(group, record.previous, _build_pause(record))
            self._note_paused(group, record)
            await self._async_end_leases(group, record, paused, stepped_down=True)
        assigned = await self._async_assign(group, record, succession)
        await self._async_promote(group, assigned)

    async def _async_note_awaited(self, group: Group, awaited: frozenset[str]) -> None:
        """Let all nodes know that no primary can be chosen until members answer."""
        record = group.primary_lease.record
        unheard = tuple(sorted(awaited))
        is_vacant = record is not None and not record.primary
        if record is None or not is_vacant or record.unheard == unheard:
            return
        try:
            await self._async_write(group, replace(record, unheard=unheard))
        except StepFailedError as fault:
            self._app.events.write(CHANGE_FAILED, service=group.service, step=str(fault))

    async def _async_announce(self, group: Group, record: GroupRecord) -> GroupRecord:
        """Announce that the primary will be stopped, and wait until all nodes know it.

        They use it meanwhile, and will not discard what is unanswered there. An earlier holder may
        have announced it; the wait starts when this node learned of that.
        """
        if not record.ending:
            record = await self._async_write(group, replace(record, ending=True))
        known_ms = PRIMARY_LEASE_MS + PRIMARY_LEASE_MARGIN_MS
        await asyncio.sleep(max(0, known_ms - group.ending_for_ms()) / 1000)
        return record

    async def _async_adopt(self, group: Group) -> None:
        """Write the first record, with the only member that claims to be the primary."""
        primary = find_first_primary(group.primary_lease.members.values())
        if not primary:
            raise StepFailedError("no single primary to adopt")
        statuses = await async_ask_members(group, "")
        if find_reported_primary(statuses, len(group.primary_lease.members) // 2 + 1) != primary:
            raise StepFailedError("a majority of the members does not report this primary")
        # Other nodes may know later records than the store lists.
        epoch = self._directory.find_acknowledged_epoch(group.service)
        await self._async_write(
            group,
            GroupRecord(
                service=group.service,
                primary=primary,
                epoch=epoch + 2 if epoch else 1,
                held_term=statuses[primary].term,
                era=self._directory.store_copy.era,
            ),
        )

    async def _async_renew_record(self, group: Group, record: GroupRecord) -> GroupRecord:
        """Write the record for the era of the store.

        It names the primary that the members report, unless that is lost or drains. No node uses
        a record of this era yet, so a change needs no announcement.
        """
        current = await self._async_find_renewed(group, record)
        if current is not None and self._find_change_reason(group, current) is Reason.NONE:
            await self._async_wait_until_sole_holder()
            current = await self._async_find_renewed(group, record)
            if current is not None:
                return await self._async_write(group, current)
        if current is None:
            current = replace(record, era=self._directory.store_copy.era)
        if self._find_change_reason(group, current) is Reason.NONE:
            raise StepFailedError("a majority of the members reports no primary")
        term = await self._async_newest_term(group, current) + 1
        vacant = _build_vacant_record(current, max(term, current.held_term))
        return await self._async_write(
            group, replace(vacant, previous=current.primary or current.previous)
        )

    async def _async_find_renewed(self, group: Group, record: GroupRecord) -> GroupRecord | None:
        statuses = await async_ask_members(group, "")
        era = self._directory.store_copy.era
        return renew_record(record, era, statuses, len(group.primary_lease.members))

    async def _async_end_leases(
        self,
        group: Group,
        record: GroupRecord,
        paused: Mapping[str, MemberStatus],
        *,
        stepped_down: bool,
    ) -> None:
        """Wait until no node can still use the previous primary; fail if one without the store may.

        `paused` are the members that have answered PAUSE.
        """
        if not await self._async_wait_stopped(group, record, stepped_down=stepped_down):
            paused = await self._async_check_pause(group, record, paused)
        self._check_lapsed_members(group, record, paused)

    async def _async_wait_stopped(
        self, group: Group, record: GroupRecord, *, stepped_down: bool
    ) -> bool:
        """Wait until no node can still use the previous primary.

        Returns whether all nodes have acknowledged that. Otherwise their leases have ended, if a
        majority of the members has been paused all the while.

        A refused connection does not prove that it has stopped: a partition may refuse connections
        too, and the nodes on its side use it until their leases end.
        """
        started_ms = self._app.clock.now_ms()
        until_ms = started_ms + PRIMARY_LEASE_MS + PRIMARY_LEASE_MARGIN_MS
        proof = "leases_ended"
        revision = self._directory.group_revision(group.service)
        while self._app.clock.now_ms() < until_ms:
            if self._directory.all_stopped(record, revision):
                proof = "acknowledged"
                break
            await asyncio.sleep(PROMOTION_POLL_MS / 1000)
        pending = self._directory.find_unacknowledged(record)
        self._app.events.write(
            PREVIOUS_PRIMARY_STOPPED,
            service=group.service,
            previous=record.previous,
            epoch=record.epoch,
            proof=proof,
            stepped_down=stepped_down,
            waited_ms=self._app.clock.now_ms() - started_ms,
            awaited=len(self._directory.present.union(self._directory.nodes)),
            unacknowledged=len(pending),
            nodes=" ".join(sorted(pending)[:MAX_LOGGED_NODES]),
        )
        return proof == "acknowledged"

    async def _async_stop_previous(self, group: Group, record: GroupRecord) -> LogPosition | None:
        """Make the previous primary a replica; return its last position, None if uncertain."""
        pool = group.pools.get(record.previous)
        if pool is None or not group.control(pool).is_usable():
            return None
        answered = await group.control(pool).async_status()
        if answered is None:
            return None
        status = answered.status
        if status.is_primary:
            # The next holder may have made it the primary again.
            if not self._promotion_lease.is_held():
                raise StepFailedError("the promotion lease was lost")
            stopped = await group.control(pool).async_status(
                Statement(kind=StatementKind.STEP_DOWN, term=max(record.held_term, status.term + 1))
            )
            if stopped is None or stopped.status.is_primary:
                return None
            status = stopped.status
        elif status.held_term < record.held_term and status.term < record.held_term:
            return None
        return status.received

    async def _async_newest_term(self, group: Group, record: GroupRecord) -> int:
        """Return the newest term that is known to this node or to a replica."""
        known = group.watermarks.newest()
        statuses = await async_ask_members(group, record.primary)
        terms = [max(status.term, status.held_term) for status in statuses.values()]
        return max([*terms, known.term if known is not None else 0, record.held_term])

    async def _async_pause_majority(
        self, group: Group, record: GroupRecord
    ) -> dict[str, MemberStatus]:
        """Pause the replicas for the new term, so that they receive no more log entries.

        Nodes that cannot reach the store may hold the primary lease by the reports of a majority of
        the members. They cannot renew it once one of these members reports the pause. At least a
        majority must therefore answer.
        """
        statuses = await async_ask_members(group, record.previous, _build_pause(record))
        self._note_paused(group, record)
        statuses = await async_stop_leaders(group, record, statuses)
        if not is_majority_paused(statuses, group.primary_lease.members, record.previous):
            raise StepFailedError("no majority of the members can be paused")
        return statuses

    def _note_paused(self, group: Group, record: GroupRecord) -> None:
        """Note that members are paused for a record without a primary at least from now on."""
        resume_ms = self._app.clock.now_ms() + MIN_PAUSE_MS
        self._resume_after_ms[group.service] = (record.version(), resume_ms)

    async def _async_check_pause(
        self, group: Group, record: GroupRecord, paused: Mapping[str, MemberStatus]
    ) -> dict[str, MemberStatus]:
        """Return the members that are still paused; fail if they are no majority.

        A member that restarts forgets the pause, and a node without the store that has not asked it
        meanwhile would count it for the previous primary. One that is paused now has been so since
        it was told, for longer than any node counts a member between two reports. Members that do
        not answer are asked again for up to `CATCH_UP_TIMEOUT_MS`.
        """
        until_ms = self._app.clock.now_ms() + CATCH_UP_TIMEOUT_MS
        lasting: dict[str, MemberStatus] = {}
        while True:
            statuses = await async_ask_members(group, record.previous)
            lasting |= {
                member_id: status
                for member_id, status in statuses.items()
                if member_id in paused and max(status.held_term, status.term) >= record.held_term
            }
            if is_majority_paused(lasting, group.primary_lease.members, record.previous):
                return lasting
            has_answers = paused.keys() <= statuses.keys()
            if has_answers or self._app.clock.now_ms() >= until_ms:
                raise StepFailedError("no majority of the members has stayed paused")
            await asyncio.sleep(PROMOTION_POLL_MS / 1000)

    def _check_lapsed_members(
        self, group: Group, record: GroupRecord, paused: Mapping[str, MemberStatus]
    ) -> None:
        """Fail if a node without the store may see a majority of members that are not paused."""
        counted = group.find_counted_members()
        if not group.knows_members_of(record.previous):
            may_see_others = bool(self._directory.find_unacknowledged(record))
        else:
            may_see_others = not is_majority_paused(
                paused, counted, record.previous
            ) and self._directory.may_be_without_store(record)
        if may_see_others:
            raise StepFailedError("a majority of the members may be cut off from the store")

    async def _async_assign(
        self, group: Group, record: GroupRecord, succession: Succession
    ) -> GroupRecord:
        """Name the successor in the record, and members whose newer commits may be lost with it."""
        unheard = tuple(sorted(succession.awaited))
        assigned = await self._async_write(
            group,
            replace(
                record,
                primary=succession.successor,
                epoch=record.epoch + 1,
                floor=succession.received,
                complete=succession.complete,
                unheard=unheard,
            ),
        )
        if unheard:
            self._app.events.write(
                COMMITS_MAY_BE_LOST,
                service=group.service,
                member=succession.successor,
                received=_format_position(succession.received),
                known=_format_position(group.watermarks.newest()),
                unheard=" ".join(unheard[:MAX_LOGGED_NODES]),
                waited_ms=group.vacant_for_ms(),
            )
        return assigned

    async def _async_promote(self, group: Group, record: GroupRecord) -> None:
        """Order the promotion of the successor in the record, and wait until it leads.

        An order without an answer, also one of an earlier holder, may take effect after another
        member leads. The successor is therefore ordered again until the platform has answered, and
        given up only then; an order for a member that leads already changes nothing.
        """
        until_ms = self._app.clock.now_ms() + PROMOTION_TIMEOUT_MS
        pool = group.pools.get(record.primary)
        ordered = False
        while self._app.clock.now_ms() < until_ms:
            if not ordered:
                ordered = await self._async_request_promotion(group, record)
            answered = await group.control(pool).async_status() if pool is not None else None
            if answered is not None and answered.status.is_primary:
                await self._async_complete(group, record, answered.status.term)
                return
            if answered is None and (term := _find_own_term(group, record)) is not None:
                await self._async_complete(group, record, term)
                return
            if pool is None or (answered is None and group.control(pool).is_lost()):
                break
            await asyncio.sleep(PROMOTION_POLL_MS / 1000)
        if not ordered:
            raise StepFailedError("the platform has not answered the order")
        await self._async_withdraw_successor(group, record)
        raise StepFailedError("the successor does not lead")

    async def _async_request_promotion(self, group: Group, record: GroupRecord) -> bool:
        await self._async_wait_until_sole_holder()
        fence = self._promotion_lease.fence()
        result = await self._promotion_client.async_promote(
            group.service,
            record.primary,
            self._promotion_lease.node,
            fence,
            partial(self._promotion_lease.find_order_time_left_ms, fence),
        )
        self._app.events.write(
            CHANGE_ORDERED,
            service=group.service,
            member=record.primary,
            fence=fence,
            outcome="accepted" if isinstance(result, Ok) else result.err_value.value,
        )
        if isinstance(result, Err) and result.err_value is StoreFault.CONFLICT:
            await self._async_withdraw_successor(group, record)
            raise StepFailedError("the successor does not run")
        return isinstance(result, Ok)

    async def _async_wait_until_sole_holder(self) -> None:
        """Wait until no earlier holder of the promotion lease can still order."""
        while not self._promotion_lease.may_promote():
            if not self._promotion_lease.is_held():
                raise StepFailedError("the promotion lease was lost")
            await asyncio.sleep(PROMOTION_POLL_MS / 1000)

    async def _async_complete(self, group: Group, record: GroupRecord, term: int) -> None:
        """Let the other members follow the successor, and record that it leads `term`.

        A member that is resumed no longer tells of the pause. While a node may not know of the
        change, the pause therefore lasts long enough to be noticed by all that may use reports.
        """
        vacant = replace(record, epoch=record.epoch - 1)
        if self._resume_after_ms.get(group.service, ((0, 0), 0))[0] != vacant.version():
            self._note_paused(group, vacant)
        _, resume_ms = self._resume_after_ms[group.service]
        while self._app.clock.now_ms() < resume_ms:
            if not self._directory.find_unacknowledged(vacant):
                break
            if not record.complete:
                record = await self._async_write(group, replace(record, complete=True))
            await asyncio.sleep(PROMOTION_POLL_MS / 1000)
        others = [pool for member_id, pool in group.pools.items() if member_id != record.primary]
        await asyncio.gather(
            *(
                group.control(pool).async_status(Statement(kind=StatementKind.RESUME))
                for pool in others
            )
        )
        await self._async_write(group, replace(record, promoted=True, held_term=term))
        del self._resume_after_ms[group.service]

    async def _async_withdraw_successor(self, group: Group, record: GroupRecord) -> None:
        """Remove from the record a successor that is not known to lead.

        Its order may still take effect, and then it leads the term after all known ones. The
        members are therefore paused for a later term before another successor is ordered.
        """
        term = await self._async_newest_term(group, record) + 2
        await self._async_write(group, _build_vacant_record(record, term))

    async def _async_write(self, group: Group, record: GroupRecord) -> GroupRecord:
        """Write a group record, unless another node has changed it in the meantime."""
        if not self._promotion_lease.is_held():
            raise StepFailedError("the promotion lease was lost")
        if record.era != self._directory.store_copy.era:
            raise StepFailedError("the store has come back from an older copy")
        key = GROUPS_PREFIX + group.service
        value = dump_group(record)
        revision = self._directory.group_revision(group.service)
        written = await self._store.async_commit({key: revision}, [Write(key=key, value=value)])
        if isinstance(written, Err):
            raise StepFailedError(f"the record was not written: {written.err_value.value}")
        if written.ok_value.era != record.era:
            self._directory.store_copy.poll_now(direct=True)
            raise StepFailedError("the store has come back from an older copy")
        self._directory.learn_record(record, written.ok_value, value)
        self._directory.notify_all_nodes()
        return record


def _build_pause(record: GroupRecord) -> Statement:
    return Statement(kind=StatementKind.PAUSE, term=record.held_term)


def _build_vacant_record(record: GroupRecord, held_term: int) -> GroupRecord:
    """Return the record that follows `record` and names no primary."""
    return GroupRecord(
        service=record.service,
        primary="",
        epoch=record.epoch + 1,
        era=record.era,
        previous=record.primary,
        held_term=held_term,
        promoted=False,
        floor=record.floor,
        acknowledging=record.acknowledging,
    )


def _find_own_term(group: Group, record: GroupRecord) -> int | None:
    """Return the term in which the successor has written, None if it is not known to lead.

    A busy member may refuse each STATUS while it serves clients.
    """
    pool, floor = group.pools.get(record.primary), record.floor
    if pool is None or pool.position is None or floor is None:
        return None
    term = pool.position.term
    return term if term >= record.held_term and term > floor.term else None


def _format_position(position: LogPosition | None) -> str:
    return f"{position.term}.{position.index}" if position is not None else "-"
