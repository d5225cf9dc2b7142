"""Tests of the layout of the fleet against a full computation for each change."""

from dataclasses import dataclass, replace
from functools import partial
from unittest.mock import patch

from burdockrun_base.rendezvous import hash_name, rank_nodes
from burdockrun_groups import ConnectionPlan, FleetLayout, NodeEntry
from burdockrun_groups.const import (
    HOME_BUCKETS,
    LOCAL_CANDIDATES,
    MAX_HOMES_PER_SLOT,
    SMALL_DOMAIN_NODES,
    SUBSTITUTES,
)
from burdockrun_groups.homes import (
    count_homes,
    count_observers,
    plan_direct,
    plan_single_home,
    plan_through_homes,
    share_among_candidates,
)
from hypothesis import given, settings
from hypothesis import strategies as st

OWN = NodeEntry(node="n0", domain="d0", host="h0", copy_port=1)
# Fewer than in the product, so that small fleets have several copy sources.
FOLLOWERS_PER_SOURCE = 4
# Some of them are in the same bucket.
MEMBERS = sorted((f"m{index}" for index in range(1_500)), key=lambda m: hash_name(m) % HOME_BUCKETS)


@dataclass(frozen=True, kw_only=True)
class Terms:
    """What a member accepts, and its failure domain."""

    limit: int
    domain: str
    by_account: bool
    slots: int


class FullComputation:
    """Layout that ranks all nodes anew for each question."""

    def __init__(self, nodes: dict[str, NodeEntry], own: NodeEntry = OWN) -> None:
        self.own = own
        self.registered = nodes
        self.planned = {**nodes, own.node: replace(nodes.get(own.node, own), leaving=False)}
        self.domains: dict[str, list[str]] = {}
        for entry in self.planned.values():
            if not entry.leaving:
                self.domains.setdefault(entry.domain, []).append(entry.node)
        own_entry = nodes.get(own.node)
        self.excluded = own.node if nodes and (own_entry is None or own_entry.leaving) else ""
        self.is_leaving = own_entry is not None and own_entry.leaving

    def _rank(self, member: str, names: list[str], count: int) -> list[str]:
        return rank_nodes(f"homes/{hash_name(member) % HOME_BUCKETS}", names, count)

    def _rank_registered(self, member: str, domain: str, count: int) -> list[str]:
        names = [name for name in self.domains.get(domain, ()) if name != self.excluded]
        return self._rank(member, names, count)

    def _has_single_home(self, terms: Terms) -> bool:
        if terms.by_account:
            return True
        if not terms.slots or plan_direct(terms.limit, len(self.planned)) is not None:
            return False
        homes = count_homes(terms.limit, len(self.domains)) * len(self.domains)
        return homes > MAX_HOMES_PER_SLOT * terms.slots

    def _find_homes(self, member: str, terms: Terms) -> list[str]:
        count = count_homes(terms.limit, len(self.domains))
        if not count:
            names = [name for domain in self.domains.values() for name in domain]
            return self._rank(member, names, terms.limit - 1)
        return [
            name
            for domain in sorted(self.domains)
            for name in self._rank(member, self.domains[domain], count)
        ]

    def _find_first_nodes(self, member: str, terms: Terms) -> list[str]:
        others = [domain for domain in self.domains if domain != terms.domain]
        firsts = [name for one in others for name in self._rank_registered(member, one, 1)]
        return self._rank(member, firsts, len(firsts))

    def _find_observers(self, member: str, terms: Terms) -> list[str]:
        found = self._rank_registered(member, terms.domain, 1)
        found += self._find_first_nodes(member, terms)
        return found[: count_observers(terms.limit, len(found))]

    def find_direct_nodes(self, member: str, terms: Terms) -> frozenset[str]:
        """Return the nodes that watch a member through connections of their own."""
        if self._has_single_home(terms):
            return frozenset(self._find_observers(member, terms))
        if plan_direct(terms.limit, len(self.planned)) is not None:
            return frozenset(self.planned)
        return frozenset(self._find_homes(member, terms))

    def plan(self, member: str, terms: Terms) -> ConnectionPlan:
        """Return how the own node reaches a member."""
        if not self._has_single_home(terms):
            direct = plan_direct(terms.limit, len(self.planned))
            if direct is not None:
                return direct
            homes = [self.planned[name] for name in self._find_homes(member, terms)]
            plan = plan_through_homes(terms.limit, homes, self.own)
            return replace(plan, keeps_idle=not self.is_leaving)
        observers = self._find_observers(member, terms)
        candidates = self._rank_registered(member, terms.domain, LOCAL_CANDIDATES)
        candidates += self._find_first_nodes(member, terms)
        quotas = share_among_candidates(terms.limit, len(candidates), len(observers))
        return plan_single_home(
            quotas,
            [self.planned[name] for name in candidates],
            self.own,
            observes=self.own.node in observers,
        )

    def find_copies(self) -> tuple[list[str], set[str], list[str]]:
        """Return the copy sources, the followers and the substitutes of the own node."""
        own = self.own
        local = {
            name: entry for name, entry in self.registered.items() if entry.domain == own.domain
        }
        candidates = [
            name
            for name, entry in local.items()
            if entry.copy_port and (not entry.leaving or name == own.node)
        ]
        if len(candidates) <= SMALL_DOMAIN_NODES:
            return [], set(), []
        sources = rank_nodes(own.domain, candidates, -(-len(candidates) // FOLLOWERS_PER_SOURCE))
        preferred = rank_nodes(own.node, sources, len(sources))
        if own.node not in sources:
            return (preferred if own.node in local else []), set(), []
        others = set(candidates).difference(sources)
        ranked = [*preferred, *rank_nodes(own.node, others, len(others))]
        ranked.remove(own.node)
        return [], set(local).difference(sources), ranked[:SUBSTITUTES]


def change_nodes(least: int, most: int) -> st.SearchStrategy[dict[str, NodeEntry | None]]:
    """Return changes of several registrations: joins, moves, announced ends and losses."""

    def build(index: int, domain: int, port: int, copy_port: int, leaving: bool) -> NodeEntry:
        return NodeEntry(
            node=f"n{index}",
            domain="d0" if index == 0 else f"d{domain}",
            host=f"h{index}",
            port=port,
            copy_port=copy_port,
            leaving=leaving,
        )

    domain, is_rare = st.sampled_from([0, 0, 0, 1, 2, 3]), st.integers(0, 5).map(
        lambda one: one < 1
    )
    entry = st.builds(
        build, st.integers(0, 29), domain, st.integers(1, 2), st.integers(0, 3), is_rare
    )
    changed = st.builds(lambda one, lost: (one.node, None if lost else one), entry, is_rare)
    return st.lists(changed, min_size=least, max_size=most).map(dict)


TERMS = st.builds(
    Terms,
    limit=st.sampled_from([2, 4, 8, 12, 16, 46, 58]),
    domain=st.sampled_from(["d0", "d1", "d2", "elsewhere"]),
    by_account=st.integers(0, 3).map(lambda one: one == 0),
    slots=st.sampled_from([0, 0, 1, 4]),
)
# A change of registrations, or of what a member accepts, which is None after its end.
STEPS = st.lists(
    st.one_of(
        change_nodes(1, 1),
        change_nodes(1, 1),
        change_nodes(0, 20),
        st.sets(st.integers(0, 29)).map(lambda lost: {f"n{index}": None for index in lost}),
        st.tuples(st.sampled_from(MEMBERS[:8]), st.one_of(st.none(), TERMS)),
    ),
    min_size=15,
    max_size=40,
)


@patch("burdockrun_groups.layout.FOLLOWERS_PER_SOURCE", FOLLOWERS_PER_SOURCE)
@patch("burdockrun_groups.layout.SPARE_RANKS", 1)
@settings(max_examples=100, deadline=None, derandomize=True)
@given(change_nodes(0, 40), st.lists(TERMS, min_size=4, max_size=8), STEPS)
def test_each_change_leads_to_the_plans_of_a_full_computation(
    first: dict[str, NodeEntry | None],
    members: list[Terms],
    steps: list[dict[str, NodeEntry | None] | tuple[str, Terms | None]],
) -> None:
    """Guards against a node that keeps a plan which the other nodes have replaced."""
    layout = FleetLayout(OWN)
    layout.update({})
    registered: dict[str, NodeEntry] = {}
    watched: dict[str, Terms] = {}
    plans: dict[str, ConnectionPlan] = {}
    for step in [first, *zip(MEMBERS, members, strict=False), *steps]:
        if isinstance(step, dict):
            layout.update(step)
            for name, entry in step.items():
                registered.pop(name, None)
                if entry is not None:
                    registered[name] = entry
        else:
            member, terms = step
            watched.pop(member, None)
            plans.pop(member, None)
            layout.unwatch(member)
            if terms is not None:
                watched[member] = terms
                layout.watch(
                    member,
                    terms.limit,
                    partial(plans.__setitem__, member),
                    domain=terms.domain,
                    by_account=terms.by_account,
                    slots=terms.slots,
                )
        full = FullComputation(registered)
        assert plans == {member: full.plan(member, terms) for member, terms in watched.items()}
        for member, terms in watched.items():
            found = layout.find_direct_nodes(member, terms.limit)
            assert found == full.find_direct_nodes(member, terms)
        sources, followers, substitutes = full.find_copies()
        assert [entry.node for entry in layout.copy_sources] == sources
        assert {entry.node for entry in layout.followers} == followers
        assert [entry.node for entry in layout.substitutes] == substitutes


def test_nodes_that_join_while_fewer_ranks_are_needed_become_homes_later() -> None:
    """Guards against ranks that are kept although a node that joined meanwhile is not among them.

    Of 58 connections, a single failure domain has 11 homes, and six have one each.
    """
    layout = FleetLayout(OWN)
    terms = Terms(limit=58, domain="d0", by_account=False, slots=0)
    plans: dict[str, ConnectionPlan] = {}
    for member in MEMBERS[:200]:
        layout.watch(member, terms.limit, partial(plans.__setitem__, member), domain="d0")
    local = {f"n{index}": NodeEntry(node=f"n{index}", domain="d0") for index in range(42)}
    others = {f"x{index}": NodeEntry(node=f"x{index}", domain=f"d{index}") for index in range(1, 6)}
    layout.update({name: local[name] for name in list(local)[:40]})
    layout.update(others)
    layout.update({name: local[name] for name in list(local)[40:]})
    layout.update(dict.fromkeys(others))
    full = FullComputation(local)
    assert plans == {member: full.plan(member, terms) for member in plans}
