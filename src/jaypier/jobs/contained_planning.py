"""Scheduling passes in which an unexpected error concerns one job.

The job that brought the error about is set aside for a time, and the pass goes on for the others.
"""

import attrs

from jaypier.jobs.planning import Plan, Planner
from jaypier.jobs.state import UNSENT_DEADLINE, JobState

SET_ASIDE_SECONDS = 10.0
"""Time for which a job is left out of scheduling passes after an error."""

MAX_FAILURES_PER_PASS = 8
"""Maximum number of errors in one pass; the next pass then serves the other jobs."""


@attrs.frozen
class PlanFailure:
    """An unexpected error in a scheduling pass.

    :param job_id: job that was set aside, ``None`` if the error concerns no single job.
    """

    job_id: str | None
    error: Exception


def plan_with_failures(
    planner: Planner, now: float, wall_time: float
) -> tuple[Plan, list[PlanFailure]]:
    """Run a scheduling pass; return its decisions and the errors in it.

    :param now: time on the local clock, in seconds.
    :param wall_time: Unix time in seconds.
    """
    plan = Plan([], [])
    failures: list[PlanFailure] = []
    while len(failures) < MAX_FAILURES_PER_PASS:
        try:
            rest = planner.plan(now, wall_time)
        except Exception as error:
            state = planner.considered
            failures.append(PlanFailure(None if state is None else state.spec.id, error))
            if state is not None:
                set_aside(planner, state, now)
            plan = Plan(
                [run for run in plan.starts + planner.decided.starts if run.step.job is not state],
                plan.stops + planner.decided.stops,
            )
            if state is None:
                break
        else:
            plan = Plan(plan.starts + rest.starts, plan.stops + rest.stops)
            break
    return plan, failures


def set_aside(planner: Planner, state: JobState, now: float) -> None:
    """Leave a job out for ``SET_ASIDE_SECONDS`` and release what the pass has assigned to it.

    :param now: time on the local clock, in seconds, at which the pass began.
    """
    state.not_before = max(state.not_before, now + SET_ASIDE_SECONDS)
    for run in list(state.runs):
        if run.started_at == now and run.start_deadline == UNSENT_DEADLINE:
            planner.cluster_state.end_run(run)
