"""Detection of stragglers: slow workers and stalled gangs, by the progress of their runs.

A slow worker responds to every request and fails no run, so only the progress of its runs shows
that it is slow. Because run time estimates of single callers are rough, a worker is assessed by the
median of its runs.
"""

import math
from collections import deque
from collections.abc import Mapping
from statistics import median
from typing import TYPE_CHECKING

from jaypier.jobs.model import URGENT_PRIORITY
from jaypier.jobs.state import Run, Worker

if TYPE_CHECKING:
    from jaypier.jobs.cluster_state import ClusterState

MIN_SAMPLE_SECONDS = 0.7
"""Minimum time between two samples of a run's progress: slightly less than the report interval."""

MIN_SAMPLE_SHARE = 0.08
"""Minimum time between two samples as a share of the task's expected duration, so that progress in
whole percents is precise enough."""

SLOW_RELATIVE_SPEED = 0.3
"""Speed relative to the estimate below which a worker is slow. Reliable estimates are within a
factor of 1.5, and slow workers take at least 4 times as long as estimated."""

SLOW_SECONDS = 1.8
"""Time for which a worker must be slow before it is avoided: two samples."""

WARM_UP_SECONDS = 1.0
"""Time after a run's start during which it is not sampled, because it starts up or restores a
checkpoint."""

SLOW_AVOID_SECONDS = 3.0
"""Time for which a worker is avoided after the newest report in which it was slow."""

ACCURACY_WINDOW_TASKS = 30
"""Number of most recent tasks of a queue from which the accuracy of its estimates is computed."""

MIN_ACCURACY_TASKS = 4
"""Minimum number of ended tasks of a queue before its estimates are considered reliable."""

MAX_RELIABLE_LOG_ERROR = 0.4
"""Median error below which estimates are reliable, as a natural logarithm of the ratio: a factor of
1.5, well below the factor by which slow workers differ."""

STALL_SECONDS = 1.9
"""Minimum time without progress after which a run is stalled: two reports in succession."""

STALL_SHARE = 0.1
"""That time as a share of the task's expected duration, used where it is longer."""

OVERDUE_PERCENT = 99.0
"""Progress in percent from which a run is about to end."""

OVERDUE_SECONDS = 0.9
"""Minimum time for which such a run may stay without ending: one report."""

OVERDUE_SHARE = 0.05
"""That time as a share of the task's expected duration, used where it is longer."""

RESTART_COST_SHARE = 1.0
"""Time for which a stalled run is left alone as a share of the working time that a restart would
throw away: most disruptions end by themselves within seconds."""

URGENT_RESTART_COST_SHARE = 0.35
"""The same for urgent jobs, which lose their value sooner."""

SUSPICION_THRESHOLD = 0.25
"""Suspicion from which a worker is avoided: the stall of one gang on at most four workers, or of
several wider ones."""

SUSPECT_AVOID_SECONDS = 6.0
"""Time for which a suspect is avoided: the typical duration of a disruption. A run that succeeds
there ends it sooner; progress alone does not, as some workers report it and never end a run."""


class EstimateAccuracy:
    """Accuracy of the run time estimates in one queue.

    :ivar errors: absolute logarithms of actual time over estimate, of the most recent tasks.
    """

    def __init__(self) -> None:
        self.errors: deque[float] = deque(maxlen=ACCURACY_WINDOW_TASKS)

    def record(self, estimate: float, actual: float) -> None:
        """Record a task that has succeeded.

        :param estimate: estimated run time in seconds.
        :param actual: actual run time in seconds.
        """
        if estimate > 0 and actual > 0:
            self.errors.append(abs(math.log(actual / estimate)))

    @property
    def is_reliable(self) -> bool:
        """Whether estimates are accurate enough to detect slow workers by them."""
        return (
            len(self.errors) >= MIN_ACCURACY_TASKS and median(self.errors) < MAX_RELIABLE_LOG_ERROR
        )


def sample_speed(run: Run, now: float) -> bool:
    """Update a run's relative speed from its progress since the previous sample.

    :param now: time on the local clock, in seconds.
    :returns: whether there is a new sample.
    """
    if now < run.started_at + WARM_UP_SECONDS:
        return False
    if run.sampled_at > now:
        run.sampled_percent, run.sampled_at = run.percent, now
        return False
    estimate = run.step.spec.estimated_seconds
    elapsed = now - run.sampled_at
    min_elapsed = max(MIN_SAMPLE_SECONDS, MIN_SAMPLE_SHARE * run.step.expected_seconds)
    if estimate <= 0 or elapsed < min_elapsed:
        return False
    run.relative_speed = (run.percent - run.sampled_percent) / 100 * estimate / elapsed
    run.sampled_percent, run.sampled_at = run.percent, now
    return True


def update_slow_worker(
    worker: Worker, estimate_accuracy: Mapping[str, EstimateAccuracy], now: float
) -> None:
    """Update whether a worker is slow, and avoid it if it has been slow for ``SLOW_SECONDS``.

    Only runs with reliable estimates count, and none of gangs: tasks of a gang wait for each other,
    so their progress does not show the speed of their own worker.

    :param estimate_accuracy: accuracy of estimates by queue.
    :param now: time on the local clock, in seconds.
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
    if is_slow(worker):
        worker.avoid_until = max(worker.avoid_until, now + SLOW_AVOID_SECONDS)


def is_slow(worker: Worker) -> bool:
    """Whether a worker has been slow for at least ``SLOW_SECONDS``, by its newest report."""
    return worker.last_report_at - worker.slow_since >= SLOW_SECONDS


def mark_straggler_runs(cluster_state: "ClusterState") -> list[Run]:
    """Mark runs to be stopped that are expected to end sooner elsewhere; return those newly marked.

    None are marked when more than half of the workers are slow or stand still. Non-preemptible and
    long-running tasks are exempt.
    """
    workers = cluster_state.workers.values()
    if 2 * sum(is_slow(worker) or stands_still(worker) for worker in workers) > len(workers):
        return []
    marked = []
    for worker in workers:
        for run in worker.runs.values():
            is_exempt = not run.step.job.spec.is_preemptible or run.step.spec.lasts
            if run.is_stopping or not run.is_confirmed or is_exempt:
                continue
            if run.step.spec.is_gang:
                if all(is_stalled(each) for each in run.step.runs):
                    suspect_workers(run)
                    marked += mark_gang_for_restart(cluster_state, run)
            elif benefits_from_restart(cluster_state, run):
                run.step.tasks[run.task.index].failed_on.add(worker.id)
                marked += [run] if cluster_state.mark_stopping(run) else []
    return marked


def benefits_from_restart(cluster_state: "ClusterState", run: Run) -> bool:
    """Whether a run that is not of a gang should be restarted on another worker.

    This is so if its worker stands still, or if it is slow on a slow worker, and if it either
    writes checkpoints or has less than half of its work done.
    """
    if not run.step.spec.saves and run.percent >= 50:
        return False
    if stands_still(run.worker):
        return True
    is_slow_here = (
        is_slow(run.worker)
        and run.relative_speed is not None
        and run.relative_speed < SLOW_RELATIVE_SPEED
    )
    return is_slow_here and cluster_state.estimate_accuracy[run.step.job.spec.queue].is_reliable


def is_stalled(run: Run) -> bool:
    """Whether the reports of a run's worker show no progress of the run, for the stall timeout.

    The timeout is shorter for a run that is about to end and does not, and longer for one that has
    much to lose. The time counts up to the newest report: a worker that is silent, or whose reports
    this leader has not read yet, may be working.
    """
    expected = run.step.expected_seconds
    stall_seconds = max(STALL_SECONDS, STALL_SHARE * expected)
    if run.percent >= OVERDUE_PERCENT:
        stall_seconds = max(OVERDUE_SECONDS, OVERDUE_SHARE * expected)
    last_change_at = run.started_at if run.percent == 0 else run.last_progress_at
    if not run.step.spec.saves:
        is_urgent = run.step.job.spec.priority == URGENT_PRIORITY
        share = URGENT_RESTART_COST_SHARE if is_urgent else RESTART_COST_SHARE
        stall_seconds = max(stall_seconds, share * (last_change_at - run.started_at))
    return run.is_confirmed and last_change_at < run.worker.last_report_at - stall_seconds


def stands_still(worker: Worker) -> bool:
    """Whether a worker has runs that should progress, and none of them does.

    Long-running tasks report no progress, and a gang may wait for another worker.
    """
    runs = [
        run
        for run in worker.runs.values()
        if not run.step.spec.lasts and not run.step.spec.is_gang and not run.is_stopping
    ]
    return bool(runs) and all(is_stalled(run) for run in runs)


def suspect_workers(run: Run) -> None:
    """Raise the suspicion against the workers of a stalled gang; avoid those above the threshold.

    One of them holds up the others, and the reports do not tell which.
    """
    workers = {each.worker.id: each.worker for each in run.step.runs}
    for worker in workers.values():
        worker.suspicion += 1 / len(workers)
        if worker.suspicion >= SUSPICION_THRESHOLD:
            worker.suspected_until = worker.last_report_at + SUSPECT_AVOID_SECONDS


def mark_gang_for_restart(cluster_state: "ClusterState", run: Run) -> list[Run]:
    """Mark all runs of a gang to be stopped; return those newly marked.

    The gang's next start avoids their workers.
    """
    step = run.step
    worker_ids = {each.worker.id for each in step.runs}
    for task in step.tasks:
        task.failed_on |= worker_ids
    return [each for each in step.runs if cluster_state.mark_stopping(each)]
