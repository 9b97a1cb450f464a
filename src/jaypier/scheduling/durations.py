"""Expected durations of tasks, learned from runs that have succeeded and from the progress of runs.

The error of an estimate is common to all tasks of a step, so what the step's own tasks show counts
most. Before they show anything, the queue's earlier steps tell how much its estimates are worth: a
line is fitted to the logarithms of durations over estimates. Its slope is 1 where estimates are
reliable and lower where the usual duration in the queue says more than the estimate.
"""

import itertools
import math
from collections import defaultdict
from collections.abc import Iterable
from statistics import median
from typing import Any
from weakref import WeakKeyDictionary

import attrs

from jaypier.jobs.state import Run, StepState
from jaypier.scheduling.learned_section import LearnedSection

PRIOR_STEPS = 4.0
"""Number of steps with exact estimates that the fit of a queue starts from."""

PRIOR_ESTIMATE_SPREAD = 0.4
"""Spread of the estimates of these steps, as the standard deviation of their natural logarithm."""

PRIOR_ERROR = 0.3
"""Error of these estimates, as the standard deviation of their natural logarithm."""

MIN_ERROR = 0.05
"""Smallest error assumed for expected durations, in the same unit."""

MEMORY_STEPS = 64.0
"""Number of steps over which the weight of an earlier one falls by a factor of e."""

MAX_LOG_RESIDUAL = 1.5
"""Largest deviation from the fit with which a step counts, as a natural logarithm: runs on workers
that hang, or tasks that take many times as long as others, change the fit little."""

MAX_LOG_EXCESS = 1.2
"""Excess of an estimate over the usual one beyond which it is believed, as a natural logarithm:
some tasks take many times as long as the others, and their estimates say so."""

MIN_USUAL_STEPS = 3
"""Number of steps of a queue from which its usual estimate is known."""

DEAD_BAND_LOG = 0.15
"""Correction below which the caller's estimate is kept, as a natural logarithm: tasks of one step
differ by as much."""

TASK_SPREAD = 0.1
"""Spread of the durations of one step's tasks, as the standard deviation of their natural
logarithm."""

WORKER_SPREAD = 0.2
"""The same for the speed of one worker, which may be slow for a while."""

MIN_SAMPLED_TASKS = 3
"""Number of tasks of a step that have to end before its duration counts for its queue."""

MAX_COMPARED_RUNS = 32
"""Largest number of runs and of ended tasks of one step that are evaluated together."""

REFRESH_SECONDS = 0.5
"""Shortest time between two evaluations of the same step's progress."""

MIN_PROJECTED_PERCENT = 5.0
"""Progress in percent from which a run's duration is projected."""

NOTICEABLE_LOG_CHANGE = 0.08
"""Change of a queue's fit after which its waiting steps are assessed again, and the fit is worth
being recorded, as a natural logarithm of the duration."""

MAX_RECORDED_QUEUES = 100
"""Largest number of queues in a record: about 6 KB."""

MIN_RECORDED_STEPS = 4
"""Number of steps of a queue from which its fit is recorded."""

MAX_RECORDED_STEPS = 16.0
"""Largest weight of a restored fit, so that what has changed meanwhile is soon learned."""

MAX_RECORDED_LOG = 30.0
"""Largest logarithm in a record: 300,000 years, or as many times an estimate."""


@attrs.define
class QueueFit:
    """Line fitted to the logarithms of durations over estimates in one queue.

    :param count: number of steps, earlier ones with less weight.
    :param mean_estimate: mean logarithm of their estimates.
    :param mean_ratio: mean logarithm of duration over estimate.
    :param estimate_squares: sum of the squared deviations of the logarithms of estimates.
    :param ratio_squares: the same for the ratios.
    :param products: sum of the products of both deviations.
    """

    count: float = 0.0
    mean_estimate: float = 0.0
    mean_ratio: float = 0.0
    estimate_squares: float = 0.0
    ratio_squares: float = 0.0
    products: float = 0.0

    @property
    def slope(self) -> float:
        """Change of the logarithm of the ratio with that of the estimate, from -1 to 0."""
        prior = PRIOR_STEPS * PRIOR_ESTIMATE_SPREAD**2
        return min(0.0, max(-1.0, self.products / (self.estimate_squares + prior)))

    def correction(self, log_estimate: float) -> float:
        """Return the expected logarithm of duration over estimate."""
        level = self.mean_ratio * self.count / (self.count + PRIOR_STEPS)
        deviation = log_estimate - self.mean_estimate
        return level + self.slope * min(deviation, MAX_LOG_EXCESS)

    @property
    def variance(self) -> float:
        """Variance of the logarithms of durations about the fitted line."""
        slope = self.slope
        squares = self.ratio_squares - 2 * slope * self.products + slope**2 * self.estimate_squares
        prior = PRIOR_STEPS * PRIOR_ERROR**2
        return max(MIN_ERROR**2, (max(0.0, squares) + prior) / (self.count + PRIOR_STEPS))

    def observe(self, log_estimate: float, log_duration: float) -> None:
        """Add one step."""
        if self.count >= MIN_USUAL_STEPS:
            excess = max(0.0, log_estimate - self.mean_estimate - MAX_LOG_EXCESS)
            log_estimate, log_duration = log_estimate - excess, log_duration - excess
        expected = self.correction(log_estimate)
        ratio = log_duration - log_estimate
        ratio = min(expected + MAX_LOG_RESIDUAL, max(expected - MAX_LOG_RESIDUAL, ratio))
        kept = 1 - 1 / MEMORY_STEPS
        self.count = self.count * kept + 1
        estimate_error, ratio_error = log_estimate - self.mean_estimate, ratio - self.mean_ratio
        self.mean_estimate += estimate_error / self.count
        self.mean_ratio += ratio_error / self.count
        weight = 1 - 1 / self.count
        self.estimate_squares = self.estimate_squares * kept + weight * estimate_error**2
        self.ratio_squares = self.ratio_squares * kept + weight * ratio_error**2
        self.products = self.products * kept + weight * estimate_error * ratio_error

    def difference(self, other: "QueueFit") -> float:
        """Return by how much the corrections of usual estimates differ from those of another fit.

        :returns: natural logarithm.
        """
        spread = PRIOR_ESTIMATE_SPREAD
        usual = (self.mean_estimate - spread, self.mean_estimate + spread)
        return max(abs(self.correction(each) - other.correction(each)) for each in usual)


@attrs.define
class StepObservation:
    """What the tasks of one step have shown.

    :param ended: logarithms of the durations of its ended tasks at speed 1, in seconds.
    :param workers: ids of the workers on which they ended.
    :param refreshed_at: time on the local clock, in seconds, of the last evaluation.
    :param is_sampled: whether it counts for its queue already.
    """

    ended: list[float] = attrs.field(factory=list)
    workers: set[str] = attrs.field(factory=set)
    refreshed_at: float = -math.inf
    is_sampled: bool = False


class DurationModel(LearnedSection):
    """Expected durations of steps.

    :ivar fits: what is known of each queue.
    :ivar applied: the fit of each queue by which its waiting steps were last assessed.
    :ivar steps: what the tasks of single steps have shown.
    """

    def __init__(self) -> None:
        self.fits: dict[str, QueueFit] = defaultdict(QueueFit)
        self.applied: dict[str, QueueFit] = defaultdict(QueueFit)
        self.steps: WeakKeyDictionary[StepState, StepObservation] = WeakKeyDictionary()

    def expect(self, steps: Iterable[StepState]) -> None:
        """Set the expected duration of steps by what their queues and they themselves show."""
        for step in steps:
            estimate = step.spec.estimated_seconds
            if estimate <= 0 or step.spec.lasts or step.is_done:
                continue
            fit = self.fits.get(step.job.spec.queue)
            correction = fit.correction(math.log(estimate)) if fit is not None else 0.0
            observed = self.observed_correction(step)
            if observed is not None:
                mean, variance = observed
                prior = fit.variance if fit is not None else PRIOR_ERROR**2
                correction += (mean - correction) * prior / (prior + variance)
            is_noticeable = abs(correction) >= DEAD_BAND_LOG
            step.expected_seconds = estimate * math.exp(correction) if is_noticeable else estimate

    def observed_correction(self, step: StepState) -> tuple[float, float] | None:
        """Return the mean and variance of the logarithm of duration over estimate in a step.

        :returns: ``None`` when its tasks have shown nothing yet.
        """
        observation = self.steps.get(step)
        if observation is None:
            return None
        running = projected_durations(step)
        logs = observation.ended[-MAX_COMPARED_RUNS:] + [log for _, log in running]
        if not logs:
            return None
        workers = len(observation.workers | {run.worker.id for run, _ in running})
        variance = TASK_SPREAD**2 / len(logs) + WORKER_SPREAD**2 / workers
        return median(logs) - math.log(step.spec.estimated_seconds), variance

    def ended_logs(self, step: StepState) -> list[float]:
        """Return the logarithms of the durations of a step's ended tasks at speed 1."""
        observation = self.steps.get(step)
        return [] if observation is None else observation.ended

    def observe_progress(self, step: StepState, now: float) -> None:
        """Correct the expected duration of a step whose runs have progressed.

        :param now: time on the local clock, in seconds.
        """
        if step.spec.lasts or step.spec.estimated_seconds <= 0:
            return
        observation = self.steps.setdefault(step, StepObservation())
        if now >= observation.refreshed_at + REFRESH_SECONDS:
            observation.refreshed_at = now
            self.expect([step])

    def observe_end(self, run: Run, seconds: float, now: float) -> bool:
        """Record the duration of a run that has succeeded without a checkpoint.

        A gang ends as a whole, at the speed of its slowest worker. One that has to stay in one rack
        and did not tells nothing, as it was slower.

        :param seconds: its duration.
        :param now: time on the local clock, in seconds.
        :returns: whether the queue's fit has changed noticeably, so that its other steps should be
            assessed again.
        """
        step = run.step
        estimate = step.spec.estimated_seconds
        if step.spec.lasts or estimate <= 0 or seconds <= 0:
            return False
        if step.spec.is_rack_local and spans_racks(step, run):
            return False
        speed = pace_of(step, run)
        observation = self.steps.setdefault(step, StepObservation())
        observation.ended.append(math.log(seconds * speed))
        observation.workers.add(run.worker.id)
        is_complete = step.spec.is_gang or len(observation.ended) >= min(
            MIN_SAMPLED_TASKS, step.spec.count
        )
        has_changed = False
        if is_complete and not observation.is_sampled:
            observation.is_sampled = True
            has_changed = self.observe_step(step)
        self.observe_progress(step, now)
        return has_changed

    def observe_step(self, step: StepState) -> bool:
        """Add a step to the fit of its queue; return whether the fit has changed noticeably."""
        observed = self.observed_correction(step)
        if observed is None:
            return False
        queue, log_estimate = step.job.spec.queue, math.log(step.spec.estimated_seconds)
        fit = self.fits[queue]
        fit.observe(log_estimate, log_estimate + observed[0])
        if fit.difference(self.applied[queue]) < NOTICEABLE_LOG_CHANGE:
            return False
        self.applied[queue] = attrs.evolve(fit)
        return True

    # Records

    def to_record(self) -> dict[str, Any]:
        """Return what is known of the queues as plain JSON values."""
        known = [
            (queue, fit) for queue, fit in self.fits.items() if fit.count >= MIN_RECORDED_STEPS
        ]
        known = sorted(known, key=lambda item: -item[1].count)[:MAX_RECORDED_QUEUES]
        return {queue: [round(each, 3) for each in attrs.astuple(fit)] for queue, fit in known}

    def restore(self, record: dict[str, Any]) -> None:
        """Start from a record.

        :raises ValueError: when it has another form.
        :raises TypeError: the same.
        """
        fits = {queue: restore_fit(values) for queue, values in record.items()}
        for queue, fit in fits.items():
            self.fits[queue], self.applied[queue] = fit, attrs.evolve(fit)

    def differs(self, record: dict[str, Any]) -> bool:
        """Whether more is known than in a record, by enough to be worth another one."""
        return any(
            queue not in record
            or self.fits[queue].difference(QueueFit(*record[queue])) >= NOTICEABLE_LOG_CHANGE
            for queue in self.to_record()
        )

    def describe(self) -> dict[str, dict[str, float]]:
        """Return the number of steps, the usual error of estimates and what is left, by queue.

        Errors are natural logarithms.
        """
        return {
            queue: {
                "steps": round(fit.count, 1),
                "mean_estimate_error": round(fit.mean_ratio, 3),
                "estimate_error": round(
                    math.sqrt(fit.ratio_squares / fit.count + fit.mean_ratio**2), 3
                ),
                "expected_error": round(math.sqrt(fit.variance), 3),
            }
            for queue, fit in itertools.islice(self.fits.items(), MAX_RECORDED_QUEUES)
            if fit.count
        }


def restore_fit(values: Any) -> QueueFit:
    """Return a recorded fit with at most ``MAX_RECORDED_STEPS`` of weight.

    :raises ValueError: when the values cannot be those of a fit.
    :raises TypeError: the same.
    """
    if len(values) != len(attrs.fields(QueueFit)):
        raise ValueError(f"no fit of a queue: expected 6 numbers, got {len(values)}")
    fit = QueueFit(*(float(each) for each in values))
    means = (fit.mean_estimate, fit.mean_ratio)
    squares = (fit.estimate_squares, fit.ratio_squares)
    # Beside these bounds, products are bounded as well; a comparison with NaN fails.
    is_possible = (
        0 < fit.count < math.inf
        and all(abs(each) <= MAX_RECORDED_LOG for each in means)
        and all(0 <= each <= fit.count * MAX_RECORDED_LOG**2 for each in squares)
        and abs(fit.products) <= fit.count * MAX_RECORDED_LOG**2
    )
    if not is_possible:
        raise ValueError("no fit of a queue: its numbers are out of range")
    share = min(1.0, MAX_RECORDED_STEPS / fit.count)
    return attrs.evolve(
        fit,
        count=fit.count * share,
        estimate_squares=fit.estimate_squares * share,
        ratio_squares=fit.ratio_squares * share,
        products=fit.products * share,
    )


def projected_durations(step: StepState) -> list[tuple[Run, float]]:
    """Return runs of a step with the logarithms of their projected durations at speed 1.

    The projection follows the newest progress. Tasks of a gang wait for each other, so one run
    stands for all. Slow workers are left out: their runs show the trouble, not the work.
    """
    if step.spec.is_rack_local and spans_racks(step):
        return []
    limit = 1 if step.spec.is_gang else MAX_COMPARED_RUNS
    projected = (
        run
        for run in step.active.values()
        if run.relative_speed
        and run.percent >= MIN_PROJECTED_PERCENT
        and run.worker.slow_since == math.inf
    )
    estimate = step.spec.estimated_seconds
    return [
        (run, math.log(estimate / run.relative_speed * pace_of(step, run)))
        for run in itertools.islice(projected, limit)
    ]


def pace_of(step: StepState, run: Run) -> float:
    """Return the speed at which a run of a step works: that of the slowest worker of a gang."""
    if not step.spec.is_gang:
        return run.worker.speed
    return min(each.worker.speed for each in itertools.chain(step.runs, [run]))


def spans_racks(step: StepState, *others: Run) -> bool:
    """Whether the runs of a step, and others, are on several racks."""
    return len({run.worker.entry.rack for run in itertools.chain(step.runs, others)}) > 1
