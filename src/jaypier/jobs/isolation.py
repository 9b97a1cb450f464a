"""Isolation of jobs that may crash their workers, so that no other job suffers or is blamed."""

from collections import Counter
from collections.abc import Collection, Iterable

from jaypier.jobs.placement import FreeResourcesOf, max_tasks_on, slots_by_fit
from jaypier.jobs.preemption import Fit
from jaypier.jobs.state import JobState, Run, StepState, Worker

MAX_WAIT_SECONDS = 2.0
"""Time for which a suspected job waits for idle workers; after that, it also uses workers on which
all other runs have worked for long enough, so that they cannot be the cause of a crash. No job may
wait for 3 s while there is room for it."""


class Isolation:
    """Decides on which workers the tasks of suspected jobs, and others beside them, may start.

    A suspected job has tasks that may crash their workers. It uses workers without runs of other
    jobs, which get no others until its runs there have worked for long enough.

    :ivar owners: suspected job by id of the worker on which its runs have just started.
    :ivar waiting_since: time on the local clock, in seconds, since which a suspected job has not
        found an idle worker, by id of the job.
    :ivar sharing: ids of the jobs that have waited for too long.
    """

    def __init__(self) -> None:
        self.owners: dict[str, JobState] = {}
        self.waiting_since: dict[str, float] = {}
        self.sharing: set[str] = set()

    def refresh(self, jobs: Iterable[JobState], now: float) -> None:
        """Find the workers on which runs of suspected jobs have just started.

        :param now: time on the local clock, in seconds.
        """
        suspected = [state for state in jobs if state.crash_suspects]
        self.owners = {
            run.worker.id: state
            for state in suspected
            for run in state.runs
            if run.may_crash_worker
        }
        waiting = {state.spec.id for state in suspected} & self.waiting_since.keys()
        self.waiting_since = {job_id: self.waiting_since[job_id] for job_id in waiting}
        self.sharing = {
            job_id
            for job_id, since in self.waiting_since.items()
            if now - since >= MAX_WAIT_SECONDS
        }

    def observe_wait(self, job: JobState, now: float) -> None:
        """Record that no worker was found for a step of a suspected job.

        :param now: time on the local clock, in seconds.
        """
        self.waiting_since.setdefault(job.spec.id, now)

    def observe_starts(self, runs: Iterable[Run]) -> None:
        """Record the starts of runs that are about to be requested."""
        for run in runs:
            job = run.step.job
            if job.crash_suspects:
                self.owners[run.worker.id] = job
                self.waiting_since.pop(job.spec.id, None)

    def may_use(self, step: StepState, worker: Worker) -> bool:
        """Whether a task of a step may start on a worker."""
        job = step.job
        if self.owners.get(worker.id, job) is not job:
            return False
        if not job.crash_suspects:
            return True
        may_share = job.spec.id in self.sharing
        return all(
            run.step.job is job or (may_share and not run.may_crash_worker)
            for run in worker.runs.values()
        )

    def permitted(self, step: StepState, workers: list[Worker]) -> list[Worker]:
        """Return the workers on which a task of a step may start.

        A gang of a suspected job waits until other runs of its job have worked for long enough.
        """
        if step.spec.is_gang and self.has_trial(step.job):
            return []
        if not self.owners and not step.job.crash_suspects:
            return workers
        return [worker for worker in workers if self.may_use(step, worker)]

    def trial_workers(
        self,
        step: StepState,
        workers: list[Worker],
        free_of: FreeResourcesOf,
        placed: Counter[str],
    ) -> list[Worker]:
        """Return the worker for the next tasks of a suspected step that is not a gang.

        Its job starts on one worker after another, so that it crashes no more than one at a time.

        :param workers: workers on which its tasks may start.
        :param free_of: returns the resources of a worker that the step may use.
        :param placed: number of its tasks on each worker, by id of the worker.
        """
        if self.has_trial(step.job):
            return [worker for worker in workers if self.owners.get(worker.id) is step.job]
        return [slots.worker for slots in slots_by_fit(step.spec, workers, free_of, placed)[:1]]

    def has_trial(self, job: JobState) -> bool:
        """Whether runs of a suspected job have just started."""
        return bool(job.crash_suspects) and any(owner is job for owner in self.owners.values())


def earliest_idle(
    step: StepState, workers: Iterable[Worker], held: Collection[str], now: float
) -> Fit | None:
    """Return when and where a step fits on workers that are idle by then.

    A gang has to fit completely, of other steps one task. Returns ``None`` if it never fits.

    :param held: ids of workers to leave out.
    :param now: time on the local clock, in seconds.
    """
    needed = tasks_to_hold_for(step)
    options = sorted(
        (
            max((run.remaining_seconds(now) for run in worker.runs.values()), default=0.0),
            worker.id,
            max_tasks_on(step.spec, worker, worker.entry.capacity),
        )
        for worker in workers
        if worker.id not in held
    )
    chosen: set[str] = set()
    for seconds, worker_id, tasks in options:
        if tasks > 0:
            chosen.add(worker_id)
            needed -= tasks
        if needed <= 0:
            return Fit(seconds, frozenset(chosen))
    return None


def tasks_to_hold_for(step: StepState) -> int:
    """Return for how many tasks of a waiting step workers are held: all of a gang, else one."""
    return step.spec.count if step.spec.is_gang else 1
