"""Configuration, members, primaries and nodes, as read from the shared store."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from functools import partial
from random import Random
from typing import TypeVar

from burdockrun_base import Application
from burdockrun_groups import (
    KNOWN_MEMBERS_MS,
    PRIMARY_LEASE_MARGIN_MS,
    PRIMARY_LEASE_MS,
    Configuration,
    FleetLayout,
    GroupRecord,
    MemberEntry,
    NodeEntry,
    Route,
)
from result import Err, Result

from burdockrun_gateway.const import (
    ABSENT_NODE_KEPT_MS,
    ACKS_PREFIX,
    CONFIGURATION_IN_FORCE,
    DISCOVERY_SETTLE_MS,
    ENDED_NODE_KEPT_MS,
    GROUPS_PREFIX,
    LAPSED_PEER_MS,
    MAX_REMOVED_NODES,
    NODES_PREFIX,
    PRESENCE_PREFIX,
    PROMOTION_LEASE_KEY,
    SHARED_POSITION_WAIT_MS,
    START_WAIT_MS,
    SUSPECTS_PREFIX,
)
from burdockrun_gateway.failed_items import FailedItems
from burdockrun_gateway.group import Group
from burdockrun_gateway.ports import (
    ChangeNotifier,
    DocumentReader,
    Item,
    Listing,
    MemberConnector,
    OperationLimits,
    PeerCopyReader,
    SharedPosition,
    SharedStore,
    Written,
)
from burdockrun_gateway.records import load_ack, load_group, load_node, load_suspicion
from burdockrun_gateway.service_ranks import build_service_ranks
from burdockrun_gateway.signals import ChangeSignal
from burdockrun_gateway.store_copy import StoreCopy
from burdockrun_gateway.tasks import run_guarded
from burdockrun_gateway.unusable_values import UnusableValues

T = TypeVar("T")


class _PartFailedError(Exception):
    """A part of a configuration could not be applied."""


class Directory:
    """Keeps configuration, members, groups and nodes in sync with the shared store."""

    def __init__(
        self,
        app: Application,
        store: SharedStore,
        documents: DocumentReader,
        connector: MemberConnector,
        entry: NodeEntry,
        *,
        peer_copies: PeerCopyReader,
        change_notifier: ChangeNotifier,
        rng: Random,
        limits: OperationLimits | None = None,
        member_drain_ms: int = 0,
    ) -> None:
        self.limits = limits
        self._member_drain_ms = member_drain_ms
        self.configuration = Configuration()
        self.groups: dict[str, Group] = {}
        self.layout = FleetLayout(entry)
        self.nodes = self.layout.nodes
        # By service and reporting node, the member that the node cannot reach.
        self.suspicions: dict[str, dict[str, str]] = {}
        # Services for which the listed suspicion of this node has changed, until it is looked at.
        self.own_suspicions_changed: set[str] = set()
        self.changed = ChangeSignal()
        # Called with the previous and the new configuration when one comes into force.
        self.on_configuration: Callable[[Configuration, Configuration], None] = (
            lambda before, after: None
        )
        # Called with registrations that have changed, None for nodes that have left.
        self.on_nodes: Callable[[Mapping[str, NodeEntry | None]], None] = lambda changes: None
        self._app = app
        self._documents = documents
        self._connector = connector
        self._unusable = UnusableValues(
            app,
            (
                documents.configuration_key,
                documents.members_prefix,
                GROUPS_PREFIX,
                NODES_PREFIX,
                PRESENCE_PREFIX,
                SUSPECTS_PREFIX,
            ),
        )
        self._domain = entry.domain
        self._rng = rng
        self._members: dict[str, MemberEntry] = {}
        self._members_by_service: dict[str, dict[str, MemberEntry]] = {}
        self._changed_services: set[str] = set()
        # Members whose entries disappeared or became older around an outage of the store; they are
        # expected to write them again soon.
        self._unsettled: set[str] = set()
        # Groups whose known records are not those that the store lists: another writer has changed
        # them, or their handling has failed.
        self._unlisted_records: set[str] = set()
        self._change_notifier = change_notifier
        self._node = entry.node
        self._started_ms = app.clock.now_ms()
        self._node_key = NODES_PREFIX + entry.node
        self.last_node_left_ms = app.clock.now_ms()
        # Nodes that have started and not ended, whether they are registered or not. A key that is
        # missing when the store comes back older does not say that its node has ended.
        self.present: set[str] = set()
        self._is_returning = False
        # Era and revision of the first registration of this process in that era.
        self._registered: tuple[int, int] | None = None
        # Revisions of the keys in `present`, and those of nodes that ended lately, with the time.
        self._presence_revisions: dict[str, int] = {}
        self._ended: dict[str, tuple[int, int]] = {}
        self._absent_since_ms: dict[str, int] = {}
        # Addresses of nodes whose registrations have lapsed, and when.
        self._lapsed_hosts: dict[str, int] = {}
        self._planned_without_nodes = False
        # Nodes that have followed this copy up to the last poll. A change of the layout may have
        # been the last one that they learn from here.
        self._followers: tuple[NodeEntry, ...] = ()
        self._failed_items = FailedItems(app.clock)
        # The newest configuration that has been applied in all its parts.
        self._applied = self.configuration

        self.store_copy = StoreCopy(
            app,
            store,
            peer_copies=peer_copies,
            rng=rng,
            on_change=self._handle_items,
            on_confirmed=self._handle_confirmed,
            on_positions=self._learn_positions,
            on_restored=self._handle_restored,
            on_listed=self._failed_items.allow_again,
            on_missed=self._handle_missed,
        )

    def handle_change_notification(self, host: str) -> None:
        """Poll the store at once when a registered node reports a change."""
        if self.is_peer(host):
            self.store_copy.poll_now()

    def notify_all_nodes(self) -> None:
        """Notify all other nodes that the store has changed."""
        self._notify(entry for name, entry in self.nodes.items() if name != self._node)
        self.store_copy.poll_now()

    def notify_lease_holder(self) -> None:
        """Notify the holder of the promotion lease that the store has changed."""
        item = self.promotion_lease_item()
        name = item.value.decode(errors="replace") if item is not None and item.value else ""
        holder = self.nodes.get(name)
        if holder is not None:
            self._notify([holder])

    def _notify(self, entries: Iterable[NodeEntry]) -> None:
        self._change_notifier.send([(entry.host, entry.port) for entry in entries if entry.port])

    def find_route(self, database: str) -> Route | None:
        """Return the route of a database name."""
        return self.configuration.routes.get(database)

    def find_group(self, service: str) -> Group | None:
        """Return the group of a service."""
        return self.groups.get(service)

    def idle_transaction_ms(self) -> int:
        """Return how long a transaction may stay idle."""
        return self.configuration.idle_transaction_ms

    def is_loaded(self) -> bool:
        """Return whether a configuration, members and primaries are known."""
        return self.configuration.version > 0 and self.store_copy.loaded

    def is_ready_for(self, database: str) -> bool:
        """Return whether a new session of a database need not wait for its primary.

        Waiting is of no use when the database is unknown, or when the next attempt to connect to
        the primary is delayed.
        """
        if self.configuration.version == 0:
            return False
        route = self.find_route(database)
        group = self.find_group(route.service) if route is not None else None
        pool = group.primary_pool() if group is not None else None
        if group is None or pool is None:
            return route is None
        return pool.is_usable() or pool.is_backing_off()

    def is_discovery_settled(self) -> bool:
        """Return whether members that are missing from discovery can be assumed to have stopped.

        Entries may lapse during an outage of the store; live members write them again after it.
        """
        copy = self.store_copy
        if copy.failed_ms is None and copy.restored_ms is None:
            return copy.loaded
        returned_ms = max(copy.failed_ms or 0, copy.restored_ms or 0)
        return (
            copy.loaded
            and copy.confirmed_ms is not None
            and copy.confirmed_ms >= returned_ms + DISCOVERY_SETTLE_MS
        )

    def tick(self) -> None:
        """Drop members that have not registered again after an outage of the store.

        Older entries that were not written again are believed then. If no registered node is known
        after the startup, also plan connections for this node alone.
        """
        if not self._planned_without_nodes and self._is_startup_complete():
            self._planned_without_nodes = True
            if not self.nodes:
                self.layout.assume_alone()
        self._retry_failed_items()
        if self._unsettled and self.is_discovery_settled():
            unsettled, self._unsettled = self._unsettled, set()
            for member_id in unsettled:
                key = self._documents.members_prefix + member_id
                self._learn_member(
                    member_id, self.store_copy.items.get(key, Item(key=key, revision=0))
                )
            self._update_group_members()
            self.changed.notify()

    def group_revision(self, service: str) -> int:
        """Return the revision of a group's record, 0 when there is none."""
        item = self.store_copy.items.get(GROUPS_PREFIX + service)
        return item.revision if item is not None else 0

    def is_record_listed(self, service: str) -> bool:
        """Return whether the store lists the record of a group that this node knows."""
        return service not in self._unlisted_records

    def is_synchronous(self, service: str) -> bool:
        """Return whether each acknowledged commit of a service is in the log of some replica."""
        limits = self.configuration.services.get(service)
        return limits is not None and limits.synchronous

    def find_acknowledged_epoch(self, service: str) -> int:
        """Return the newest epoch of a group that a node has acknowledged in this era, or 0."""
        prefix, era = f"{ACKS_PREFIX}{service}/", self.store_copy.era
        acks = (
            load_ack(item.value)
            for item in self.store_copy.items.values()
            if item.key.startswith(prefix) and item.value is not None
        )
        return max((epoch for ack_era, epoch in acks if ack_era == era), default=0)

    def promotion_lease_item(self) -> Item | None:
        """Return the key of the promotion lease, None when nobody holds it."""
        return self.store_copy.items.get(PROMOTION_LEASE_KEY)

    def close(self) -> None:
        """Close all connections to members."""
        for group in self.groups.values():
            group.close()

    def _handle_missed(self) -> None:
        """Assume that a node has registered and left among the changes that are not known."""
        self.last_node_left_ms = self._app.clock.now_ms()

    def _handle_restored(self) -> None:
        """Assume that registrations are missing which the store had before it came back older."""
        self.last_node_left_ms = self._app.clock.now_ms()
        self._is_returning = True
        for group in self.groups.values():
            group.evidence_changed = True

    def _handle_items(self, items: list[Item]) -> None:
        nodes: dict[str, NodeEntry | None] = {}
        for item in items:
            self._learn_guarded(item, nodes)
        if nodes and not run_guarded(self._app, "nodes", self._update_nodes, nodes):
            for item in items:
                if item.key.startswith(NODES_PREFIX):
                    self._failed_items.note_failure(item, is_returning=self._is_returning)
        self._is_returning = False
        self._update_group_members()
        self.changed.notify()

    def _learn_guarded(self, item: Item, nodes: dict[str, NodeEntry | None]) -> None:
        """Apply an item; one that raises does not stop the others, and is applied again later."""
        if run_guarded(self._app, "store_item", self._learn_item, item, nodes, key=item.key):
            self._failed_items.forget(item.key)
        else:
            self._failed_items.note_failure(item, is_returning=self._is_returning)

    def _retry_failed_items(self) -> None:
        """Handle items again that have failed, each for itself."""
        is_returning = self._is_returning
        for failed in self._failed_items.list_due():
            self._is_returning = failed.is_returning
            try:
                self._handle_items([failed.item])
            finally:
                self._is_returning = is_returning

    def _learn_item(self, item: Item, nodes: dict[str, NodeEntry | None]) -> None:
        """Apply an item; registrations of nodes are added to `nodes`."""
        members_prefix = self._documents.members_prefix
        if item.value is None:
            self._unusable.clear(item.key)
        if item.key == self._documents.configuration_key:
            self._learn_configuration(item)
        elif item.key.startswith(members_prefix):
            self._learn_member(item.key.removeprefix(members_prefix), item)
        elif item.key.startswith(NODES_PREFIX):
            self._learn_node(item, nodes)
        else:
            self._learn_gateway_item(item)

    def _accept(self, item: Item, decoded: Result[T, str]) -> T | None:
        """Return the decoded value of an item, None if it cannot be used."""
        if isinstance(decoded, Err):
            self._unusable.note(item.key, decoded.err_value)
            return None
        self._unusable.clear(item.key)
        return decoded.ok_value

    def _update_nodes(self, nodes: dict[str, NodeEntry | None]) -> None:
        self.layout.update(nodes)
        self.store_copy.copy_sources.entries = self.layout.copy_sources
        self.store_copy.substitutes.entries = self.layout.substitutes
        self.on_nodes(nodes)

    def _learn_configuration(self, item: Item) -> None:
        if item.value is None:
            return
        configuration = self._accept(item, self._documents.read_configuration(item.value))
        if configuration is not None:
            self._put_in_force(configuration)

    def _put_in_force(self, configuration: Configuration) -> None:
        """Apply a configuration, also again if a part of it has failed; raise if one fails."""
        if configuration.version <= self._applied.version:
            return
        if configuration.version < self.configuration.version:
            return
        if configuration.version > self.configuration.version:
            self._app.events.write(
                CONFIGURATION_IN_FORCE,
                version=configuration.version,
                routes=len(configuration.routes),
            )
        self.configuration = configuration
        has_accounts = configuration.accounts is not None
        failed = [
            service
            for service, limits in configuration.services.items()
            if not run_guarded(
                self._app,
                "service",
                self._set_limit,
                service,
                limits.max_connections,
                has_accounts,
                service=service,
            )
        ]
        self._set_ranks(configuration)
        self.on_configuration(self._applied, configuration)
        if failed:
            raise _PartFailedError(" ".join(failed))
        self._applied = configuration

    def _set_limit(self, service: str, max_connections: int, has_accounts: bool) -> None:
        group = self.groups.get(service)
        if group is None:
            self._add_group(service, max_connections)
        else:
            group.set_limit(max_connections, by_account=has_accounts)

    def _set_ranks(self, configuration: Configuration) -> None:
        """Give each group the ranks of the routes that lead to its service."""
        lowest_ranks: dict[str, int] = {}
        for route in configuration.routes.values():
            lowest_ranks[route.service] = max(lowest_ranks.get(route.service, 0), route.rank)
        for service, group in self.groups.items():
            group.lowest_rank = lowest_ranks.get(service, 0)
        routes: dict[str, list[Route]] = {}
        for route in configuration.routes.values():
            routes.setdefault(route.service, []).append(route)
        for service, group in self.groups.items():
            group.set_ranks(build_service_ranks(routes.get(service, [])))

    def _add_group(self, service: str, max_connections: int) -> None:
        group = Group(
            self._app,
            service,
            self._domain,
            self._connector,
            layout=self.layout,
            max_connections=max_connections,
            by_account=self.configuration.accounts is not None,
            rng=self._rng,
            limits=self.limits,
            member_drain_ms=self._member_drain_ms,
        )
        group.primary_lease.may_use_reports = self._is_awaited()
        self.groups[service] = group
        self._changed_services.add(service)
        item = self.store_copy.items.get(GROUPS_PREFIX + service)
        if item is not None:
            self._learn_guarded(item, {})

    def _learn_member(self, member_id: str, item: Item) -> None:
        self._unsettled.discard(member_id)
        known = self._members.get(member_id)
        entry: MemberEntry | None = None
        if item.value is not None:
            entry = self._accept(item, self._documents.read_member(member_id, item.value))
            if entry is None:
                # It does not say that a known member has ended.
                if known is not None:
                    self._set_member(member_id, replace(known, unreadable=True))
                return
        is_lost = known is not None and (entry is None or entry.precedes(known))
        if known is not None and is_lost and not self.is_discovery_settled():
            self._unsettled.add(member_id)
            self._set_member(
                member_id, replace(known, unreadable=entry is None and known.unreadable)
            )
        else:
            self._set_member(member_id, entry)

    def _set_member(self, member_id: str, entry: MemberEntry | None) -> None:
        known = self._members.pop(member_id, None)
        if entry is not None:
            self._members[member_id] = entry
        if known == entry:
            return
        if known is not None:
            del self._members_by_service[known.service][member_id]
            self._changed_services.add(known.service)
        if entry is not None:
            self._members_by_service.setdefault(entry.service, {})[member_id] = entry
            self._changed_services.add(entry.service)

    def count_members(self) -> int:
        """Return how many members are known."""
        return len(self._members)

    def _update_group_members(self) -> None:
        """Give the members that have changed to their groups."""
        changed, self._changed_services = self._changed_services, set()
        for service in sorted(changed):
            group = self.groups.get(service)
            members = dict(self._members_by_service.get(service, {}))
            if group is None:
                continue
            if not run_guarded(self._app, "members", group.set_members, members, service=service):
                self._changed_services.add(service)

    def _is_startup_complete(self) -> bool:
        return self._app.clock.now_ms() >= self._started_ms + START_WAIT_MS

    def is_peer(self, host: str) -> bool:
        """Return whether a registered node has this address, or one that the store has lost.

        A node that the store turns away for a while cannot renew its registration. It still serves
        its clients through homes. A node that has announced its end is not known any more.
        """
        if self.layout.has_host(host):
            return True
        lapsed_ms = self._lapsed_hosts.get(host)
        return lapsed_ms is not None and self._app.clock.now_ms() < lapsed_ms + LAPSED_PEER_MS

    def _learn_gateway_item(self, item: Item) -> None:
        """Apply an item that a gateway has written."""
        if item.key.startswith(GROUPS_PREFIX):
            self._learn_group(item)
        elif item.key.startswith(SUSPECTS_PREFIX):
            self._learn_suspicion(item)
        elif item.key.startswith(PRESENCE_PREFIX):
            self._learn_presence(item)

    def _learn_group(self, item: Item) -> None:
        service = item.key.removeprefix(GROUPS_PREFIX)
        group = self.groups.get(service)
        if group is None:
            return
        group.evidence_changed = True
        self._unlisted_records.add(service)
        if item.value is None:
            return
        record = self._accept(item, load_group(service, item.value))
        if record is not None:
            group.set_record(record)
            if group.primary_lease.record == record:
                self._unlisted_records.discard(service)

    def learn_record(self, record: GroupRecord, written: Written, value: bytes) -> None:
        """Apply a group record that this node has written itself."""
        key = GROUPS_PREFIX + record.service
        item = Item(key=key, revision=written.revision, value=value)
        self.store_copy.note_written(item, written.era)
        group = self.groups.get(record.service)
        if group is not None:
            group.set_record(record)
            self._unlisted_records.discard(record.service)

    def _learn_node(self, item: Item, nodes: dict[str, NodeEntry | None]) -> None:
        """Add the registration of a node to `nodes`, None if the node has left."""
        name = item.key.removeprefix(NODES_PREFIX)
        if item.value is None:
            nodes[name] = None
            self._note_node_left(name)
            return
        entry = self._accept(item, load_node(item.value))
        if entry is not None:
            nodes[name] = entry
            self._absent_since_ms.pop(name, None)

    def _learn_presence(self, item: Item) -> None:
        name = item.key.removeprefix(PRESENCE_PREFIX)
        if item.value is None:
            if not self._is_returning:
                self._note_node_ended(name)
        elif not self._was_written_by_node(item):
            return
        elif not self._is_returning or self._ended.get(name, (0, 0))[0] != item.revision:
            self.present.add(name)
            self._presence_revisions[name] = item.revision
            self._ended.pop(name, None)
        if name == self._node:
            self._update_use_of_reports()

    def note_registered(self, revision: int, era: int) -> None:
        """Note that the store has registered this process, with its key in `present`."""
        if self._registered is None or self._registered[0] != era:
            self._registered = (era, revision)
        self._update_use_of_reports()

    def _update_use_of_reports(self) -> None:
        for group in self.groups.values():
            group.primary_lease.may_use_reports = self._is_awaited()

    def _is_awaited(self) -> bool:
        """Return whether changes of primaries wait for this process also without a registration.

        A key in `present` of an earlier process may be removed by the last call of that one, which
        may be executed late. Changes before the own key was written did not wait for this process,
        so the copy must have them. In a later era of the store, the key is written again by others.
        """
        if self._node not in self.present or self._registered is None:
            return False
        era, revision = self._registered
        is_own = self._presence_revisions.get(self._node, 0) >= revision
        return (is_own and revision <= self.store_copy.as_of) or era < self.store_copy.era

    def _was_written_by_node(self, item: Item) -> bool:
        """Return whether a node may have written a key in `present`; nodes leave it empty.

        A key that another writer has only overwritten says nothing about its node, which may hold a
        primary lease. One that was created with a value has never been a node's.
        """
        if not item.value:
            self._unusable.clear(item.key)
            return True
        self._unusable.note(item.key, "the value must be empty")
        return item.created != item.revision

    def _note_node_ended(self, name: str) -> None:
        """Remember a node that has ended, since a copy of the store may bring its key back."""
        now_ms = self._app.clock.now_ms()
        self._ended = {
            known: (revision, ended_ms)
            for known, (revision, ended_ms) in self._ended.items()
            if now_ms < ended_ms + ENDED_NODE_KEPT_MS
        }
        self.present.discard(name)
        revision = self._presence_revisions.pop(name, None)
        if revision is not None:
            self._ended[name] = (revision, now_ms)

    def find_returned_nodes(self) -> dict[str, int]:
        """Return keys of ended nodes that a copy of the store has brought back, with revisions."""
        keys = {PRESENCE_PREFIX + name: revision for name, (revision, _) in self._ended.items()}
        items = ((self.store_copy.items.get(key), revision) for key, revision in keys.items())
        found = {
            item.key: revision for item, revision in items if item and item.revision == revision
        }
        return dict(sorted(found.items())[: MAX_REMOVED_NODES // 2])

    def find_removed_nodes(self) -> list[str]:
        """Return nodes that have not ended, but have been unregistered for `ABSENT_NODE_KEPT_MS`.

        The time counts from the first call that finds them gone after they were last registered.
        """
        now_ms = self._app.clock.now_ms()
        self._absent_since_ms = {
            name: self._absent_since_ms.get(name, now_ms)
            for name in self.present.difference(self.nodes)
        }
        removed = [
            name
            for name, since_ms in self._absent_since_ms.items()
            if now_ms >= since_ms + ABSENT_NODE_KEPT_MS
        ][:MAX_REMOVED_NODES]
        self.present.difference_update(removed)
        return removed

    def find_lost_nodes(self) -> list[str]:
        """Return nodes that have not ended, but whose keys the store has lost."""
        lost = (
            name for name in self.present if PRESENCE_PREFIX + name not in self.store_copy.items
        )
        return sorted(lost)[: MAX_REMOVED_NODES // 2]  # each needs two entries

    def _note_node_left(self, name: str) -> None:
        now_ms = self._app.clock.now_ms()
        self.last_node_left_ms = now_ms
        self._lapsed_hosts = {
            host: lapsed_ms
            for host, lapsed_ms in self._lapsed_hosts.items()
            if now_ms < lapsed_ms + LAPSED_PEER_MS
        }
        known = self.nodes.get(name)
        if known is not None and not known.leaving:
            self._lapsed_hosts[known.host] = now_ms

    def _learn_suspicion(self, item: Item) -> None:
        service, _, node = item.key.removeprefix(SUSPECTS_PREFIX).rpartition("/")
        group = self.groups.get(service)
        if group is not None:
            group.evidence_changed = True
        self.suspicions.get(service, {}).pop(node, None)
        if node == self._node:
            self.own_suspicions_changed.add(service)
        if item.value is None:
            return
        suspicion = self._accept(item, load_suspicion(item.value))
        if suspicion is None:
            return
        member = suspicion.member
        self.suspicions.setdefault(service, {})[node] = member
        if group is not None and node != self._node:
            group.probe_suspect(member)

    def all_stopped(self, record: GroupRecord, revision: int) -> bool:
        """Return whether no node can still use the primary that led before a record.

        `revision` is that of the record. A node renews primary leases by
        the record only while it is registered, so these end at most one lease duration after it has
        left. A node whose registration has lapsed may hold a lease by reports, and cannot
        acknowledge.
        """
        left_ms = self._app.clock.now_ms() - self.last_node_left_ms
        if self.store_copy.as_of < revision or left_ms < PRIMARY_LEASE_MS + PRIMARY_LEASE_MARGIN_MS:
            return False
        return not self.find_unacknowledged(record)

    def may_be_without_store(self, record: GroupRecord) -> bool:
        """Return whether a node may run that has not read a group record."""
        left_ms = self._app.clock.now_ms() - self.last_node_left_ms
        return left_ms < KNOWN_MEMBERS_MS or bool(self.find_unacknowledged(record))

    def find_unacknowledged(self, record: GroupRecord) -> list[str]:
        """Return the nodes that have not acknowledged a group record."""
        acks = {
            node: self.store_copy.items.get(f"{ACKS_PREFIX}{record.service}/{node}")
            for node in self.present.union(self.nodes)
        }
        return [
            node
            for node, ack in acks.items()
            if ack is None or ack.value is None or load_ack(ack.value) < record.version()
        ]

    def list_changes(self, after: int, era: int) -> Listing:
        """Return the changes after a revision of an era, and the positions of the primaries."""
        shared = (group.share_position() for group in self.groups.values())
        positions = tuple(one for one in shared if one is not None)
        return replace(self.store_copy.list_changes(after, era), positions=positions)

    def _learn_positions(self, positions: tuple[SharedPosition, ...], sent_ms: int) -> None:
        for shared in positions:
            group = self.groups.get(shared.service)
            if group is not None:
                learn = group.learn_position
                run_guarded(self._app, "position", learn, shared, sent_ms, service=group.service)

    def _handle_confirmed(self, sent_ms: int) -> None:
        self._update_use_of_reports()
        item = self.store_copy.items.get(self._node_key)
        # A listing of several pages may have the registration, but not the changes before it.
        if item is not None and item.revision <= self.store_copy.as_of:
            era = self.store_copy.era
            for service, group in self.groups.items():
                confirm = partial(group.confirm_record, is_listed=self.is_record_listed(service))
                run_guarded(self._app, "confirm", confirm, sent_ms, era, service=service)
        followers = dict.fromkeys((*self._followers, *self.layout.followers))
        self._followers = self.layout.followers
        if followers:
            self._notify_followers(followers)

    def _notify_followers(self, followers: Iterable[NodeEntry]) -> None:
        """Tell the followers that the store has been polled, once the primaries have answered."""
        for service, group in self.groups.items():
            run_guarded(self._app, "position", group.refresh_position, service=service)
        wait_ms = 0 if self._is_changing_primaries() else SHARED_POSITION_WAIT_MS
        asyncio.get_running_loop().call_later(wait_ms / 1000, lambda: self._notify(followers))

    def _is_changing_primaries(self) -> bool:
        return any(group.needs_change() for group in self.groups.values())
