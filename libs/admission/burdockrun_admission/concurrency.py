"""Limit of the statements in progress at one member that follows its measured answer times."""

import random
from typing import Final, NamedTuple

from burdockrun_admission.answer_times import (
    AnswerTimes,
    Effect,
    Ratios,
    Sample,
    find_effect,
    is_crowded,
)
from burdockrun_admission.models import LimitChange, Outcome, WorkKind

# Statements beyond the slots, so that a slot does not idle during a round trip from the home.
SPARE_STATEMENTS: Final = 1
# Upper bound of the limit in multiples of the announced slots (part E of accounts-and-load.md).
MAX_SLOT_FACTOR: Final = 4
# Four standard errors above the usual time, for a period of samples whose spread is half their
# mean and a usual time that is 10% too low.
SLOW_RATIO: Final = 2.0
# A cut to half halves the answer time of a crowded member and leaves that of a slow one unchanged.
# The geometric mean of both separates them.
RESPONSE_RATIO: Final = 0.7
# A cut that costs more of the throughput than this was too deep; half of it is taken back.
MIN_CUT_THROUGHPUT: Final = 0.8
# Wait for statements of other homes, in multiples of the usual time, above which the limit shrinks;
# the standard error of the wait is about 0.3 in a period.
MAX_SHARED_WAIT: Final = 0.8
# Part of the additional answer time that such a wait must explain; slowness explains the rest.
MIN_SHARED_PART: Final = 0.5
# Statements queued at the member by this home, estimated from the answer times, below which the
# limit may grow and above which it shrinks. At the initial limit of 4 slots one is queued.
MIN_QUEUED: Final = 0.6
MAX_QUEUED: Final = 2.0
# Answer time over the usual one above which the limit does not grow.
MAX_GROWTH_RATIO: Final = 1.7
# Share of the proportional rise of the throughput that a higher limit must give to be kept.
GROWTH_GAIN: Final = 0.35
# Share of the throughput that a lower limit must give to be kept after a probe.
PROBE_THROUGHPUT: Final = 0.9
# Samples in a period; the standard error of a mean ratio is 11% with 20 and 16% with 10 of them.
PERIOD_SAMPLES: Final = 20
TRIAL_SAMPLES: Final = 10
# Additional share of the samples, drawn for each period, so that homes do not change in step.
PERIOD_JITTER: Final = 0.3
# Pause of growth after a change that had to be taken back; doubles with each one in this time.
MIN_GROWTH_PAUSE_MS: Final = 500.0
MAX_GROWTH_PAUSE_MS: Final = 3_000.0
CALM_MS: Final = 10_000.0
# A member that is always full is probed with half of its slots after this time. A probe takes 10
# samples: 0.1 s at 18 ms of work, in which half of the throughput is lost. The interval doubles.
MIN_PROBE_PAUSE_MS: Final = 4_000.0
MAX_PROBE_PAUSE_MS: Final = 64_000.0
# Weight of a period in the measured slowness of a member that is slow at any load.
SLOWNESS_WEIGHT: Final = 0.25
# Slowness below which a member counts as recovered.
RECOVERED_RATIO: Final = 1.3

REASON_SLOTS: Final = "slots"
REASON_SLOW: Final = "slow"
REASON_SLOW_AT_ANY_LOAD: Final = "slow at any load"
REASON_QUEUED: Final = "queue at the member"
REASON_FULL: Final = "member full"
REASON_GROWTH: Final = "growth"
REASON_NO_GAIN: Final = "no gain"
REASON_PROBE: Final = "probe"


class _Started(NamedTuple):
    kind: WorkKind
    at_ms: int
    running: int
    queued: bool
    counts: bool


class _Trial(NamedTuple):
    reason: str
    limit: int
    samples: list[Sample]


class ConcurrencyLimit:
    """Number of statements beyond which answer times rise without more throughput.

    The limit starts at the slots and one more. Answers that take twice the usual time of their
    kind halve it as a trial. If they get faster, load was the cause, and the lower limit stays.
    Otherwise the member is slow at any load; fewer statements would only reduce its throughput,
    and the limit returns. It grows by one while work waits, little is queued at the member, and
    the throughput rises with it. Only answers that began with more than half of the limit in
    progress count, so low demand changes nothing. Times are in ms of the node's clock.

    >>> limit = ConcurrencyLimit(4, random.Random(1))
    >>> limit.limit
    5
    """

    def __init__(self, slots: int, rng: random.Random) -> None:
        self._rng = rng
        self._slots = slots
        self._started: dict[int, _Started] = {}
        self._last_change: LimitChange | None = None
        self.restart()

    @property
    def limit(self) -> int:
        """Number of statements that may be in progress, at least 1."""
        return self._limit

    @property
    def last_change(self) -> LimitChange | None:
        """Last change of the limit."""
        return self._last_change

    @property
    def slowness(self) -> float:
        """Answer time that load does not explain, in multiples of the usual one; 1 if healthy."""
        return self._slowness

    def restart(self) -> None:
        """Return to the initial state, for a new process of the member.

        Statements in progress still count as running, but are not measured.
        """
        self._started = {
            work_id: started._replace(running=0) for work_id, started in self._started.items()
        }
        self._times = AnswerTimes()
        self._least = max(1, self._slots // 2)
        self._slowness = 1.0
        self._trial: _Trial | None = None
        self._growth_pause_ms = MIN_GROWTH_PAUSE_MS
        self._grow_from_ms = 0.0
        self._probe_pause_ms = MIN_PROBE_PAUSE_MS
        self._probe_from_ms: float | None = None
        self._limit = self._slots + SPARE_STATEMENTS
        self._begin_period(PERIOD_SAMPLES)

    def configure(self, slots: int) -> None:
        """Set the number of slots; another number starts the measurement again."""
        if slots == self._slots:
            return
        before = self._limit
        self._slots = slots
        self.restart()
        self._last_change = LimitChange(reason=REASON_SLOTS, before=before, after=self._limit)

    def start(self, work_id: int, kind: WorkKind, now_ms: int, *, queued: bool) -> None:
        """Note that a statement is sent; `queued` says whether more work waits for the member."""
        running = len(self._started) + 1
        # The first statements after a change still meet those sent before it.
        counts = self._to_skip <= 0 and running * 2 > self._limit
        self._to_skip -= 1
        self._started[work_id] = _Started(kind, now_ms, running, queued, counts)

    def finish(self, work_id: int, now_ms: int, outcome: Outcome) -> None:
        """Note how a statement ended. Only statements that were done are measured."""
        started = self._started.pop(work_id, None)
        if started is None or started.running == 0:
            return
        if outcome is Outcome.NOT_RUN and started.counts:
            self._note_setback(now_ms)
            self._change(1, REASON_FULL)
        elif outcome is Outcome.DONE:
            self._learn(started, now_ms)

    def _learn(self, started: _Started, now_ms: int) -> None:
        sample = Sample(started.kind, max(1, now_ms - started.at_ms), started.running)
        self._times.learn(sample, self._slots, now_ms, calm=not started.queued)
        if self._probe_from_ms is None or not is_crowded(started.running, self._slots):
            self._probe_from_ms = now_ms + self._probe_pause_ms * self._rng.uniform(1.0, 1.5)
        if not started.counts:
            return
        self._samples.append(sample)
        self._full_count += started.queued and started.running >= self._limit
        if len(self._samples) >= self._needed:
            self._decide(now_ms)

    def _decide(self, now_ms: int) -> None:
        samples, trial = self._samples, self._trial
        full = self._full_count * 2 > len(samples)
        ratios = self._times.compare(samples, self._slots)
        self._trial = None
        self._begin_period(PERIOD_SAMPLES)
        if trial is not None and self._is_taken_back(trial, samples, ratios, now_ms):
            return
        self._follow_slowness(ratios.pace)
        if self._has_shared_queue(ratios):
            # Homes with a high limit give way first, so that the limits become equal.
            if self._rng.random() * self._slots < self._limit - self._least:
                self._note_setback(now_ms)
                self._change(self._limit - 1, REASON_QUEUED)
        elif ratios.alone >= SLOW_RATIO * self._slowness:
            self._lower(samples, ratios)
        else:
            self._follow_queue(samples, ratios, full, now_ms)

    def _is_taken_back(
        self, trial: _Trial, samples: list[Sample], ratios: Ratios, now_ms: int
    ) -> bool:
        effect = find_effect(trial.samples, samples, self._slots)
        if trial.reason == REASON_SLOW:
            return self._is_cut_taken_back(trial, ratios, effect, now_ms)
        if trial.reason == REASON_PROBE:
            wanted, reason = PROBE_THROUGHPUT, REASON_PROBE
        else:
            wanted, reason = 1.0 + GROWTH_GAIN / trial.limit, REASON_NO_GAIN
        if effect.throughput >= wanted:
            self._grow_from_ms = 0.0
            return False
        if trial.reason == REASON_GROWTH:
            self._note_setback(now_ms)
        self._change(trial.limit, reason)
        return True

    def _is_cut_taken_back(
        self, trial: _Trial, ratios: Ratios, effect: Effect, now_ms: int
    ) -> bool:
        if ratios.pace >= SLOW_RATIO * self._slowness and effect.served > RESPONSE_RATIO:
            self._slowness = ratios.pace
            self._change(trial.limit, REASON_SLOW_AT_ANY_LOAD)
            return True
        self._note_setback(now_ms)
        if self._has_shared_queue(ratios) or effect.throughput >= MIN_CUT_THROUGHPUT:
            return False
        self._change((trial.limit + self._limit + 1) // 2, REASON_NO_GAIN)
        return True

    def _has_shared_queue(self, ratios: Ratios) -> bool:
        """Return whether statements of other homes make those of this home wait."""
        usual_ms = ratios.usual_ms * self._slowness
        additional_ms = ratios.additional_ms + ratios.usual_ms - usual_ms
        return ratios.shared_ms > max(MAX_SHARED_WAIT * usual_ms, MIN_SHARED_PART * additional_ms)

    def _lower(self, samples: list[Sample], ratios: Ratios) -> None:
        """Halve the limit as a trial; at its least value the member is slow at any load."""
        if self._limit <= self._least:
            self._slowness = max(self._slowness, ratios.pace)
        else:
            self._try(max(self._least, self._limit // 2), REASON_SLOW, samples)

    def _follow_slowness(self, pace: float) -> None:
        if self._slowness == 1.0:
            return
        if pace * 2 < self._slowness:
            self._slowness = pace
        elif pace < SLOW_RATIO * self._slowness:
            self._slowness += SLOWNESS_WEIGHT * (pace - self._slowness)
        if self._slowness < RECOVERED_RATIO:
            self._slowness = 1.0
            self._grow_from_ms = 0.0

    def _follow_queue(self, samples: list[Sample], ratios: Ratios, full: bool, now_ms: int) -> None:
        initial = self._slots + SPARE_STATEMENTS
        relative = max(1.0, ratios.total / self._slowness)
        queued = ratios.running * (1.0 - 1.0 / relative)
        if queued > MAX_QUEUED and self._limit > initial:
            self._change(self._limit - 1, REASON_QUEUED)
        elif full and queued < MIN_QUEUED and relative < MAX_GROWTH_RATIO:
            if now_ms >= self._grow_from_ms and self._limit < MAX_SLOT_FACTOR * self._slots:
                self._try(self._limit + 1, REASON_GROWTH, samples)
        elif (
            self._limit > self._least
            and full
            and self._probe_from_ms is not None
            and now_ms >= self._probe_from_ms
        ):
            self._probe_pause_ms = min(MAX_PROBE_PAUSE_MS, 2 * self._probe_pause_ms)
            self._try(self._least, REASON_PROBE, samples)

    def _try(self, limit: int, reason: str, samples: list[Sample]) -> None:
        # The additional statement above the slots bridges a round trip and need not gain more.
        judged = reason != REASON_GROWTH or limit != self._slots + SPARE_STATEMENTS
        trial = _Trial(reason, self._limit, samples)
        self._change(limit, reason)
        self._trial = trial if judged else None

    def _note_setback(self, now_ms: int) -> None:
        """Pause growth, for longer if the previous setback was not long ago."""
        recent = self._grow_from_ms > 0.0 and now_ms - self._grow_from_ms < CALM_MS
        pause_ms = 2 * self._growth_pause_ms if recent else MIN_GROWTH_PAUSE_MS
        self._growth_pause_ms = min(MAX_GROWTH_PAUSE_MS, pause_ms)
        self._grow_from_ms = now_ms + self._growth_pause_ms * self._rng.uniform(1.0, 1.5)

    def _change(self, limit: int, reason: str) -> None:
        if limit != self._limit:
            self._last_change = LimitChange(reason=reason, before=self._limit, after=limit)
            self._limit = limit
        self._trial = None
        self._begin_period(TRIAL_SAMPLES)
        self._to_skip = limit
        # What was sent at the previous limit says nothing about the present one.
        for work_id, started in self._started.items():
            self._started[work_id] = started._replace(counts=False)

    def _begin_period(self, samples: int) -> None:
        self._samples: list[Sample] = []
        self._full_count = 0
        self._to_skip = 0
        self._needed = int(samples * self._rng.uniform(1.0, 1.0 + PERIOD_JITTER))
