"""Decision whether a candidate serves a member through its own connections now."""

from burdockrun_groups.const import FIRST_HOME_RAMP_MS, STEP_BACK_MS
from burdockrun_groups.homes import ConnectionPlan


class HomeRole:
    """Part that this node has in serving one member: home, candidate that stepped in, or caller.

    The first candidate serves always. A later one steps in when the earlier ones do not answer it,
    or when another node asks it because they do not answer that node. It steps back when an earlier
    one answers and no node has asked it for `STEP_BACK_MS`. Plans without accounts are returned
    unchanged. Times are in ms.
    """

    def __init__(self) -> None:
        self.plan = ConnectionPlan(quota=0)
        self.stepped_in = False
        self._first_since_ms: int | None = None
        self._asked_ms = 0

    def set_plan(self, plan: ConnectionPlan, now_ms: int) -> None:
        """Set the plan that follows from the registrations."""
        self.plan = plan
        is_first = plan.single_home and not plan.homes
        if not is_first:
            self._first_since_ms = None
        elif self._first_since_ms is None:
            self._first_since_ms = now_ms
        if not plan.is_later_candidate():
            self.stepped_in = False

    def note_asked(self, now_ms: int) -> bool:
        """Note that another node asks to reach the member; return whether this node serves it."""
        if self.plan.is_later_candidate():
            self.stepped_in = True
            self._asked_ms = now_ms
        return self.serves()

    def note_homes_failed(self, now_ms: int) -> None:
        """Note that none of the earlier candidates answers this node."""
        if self.plan.is_later_candidate() and not self.stepped_in:
            self.stepped_in = True
            self._asked_ms = now_ms

    def note_home_answered(self, now_ms: int) -> None:
        """Note that an earlier candidate serves the member."""
        if now_ms - self._asked_ms >= STEP_BACK_MS:
            self.stepped_in = False

    def may_step_back(self, now_ms: int) -> bool:
        """Return whether to check if an earlier candidate answers again."""
        return self.stepped_in and now_ms - self._asked_ms >= STEP_BACK_MS

    def serves(self) -> bool:
        """Return whether this node reaches the member through its own connections."""
        return self.stepped_in or not self.plan.homes

    def find_plan(self, now_ms: int) -> ConnectionPlan:
        """Return the plan that the connections of this node follow now."""
        plan = self.plan
        if not plan.single_home or not self.serves():
            return plan
        quota = plan.quota
        if self._first_since_ms is not None and now_ms < self._first_since_ms + FIRST_HOME_RAMP_MS:
            quota = max(1, quota // 2)
        return ConnectionPlan(quota=quota, observes=plan.observes, single_home=True, is_home=True)
