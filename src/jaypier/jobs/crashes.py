"""Crashes of workers: which processes have ended, which tasks may have crashed them, and which
tasks are given up.

A machine runs one worker process at a time, so the next process proves that the last one has ended.
Silence proves nothing: the worker may be partitioned. Of the runs that were lost with a process,
those that had only just started may have crashed it.
"""

import math
from collections import deque
from collections.abc import Iterable
from typing import TYPE_CHECKING

import attrs

from jaypier.jobs.evidence import Conclusion
from jaypier.jobs.model import EndedRun, JobStatus, RunOutcome, TaskId
from jaypier.jobs.state import Run, StepState, TaskState, Worker

if TYPE_CHECKING:
    from jaypier.jobs.cluster_state import ClusterState

PROBATION_SECONDS = 2.0
"""Time for which a run has to work until it is not blamed for a crash of its worker."""

MAX_CRASHES = 2
"""Number of certain crashes under a task at which it is given up."""

MAX_SUSPECTED_CRASHES = 3
"""The same if uncertain crashes count as well: those of workers that have not come back, or that
became silent together with others."""

MAX_POSSIBLE_CRASHES = 4
"""The same if suspicions of earlier leaders count as well. The users' rules allow two starts after
the third crash."""

COINCIDENCE_SECONDS = 1.0
"""Time between the silences of two workers up to which they may have the same cause: the time
between two reports, after which the end of a worker is noticed."""

MAX_SILENCES = 1024
"""Number of most recent silences that are remembered."""

MAX_SILENT_PROCESSES = 256
"""Maximum number of processes that are remembered until it is known whether they have ended."""


@attrs.frozen
class Silence:
    """A worker stopped responding.

    :param since: time on the local clock, in seconds.
    :param job_ids: jobs whose tasks had just started there.
    """

    since: float
    worker_id: str
    job_ids: frozenset[str]


@attrs.frozen
class SilentProcess:
    """A worker process that became silent and has lost runs that may have crashed it.

    :param machine: machine of the process, empty if unknown.
    :param born: Unix time in milliseconds at which it started.
    :param since: time on the local clock, in seconds, since which it has been silent.
    :param runs: these runs, by task and attempt number.
    """

    machine: str
    born: int
    since: float
    runs: list[tuple[TaskId, int]] = attrs.field(factory=list)


@attrs.frozen
class WorkerCrash:
    """The proven crash of a worker process.

    :param born: Unix time in milliseconds at which the process had started.
    :param tasks: tasks that may have crashed it.
    """

    worker_id: str
    machine: str
    born: int
    tasks: list[TaskId]


@attrs.frozen
class GivenUpTask:
    """A task that is not started again.

    :param crashes: number of certain crashes of workers under it.
    :param suspected: number of uncertain ones.
    """

    task: TaskId
    crashes: int
    suspected: int


class CrashRecord:
    """Attributes crashes of workers to tasks, and gives up tasks that keep crashing them.

    :param cluster_state: state of jobs, workers and runs, which it changes.
    :ivar silences: most recent silences of workers.
    :ivar silent: silent processes by worker id, the oldest first.
    :ivar crashes: crashes that have not been logged yet.
    :ivar given_up: tasks that have been given up and not been logged yet.
    """

    def __init__(self, cluster_state: "ClusterState") -> None:
        self.cluster_state = cluster_state
        self.silences: deque[Silence] = deque(maxlen=MAX_SILENCES)
        self.silent: dict[str, SilentProcess] = {}
        self.crashes: list[WorkerCrash] = []
        self.given_up: list[GivenUpTask] = []

    # Suspicion

    def observe_silence(self, worker: Worker, now: float) -> None:
        """Suspect the tasks that have just started on a worker that no longer responds.

        That is recorded at once, as a new leader would not know where they had run.

        :param now: time on the local clock, in seconds.
        """
        worker.silent_since = now
        starting = [run for run in worker.runs.values() if run.is_on_probation]
        for run in starting:
            self.suspect(run)
        job_ids = frozenset(run.task.job_id for run in starting)
        self.silences.append(Silence(now, worker.id, job_ids))

    def suspect(self, run: Run) -> None:
        """Suspect a run of having crashed its worker."""
        found = self.cluster_state.find_task(run.task)
        if found is not None and not found[1].is_done:
            step, task = found
            task.suspected_crashes.add(run.attempt)
            step.job.crash_suspects.add(run.task)
            self.cluster_state.dirty_jobs.add(run.task.job_id)

    def exempt_run(self, run: Run) -> None:
        """Do not blame a run for the end of its worker."""
        run.is_on_probation = False
        self.withdraw_suspicion(run.task, run.attempt)

    def observe_lost_run(self, run: Run) -> None:
        """Record a run that is about to be marked as lost, if it may have crashed its worker."""
        worker = run.worker
        found = self.cluster_state.find_task(run.task)
        if found is None or not worker.entry.is_ready:
            return
        if run.is_on_probation:
            self.suspect(run)
            self.remember_lost_run(run)
            self.give_up_crashing_task(*found)

    def remember_lost_run(self, run: Run) -> None:
        """Remember a lost run until it is known whether its worker's process has ended."""
        worker = run.worker
        process = self.silent.get(worker.id)
        if process is None or process.born != run.born:
            process = SilentProcess(worker.entry.machine, run.born, worker.silent_since)
            self.silent[worker.id] = process
            if len(self.silent) > MAX_SILENT_PROCESSES:
                del self.silent[next(iter(self.silent))]
        process.runs.append(run.key)

    def give_up_restored_tasks(self) -> None:
        """Give up the tasks under which too many workers had crashed before this leader.

        To be called once every worker has been reconciled: tasks that still run are not given up.
        """
        for state in self.cluster_state.jobs.values():
            for task_id in list(state.crash_suspects):
                found = self.cluster_state.find_task(task_id)
                if found is not None and found[1].run is None:
                    self.give_up_crashing_task(*found)

    def observe_work(self, run: Run, now: float) -> None:
        """Withdraw the suspicion against a reported run; end its probation if it worked for long.

        In the latter case its task does not crash the workers that start it, so that earlier
        crashes under it do not count any more. The tasks of a gang only begin to work once all are
        present.

        :param now: time on the local clock, in seconds.
        """
        self.withdraw_suspicion(run.task, run.attempt)
        is_waiting = run.step.spec.is_gang and run.percent == 0
        if is_waiting or now - run.reports_conclusive_after < PROBATION_SECONDS:
            return
        run.is_on_probation = False
        self.clear_task(run.task, run.attempt)

    def clear_task(self, task_id: TaskId, attempt: int) -> None:
        """Forget the earlier crashes under a task that has worked, or failed by itself.

        :param attempt: number of this attempt; reports of ended runs may be older than a crash.
        """
        found = self.cluster_state.find_task(task_id)
        if found is None:
            return
        step, task = found
        if task.possible_crashes:
            self.cluster_state.dirty_jobs.add(task_id.job_id)
        task.crashed_attempts -= {each for each in task.crashed_attempts if each <= attempt}
        task.suspected_crashes -= {each for each in task.suspected_crashes if each <= attempt}
        task.restored_suspicions -= {each for each in task.restored_suspicions if each <= attempt}
        if not task.possible_crashes:
            step.job.crash_suspects.discard(task_id)

    def observe_end(self, end: EndedRun) -> None:
        """Settle the suspicion against a run whose worker has reported its end, so did not crash.

        A run that was ended early may not have worked yet, so that earlier crashes still count.
        """
        if end.outcome in (RunOutcome.DONE, RunOutcome.FAILED):
            self.clear_task(end.task, end.attempt)
        else:
            self.withdraw_suspicion(end.task, end.attempt)

    def withdraw_suspicion(self, task_id: TaskId, attempt: int) -> None:
        """Record that an attempt has not crashed its worker: the worker still runs."""
        found = self.cluster_state.find_task(task_id)
        if found is None:
            return
        step, task = found
        if attempt in task.suspected_crashes | task.restored_suspicions:
            task.suspected_crashes.discard(attempt)
            task.restored_suspicions -= {attempt}
            self.cluster_state.dirty_jobs.add(task_id.job_id)
        if not task.possible_crashes:
            step.job.crash_suspects.discard(task_id)

    def observe_draining(self, worker: Worker) -> None:
        """Blame no run for the end of a worker that is about to leave."""
        for run in worker.runs.values():
            self.exempt_run(run)
        self.withdraw_process(worker.id)

    def withdraw_process(self, worker_id: str) -> None:
        """Withdraw all suspicion from the runs that were lost on a worker."""
        process = self.silent.pop(worker_id, None)
        for task_id, attempt in process.runs if process is not None else ():
            self.withdraw_suspicion(task_id, attempt)

    # Proof

    def observe_report(self, worker: Worker, has_restarted: bool) -> None:
        """Settle the suspicion against the runs of a worker by its report, which has been applied.

        :param has_restarted: whether another process had reported before.
        """
        process = self.silent.get(worker.id)
        if process is not None and process.born < worker.born:
            self.record_crash(worker.id, process)
        if not has_restarted:
            self.withdraw_process(worker.id)

    def settle_ended_processes(self) -> list[Worker]:
        """Mark the runs of processes as lost whose machines run newer ones; record the crashes.

        :returns: the workers of these processes, which will not come back.
        """
        workers = self.cluster_state.workers
        if not self.silent and not any(each.is_unreachable for each in workers.values()):
            return []
        newest = newest_by_machine(workers.values())
        ended = [
            worker
            for worker in workers.values()
            if not worker.has_ended and has_ended(worker, newest)
        ]
        for worker in ended:
            for run in list(worker.runs.values()):
                self.cluster_state.settle_run(run, Conclusion.ENDED_WITH_PROCESS, "successor")
            self.cluster_state.reconcile(worker, Conclusion.ENDED_WITH_PROCESS)
            worker.has_ended = True
            if worker.entry.is_ready:
                empty = SilentProcess(worker.entry.machine, worker.born, worker.silent_since)
                self.record_crash(worker.id, self.silent.get(worker.id, empty))
        for worker_id, process in list(self.silent.items()):
            successor = newest.get(process.machine)
            is_gone = worker_id not in workers
            if is_gone and successor is not None and successor.born > process.born:
                self.record_crash(worker_id, process)
        return ended

    def unheard_successors(self) -> list[Worker]:
        """Return the workers whose next report shows that a silent process has ended."""
        workers = self.cluster_state.workers
        if not any(each.is_unreachable for each in workers.values()):
            return []
        newest = newest_by_machine(workers.values())
        silent = (each for each in workers.values() if not each.has_ended)
        successors = (find_successor(each, newest) for each in silent)
        return [each for each in successors if each is not None]

    def record_crash(self, worker_id: str, process: SilentProcess) -> None:
        """Attribute the crash of a process to the runs that may have caused it."""
        self.silent.pop(worker_id, None)
        blamed = []
        for task_id, attempt in process.runs:
            found = self.cluster_state.find_task(task_id)
            if found is None or found[1].is_done or found[0].job.status.is_final:
                continue
            step, task = found
            if task.run is not None and not task.run.may_crash_worker:
                # It has worked elsewhere since, so it has not crashed this worker.
                self.withdraw_suspicion(task_id, attempt)
                continue
            if self.is_alone(worker_id, process, task_id.job_id):
                task.suspected_crashes.discard(attempt)
                task.crashed_attempts.add(attempt)
            else:
                task.suspected_crashes.add(attempt)
            step.job.crash_suspects.add(task_id)
            self.cluster_state.dirty_jobs.add(task_id.job_id)
            blamed.append(task_id)
            self.give_up_crashing_task(step, task)
        self.crashes.append(WorkerCrash(worker_id, process.machine, process.born, blamed))

    def is_alone(self, worker_id: str, process: SilentProcess, job_id: str) -> bool:
        """Whether a process became silent without other workers that the job did not use.

        If there are such workers, all may have ended for the same reason, which is not the job.
        """
        return not math.isinf(process.since) and not any(
            abs(silence.since - process.since) <= COINCIDENCE_SECONDS
            and silence.worker_id != worker_id
            and job_id not in silence.job_ids
            for silence in self.silences
        )

    def give_up_crashing_task(self, step: StepState, task: TaskState) -> None:
        """Fail the job of a task, or a gang, under which too many workers have crashed.

        This holds for long-running tasks as well: each restart would crash another worker. In a
        gang, the crashes under all members count as uncertain ones of a member that has crashed
        two workers itself: the first crash ends the others before they can crash theirs.
        """
        if step.job.status.is_final:
            return
        members = step.tasks if step.spec.is_gang else [task]
        attempts = set().union(
            *(each.crashed_attempts | each.suspected_crashes for each in members)
        )
        for member in members:
            crashes, possible = len(member.crashed_attempts), len(member.possible_crashes)
            own = len(member.crashed_attempts | member.suspected_crashes)
            total = len(attempts) if own >= MAX_CRASHES else own
            is_excessive = crashes >= MAX_CRASHES or total >= MAX_SUSPECTED_CRASHES
            if is_excessive or possible >= MAX_POSSIBLE_CRASHES:
                step.job.status = JobStatus.FAILED
                self.cluster_state.dirty_jobs.add(task.id.job_id)
                uncertain = max(total, possible) - crashes
                self.given_up.append(GivenUpTask(member.id, crashes, uncertain))
                return


def newest_by_machine(workers: Iterable[Worker]) -> dict[str, Worker]:
    """Return the worker with the newest process of each machine, among those that have reported.

    An entry alone proves nothing: it may come from another writer than the worker.
    """
    newest: dict[str, Worker] = {}
    for worker in workers:
        machine = worker.entry.machine
        if not machine or math.isinf(worker.last_report_at):
            continue
        if machine not in newest or worker.born > newest[machine].born:
            newest[machine] = worker
    return newest


def find_successor(worker: Worker, newest: dict[str, Worker]) -> Worker | None:
    """Return the worker whose report shows that the process of a silent worker has ended.

    It runs a later process of the same machine, in the same place.

    :param newest: worker with the newest process by machine.
    """
    successor = newest.get(worker.entry.machine)
    if successor is None or not worker.is_unreachable:
        return None
    place, other_place = ((each.entry.data_centre, each.entry.rack) for each in (worker, successor))
    is_later = successor.born > worker.latest_born
    return successor if is_later and place == other_place else None


def has_ended(worker: Worker, newest: dict[str, Worker]) -> bool:
    """Whether the process of a worker has been followed by one that has reported since.

    :param newest: worker with the newest process by machine.
    """
    successor = find_successor(worker, newest)
    return successor is not None and successor.last_report_at > worker.silent_since
