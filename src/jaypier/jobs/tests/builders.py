"""Builders shared by the tests of jobs."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable

from jaypier.core.address import Address
from jaypier.core.metrics import Metrics
from jaypier.jobs.cluster import ClusterState
from jaypier.jobs.election import Election
from jaypier.jobs.fenced_writer import FencedWriter
from jaypier.jobs.leader import Leader, LeaderSettings
from jaypier.jobs.model import (
    ActiveRun,
    EndedRun,
    Job,
    JobStatus,
    Resources,
    RunOutcome,
    Step,
    TaskId,
    WorkerEntry,
    WorkerReport,
)
from jaypier.jobs.planning import Planner
from jaypier.jobs.progress import JobProgress
from jaypier.jobs.rows import decode_progress, progress_key
from jaypier.jobs.state import Worker
from standins.cluster import MemoryCluster, MemoryStore
from standins.virtual_time import LoopClock, run_in_virtual_time

LEASE_SECONDS = 6.0

_job_numbers = itertools.count(1)


def make_step(count: int = 1, accelerators: int = 1, seconds: float = 2.0, **values) -> Step:
    """Return a step of tasks that need little but accelerators."""
    return Step(count, Resources(1000, 1000, accelerators), seconds, **values)


def make_job(*steps: Step, **values) -> Job:
    """Return a job; its identity is new unless it is given."""
    return Job(
        **{
            "id": f"{next(_job_numbers):016x}",
            "queue": "example/desk/",
            "service": "desk",
            "team": "team-a",
            "priority": 1,
            "max_attempts": 3,
            "slack_factor": 3.0,
            "target_seconds": 1.0,
            "submitted_at": 0.0,
            "payload": "work",
            **values,
        },
        steps=steps or (make_step(),),
    )


def make_entry(worker_id: str, rack: str = "rack-1", **values) -> WorkerEntry:
    """Return the entry of a worker with 8 accelerators."""
    return WorkerEntry(
        **{
            "id": worker_id,
            "service": "desk",
            "address": Address("127.0.0.1", 1),
            "data_centre": "dc-a",
            "rack": rack,
            "labels": frozenset({"a", rack}),
            "capacity": Resources(64000, 131072, 8),
            "is_ready": True,
            "born": 1,
            "clock": 0,
            **values,
        }
    )


def make_cluster(workers: int = 1, per_rack: int = 6, epoch: int = 1) -> ClusterState:
    """Return a board with workers that have reported."""
    cluster = ClusterState(epoch, LEASE_SECONDS)
    for number in range(workers):
        entry = make_entry(f"worker-{number:02}", f"rack-{number // per_rack}")
        cluster.register_worker(entry, 0.0).is_reconciled = True
    return cluster


def make_planner(cluster: ClusterState, *jobs: Job, **guarantees: int) -> Planner:
    """Return a planner of a board with jobs."""
    planner = Planner(cluster)
    planner.guarantees = guarantees
    for job in jobs:
        planner.observe_job(cluster.add_job(job), 0.0)
    return planner


def make_active_run(
    task: TaskId, attempt: int = 1, checkpoint: str = "", percent: float = 0
) -> ActiveRun:
    """Return a run that a worker reports."""
    return ActiveRun(task, attempt, checkpoint, percent)


def make_ended_run(
    number: int, task: TaskId, end: RunOutcome, attempt: int = 1, checkpoint: str = ""
):
    """Return an end that a worker reports."""
    return EndedRun(number, task, attempt, end, checkpoint)


def apply_report(
    cluster: ClusterState, worker: Worker, now: float, runs=(), ends=(), sent_at=None, born=1
):
    """Let a worker report."""
    report = WorkerReport(born, int(now * 1000), tuple(runs), tuple(ends))
    return cluster.apply_report(worker, report, now if sent_at is None else sent_at, now)


class LeaderBench:
    """Daemons that stand for the leadership of a cluster in memory, in virtual time."""

    def __init__(self, cluster: MemoryCluster) -> None:
        self.cluster = cluster
        self.store = cluster.store
        self.clock = LoopClock(asyncio.get_running_loop())
        self.tasks: dict[str, asyncio.Task] = {}
        self.leaders: dict[str, Leader] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.clock_errors: dict[str, float] = {}

    def wall(self, name: str) -> float:
        """Return Unix time in seconds as a VM's clock tells it."""
        return self.clock.now() + self.clock_errors.get(name, 0.0)

    def evacuate(self, *data_centres: str) -> None:
        """Take data centres out of service; all others are in service."""
        now = self.clock.now()
        known = self.cluster.evacuated_at
        self.cluster.evacuated_at = {name: known.get(name, now) for name in data_centres}
        self.evacuated = frozenset(data_centres)
        for leader in self.leaders.values():
            leader.cluster.evacuated = self.evacuated
            leader.scheduling_requested.set()

    def start_daemon(self, name: str) -> None:
        """Start a daemon that leads whenever it is elected."""
        self.tasks[name] = asyncio.create_task(self.run_daemon(name), name=name)

    async def run_daemon(self, name: str) -> None:
        """Lead whenever elected."""
        table = self.store.view(name)
        rng = random.Random(name)
        for number in itertools.count():
            election = Election(table, f"{name}/{number}", 0.1, self.clock, rng)
            _, version = await election.campaign()
            writer = FencedWriter(table, election.record, version, self.clock)
            leader = Leader(
                table,
                self.cluster,
                lambda entry: self.cluster.link(name, entry),
                writer,
                LeaderSettings(LEASE_SECONDS, 0.5, 120.0),
                self.clock,
                lambda: self.wall(name),
                Metrics(),
            )
            leader.cluster.evacuated = self.evacuated
            self.leaders[name] = leader
            try:
                await leader.run()
            finally:
                self.leaders.pop(name, None)

    @property
    def leader_name(self) -> str | None:
        """Name of a daemon that leads."""
        return next(iter(self.leaders), None)

    async def kill(self, name: str) -> None:
        """End a daemon at once."""
        task = self.tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def progress(self, job: Job) -> JobProgress | None:
        """Return the recorded progress of a job."""
        row = self.store.rows.get(progress_key(job.id))
        return None if row is None else decode_progress(row.value)

    def status(self, job: Job) -> JobStatus | None:
        """Return the recorded status of a job."""
        progress = self.progress(job)
        return None if progress is None else progress.status

    async def wait_until(self, condition: Callable[[], bool], seconds: float) -> None:
        """Wait for a condition in virtual time."""
        end = self.clock.now() + seconds
        while not condition():
            assert self.clock.now() < end, f"not so after {seconds} s"
            await asyncio.sleep(0.02)

    async def wait_status(self, job: Job, status: JobStatus, seconds: float) -> None:
        """Wait until the recorded status of a job is as given."""
        await self.wait_until(lambda: self.status(job) is status, seconds)

    async def start_job(self, job: Job, runs: int, seconds: float) -> None:
        """Hand the first job in and wait until so many runs have started in all."""
        self.cluster.submit(job)
        await self.wait_until(lambda: len(self.cluster.runs) == runs, seconds)

    async def close(self) -> None:
        """End every daemon."""
        for name in list(self.tasks):
            await self.kill(name)


def run_scenario(
    scenario: Callable[[LeaderBench], Awaitable[None]], workers: int = 4, **values
) -> None:
    """Play a scenario on a cluster in virtual time; nothing may break a rule."""

    async def run() -> None:
        cluster = MemoryCluster(MemoryStore(random.Random(1)), random.Random(2), **values)
        for number in range(workers):
            cluster.add_worker(f"worker-{number:02}", rack=f"rack-{number // 6}")
        bench = LeaderBench(cluster)
        bench.start_daemon("vm-a")
        bench.start_daemon("vm-b")
        try:
            await scenario(bench)
        finally:
            await bench.close()
        assert cluster.violations == []

    run_in_virtual_time(run())
