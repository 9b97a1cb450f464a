"""Decides which runs on draining workers are restarted elsewhere.

On the heaviest days a sixth of the workers leaves at 2 s notice. Runs that are still active on such
a worker when it leaves are lost, and with a run its whole gang. If a run is stopped when its worker
starts draining, its checkpoint is kept and its task restarts 2 s earlier.
"""

import math

from jaypier.jobs.cluster_state import ClusterState
from jaypier.jobs.state import Run
from jaypier.jobs.stragglers import mark_gang_for_restart

MAX_STOP_PERCENT = 50.0
"""Progress in percent from which a gang without checkpoints is not stopped: it may still end in
time, because draining workers often stay longer than they announce."""


def mark_draining_runs(cluster_state: ClusterState, now: float) -> list[Run]:
    """Mark runs that would not end before their worker leaves; return those newly marked.

    None are marked when more than half of the workers are draining. Non-preemptible jobs are
    exempt.

    :param now: time on the local clock, in seconds.
    """
    draining = [
        worker
        for worker in cluster_state.workers.values()
        if worker.drain_deadline < math.inf and worker.runs
    ]
    if 2 * len(draining) > len(cluster_state.workers):
        return []
    marked: list[Run] = []
    for worker in draining:
        for run in worker.runs.values():
            is_exempt = run.is_stopping or not run.step.job.spec.is_preemptible
            if is_exempt or not should_restart_elsewhere(run, worker.drain_deadline - now, now):
                continue
            if run.step.spec.is_gang:
                marked += mark_gang_for_restart(cluster_state, run)
            elif cluster_state.mark_stopping(run):
                marked.append(run)
    return marked


def should_restart_elsewhere(run: Run, drain_seconds: float, now: float) -> bool:
    """Whether a run should be stopped now to be restarted on another worker.

    A task that writes no checkpoints, is not long-running and does not belong to a gang loses
    nothing by staying.

    :param drain_seconds: remaining time until its worker may leave.
    :param now: time on the local clock, in seconds.
    """
    if run.remaining_seconds(now) <= max(0.0, drain_seconds):
        return False
    spec = run.step.spec
    return spec.saves or spec.lasts or (spec.is_gang and run.percent < MAX_STOP_PERCENT)
