"""Which workers are slow or stand still, by the progress of their tasks.

Such a worker answers every order and fails nothing, so only the progress of what runs on it shows
its state. Estimates of single callers are rough; a worker is judged by the median of its tasks.
"""

import math
from collections import deque
from collections.abc import Mapping
from statistics import median
from typing import TYPE_CHECKING

from jaypier.jobs.state import Run, Worker

if TYPE_CHECKING:
    from jaypier.jobs.cluster import ClusterState

MIN_SAMPLE_SECONDS = 0.7
"""Shortest time between two samples of a task's progress: a little under a report's period."""

MIN_SAMPLE_SHARE = 0.08
"""Share of a task's estimate between two samples, so that whole percents are precise enough."""

SLOW_RELATIVE_SPEED = 0.3
"""Progress against the estimate below which a worker is slow: trusted estimates are within a factor
of 1.5, slow workers take 4 times as long and more."""

SLOW_SECONDS = 1.8
"""Time for which a worker has to be slow before it is avoided: two samples."""

WARM_UP_SECONDS = 1.0
"""Time after a run's start in which it is not sampled: it starts up or restores a checkpoint."""

SLOW_AVOID_SECONDS = 3.0
"""Time for which a slow worker is avoided after its newest slow report."""

ACCURACY_WINDOW_TASKS = 30
"""Ended tasks of a queue by which its estimates are judged."""

MIN_ACCURACY_TASKS = 4
"""Ended tasks of a queue before its estimates are trusted."""

MAX_RELIABLE_LOG_ERROR = 0.4
"""Median error of trusted estimates, as a natural logarithm: a factor of 1.5, well inside the
factor by which slow workers differ."""

STALL_SECONDS = 2.5
"""Time without progress after which a gang is started again elsewhere: more than two reports."""

STALL_SHARE = 0.1
"""The same as a share of the gang's estimate, where that is longer."""


class EstimateAccuracy:
    """How far the estimates of one queue are from what its tasks took."""

    def __init__(self) -> None:
        self.errors: deque[float] = deque(maxlen=ACCURACY_WINDOW_TASKS)

    def record(self, estimate: float, actual: float) -> None:
        """Note a task that has ended well."""
        if estimate > 0 and actual > 0:
            self.errors.append(abs(math.log(actual / estimate)))

    @property
    def is_reliable(self) -> bool:
        """Whether estimates are close enough to judge workers by them."""
        return (
            len(self.errors) >= MIN_ACCURACY_TASKS and median(self.errors) < MAX_RELIABLE_LOG_ERROR
        )


def sample_speed(run: Run, now: float) -> None:
    """Take a sample of a run's progress."""
    if now < run.started_at + WARM_UP_SECONDS:
        return
    if run.sampled_at > now:
        run.sampled_percent, run.sampled_at = run.percent, now
        return
    estimate = run.step.spec.estimated_seconds
    elapsed = now - run.sampled_at
    if estimate <= 0 or elapsed < max(MIN_SAMPLE_SECONDS, MIN_SAMPLE_SHARE * estimate):
        return
    run.relative_speed = (run.percent - run.sampled_percent) / 100 * estimate / elapsed
    run.sampled_percent, run.sampled_at = run.percent, now


def update_slow_worker(
    worker: Worker, estimate_accuracy: Mapping[str, EstimateAccuracy], now: float
) -> None:
    """Note whether a worker is slow, by its tasks that work alone and have trusted estimates.

    Tasks of a gang wait for each other, so their progress says nothing of their own worker.

    :param estimate_accuracy: record of each queue.
    """
    speeds = [
        run.relative_speed
        for run in worker.runs.values()
        if run.relative_speed is not None
        and not run.step.spec.is_gang
        and not run.is_stopping
        and estimate_accuracy[run.step.job.spec.queue].is_reliable
    ]
    if not speeds or median(speeds) >= SLOW_RELATIVE_SPEED:
        worker.slow_since = math.inf
        return
    worker.slow_since = min(worker.slow_since, now)
    if is_slow(worker, now):
        worker.avoid_until = max(worker.avoid_until, now + SLOW_AVOID_SECONDS)


def is_slow(worker: Worker, now: float) -> bool:
    """Whether a worker's tasks have been much slower than estimated for a while."""
    return now - worker.slow_since >= SLOW_SECONDS


def mark_straggler_runs(cluster: "ClusterState", now: float) -> list[Run]:
    """Mark and return runs that end sooner if they are started again elsewhere."""
    if sum(is_slow(worker, now) for worker in cluster.workers.values()) * 2 > len(cluster.workers):
        return []
    marked = []
    for worker in cluster.workers.values():
        for run in worker.runs.values():
            is_exempt = not run.step.job.spec.is_preemptible or run.step.spec.lasts
            if run.is_stopping or not run.is_confirmed or is_exempt:
                continue
            if run.step.spec.is_gang:
                if is_gang_stalled(run, now):
                    marked += mark_gang_for_restart(cluster, run)
            elif benefits_from_restart(cluster, run, now):
                run.step.tasks[run.task.index].failed_on.add(worker.id)
                marked += [run] if cluster.mark_stopping(run) else []
    return marked


def benefits_from_restart(cluster: "ClusterState", run: Run, now: float) -> bool:
    """Whether a task that works alone is on a slow worker and has much left or saved."""
    is_slow_here = (
        is_slow(run.worker, now)
        and run.relative_speed is not None
        and run.relative_speed < SLOW_RELATIVE_SPEED
    )
    is_trusted = cluster.estimate_accuracy[run.step.job.spec.queue].is_reliable
    return is_slow_here and is_trusted and (run.step.spec.saves or run.percent < 50)


def is_gang_stalled(run: Run, now: float) -> bool:
    """Whether a gang's task has made no progress for long, and neither has its gang."""
    stall_seconds = max(STALL_SECONDS, STALL_SHARE * run.step.spec.estimated_seconds)
    runs = run.step.runs
    return all(
        each.is_confirmed and max(each.last_progress_at, each.started_at) < now - stall_seconds
        for each in runs
    )


def mark_gang_for_restart(cluster: "ClusterState", run: Run) -> list[Run]:
    """Mark and return the runs of a gang, whose workers are avoided by its next start."""
    step = run.step
    worker_ids = {each.worker.id for each in step.runs}
    for task in step.tasks:
        task.failed_on |= worker_ids
    return [each for each in step.runs if cluster.mark_stopping(each)]
