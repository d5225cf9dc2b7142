"""Database groups: primary lease, log positions, choice of members, promotion."""

from burdockrun_groups.const import PRIMARY_LEASE_MARGIN_MS, PRIMARY_LEASE_MS
from burdockrun_groups.copy_sources import find_copy_sources
from burdockrun_groups.homes import ConnectionPlan, find_direct_nodes, plan_connections
from burdockrun_groups.models import (
    Configuration,
    Freshness,
    GroupRecord,
    MemberEntry,
    NodeEntry,
    Route,
    ServiceLimits,
    Suspicion,
)
from burdockrun_groups.primary_lease import PrimaryLease
from burdockrun_groups.promotion import (
    Evidence,
    Reason,
    choose_successor,
    find_change_reason,
    find_first_primary,
)
from burdockrun_groups.reads import ReadOption, choose_member
from burdockrun_groups.watermarks import Requirement, Watermarks

__all__ = [
    "PRIMARY_LEASE_MARGIN_MS",
    "PRIMARY_LEASE_MS",
    "Configuration",
    "ConnectionPlan",
    "Evidence",
    "Freshness",
    "GroupRecord",
    "MemberEntry",
    "NodeEntry",
    "PrimaryLease",
    "ReadOption",
    "Reason",
    "Requirement",
    "Route",
    "ServiceLimits",
    "Suspicion",
    "Watermarks",
    "choose_member",
    "choose_successor",
    "find_change_reason",
    "find_copy_sources",
    "find_direct_nodes",
    "find_first_primary",
    "plan_connections",
]
