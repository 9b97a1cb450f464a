"""State of one data centre with its indexes, and the changes that keep them consistent."""

from jaypier.core.metrics import Metrics
from jaypier.notes.configuration import Configuration, JobOutcome, JobState, Pin
from jaypier.scheduling.capacity import Capacity
from jaypier.scheduling.health import HealthTracker
from jaypier.scheduling.model import Gang, GangPhase, StopReason, Worker
from jaypier.workers.model import TaskIdentity

FIRST_BACKOFF_SECONDS = 0.5
"""Delay before a gang whose start failed is tried again; it doubles each time."""

MAX_BACKOFF_SECONDS = 60.0
"""Longest delay before another attempt."""

MAX_BACKOFF_EXPONENT = 10


class DataCentreState:
    """Workers and gangs of one data centre.

    ``pool`` holds the jobs that have no data centre yet, and since when they are known here.

    :param epoch: fencing epoch of the owner.
    :param lease_seconds: worker lease; workers not heard for this long have stopped all tasks.
    """

    def __init__(
        self, data_centre: str, epoch: int, lease_seconds: float, metrics: Metrics
    ) -> None:
        self.data_centre = data_centre
        self.epoch = epoch
        self.lease_seconds = lease_seconds
        self.metrics = metrics
        self.configuration = Configuration()
        self.workers: dict[str, Worker] = {}
        self.gangs: dict[str, Gang] = {}
        self.queued: dict[str, Gang] = {}
        self.transient: dict[str, Gang] = {}
        self.attention: dict[str, Gang] = {}
        self.claiming: dict[str, Gang] = {}
        self.capacity = Capacity()
        self.health = HealthTracker()
        self.is_rebuilt = False
        self.retired: dict[str, JobOutcome] = {}
        self.moved: set[str] = set()
        self.pool: dict[str, float] = {}
        self.dirty: set[str] = set()

    @property
    def in_service(self) -> bool:
        """Whether new work may start here."""
        return self.configuration.in_service(self.data_centre)

    # Gangs

    def add_gang(self, gang: Gang) -> None:
        """Add a queued gang."""
        self.gangs[gang.job.name] = gang
        self.queued[gang.job.name] = gang

    def drop_gang(self, gang: Gang) -> None:
        """Forget a gang that holds no workers."""
        for index in (self.gangs, self.queued, self.transient, self.attention, self.claiming):
            index.pop(gang.job.name, None)

    def enter(self, gang: Gang, phase: GangPhase, now: float) -> None:
        """Move a gang to a phase and have its workers contacted."""
        name = gang.job.name
        gang.phase = phase
        gang.phase_since = now
        for index in (self.queued, self.transient, self.attention):
            index.pop(name, None)
        if phase is GangPhase.QUEUED:
            self.queued[name] = gang
        elif phase is GangPhase.RUNNING:
            self.attention[name] = gang
        else:
            self.transient[name] = gang
        self.dirty.update(gang.placement)

    def stop(self, gang: Gang, reason: StopReason, now: float) -> None:
        """Have all tasks of an active gang stopped."""
        if gang.phase is GangPhase.STOPPING:
            if reason is StopReason.CANCELLED:
                gang.stop_reason = reason
            return
        gang.stop_reason = reason
        self.enter(gang, GangPhase.STOPPING, now)
        self.metrics.count(f"gangs.stopped.{reason.value}")

    def place(
        self, gang: Gang, placement: dict[str, int], now: float, claim: str | None = None
    ) -> None:
        """Assign a new attempt of a gang to workers; its tasks are started held."""
        gang.attempt += 1
        gang.placement = placement
        gang.stop_reason = None
        gang.claim = claim
        if claim is not None:
            self.claiming[gang.job.name] = gang
        workers = [worker for worker, tasks in placement.items() for _ in range(tasks)]
        for index, name in enumerate(workers):
            task = TaskIdentity(gang.job.name, gang.revision, self.epoch, gang.attempt, index)
            gang.tasks[task] = name
            self.workers[name].assigned[task] = gang
        self.enter(gang, GangPhase.HOLDING, now)
        for name in placement:
            self.update_free(name, now)

    def release_workers(self, gang: Gang, now: float) -> None:
        """Give back the workers of a gang whose tasks have ended."""
        for task, name in gang.tasks.items():
            worker = self.workers.get(name)
            if worker is not None:
                worker.assigned.pop(task, None)
        names = set(gang.placement) & set(self.workers)
        self.dirty |= names
        gang.tasks, gang.states, gang.placement, gang.claim = {}, {}, {}, None
        gang.is_off_home = False
        self.claiming.pop(gang.job.name, None)
        for name in names:
            self.update_free(name, now)

    def requeue(self, gang: Gang, now: float) -> None:
        """Queue a gang again, after a delay if it failed."""
        if gang.stop_reason in (StopReason.TASK_FAILED, StopReason.START_FAILED):
            exponent = min(gang.attempt, MAX_BACKOFF_EXPONENT)
            backoff = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2**exponent)
            gang.not_before = now + backoff
        gang.was_released = False
        gang.adopted_at = now
        self.enter(gang, GangPhase.QUEUED, now)

    def retire(self, gang: Gang, state: JobState, reason: str) -> None:
        """End a gang whose workers were given back, with a final outcome."""
        self.retired[gang.job.name] = JobOutcome(state, reason)
        self.metrics.count(f"jobs.{state.value}")
        self.drop_gang(gang)

    def hand_on(self, gang: Gang) -> None:
        """Give back a gang that holds no workers, for another data centre."""
        if self.may_have_run(gang):
            reason = "its workers were lost after it was released"
            self.retire(gang, JobState.UNKNOWN, reason)
            return
        self.moved.add(gang.job.name)
        self.drop_gang(gang)

    def may_have_run(self, gang: Gang) -> bool:
        """Whether a non-repeatable job may have run, now or under an earlier owner."""
        is_marked = gang.job.name in self.configuration.released and not gang.is_own_mark
        return not gang.job.repeatable and (gang.was_released or is_marked)

    def pin(self, gang: Gang) -> Pin:
        """Return what to record of a gang that cannot be preempted, before its release."""
        return Pin(gang.claim or "", gang.job.accelerators_per_task, dict(gang.placement))

    # Workers

    def is_usable(self, worker: Worker, now: float) -> bool:
        """Whether new tasks may be placed on a worker."""
        return (
            worker.is_reachable
            and worker.is_listed
            and not self.health.is_quarantined(worker.name, now)
        )

    def drop_worker(self, name: str) -> None:
        """Forget a worker."""
        if name in self.capacity.rack_of:
            self.capacity.remove(name)
        del self.workers[name]

    def update_free(self, name: str, now: float) -> None:
        """Recompute the free accelerators of one worker."""
        worker = self.workers[name]
        if not self.is_rebuilt or not self.is_usable(worker, now):
            if name in self.capacity.rack_of:
                self.capacity.remove(name)
            return
        used = sum(gang.job.accelerators_per_task for gang in worker.assigned.values())
        used += sum(
            each.accelerators
            for each in worker.reported.values()
            if not each.state.is_final and each.task not in worker.assigned
        )
        free = max(0, worker.accelerators - used)
        if worker.name not in self.capacity.rack_of or self.capacity.free_of(name) != free:
            self.capacity.set_free(name, worker.rack, free)
