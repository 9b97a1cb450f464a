"""Scheduling passes in which an unexpected error concerns one job.

The job that brought the error about is set aside for a time, and the pass goes on for the others.
"""

from collections.abc import Callable

import attrs

from jaypier.jobs.planning import Planner
from jaypier.jobs.scheduling_pass import Plan, SchedulingPass
from jaypier.jobs.state import UNSENT_DEADLINE, JobState

SET_ASIDE_SECONDS = 10.0
"""Time for which a job is left out of scheduling passes after an error."""

MAX_FAILURES_PER_SLICE = 8
"""Maximum number of errors in one slice of a pass, which then ends."""


@attrs.frozen
class PlanFailure:
    """An unexpected error in a scheduling pass.

    :param job_id: job that was set aside, ``None`` if the error concerns no single job.
    """

    job_id: str | None
    error: Exception


def run_contained_slice(
    scheduling_pass: SchedulingPass,
    now: float,
    wall_time: float,
    is_over: Callable[[], bool] = lambda: False,
) -> tuple[Plan, list[PlanFailure]]:
    """Run a slice of a scheduling pass; return its decisions and the errors in it.

    An error that concerns no job, or too many errors, end the pass.

    :param now: time on the local clock, in seconds.
    :param wall_time: Unix time in seconds.
    :param is_over: returns whether the slice has taken long enough.
    """
    plan, planner = Plan(), scheduling_pass.planner
    failures: list[PlanFailure] = []
    while True:
        try:
            decided = scheduling_pass.run_slice(now, wall_time, is_over)
        except Exception as error:
            decided, state = scheduling_pass.plan, planner.considered
            failures.append(PlanFailure(None if state is None else state.spec.id, error))
            if state is not None:
                set_aside(planner, state, now)
                scheduling_pass.leave_out(state)
            if state is None or len(failures) >= MAX_FAILURES_PER_SLICE:
                scheduling_pass.is_finished = True
        else:
            state = None
        starts = [run for run in plan.starts + decided.starts if run.step.job is not state]
        plan = Plan(starts, plan.stops + decided.stops)
        if state is None or scheduling_pass.is_finished:
            return plan, failures


def set_aside(planner: Planner, state: JobState, now: float) -> None:
    """Leave a job out for ``SET_ASIDE_SECONDS`` and release what the slice has assigned to it.

    :param now: time on the local clock, in seconds, at which the slice began.
    """
    state.not_before = max(state.not_before, now + SET_ASIDE_SECONDS)
    for run in list(state.runs):
        if run.started_at == now and run.start_deadline == UNSENT_DEADLINE:
            planner.cluster_state.end_run(run)
