"""What is kept of a job's progress, so that a new leader goes on where the last one stopped."""

import attrs

from jaypier.jobs.model import Job, JobStatus
from jaypier.jobs.state import JobState, StepState, new_job_state


@attrs.frozen
class StepProgress:
    """Progress of one step.

    :param is_done: whether all tasks have ended well; the lists are empty then.
    :param done: tasks that have ended well: one bit each, the first the lowest, in hexadecimal.
    :param failures: failed attempts of each task that has any.
    :param failed_attempts: attempts of a gang in which a task failed.
    :param checkpoints: checkpoint of each unfinished task that has one; of a gang that of the first
        task, which is that of all.
    """

    is_done: bool = False
    done: str = ""
    failures: dict[int, list[int]] = attrs.field(factory=dict)
    failed_attempts: list[int] = attrs.field(factory=list)
    checkpoints: dict[int, str] = attrs.field(factory=dict)


@attrs.frozen
class JobProgress:
    """Progress of a job.

    :param queue: host and path prefix under which it was handed in.
    :param attempt: highest number of a start that was recorded.
    :param steps: steps of the only occurrence of a job that does not repeat.
    :param occurrences: steps of each open occurrence of a job that repeats, by its number.
    :param next_occurrence: number of the first occurrence that had not become due.
    :param ended_at: Unix time in seconds of its end, 0 before.
    """

    queue: str
    team: str
    status: JobStatus
    attempt: int = 0
    steps: list[StepProgress] = attrs.field(factory=list)
    ended_at: float = 0.0
    occurrences: dict[int, list[StepProgress]] = attrs.field(factory=dict)
    next_occurrence: int = 0


def record_progress(state: JobState, wall: float) -> JobProgress:
    """Return what to keep of a job.

    :param wall: Unix time in seconds.
    """
    job, status = state.spec, state.status
    if status.is_final:
        return JobProgress(job.queue, job.team, status, state.highest_attempt, [], wall)
    open_steps = {
        number: [record_step(step) for step in steps] for number, steps in state.occurrences.items()
    }
    if job.repeats == 0:
        return JobProgress(job.queue, job.team, status, state.highest_attempt, open_steps[0])
    return JobProgress(
        job.queue,
        job.team,
        status,
        state.highest_attempt,
        occurrences=open_steps,
        next_occurrence=state.next_occurrence,
    )


def record_step(step: StepState) -> StepProgress:
    """Return what to keep of one step."""
    if step.is_done:
        return StepProgress(is_done=True)
    kept = step.tasks[:1] if step.spec.is_gang else step.tasks
    done = sum(1 << task.id.index for task in step.tasks if task.is_done)
    return StepProgress(
        done=f"{done:x}" if done else "",
        failures={
            task.id.index: sorted(task.failed_attempts)
            for task in step.tasks
            if task.failed_attempts and not step.spec.lasts
        },
        failed_attempts=[] if step.spec.lasts else sorted(step.failed_attempts),
        checkpoints={
            task.id.index: task.checkpoint for task in kept if task.checkpoint and not task.is_done
        },
    )


def without_checkpoints(progress: JobProgress) -> JobProgress:
    """Return progress that takes less room: its tasks start from their beginning again."""

    def strip(steps: list[StepProgress]) -> list[StepProgress]:
        return [attrs.evolve(step, checkpoints={}) for step in steps]

    occurrences = {number: strip(steps) for number, steps in progress.occurrences.items()}
    return attrs.evolve(progress, steps=strip(progress.steps), occurrences=occurrences)


def restore_job(job: Job, progress: JobProgress | None) -> JobState:
    """Rebuild the state of a job that an earlier leader may have started."""
    state = new_job_state(job)
    state.is_recovered = True
    if progress is None:
        return state
    state.status = progress.status
    state.highest_attempt = progress.attempt
    state.has_started = state.has_recorded_start = progress.status is not JobStatus.QUEUED
    recorded_steps = progress.occurrences if job.repeats else {0: progress.steps}
    state.next_occurrence = max(state.next_occurrence, progress.next_occurrence)
    for number, steps in recorded_steps.items():
        state.open_occurrence(number)
        for step, recorded in zip(state.occurrences[number], steps, strict=False):
            restore_step(step, recorded)
    return state


def restore_step(step: StepState, recorded: StepProgress) -> None:
    """Take over what was kept of one step."""
    step.failed_attempts = set(recorded.failed_attempts)
    done = int(recorded.done or "0", 16)
    for task in step.tasks:
        index = task.id.index
        task.is_done = recorded.is_done or bool(done >> index & 1)
        task.failed_attempts = set(recorded.failures.get(index, ()))
        task.checkpoint = recorded.checkpoints.get(0 if step.spec.is_gang else index, "")
