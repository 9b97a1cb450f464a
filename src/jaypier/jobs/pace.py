"""Which workers are slow or stand still, by the progress of their tasks.

Such a worker answers every order and fails nothing, so only the progress of what runs on it shows
its state. Estimates of single callers are rough; a worker is judged by the median of its tasks.
"""

from statistics import median
from typing import TYPE_CHECKING

from jaypier.jobs.state import Run, Worker

if TYPE_CHECKING:
    from jaypier.jobs.board import JobBoard

SAMPLE_SECONDS = 0.7
"""Shortest time between two samples of a task's progress: a little under a report's period."""

SAMPLE_SHARE = 0.08
"""Share of a task's estimate between two samples, so that whole percents are precise enough."""

SLOW_PACE = 0.3
"""Progress against the estimate below which a worker is slow: callers' estimates are within a
factor of 2, slow workers take 4 times as long and more."""

SLOW_REPORTS = 2
"""Slow reports in a row after which a worker is avoided."""

SLOW_AVOID_SECONDS = 3.0
"""Time for which a slow worker is avoided after its newest slow report."""

STILL_SECONDS = 2.5
"""Time without progress after which a gang is started again elsewhere: more than two reports."""

STILL_SHARE = 0.1
"""The same as a share of the gang's estimate, where that is longer."""


def sample_pace(run: Run, now: float) -> None:
    """Take a sample of a run's progress."""
    if run.sampled_at > now:
        run.sampled_percent, run.sampled_at = run.percent, now
        return
    estimate = run.step.step.estimated_seconds
    elapsed = now - run.sampled_at
    if estimate <= 0 or elapsed < max(SAMPLE_SECONDS, SAMPLE_SHARE * estimate):
        return
    run.pace = (run.percent - run.sampled_percent) / 100 * estimate / elapsed
    run.sampled_percent, run.sampled_at = run.percent, now


def judge_worker(worker: Worker, now: float) -> None:
    """Note whether a worker is slow, by its tasks that work alone.

    Tasks of a gang wait for each other, so their progress says nothing of their own worker.
    """
    paces = [
        run.pace
        for run in worker.runs.values()
        if run.pace is not None and not run.step.step.is_gang and not run.is_stopping
    ]
    if not paces:
        return
    worker.slow_reports = worker.slow_reports + 1 if median(paces) < SLOW_PACE else 0
    if is_slow(worker):
        worker.avoid_until = max(worker.avoid_until, now + SLOW_AVOID_SECONDS)


def is_slow(worker: Worker) -> bool:
    """Whether a worker's tasks have been much slower than estimated for a while."""
    return worker.slow_reports >= SLOW_REPORTS


def runs_to_move(board: "JobBoard", now: float) -> list[Run]:
    """Mark and return runs that end sooner if they are started again elsewhere."""
    if sum(is_slow(worker) for worker in board.workers.values()) * 2 > len(board.workers):
        return []
    moving = []
    for worker in board.workers.values():
        for run in worker.runs.values():
            if run.is_stopping or not run.is_confirmed:
                continue
            if run.step.step.is_gang:
                if stands_still(run, now) or (is_slow(worker) and run.percent < 50):
                    moving += leave_gang(board, run)
            elif is_slow(worker) and run.pace is not None and run.pace < SLOW_PACE:
                if run.step.step.saves or run.percent < 50:
                    run.step.tasks[run.task.index].failed_on.add(worker.id)
                    moving += [run] if board.mark_stopping(run) else []
    return moving


def stands_still(run: Run, now: float) -> bool:
    """Whether a gang's task has made no progress for long, and neither has its gang."""
    patience = max(STILL_SECONDS, STILL_SHARE * run.step.step.estimated_seconds)
    runs = run.step.runs
    return all(
        each.is_confirmed and max(each.progressed_at, each.started_at) < now - patience
        for each in runs
    )


def leave_gang(board: "JobBoard", run: Run) -> list[Run]:
    """Mark and return the runs of a gang, whose workers are avoided by its next start."""
    step = run.step
    names = {each.worker.id for each in step.runs}
    for task in step.tasks:
        task.failed_on |= names
    return [each for each in step.runs if board.mark_stopping(each)]
