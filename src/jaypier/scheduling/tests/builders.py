"""Shared builders and strict asserts for scheduling tests."""

from collections import Counter

from jaypier.core.clock import VirtualClock
from jaypier.core.metrics import Metrics
from jaypier.notes.model import Entities, GuaranteedShape, Job, Team
from jaypier.platform import Machine, MachineKind
from jaypier.scheduling.impossible import ImpossibleJobs
from jaypier.scheduling.model import Decisions, GangPhase
from jaypier.scheduling.scheduler import DataCentreScheduler
from jaypier.workers.errors import EpochRefused
from jaypier.workers.model import TaskState, WorkerReport
from jaypier.workers.protocol import ControlRequest
from standins.ledger import FakeLedger
from standins.worker import SimulatedWorker

LEASE = 8.0
DATA_CENTRE = "here"


def worker_machines(
    racks: int = 2, per_rack: int = 3, accelerators: int = 8, data_centre: str = DATA_CENTRE
) -> list[Machine]:
    """Return the workers of one data centre."""
    return [
        Machine(
            f"{data_centre}-{rack}-{index}",
            MachineKind.WORKER,
            data_centre,
            "127.0.0.1:1",
            rack=f"{data_centre}-rack-{rack}",
            accelerators=accelerators,
        )
        for rack in range(racks)
        for index in range(per_rack)
    ]


def make_job(name: str, team: str = "small", tasks: int = 1, size: int = 1, **more) -> Job:
    """Return a job that runs for 10 seconds."""
    return Job(name, team, tasks, size, more.pop("command", "run 10"), **more)


def two_teams() -> list[Team]:
    """Return a small and a large team."""
    return [
        Team("small", [GuaranteedShape("bench", 2, 4)]),
        Team("large", [GuaranteedShape("nightly", 3, 8)]),
    ]


class Bench:
    """One scheduler with simulated workers in virtual time."""

    def __init__(self, machines: list[Machine] | None = None, teams: list[Team] | None = None):
        self.clock = VirtualClock(100.0)
        self.machines = machines or worker_machines()
        self.ledger = FakeLedger(self.machines)
        self.workers = {
            machine.id: SimulatedWorker(
                machine.id, machine.accelerators, self.clock.now, self.clock.now
            )
            for machine in self.machines
        }
        self.cut: set[str] = set()
        self.may_start = True
        self.epoch = 0
        self.impossible = ImpossibleJobs()
        self.ledger.submit(Entities(teams=two_teams() if teams is None else teams))
        self.take_over()

    def take_over(self) -> None:
        """Start a new owner under the next epoch."""
        self.epoch += 1
        self.scheduler = DataCentreScheduler(
            DATA_CENTRE, self.epoch, self.clock.now(), LEASE, Metrics()
        )
        self.scheduler.on_machines(
            [each for each in self.machines if each.data_centre == DATA_CENTRE]
        )
        self.scheduler.on_configuration(self.ledger.configuration, self.clock.now())

    def submit(self, *jobs: Job) -> None:
        """Commit jobs and tell the scheduler."""
        refusal = self.ledger.submit(Entities(jobs=list(jobs)))
        assert refusal is None, refusal
        self.scheduler.on_configuration(self.ledger.configuration, self.clock.now())

    def exchange(self, name: str) -> None:
        """Make one control exchange with a worker."""
        now = self.clock.now()
        if name in self.cut or name not in self.scheduler.workers:
            return
        commands = self.scheduler.commands_for(name, now, self.may_start)
        lease_until = self.scheduler.renew(name, now)
        request = ControlRequest(self.scheduler.state.epoch, "owner", lease_until, commands)
        try:
            reply = self.workers[name].control(request)
        except EpochRefused:
            return
        self.scheduler.on_report(WorkerReport(name, reply.tasks, reply.clock), now)

    def step(self, seconds: float = 0.25) -> None:
        """Exchange with every worker, decide, commit and let time pass."""
        for name in self.workers:
            self.exchange(name)
        decisions = self.scheduler.decide(self.clock.now(), self.may_start)
        if not decisions.is_empty:
            self.ledger.commit(decisions)
            self.scheduler.on_configuration(self.ledger.configuration, self.clock.now())
        impossible = self.impossible.check(
            self.ledger.configuration, self.machines, self.clock.now()
        )
        if impossible:
            self.ledger.commit(Decisions(retired=impossible))
        self.clock.advance(seconds)
        for worker in self.workers.values():
            worker.tick()

    def run(self, seconds: float) -> None:
        """Make steps for some time."""
        for _ in range(int(seconds / 0.25)):
            self.step()

    def running(self, job: str) -> int:
        """Return the number of tasks of a job that run."""
        return sum(
            task.state is TaskState.RUNNING and task.identity.job == job
            for worker in self.workers.values()
            for task in worker.tasks.values()
        )

    def log(self):
        """Return everything that tasks did, in order of time."""
        entries = [entry for worker in self.workers.values() for entry in worker.log]
        return sorted(entries, key=lambda entry: entry.at)


def assert_reclaimable(scheduler: DataCentreScheduler) -> None:
    """Check that all homes fit on their workers beside what cannot be preempted for them.

    Workers that cannot be used are left out: their part of a home is lost until they return.
    """
    fixed: Counter[str] = Counter()
    claimed: Counter[tuple] = Counter()
    for gang in scheduler.state.gangs.values():
        if gang.is_active and not gang.is_evictable and gang.phase is not GangPhase.STOPPING:
            for name, tasks in gang.placement.items():
                fixed[name] += tasks * gang.job.accelerators_per_task
                claimed[gang.claim, name] += tasks
    for home in scheduler.configuration.reservations:
        for name, tasks in home.workers.items():
            open_tasks = max(0, tasks - claimed[home.key, name])
            fixed[name] += open_tasks * home.shape.accelerators_per_task
    for name in scheduler.state.capacity.rack_of:
        assert fixed[name] <= scheduler.workers[name].accelerators, (name, fixed[name])
