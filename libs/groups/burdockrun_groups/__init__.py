"""Database groups: primary lease, log positions, choice of members, promotion."""

from burdockrun_groups.accounts import Account, AccountTable
from burdockrun_groups.acknowledging import (
    UnlistedProcesses,
    find_ended_processes,
    find_processes,
)
from burdockrun_groups.const import (
    KNOWN_MEMBERS_MS,
    MIN_PAUSE_MS,
    PRIMARY_LEASE_MARGIN_MS,
    PRIMARY_LEASE_MS,
)
from burdockrun_groups.home_role import HomeRole
from burdockrun_groups.homes import ConnectionPlan
from burdockrun_groups.layout import FleetLayout
from burdockrun_groups.models import (
    Configuration,
    Freshness,
    GroupRecord,
    MemberEntry,
    MemberProcess,
    NodeEntry,
    Route,
    ServiceLimits,
    StatusReport,
    Suspicion,
)
from burdockrun_groups.primary_lease import PrimaryLease, find_reported_primary
from burdockrun_groups.promotion import (
    Evidence,
    Reason,
    choose_successor,
    find_change_reason,
    find_first_primary,
    is_leadership_denied,
    is_majority_paused,
    renew_record,
)
from burdockrun_groups.reads import (
    MemberLoad,
    ReadChoice,
    ReadOption,
    ReadRequest,
    choose_by_load,
    choose_member,
)
from burdockrun_groups.replica_lag import ReplicaLag
from burdockrun_groups.succession import Succession, SuccessionEvidence, find_successor
from burdockrun_groups.watermarks import LagSample, Requirement, Watermarks

__all__ = [
    "KNOWN_MEMBERS_MS",
    "MIN_PAUSE_MS",
    "PRIMARY_LEASE_MARGIN_MS",
    "PRIMARY_LEASE_MS",
    "Account",
    "AccountTable",
    "Configuration",
    "ConnectionPlan",
    "Evidence",
    "FleetLayout",
    "Freshness",
    "GroupRecord",
    "HomeRole",
    "LagSample",
    "MemberEntry",
    "MemberLoad",
    "MemberProcess",
    "NodeEntry",
    "PrimaryLease",
    "ReadChoice",
    "ReadOption",
    "ReadRequest",
    "Reason",
    "ReplicaLag",
    "Requirement",
    "Route",
    "ServiceLimits",
    "StatusReport",
    "Succession",
    "SuccessionEvidence",
    "Suspicion",
    "UnlistedProcesses",
    "Watermarks",
    "choose_by_load",
    "choose_member",
    "choose_successor",
    "find_change_reason",
    "find_ended_processes",
    "find_first_primary",
    "find_processes",
    "find_reported_primary",
    "find_successor",
    "is_leadership_denied",
    "is_majority_paused",
    "renew_record",
]
