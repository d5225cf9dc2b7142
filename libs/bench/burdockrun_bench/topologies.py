"""Cluster plans of the two deployments."""

from burdockrun_messages import Database, Member, Rank, Service

from burdockrun_bench.cluster import ClusterPlan

BAYERN_DOMAINS = ("muc-nord", "nbg", "rgb", "aug")
ANDES_DOMAINS = ("medellin-a", "bogota-b", "manizales-c")

BAYERN_RANKS = (
    Rank(name="urgent-booking", order=0, target_ms=100, worth=10, floor=0.3),
    Rank(name="visit-log", order=1, target_ms=500, worth=3, floor=0.2),
    Rank(name="route-pull", order=2, target_ms=2_000, worth=1, floor=0.1),
)
ANDES_RANKS = (
    Rank(name="rescue-query", order=0, target_ms=100, worth=10, floor=0.3),
    Rank(name="ascent", order=1, target_ms=500, worth=3, floor=0.2),
    Rank(name="land-marker", order=2, target_ms=2_000, worth=1, floor=0.1),
)


def make_service(
    name: str,
    account: str,
    ranks: tuple[Rank, ...],
    domains: tuple[str, ...],
    *,
    databases: int,
    connections: int,
) -> Service:
    """Return a service whose databases have three members in different domains."""
    made = []
    for number in range(databases):
        members = tuple(
            Member(
                name=f"{name}-{number}-{index}",
                domain=domains[(number + index) % len(domains)],
                host=f"10.2.{number}.{index + 1}",
                port=5000,
                control_port=5001,
            )
            for index in range(3)
        )
        made.append(
            Database(name=f"{name}-{number}", members=members, connections=connections, slots=2)
        )
    return Service(
        name=name,
        account=account,
        ranks=ranks,
        databases=tuple(made),
        stale_reads_ms={rank.name: 60_000 for rank in ranks[1:]},
    )


def plan_bayern(databases: int = 3) -> ClusterPlan:
    """Return the cluster plan of Landesamt für Matratzenpflege Bayern."""
    service = make_service(
        "wendedb", "bayern", BAYERN_RANKS, BAYERN_DOMAINS, databases=databases, connections=16
    )
    return ClusterPlan(
        domains=BAYERN_DOMAINS, nodes=7, one_way_ms=5, client_ms=3, services=(service,)
    )


def plan_andes(databases: int = 3) -> ClusterPlan:
    """Return the cluster plan of Registro de Cumbres Andinas."""
    service = make_service(
        "registro-central", "andes", ANDES_RANKS, ANDES_DOMAINS, databases=databases, connections=30
    )
    return ClusterPlan(
        domains=ANDES_DOMAINS, nodes=7, one_way_ms=4, client_ms=1, services=(service,)
    )
