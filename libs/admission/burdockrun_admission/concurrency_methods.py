"""Other methods to limit the statements in progress, for the comparison in the experiment."""

from typing import Final

from burdockrun_admission.models import FixedLimit, LimitChange, Outcome, WorkKind

AIMD_LATE_FACTOR: Final = 2.0
AIMD_DECREASE: Final = 0.9
GRADIENT_TOLERANCE: Final = 1.5
SMOOTHING: Final = 0.2
KNEE_PERIOD_MS: Final = 250
KNEE_GAIN: Final = 1.05


class MeasuredLimit(FixedLimit):
    """Base of the methods: limit as a real number, least answer time and running count."""

    def __init__(self, slots: int) -> None:
        super().__init__(slots)
        self._slots = slots
        self._value = float(self.limit)
        self._started: dict[int, tuple[WorkKind, int, bool]] = {}
        self._usual: dict[WorkKind, float] = {}
        self.last_change: LimitChange | None = None

    def start(self, work_id: int, kind: WorkKind, now_ms: int, *, queued: bool) -> None:
        """Note the start of a statement."""
        full = queued and len(self._started) + 1 >= self.limit
        self._started[work_id] = (kind, now_ms, full)

    def finish(self, work_id: int, now_ms: int, outcome: Outcome) -> None:
        """Learn from the answer of a statement."""
        kind, at_ms, full = self._started.pop(work_id)
        answer_ms = max(1.0, now_ms - at_ms)
        # Slowly rising mean of the shorter answers, in place of a minimum over single answers.
        usual_ms = self._usual.get(kind, answer_ms)
        weight = 0.05 if answer_ms < usual_ms * 2 else 0.001
        self._usual[kind] = usual_ms + weight * (answer_ms - usual_ms)
        self._update(answer_ms / usual_ms, full, now_ms, outcome)
        self._value = min(max(self._value, 1.0), 4.0 * self._slots)
        self.limit = int(self._value)

    def _update(self, ratio: float, full: bool, now_ms: int, outcome: Outcome) -> None:
        raise NotImplementedError


class AimdLimit(MeasuredLimit):
    """Additive increase, multiplicative decrease on answers of over twice their usual time."""

    def _update(self, ratio: float, full: bool, now_ms: int, outcome: Outcome) -> None:
        if outcome is Outcome.NOT_RUN or ratio > AIMD_LATE_FACTOR:
            self._value *= AIMD_DECREASE
        elif full:
            self._value += 1.0 / self._value


class GradientLimit(MeasuredLimit):
    """Usual over present answer time times the limit, plus room for a queue."""

    _ratio = 1.0

    def _update(self, ratio: float, full: bool, now_ms: int, outcome: Outcome) -> None:
        self._ratio += SMOOTHING * (min(ratio, 8.0) - self._ratio)
        gradient = min(1.0, max(0.5, GRADIENT_TOLERANCE / self._ratio))
        wanted = self._value * gradient + self._value**0.5
        if full or wanted < self._value:
            self._value += SMOOTHING / self._value * (wanted - self._value)


class KneeLimit(MeasuredLimit):
    """Hill climbing on the statements done in periods of `KNEE_PERIOD_MS`."""

    _done = 0.0
    _full = 0
    _from_ms = 0
    _last = 0.0
    _step = 1

    def _update(self, ratio: float, full: bool, now_ms: int, outcome: Outcome) -> None:
        self._done += outcome is Outcome.DONE
        self._full += full
        if now_ms - self._from_ms < KNEE_PERIOD_MS:
            return
        rate = self._done / (now_ms - self._from_ms)
        if self._full * 2 > self._done:
            if rate < self._last * KNEE_GAIN:
                self._step = -self._step
            self._value += self._step
        self._last, self._done, self._full, self._from_ms = rate, 0.0, 0, now_ms
