"""State of jobs, steps, tasks, runs and workers that scheduling decisions are based on.

The local clock is the leader's monotonic clock. Clocks of workers are in milliseconds.
"""

import itertools
import math
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Generic, TypeVar

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

TaskKind = tuple[Resources, Resources]
"""What a task needs and what it reserves on its worker."""

CORES_PER_ACCELERATOR = 8
"""Processor cores that one accelerator counts as, according to the users' rules on wasted work."""

SLOWEST_CLOCK_RATE = 0.98
"""Seconds of a worker's clock per second, at least, according to the platform's specification."""

UNSENT_DEADLINE = 1 << 62
"""Start deadline of a run whose start request has not been sent yet: a time on the worker's clock,
in milliseconds, that is never reached."""


@attrs.define(eq=False)
class Run:
    """One attempt to run a task on a worker; it holds capacity until it is known to have ended.

    :param task: id of the task.
    :param attempt: attempt number, unique among the runs of the task.
    :param worker: worker that the task is assigned to.
    :param step: step of the task.
    :param started_at: time on the local clock, in seconds, of the assignment.
    :param born: Unix time in milliseconds at which the process started that the run was assigned
        to, or that has reported it since.
    :param start_deadline: time on the worker's clock in milliseconds after which the start request
        has no effect.
    :param reports_conclusive_after: time on the local clock, in seconds, after which a report tells
        whether the run exists: if a report requested later does not list the run, it has ended.
    :param unanswered_at: time on the local clock, in seconds, at which the newest start request
        without a response was sent; ``-inf`` if there is none.
    :param stop_answered_by: Unix time in milliseconds at which the process started that has
        answered a stop request, 0 if none has.
    :param stop_answered_at: time on the local clock, in seconds, of that answer.
    :param is_confirmed: whether the worker has confirmed that the run started.
    :param is_listed: whether a report has listed it, so that its process is known.
    :param is_on_probation: whether a crash of the worker would be attributed to the run, among
        others: this leader has started it, and it has not worked for long.
    :param is_timed: whether ``now - started_at`` is its duration when it succeeds: this leader has
        started it, without a checkpoint.
    :param slowdown: factor by which it takes longer where it was placed.
    :param is_stopping: whether the run has been marked to be stopped.
    :param stopping_born: Unix time in milliseconds at which the process started that is to stop it.
    :param percent: newest reported progress in percent.
    :param last_progress_at: time on the local clock, in seconds, at which the progress last
        increased.
    :param sampled_percent: progress in percent at the newest speed sample.
    :param sampled_at: time on the local clock, in seconds, of that sample, ``inf`` before the
        first.
    :param relative_speed: measured speed relative to the estimate, 1 for a run that takes as long
        as estimated, ``None`` before it has been measured.
    """

    task: TaskId
    attempt: int
    worker: "Worker"
    step: "StepState"
    started_at: float
    born: int
    start_deadline: int = UNSENT_DEADLINE
    reports_conclusive_after: float = math.inf
    unanswered_at: float = -math.inf
    stop_answered_by: int = 0
    stop_answered_at: float = math.inf
    is_confirmed: bool = False
    is_listed: bool = False
    is_on_probation: bool = False
    is_timed: bool = False
    slowdown: float = 1.0
    is_stopping: bool = False
    stopping_born: int = 0
    percent: float = 0.0
    last_progress_at: float = math.inf
    sampled_percent: float = 0.0
    sampled_at: float = math.inf
    relative_speed: float | None = None

    @property
    def key(self) -> tuple[TaskId, int]:
        """Task and attempt number, which together identify the run."""
        return self.task, self.attempt

    @property
    def is_sent(self) -> bool:
        """Whether a start request has been sent that the worker has not refused."""
        return self.is_confirmed or self.unanswered_at > -math.inf

    @property
    def is_beside_next_process(self) -> bool:
        """Whether another process of its worker has reported and does not list it."""
        return self.born < self.worker.born

    def observe_stop(self, born: int, now: float) -> None:
        """Record that a process has answered a stop request for the run.

        :param born: Unix time in milliseconds at which that process, or the last one that is known
            to have run before, started.
        :param now: time on the local clock, in seconds.
        """
        self.stop_answered_by, self.stop_answered_at = born, now
        if born == self.born:
            self.reports_conclusive_after = min(self.reports_conclusive_after, now)

    @property
    def may_crash_worker(self) -> bool:
        """Whether the run may just be starting, and so may still crash its worker."""
        return self.is_on_probation or not self.is_confirmed

    def remaining_seconds(self, now: float) -> float:
        """Return the estimated remaining run time, infinite for a long-running task.

        :param now: time on the local clock, in seconds.
        """
        if self.step.spec.lasts:
            return math.inf
        duration = self.slowdown * self.step.expected_seconds / self.worker.speed
        if self.relative_speed:
            measured = self.step.spec.estimated_seconds / self.relative_speed
            duration = min(4.0 * duration, max(0.25 * duration, measured))
        return max(0.1, duration * (1 - self.percent / 100) - max(0.0, now - self.last_progress_at))


Value = TypeVar("Value")


@attrs.define
class ByIndex(Generic[Value]):
    """Values by index, which are iterated in the order of their indices.

    :param items: values, in the order of their indices while ``is_sorted`` is set.
    """

    items: dict[int, Value] = attrs.field(factory=dict)
    is_sorted: bool = True
    last_index: int = -1

    def add(self, index: int, value: Value) -> None:
        """Add a value."""
        self.is_sorted = self.is_sorted and index > self.last_index
        self.last_index = max(self.last_index, index)
        self.items[index] = value

    def discard(self, index: int) -> None:
        """Remove a value, if there is one."""
        self.items.pop(index, None)

    def values(self) -> Iterable[Value]:
        """Return the values in the order of their indices."""
        if not self.is_sorted:
            self.items = dict(sorted(self.items.items()))
            self.last_index = next(reversed(self.items), -1)
            self.is_sorted = True
        return self.items.values()

    def __len__(self) -> int:
        return len(self.items)


def _observe_done(task: "TaskState", attribute: attrs.Attribute, is_done: bool) -> bool:
    if task.step is not None and is_done != task.is_done:
        task.step.observe_done(task, is_done)
    return is_done


def _observe_run(task: "TaskState", attribute: attrs.Attribute, run: Run | None) -> Run | None:
    if task.step is not None and run is not task.run:
        task.step.observe_run(task, run)
    return run


def _observe_uncertainty(task: "TaskState", attribute: attrs.Attribute, value: object) -> object:
    if task.step is not None and value:
        task.step.uncertain[task.id.index] = task
    return value


@attrs.define(eq=False)
class TaskState:
    """State of one task.

    What is derived from the states of many tasks, such as how many of a step are done, is updated
    whenever one of them changes: a pass must not look at each task of each job again.

    :param is_done: whether the task has succeeded.
    :param failed_attempts: numbers of the attempts that failed. A set rather than a count, because
        a worker reports an ended run again to a new leader until it is acknowledged.
    :param crashed_attempts: numbers of the attempts that crashed their workers.
    :param suspected_crashes: numbers of those that may have: their workers have not come back, or
        became silent together with others.
    :param restored_suspicions: the same for attempts under earlier leaders, which this one cannot
        prove.
    :param checkpoint: newest known checkpoint, empty for none.
    :param failed_on: ids of the workers that the next start avoids: those on which the task failed,
        or from which it was moved.
    :param run: current run, ``None`` when the task is not assigned.
    :param may_run_on: workers on which an earlier leader may have left a run of it.
    :param unknown_on: workers whose newest reports list a run of it that is not ``run``, and is
        being stopped.
    :param awaits_confirmation: whether its run was lost with its worker, and the store has yet to
        confirm that no newer leader knows more of it.
    :param step: its step.
    """

    id: TaskId
    is_done: bool = attrs.field(default=False, on_setattr=_observe_done)
    failed_attempts: set[int] = attrs.field(factory=set)
    crashed_attempts: set[int] = attrs.field(factory=set)
    suspected_crashes: set[int] = attrs.field(factory=set)
    restored_suspicions: frozenset[int] = frozenset()
    checkpoint: str = ""
    failed_on: set[str] = attrs.field(factory=set)
    run: Run | None = attrs.field(default=None, on_setattr=_observe_run)
    may_run_on: tuple["Worker", ...] = attrs.field(default=(), on_setattr=_observe_uncertainty)
    unknown_on: frozenset["Worker"] = attrs.field(
        default=frozenset(), on_setattr=_observe_uncertainty
    )
    awaits_confirmation: bool = attrs.field(default=False, on_setattr=_observe_uncertainty)
    step: "StepState | None" = attrs.field(default=None, repr=False)

    @property
    def is_unaccounted(self) -> bool:
        """Whether another run of it may be active, or how its last run has ended is not known."""
        if self.awaits_confirmation or self.unknown_on:
            return True
        return bool(self.may_run_on) and any(not each.is_reconciled for each in self.may_run_on)

    @property
    def possible_crashes(self) -> set[int]:
        """Numbers of the attempts that crashed their workers or may have."""
        return self.crashed_attempts | self.suspected_crashes | self.restored_suspicions


def _observe_expected(step: "StepState", attribute: attrs.Attribute, seconds: float) -> float:
    if seconds != step.expected_seconds:
        step.job.summaries.pop(step.occurrence, None)
    return seconds


@attrs.define(eq=False)
class StepState:
    """State of one step in one occurrence of a job.

    :param job: state of the job.
    :param number: index of the step within the job.
    :param spec: step as submitted.
    :param tasks: state of its tasks, by index.
    :param occurrence: number of the occurrence.
    :param failed_attempts: attempts of a gang in which any task failed.
    :param done_attempt: attempt of a gang that has succeeded, 0 if none is known.
    :param is_tearing_down: whether the remaining runs of a gang's current attempt are being
        stopped.
    :param expected_seconds: expected duration of one task on a worker of speed 1: the caller's
        estimate, until runs of the queue have shown how far its estimates are off.
    :ivar done_count: number of its tasks that have succeeded.
    :ivar idle: its tasks that have neither succeeded nor a run.
    :ivar active: current runs of its tasks.
    :ivar uncertain: its tasks that have been unaccounted for, by index.
    :ivar unmet: number of steps that it depends on and that are not done.
    """

    job: "JobState"
    number: int
    spec: Step
    tasks: list[TaskState]
    occurrence: int = 0
    failed_attempts: set[int] = attrs.field(factory=set)
    done_attempt: int = 0
    is_tearing_down: bool = False
    expected_seconds: float = attrs.field(
        default=attrs.Factory(lambda self: self.spec.estimated_seconds, takes_self=True),
        on_setattr=_observe_expected,
    )
    done_count: int = attrs.field(default=0, init=False)
    idle: ByIndex[TaskState] = attrs.field(factory=ByIndex, init=False, repr=False)
    active: ByIndex[Run] = attrs.field(factory=ByIndex, init=False, repr=False)
    uncertain: dict[int, TaskState] = attrs.field(factory=dict, init=False, repr=False)
    unmet: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        for index, task in enumerate(self.tasks):
            task.step = self
            self.idle.items[index] = task
        self.idle.last_index = len(self.tasks) - 1
        self.unmet = len(set(self.spec.after))

    @property
    def is_done(self) -> bool:
        """Whether all tasks have succeeded."""
        return self.done_count == len(self.tasks)

    @property
    def waiting(self) -> list[TaskState]:
        """Tasks that have neither succeeded nor a run, nor may have an unknown run."""
        if not self.uncertain:
            return list(self.idle.values())
        return [task for task in self.idle.values() if not task.is_unaccounted]

    @property
    def waiting_count(self) -> int:
        """Number of these tasks."""
        return len(self.idle) if not self.uncertain else len(self.waiting)

    @property
    def runs(self) -> list[Run]:
        """Current runs of its tasks, all of which hold capacity."""
        return list(self.active.values())

    @property
    def is_startable(self) -> bool:
        """Whether its waiting tasks may be assigned.

        This requires that the steps it depends on are done and, for a gang, that no run of an
        earlier attempt is left.
        """
        if self.unmet:
            return False
        return not self.spec.is_gang or not (
            self.is_tearing_down or self.active or self.has_unaccounted
        )

    @property
    def has_unaccounted(self) -> bool:
        """Whether a run of any of its tasks, or how it has ended, may not be known."""
        return any(task.is_unaccounted for task in self.uncertain.values())

    def observe_done(self, task: TaskState, is_done: bool) -> None:
        """Take note that a task is about to count as done, or not to."""
        was_done = self.is_done
        self.done_count += 1 if is_done else -1
        if is_done:
            self.idle.discard(task.id.index)
        elif task.run is None:
            self.idle.add(task.id.index, task)
        self.job.summaries.pop(self.occurrence, None)
        if self.is_done != was_done:
            self.job.observe_step_done(self)
        self.job.update_ready(self)

    def observe_run(self, task: TaskState, run: Run | None) -> None:
        """Take note that a task is about to get a run, or to lose it."""
        index = task.id.index
        change = (run is not None) - (task.run is not None)
        self.job.run_count += change
        self.job.held_accelerators += change * self.spec.demand.accelerators
        if run is not None:
            self.active.add(index, run)
            self.idle.discard(index)
        else:
            self.active.discard(index)
            if not task.is_done:
                self.idle.add(index, task)
        self.job.update_ready(self)

    @property
    def unavailable_count(self) -> int:
        """Number of tasks of a long-running step that are not available or are being stopped.

        A long-running task reports a progress of 100% once it is available.
        """
        available = sum(run.percent >= 100 and not run.is_stopping for run in self.runs)
        return self.spec.count - available

    def allows_disruption(self, run: Run, chosen: int = 0) -> bool:
        """Whether the step's disruption budget permits stopping one of its runs.

        :param run: run to stop.
        :param chosen: number of other runs of the step already chosen to be stopped.
        """
        budget = self.spec.disruption_budget
        if not self.spec.lasts or budget == 0:
            return True
        is_available = run.percent >= 100 and not run.is_stopping
        return not is_available or self.unavailable_count + chosen < budget


@attrs.define(eq=False)
class JobState:
    """State of a job.

    :param spec: job as submitted.
    :param occurrences: steps of each open occurrence (due and not done), by occurrence number.
    :param next_occurrence: number of the first occurrence that has not been opened.
    :param status: status reported to callers.
    :param highest_attempt: highest attempt number used for any of its tasks.
    :param added_at: time on the local clock, in seconds, at which the leader learned of it.
    :param not_before: time on the local clock, in seconds, before which none of its tasks is
        started.
    :param is_recovered: whether an earlier leader may have started it.
    :param awaits_confirmation: whether the next leader may take it for one that no earlier leader
        has started, as this one learned of it when it may have been replaced already.
    :param has_started: whether any of its tasks was ever started.
    :param has_recorded_start: whether the store records that one of its tasks may have been
        started.
    :param recorded_attempt: highest attempt number that this leader has recorded in the store.
    :param ended_at: time on the local clock, in seconds, at which its end was recorded in the
        store, or read from it by a new leader; ``inf`` before.
    :param crash_suspects: its tasks that may crash their workers, until they have worked on one.
    :ivar run_count: number of its current runs.
    :ivar held_accelerators: number of accelerators that these hold.
    :ivar summaries: what is derived from its steps, by occurrence, until one of these changes.
    :ivar ready: steps with idle tasks whose earlier steps are done.
    :ivar undone: number of steps that are not done, by occurrence.
    """

    spec: Job
    occurrences: dict[int, list[StepState]] = attrs.field(factory=dict)
    next_occurrence: int = 0
    status: JobStatus = JobStatus.QUEUED
    highest_attempt: int = 0
    added_at: float = -math.inf
    not_before: float = -math.inf
    is_recovered: bool = False
    awaits_confirmation: bool = False
    has_started: bool = False
    has_recorded_start: bool = False
    recorded_attempt: int = 0
    ended_at: float = math.inf
    crash_suspects: set[TaskId] = attrs.field(factory=set)
    run_count: int = attrs.field(default=0, init=False)
    held_accelerators: int = attrs.field(default=0, init=False)
    summaries: dict[int, "OccurrenceSummary"] = attrs.field(factory=dict, init=False, repr=False)
    ready: dict[StepState, None] = attrs.field(factory=dict, init=False, repr=False)
    undone: dict[int, int] = attrs.field(factory=dict, init=False, repr=False)

    @property
    def steps(self) -> list[StepState]:
        """Steps of all open occurrences."""
        if len(self.occurrences) == 1:
            return next(iter(self.occurrences.values()))
        return [step for steps in self.occurrences.values() for step in steps]

    @property
    def is_done(self) -> bool:
        """Whether all occurrences have succeeded."""
        has_opened_all = self.next_occurrence >= max(1, self.spec.repeats)
        return has_opened_all and not any(self.undone[number] for number in self.occurrences)

    @property
    def earliest_start_at(self) -> float:
        """Unix time in seconds at which its oldest open occurrence became due.

        Without an open occurrence, the due time of the next one.
        """
        return self.spec.earliest_start_at(min(self.occurrences, default=self.next_occurrence))

    def open_occurrence(self, number: int) -> None:
        """Add the steps and tasks of an occurrence that is due, anew if it is open already."""
        if number in self.occurrences:
            self.close_occurrence(number)
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
        self.undone[number] = len(self.spec.steps)
        self.summaries.pop(number, None)
        for step in self.occurrences[number]:
            self.update_ready(step)

    def close_occurrence(self, number: int) -> None:
        """Remove the steps and tasks of an occurrence."""
        for step in self.occurrences.pop(number):
            self.ready.pop(step, None)
        self.undone.pop(number, None)
        self.summaries.pop(number, None)

    def observe_step_done(self, step: StepState) -> None:
        """Take note that a step has just become done, or is not done any more."""
        change = 1 if step.is_done else -1
        self.undone[step.occurrence] -= change
        siblings = self.occurrences.get(step.occurrence)
        if siblings is None:
            return
        for number in self.spec.dependants[step.number]:
            siblings[number].unmet -= change
            self.update_ready(siblings[number])

    def update_ready(self, step: StepState) -> None:
        """Update whether a step has idle tasks that do not wait for earlier steps."""
        if step.unmet == 0 and step.idle:
            self.ready[step] = None
        else:
            self.ready.pop(step, None)

    @property
    def ready_steps(self) -> list[StepState]:
        """Steps with tasks that may be assigned, in the order of occurrences and steps."""
        ordered = sorted(self.ready, key=lambda step: (step.occurrence, step.number))
        return [step for step in ordered if step.is_startable and step.waiting_count]

    @property
    def runs(self) -> Iterator[Run]:
        """Current runs of all its tasks."""
        return (run for step in self.steps for run in step.runs)

    def summary(self, number: int) -> "OccurrenceSummary":
        """Return what is derived from the steps of an open occurrence."""
        found = self.summaries.get(number)
        if found is None:
            found = self.summaries[number] = summarize_occurrence(
                self.spec, self.occurrences[number]
            )
        return found

    @property
    def objective_seconds(self) -> float:
        """Time in seconds within which the job should complete, by its expected durations.

        Callers count it by the work that the job turns out to take, not by their estimates. It
        counts from acceptance, or from the due time of an occurrence.
        """
        if not self.occurrences:
            return self.spec.objective_seconds
        chain_seconds = self.summary(min(self.occurrences)).chain_seconds
        return self.spec.slack_factor * chain_seconds + self.spec.target_seconds

    def remaining_core_seconds(self) -> float:
        """Return the estimated core-seconds of all tasks in open occurrences that are not done."""
        return sum(
            seconds * core_equivalent(demand)
            for (demand, _), seconds in self.remaining_task_seconds().items()
        )

    def total_core_seconds(self) -> float:
        """Return the estimated core-seconds of all tasks in open occurrences."""
        return sum(
            seconds * core_equivalent(demand)
            for (demand, _), seconds in self.total_task_seconds().items()
        )

    def remaining_task_seconds(self) -> Mapping[TaskKind, float]:
        """Return how long the tasks that are not done take together, by what one of them needs."""
        return add_up([self.summary(number).remaining for number in self.occurrences])

    def total_task_seconds(self) -> Mapping[TaskKind, float]:
        """Return how long all tasks of open occurrences take together, in the same form."""
        return add_up([self.summary(number).total for number in self.occurrences])

    def remaining_critical_path_seconds(self) -> float:
        """Return the longest remaining critical path of the open occurrences, in seconds."""
        paths = (self.summary(number).remaining_seconds for number in self.occurrences)
        return max(paths, default=0.0)


@attrs.frozen
class OccurrenceSummary:
    """What is derived from the steps of one occurrence of a job.

    :param chain_seconds: length of its critical path.
    :param remaining_seconds: length of the critical path through the steps that are not done.
    :param total: expected duration of all tasks together, by what one of them needs.
    :param remaining: the same of the tasks that are not done.
    """

    chain_seconds: float
    remaining_seconds: float
    total: Mapping[TaskKind, float]
    remaining: Mapping[TaskKind, float]


def summarize_occurrence(job: Job, steps: list[StepState]) -> OccurrenceSummary:
    """Return what is derived from the steps of an occurrence.

    :param steps: all steps of the occurrence.
    """
    total: dict[TaskKind, float] = defaultdict(float)
    remaining: dict[TaskKind, float] = defaultdict(float)
    for step in steps:
        kind = (step.spec.demand, step.spec.reserved)
        total[kind] += len(step.tasks) * step.expected_seconds
        remaining[kind] += (len(step.tasks) - step.done_count) * step.expected_seconds
    durations = [step.expected_seconds for step in steps]
    left = [0.0 if step.is_done else step.expected_seconds for step in steps]
    return OccurrenceSummary(
        critical_path(job.steps, durations),
        critical_path(job.steps, left),
        total,
        remaining,
    )


def add_up(parts: Sequence[Mapping[TaskKind, float]]) -> Mapping[TaskKind, float]:
    """Return the sums of the values of each key."""
    if len(parts) == 1:
        return parts[0]
    sums: dict[TaskKind, float] = defaultdict(float)
    for key, value in itertools.chain.from_iterable(part.items() for part in parts):
        sums[key] += value
    return sums


@attrs.define(eq=False)
class Worker:
    """State of one worker.

    :param entry: newest registration.
    :param is_registered: whether the platform currently lists the worker.
    :param deregistered_at: time on the local clock, in seconds, at which it was found to be
        deregistered.
    :param is_reconciled: whether its runs are known to the current leader: it has reported, or the
        leader has stopped waiting for it.
    :param awaits_confirmation: whether its runs would be known if the store confirmed a write: what
        earlier leaders left on it has ended with its process.
    :param used_born: Unix time in milliseconds at which the newest process started on which other
        leaders may have left runs, ``None`` if there is none.
    :param awaits_record: whether the store has to record that tasks may start on it before any
        does.
    :param recorded_tasks: the only tasks of which earlier leaders may have left runs on it, by the
        store; ``None`` if any task may have one.
    :param born: Unix time in milliseconds at which the process that reported last started.
    :param clock: the worker's clock at ``clock_read_at``, in milliseconds.
    :param clock_read_at: time on the local clock, in seconds, at which ``clock`` was received.
    :param last_report_at: time on the local clock, in seconds, of the newest report, ``-inf``
        before the first.
    :param report_requested_at: time on the local clock, in seconds, at which the newest report was
        requested. What a report shows holds from then on only.
    :param lease_expires_at: time on the local clock, in seconds, after which nothing runs on the
        worker unless its lease is extended.
    :param last_processed_end: sequence number of the last ended run that has been applied to this
        state.
    :param last_durable_end: sequence number of the last ended run that is recorded in the store.
    :param consecutive_failures: number of failed runs since the last successful one.
    :param last_success_at: time on the local clock, in seconds, at which a run last succeeded.
    :param slow_since: time on the local clock, in seconds, since which its tasks have been much
        slower than estimated, ``inf`` when they are not.
    :param avoid_until: time on the local clock, in seconds, until which other workers are
        preferred.
    :param suspicion: expected number of stalled gangs that this worker has held up since a run
        last succeeded there.
    :param suspected_until: time on the local clock, in seconds, until which other workers are
        preferred because it may stand still.
    :param drain_deadline: time on the local clock, in seconds, from which a draining worker may be
        gone, ``inf`` for one that is not draining.
    :param is_unreachable: whether the newest request to the worker failed.
    :param has_ended: whether its process has ended and will not be followed by one under its id.
    :param unknown_tasks: tasks of the active runs in the newest report that are not in ``runs``.
        They hold capacity until they have ended.
    :param silent_since: time on the local clock, in seconds, at which a request to it first failed
        after it had responded; ``-inf`` before.
    :param unanswered_starts: time on the local clock, in seconds, of the newest start request
        without a response, by task and attempt number; also of runs that have ended.
    :param speed: work done in a second relative to a worker of speed 1, as learned from its runs.
    :param runs: current runs by task and attempt number.
    :param free: resources that no run holds, negative where the runs exceed a capacity that has
        shrunk.
    """

    entry: WorkerEntry
    is_registered: bool = True
    deregistered_at: float = -math.inf
    is_reconciled: bool = False
    awaits_confirmation: bool = False
    used_born: int | None = None
    awaits_record: bool = False
    recorded_tasks: frozenset[TaskId] | None = None
    born: int = 0
    clock: int = 0
    clock_read_at: float = 0.0
    last_report_at: float = -math.inf
    report_requested_at: float = -math.inf
    lease_expires_at: float = -math.inf
    last_processed_end: int = 0
    last_durable_end: int = 0
    consecutive_failures: int = 0
    last_success_at: float = -math.inf
    slow_since: float = math.inf
    avoid_until: float = -math.inf
    suspicion: float = 0.0
    suspected_until: float = -math.inf
    drain_deadline: float = math.inf
    is_unreachable: bool = False
    has_ended: bool = False
    unknown_tasks: frozenset[TaskId] = frozenset()
    silent_since: float = -math.inf
    unanswered_starts: dict[tuple[TaskId, int], float] = attrs.field(factory=dict)
    speed: float = 1.0
    runs: dict[tuple[TaskId, int], Run] = attrs.field(factory=dict)
    free: Resources = attrs.field(
        default=attrs.Factory(lambda self: self.entry.capacity, takes_self=True)
    )

    @property
    def id(self) -> str:
        """Id of the worker."""
        return self.entry.id

    @property
    def accepts_tasks(self) -> bool:
        """Whether the platform lists it as ready for new tasks."""
        return self.is_registered and self.entry.is_ready

    @property
    def has_unknown_runs(self) -> bool:
        """Whether the newest report listed active runs that are not in ``runs``."""
        return bool(self.unknown_tasks)

    @property
    def latest_born(self) -> int:
        """Unix time in milliseconds at which its newest known process started."""
        return max(self.born, self.entry.born)

    def estimated_clock(self, now: float) -> int:
        """Return the least that the worker's clock may show, in milliseconds.

        A lease that is based on it does not end later than recorded.

        :param now: time on the local clock, in seconds.
        """
        return self.clock + int((now - self.clock_read_at) * SLOWEST_CLOCK_RATE * 1000)

    @property
    def is_overcommitted(self) -> bool:
        """Whether its runs exceed its capacity, which may have shrunk."""
        return min(self.free.processor_millis, self.free.memory_mb, self.free.accelerators) < 0

    def clear_suspicion(self) -> None:
        """Record that a run has succeeded on it."""
        self.suspicion = 0.0
        self.suspected_until = -math.inf

    def is_avoided(self, now: float) -> bool:
        """Whether other workers are preferred.

        :param now: time on the local clock, in seconds.
        """
        return max(self.avoid_until, self.suspected_until) > now

    def allocate(self, run: Run) -> None:
        """Add a run and allocate its resources."""
        self.runs[run.key] = run
        self.free = self.free - run.step.spec.reserved

    def release(self, run: Run) -> None:
        """Remove a run and free its resources; a run that is not held is ignored."""
        if self.runs.pop(run.key, None) is not None:
            self.free = self.free + run.step.spec.reserved

    def update_entry(self, entry: WorkerEntry, now: float) -> None:
        """Apply a new registration, which may change the capacity or start or end draining.

        :param now: time on the local clock, in seconds.
        """
        self.free = self.free + (entry.capacity - self.entry.capacity)
        if entry.is_ready:
            self.drain_deadline = math.inf
        elif self.drain_deadline == math.inf:
            self.drain_deadline = now + entry.remaining_seconds
        self.entry = entry


def core_equivalent(demand: Resources) -> float:
    """Return the number of processor cores that a resource demand counts as."""
    return demand.processor_millis / 1000 + CORES_PER_ACCELERATOR * demand.accelerators


def new_job_state(job: Job) -> JobState:
    """Return the state of a job that has not started.

    A job that runs once has its only occurrence open; scheduled occurrences open when they are due.
    """
    state = JobState(job)
    if job.repeats == 0:
        state.open_occurrence(0)
    return state
