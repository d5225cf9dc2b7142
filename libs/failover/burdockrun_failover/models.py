"""Kinds, phases, results and inputs of promotion attempts."""

from dataclasses import dataclass, field
from enum import Enum, StrEnum, auto

from burdockrun_messages import AckRule, GroupRecord, Member


class PromotionKind(StrEnum):
    """Why a new term is prepared."""

    FIRST = "first"
    UNPLANNED = "unplanned"
    PLANNED = "planned"


class PromotionEnd(StrEnum):
    """How an attempt ended.

    `ACTIVE`: the new term is in force. `LOST`: another node changed the record first. `STALLED`:
    too few members answered or caught up in time. `SUPERSEDED`: a member reported a later term.
    """

    ACTIVE = "active"
    LOST = "lost"
    STALLED = "stalled"
    SUPERSEDED = "outrun"


class Phase(Enum):
    """Phases of an attempt, in order; `CATCH_UP` and `CONFIRM` occur only when needed."""

    CLAIM = auto()
    FENCE = auto()
    CATCH_UP = auto()
    PROMOTE = auto()
    CONFIRM = auto()
    ACTIVATE = auto()
    ENDED = auto()


@dataclass(frozen=True, kw_only=True, slots=True)
class PromotionPlan:
    """Input of one promotion attempt.

    `known` is the record that the attempt replaces. `promoter` identifies the attempt by the name
    of its node and a random suffix. `target` is the member that a planned change shall promote.
    Members in `avoid` are promoted only when no other choice is safe. `addresses` lists all members
    of the previous and the new term whose addresses this node knows.
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
