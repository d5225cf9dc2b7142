"""Layout of the fleet as one node sees it, kept up to date one registration at a time."""

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from heapq import nsmallest
from typing import NamedTuple

from burdockrun_base.rendezvous import compute_weight, hash_name, rank_nodes

from burdockrun_groups.const import (
    FOLLOWERS_PER_SOURCE,
    HOME_BUCKETS,
    LOCAL_CANDIDATES,
    MAX_HOMES_PER_SLOT,
    SMALL_DOMAIN_NODES,
    SPARE_RANKS,
    SUBSTITUTES,
)
from burdockrun_groups.homes import (
    ConnectionPlan,
    count_homes,
    count_observers,
    plan_direct,
    plan_single_home,
    plan_through_homes,
    share_among_candidates,
)
from burdockrun_groups.models import NodeEntry

OnPlan = Callable[[ConnectionPlan], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Terms:
    """What the plan of a member of a failure domain depends on besides the registrations."""

    limit: "_Limit"
    domain: str


class _Limit(NamedTuple):
    """Connections and statements at once that a member takes.

    `by_account` says whether its connections belong to accounts. `slots` is 0 if it is not known.
    """

    max_connections: int
    by_account: bool
    slots: int


@dataclass(kw_only=True, slots=True)
class _Bucket:
    """Members in the same rendezvous order, and the best nodes of each failure domain for them.

    `ranked` has the greatest weights of a domain, negated and with the names, in ascending order.
    It has fewer than plans need, or none, where no plan has used them since the last change.
    """

    number: int
    key_hash: int
    members: dict[str, _Terms] = field(default_factory=dict)
    ranked: dict[str, list[tuple[int, str]]] = field(default_factory=dict)


class FleetLayout:
    """Homes of the members, and copy sources of the store, worked out from the registrations.

    The members are hashed into `HOME_BUCKETS` buckets and the nodes are ranked for each bucket, so
    a node that joins costs one weight for each bucket in use, whatever the number of nodes and
    members, and one that leaves or moves costs one for each bucket in which it is ranked. Plans are
    given only to the members whose homes or quota have changed.
    """

    def __init__(self, own: NodeEntry) -> None:
        self.nodes: dict[str, NodeEntry] = {}
        self.copy_sources: tuple[NodeEntry, ...] = ()
        self.followers: tuple[NodeEntry, ...] = ()
        # Nodes whose copies a copy source uses while the store refuses it.
        self.substitutes: tuple[NodeEntry, ...] = ()
        self._own = own
        self._known = False
        self._hosts: Counter[str] = Counter()
        self._all: dict[str, NodeEntry] = {own.node: own}
        self._staying: dict[str, dict[str, int]] = {}
        self._buckets: dict[int, _Bucket] = {}
        self._watchers: dict[str, tuple[_Terms, OnPlan]] = {}
        self._limits: Counter[_Limit] = Counter()
        # By node, the buckets in which it is ranked.
        self._ranked_in: dict[str, set[int]] = {}
        # Ranks of a failure domain that the plan of any watched member uses.
        self._needed = 0
        # Registered nodes of the own failure domain, and those that may be copy sources, ranked.
        self._local: dict[str, NodeEntry] = {}
        self._source_ranks: list[tuple[int, str]] = []
        self._add_staying(own)

    def has_host(self, host: str) -> bool:
        """Return whether a registered node has this address."""
        return self._hosts[host] > 0

    def is_leaving(self, node: str) -> bool:
        """Return whether a registered node has announced its end."""
        entry = self.nodes.get(node)
        return entry is not None and entry.leaving

    def assume_alone(self) -> None:
        """Plan for this node alone, since no other registration has been seen."""
        self._known = True
        self._replan(self._buckets)

    def update(self, changes: Mapping[str, NodeEntry | None]) -> None:
        """Apply registrations, and None for nodes that have left, and replan what they change."""
        before = self._summarize_modes()
        was_known, self._known = self._known, True
        affected: set[int] = set() if was_known else set(self._buckets)
        own_domain_changed = False
        for name, entry in changes.items():
            known = self.nodes.get(name)
            if known == entry:
                continue
            domains = {one.domain for one in (known, entry) if one is not None}
            own_domain_changed = own_domain_changed or self._own.domain in domains
            self._set_registered(name, known, entry)
            affected |= self._set_planned(name, entry)
        after = self._summarize_modes()
        for limit in self._limits:
            if before.get(limit) != after.get(limit):
                affected |= self._find_buckets(limit)
        if own_domain_changed:
            self._update_copy_sources()
        self._needed = max(map(self._count_ranks, self._limits), default=0)
        self._replan(affected)

    def watch(
        self,
        member_id: str,
        max_connections: int,
        on_plan: OnPlan,
        *,
        domain: str = "",
        by_account: bool = False,
        slots: int = 0,
    ) -> None:
        """Give `on_plan` the plan of a member now and whenever it changes.

        With `by_account`, and if it would have too many homes for its slots, the member has one
        home at a time, if possible in its own `domain`.
        """
        self.unwatch(member_id)
        number = _find_bucket(member_id)
        bucket = self._buckets.get(number)
        if bucket is None:
            key_hash = hash_name(f"homes/{number}")
            bucket = self._buckets[number] = _Bucket(number=number, key_hash=key_hash)
        terms = _Terms(limit=_Limit(max_connections, by_account, slots), domain=domain)
        bucket.members[member_id] = terms
        self._limits[terms.limit] += 1
        self._watchers[member_id] = (terms, on_plan)
        self._needed = max(map(self._count_ranks, self._limits), default=0)
        on_plan(self._plan(bucket, terms))

    def unwatch(self, member_id: str) -> None:
        """Give no more plans of a member."""
        watcher = self._watchers.pop(member_id, None)
        if watcher is None:
            return
        limit = watcher[0].limit
        self._limits[limit] -= 1
        if not self._limits[limit]:
            del self._limits[limit]
        number = _find_bucket(member_id)
        del self._buckets[number].members[member_id]
        if not self._buckets[number].members:
            for ranked in self._buckets.pop(number).ranked.values():
                self._forget_ranked(number, ranked)

    def _plan(self, bucket: _Bucket, terms: _Terms) -> ConnectionPlan:
        """Return how this node reaches the members of a bucket with these terms."""
        if not self._known:
            # Before the first registration is seen the size of the fleet is not known.
            return ConnectionPlan(quota=0)
        if self._has_single_home(terms.limit):
            return self._plan_single_home(bucket, terms)
        max_connections = terms.limit.max_connections
        direct = plan_direct(max_connections, len(self._all))
        if direct is not None:
            return direct
        homes = self._find_homes(bucket, max_connections)
        plan = plan_through_homes(max_connections, homes, self._own)
        return replace(plan, keeps_idle=not self.is_leaving(self._own.node))

    def _has_single_home(self, limit: _Limit) -> bool:
        """Return whether a member has one home at a time.

        With more homes than twice its slots, a statement waits at the member as long as it runs
        even if each home sends only one at once, and ranks do not count there.
        """
        if limit.by_account:
            return True
        if not limit.slots or plan_direct(limit.max_connections, len(self._all)) is not None:
            return False
        domains = len(self._staying)
        homes = count_homes(limit.max_connections, domains) * domains
        return homes > MAX_HOMES_PER_SLOT * limit.slots

    def find_direct_nodes(self, member_id: str, max_connections: int) -> frozenset[str]:
        """Return the nodes that watch a member through connections of their own.

        With a single home these are the observers, of which the first candidate for it is one.
        """
        bucket = self._buckets.get(_find_bucket(member_id))
        terms = bucket.members.get(member_id) if bucket is not None else None
        if bucket is not None and terms is not None and self._has_single_home(terms.limit):
            return frozenset(self._find_observers(bucket, terms))
        if bucket is None or plan_direct(max_connections, len(self._all)) is not None:
            return frozenset(self._all)
        return frozenset(home.node for home in self._find_homes(bucket, max_connections))

    def _plan_single_home(self, bucket: _Bucket, terms: _Terms) -> ConnectionPlan:
        observers = self._find_observers(bucket, terms)
        candidates = self._find_candidates(bucket, terms.domain)
        max_connections = terms.limit.max_connections
        quotas = share_among_candidates(max_connections, len(candidates), len(observers))
        return plan_single_home(
            quotas,
            [self._all[name] for name in candidates],
            self._own,
            observes=self._own.node in observers,
        )

    def _find_candidates(self, bucket: _Bucket, domain: str) -> list[str]:
        """Return the candidates for the home of a member of `domain`, in order."""
        local = self._rank_registered(bucket, domain) if domain in self._staying else []
        return [
            *(name for _, name in local[:LOCAL_CANDIDATES]),
            *self._find_first_nodes(bucket, domain),
        ]

    def _find_observers(self, bucket: _Bucket, terms: _Terms) -> list[str]:
        """Return the first node of each failure domain, that of the member's own domain first."""
        local: list[tuple[int, str]] = []
        if terms.domain in self._staying:
            local = self._rank_registered(bucket, terms.domain)
        observers = [name for _, name in local[:1]]
        observers += self._find_first_nodes(bucket, terms.domain)
        return observers[: count_observers(terms.limit.max_connections, len(observers))]

    def _find_first_nodes(self, bucket: _Bucket, excluded_domain: str) -> list[str]:
        """Return the first node of each other failure domain, the greatest weight first."""
        ranked = (
            self._rank_registered(bucket, domain)[:1]
            for domain in self._staying
            if domain != excluded_domain
        )
        return [name for _, name in sorted(one for first in ranked for one in first)]

    def _rank_registered(self, bucket: _Bucket, domain: str) -> list[tuple[int, str]]:
        """Return the best nodes of a failure domain, without this one while it is no candidate.

        The other nodes do not count on a node that is not registered or is leaving, and use another
        candidate, which serves whoever asks it.
        """
        ranked = self._rank(bucket, domain, LOCAL_CANDIDATES + 1)
        is_staying = self._own.node in self.nodes and not self.is_leaving(self._own.node)
        if not self.nodes or is_staying:
            return ranked
        return [one for one in ranked if one[1] != self._own.node]

    def _set_registered(self, name: str, known: NodeEntry | None, entry: NodeEntry | None) -> None:
        if known is not None:
            self._hosts[known.host] -= 1
            if not self._hosts[known.host]:
                del self._hosts[known.host]
            del self.nodes[name]
            if self._local.pop(name, None) is not None and self._may_be_source(known):
                rank = bisect_left(self._source_ranks, self._rank_source(name))
                del self._source_ranks[rank]
        if entry is not None:
            self._hosts[entry.host] += 1
            self.nodes[name] = entry
            if entry.domain == self._own.domain:
                self._local[name] = entry
                if self._may_be_source(entry):
                    insort(self._source_ranks, self._rank_source(name))

    def _may_be_source(self, entry: NodeEntry) -> bool:
        return entry.copy_port > 0 and (not entry.leaving or entry.node == self._own.node)

    def _rank_source(self, name: str) -> tuple[int, str]:
        return -compute_weight(hash_name(name), hash_name(self._own.domain)), name

    def _set_planned(self, name: str, entry: NodeEntry | None) -> set[int]:
        """Change a node that may be a home; return the buckets whose homes may have changed."""
        affected: set[int] = set()
        if name == self._own.node:
            # Whether this node is registered decides whether it can be the single home of a member.
            # One of several homes serves on while it is leaving: the node that takes its place
            # refuses the others until it has learned of that.
            affected = set(self._buckets)
            entry = replace(entry or self._own, leaving=False)
        known = self._all.pop(name, None)
        if entry is not None:
            self._all[name] = entry
        if known == entry:
            return affected
        before = known if known is not None and not known.leaving else None
        after = entry if entry is not None and not entry.leaving else None
        if before is not None and after is not None and before.domain == after.domain:
            # Its ranks stay, but plans have its former address.
            used = (number for number, _, rank in self._find_ranks(after) if rank < self._needed)
            return affected.union(used)
        if before is not None:
            affected |= self._remove_staying(before)
        if after is not None:
            affected |= self._add_staying(after)
        return affected

    def _add_staying(self, entry: NodeEntry) -> set[int]:
        """Rank a node; return the buckets in which plans may use it."""
        node_hash = hash_name(entry.node)
        staying = self._staying.setdefault(entry.domain, {})
        others = len(staying)
        staying[entry.node] = node_hash
        kept = self._needed + SPARE_RANKS
        affected: set[int] = set()
        for number, bucket in self._buckets.items():
            ranked = bucket.ranked.get(entry.domain)
            if ranked is None:
                continue
            found = (-compute_weight(node_hash, bucket.key_hash), entry.node)
            if len(ranked) < others and (not ranked or found > ranked[-1]):
                continue  # others that are not ranked may come before it
            rank = bisect_left(ranked, found)
            if rank < self._needed:
                affected.add(number)
            ranked.insert(rank, found)
            self._ranked_in.setdefault(entry.node, set()).add(number)
            self._forget_ranked(number, ranked[kept:])
            del ranked[kept:]
        return affected

    def _remove_staying(self, entry: NodeEntry) -> set[int]:
        """Drop the ranks of a node; return the buckets in which plans may use it."""
        staying = self._staying[entry.domain]
        del staying[entry.node]
        if not staying:
            del self._staying[entry.domain]
        affected: set[int] = set()
        for number, ranked, rank in self._find_ranks(entry):
            del ranked[rank]
            if rank < self._needed:
                affected.add(number)
        self._ranked_in.pop(entry.node, None)
        return affected

    def _find_ranks(self, entry: NodeEntry) -> Iterator[tuple[int, list[tuple[int, str]], int]]:
        """Return the buckets in which a node is ranked, the ranks of its domain and its own."""
        node_hash = hash_name(entry.node)
        for number in self._ranked_in.get(entry.node, ()):
            bucket = self._buckets[number]
            ranked = bucket.ranked[entry.domain]
            found = (-compute_weight(node_hash, bucket.key_hash), entry.node)
            yield number, ranked, bisect_left(ranked, found)

    def _forget_ranked(self, number: int, dropped: Iterable[tuple[int, str]]) -> None:
        """Note that nodes are not ranked in a bucket any more."""
        for _, name in dropped:
            known = self._ranked_in[name]
            known.discard(number)
            if not known:
                del self._ranked_in[name]

    def _find_homes(self, bucket: _Bucket, max_connections: int) -> list[NodeEntry]:
        """Return the homes of the members of a bucket, the same number in each failure domain."""
        count = count_homes(max_connections, len(self._staying))
        if count:
            ranked = [self._rank(bucket, domain, count)[:count] for domain in sorted(self._staying)]
        else:
            # There are more failure domains than connections.
            count = max_connections - 1
            best = sorted(
                one for domain in self._staying for one in self._rank(bucket, domain, count)
            )
            ranked = [best[:count]]
        return [self._all[name] for domain in ranked for _, name in domain]

    def _rank(self, bucket: _Bucket, domain: str, count: int) -> list[tuple[int, str]]:
        """Return the best nodes of a failure domain: `count`, if there are as many, or more."""
        ranked = bucket.ranked.get(domain)
        staying = self._staying[domain]
        if ranked is not None and len(ranked) >= min(count, len(staying)):
            return ranked
        self._forget_ranked(bucket.number, ranked or ())
        key_hash = bucket.key_hash
        weights = (
            (-compute_weight(node_hash, key_hash), name) for name, node_hash in staying.items()
        )
        ranked = bucket.ranked[domain] = nsmallest(max(count, self._needed) + SPARE_RANKS, weights)
        for _, name in ranked:
            self._ranked_in.setdefault(name, set()).add(bucket.number)
        return ranked

    def _count_ranks(self, limit: _Limit) -> int:
        """Return how many ranks of a failure domain the plans of the members use."""
        if self._has_single_home(limit):
            return LOCAL_CANDIDATES + 1
        if plan_direct(limit.max_connections, len(self._all)) is not None:
            return 0
        homes = count_homes(limit.max_connections, len(self._staying))
        return homes or limit.max_connections - 1

    def _summarize_modes(self) -> dict[_Limit, tuple[object, ...]]:
        """Return by limit what the plans of all its members depend on."""
        return {limit: self._summarize_mode(limit) for limit in self._limits}

    def _summarize_mode(self, limit: _Limit) -> tuple[object, ...]:
        if self._has_single_home(limit):
            return ("single home", not self.nodes, *sorted(self._staying))
        direct = plan_direct(limit.max_connections, len(self._all))
        if direct is not None:
            return ("direct", direct.quota)
        return ("homes", *sorted(self._staying))

    def _find_buckets(self, limit: _Limit) -> set[int]:
        return {
            number
            for number, bucket in self._buckets.items()
            if any(terms.limit == limit for terms in bucket.members.values())
        }

    def _replan(self, buckets: Iterable[int]) -> None:
        for number in list(buckets):
            bucket = self._buckets[number]
            plans: dict[_Terms | _Limit, ConnectionPlan] = {}
            for member_id, terms in bucket.members.items():
                # Without a single home, the failure domain of the member does not count.
                key = terms if self._has_single_home(terms.limit) else terms.limit
                if key not in plans:
                    plans[key] = self._plan(bucket, terms)
                self._watchers[member_id][1](plans[key])

    def _update_copy_sources(self) -> None:
        """Determine whose copy of the store this node follows, and which nodes follow its own.

        A copy source is in the own failure domain: one in another domain would be lost in a
        partition between the domains, although the store may still be reachable.
        """
        own, candidates = self._own, [name for _, name in self._source_ranks]
        self.copy_sources = self.followers = self.substitutes = ()
        if len(candidates) <= SMALL_DOMAIN_NODES:
            return
        count = -(-len(candidates) // FOLLOWERS_PER_SOURCE)
        sources, rest = candidates[:count], candidates[count:]
        if own.node in sources:
            self.followers = tuple(one for one in self._local.values() if one.node not in sources)
            # Followers poll the store themselves once the copy of their source is too old.
            ranked = rank_nodes(own.node, sources, count)
            if count <= SUBSTITUTES:
                ranked += rank_nodes(own.node, rest, SUBSTITUTES)
            others = [self.nodes[name] for name in ranked if name != own.node]
            self.substitutes = tuple(others[:SUBSTITUTES])
        elif own.node in self.nodes:
            ranked = rank_nodes(own.node, sources, count)
            self.copy_sources = tuple(self.nodes[name] for name in ranked)


def _find_bucket(member_id: str) -> int:
    return hash_name(member_id) % HOME_BUCKETS
