"""Proxy node, its naive version, and the program `burdockrun-proxy`."""

from burdockrun_proxy.models import HomeReply, HomeRequest
from burdockrun_proxy.node import DEFAULT_POLICIES, ProxyNode
from burdockrun_proxy.policies import Policies, read_policies, scheduler_policies

__all__ = [
    "DEFAULT_POLICIES",
    "HomeReply",
    "HomeRequest",
    "Policies",
    "ProxyNode",
    "read_policies",
    "scheduler_policies",
]
