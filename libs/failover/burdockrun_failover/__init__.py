"""Terms, detection, promotion and the acknowledgement rule of database groups."""

from burdockrun_failover.acknowledger import Acknowledger
from burdockrun_failover.detector import FailureDetector
from burdockrun_failover.group import Directory
from burdockrun_failover.models import PromotionEnd, PromotionKind, PromotionPlan
from burdockrun_failover.probes import ProbeBudget
from burdockrun_failover.promotion import Promotion
from burdockrun_failover.records import (
    covers_acknowledged,
    decode_record,
    encode_record,
    format_record_key,
)
from burdockrun_failover.supervisor import GroupSupervisor

__all__ = [
    "Acknowledger",
    "Directory",
    "FailureDetector",
    "GroupSupervisor",
    "ProbeBudget",
    "Promotion",
    "PromotionEnd",
    "PromotionKind",
    "PromotionPlan",
    "covers_acknowledged",
    "decode_record",
    "encode_record",
    "format_record_key",
]
