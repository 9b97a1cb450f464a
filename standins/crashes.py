"""Crashing tasks: they crash each worker that starts them, and the worker's machine comes back."""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import TYPE_CHECKING

import attrs

from jaypier.core.address import Address
from jaypier.jobs.model import Job, TaskId

if TYPE_CHECKING:
    from standins.cluster import MemoryCluster, MemoryWorker, WorkerRun

CRASH_DELAY_SECONDS = 0.01
"""Time from the start of a crashing task to the crash of its worker."""

RETURN_SECONDS = 3.3
"""Time after a crash until the machine's next worker process registers."""

ENTRY_EXPIRY_SECONDS = 0.5
"""Time from then until the entry of the crashed process is removed."""

MAX_CRASHES = 3
"""Number of workers crashed by a task after which its starts are limited."""

MAX_STARTS_AFTER_CRASHES = 2
"""Maximum number of starts after that."""


class CrashingTasks:
    """Tasks that crash their workers, with a check that they are not started again and again.

    :param cluster: cluster in which they run.
    :ivar tasks: the crashing tasks.
    :ivar crashes: times of the crashes under each of them, in seconds.
    :ivar crash_counts: number of workers that crashed for any reason under each task.
    :ivar return_seconds: time after a crash until the machine is back.
    """

    def __init__(self, cluster: "MemoryCluster") -> None:
        self.cluster = cluster
        self.tasks: set[TaskId] = set()
        self.crashes: dict[TaskId, list[float]] = defaultdict(list)
        self.crash_counts: Counter[TaskId] = Counter()
        self.return_seconds = RETURN_SECONDS

    def add_job(self, job: Job) -> None:
        """Make all tasks of a job crashing."""
        self.tasks |= {
            TaskId(job.id, occurrence, number, index)
            for occurrence in range(max(1, job.repeats))
            for number, step in enumerate(job.steps)
            for index in range(step.count)
        }

    def observe_start(self, worker: "MemoryWorker", run: "WorkerRun") -> None:
        """Check a start that has been recorded, and schedule the crash if its task is crashing."""
        if run.task not in self.tasks:
            return
        crashes = self.crashes[run.task]
        starts = sum(
            each.task == run.task and each.started_at > crashes[MAX_CRASHES - 1]
            for each in self.cluster.runs.values()
            if len(crashes) >= MAX_CRASHES
        )
        if starts > MAX_STARTS_AFTER_CRASHES:
            self.cluster.violations.append(
                f"{worker.now:.2f} {run.task} starts {starts} times after {MAX_CRASHES} "
                "workers have crashed under it"
            )
        asyncio.get_running_loop().call_later(CRASH_DELAY_SECONDS, self.crash_under, worker, run)

    def crash_under(self, worker: "MemoryWorker", run: "WorkerRun") -> None:
        """Crash the worker of a run that is still active, and start its machine again later."""
        if worker.active.get((run.task, run.attempt)) is not run:
            return
        worker.crash()
        worker.run_ended.set()
        asyncio.get_running_loop().call_later(self.return_seconds, self.replace_worker, worker)

    def observe_crash(self, worker: "MemoryWorker", runs: Iterable["WorkerRun"]) -> None:
        """Record the crash of a worker.

        :param runs: runs that were active.
        """
        for run in runs:
            self.crash_counts[run.task] += 1
            if run.task in self.tasks:
                self.crashes[run.task].append(worker.now)

    def replace_worker(self, worker: "MemoryWorker") -> None:
        """Register a new worker, with another id and address, on the machine of a crashed one."""
        machine, workers = worker.entry.machine, self.cluster.workers.values()
        number = sum(each.entry.machine == machine for each in workers)
        entry = attrs.evolve(
            worker.entry,
            id=f"{machine}-{number}",
            address=Address("127.0.0.1", next(self.cluster.ports)),
            born=worker.entry.born + int(1000 * worker.now) + 1,
            is_ready=True,
        )
        replacement = self.cluster.add_process(entry)
        replacement.clock_rate, replacement.clock_started_at = worker.clock_rate, worker.now
        asyncio.get_running_loop().call_later(ENTRY_EXPIRY_SECONDS, self.cluster.unregister, worker)
