"""Data that the modules of failover share."""

from dataclasses import dataclass, field
from enum import Enum, StrEnum, auto

from burdockrun_messages import AckRule, GroupRecord, Member


class PromotionKind(StrEnum):
    """Why a new term is prepared."""

    FIRST = "first"
    UNPLANNED = "unplanned"
    PLANNED = "planned"


class PromotionEnd(StrEnum):
    """How an attempt ended."""

    ACTIVE = "active"
    LOST = "lost"
    STALLED = "stalled"
    OUTRUN = "outrun"


class Phase(Enum):
    """Step that an attempt has reached."""

    CLAIM = auto()
    FENCE = auto()
    CATCH_UP = auto()
    PROMOTE = auto()
    CONFIRM = auto()
    ACTIVATE = auto()
    ENDED = auto()


@dataclass(frozen=True, kw_only=True, slots=True)
class PromotionPlan:
    """What one attempt shall reach.

    `known` is the record that the attempt replaces, `target` the member wanted by a planned
    change, `avoid` members that are promoted only when no other choice is safe, `addresses` all
    members of the previous and the new term that this node can reach.
    """

    database: str
    kind: PromotionKind
    known: GroupRecord | None
    term: int
    promoter: str
    members: tuple[str, ...]
    ack_rule: AckRule = AckRule.MAJORITY
    target: str | None = None
    avoid: frozenset[str] = frozenset()
    reason: str = ""
    addresses: dict[str, Member] = field(default_factory=dict)
