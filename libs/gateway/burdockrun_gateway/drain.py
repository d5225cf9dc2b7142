"""What a gateway still serves after it has been asked to stop, by the time that has passed."""

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Final

from burdockrun_statements import ANSWERED_LOCALLY, StatementKind

from burdockrun_gateway.const import (
    DRAIN_ABORT_SHARE,
    DRAIN_CLOSE_MS,
    DRAIN_CLOSE_SHARE,
    DRAIN_END_SHARE,
    DRAIN_QUIET_MS,
    DRAIN_REFUSE_SHARE,
    DRAIN_SETTLE_SHARE,
    DRAIN_UNREGISTER_SHARE,
)

STOPPING: Final = "the gateway is stopping"
_ENDS_TRANSACTION: Final = frozenset({StatementKind.COMMIT, StatementKind.ROLLBACK})


class DrainPhase(IntEnum):
    """Phase of a drain; each one serves less than the one before."""

    SERVING = 0  # no drain
    ANNOUNCED = 1  # not ready; everything is served
    CLOSING = 2  # sessions are closed between two operations
    REFUSING = 3  # operations that have not begun are refused
    ABORTING = 4  # open transactions may only end
    SETTLING = 5  # nothing is served, and what runs gets its final answer


class Verdict(Enum):
    """What is done with a statement."""

    SERVE = "serve"
    REFUSE = "refuse"  # nothing of its operation has run
    ABORT = "abort"  # its transaction is rolled back


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """Phases of a drain that has to end within `grace_ms`; times are ms since its start."""

    grace_ms: int

    def start_ms(self, phase: DrainPhase) -> float:
        """Return when a phase starts.

        >>> DrainSchedule(6_000).start_ms(DrainPhase.REFUSING)
        3000.0
        """
        starts = {
            DrainPhase.CLOSING: min(DRAIN_CLOSE_MS, DRAIN_CLOSE_SHARE * self.grace_ms),
            DrainPhase.REFUSING: DRAIN_REFUSE_SHARE * self.grace_ms,
            DrainPhase.ABORTING: DRAIN_ABORT_SHARE * self.grace_ms,
            DrainPhase.SETTLING: DRAIN_SETTLE_SHARE * self.grace_ms,
        }
        return starts.get(phase, 0.0)

    def find_phase(self, elapsed_ms: float) -> DrainPhase:
        """Return the phase at a time, also when the process did not run for a while.

        >>> DrainSchedule(6_000).find_phase(4_000)
        <DrainPhase.ABORTING: 4>
        """
        begun = [one for one in DrainPhase if one and elapsed_ms >= self.start_ms(one)]
        return max(begun, default=DrainPhase.ANNOUNCED)

    def end_ms(self) -> float:
        """Return when the drain ends, whatever is still open."""
        return DRAIN_END_SHARE * self.grace_ms

    def unregister_ms(self) -> float:
        """Return the least time that a node has to remove its registration, after the drain."""
        return DRAIN_UNREGISTER_SHARE * self.grace_ms

    def may_end(self, elapsed_ms: float, use: "DrainUse") -> bool:
        """Return whether a drain ends before the last phase, since nobody uses the node any more.

        New clients come until the platform has seen that the node is not ready, which the phases
        allow for. Other nodes come until they have learned that it is leaving.

        >>> nobody = DrainUse(clients=0, shared=0, last_client_ms=0)
        >>> DrainSchedule(6_000).may_end(20, nobody), DrainSchedule(6_000).may_end(2_250, nobody)
        (False, True)
        """
        if use.clients or use.shared:
            return False
        last_ms = max(use.last_client_ms, self.start_ms(DrainPhase.CLOSING))
        return elapsed_ms >= last_ms + DRAIN_QUIET_MS


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainUse:
    """Who uses a node that drains.

    `clients` counts those that have a session or wait for one, `shared` the connections of other
    nodes. `last_client_ms` is when the last client came, in ms since the start of the drain.
    """

    clients: int
    shared: int
    last_client_ms: float


def judge_statement(phase: DrainPhase, kind: StatementKind, *, has_begun: bool) -> Verdict:
    """Return what is done with a statement in a phase of a drain.

    `has_begun` says that its transaction has run a statement. Statements that change only the
    session state are served: they cost nothing, and many clients give up after an error to one.

    >>> judge_statement(DrainPhase.REFUSING, StatementKind.READ, has_begun=True)
    <Verdict.SERVE: 'serve'>
    """
    if phase < DrainPhase.REFUSING:
        return Verdict.SERVE
    if kind in ANSWERED_LOCALLY and kind is not StatementKind.BEGIN:
        return Verdict.SERVE
    if not has_begun:
        return Verdict.REFUSE
    if phase is DrainPhase.SETTLING:
        return Verdict.ABORT
    is_over = phase is DrainPhase.ABORTING and kind not in _ENDS_TRANSACTION
    return Verdict.ABORT if is_over else Verdict.SERVE


class Drain:
    """Current phase of this node, which its sessions look at."""

    def __init__(self) -> None:
        self.phase = DrainPhase.SERVING

    def judge(self, kind: StatementKind, *, has_begun: bool) -> Verdict:
        """Return what is done with a statement now."""
        return judge_statement(self.phase, kind, has_begun=has_begun)

    def may_close(self, *, is_idle: bool) -> bool:
        """Return whether a session without a pending request is closed now.

        `is_idle` says that it has no transaction, and that no request has arrived in part.
        """
        if self.phase is DrainPhase.SETTLING:
            return True
        return self.phase >= DrainPhase.CLOSING and is_idle
