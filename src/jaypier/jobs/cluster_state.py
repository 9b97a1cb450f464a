"""In-memory state of the cluster: jobs, workers, and the runs that connect them.

It performs no I/O and reads no clock: the caller passes in events and the current time. The local
clock is the leader's monotonic clock.
"""

import itertools
import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator

import attrs

from jaypier.jobs.crashes import CrashRecord
from jaypier.jobs.evidence import (
    Conclusion,
    LostRun,
    judge_by_report,
    judge_by_time,
    judge_unknown_runs,
    late_starts,
)
from jaypier.jobs.freshness import EntryFreshness
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
from jaypier.jobs.starts import StartVerdict, judge_start
from jaypier.jobs.state import JobState, Run, StepState, TaskState, Worker, new_job_state
from jaypier.jobs.stragglers import EstimateAccuracy, sample_speed, update_slow_worker
from jaypier.jobs.worker_interface import MAX_ENDS_PER_REPORT
from jaypier.scheduling.durations import DurationModel
from jaypier.scheduling.speeds import WorkerSpeeds

LEASE_DRIFT_FACTOR = 1.03
"""Factor from the length of a lease on a worker's clock to its longest possible length on the local
clock: a worker's clock may be 2% slow, and the rest is a margin."""

LEASE_MARGIN_SECONDS = 0.15
"""Margin added to a lease for the error in the estimate of the worker's clock."""

FAILURE_AVOID_SECONDS = 6.0
"""Time for which a worker is avoided after a failed run: the typical duration of a disruption."""

START_RETRY_DELAY_SECONDS = 0.3
"""Delay before a job retries after a refused start: slightly longer than a round trip to a
worker."""

RESTART_BACKOFF_SECONDS = 1.0
"""Delay before a failed long-running task is restarted, so that a task that always fails
immediately costs little."""

ORPHAN_GRACE_SECONDS = 1.5
"""Time after which the rows of all jobs are read again because of a reported run of an unknown job:
mostly, its row has only not been read yet."""

MAX_OPEN_OCCURRENCES = 32
"""Maximum number of open occurrences of one job. It bounds memory and the size of the job's
progress row when a job falls behind its schedule."""

MAX_OPEN_TASKS = 20_000
"""Maximum number of tasks in the open occurrences of one job beyond the first one: about 25 MB of
the leader's memory."""

MAX_START_SECONDS = 0.5
"""Longest time from the assignment of a run to its confirmed start with which its duration tells
how long its task takes."""

ATTEMPTS_PER_EPOCH = 64
"""Number of attempt numbers reserved for each epoch, so that two leaders never use the same one."""


@attrs.frozen
class UnknownRun:
    """A run that a worker reports as active and that the current leader does not need."""

    worker_id: str
    task: TaskId
    attempt: int


@attrs.define
class OrphanedJob:
    """An unknown job of which workers report runs; an earlier leader may have started it.

    :param first_reported_at: time on the local clock, in seconds, of the first such report.
    :param workers: ids of the workers that reported it.
    :param is_absent: whether the rows of all jobs have been read since then, without its own.
    """

    first_reported_at: float
    workers: set[str] = attrs.field(factory=set)
    is_absent: bool = False


class ClusterState:
    """Jobs, workers and the assignment of tasks to workers, as the current leader knows them.

    :param epoch: epoch of the current leader.
    :param lease_seconds: maximum lease that a worker grants.

    :ivar jobs: jobs by id.
    :ivar workers: workers by id.
    :ivar evacuated: data centres in which no task is started.
    :ivar unguarded_services: pools whose workers start whatever they are told to, also what exceeds
        their capacity.
    :ivar entry_freshness: how recent the capacities of all workers are.
    :ivar dirty_jobs: ids of jobs whose progress has to be written to the store.
    :ivar release_count: number of runs that have released their resources, to detect changes.
    :ivar cancelled: ids of cancelled jobs, which may be ahead of the jobs' own rows.
    :ivar orphans: unknown jobs that workers have reported, by id.
    :ivar estimate_accuracy: accuracy of run time estimates by queue.
    :ivar durations: expected durations of steps.
    :ivar speeds: speeds of workers.
    :ivar unconfirmed_losses: tasks that await confirmation after the loss of their run.
    :ivar lost_runs: runs that were concluded to be over without a reported end and have not been
        logged yet.
    :ivar crashes: crashes of workers and the tasks that may have caused them.
    """

    def __init__(self, epoch: int, lease_seconds: float) -> None:
        self.epoch = epoch
        self.lease_seconds = lease_seconds
        self.jobs: dict[str, JobState] = {}
        self.workers: dict[str, Worker] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.unguarded_services: frozenset[str] = frozenset()
        self.entry_freshness = EntryFreshness()
        self.dirty_jobs: set[str] = set()
        self.release_count = 0
        self.cancelled: set[str] = set()
        self.orphans: dict[str, OrphanedJob] = {}
        self.estimate_accuracy: dict[str, EstimateAccuracy] = defaultdict(EstimateAccuracy)
        self.durations = DurationModel()
        self.speeds = WorkerSpeeds()
        self.unconfirmed_losses: list[TaskState] = []
        self.lost_runs: list[LostRun] = []
        self.crashes = CrashRecord(self)

    # Jobs

    def add_job(self, job: Job, may_have_started: bool = False) -> JobState | None:
        """Add an accepted job; return its state, or ``None`` when the job is already known.

        Workers that reported runs of the job before its row was read have to report again before it
        starts.

        :param may_have_started: whether an earlier leader may have started it.
        """
        if job.id in self.jobs:
            return None
        state = new_job_state(job)
        orphan = self.orphans.pop(job.id, None)
        state.is_recovered = may_have_started or orphan is not None
        for worker_id in orphan.workers if orphan else ():
            if worker_id in self.workers:
                self.await_report(self.workers[worker_id])
        self.insert_job(state)
        return state

    def await_report(self, worker: Worker) -> None:
        """Require another report of a worker, whose last one lists runs of a job not known then."""
        if worker.is_reconciled or worker.used_born is None:
            worker.used_born = worker.born
        worker.is_reconciled = worker.awaits_confirmation = False
        worker.recorded_tasks = None

    def should_defer_orphan(self, job_id: str, worker: Worker, now: float) -> bool:
        """Record a report of an unknown job; return whether its row may still be read.

        If so, the reported run is neither stopped nor applied yet: its end would be acknowledged
        without being recorded.

        :param now: time on the local clock, in seconds.
        """
        if job_id in self.jobs:
            return False
        orphan = self.orphans.setdefault(job_id, OrphanedJob(now))
        orphan.workers.add(worker.id)
        return not orphan.is_absent

    def has_unread_orphans(self, now: float) -> bool:
        """Whether the rows of all jobs have to be read because of reported runs of unknown ones.

        :param now: time on the local clock, in seconds.
        """
        return any(
            not each.is_absent and now - each.first_reported_at >= ORPHAN_GRACE_SECONDS
            for each in self.orphans.values()
        )

    def confirm_orphans(self, read_at: float) -> None:
        """Record that the jobs are absent that had been reported before all rows were read.

        :param read_at: time on the local clock, in seconds, at which the read was sent.
        """
        for orphan in self.orphans.values():
            orphan.is_absent = orphan.is_absent or orphan.first_reported_at < read_at

    def insert_job(self, state: JobState) -> None:
        """Add a job with its progress; cancel it if it was cancelled before."""
        self.jobs[state.spec.id] = state
        self.durations.expect(state.steps)
        if state.spec.id in self.cancelled:
            self.cancel_job(state.spec.id)

    def cancel_job(self, job_id: str) -> list[Run]:
        """Cancel a job at its caller's request; return the runs to stop."""
        self.cancelled.add(job_id)
        state = self.jobs.get(job_id)
        if state is None or state.status.is_final:
            return []
        return self.end_job(state, JobStatus.CANCELLED)

    def end_job(self, state: JobState, status: JobStatus) -> list[Run]:
        """Set the final status of a job; return the runs to stop."""
        state.status = status
        self.dirty_jobs.add(state.spec.id)
        return [run for run in state.runs if self.mark_stopping(run)]

    def remove_job(self, job_id: str) -> None:
        """Remove a job that has ended."""
        self.jobs.pop(job_id, None)
        self.cancelled.discard(job_id)

    def open_reported_occurrence(self, task: TaskId) -> None:
        """Open a job's occurrences up to that of a task that a worker reports.

        They were due by the clock of the earlier leader that started the task.
        """
        state = self.jobs.get(task.job_id)
        if state is None or state.status.is_final:
            return
        for number in range(state.next_occurrence, min(task.occurrence + 1, state.spec.repeats)):
            state.open_occurrence(number)
            self.durations.expect(state.occurrences[number])

    def find_task(self, task: TaskId) -> tuple[StepState, TaskState] | None:
        """Return the step and task with an id, or ``None`` when there is no such task."""
        state = self.jobs.get(task.job_id)
        steps = [] if state is None else state.occurrences.get(task.occurrence, [])
        if task.step >= len(steps):
            return None
        step = steps[task.step]
        return (step, step.tasks[task.index]) if task.index < len(step.tasks) else None

    def open_due_occurrences(self, wall_time: float) -> bool:
        """Open occurrences of all jobs that have become due and remove those that are done.

        :param wall_time: Unix time in seconds.
        :returns: whether any occurrence has been opened.
        """
        has_opened = False
        for state in self.jobs.values():
            has_opened |= self.open_due_occurrences_of(state, wall_time)
        return has_opened

    def open_due_occurrences_of(self, state: JobState, wall_time: float) -> bool:
        """Open occurrences of a job that have become due and remove those that are done.

        :param wall_time: Unix time in seconds.
        :returns: whether any occurrence has been opened.
        """
        if state.spec.repeats == 0 or state.status.is_final:
            return False
        for number, steps in list(state.occurrences.items()):
            if not state.undone[number] and not any(step.active for step in steps):
                state.close_occurrence(number)
        tasks = sum(step.count for step in state.spec.steps)
        limit = min(MAX_OPEN_OCCURRENCES, max(1, MAX_OPEN_TASKS // tasks))
        has_opened = False
        while (
            state.next_occurrence < state.spec.repeats
            and len(state.occurrences) < limit
            and state.spec.earliest_start_at(state.next_occurrence) <= wall_time
        ):
            state.open_occurrence(state.next_occurrence)
            self.durations.expect(state.occurrences[state.next_occurrence - 1])
            self.dirty_jobs.add(state.spec.id)
            has_opened = True
        return has_opened

    def next_attempt(self, state: JobState) -> int:
        """Return an attempt number that is higher than any used for the job's tasks before."""
        first_of_epoch = (self.epoch - 1) * ATTEMPTS_PER_EPOCH + 1 if state.is_recovered else 1
        state.highest_attempt = max(state.highest_attempt + 1, first_of_epoch)
        return state.highest_attempt

    # Workers

    def restore_recorded_tasks(
        self, worker: Worker, born: int, tasks: frozenset[TaskId] | None
    ) -> None:
        """Take over what the store records of the runs that earlier leaders left on a worker.

        :param born: Unix time in milliseconds at which the process started that they used.
        :param tasks: the only tasks that may have one, ``None`` if any may.
        """
        worker.used_born = born
        worker.recorded_tasks = tasks
        worker.awaits_record = tasks is not None
        for task_id in tasks or ():
            self.open_reported_occurrence(task_id)
            found = self.find_task(task_id)
            if found is not None:
                found[1].may_run_on += (worker,)

    def register_worker(self, entry: WorkerEntry, now: float) -> Worker:
        """Add a worker or update its registration.

        :param now: time on the local clock, in seconds.
        """
        worker = self.workers.get(entry.id)
        if worker is None:
            worker = Worker(entry, born=entry.born, clock=entry.clock, clock_read_at=now)
        worker.update_entry(entry, now)
        worker.is_registered = True
        self.speeds.observe_registration(worker)
        if not entry.is_ready:
            self.crashes.observe_draining(worker)
        self.workers[entry.id] = worker
        return worker

    def is_capacity_known(self, worker: Worker, now: float) -> bool:
        """Whether tasks may be started by the capacity in a worker's entry.

        A worker that guards its capacity refuses what does not fit.

        :param now: time on the local clock, in seconds.
        """
        is_guarded = worker.entry.service not in self.unguarded_services
        return is_guarded or self.entry_freshness.is_recent(now)

    def avoid_worker(self, worker: Worker, now: float) -> None:
        """Prefer other workers for ``FAILURE_AVOID_SECONDS``.

        :param now: time on the local clock, in seconds.
        """
        worker.avoid_until = now + FAILURE_AVOID_SECONDS

    def deregister_worker(self, worker_id: str, now: float) -> None:
        """Record that the platform no longer lists a worker.

        :param now: time on the local clock, in seconds.
        """
        worker = self.workers.get(worker_id)
        if worker is not None and worker.is_registered:
            worker.is_registered = False
            worker.deregistered_at = now

    def remove_worker(self, worker: Worker) -> None:
        """Remove a worker that has no runs and will not come back."""
        self.record_unknown_tasks(worker, frozenset())
        self.workers.pop(worker.id, None)

    def reconcile(self, worker: Worker, conclusion: Conclusion) -> None:
        """Record that the runs of other leaders on a worker are known, or have ended.

        After the end of its process, that holds once the store has confirmed a write that was sent
        later: until then, a newer leader may have recorded how they ended.
        """
        if worker.is_reconciled or conclusion is Conclusion.OPEN:
            return
        worker.awaits_confirmation = conclusion is Conclusion.ENDED_WITH_PROCESS
        worker.is_reconciled = not worker.awaits_confirmation

    @property
    def unconfirmed_workers(self) -> list[Worker]:
        """Workers whose runs are known once the store has confirmed a write."""
        return [worker for worker in self.workers.values() if worker.awaits_confirmation]

    def confirm_workers(self, workers: Iterable[Worker]) -> None:
        """Let workers be reconciled whose process had ended before a write that is confirmed."""
        for worker in workers:
            if worker.awaits_confirmation:
                worker.awaits_confirmation, worker.is_reconciled = False, True

    def confirm_losses(self, tasks: Iterable[TaskState]) -> None:
        """Let tasks start again whose runs were lost before a write that is confirmed."""
        confirmed = {id(task) for task in tasks}
        for task in tasks:
            task.awaits_confirmation = False
        self.unconfirmed_losses = [
            task for task in self.unconfirmed_losses if id(task) not in confirmed
        ]

    def expired_runs(self, now: float) -> list[Run]:
        """Return the runs that are over by time alone.

        :param now: time on the local clock, in seconds.
        """
        lease_seconds, alive_at = self.longest_lease_seconds, self.entry_freshness.listed_alive_at
        return [
            run
            for worker in self.workers.values()
            for run in worker.runs.values()
            if judge_by_time(run, now, lease_seconds, alive_at) is not Conclusion.OPEN
        ]

    def expire_leases(self, now: float) -> list[Worker]:
        """Mark the runs as lost that are over by time alone; return the workers that had any.

        :param now: time on the local clock, in seconds.
        """
        expired = self.expired_runs(now)
        for run in expired:
            self.settle_run(run, Conclusion.ENDED, "lease")
        for worker in self.workers.values():
            if worker.unknown_tasks and now > self.unknown_runs_end_at(worker):
                self.record_unknown_tasks(worker, frozenset())
        return list({run.worker.id: run.worker for run in expired}.values())

    def unknown_runs_end_at(self, worker: Worker) -> float:
        """Return until when the unknown runs in a worker's newest report are active at most.

        :returns: time on the local clock, in seconds.
        """
        return max(worker.lease_expires_at, worker.last_report_at + self.longest_lease_seconds)

    @property
    def longest_lease_seconds(self) -> float:
        """Longest time on the local clock for which a worker's lease may last."""
        return self.lease_seconds * LEASE_DRIFT_FACTOR + LEASE_MARGIN_SECONDS

    def extend_lease(self, worker: Worker, now: float) -> int:
        """Extend the local record of a worker's lease by its full length.

        To be called before a request is sent that may extend the lease: the worker's runs may
        then continue for that time even if no response arrives.

        :param now: time on the local clock, in seconds.
        :returns: the end of the lease on the worker's clock, in milliseconds.
        """
        worker.lease_expires_at = max(worker.lease_expires_at, now + self.longest_lease_seconds)
        return worker.estimated_clock(now) + int(self.lease_seconds * 1000)

    @property
    def unreconciled_workers(self) -> list[Worker]:
        """Workers whose runs the current leader does not know yet."""
        return [worker for worker in self.workers.values() if not worker.is_reconciled]

    @property
    def has_located_runs(self) -> bool:
        """Whether each run of an earlier leader is known, or its task is unaccounted for.

        Until then, any task of a job that such a leader may have started may have a run somewhere.
        """
        return all(worker.recorded_tasks is not None for worker in self.unreconciled_workers)

    def startable_jobs(self, now: float) -> list[JobState]:
        """Return the jobs of which tasks may start; see :meth:`start_condition`.

        :param now: time on the local clock, in seconds.
        """
        return list(filter(self.start_condition(now), self.jobs.values()))

    def start_condition(self, now: float) -> Callable[[JobState], bool]:
        """Return a function that tells whether tasks of a job may start, until the state changes.

        Jobs that an earlier leader may have started wait until its runs are located. Those that
        must not start twice, or may crash their workers, wait until every run is known.

        :param now: time on the local clock, in seconds.
        """
        is_reconciled, has_located_runs = not self.unreconciled_workers, self.has_located_runs

        def may_start(state: JobState) -> bool:
            is_known = self.jobs.get(state.spec.id) is state
            if not is_known or state.status.is_final or state.not_before > now:
                return False
            if not state.is_recovered:
                return not state.awaits_confirmation
            may_start_early = state.spec.is_repeatable and not state.crash_suspects
            return is_reconciled or (has_located_runs and may_start_early)

        return may_start

    # Runs

    def assign_task(
        self, step: StepState, task: TaskState, worker: Worker, attempt: int, now: float
    ):
        """Assign a task to a worker, allocate its resources and return the run.

        :param attempt: attempt number of the run.
        :param now: time on the local clock, in seconds.
        """
        run = Run(task.id, attempt, worker, step, now, worker.born, is_timed=not task.checkpoint)
        task.run = run
        worker.allocate(run)
        state = step.job
        if state.crash_suspects:
            # The suspicion has to be recorded before the run starts.
            self.dirty_jobs.add(state.spec.id)
        if not state.has_started:
            state.has_started = True
            state.status = JobStatus.RUNNING
            self.dirty_jobs.add(state.spec.id)
        return run

    def mark_stopping(self, run: Run) -> bool:
        """Mark a run to be stopped; return whether its worker's process has yet to be told."""
        if run.is_stopping and run.stopping_born == run.worker.born:
            return False
        run.is_stopping, run.stopping_born = True, run.worker.born
        return True

    def settle_run(self, run: Run, conclusion: Conclusion, evidence: str) -> None:
        """Record that a run without a reported end is over; do nothing while it is open.

        After the end of its worker's process, its task starts again once the store has confirmed a
        write that was sent later.

        :param evidence: what shows it, for the log; see :class:`LostRun`.
        """
        if conclusion is Conclusion.OPEN:
            return
        if conclusion is Conclusion.ENDED_WITH_PROCESS:
            task = run.step.tasks[run.task.index]
            task.awaits_confirmation = True
            self.unconfirmed_losses.append(task)
        self.lost_runs.append(LostRun(*run.key, run.worker.id, evidence, conclusion))
        self.crashes.observe_lost_run(run)
        self.end_run(run)
        self.end_unrepeatable_job(run.step.job)

    def end_unrepeatable_job(self, state: JobState) -> None:
        """End a job with the status ``UNKNOWN`` if it is not repeatable and has not ended.

        To be called when a run of the job has ended without success after it may have begun to
        work: nobody knows how much was done, and the job must not be started again.
        """
        if not state.spec.is_repeatable and not state.status.is_final:
            self.end_job(state, JobStatus.UNKNOWN)

    def end_lost_unrepeatable_jobs(self) -> None:
        """End jobs that are not repeatable and of which an earlier leader's run may be lost.

        The store records that such a job was started, but not which of its tasks, so each task
        that could be started now may have run before. To be called once every worker has been
        reconciled.
        """
        for state in self.jobs.values():
            may_have_lost = bool(state.ready_steps) or not state.run_count
            if state.is_recovered and state.has_started and may_have_lost:
                self.end_unrepeatable_job(state)

    def end_run(self, run: Run) -> None:
        """Remove a run and free its resources."""
        run.worker.release(run)
        self.release_count += 1
        found = self.find_task(run.task)
        if found is not None and found[1].run is run:
            found[1].run = None
        step = run.step
        if run.task in step.job.crash_suspects:
            # The row may still name it among the runs that may crash their workers.
            self.dirty_jobs.add(run.task.job_id)
        if step.spec.is_gang:
            step.is_tearing_down = bool(step.active)

    def apply_report(
        self, worker: Worker, report: WorkerReport, sent_at: float, now: float
    ) -> tuple[list[EndedRun], list[UnknownRun]]:
        """Apply a worker's report; one from before the worker's last restart is ignored.

        :param sent_at: time on the local clock, in seconds, at which the report was requested.
        :param now: time on the local clock, in seconds.
        :returns: ended runs that are new, and active runs that are unknown and have to be stopped.
        """
        if report.born < worker.born:
            return [], []
        has_restarted = report.born > worker.born
        if has_restarted:
            # A restarted worker numbers its ended runs from 1 again. Its runs are not marked as
            # lost here, because a start request may have reached it before this leader knew of
            # the restart; the report lists the active ones.
            worker.last_processed_end = worker.last_durable_end = 0
            worker.consecutive_failures = 0
        worker.clock, worker.clock_read_at = report.clock, now
        worker.last_report_at = now
        worker.report_requested_at = max(worker.report_requested_at, sent_at)
        self.reconcile(worker, judge_unknown_runs(worker, report.born))
        worker.is_unreachable = worker.has_ended = False
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
            and not self.apply_active_run(worker, each, report.born, sent_at, now)
        ]
        active = {(each.task, each.attempt) for each in report.active}
        if has_restarted:
            unknown += self.find_late_starts(worker, active, now)
        unknown_tasks = frozenset(task for task, _ in active - worker.runs.keys())
        self.record_unknown_tasks(worker, unknown_tasks)
        if worker.has_unknown_runs:
            # Whoever started them may have extended their lease just now.
            lease_expires_at = now + self.longest_lease_seconds
            worker.lease_expires_at = max(worker.lease_expires_at, lease_expires_at)
        # An end that is listed but not applied yet, or left out of a long list, says more.
        deferred = {
            (end.task, end.attempt)
            for end in report.ended
            if end.sequence_number > worker.last_processed_end
        }
        lists_all_ends = len(report.ended) < MAX_ENDS_PER_REPORT
        for run in list(worker.runs.values()) if lists_all_ends else []:
            if run.key in active or run.key in deferred:
                continue
            conclusion = judge_by_report(run, report, sent_at)
            if conclusion is Conclusion.ENDED:
                self.crashes.exempt_run(run)
            is_same_process = run.born == report.born
            self.settle_run(run, conclusion, "report" if is_same_process else "next process")
        worker.born = report.born
        self.crashes.observe_report(worker, has_restarted)
        worker.silent_since = -math.inf
        update_slow_worker(worker, self.estimate_accuracy, now)
        return new_ends, unknown

    def record_unknown_tasks(self, worker: Worker, tasks: frozenset[TaskId]) -> None:
        """Record of which tasks a worker has active runs that are not those of this leader.

        None of them is started elsewhere until its run has ended.
        """
        for task_id in worker.unknown_tasks | tasks:
            found = self.find_task(task_id)
            if found is not None and task_id in tasks:
                found[1].unknown_on |= {worker}
            elif found is not None:
                found[1].unknown_on -= {worker}
        worker.unknown_tasks = tasks

    def find_late_starts(
        self, worker: Worker, active: set[tuple[TaskId, int]], now: float
    ) -> list[UnknownRun]:
        """Return runs that have ended and may begin again on the next process of their worker.

        That process knows neither their ends nor the stops that the one before has answered.

        :param active: runs that it has reported as active, by task and attempt number.
        :param now: time on the local clock, in seconds.
        """
        late = late_starts(worker, now)
        worker.unanswered_starts = {key: worker.unanswered_starts[key] for key in late}
        return [UnknownRun(worker.id, *key) for key in set(late) - worker.runs.keys() - active]

    def apply_active_run(
        self, worker: Worker, active: ActiveRun, born: int, sent_at: float, now: float
    ) -> bool:
        """Apply a run that a worker reports as active; return whether it should continue.

        :param born: Unix time in milliseconds at which the process that reports it started.
        :param sent_at: time on the local clock, in seconds, at which the report was requested.
        :param now: time on the local clock, in seconds.
        """
        run = worker.runs.get((active.task, active.attempt))
        if run is None:
            self.open_reported_occurrence(active.task)
            run = self.adopt_run(worker, active, now)
            if run is None:
                return False
        elif not run.is_confirmed:
            run.is_on_probation = True
        run.is_confirmed = run.is_listed = True
        run.born = born
        run.reports_conclusive_after = min(run.reports_conclusive_after, sent_at)
        if active.percent > run.percent or run.last_progress_at == math.inf:
            run.percent, run.last_progress_at = active.percent, now
        if sample_speed(run, now):
            self.durations.observe_progress(run.step, now)
        if run.is_on_probation or run.task in run.step.job.crash_suspects:
            self.crashes.observe_work(run, now)
        if active.checkpoint:
            self.record_checkpoint(run, active.checkpoint)
        return True

    def adopt_run(self, worker: Worker, active: ActiveRun, now: float) -> Run | None:
        """Adopt a run that an earlier leader started; return ``None`` when it is not needed.

        A run is not needed when its task is done, runs elsewhere or belongs to an ended job, or
        when its gang runs with another attempt number.

        :param now: time on the local clock, in seconds.
        """
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
        run.is_timed = False
        self.extend_lease(worker, now)
        return run

    def record_checkpoint(self, run: Run, checkpoint: str) -> None:
        """Record the newest checkpoint of a run; that of a gang applies to all of its tasks."""
        tasks = run.step.tasks if run.step.spec.is_gang else [run.step.tasks[run.task.index]]
        for task in tasks:
            task.checkpoint = checkpoint

    def apply_ended_run(self, worker: Worker, end: EndedRun, now: float) -> None:
        """Apply the end of a run.

        :param now: time on the local clock, in seconds.
        """
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
        self.crashes.observe_end(end)
        if end.checkpoint and not task.is_done:
            for each in step.tasks if step.spec.is_gang else [task]:
                each.checkpoint = end.checkpoint
        if end.outcome is RunOutcome.DONE:
            if run is not None and run.is_timed and not task.is_done:
                self.observe_duration(run, now)
            worker.consecutive_failures = 0
            worker.last_success_at = now
            worker.avoid_until = -math.inf
            worker.clear_suspicion()
            step.done_attempt = end.attempt
            self.finish_task(step, task)
        elif end.outcome is RunOutcome.FAILED:
            self.fail_task(worker, step, task, end.attempt, now)
        if end.outcome not in (RunOutcome.DONE, RunOutcome.PEERS_MISSING):
            self.end_unrepeatable_job(state)
        self.dirty_jobs.add(state.spec.id)

    def observe_duration(self, run: Run, now: float) -> None:
        """Learn from the duration of a run that has succeeded.

        A run whose start was confirmed late, or whose worker was silent, tells nothing: its begin
        or its end is not known.

        :param now: time on the local clock, in seconds.
        """
        step, queue, seconds = run.step, run.step.job.spec.queue, now - run.started_at
        if not step.spec.is_gang:
            self.estimate_accuracy[queue].record(step.spec.estimated_seconds, seconds)
        start_seconds = run.reports_conclusive_after - run.started_at
        if start_seconds > MAX_START_SECONDS or run.worker.silent_since != -math.inf:
            return
        self.speeds.observe_end(run, seconds, self.durations.ended_logs(step))
        if self.durations.observe_end(run, seconds, now):
            for state in self.jobs.values():
                if state.spec.queue == queue and not state.status.is_final:
                    self.durations.expect(state.steps)

    def finish_task(self, step: StepState, task: TaskState) -> None:
        """Record the success of a task, which is that of its whole gang.

        A long-running task is not done when it ends, but is restarted.
        """
        if step.spec.lasts:
            return
        finished = step.tasks if step.spec.is_gang else [task]
        for each in () if step.is_done else finished:
            each.is_done = True
            each.checkpoint = ""
            step.job.crash_suspects.discard(each.id)
        state = step.job
        if not state.status.is_final and state.is_done:
            state.status = JobStatus.COMPLETED
            self.dirty_jobs.add(state.spec.id)

    def fail_task(
        self, worker: Worker, step: StepState, task: TaskState, attempt: int, now: float
    ) -> None:
        """Record a failed run, which may be the fault of the task or of its worker.

        The worker is avoided for a time that grows with its consecutive failures, up to three. The
        job fails when one task, or a gang as a whole, reaches the maximum number of failed
        attempts. Failures of long-running tasks are not counted.

        :param attempt: attempt number of the run.
        :param now: time on the local clock, in seconds.
        """
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

    def begin_start_request(self, run: Run, now: float) -> float:
        """Record that a start request is about to be sent, so that it may have no response.

        :param now: time on the local clock, in seconds.
        :returns: time of the newest one before without a response, for :meth:`end_start_request`.
        """
        earlier = run.unanswered_at
        run.unanswered_at = now
        pending = {key: run.worker.unanswered_starts[key] for key in late_starts(run.worker, now)}
        run.worker.unanswered_starts = {**pending, run.key: now}
        return earlier

    def end_start_request(self, run: Run, earlier: float) -> None:
        """Record that a start request had a response, or has not been sent."""
        run.unanswered_at = earlier
        if earlier == -math.inf:
            run.worker.unanswered_starts.pop(run.key, None)
        else:
            run.worker.unanswered_starts[run.key] = earlier

    def apply_start_response(
        self, run: Run, response: StartResponse, now: float, has_unanswered_try: bool = False
    ) -> StartVerdict:
        """Apply a worker's response to a start request; return what it proves.

        A run of which it is unclear whether it starts is kept; its stop has to be requested.

        :param now: time on the local clock, in seconds.
        :param has_unanswered_try: whether an earlier start request for the run had no response.
        """
        verdict = judge_start(response, has_unanswered_try)
        if run.worker.runs.get(run.key) is not run:
            return verdict
        if verdict is StartVerdict.RUNNING:
            run.is_on_probation = run.is_on_probation or not run.is_confirmed
            run.is_confirmed = True
            run.reports_conclusive_after = now
            # A process that has restarted counts the longest lease from when it was told to start.
            lease_expires_at = now + self.longest_lease_seconds
            run.worker.lease_expires_at = max(run.worker.lease_expires_at, lease_expires_at)
            return verdict
        if response is StartResponse.UNHEALTHY:
            self.avoid_worker(run.worker, now)
        if verdict is StartVerdict.NOT_STARTED:
            self.end_run(run)
        state = run.step.job
        state.not_before = max(state.not_before, now + START_RETRY_DELAY_SECONDS)
        return verdict

    def mark_obsolete_runs(self) -> Iterator[Run]:
        """Mark runs that are no longer needed to be stopped, and return those newly marked.

        These are runs of ended jobs and of tasks that are done, the remaining runs of gangs in
        which a task has ended, and those whose start the next process of their worker may carry
        out.
        """
        for worker in self.workers.values():
            for run in worker.runs.values():
                if self.is_obsolete(run) and self.mark_stopping(run):
                    yield run

    def is_obsolete(self, run: Run) -> bool:
        """Whether a run is no longer needed; runs of the attempt that is done end by themselves."""
        step = run.step
        if run.is_beside_next_process:
            return True
        if step.spec.is_gang and step.is_done:
            return run.attempt != step.done_attempt
        if step.job.status.is_final or step.tasks[run.task.index].is_done:
            return True
        return step.is_tearing_down

    def tear_down_partial_gangs(self) -> None:
        """Mark gangs for tear-down if an earlier leader left only some of their runs.

        Gangs with tasks that are unaccounted for are left alone.
        """
        for state in self.jobs.values():
            for step in state.steps:
                is_partial = step.spec.is_gang and 0 < len(step.runs) < step.spec.count
                if is_partial and not step.has_unaccounted:
                    step.is_tearing_down = True
