"""Jobs as callers hand them in, and workers as they report themselves."""

from collections.abc import Sequence
from enum import StrEnum

import attrs

from jaypier.core.address import Address

DEFAULT_DRAIN_SECONDS = 2.0
"""Time that a leaving worker stays if it does not say so: the shortest that platforms promise."""

URGENT_PRIORITY = 0
"""Priority of jobs that a team's guarantee covers."""


@attrs.frozen
class Resources:
    """An amount of what a worker has.

    :param processor_millis: thousandths of a processor core.
    :param memory_mb: memory in MB.
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
        """Return how many times this amount fits in ``room``."""
        copies = 1_000_000
        if self.accelerators > 0:
            copies = available.accelerators // self.accelerators
        if self.processor_millis > 0:
            copies = min(copies, available.processor_millis // self.processor_millis)
        if self.memory_mb > 0:
            copies = min(copies, available.memory_mb // self.memory_mb)
        return max(0, copies)


@attrs.frozen
class Step:
    """Equal tasks of a job that may start together.

    :param demand: what one task needs.
    :param estimated_seconds: the caller's rough estimate of a task's duration.
    :param after: numbers of earlier steps whose tasks must all have ended first.
    :param saves: whether its tasks write checkpoints.
    :param is_gang: whether its tasks only work together.
    :param is_rack_local: whether its tasks are slower on more than one rack.
    :param label: label that the worker must have, empty for any worker.
    :param data_rack: rack on which its tasks are fastest, empty where it does not matter.
    :param max_per_worker: tasks of the step on one worker at most, 0 for no limit.
    :param lasts: whether its tasks run until the job is cancelled, and are started again whenever
        they end.
    :param disruption_budget: tasks of a step that lasts that may be away at a time by our own
        doing, 0 for no limit.
    :param is_serving: whether its tasks answer users of their own and must not be disturbed.
    :param is_filling: whether its tasks live on what others leave unused, and disturb them.
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
        """What one task holds of a worker; tasks that fill hold no processors."""
        if self.is_filling:
            return Resources(0, self.demand.memory_mb, self.demand.accelerators)
        return self.demand


def critical_path(steps: Sequence[Step], durations: Sequence[float]) -> float:
    """Return the duration of the longest chain of steps that follow each other.

    :param seconds: duration of each step.
    """
    finish_times: list[float] = []
    for step, duration in zip(steps, durations, strict=True):
        finish_times.append(
            duration + max((finish_times[number] for number in step.after), default=0.0)
        )
    return max(finish_times, default=0.0)


@attrs.frozen
class Job:
    """A job that was accepted.

    :param id: identity that the caller chose.
    :param queue: host and path prefix under which it was handed in.
    :param service: pool of workers that runs it, empty for any.
    :param priority: 0 is urgent and may preempt others.
    :param max_attempts: failed runs of one task after which the job has failed.
    :param slack_factor: multiple of its longest chain of work in which it is due.
    :param target_seconds: time that is added to that.
    :param submitted_at: Unix time of its acceptance, in seconds.
    :param payload: what its tasks run; passed on unread.
    :param repeats: how often its steps run, at set times; 0 for once, at once.
    :param first_start_at: Unix time in seconds at which the first of these occurrences is due.
    :param interval_seconds: time between two of them.
    :param is_preemptible: whether its runs may be stopped for other work.
    :param is_repeatable: whether a task that has been started may be started again; if not, the
        job runs once.
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
        """Return the estimated duration of its longest chain of steps."""
        return critical_path(self.steps, [step.estimated_seconds for step in self.steps])

    @property
    def objective_seconds(self) -> float:
        """Time from its acceptance in which its caller counts on its end."""
        return self.slack_factor * self.critical_path_seconds() + self.target_seconds

    def earliest_start_at(self, occurrence: int) -> float:
        """Return the Unix time in seconds from which an occurrence may start."""
        if self.repeats == 0:
            return self.submitted_at
        return self.first_start_at + occurrence * self.interval_seconds

    def is_same_request(self, other: "Job") -> bool:
        """Whether ``other`` asks for the same work."""

        def request(job: "Job") -> tuple:
            schedule = (job.repeats, job.first_start_at, job.interval_seconds)
            return (job.queue, job.payload, job.steps, schedule)

        return request(self) == request(other)


class JobStatus(StrEnum):
    """What callers are told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        """Whether the job has ended; one that is ``UNKNOWN`` is never started again."""
        return self not in (JobStatus.QUEUED, JobStatus.RUNNING)


@attrs.frozen(order=True)
class TaskId:
    """Identity of a task.

    :param occurrence: which repetition of the job, 0 for a job that runs once.
    :param step: number of its step.
    :param index: number within its step.
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> "TaskId":
        """Parse ``"JOB.OCCURRENCE.STEP.INDEX"``.

        :raises ValueError: when the text has another form.
        """
        job, occurrence, step, index = text.rsplit(".", 3)
        return cls(job, int(occurrence), int(step), int(index))


@attrs.frozen
class WorkerEntry:
    """A worker as it registered itself.

    :param id: identity of the worker; it may start again under the same one.
    :param born: Unix time of its start in milliseconds.
    :param clock: its own clock when it registered, in milliseconds.
    :param is_ready: whether it takes new work.
    :param remaining_seconds: time that it stays at least, once it leaves.
    :param labels: labels that steps may ask for.
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


class RunOutcome(StrEnum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "expired"
    PEER_ENDED = "peer_ended"
    PEERS_MISSING = "peers_missing"


@attrs.frozen
class ActiveRun:
    """A run that a worker holds.

    :param attempt: number of the task's start.
    :param checkpoint: newest checkpoint, empty for none.
    :param percent: progress in percent.
    """

    task: TaskId
    attempt: int
    checkpoint: str
    percent: float


@attrs.frozen
class EndedRun:
    """A run that ended on a worker.

    :param number: position in the worker's list of ends, from 1.
    :param checkpoint: newest checkpoint, empty for none.
    """

    sequence_number: int
    task: TaskId
    attempt: int
    outcome: RunOutcome
    checkpoint: str


@attrs.frozen
class WorkerReport:
    """A worker's answer to a renewal of its lease.

    :param born: Unix time of the worker's start in milliseconds.
    :param clock: the worker's clock, in milliseconds.
    """

    born: int
    clock: int
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]


class StartResponse(StrEnum):
    """A worker's answer to the start of a task."""

    STARTED = "started"
    DEPOSED = "deposed"
    OUTDATED = "outdated"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    REFUSED = "refused"


@attrs.frozen
class StartRequest:
    """An order to start a task.

    :param deadline: worker clock in milliseconds until which its lease, and the order, hold.
    """

    task: TaskId
    attempt: int
    payload: str
    checkpoint: str
    deadline: int
