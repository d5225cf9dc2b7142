"""Random faults in a small fleet whose nodes open the connections that their roles allow."""

import random
from collections import Counter

from burdockrun_fleet.simulation import SimNode, Simulation, place_nodes
from burdockrun_messages import Database, Member, NodeInfo

from tests.fleet.common import TICKET_FUNCTIONS, put_tickets

DOMAINS = ("aug", "muc")
MAX_NODES = 12


class Chaos:
    """Fleet of 8 nodes in 2 domains with a random fault every few seconds."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulation = Simulation(seed, TICKET_FUNCTIONS)
        self.partitioned: set[str] = set()
        self.partitioned_from_platform: set[str] = set()
        self.max_connections = 0
        self._open: dict[int, Counter[str]] = {}
        self._added = 0
        network = self.simulation.network
        network.blocks = lambda a, b: (a.node in self.partitioned) != (b.node in self.partitioned)
        network.platform_blocks = lambda a: a.node in self.partitioned_from_platform
        put_tickets(self.simulation, 1, 1, databases=3)
        infos = place_nodes(8, DOMAINS)
        for info in infos:
            self.simulation.add(info, infos[:3])
        self.faults = [
            self.stop,
            self.add,
            self.restart,
            self.pause,
            self.partition_some,
            self.heal,
            self.split,
            self.toggle_platform,
            self.lose_answers,
            self.lose_messages,
        ]

    def run(self, duration_ms: int) -> None:
        """Run with random faults and record the largest sum of connections to one member."""
        next_fault_ms = self.simulation.now_ms + 15_000
        end_ms = self.simulation.now_ms + duration_ms
        while self.simulation.now_ms < end_ms:
            self.simulation.run(50)
            self.max_connections = max(self.max_connections, *self.sum_budgets().values(), 0)
            if self.simulation.now_ms >= next_fault_ms:
                next_fault_ms = self.simulation.now_ms + self.rng.randint(500, 5_000)
                self.rng.choice(self.faults)()

    def sum_budgets(self) -> Counter[str]:
        """Open the connections that the budgets allow.

        Return, for each member, the sum over the nodes of budgets or of open connections, whichever
        is larger.
        """
        allowed: Counter[str] = Counter()
        opened: Counter[str] = Counter()
        for node in self.simulation.nodes.values():
            for database, member in list_members(node):
                budget = node.agent.connection_budget(database, member, self.simulation.now_ms)
                allowed[member.name] += budget
                if self.simulation.now_ms >= node.paused_until_ms:
                    opened[member.name] += self.use_budget(node, member, budget)
        return allowed | opened

    def use_budget(self, node: SimNode, member: Member, budget: int) -> int:
        """Open as many connections as the budget allows, and close all if it allows none."""
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
        """Return three running nodes as first contacts."""
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
        """Restart a node under its name, without its state."""
        name = self.rng.choice(self.names())
        info = self.simulation.nodes[name].info
        self.simulation.stop(name)
        self.simulation.add(info, self.seeds())

    def pause(self) -> None:
        """Pause a process for a while."""
        self.simulation.pause(self.rng.choice(self.names()), self.rng.randint(500, 20_000))

    def partition_some(self) -> None:
        """Partition some nodes from the others, and some from the platform."""
        names = self.names()
        self.partitioned.update(self.rng.sample(names, self.rng.randint(1, len(names) // 2)))
        self.partitioned_from_platform.update(
            self.rng.sample(names, self.rng.randint(1, len(names)))
        )

    def split(self) -> None:
        """Partition a random half from the others and from the platform."""
        half = {name for name in self.names() if self.rng.random() < 0.5}
        self.partitioned, self.partitioned_from_platform = half, set(half)

    def heal(self) -> None:
        """End all partitions."""
        self.partitioned, self.partitioned_from_platform = set(), set()

    def toggle_platform(self) -> None:
        """Take the platform down, or bring it back."""
        self.simulation.network.platform_up = not self.simulation.network.platform_up

    def lose_answers(self) -> None:
        """Set the share of the platform's answers that are lost."""
        self.simulation.network.answer_loss_rate = self.rng.choice([0.0, 0.2])

    def lose_messages(self) -> None:
        """Set the share of the peer messages that are lost."""
        self.simulation.network.message_loss_rate = self.rng.choice([0.0, 0.05, 0.3])


def list_members(node: SimNode) -> list[tuple[Database, Member]]:
    """Return all members in the configuration of a node."""
    services = node.agent.configuration.services.values()
    return [(d, m) for s in services for d in s.databases for m in d.members]
