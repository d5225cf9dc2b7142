"""Fleet of proxy nodes: membership, homes, tickets, coordinators and the audit trail."""

from burdockrun_fleet.agent import FleetAgent
from burdockrun_fleet.audit import AuditTrail
from burdockrun_fleet.homes import HomeTable, split_connections
from burdockrun_fleet.loader import find_ticket_number, snapshot_key, ticket_key
from burdockrun_fleet.membership import Membership
from burdockrun_fleet.models import GossipOptions, InForce, SnapshotHead, TicketFunctions
from burdockrun_fleet.numbers import read_number
from burdockrun_fleet.reports import audit_key
from burdockrun_fleet.submission import (
    Accepted,
    Conflict,
    Rejected,
    SubmissionResult,
    TicketSubmission,
    Unknown,
)
from burdockrun_fleet.tickets import TicketApplier

__all__ = [
    "Accepted",
    "AuditTrail",
    "Conflict",
    "FleetAgent",
    "GossipOptions",
    "HomeTable",
    "InForce",
    "Membership",
    "Rejected",
    "SnapshotHead",
    "SubmissionResult",
    "TicketApplier",
    "TicketFunctions",
    "TicketSubmission",
    "Unknown",
    "audit_key",
    "find_ticket_number",
    "read_number",
    "snapshot_key",
    "split_connections",
    "ticket_key",
]
