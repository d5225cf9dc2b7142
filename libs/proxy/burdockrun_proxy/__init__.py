"""Proxy node, its naive baseline, and the program `burdockrun-proxy`.

The entry of a request is the node to which the caller sends it. The home of a database member is
the node that holds the connections to the member; its standby is the node that takes over from it.
"""

from burdockrun_proxy.models import HomeReply, HomeRequest
from burdockrun_proxy.node import ProxyNode
from burdockrun_proxy.placement import Placement, placements
from burdockrun_proxy.policies import (
    DEFAULT_POLICIES,
    NAIVE_POLICIES,
    Policies,
    read_policies,
    scheduler_policies,
)

__all__ = [
    "DEFAULT_POLICIES",
    "NAIVE_POLICIES",
    "HomeReply",
    "HomeRequest",
    "Placement",
    "Policies",
    "ProxyNode",
    "placements",
    "read_policies",
    "scheduler_policies",
]
