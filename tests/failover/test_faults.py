"""Randomised faults in the virtual-time world; every seed gives the same run each time."""

import itertools

import pytest

from tests.failover.common import ANDES, BAYERN, FakeMember, World


class Faults:
    """Draws faults from the seed and heals each of them after some time."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.rng = world.fork_rng()

    def strike(self) -> None:
        """Begin one random fault, planned change or ticket."""
        kinds = (
            self.crash_member,
            self.cut_domain,
            self.cut_member,
            self.pause_node,
            self.restart_node,
            self.move_role,
            self.stop_store,
            self.lose_answers,
            self.lose_messages,
            self.block_primary,
            self.slow_replicas,
            self.change_primary,
            self.change_members,
            self.stop_shipping,
        )
        self.rng.choice(kinds)()

    def heal_later(self, heal: object) -> None:
        """Run `heal` after 50 ms to 6 s."""
        assert callable(heal)
        self.world.after(self.rng.choice((50, 300, 900, 2_000, 6_000)), heal)

    def pick(self) -> FakeMember:
        """Return a member, the primary more often than others."""
        if self.rng.random() < 0.5:
            return self.world.members[self.world.active.primary]
        return self.rng.choice(list(self.world.members.values()))

    def crash_member(self) -> None:
        """Stop a member; it comes back with its log and term but without its role."""
        member = self.pick()
        member.alive = False
        self.heal_later(member.restart)

    def cut_domain(self) -> None:
        """Cut one domain off, sometimes with a way left to the platform."""
        home = self.rng.choice(self.world.domains)
        others = [domain for domain in self.world.domains if domain != home]
        others += ["platform"] if self.rng.random() < 0.5 else []
        self._cut({frozenset((home, other)) for other in others})

    def cut_member(self) -> None:
        """Cut a member off from the other members only."""
        name = self.pick().member.name
        self._cut({frozenset((name, other)) for other in self.world.members if other != name})

    def _cut(self, cuts: set[frozenset[str]]) -> None:
        self.world.links.cuts |= cuts
        self.heal_later(lambda: self.world.links.cuts.difference_update(cuts))

    def pause_node(self) -> None:
        """Stop a process for a while."""
        node = self.rng.choice(self.world.nodes)
        if node.paused_since_ms is None and node.alive:
            node.paused_since_ms = self.world.now_ms
            self.heal_later(node.resume)

    def restart_node(self) -> None:
        """End a process; a new one with the same name starts without its memory."""
        node = self.rng.choice(self.world.nodes)
        if node.alive:
            node.alive = False
            self.heal_later(node.start)

    def move_role(self) -> None:
        """Make another node the home of a member."""
        name = self.rng.choice(list(self.world.members))
        self.world.homes[name] = self.rng.choice(self.world.nodes)

    def stop_store(self) -> None:
        """Stop the platform's store."""
        self.world.store.down = True
        self.heal_later(lambda: setattr(self.world.store, "down", False))

    def lose_answers(self) -> None:
        """Lose half of the store's answers after the effect."""
        self.world.store.answer_loss_rate = 0.5
        self.heal_later(lambda: setattr(self.world.store, "answer_loss_rate", 0.0))

    def lose_messages(self) -> None:
        """Lose 30% of all messages."""
        self.world.links.loss = 0.3
        self.heal_later(lambda: setattr(self.world.links, "loss", 0.0))

    def block_primary(self) -> None:
        """Let the primary answer probes but finish nothing."""
        member = self.world.members[self.world.active.primary]
        member.stuck = True
        self.heal_later(member.unblock)

    def slow_replicas(self) -> None:
        """Let all replicas fall behind for long, so that the rule `primary` is entered and left."""
        for member in self.world.members.values():
            member.pull_ms, member.pull_limit = 1_000, 10
            self.world.after(self.rng.choice((2_000, 20_000)), member.hurry)

    def change_primary(self) -> None:
        """Ask for a planned change at all nodes."""
        for node in self.world.nodes:
            if node.paused_since_ms is None:
                node.supervisor.request_primary_change("test", self.world.now_ms)

    def change_members(self) -> None:
        """Replace, add or remove a member by ticket."""
        names = [member.name for member in self.world.database.members]
        spare = [name for name in self.world.members if name not in names]
        if len(names) > 3 or (spare and self.rng.random() < 0.5):
            names.remove(self.rng.choice(names))
        if spare and len(names) < 4:
            names.append(self.rng.choice(spare))
        self.world.set_members(*names)

    def stop_shipping(self) -> None:
        """Let fenced members stop sending entries, so that planned changes are given up."""
        for member in self.world.members.values():
            member.ships_when_fenced = not member.ships_when_fenced


def run_with_faults(seed: int, domains: tuple[str, ...], spare: int = 1) -> World:
    """Return the world after 30 s of faults, often two at a time, and a time to recover."""
    world = World(seed=seed, domains=domains, spare=spare)
    faults = Faults(world)
    world.run_until(1_000)
    for node in world.nodes:
        world.start_writes(node, 25)
    for _ in range(15):
        faults.strike()
        if faults.rng.random() < 0.5:
            faults.strike()
        world.run_for(faults.rng.randint(20, 4_000))
    world.run_for(45_000)
    return world


@pytest.mark.parametrize("seed", range(1, 4))
@pytest.mark.parametrize("domains", [BAYERN, ANDES], ids=["bayern", "andes"])
def test_faults_lose_no_acknowledged_write(seed: int, domains: tuple[str, ...]) -> None:
    """Guards against lost writes, two primaries in a term and groups that stay without one.

    The world checks at every acknowledgement that the write is in the log of the active primary,
    and at every promotion that the term has one primary.
    """
    world = run_with_faults(seed, domains)
    assert world.list_missing() == []
    active = [r for r in world.store.history if r.state == "active"]
    assert all(a.term < b.term for a, b in itertools.pairwise(active))
    assert world.acknowledged[-1].at_ms > world.now_ms - 1_000
