"""Unit tests of the granting of roles."""

from dataclasses import replace

from burdockrun_base.rendezvous import rank_nodes
from burdockrun_fleet.const import ROLE_EXPIRY_MS
from burdockrun_fleet.evidence import Evidence
from burdockrun_fleet.homes import split_connections
from burdockrun_fleet.roles import Role, RoleManager
from burdockrun_fleet.rosters import RosterTable, next_generation
from burdockrun_fleet.simulation import place_nodes
from burdockrun_messages import Database, Member, NodeInfo, Outbox, RolesReleased, Roster, SendPeer

MEMBER = Member(name="m-1", domain="aug", host="h", port=1, control_port=2)
DATABASE = Database(name="d-1", members=(MEMBER,), connections=16, slots=2)
NODES = tuple(place_nodes(4, ("aug",)))
RANKED = [
    next(info for info in NODES if info.node == name)
    for name in rank_nodes(MEMBER.name, [info.node for info in NODES], 4)
]
HOME, STANDBY, THIRD, _ = RANKED


def order(*nodes: NodeInfo) -> tuple[NodeInfo, ...]:
    """Return nodes sorted by name, as a roster lists them."""
    return tuple(sorted(nodes, key=lambda info: info.node))


ALL = next_generation(None, "aug", order(*NODES))
WITHOUT_HOME = next_generation(ALL, "aug", order(*RANKED[1:]))
SEALED = replace(WITHOUT_HOME, epoch=WITHOUT_HOME.epoch + 1, sealed=True)
WITHOUT_TWO = next_generation(SEALED, "aug", order(*RANKED[2:]))
BACK = next_generation(
    replace(WITHOUT_TWO, epoch=WITHOUT_TWO.epoch + 1, sealed=True), "aug", order(*RANKED[1:])
)


class RoleHolder:
    """Role manager of one node with the tables that it uses."""

    def __init__(self, node: NodeInfo) -> None:
        self.outbox = Outbox()
        self.table = RosterTable(node, self.outbox)
        self.evidence = Evidence(node)
        self.manager = RoleManager(node, self.table, self.evidence, self.outbox)
        self.table.on_roster = self.manager.roster_changed
        self.manager.set_members([MEMBER], 0)

    def learn(self, roster: Roster, now_ms: int) -> Role | None:
        """Learn a roster and return the role that is granted then."""
        self.table.learn(roster, now_ms)
        return self.role(now_ms)

    def role(self, now_ms: int) -> Role | None:
        """Tick and return the granted role."""
        self.manager.tick(now_ms)
        return self.manager.granted_role(MEMBER)


def test_a_role_is_granted_after_its_generation_has_settled() -> None:
    """Guards against a role granted while its silent previous holder may still use it."""
    holder = RoleHolder(STANDBY)
    assert holder.learn(ALL, 0) is Role.STANDBY
    assert holder.learn(WITHOUT_HOME, 1_000) is Role.STANDBY
    assert holder.role(60_000) is Role.STANDBY
    assert holder.learn(SEALED, 60_000) is Role.STANDBY
    assert holder.role(60_000 + ROLE_EXPIRY_MS - 1) is Role.STANDBY
    assert holder.role(60_000 + ROLE_EXPIRY_MS) is Role.HOME


def test_a_release_by_the_previous_holder_grants_a_role_at_once() -> None:
    """Guards against a wait for `ROLE_EXPIRY_MS` at each planned change."""
    holder = RoleHolder(STANDBY)
    holder.learn(ALL, 0)
    holder.learn(WITHOUT_HOME, 1_000)
    old = RolesReleased(domain="aug", epoch=ALL.since)
    holder.manager.receive_release(HOME.node, old, 1_100)
    assert holder.role(1_100) is Role.STANDBY
    kept = RolesReleased(domain="aug", epoch=WITHOUT_HOME.since, members=(MEMBER.name,))
    holder.manager.receive_release(HOME.node, kept, 1_200)
    assert holder.role(1_200) is Role.STANDBY
    free = RolesReleased(domain="aug", epoch=WITHOUT_HOME.since)
    holder.manager.receive_release(HOME.node, free, 1_300)
    assert holder.role(1_300) is Role.HOME


def test_a_release_does_not_cover_holders_of_earlier_generations() -> None:
    """Guards against a role granted while the holder of an earlier generation may still use it."""
    holder = RoleHolder(THIRD)
    holder.learn(ALL, 0)
    holder.learn(SEALED, 1_000)
    assert holder.learn(WITHOUT_TWO, 2_000) is None
    free = RolesReleased(domain="aug", epoch=WITHOUT_TWO.since)
    holder.manager.receive_release(STANDBY.node, free, 2_100)
    assert holder.role(2_100) is None
    assert holder.role(1_000 + ROLE_EXPIRY_MS) is Role.HOME


def test_a_role_is_given_up_when_a_generation_was_missed() -> None:
    """Guards against a node that keeps a role which another held in the missed generation."""
    holder = RoleHolder(STANDBY)
    holder.learn(ALL, 0)
    holder.learn(SEALED, 1_000)
    assert holder.role(1_000 + ROLE_EXPIRY_MS) is Role.HOME
    assert holder.learn(BACK, 20_000) is None
    assert holder.role(90_000) is None


def test_a_role_in_use_is_released_only_when_its_connections_are_closed() -> None:
    """Guards against a new holder that opens connections before the old one has closed its own."""
    holder = RoleHolder(HOME)
    holder.learn(ALL, 0)
    holder.evidence.note_confirmation("aug", 1)
    assert holder.manager.budget(DATABASE, MEMBER, 2) == split_connections(16)[0]
    assert holder.learn(WITHOUT_HOME, 1_000) is None
    assert not [a for a in holder.outbox.drain() if isinstance(a, SendPeer)]
    holder.manager.release(MEMBER, 1_500)
    sent = [a for a in holder.outbox.drain() if isinstance(a, SendPeer)]
    assert {action.peer for action in sent} == {STANDBY, THIRD}
    for action in sent:
        assert isinstance(action.message, RolesReleased)
        assert action.message.epoch == WITHOUT_HOME.since
        assert action.message.members == ()
