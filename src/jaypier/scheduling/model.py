"""State that scheduling decisions are made on, and the commands that result."""

from collections import Counter
from enum import StrEnum

import attrs

from jaypier.notes.configuration import JobOutcome, Pin
from jaypier.notes.model import Job
from jaypier.workers.model import TaskIdentity, TaskReport, TaskState


class GangPhase(StrEnum):
    """Phase of a gang in its data centre."""

    QUEUED = "queued"
    HOLDING = "holding"
    MARKING = "marking"
    RUNNING = "running"
    STOPPING = "stopping"


class StopReason(StrEnum):
    """Why a gang is stopped."""

    CANCELLED = "cancelled"
    PREEMPTED = "preempted"
    DATA_CENTRE_OUT = "data_centre_out"
    START_FAILED = "start_failed"
    TASK_FAILED = "task_failed"
    WORKER_LOST = "worker_lost"
    SUPERSEDED = "superseded"


@attrs.define
class Gang:
    """One job in the data centre that it is assigned to.

    :param queued_at: time since when it waits, in seconds.
    :param adopted_at: time at which it came to this data centre, or queued here again.
    :param not_before: time before which it is not started again, in seconds.
    :param placement: number of tasks on each worker, empty while queued.
    :param claim: key of the reservation that it runs in, ``None`` for lent capacity.
    :param is_off_home: whether it runs outside the home that it claims.
    :param tasks: worker of each task of the present attempt.
    :param states: newest reported state of each task.
    :param was_released: whether tasks of the present attempt may have run.
    :param is_own_mark: whether the present owner had the job marked as released, so that it
        knows whether the release followed.
    :param failures: how often a task of this job failed on each worker.
    """

    job: Job
    revision: int
    queued_at: float
    adopted_at: float = 0.0
    attempt: int = 0
    phase: GangPhase = GangPhase.QUEUED
    not_before: float = 0.0
    phase_since: float = 0.0
    placement: dict[str, int] = attrs.field(factory=dict)
    claim: str | None = None
    is_off_home: bool = False
    tasks: dict[TaskIdentity, str] = attrs.field(factory=dict)
    states: dict[TaskIdentity, TaskState] = attrs.field(factory=dict)
    was_released: bool = False
    is_own_mark: bool = False
    stop_reason: StopReason | None = None
    detail: str = ""
    failures: Counter[str] = attrs.field(factory=Counter)

    @property
    def failed_on(self) -> set[str]:
        """Workers on which a task of this job failed."""
        return set(self.failures)

    @property
    def is_active(self) -> bool:
        """Whether it holds or awaits capacity on workers."""
        return self.phase is not GangPhase.QUEUED

    @property
    def is_evictable(self) -> bool:
        """Whether it may be preempted for a team that claims its guarantee."""
        is_lent = self.claim is None or self.is_off_home
        return self.job.preemptible and is_lent and self.phase is not GangPhase.STOPPING


@attrs.define
class Worker:
    """One worker of the data centre.

    :param accelerators: number that it has.
    :param heard_at: time of its newest report, in seconds; ``-inf`` before the first.
    :param clock: its own clock in that report, in seconds.
    :param lease_end: time after which its tasks have stopped unless it is heard, in seconds.
    :param starts_valid_until: worker clock time after which no START that was sent is obeyed.
    :param reported: newest reported state of each task that it holds.
    :param assigned: tasks that gangs place on it.
    :param is_listed: whether the platform lists it as live.
    :param is_reachable: whether its lease is being renewed.
    """

    name: str
    rack: str
    accelerators: int
    heard_at: float = float("-inf")
    clock: float = 0.0
    lease_end: float = float("-inf")
    starts_valid_until: float = float("-inf")
    reported: dict[TaskIdentity, TaskReport] = attrs.field(factory=dict)
    assigned: dict[TaskIdentity, "Gang"] = attrs.field(factory=dict)
    is_listed: bool = True
    is_reachable: bool = False

    def to_worker_clock(self, time: float) -> float:
        """Convert a local time to the worker's clock, never later than it really is.

        The worker read its clock before the report was received here, so its clock reaches
        the result no later than the local clock reaches ``time``.
        """
        return self.clock + (time - self.heard_at)


@attrs.frozen
class Decisions:
    """What has to be committed to the ledger after one pass.

    :param retired: outcome of each job that has ended.
    :param moved: jobs that this data centre gives back.
    :param pulled: jobs without a data centre that this one has room for.
    :param to_mark: jobs that cannot be preempted, to record as released before they are.
    """

    retired: dict[str, JobOutcome] = attrs.field(factory=dict)
    moved: list[str] = attrs.field(factory=list)
    pulled: list[str] = attrs.field(factory=list)
    to_mark: dict[str, Pin] = attrs.field(factory=dict)

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to commit."""
        return not (self.retired or self.moved or self.pulled or self.to_mark)
