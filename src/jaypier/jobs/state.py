"""State that scheduling decisions are made on."""

import math
from collections.abc import Iterator

import attrs

from jaypier.jobs.model import (
    Job,
    JobStatus,
    Resources,
    Step,
    TaskId,
    WorkerEntry,
    critical_path,
)

CORES_PER_ACCELERATOR = 8
"""Processor cores that one accelerator counts as, in the users' rules on wasted work."""


UNSENT_DEADLINE = 1 << 62
"""A worker's clock in milliseconds that is not reached: the order has not been sent yet."""


@attrs.define(eq=False)
class Run:
    """One start of a task on a worker.

    :param started_at: local time of its order, in seconds.
    :param start_deadline: worker clock in milliseconds after which the order has no effect.
    :param reports_conclusive_after: local time since when the worker's reports are complete about
        it.
    :param is_confirmed: whether the worker holds it.
    :param is_stopping: whether it was told to stop.
    :param percent: newest reported progress.
    :param last_progress_at: local time at which its progress was last seen to grow.
    :param relative_speed: newest progress against the estimate, 1 when it takes as long as
        estimated.
    """

    task: TaskId
    attempt: int
    worker: "Worker"
    step: "StepState"
    started_at: float
    start_deadline: int = UNSENT_DEADLINE
    reports_conclusive_after: float = math.inf
    is_confirmed: bool = False
    is_stopping: bool = False
    percent: float = 0.0
    last_progress_at: float = math.inf
    sampled_percent: float = 0.0
    sampled_at: float = math.inf
    relative_speed: float | None = None

    @property
    def key(self) -> tuple[TaskId, int]:
        """Identity of the run."""
        return self.task, self.attempt

    def remaining_seconds(self, now: float) -> float:
        """Return the estimated time to its end, which a task that lasts never reaches."""
        if self.step.spec.lasts:
            return math.inf
        estimate = self.step.spec.estimated_seconds / min(
            4.0, max(0.25, self.relative_speed or 1.0)
        )
        return max(0.1, estimate * (1 - self.percent / 100) - max(0.0, now - self.last_progress_at))

    def lost_core_seconds(self, now: float, restore_seconds: float) -> float:
        """Return the core-seconds that stopping it would lose.

        A task that writes checkpoints writes one more when it is stopped, so it only loses the
        time to restore it.
        """
        spec = self.step.spec
        lost = max(0.0, now - self.started_at)
        if spec.saves:
            lost = min(lost, restore_seconds)
        return lost * core_equivalent(spec.demand)


@attrs.define(eq=False)
class TaskState:
    """One task of a step.

    :param checkpoint: newest checkpoint that is known, empty for none.
    :param failed_attempts: attempts that have failed. A worker tells an end again to a new leader
        until it was told to forget it, so a count would take it twice.
    :param failed_on: workers on which it failed.
    """

    id: TaskId
    is_done: bool = False
    failed_attempts: set[int] = attrs.field(factory=set)
    checkpoint: str = ""
    failed_on: set[str] = attrs.field(factory=set)
    run: Run | None = None


@attrs.define(eq=False)
class StepState:
    """Progress of one step of a job.

    :param failed_attempts: attempts of a gang in which a task failed.
    :param is_tearing_down: whether the rest of a gang's present attempt is being stopped.
    """

    job: "JobState"
    number: int
    spec: Step
    tasks: list[TaskState]
    occurrence: int = 0
    failed_attempts: set[int] = attrs.field(factory=set)
    is_tearing_down: bool = False

    @property
    def is_done(self) -> bool:
        """Whether all of its tasks have ended well."""
        return all(task.is_done for task in self.tasks)

    @property
    def waiting(self) -> list[TaskState]:
        """Tasks that have neither ended well nor been placed."""
        return [task for task in self.tasks if not task.is_done and task.run is None]

    @property
    def runs(self) -> list[Run]:
        """Runs of its tasks that hold capacity."""
        return [task.run for task in self.tasks if task.run is not None]

    @property
    def is_startable(self) -> bool:
        """Whether tasks of it may be placed, as far as its job is concerned."""
        if self.spec.is_gang and (self.is_tearing_down or self.runs):
            return False
        siblings = self.job.occurrences[self.occurrence]
        return all(siblings[number].is_done for number in self.spec.after)

    @property
    def unavailable_count(self) -> int:
        """Number of its tasks that are not at work, or are on their way out."""
        available = sum(run.percent >= 100 and not run.is_stopping for run in self.runs)
        return self.spec.count - available

    def allows_disruption(self, run: Run, chosen: int = 0) -> bool:
        """Whether its budget allows to stop a run of it.

        :param chosen: other runs of it that are to be stopped as well.
        """
        budget = self.spec.disruption_budget
        if not self.spec.lasts or budget == 0:
            return True
        is_available = run.percent >= 100 and not run.is_stopping
        return not is_available or self.unavailable_count + chosen < budget


@attrs.define(eq=False)
class JobState:
    """Progress of a job.

    :param occurrences: steps of each occurrence that is due and not done, by its number.
    :param next_occurrence: number of the first occurrence that has not become due.
    :param attempt: highest number of a start of any of its tasks.
    :param not_before: local time before which none of its tasks is started again.
    :param is_recovered: whether it was accepted before the present leader.
    :param has_started: whether a task of it was ever started.
    :param has_recorded_start: whether the store knows that a task of it may have been started.
    """

    spec: Job
    occurrences: dict[int, list[StepState]] = attrs.field(factory=dict)
    next_occurrence: int = 0
    status: JobStatus = JobStatus.QUEUED
    highest_attempt: int = 0
    not_before: float = -math.inf
    is_recovered: bool = False
    has_started: bool = False
    has_recorded_start: bool = False
    ended_at: float = math.inf

    @property
    def steps(self) -> list[StepState]:
        """Steps of all open occurrences."""
        if len(self.occurrences) == 1:
            return next(iter(self.occurrences.values()))
        return [step for steps in self.occurrences.values() for step in steps]

    @property
    def is_done(self) -> bool:
        """Whether all of its occurrences have ended well."""
        has_opened_all = self.next_occurrence >= max(1, self.spec.repeats)
        return has_opened_all and all(step.is_done for step in self.steps)

    @property
    def earliest_start_at(self) -> float:
        """Unix time in seconds since when its oldest open occurrence could start."""
        return self.spec.earliest_start_at(min(self.occurrences, default=self.next_occurrence))

    def open_occurrence(self, number: int) -> None:
        """Take in an occurrence that is due."""
        job_id = self.spec.id
        self.occurrences[number] = [
            StepState(
                self,
                position,
                step,
                [TaskState(TaskId(job_id, number, position, index)) for index in range(step.count)],
                number,
            )
            for position, step in enumerate(self.spec.steps)
        ]
        self.next_occurrence = max(self.next_occurrence, number + 1)

    @property
    def runs(self) -> Iterator[Run]:
        """Runs of all of its tasks."""
        return (run for step in self.steps for run in step.runs)

    def remaining_core_seconds(self) -> float:
        """Return the estimated core-seconds of the tasks that have not ended."""
        return sum(
            core_equivalent(step.spec.demand)
            * step.spec.estimated_seconds
            * sum(not task.is_done for task in step.tasks)
            for step in self.steps
        )

    def remaining_critical_path_seconds(self) -> float:
        """Return the estimated duration of the longest chain of steps that are left."""
        paths = [
            critical_path(
                self.spec.steps,
                [0.0 if step.is_done else step.spec.estimated_seconds for step in steps],
            )
            for steps in self.occurrences.values()
        ]
        return max(paths, default=0.0)


@attrs.define(eq=False)
class Worker:
    """One worker.

    :param free: what no run holds.
    :param is_registered: whether the platform lists it.
    :param deregistered_at: local time at which it was found not to be listed any more.
    :param is_reconciled: whether it has reported to the present leader.
    :param born: start of the process that reported last, in Unix milliseconds.
    :param clock: its clock in its newest report, in milliseconds, read at ``clock_read_at``.
    :param last_report_at: local time of the newest report, ``-inf`` before the first.
    :param lease_expires_at: local time after which nothing runs on it unless it is heard.
    :param processed: number of the last end that decisions know of.
    :param durable: number of the last end that the store knows of.
    :param failures: failed runs since the last good one.
    :param slow_since: local time since when its tasks have been much slower than estimated.
    :param drain_deadline: local time from which it may be gone, once it has said that it leaves.
    :param avoid_until: local time until which others are preferred.
    """

    entry: WorkerEntry
    is_registered: bool = True
    deregistered_at: float = -math.inf
    is_reconciled: bool = False
    born: int = 0
    clock: int = 0
    clock_read_at: float = 0.0
    last_report_at: float = -math.inf
    lease_expires_at: float = -math.inf
    last_processed_end: int = 0
    last_durable_end: int = 0
    consecutive_failures: int = 0
    slow_since: float = math.inf
    avoid_until: float = -math.inf
    drain_deadline: float = math.inf
    is_unreachable: bool = False
    runs: dict[tuple[TaskId, int], Run] = attrs.field(factory=dict)
    free: Resources = attrs.field(
        default=attrs.Factory(lambda self: self.entry.capacity, takes_self=True)
    )

    @property
    def id(self) -> str:
        """Identity of the worker."""
        return self.entry.id

    def estimated_clock(self, now: float) -> int:
        """Return the worker's estimated clock in milliseconds."""
        return self.clock + int((now - self.clock_read_at) * 1000)

    def allocate(self, run: Run) -> None:
        """Count a run's demand."""
        self.runs[run.key] = run
        self.free = self.free - run.step.spec.reserved

    def release(self, run: Run) -> None:
        """Free a run's demand."""
        if self.runs.pop(run.key, None) is not None:
            self.free = self.free + run.step.spec.reserved

    def update_entry(self, entry: WorkerEntry, now: float) -> None:
        """Take in a new entry, whose capacity may differ."""
        self.free = self.free + (entry.capacity - self.entry.capacity)
        if entry.is_ready:
            self.drain_deadline = math.inf
        elif self.drain_deadline == math.inf:
            self.drain_deadline = now + entry.remaining_seconds
        self.entry = entry


def core_equivalent(demand: Resources) -> float:
    """Return how many cores a demand counts as."""
    return demand.processor_millis / 1000 + CORES_PER_ACCELERATOR * demand.accelerators


def new_job_state(job: Job) -> JobState:
    """Return the state of a job that has not begun; occurrences open when they are due."""
    state = JobState(job)
    if job.repeats == 0:
        state.open_occurrence(0)
    return state
