"""Data types of the scheduler: jobs and tasks, and the messages exchanged with workers.

Jobs, steps and worker entries are stored under their attribute names, and enumerations under their
values.
"""

import functools
from collections.abc import Sequence
from enum import StrEnum

import attrs

from jaypier.core.address import Address

DEFAULT_DRAIN_SECONDS = 2.0
"""Drain time assumed for a worker that does not announce one: the shortest that any platform
guarantees."""

URGENT_PRIORITY = 0
"""Priority of urgent jobs: they may preempt others and are covered by their team's guarantee."""

MAX_TASK_NUMBER_DIGITS = 15
"""Most digits of a number in the name of a task."""


@attrs.frozen
class Resources:
    """A vector of resource amounts.

    :param processor_millis: processors, in thousandths of a core.
    :param memory_mb: memory, in MB.
    :param accelerators: number of accelerators.
    """

    processor_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.processor_millis + other.processor_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.processor_millis - other.processor_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def copies_within(self, available: "Resources") -> int:
        """Return how many times this amount fits into ``available``, 1,000,000 if it is zero.

        Nothing fits if any resource is overcommitted, as on a worker whose capacity has shrunk.
        """
        if min(available.processor_millis, available.memory_mb, available.accelerators) < 0:
            return 0
        copies = 1_000_000
        if self.accelerators > 0:
            copies = available.accelerators // self.accelerators
        if self.processor_millis > 0:
            copies = min(copies, available.processor_millis // self.processor_millis)
        if self.memory_mb > 0:
            copies = min(copies, available.memory_mb // self.memory_mb)
        return copies


@attrs.frozen
class Step:
    """A group of identical tasks within a job.

    :param count: number of tasks.
    :param demand: resources that one task needs.
    :param estimated_seconds: the caller's rough estimate of a task's duration.
    :param after: indices of earlier steps that must be done before this one starts.
    :param saves: whether its tasks write checkpoints.
    :param is_gang: whether its tasks are gang-scheduled: all start together, and none works without
        the others.
    :param is_rack_local: whether its tasks run slower when spread over more than one rack.
    :param label: label that the worker must have, empty for any worker.
    :param data_rack: rack that holds the input data, on which its tasks run fastest; empty for no
        preference.
    :param max_per_worker: maximum number of tasks of the step on one worker, 0 for no limit.
    :param lasts: whether its tasks are long-running: they run until the job is cancelled and are
        restarted whenever they end.
    :param disruption_budget: maximum number of tasks of a long-running step that may be unavailable
        at a time because of preemption, 0 for no limit.
    :param is_serving: whether its tasks serve user requests, so that they must not share a worker
        with filling tasks.
    :param is_filling: whether its tasks use processors that other tasks leave idle. They reserve no
        processors and slow down tasks that serve requests.
    """

    count: int
    demand: Resources
    estimated_seconds: float
    after: tuple[int, ...] = ()
    saves: bool = False
    is_gang: bool = False
    is_rack_local: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    lasts: bool = False
    disruption_budget: int = 0
    is_serving: bool = False
    is_filling: bool = False

    @property
    def reserved(self) -> Resources:
        """Resources that one task reserves on its worker; a filling task reserves no processors."""
        if self.is_filling:
            return Resources(0, self.demand.memory_mb, self.demand.accelerators)
        return self.demand


def critical_path(steps: Sequence[Step], durations: Sequence[float]) -> float:
    """Return the length in seconds of the critical path through the steps of a job.

    :param durations: duration of each step in seconds, in the order of ``steps``.
    """
    finish_times: list[float] = []
    for step, duration in zip(steps, durations, strict=True):
        finish_times.append(
            duration + max((finish_times[number] for number in step.after), default=0.0)
        )
    return max(finish_times, default=0.0)


@attrs.frozen
class Job:
    """An accepted job.

    :param id: id chosen by the caller.
    :param queue: host and path prefix under which the job was submitted.
    :param service: pool of workers that runs the job, empty for any pool.
    :param team: team that owns the job.
    :param priority: 0 is urgent and may preempt jobs of larger numbers.
    :param max_attempts: number of failed runs of one task after which the job fails.
    :param slack_factor: factor on the length of the critical path in the job's time objective.
    :param target_seconds: constant added to that product.
    :param submitted_at: Unix time in seconds at which the job was accepted.
    :param payload: opaque description of the work, passed to the workers unread.
    :param steps: steps of the job; each may only depend on earlier ones.
    :param repeats: number of scheduled occurrences of the job, 0 for a job that runs once and
        immediately.
    :param first_start_at: Unix time in seconds at which the first occurrence is due.
    :param interval_seconds: time between the due times of two occurrences.
    :param is_preemptible: whether its runs may be stopped in favour of other jobs.
    :param is_repeatable: whether a task may be started again after its first start. If not, the
        loss of a run ends the job with the status ``UNKNOWN``.
    """

    id: str
    queue: str
    service: str
    team: str
    priority: int
    max_attempts: int
    slack_factor: float
    target_seconds: float
    submitted_at: float
    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_start_at: float = 0.0
    interval_seconds: float = 0.0
    is_preemptible: bool = True
    is_repeatable: bool = True

    def critical_path_seconds(self) -> float:
        """Return the estimated length of its critical path, in seconds."""
        return critical_path(self.steps, [step.estimated_seconds for step in self.steps])

    @functools.cached_property
    def lasts(self) -> bool:
        """Whether it has long-running tasks."""
        return any(step.lasts for step in self.steps)

    @functools.cached_property
    def dependants(self) -> tuple[tuple[int, ...], ...]:
        """Indices of the steps that directly depend on each step, by its index."""
        found: list[list[int]] = [[] for _ in self.steps]
        for index, step in enumerate(self.steps):
            for earlier in set(step.after):
                found[earlier].append(index)
        return tuple(map(tuple, found))

    @functools.cached_property
    def objective_seconds(self) -> float:
        """Time in seconds within which the caller expects the job to complete.

        It counts from acceptance, or from the due time of an occurrence.
        """
        return self.slack_factor * self.critical_path_seconds() + self.target_seconds

    def earliest_start_at(self, occurrence: int) -> float:
        """Return the Unix time in seconds from which an occurrence may start.

        :param occurrence: number of the occurrence, from 0.
        """
        if self.repeats == 0:
            return self.submitted_at
        return self.first_start_at + occurrence * self.interval_seconds

    def is_same_request(self, other: "Job") -> bool:
        """Whether ``other`` is a resubmission of the same request.

        Compares queue, payload, steps and schedule.
        """

        def request(job: "Job") -> tuple:
            schedule = (job.repeats, job.first_start_at, job.interval_seconds)
            return (job.queue, job.payload, job.steps, schedule)

        return request(self) == request(other)


class JobStatus(StrEnum):
    """Status of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        """Whether the job has ended; a job in the status ``UNKNOWN`` is never restarted."""
        return self not in (JobStatus.QUEUED, JobStatus.RUNNING)


@attrs.frozen(order=True)
class TaskId:
    """Id of a task.

    :param job_id: id of the job.
    :param occurrence: number of the occurrence, from 0; always 0 for a job that runs once.
    :param step: index of the step within the job.
    :param index: index of the task within the step.
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> "TaskId":
        """Parse ``"JOB_ID.OCCURRENCE.STEP.INDEX"``, the form that ``str`` returns.

        :raises ValueError: when the text has another form.
        """
        job, *numbers = text.rsplit(".", 3)
        is_valid = all(
            each.isascii() and each.isdecimal() and len(each) <= MAX_TASK_NUMBER_DIGITS
            for each in numbers
        )
        if len(numbers) != 3 or not is_valid:
            raise ValueError("expected a task as JOB.OCCURRENCE.STEP.INDEX, with three numbers")
        occurrence, step, index = map(int, numbers)
        return cls(job, occurrence, step, index)


@attrs.frozen
class WorkerEntry:
    """Registration of a worker.

    :param id: id of the worker; a restarted worker may register under the same one.
    :param service: pool that the worker belongs to.
    :param address: address at which the worker accepts requests.
    :param data_centre: data centre of the worker.
    :param rack: rack of the worker.
    :param labels: labels that steps may require.
    :param capacity: total resources of the worker.
    :param is_ready: whether the worker accepts new tasks; false while it is draining.
    :param born: Unix time in milliseconds at which the worker process started.
    :param clock: the worker's own clock at registration, in milliseconds.
    :param remaining_seconds: minimum time that the worker stays up after it starts draining.
    :param machine: name of the machine, which runs one worker process at a time; empty if the entry
        does not name it. A restarted worker may have another id on the same machine.
    """

    id: str
    service: str
    address: Address
    data_centre: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    is_ready: bool
    born: int
    clock: int
    remaining_seconds: float = DEFAULT_DRAIN_SECONDS
    machine: str = ""


class RunOutcome(StrEnum):
    """How a run of a task ended.

    ``EXPIRED``: the lease ran out. ``PEER_ENDED``: another task of the gang ended.
    ``PEERS_MISSING``: the gang was not complete in time, so the task never began to work.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "expired"
    PEER_ENDED = "peer_ended"
    PEERS_MISSING = "peers_missing"


@attrs.frozen
class ActiveRun:
    """A run that is active on a worker.

    :param task: task that is run.
    :param attempt: attempt number of the run.
    :param checkpoint: newest checkpoint, empty for none.
    :param percent: progress in percent.
    """

    task: TaskId
    attempt: int
    checkpoint: str
    percent: float


@attrs.frozen
class EndedRun:
    """A run that has ended on a worker.

    :param sequence_number: position in the worker process's list of ended runs, from 1.
    :param task: task that was run.
    :param attempt: attempt number of the run.
    :param outcome: how the run ended.
    :param checkpoint: newest checkpoint, empty for none.
    """

    sequence_number: int
    task: TaskId
    attempt: int
    outcome: RunOutcome
    checkpoint: str


@attrs.frozen
class WorkerReport:
    """A worker's response to a lease renewal.

    :param born: Unix time in milliseconds at which the worker process started.
    :param clock: the worker's own clock, in milliseconds.
    :param active: runs that are active.
    :param ended: ended runs that the leader has not acknowledged yet, in the order of their
        sequence numbers.
    """

    born: int
    clock: int
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]


class StartResponse(StrEnum):
    """A worker's response to a start request.

    ``DEPOSED``: the worker has accepted a newer epoch. ``OUTDATED``: it has seen a start or stop of
    the task with this or a higher attempt number. ``EXPIRED``: the request's deadline has passed.
    ``UNHEALTHY``: it is overloaded or cannot run tasks now.
    """

    STARTED = "started"
    DEPOSED = "deposed"
    OUTDATED = "outdated"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    REFUSED = "refused"


@attrs.frozen
class StartRequest:
    """A request to start a task on a worker.

    :param task: task to start.
    :param attempt: attempt number of the run.
    :param payload: the job's payload.
    :param checkpoint: checkpoint to restore, empty to start from the beginning.
    :param deadline: time on the worker's clock in milliseconds until which the request is valid and
        the worker's lease is extended.
    """

    task: TaskId
    attempt: int
    payload: str
    checkpoint: str
    deadline: int
