"""Randomised faults in the virtual-time simulation; a seed always gives the same run."""

import itertools

import pytest

from tests.failover.common import ANDES, BAYERN, FakeMember, Simulation


class Faults:
    """Injects faults drawn from the seed and heals each of them after some time."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.rng = simulation.fork_rng()

    def start_fault(self) -> None:
        """Start one random fault, planned change or change of the configuration."""
        kinds = (
            self.crash_member,
            self.isolate_domain,
            self.isolate_member,
            self.pause_node,
            self.restart_node,
            self.move_home,
            self.stop_store,
            self.lose_store_answers,
            self.lose_messages,
            self.make_primary_stuck,
            self.slow_replicas,
            self.change_primary,
            self.change_members,
            self.toggle_sending_when_fenced,
        )
        self.rng.choice(kinds)()

    def heal_later(self, heal: object) -> None:
        """Run `heal` after 50 ms to 6 s."""
        assert callable(heal)
        self.simulation.after(self.rng.choice((50, 300, 900, 2_000, 6_000)), heal)

    def choose_member(self) -> FakeMember:
        """Return a random member, the primary in at least half of the cases."""
        if self.rng.random() < 0.5:
            return self.simulation.members[self.simulation.active.primary]
        return self.rng.choice(list(self.simulation.members.values()))

    def crash_member(self) -> None:
        """Stop a member; it restarts with its log and term but without its role."""
        member = self.choose_member()
        member.alive = False
        self.heal_later(member.restart)

    def isolate_domain(self) -> None:
        """Block the links of one domain to the others, in half of the cases to the platform too."""
        isolated = self.rng.choice(self.simulation.domains)
        others = [domain for domain in self.simulation.domains if domain != isolated]
        others += ["platform"] if self.rng.random() < 0.5 else []
        self._block_until_healed({frozenset((isolated, other)) for other in others})

    def isolate_member(self) -> None:
        """Block the links of a member to the other members only."""
        name = self.choose_member().member.name
        self._block_until_healed(
            {frozenset((name, other)) for other in self.simulation.members if other != name}
        )

    def _block_until_healed(self, blocked_links: set[frozenset[str]]) -> None:
        self.simulation.links.blocked_links |= blocked_links
        self.heal_later(
            lambda: self.simulation.links.blocked_links.difference_update(blocked_links)
        )

    def pause_node(self) -> None:
        """Pause a node's process."""
        node = self.rng.choice(self.simulation.nodes)
        if node.paused_since_ms is None and node.alive:
            node.paused_since_ms = self.simulation.now_ms
            self.heal_later(node.resume)

    def restart_node(self) -> None:
        """Stop a node's process; it restarts under the same name without its state."""
        node = self.rng.choice(self.simulation.nodes)
        if node.alive:
            node.alive = False
            self.heal_later(node.start)

    def move_home(self) -> None:
        """Make another node the home of a member."""
        name = self.rng.choice(list(self.simulation.members))
        self.simulation.homes[name] = self.rng.choice(self.simulation.nodes)

    def stop_store(self) -> None:
        """Stop the platform's store."""
        self.simulation.store.down = True
        self.heal_later(lambda: setattr(self.simulation.store, "down", False))

    def lose_store_answers(self) -> None:
        """Lose half of the store's answers after the operations took effect."""
        self.simulation.store.answer_loss_rate = 0.5
        self.heal_later(lambda: setattr(self.simulation.store, "answer_loss_rate", 0.0))

    def lose_messages(self) -> None:
        """Lose 30% of all messages."""
        self.simulation.links.loss_rate = 0.3
        self.heal_later(lambda: setattr(self.simulation.links, "loss_rate", 0.0))

    def make_primary_stuck(self) -> None:
        """Let the primary answer probes but complete no statement."""
        member = self.simulation.members[self.simulation.active.primary]
        member.stuck = True
        self.heal_later(member.clear_stuck)

    def slow_replicas(self) -> None:
        """Slow all replicas down long enough for rule `primary` to be entered and left."""
        for member in self.simulation.members.values():
            member.pull_ms, member.pull_limit = 1_000, 10
            self.simulation.after(self.rng.choice((2_000, 20_000)), member.restore_pull_speed)

    def change_primary(self) -> None:
        """Request a planned change of the primary at all nodes that are not paused."""
        for node in self.simulation.nodes:
            if node.paused_since_ms is None:
                node.supervisor.request_primary_change("test", self.simulation.now_ms)

    def change_members(self) -> None:
        """Replace, add or remove a member in the configuration."""
        names = [member.name for member in self.simulation.database.members]
        spare = [name for name in self.simulation.members if name not in names]
        if len(names) > 3 or (spare and self.rng.random() < 0.5):
            names.remove(self.rng.choice(names))
        if spare and len(names) < 4:
            names.append(self.rng.choice(spare))
        self.simulation.set_members(*names)

    def toggle_sending_when_fenced(self) -> None:
        """Toggle whether fenced members send entries, so that planned changes may be abandoned."""
        for member in self.simulation.members.values():
            member.sends_when_fenced = not member.sends_when_fenced


def run_with_faults(seed: int, domains: tuple[str, ...], spare: int = 1) -> Simulation:
    """Return the simulation after about 30 s of faults and 45 s to recover."""
    simulation = Simulation(seed=seed, domains=domains, spare=spare)
    faults = Faults(simulation)
    simulation.run_until(1_000)
    for node in simulation.nodes:
        simulation.start_writes(node, 25)
    for _ in range(15):
        faults.start_fault()
        if faults.rng.random() < 0.5:
            faults.start_fault()
        simulation.run_for(faults.rng.randint(20, 4_000))
    simulation.run_for(45_000)
    return simulation


@pytest.mark.parametrize("seed", range(1, 4))
@pytest.mark.parametrize("domains", [BAYERN, ANDES], ids=["bayern", "andes"])
def test_faults_lose_no_acknowledged_write(seed: int, domains: tuple[str, ...]) -> None:
    """Guards against lost writes, two primaries in a term and groups that stay without a primary.

    The simulation checks at every acknowledgement that the write is in the log of the active
    primary, and at every promotion that the term has no other primary.
    """
    simulation = run_with_faults(seed, domains)
    assert simulation.list_missing() == []
    active = [r for r in simulation.store.history if r.state == "active"]
    assert all(a.term < b.term for a, b in itertools.pairwise(active))
    assert simulation.acknowledged[-1].at_ms > simulation.now_ms - 1_000
