"""What to do with runs on workers that have said that they leave.

On the heaviest days a sixth of the workers leaves at 2 s notice. Whatever runs there then is lost,
with the whole gang if it is one; stopped at the notice, it keeps its checkpoint and starts again
2 s earlier.
"""

import math

from jaypier.jobs.cluster import ClusterState
from jaypier.jobs.state import Run
from jaypier.jobs.stragglers import mark_gang_for_restart

MAX_STOP_PERCENT = 50.0
"""Progress up to which a gang without checkpoints is stopped: beyond, it may still end in time, as
leaving workers often stay longer than they say."""


def mark_draining_runs(cluster: ClusterState, now: float) -> list[Run]:
    """Mark and return runs that would not end before their worker leaves."""
    draining = [
        worker
        for worker in cluster.workers.values()
        if worker.drain_deadline < math.inf and worker.runs
    ]
    if 2 * len(draining) > len(cluster.workers):
        return []
    marked: list[Run] = []
    for worker in draining:
        for run in worker.runs.values():
            is_exempt = run.is_stopping or not run.step.job.spec.is_preemptible
            if is_exempt or not should_restart_elsewhere(run, worker.drain_deadline - now, now):
                continue
            if run.step.spec.is_gang:
                marked += mark_gang_for_restart(cluster, run)
            elif cluster.mark_stopping(run):
                marked.append(run)
    return marked


def should_restart_elsewhere(run: Run, drain_seconds: float, now: float) -> bool:
    """Whether a run that has ``drain_seconds`` left on its worker starts again elsewhere.

    A task that works alone and writes no checkpoints has nothing to lose by staying.
    """
    if run.remaining_seconds(now) <= max(0.0, drain_seconds):
        return False
    spec = run.step.spec
    return spec.saves or spec.lasts or (spec.is_gang and run.percent < MAX_STOP_PERCENT)
