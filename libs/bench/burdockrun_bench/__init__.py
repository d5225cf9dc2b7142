"""Virtual-time cluster, invariant checks and the soak run."""

from burdockrun_bench.cluster import Cluster, ClusterPlan
from burdockrun_bench.invariants import InvariantError, Invariants, Violation
from burdockrun_bench.links import Links, Location
from burdockrun_bench.loop import VirtualLoop
from burdockrun_bench.member_host import MemberHost
from burdockrun_bench.node_host import Node, NodeHost
from burdockrun_bench.soak import SoakResult, run_soak
from burdockrun_bench.store_host import StoreHost
from burdockrun_bench.topologies import make_service, plan_andes, plan_bayern

__all__ = [
    "Cluster",
    "ClusterPlan",
    "InvariantError",
    "Invariants",
    "Links",
    "Location",
    "MemberHost",
    "Node",
    "NodeHost",
    "SoakResult",
    "StoreHost",
    "Violation",
    "VirtualLoop",
    "make_service",
    "plan_andes",
    "plan_bayern",
    "run_soak",
]
