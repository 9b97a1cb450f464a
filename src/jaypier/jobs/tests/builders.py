"""Builders and a test harness with an in-memory cluster, shared by the tests of jobs."""

import asyncio
import contextvars
import itertools
import random
from collections.abc import Awaitable, Callable

from jaypier.core.address import Address
from jaypier.core.metrics import Metrics
from jaypier.jobs.cluster_state import ClusterState
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
from standins.pauses import CURRENT_VM
from standins.virtual_time import LoopClock, run_in_virtual_time

LEASE_SECONDS = 6.0

_job_numbers = itertools.count(1)


def make_step(count: int = 1, accelerators: int = 1, seconds: float = 2.0, **values) -> Step:
    """Return a step whose tasks need accelerators, 1 core and 1000 MB each."""
    return Step(count, Resources(1000, 1000, accelerators), seconds, **values)


def make_job(*steps: Step, **values) -> Job:
    """Return a job; its id is new unless ``values`` contains one."""
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


def make_cluster_state(workers: int = 1, per_rack: int = 6, epoch: int = 1) -> ClusterState:
    """Return a cluster of workers that have reported, ``per_rack`` of them on each rack."""
    cluster_state = ClusterState(epoch, LEASE_SECONDS)
    for number in range(workers):
        entry = make_entry(f"worker-{number:02}", f"rack-{number // per_rack}")
        cluster_state.register_worker(entry, 0.0).is_reconciled = True
    return cluster_state


def make_planner(cluster_state: ClusterState, *jobs: Job, **guarantees: int) -> Planner:
    """Add jobs to a cluster and return its planner; ``guarantees`` are accelerators by team."""
    planner = Planner(cluster_state)
    planner.guarantees = guarantees
    for job in jobs:
        planner.observe_job(cluster_state.add_job(job), 0.0)
    return planner


def make_active_run(
    task: TaskId, attempt: int = 1, checkpoint: str = "", percent: float = 0
) -> ActiveRun:
    """Return an active run as a worker reports it."""
    return ActiveRun(task, attempt, checkpoint, percent)


def make_ended_run(
    number: int, task: TaskId, outcome: RunOutcome, attempt: int = 1, checkpoint: str = ""
):
    """Return an ended run as a worker reports it."""
    return EndedRun(number, task, attempt, outcome, checkpoint)


def apply_report(
    cluster_state: ClusterState, worker: Worker, now: float, runs=(), ends=(), sent_at=None, born=1
):
    """Apply a worker's report to a cluster; return its new ended runs and its unknown runs."""
    report = WorkerReport(born, int(now * 1000), tuple(runs), tuple(ends))
    return cluster_state.apply_report(worker, report, now if sent_at is None else sent_at, now)


class LeaderHarness:
    """Daemons that compete for the leadership of an in-memory cluster, in virtual time.

    :ivar clock_errors: error of each VM's wall clock in seconds, by name of the daemon.
    :ivar team_limits: what each team may have running.
    :ivar decision_seconds: time that a leader takes to place a step. A pass then has many slices.
    """

    def __init__(self, cluster: MemoryCluster) -> None:
        self.cluster = cluster
        cluster.has_leaders = True
        self.store = cluster.store
        self.clock = LoopClock(asyncio.get_running_loop())
        self.tasks: dict[str, asyncio.Task] = {}
        self.leaders: dict[str, Leader] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.clock_errors: dict[str, float] = {}
        self.team_limits: dict[str, Resources] = {}
        self.decision_seconds = 0.0

    def wall_time(self, name: str) -> float:
        """Return Unix time in seconds by the clock of a VM."""
        return self.clock.now() + self.clock_errors.get(name, 0.0)

    def evacuate(self, *data_centres: str) -> None:
        """Take these data centres out of service and all others into service."""
        now = self.clock.now()
        known = self.cluster.evacuated_at
        self.cluster.evacuated_at = {name: known.get(name, now) for name in data_centres}
        self.evacuated = frozenset(data_centres)
        for leader in self.leaders.values():
            leader.cluster_state.evacuated = self.evacuated
            leader.scheduling_requested.set()

    def limit_teams(self, limits: dict[str, Resources]) -> None:
        """Change what each team may have running."""
        self.cluster.change_team_limits(limits)
        self.team_limits = limits
        for leader in self.leaders.values():
            leader.planner.team_limits.configure(limits, self.clock.now())
            leader.scheduling_requested.set()

    def start_daemon(self, name: str) -> None:
        """Start a daemon that takes part in elections."""
        context = contextvars.copy_context()
        context.run(CURRENT_VM.set, name)
        self.tasks[name] = asyncio.create_task(self.run_daemon(name), name=name, context=context)

    async def run_daemon(self, name: str) -> None:
        """Lead whenever this daemon is elected."""
        table = self.store.view(name)
        rng = random.Random(name)
        for number in itertools.count():
            election = Election(table, f"{name}/{number}", 0.1, self.clock, rng)
            _, version = await election.campaign()
            writer = FencedWriter(table, election.record, version, self.clock)
            leader = Leader(
                table,
                self.cluster.directory(name),
                lambda entry: self.cluster.link(name, entry),
                writer,
                LeaderSettings(self.cluster.lease_seconds, 0.5, 120.0),
                self.clock,
                lambda: self.wall_time(name),
                Metrics(),
            )
            leader.cluster_state.evacuated = self.evacuated
            leader.cluster_state.unguarded_services = self.cluster.unguarded_services
            leader.planner.team_limits.configure(self.team_limits, self.clock.now())
            if self.decision_seconds:
                self.slow_down(leader.planner)
            self.leaders[name] = leader
            try:
                await leader.run()
            finally:
                self.leaders.pop(name, None)

    def slow_down(self, planner: Planner) -> None:
        """Let time pass with each step that a planner places."""
        place_step, selector = planner.place_step, self.clock.loop.time_selector

        def place_slowly(*arguments):
            selector.elapsed_seconds += self.decision_seconds
            return place_step(*arguments)

        planner.place_step = place_slowly

    @property
    def leader_name(self) -> str | None:
        """Name of a daemon that leads, ``None`` if there is none."""
        return next(iter(self.leaders), None)

    async def kill(self, name: str) -> None:
        """Stop a daemon at once, without a resignation."""
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
        """Wait for a condition, for at most ``seconds`` of virtual time."""
        end = self.clock.now() + seconds
        while not condition():
            assert self.clock.now() < end, f"condition not met within {seconds} s of virtual time"
            await asyncio.sleep(0.02)

    async def wait_status(self, job: Job, status: JobStatus, seconds: float) -> None:
        """Wait until the recorded status of a job is ``status``."""
        await self.wait_until(lambda: self.status(job) is status, seconds)

    async def start_job(self, job: Job, runs: int, seconds: float) -> None:
        """Submit the first job and wait until the cluster has started ``runs`` runs in total."""
        self.cluster.submit(job)
        await self.wait_until(lambda: len(self.cluster.runs) == runs, seconds)

    async def close(self) -> None:
        """Stop every daemon."""
        for name in list(self.tasks):
            await self.kill(name)


def run_scenario(
    scenario: Callable[[LeaderHarness], Awaitable[None]],
    workers: int = 4,
    guards_capacity: bool = True,
    **values,
) -> None:
    """Run a scenario on a cluster in virtual time; the cluster must not record a violation.

    :param guards_capacity: whether the workers refuse starts that do not fit.
    """

    async def run() -> None:
        cluster = MemoryCluster(MemoryStore(random.Random(1)), random.Random(2), **values)
        for number in range(workers):
            worker = cluster.add_worker(f"worker-{number:02}", rack=f"rack-{number // 6}")
            worker.guards_capacity = guards_capacity
        harness = LeaderHarness(cluster)
        harness.start_daemon("vm-a")
        harness.start_daemon("vm-b")
        try:
            await scenario(harness)
        finally:
            await harness.close()
        assert cluster.violations == []

    run_in_virtual_time(run())
