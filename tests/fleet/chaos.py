"""Random faults in a small fleet, and the connections that its nodes keep open meanwhile."""

import random
from collections import Counter

from burdockrun_fleet.simulation import SimNode, Simulation, place_nodes
from burdockrun_messages import Database, Member, NodeInfo

from tests.fleet.common import FORMAT, put_tickets

DOMAINS = ("aug", "muc")
MAX_NODES = 12


class Chaos:
    """Fleet of 8 nodes in 2 domains in which something breaks every few seconds."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulation = Simulation(seed, FORMAT)
        self.cut: set[str] = set()
        self.cut_from_platform: set[str] = set()
        self.greatest = 0
        self._open: dict[int, Counter[str]] = {}
        self._added = 0
        network = self.simulation.network
        network.blocks = lambda a, b: (a.node in self.cut) != (b.node in self.cut)
        network.platform_blocks = lambda a: a.node in self.cut_from_platform
        put_tickets(self.simulation, 1, 1, databases=3)
        infos = place_nodes(8, DOMAINS)
        for info in infos:
            self.simulation.add(info, infos[:3])
        self.faults = [
            self.stop,
            self.add,
            self.restart,
            self.pause,
            self.cut_some,
            self.heal,
            self.split,
            self.toggle_platform,
            self.lose_answers,
            self.lose_messages,
        ]

    def run(self, duration_ms: int) -> None:
        """Break things at random and note the greatest sum of connections to one member."""
        next_fault_ms = self.simulation.now_ms + 15_000
        end_ms = self.simulation.now_ms + duration_ms
        while self.simulation.now_ms < end_ms:
            self.simulation.run(50)
            self.greatest = max(self.greatest, *self.sum_budgets().values(), 0)
            if self.simulation.now_ms >= next_fault_ms:
                next_fault_ms = self.simulation.now_ms + self.rng.randint(500, 5_000)
                self.rng.choice(self.faults)()

    def sum_budgets(self) -> Counter[str]:
        """Return, for each member, the greater of all nodes' budgets and open connections."""
        allowed: Counter[str] = Counter()
        opened: Counter[str] = Counter()
        for node in self.simulation.nodes.values():
            for database, member in list_members(node):
                budget = node.agent.connection_budget(database, member, self.simulation.now_ms)
                allowed[member.name] += budget
                if self.simulation.now_ms >= node.paused_until_ms:
                    opened[member.name] += self.use(node, member, budget)
        return allowed | opened

    def use(self, node: SimNode, member: Member, budget: int) -> int:
        """Open as many connections as allowed, and close all when none is."""
        counts = self._open.setdefault(id(node), Counter())
        if counts[member.name] and not budget:
            node.agent.release_connections(member, self.simulation.now_ms)
            self.simulation.perform(node)
        counts[member.name] = budget
        return budget

    def names(self) -> list[str]:
        """Return the names of the running nodes."""
        return sorted(self.simulation.nodes)

    def seeds(self) -> list[NodeInfo]:
        """Return three running nodes."""
        return [self.simulation.nodes[name].info for name in self.names()[:3]]

    def stop(self) -> None:
        """Kill a node."""
        if len(self.names()) > 3:
            self.simulation.stop(self.rng.choice(self.names()))

    def add(self) -> None:
        """Start a node on a new VM."""
        self._added += 1
        name, domain = f"new-{self._added}", self.rng.choice(DOMAINS)
        if len(self.names()) < MAX_NODES:
            info = NodeInfo(node=name, domain=domain, host="10.0.9.9", port=self._added)
            self.simulation.add(info, self.seeds())

    def restart(self) -> None:
        """Start a node again under its name; it has forgotten everything."""
        name = self.rng.choice(self.names())
        info = self.simulation.nodes[name].info
        self.simulation.stop(name)
        self.simulation.add(info, self.seeds())

    def pause(self) -> None:
        """Stop a process for a while."""
        self.simulation.pause(self.rng.choice(self.names()), self.rng.randint(500, 20_000))

    def cut_some(self) -> None:
        """Cut some nodes off from the others, and some from the platform."""
        names = self.names()
        self.cut.update(self.rng.sample(names, self.rng.randint(1, len(names) // 2)))
        self.cut_from_platform.update(self.rng.sample(names, self.rng.randint(1, len(names))))

    def split(self) -> None:
        """Cut a random half off from the others and the platform."""
        half = {name for name in self.names() if self.rng.random() < 0.5}
        self.cut, self.cut_from_platform = half, set(half)

    def heal(self) -> None:
        """Restore all links."""
        self.cut, self.cut_from_platform = set(), set()

    def toggle_platform(self) -> None:
        """Take the platform down, or bring it back."""
        self.simulation.network.platform_up = not self.simulation.network.platform_up

    def lose_answers(self) -> None:
        """Lose a share of the platform's answers, or none."""
        self.simulation.network.answer_loss_rate = self.rng.choice([0.0, 0.2])

    def lose_messages(self) -> None:
        """Lose a share of the peer messages, or none."""
        self.simulation.network.loss = self.rng.choice([0.0, 0.05, 0.3])


def list_members(node: SimNode) -> list[tuple[Database, Member]]:
    """Return all members in the configuration of a node."""
    services = node.agent.configuration.services.values()
    return [(d, m) for s in services for d in s.databases for m in d.members]
