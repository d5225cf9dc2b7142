"""Usual answer times of the kinds of statements of one member."""

from collections.abc import Sequence
from statistics import fmean, median
from typing import Final, NamedTuple

from burdockrun_admission.models import WorkKind

# With this number of samples the usual time has a standard error of about 10%.
USUAL_SAMPLES: Final = 30
# Answers that take longer than this many times the usual time count as this long.
OUTLIER_RATIO: Final = 8.0
# Means of recent answers outside of these ratios to the usual time are no noise: they are three
# standard errors away, or five for crowded answers, whose correction for the queue is coarse.
FALL_RATIO: Final = 1.4
CROWDED_FALL_RATIO: Final = 2.0
RISE_RATIO: Final = 1.4
# Time in which the usual time follows a lasting slowness, longer than most disturbances.
USUAL_RISE_MS: Final = 60_000.0
RECENT_WEIGHT: Final = 0.1
# A single kind must have this many samples in a period to count.
MIN_KIND_SAMPLES: Final = 4
# The mean may exceed the median by this ratio at most: a stall of the member delays fewer than half
# of the answers of a period, slowness delays most.
MEDIAN_FACTOR: Final = 1.4
# Usual times must differ by this ratio to separate a wait from slowness.
MIN_KIND_SPREAD: Final = 1.5
# Lower bound of a ratio of answer times, for a usual time that is still too high.
MIN_RATIO: Final = 0.1


class Sample(NamedTuple):
    """Answer time of a statement, and the statements in progress with it at its start."""

    kind: WorkKind
    answer_ms: float
    running: int


class Ratios(NamedTuple):
    """Answer times of a period compared with the usual ones.

    `total` is the ratio of both. `alone` leaves out the queue of this home at the member and the
    kind that raises the ratio most, `pace` all waits for other statements. `shared_ms` is the wait
    for statements of other homes, `additional_ms` the answer time beyond the usual one and the
    queue of this home. `running` is the mean number of statements in progress.
    """

    total: float
    alone: float
    pace: float
    shared_ms: float
    additional_ms: float
    usual_ms: float
    running: float


class Effect(NamedTuple):
    """Change from one period to another, as factors.

    `served` is that of the answer time without the queue of this home at the member.
    """

    throughput: float
    served: float


class _Usual:
    __slots__ = ("at_ms", "count", "mean_ms", "recent_ms")

    def __init__(self, answer_ms: float, now_ms: int) -> None:
        self.mean_ms = self.recent_ms = answer_ms
        self.count = 1
        self.at_ms = now_ms

    def follow(self, answer_ms: float, now_ms: int) -> None:
        self.count = min(USUAL_SAMPLES, self.count + 1)
        weight = 1.0 / self.count
        if self.count > MIN_KIND_SAMPLES and self.recent_ms > RISE_RATIO * self.mean_ms:
            weight = min(weight, (now_ms - self.at_ms) / USUAL_RISE_MS)
        self.mean_ms += weight * (answer_ms - self.mean_ms)


def is_crowded(running: int, slots: int) -> bool:
    """Return whether this home alone uses more than half of the slots.

    >>> is_crowded(1, 1), is_crowded(2, 4), is_crowded(3, 4)
    (False, False, True)
    """
    return running > 1 and running * 2 > slots


class AnswerTimes:
    """Usual answer time of each kind: the mean at a member that is not crowded by this home."""

    def __init__(self) -> None:
        self._kinds: dict[WorkKind, _Usual] = {}

    def learn(self, sample: Sample, slots: int, now_ms: int, *, calm: bool) -> None:
        """Add an answer; `calm` means that no more work waited when it began.

        Only calm answers at an uncrowded member set the usual time. Any answers lower it if they
        are clearly faster: a member is never faster for being crowded.
        """
        crowded = is_crowded(sample.running, slots)
        answer_ms = sample.answer_ms * min(1.0, slots / sample.running)
        known = self._kinds.get(sample.kind)
        if known is None:
            self._kinds[sample.kind] = _Usual(answer_ms, now_ms)
            return
        answer_ms = min(answer_ms, OUTLIER_RATIO * known.mean_ms)
        known.recent_ms += RECENT_WEIGHT * (answer_ms - known.recent_ms)
        if known.recent_ms * (CROWDED_FALL_RATIO if crowded else FALL_RATIO) < known.mean_ms:
            known.mean_ms = known.recent_ms
        elif known.count < MIN_KIND_SAMPLES or (calm and not crowded):
            known.follow(answer_ms, now_ms)
        known.at_ms = now_ms

    def compare(self, samples: Sequence[Sample], slots: int) -> Ratios:
        """Compare the answer times of a period with the present usual times."""
        running, own_queue_ms = _find_own_queue(samples, slots)
        rests = [
            [sample for sample in samples if sample.kind != kind]
            for kind in {sample.kind for sample in samples}
        ]
        # A kind that alone has become slow does not pass for a slow member.
        large = [samples, *(rest for rest in rests if len(rest) >= MIN_KIND_SAMPLES)]
        usual_ms = fmean(self._kinds[sample.kind].mean_ms for sample in samples)
        answer_ms = fmean(sample.answer_ms for sample in samples)
        wait_ms = self._find_wait(samples)
        return Ratios(
            total=self._compare(samples, 0.0),
            alone=min(self._compare(part, own_queue_ms) for part in large),
            pace=max(1.0, (answer_ms - max(wait_ms, own_queue_ms)) / usual_ms),
            shared_ms=wait_ms - own_queue_ms,
            additional_ms=answer_ms - own_queue_ms - usual_ms,
            usual_ms=usual_ms,
            running=running,
        )

    def _find_wait(self, samples: Sequence[Sample]) -> float:
        """Return the wait in ms that is common to all kinds.

        A slow member takes a multiple of the usual time of each kind; a queue, also of statements
        of other homes, adds the same wait to all. The line through the mean answers of the kinds
        over their usual times separates both. The least wait without one of the kinds counts, so
        a slow kind does not pass for a wait. Without kinds that differ the wait is 0.
        """
        points: list[_Point] = []
        for kind in {sample.kind for sample in samples}:
            answers_ms = [sample.answer_ms for sample in samples if sample.kind == kind]
            points.append(_Point(self._kinds[kind].mean_ms, fmean(answers_ms), len(answers_ms)))
        rests = [[other for other in points if other is not point] for point in points]
        return min(map(_find_intercept, [points, *(rest for rest in rests if len(rest) > 1)]))

    def _compare(self, samples: Sequence[Sample], own_queue_ms: float) -> float:
        usual_ms = [self._kinds[sample.kind].mean_ms for sample in samples]
        answers_ms = [
            min(sample.answer_ms, OUTLIER_RATIO * usual)
            for sample, usual in zip(samples, usual_ms, strict=True)
        ]
        middle = median(a / u for a, u in zip(answers_ms, usual_ms, strict=True))
        mean = (sum(answers_ms) - own_queue_ms * len(samples)) / sum(usual_ms)
        return max(MIN_RATIO, min(mean, middle * MEDIAN_FACTOR))


class _Point(NamedTuple):
    usual_ms: float
    answer_ms: float
    number: int


def _find_intercept(points: Sequence[_Point]) -> float:
    if max(points).usual_ms < MIN_KIND_SPREAD * min(points).usual_ms:
        return 0.0
    # The spread of answers grows with the usual time of their kind.
    middle = fmean(point.usual_ms for point in points)
    weights = [point.number / (point.usual_ms**2 + middle**2) for point in points]
    usual_ms = fmean((point.usual_ms for point in points), weights)
    answer_ms = fmean((point.answer_ms for point in points), weights)
    joint = spread = 0.0
    for point, weight in zip(points, weights, strict=True):
        joint += weight * (point.usual_ms - usual_ms) * (point.answer_ms - answer_ms)
        spread += weight * (point.usual_ms - usual_ms) ** 2
    return max(0.0, answer_ms - max(1.0, joint / spread) * usual_ms)


def _find_own_queue(samples: Sequence[Sample], slots: int) -> tuple[float, float]:
    """Return the mean statements in progress, and the wait for those beyond the slots in ms.

    All kinds wait the same time for statements before them: a short kind that waits for a long one
    takes several times its usual time.
    """
    running = fmean(sample.running for sample in samples)
    answer_ms = fmean(sample.answer_ms for sample in samples)
    return running, answer_ms * max(0.0, 1.0 - slots / running)


def find_effect(before: Sequence[Sample], after: Sequence[Sample], slots: int) -> Effect:
    """Compare two periods by the kinds that both contain.

    A change of the mix of kinds thus does not pass for a change of the member.
    """
    kinds = {sample.kind for sample in before} & {sample.kind for sample in after}
    answers_ms, served_ms, running = [0.0, 0.0], [0.0, 0.0], [0.0, 0.0]
    for side, samples in enumerate((before, after)):
        running[side], own_queue_ms = _find_own_queue(samples, slots)
        for kind in kinds:
            weight = sum(sample.kind == kind for sample in [*before, *after])
            answer_ms = fmean(s.answer_ms for s in samples if s.kind == kind)
            answers_ms[side] += weight * answer_ms
            served_ms[side] += weight * max(1.0, answer_ms - own_queue_ms)
    if not kinds:
        return Effect(running[1] / running[0], 1.0)
    slower = answers_ms[1] / answers_ms[0]
    return Effect(running[1] / running[0] / slower, served_ms[1] / served_ms[0])
