"""Recorded progress of jobs, from which a new leader restores their state."""

import attrs

from jaypier.jobs.model import Job, JobStatus
from jaypier.jobs.state import JobState, StepState, TaskState, new_job_state


@attrs.frozen
class StepProgress:
    """Recorded progress of one step.

    :param is_done: whether all tasks have completed; the other fields are empty then.
    :param done: completed tasks as a bit mask in hexadecimal, the lowest bit for the first task;
        empty for none.
    :param failures: numbers of the failed attempts, by index of the task; only tasks that have any.
    :param failed_attempts: numbers of the attempts of a gang in which a task failed.
    :param crashes: numbers of the attempts that crashed their workers, by index of the task; only
        tasks that have any.
    :param suspected_crashes: the same for attempts that may have crashed their workers.
    :param checkpoints: newest checkpoint by index of the task, for unfinished tasks that have one;
        for a gang only that of the first task, which all tasks share.
    """

    is_done: bool = False
    done: str = ""
    failures: dict[int, list[int]] = attrs.field(factory=dict)
    failed_attempts: list[int] = attrs.field(factory=list)
    checkpoints: dict[int, str] = attrs.field(factory=dict)
    crashes: dict[int, list[int]] = attrs.field(factory=dict)
    suspected_crashes: dict[int, list[int]] = attrs.field(factory=dict)


@attrs.frozen
class JobProgress:
    """Recorded progress of a job.

    :param queue: host and path prefix under which it was submitted.
    :param attempt: highest attempt number of its tasks.
    :param steps: steps of the only occurrence of a job that does not repeat.
    :param occurrences: steps of each open occurrence of a repeating job, by occurrence number.
    :param next_occurrence: number of the first occurrence that had not been opened.
    :param ended_at: Unix time in seconds at which it ended, 0 before.
    """

    queue: str
    team: str
    status: JobStatus
    attempt: int = 0
    steps: list[StepProgress] = attrs.field(factory=list)
    ended_at: float = 0.0
    occurrences: dict[int, list[StepProgress]] = attrs.field(factory=dict)
    next_occurrence: int = 0


def record_progress(state: JobState, wall_time: float) -> JobProgress:
    """Return the progress to record of a job.

    :param wall_time: Unix time in seconds, recorded as the end of a job that has ended.
    """
    job, status = state.spec, state.status
    if status.is_final:
        return JobProgress(job.queue, job.team, status, state.highest_attempt, [], wall_time)
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
    """Return the progress to record of one step."""
    if step.is_done:
        return StepProgress(is_done=True)
    checkpoint_tasks = step.tasks[:1] if step.spec.is_gang else step.tasks
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
            task.id.index: task.checkpoint
            for task in checkpoint_tasks
            if task.checkpoint and not task.is_done
        },
        crashes={
            task.id.index: sorted(task.crashed_attempts)
            for task in step.tasks
            if task.crashed_attempts and not task.is_done
        },
        suspected_crashes={
            task.id.index: sorted(attempts)
            for task in step.tasks
            if not task.is_done and (attempts := suspected_attempts(step, task))
        },
    )


def suspected_attempts(step: StepState, task: TaskState) -> set[int]:
    """Return the numbers of a task's attempts that a new leader has to suspect.

    The current run of a suspected task is one of them while it may crash its worker: a leader that
    ends at once could not record the crash.
    """
    attempts = task.suspected_crashes | task.restored_suspicions
    is_trial = task.id in step.job.crash_suspects
    if is_trial and task.run is not None and task.run.may_crash_worker:
        attempts = attempts | {task.run.attempt}
    return attempts


def without_checkpoints(progress: JobProgress) -> JobProgress:
    """Return a copy without checkpoints, which fits a shorter row.

    Tasks that are restored from it start from the beginning.
    """

    def strip(steps: list[StepProgress]) -> list[StepProgress]:
        return [attrs.evolve(step, checkpoints={}) for step in steps]

    occurrences = {number: strip(steps) for number, steps in progress.occurrences.items()}
    return attrs.evolve(progress, steps=strip(progress.steps), occurrences=occurrences)


def restore_job(job: Job, progress: JobProgress | None) -> JobState:
    """Restore the state of a job that an earlier leader may have started.

    :param progress: its recorded progress, ``None`` if there is none.
    """
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
    """Apply the recorded progress of one step."""
    step.failed_attempts = set(recorded.failed_attempts)
    done = int(recorded.done or "0", 16)
    for task in step.tasks:
        index = task.id.index
        task.is_done = recorded.is_done or bool(done >> index & 1)
        task.failed_attempts = set(recorded.failures.get(index, ()))
        task.crashed_attempts = set(recorded.crashes.get(index, ()))
        task.restored_suspicions = frozenset(recorded.suspected_crashes.get(index, ()))
        if task.possible_crashes:
            step.job.crash_suspects.add(task.id)
        task.checkpoint = recorded.checkpoints.get(0 if step.spec.is_gang else index, "")
