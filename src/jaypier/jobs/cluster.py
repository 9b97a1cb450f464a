"""Book-keeping of jobs, workers and runs: pure, with time and events as arguments."""

import itertools
import math
from collections import defaultdict
from collections.abc import Iterator

import attrs

from jaypier.jobs.model import (
    ActiveRun,
    EndedRun,
    Job,
    JobStatus,
    RunOutcome,
    StartResponse,
    TaskId,
    WorkerEntry,
    WorkerReport,
)
from jaypier.jobs.state import JobState, Run, StepState, TaskState, Worker, new_job_state
from jaypier.jobs.stragglers import EstimateAccuracy, sample_speed, update_slow_worker

LEASE_DRIFT_FACTOR = 1.03
"""Upper bound of local time against a worker's clock, which may be 2% slow, and a margin."""

LEASE_MARGIN_SECONDS = 0.15
"""Seconds added to a lease for the estimate of the worker's clock."""

FAILURE_AVOID_SECONDS = 6.0
"""Time for which a worker is avoided after a failed run: the usual length of a disruption."""

START_RETRY_SECONDS = 0.3
"""Time before a refused start is tried again, a little over a worker's round trip."""

RESTART_BACKOFF_SECONDS = 1.0
"""Time before a task that lasts is started again after it has failed, so that one that always fails
at once costs little."""

ORPHAN_GRACE_SECONDS = 1.5
"""Time for which runs and ends of an unknown job are kept: its row may not have been read yet."""

MAX_OPEN_OCCURRENCES = 32
"""Occurrences of one job that may be open at a time, so that a job that falls behind its times does
not fill the memory and its row of progress."""

ATTEMPTS_PER_EPOCH = 64
"""Distance between the attempt numbers of two leaders, so that they never use the same one."""


@attrs.frozen
class UnknownRun:
    """A run that a worker holds and no decision asked for."""

    worker_id: str
    task: TaskId
    attempt: int


@attrs.define
class OrphanedJob:
    """Runs or ends of a job that is not known, started by an earlier leader.

    :param first_reported_at: local time at which a worker first spoke of it, in seconds.
    :param workers: workers that spoke of it.
    """

    first_reported_at: float
    workers: set[str] = attrs.field(factory=set)


class ClusterState:
    """Jobs, workers and what runs where.

    :param epoch: epoch of the present leader.
    :param lease_seconds: longest lease that a worker grants.
    """

    def __init__(self, epoch: int, lease_seconds: float) -> None:
        self.epoch = epoch
        self.lease_seconds = lease_seconds
        self.jobs: dict[str, JobState] = {}
        self.workers: dict[str, Worker] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.dirty_jobs: set[str] = set()
        self.release_count = 0
        self.cancelled: set[str] = set()
        self.orphans: dict[str, OrphanedJob] = {}
        self.estimate_accuracy: dict[str, EstimateAccuracy] = defaultdict(EstimateAccuracy)

    # Jobs

    def add_job(self, job: Job, may_have_started: bool = False) -> JobState | None:
        """Take in an accepted job; return ``None`` when it is known.

        :param may_have_started: whether an earlier leader may have started it.
        """
        if job.id in self.jobs:
            return None
        state = new_job_state(job)
        orphan = self.orphans.pop(job.id, None)
        state.is_recovered = may_have_started or orphan is not None
        for worker_id in orphan.workers if orphan else ():
            if worker_id in self.workers:
                self.workers[worker_id].is_reconciled = False
        self.insert_job(state)
        return state

    def should_defer_orphan(self, job_id: str, worker: Worker, now: float) -> bool:
        """Whether a worker speaks of a job whose row may still be on its way."""
        if job_id in self.jobs:
            return False
        orphan = self.orphans.setdefault(job_id, OrphanedJob(now))
        orphan.workers.add(worker.id)
        return now - orphan.first_reported_at < ORPHAN_GRACE_SECONDS

    def insert_job(self, state: JobState) -> None:
        """Take in a job with its progress."""
        self.jobs[state.spec.id] = state
        if state.spec.id in self.cancelled:
            self.cancel_job(state.spec.id)

    def cancel_job(self, job_id: str) -> list[Run]:
        """End a job at its caller's wish; return the runs to stop."""
        self.cancelled.add(job_id)
        state = self.jobs.get(job_id)
        if state is None or state.status.is_final:
            return []
        return self.end_job(state, JobStatus.CANCELLED)

    def end_job(self, state: JobState, status: JobStatus) -> list[Run]:
        """Give a job its final status; return the runs to stop."""
        state.status = status
        self.dirty_jobs.add(state.spec.id)
        return [run for run in state.runs if self.mark_stopping(run)]

    def remove_job(self, job_id: str) -> None:
        """Drop an ended job."""
        self.jobs.pop(job_id, None)
        self.cancelled.discard(job_id)

    def open_reported_occurrence(self, task: TaskId) -> None:
        """Open an occurrence of which a worker speaks: an earlier leader took it to be due."""
        state = self.jobs.get(task.job_id)
        if state is None or state.status.is_final:
            return
        for number in range(state.next_occurrence, min(task.occurrence + 1, state.spec.repeats)):
            state.open_occurrence(number)

    def find_task(self, task: TaskId) -> tuple[StepState, TaskState] | None:
        """Return the state of a task, or ``None`` when no job has it."""
        state = self.jobs.get(task.job_id)
        steps = [] if state is None else state.occurrences.get(task.occurrence, [])
        if task.step >= len(steps):
            return None
        step = steps[task.step]
        return (step, step.tasks[task.index]) if task.index < len(step.tasks) else None

    def open_due_occurrences(self, wall_time: float) -> bool:
        """Open the occurrences that have become due, and drop those that are done.

        :param wall_time: Unix time in seconds.
        :returns: whether any has been opened.
        """
        has_opened = False
        for state in self.jobs.values():
            if state.spec.repeats == 0 or state.status.is_final:
                continue
            for number, steps in list(state.occurrences.items()):
                if all(step.is_done and not step.runs for step in steps):
                    del state.occurrences[number]
            while (
                state.next_occurrence < state.spec.repeats
                and len(state.occurrences) < MAX_OPEN_OCCURRENCES
                and state.spec.earliest_start_at(state.next_occurrence) <= wall_time
            ):
                state.open_occurrence(state.next_occurrence)
                self.dirty_jobs.add(state.spec.id)
                has_opened = True
        return has_opened

    def next_attempt(self, state: JobState) -> int:
        """Return a number above that of every earlier start of the job's tasks."""
        first_of_epoch = (self.epoch - 1) * ATTEMPTS_PER_EPOCH + 1 if state.is_recovered else 1
        state.highest_attempt = max(state.highest_attempt + 1, first_of_epoch)
        return state.highest_attempt

    # Workers

    def register_worker(self, entry: WorkerEntry, now: float) -> Worker:
        """Take in a worker's entry."""
        worker = self.workers.get(entry.id)
        if worker is None:
            worker = Worker(entry, born=entry.born, clock=entry.clock, clock_read_at=now)
            self.workers[entry.id] = worker
        worker.update_entry(entry, now)
        worker.is_registered = True
        return worker

    def deregister_worker(self, worker_id: str, now: float) -> None:
        """Note that the platform no longer lists a worker."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.is_registered:
            worker.is_registered = False
            worker.deregistered_at = now

    def remove_worker(self, worker: Worker) -> None:
        """Forget a worker that is gone for good."""
        self.mark_runs_lost(worker)
        self.workers.pop(worker.id, None)

    def mark_runs_lost(self, worker: Worker) -> None:
        """Note that nothing runs on a worker any more."""
        for run in list(worker.runs.values()):
            self.mark_run_lost(run)

    def expire_leases(self, now: float) -> list[Worker]:
        """Note the workers whose lease has run out without a report."""
        expired = [
            each for each in self.workers.values() if each.runs and now > each.lease_expires_at
        ]
        for worker in expired:
            self.mark_runs_lost(worker)
        return expired

    def extend_lease(self, worker: Worker, now: float) -> int:
        """Note, before an order is sent, that it may keep the worker at work for a whole lease.

        :returns: the worker's clock in milliseconds at the end of the lease.
        """
        until = now + self.lease_seconds * LEASE_DRIFT_FACTOR + LEASE_MARGIN_SECONDS
        worker.lease_expires_at = max(worker.lease_expires_at, until)
        return worker.estimated_clock(now) + int(self.lease_seconds * 1000)

    @property
    def unreconciled_workers(self) -> list[Worker]:
        """Workers that have not reported to the present leader."""
        return [worker for worker in self.workers.values() if not worker.is_reconciled]

    # Runs

    def assign_task(
        self, step: StepState, task: TaskState, worker: Worker, attempt: int, now: float
    ):
        """Assign a task to a worker; return the run."""
        run = Run(task.id, attempt, worker, step, now)
        task.run = run
        worker.allocate(run)
        state = step.job
        if not state.has_started:
            state.has_started = True
            state.status = JobStatus.RUNNING
            self.dirty_jobs.add(state.spec.id)
        return run

    def mark_stopping(self, run: Run) -> bool:
        """Note that a run is to be stopped; return whether that is new."""
        if run.is_stopping:
            return False
        run.is_stopping = True
        return True

    def mark_run_lost(self, run: Run) -> None:
        """Note that a run has ended without a word on how far it came."""
        self.end_run(run)
        self.end_unrepeatable_job(run.step.job)

    def end_unrepeatable_job(self, state: JobState) -> None:
        """End a job that must not be started again, as nobody can tell what its run has done."""
        if not state.spec.is_repeatable and not state.status.is_final:
            self.end_job(state, JobStatus.UNKNOWN)

    def end_lost_unrepeatable_jobs(self) -> None:
        """End jobs that an earlier leader started, of which nothing runs, and that have one start.

        To be called once every worker has reported.
        """
        for state in self.jobs.values():
            if state.is_recovered and state.has_started and not any(state.runs):
                self.end_unrepeatable_job(state)

    def end_run(self, run: Run) -> None:
        """Free what a run held."""
        run.worker.release(run)
        self.release_count += 1
        found = self.find_task(run.task)
        if found is not None and found[1].run is run:
            found[1].run = None
        step = run.step
        if step.spec.is_gang:
            step.is_tearing_down = bool(step.runs)

    def apply_report(
        self, worker: Worker, report: WorkerReport, sent_at: float, now: float
    ) -> tuple[list[EndedRun], list[UnknownRun]]:
        """Take in a worker's report.

        :param sent_at: local time at which the report was asked for.
        :returns: ends that are new, and runs that have to be stopped as nobody asked for them.
        """
        if report.born < worker.born:
            return [], []
        if report.born > worker.born:
            # A new process tells its ends from the first one on. What runs on it is in the report:
            # an order may have reached it before this leader knew of it.
            worker.born = report.born
            worker.last_processed_end = worker.last_durable_end = 0
            worker.consecutive_failures = 0
        worker.clock, worker.clock_read_at = report.clock, now
        worker.last_report_at = now
        worker.is_reconciled = True
        worker.is_unreachable = False
        new_ends = list(
            itertools.takewhile(
                lambda end: not self.should_defer_orphan(end.task.job_id, worker, now),
                (end for end in report.ended if end.sequence_number > worker.last_processed_end),
            )
        )
        for end in new_ends:
            self.apply_ended_run(worker, end, now)
            worker.last_processed_end = max(worker.last_processed_end, end.sequence_number)
        unknown = [
            UnknownRun(worker.id, each.task, each.attempt)
            for each in report.active
            if not self.should_defer_orphan(each.task.job_id, worker, now)
            and not self.apply_active_run(worker, each, sent_at, now)
        ]
        active = {(each.task, each.attempt) for each in report.active}
        for run in list(worker.runs.values()):
            is_complete = (
                sent_at > run.reports_conclusive_after or report.clock > run.start_deadline
            )
            if run.key not in active and is_complete:
                self.mark_run_lost(run)
        update_slow_worker(worker, self.estimate_accuracy, now)
        return new_ends, unknown

    def apply_active_run(
        self, worker: Worker, active: ActiveRun, sent_at: float, now: float
    ) -> bool:
        """Take in a run that a worker holds; return whether it is wanted."""
        run = worker.runs.get((active.task, active.attempt))
        if run is None:
            self.open_reported_occurrence(active.task)
            run = self.adopt_run(worker, active, now)
            if run is None:
                return False
        run.is_confirmed = True
        run.reports_conclusive_after = min(run.reports_conclusive_after, sent_at)
        if active.percent > run.percent or run.last_progress_at == math.inf:
            run.percent, run.last_progress_at = active.percent, now
        sample_speed(run, now)
        if active.checkpoint:
            self.record_checkpoint(run, active.checkpoint)
        return True

    def adopt_run(self, worker: Worker, active: ActiveRun, now: float) -> Run | None:
        """Take over a run that an earlier leader started, if it is still wanted."""
        found = self.find_task(active.task)
        if found is None:
            return None
        step, task = found
        state = step.job
        state.highest_attempt = max(state.highest_attempt, active.attempt)
        others = {run.attempt for run in step.runs}
        is_wanted = not task.is_done and task.run is None and not state.status.is_final
        if not is_wanted or (step.spec.is_gang and others - {active.attempt}):
            return None
        run = self.assign_task(step, task, worker, active.attempt, now)
        run.start_deadline = worker.clock
        self.extend_lease(worker, now)
        return run

    def record_checkpoint(self, run: Run, checkpoint: str) -> None:
        """Keep the newest checkpoint of a run."""
        tasks = run.step.tasks if run.step.spec.is_gang else [run.step.tasks[run.task.index]]
        for task in tasks:
            task.checkpoint = checkpoint

    def apply_ended_run(self, worker: Worker, end: EndedRun, now: float) -> None:
        """Take in the end of a run."""
        run = worker.runs.get((end.task, end.attempt))
        if run is not None:
            self.end_run(run)
        self.open_reported_occurrence(end.task)
        found = self.find_task(end.task)
        if found is None:
            return
        step, task = found
        state = step.job
        state.highest_attempt = max(state.highest_attempt, end.attempt)
        if end.checkpoint and not task.is_done:
            for each in step.tasks if step.spec.is_gang else [task]:
                each.checkpoint = end.checkpoint
        if end.outcome is RunOutcome.DONE:
            if run is not None and not task.checkpoint and not step.spec.is_gang:
                accuracy = self.estimate_accuracy[state.spec.queue]
                accuracy.record(step.spec.estimated_seconds, now - run.started_at)
            worker.consecutive_failures = 0
            worker.avoid_until = -math.inf
            self.finish_task(step, task)
        elif end.outcome is RunOutcome.FAILED:
            self.fail_task(worker, step, task, end.attempt, now)
        if end.outcome not in (RunOutcome.DONE, RunOutcome.PEERS_MISSING):
            self.end_unrepeatable_job(state)
        self.dirty_jobs.add(state.spec.id)

    def finish_task(self, step: StepState, task: TaskState) -> None:
        """Note that a task, or its whole gang, has ended well; one that lasts starts again."""
        if step.spec.lasts:
            return
        for each in step.tasks if step.spec.is_gang else [task]:
            each.is_done = True
            each.checkpoint = ""
        state = step.job
        if not state.status.is_final and state.is_done:
            state.status = JobStatus.COMPLETED
            self.dirty_jobs.add(state.spec.id)

    def fail_task(
        self, worker: Worker, step: StepState, task: TaskState, attempt: int, now: float
    ) -> None:
        """Note that a run of a task has failed, by its own fault or its worker's."""
        worker.consecutive_failures += 1
        worker.avoid_until = now + FAILURE_AVOID_SECONDS * min(worker.consecutive_failures, 3)
        if step.spec.lasts:
            step.job.not_before = now + RESTART_BACKOFF_SECONDS
            return
        task.failed_attempts.add(attempt)
        task.failed_on.add(worker.id)
        step.failed_attempts.add(attempt)
        limit = step.job.spec.max_attempts
        failed = step.failed_attempts if step.spec.is_gang else task.failed_attempts
        if len(failed) >= limit and not step.job.status.is_final:
            step.job.status = JobStatus.FAILED

    def apply_start_response(self, run: Run, response: StartResponse, now: float) -> None:
        """Take in a worker's answer to the start of a run."""
        if run.worker.runs.get(run.key) is not run:
            return
        if response is StartResponse.STARTED:
            run.is_confirmed = True
            run.reports_conclusive_after = now
            return
        if response is StartResponse.UNHEALTHY:
            run.worker.avoid_until = now + FAILURE_AVOID_SECONDS
        self.end_run(run)
        run.step.job.not_before = now + START_RETRY_SECONDS

    def mark_obsolete_runs(self) -> Iterator[Run]:
        """Mark and return the runs that have no more use.

        These are runs of ended jobs, of tasks that are done, and the rest of gangs of which a
        task has ended.
        """
        for worker in self.workers.values():
            for run in worker.runs.values():
                if self.is_obsolete(run) and self.mark_stopping(run):
                    yield run

    def is_obsolete(self, run: Run) -> bool:
        """Whether a run has no more use; the tasks of a gang that is done end by themselves."""
        step = run.step
        if step.spec.is_gang and step.is_done:
            return False
        if step.job.status.is_final or step.tasks[run.task.index].is_done:
            return True
        return step.is_tearing_down

    def tear_down_partial_gangs(self) -> None:
        """Mark gangs of which an earlier leader has left only a part."""
        for state in self.jobs.values():
            for step in state.steps:
                if step.spec.is_gang and 0 < len(step.runs) < step.spec.count:
                    step.is_tearing_down = True
