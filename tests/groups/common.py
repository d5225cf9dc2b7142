"""Builders for the tests of database groups."""

from burdockrun_base import LogPosition
from burdockrun_groups import GroupRecord, MemberEntry, StatusReport
from burdockrun_statements import MemberStatus


def build_entry(
    member_id: str, *, draining: bool = False, primary: bool = False, domain: str = "nbg"
) -> MemberEntry:
    """Return a discovery entry of the service `wendedb`."""
    return MemberEntry(
        id=member_id,
        started_at_ms=1,
        service="wendedb",
        host="10.0.0.1",
        port=9000,
        domain=domain,
        slots=2,
        draining=draining,
        claims_primary=primary,
    )


def build_status(
    term: int = 1, index: int = 10, *, primary: bool = False, held_term: int = 0
) -> MemberStatus:
    """Return the status of a member."""
    return MemberStatus(
        is_primary=primary,
        term=term,
        received=LogPosition(term=term, index=index),
        held_term=held_term,
        lag_ms=0,
        busy=0,
        connections=1,
    )


def build_report(
    status: MemberStatus, sent_ms: int, *, running_since_ms: int | None = 0
) -> StatusReport:
    """Return a report of a member, by default of a process that has run all the while."""
    return StatusReport(status=status, sent_ms=sent_ms, running_since_ms=running_since_ms)


def build_record(primary: str, epoch: int = 1, **fields: object) -> GroupRecord:
    """Return a group record of the service `wendedb`."""
    return GroupRecord(service="wendedb", primary=primary, epoch=epoch, **fields)  # type: ignore[arg-type]
